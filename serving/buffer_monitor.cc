// Implements the periodic check of what is held.
#include "serving/buffer_monitor.h"

#include <utility>

#include "serving/local_responses.h"

namespace mimosa {
namespace {

// A body is held by the caller's exchange, by the relay, by the call to the
// back end and by that call's connection.
constexpr size_t kBodyCopies = 4;

}  // namespace

BufferMonitor::BufferMonitor(EventLoop* loop, LineLog* log,
                             const Options& options)
    : loop_(loop), log_(log), options_(options), budget_(options.budget) {}

void BufferMonitor::Start(std::vector<const HttpServer*> servers) {
  servers_ = std::move(servers);
  if (options_.budget.limit_bytes > 0) Check();
}

bool BufferMonitor::MayAdmit(const HttpRequest& request) {
  if (budget_.MayAdmit(held_bytes(), kBodyCopies * request.body.size()))
    return true;
  ++counters_.refused;
  return false;
}

bool BufferMonitor::Reserve(size_t bytes) {
  if (!budget_.MayAdmit(held_bytes(), bytes)) {
    ++counters_.refused;
    return false;
  }
  receiving_bytes_ += bytes;
  return true;
}

HttpResponse BufferMonitor::MakeRefusal() const {
  return RetryLaterResponse(kStatusUnavailable, kRetryAfter);
}

void BufferMonitor::Add(uint64_t serial, const RequestId& id,
                        std::shared_ptr<HttpExchange> exchange,
                        std::function<void()> end) {
  Request& request = requests_[serial];
  request.id = id;
  request.body_bytes = kBodyCopies * exchange->request().body.size();
  request.exchange = std::move(exchange);
  request.end = std::move(end);
  request.last_progress = loop_->Now();
  body_bytes_ += request.body_bytes;
}

void BufferMonitor::Remove(uint64_t serial) {
  const auto it = requests_.find(serial);
  if (it == requests_.end()) return;
  body_bytes_ -= it->second.body_bytes;
  requests_.erase(it);
}

bool BufferMonitor::HasSlowReader(const HttpExchange& exchange) const {
  const size_t unsent = exchange.UnsentBytes();
  if (unsent <= BufferBudget::kMinResponseBytes) return false;
  // Many responses may have grown since the last check.
  return unsent > budget_.ResponseLimit(slow_responses_) ||
         budget_.IsResponseShareFull(MeasureUnsentBytes());
}

size_t BufferMonitor::MeasureUnsentBytes() const {
  size_t unsent = 0;
  for (const HttpServer* server : servers_) unsent += server->unsent_bytes();
  return unsent;
}

size_t BufferMonitor::MaxBufferedResponse() const {
  constexpr size_t kMaxBytes = 1U << 20;
  return budget_.ResponseLimit(requests_.size(), kMaxBytes);
}

void BufferMonitor::Check() {
  timer_ = loop_->After(options_.check_interval, [this] { Check(); });
  unsent_bytes_ = MeasureUnsentBytes();
  slow_responses_ = 0;
  const MonoTime now = loop_->Now();
  std::vector<BufferBudget::Response> responses;
  for (auto& [serial, request] : requests_) {
    const size_t unsent = request.exchange->UnsentBytes();
    const uint64_t sent = request.exchange->SentBytes();
    if (unsent == 0 || sent != request.sent_bytes) request.last_progress = now;
    request.unsent_bytes = unsent;
    request.sent_bytes = sent;
    if (unsent == 0) continue;
    ++slow_responses_;
    responses.push_back({serial, unsent, request.last_progress});
  }
  const size_t held = held_bytes();
  for (const uint64_t serial :
       budget_.ChooseVictims(std::move(responses), held, now)) {
    const auto it = requests_.find(serial);
    if (it == requests_.end()) continue;
    ++counters_.ended;
    log_->Write(LogLine("stalled_reader_ended")
                    .Add("request", it->second.id.value())
                    .Add("unsent_bytes", it->second.unsent_bytes)
                    .AddMillis("stalled_ms", now - it->second.last_progress)
                    .Add("held_bytes", held)
                    .Add("limit_bytes", options_.budget.limit_bytes));
    const auto end = it->second.end;
    end();
  }
}

}  // namespace mimosa
