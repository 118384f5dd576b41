// Implements the prompt queue, the KV results and their export over the link.
#include "standins/prefill_role.h"

#include <algorithm>
#include <utility>

#include "base/json.h"
#include "standins/generated_text.h"
#include "standins/http_json.h"

namespace mimosa::standins {
namespace {

constexpr std::string_view kKvPath = "/v1/kv/";
// A transfer takes as long as the real amount of KV data would, but only sends
// this many parts of this size.
constexpr int64_t kTransferParts = 8;
constexpr size_t kPartBytes = 64;

Pieces PiecesOf(int64_t tokens) { return PiecesFor(Tokens(tokens)); }

}  // namespace

PrefillRole::PrefillRole(EventLoop* loop, const EngineOptions* options,
                         EngineFaults* faults, PrefixCache* cache)
    : loop_(loop),
      options_(options),
      faults_(faults),
      cache_(cache),
      delayed_tasks_(loop) {}

bool PrefillRole::HandleRequest(const std::string& path,
                                const ExchangePtr& exchange,
                                const Json::Value& body) {
  if (path == "/v1/prefill") {
    QueueJob(exchange, body);
  } else if (path.compare(0, kKvPath.size(), kKvPath) == 0) {
    ExportKv(exchange, path.substr(kKvPath.size()));
  } else {
    return false;
  }
  return true;
}

void PrefillRole::QueueJob(const ExchangePtr& exchange,
                           const Json::Value& body) {
  if (static_cast<int64_t>(waiting_.size()) >= options_->max_waiting) {
    RespondError(exchange.get(), 503, "busy");
    return;
  }
  auto job = std::make_unique<Job>();
  job->request_id = StringMember(body, "request");
  job->attempt = body["attempt"];
  job->prompt = StringMember(body, "prompt");
  job->prompt_tokens =
      IntMember(body, "prompt_tokens", PromptTokens(job->prompt));
  job->priority = IntMember(body, "priority");
  job->exchange = exchange;
  const uint64_t serial = next_serial_++;
  waiting_[{-job->priority, serial}] = std::move(job);
  exchange->OnClientDisconnected([this, serial] { DropJob(serial); });
  StartWaitingJobs();
}

void PrefillRole::StartWaitingJobs() {
  while (!waiting_.empty() &&
         static_cast<int64_t>(running_.size()) < options_->max_running) {
    auto node = waiting_.extract(waiting_.begin());
    StartJob(node.key().second, std::move(node.mapped()));
  }
}

void PrefillRole::StartJob(uint64_t serial, std::unique_ptr<Job> job) {
  const int64_t block_tokens =
      static_cast<int64_t>(kCacheBlockBytes) / kBytesPerToken;
  job->cached_tokens =
      std::min(job->prompt_tokens,
               block_tokens * cache_->MatchLeadingBlocks(job->prompt));
  const int64_t work =
      std::max<int64_t>(1, job->prompt_tokens - job->cached_tokens);
  if (faults_->stall_prefill > 0) {
    --faults_->stall_prefill;
  } else {
    job->timer = loop_->After(work * options_->prefill_time_per_token,
                              [this, serial] { CompleteJob(serial); });
  }
  running_[serial] = std::move(job);
}

void PrefillRole::CompleteJob(uint64_t serial) {
  auto node = running_.extract(serial);
  const std::unique_ptr<Job> job = std::move(node.mapped());
  cache_->Insert(job->prompt, loop_->Now());
  Json::Value value;
  value["kv"] = StoreResult(*job);
  value["cached_tokens"] = Json::Int64(job->cached_tokens);
  const bool nonsense = faults_->nonsense;
  delayed_tasks_.RunAfter(faults_->response_delay,
                          [exchange = job->exchange, value, nonsense] {
                            if (nonsense)
                              RespondRaw(exchange.get(), "{\"kv\": nonsense");
                            else
                              RespondJson(exchange.get(), 200, value);
                          });
  StartWaitingJobs();
}

std::string PrefillRole::StoreResult(const Job& job) {
  ++completed_prefills_;
  completed_tokens_ += job.prompt_tokens;
  if (!completed_requests_.insert(job.request_id).second) {
    ++recomputed_prefills_;
    wasted_tokens_ += job.prompt_tokens;
  }
  std::string kv = "kv-" + std::to_string(next_serial_++);
  Result& result = results_[kv];
  result.request_id = job.request_id;
  result.attempt = job.attempt;
  result.prompt_tokens = job.prompt_tokens;
  result.eviction_timer =
      loop_->After(options_->kv_ttl, [this, kv] { EvictResult(kv); });
  return kv;
}

void PrefillRole::EvictResult(const std::string& kv) {
  const auto it = results_.find(kv);
  if (it == results_.end()) return;
  if (!it->second.claimed) {
    ++evicted_results_;
    wasted_tokens_ += it->second.prompt_tokens;
  }
  results_.erase(it);
}

void PrefillRole::DropJob(uint64_t serial) {
  cancelled_prefills_ += static_cast<int64_t>(running_.erase(serial));
  for (auto it = waiting_.begin(); it != waiting_.end(); ++it) {
    if (it->first.second != serial) continue;
    waiting_.erase(it);
    break;
  }
  StartWaitingJobs();
}

void PrefillRole::ExportKv(const ExchangePtr& exchange, const std::string& kv) {
  const auto it = results_.find(kv);
  if (it == results_.end()) {
    RespondError(exchange.get(), 410, "gone");
    return;
  }
  it->second.claimed = true;
  it->second.eviction_timer.Cancel();
  const double bytes = static_cast<double>(it->second.prompt_tokens) *
                       static_cast<double>(options_->kv_bytes_per_token);
  const double seconds = options_->time_scale * bytes /
                         static_cast<double>(std::max<int64_t>(
                             1, options_->link_bytes_per_second));
  const Duration transfer_time = FromSeconds(seconds);
  // Transfers share one link: each starts when the previous ones have finished.
  const MonoTime now = loop_->Now();
  link_idle_at_ = std::max(link_idle_at_, now) + transfer_time;
  const uint64_t serial = next_serial_++;
  Transfer& transfer = transfers_[serial];
  transfer.kv_id = kv;
  transfer.exchange = exchange;
  transfer.parts_left = kTransferParts;
  transfer.time_per_part = (link_idle_at_ - now) / kTransferParts;
  HttpHeaders headers;
  headers.Add("Content-Type", "application/octet-stream");
  exchange->OnClientDisconnected(
      [this, serial] { EndTransfer(serial, false); });
  exchange->StartStream(200, std::move(headers), kTransferParts * kPartBytes);
  transfer.timer = loop_->After(transfer.time_per_part,
                                [this, serial] { SendPart(serial); });
}

void PrefillRole::SendPart(uint64_t serial) {
  const auto it = transfers_.find(serial);
  if (it == transfers_.end()) return;
  Transfer& transfer = it->second;
  transfer.exchange->Write(std::string(kPartBytes, 'k'));
  if (--transfer.parts_left == 0) {
    EndTransfer(serial, /*complete=*/true);
    return;
  }
  transfer.timer = loop_->After(transfer.time_per_part,
                                [this, serial] { SendPart(serial); });
}

void PrefillRole::EndTransfer(uint64_t serial, bool complete) {
  const auto node = transfers_.extract(serial);
  if (node.empty()) return;
  const std::string kv = node.mapped().kv_id;
  if (complete) {
    node.mapped().exchange->Finish();
    results_.erase(kv);
    return;
  }
  // An aborted transfer may be retried until the result is evicted.
  const auto it = results_.find(kv);
  if (it == results_.end()) return;
  it->second.claimed = false;
  it->second.eviction_timer =
      loop_->After(options_->kv_ttl, [this, kv] { EvictResult(kv); });
}

CancelResult PrefillRole::CancelMatching(const RequestMatcher& matcher) {
  CancelResult out;
  const auto count_freed = [&](int64_t tokens) {
    ++out.cancelled;
    out.freed += PiecesOf(tokens);
  };
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    const bool matches =
        matcher.Matches(it->second->request_id, it->second->attempt);
    if (matches) {
      ++out.cancelled;
      RespondError(it->second->exchange.get(), 499, "cancelled");
    }
    it = matches ? waiting_.erase(it) : std::next(it);
  }
  for (auto it = running_.begin(); it != running_.end();) {
    const bool matches =
        matcher.Matches(it->second->request_id, it->second->attempt);
    if (matches) {
      count_freed(it->second->prompt_tokens);
      ++cancelled_prefills_;
      RespondError(it->second->exchange.get(), 499, "cancelled");
    }
    it = matches ? running_.erase(it) : std::next(it);
  }
  for (auto it = results_.begin(); it != results_.end();) {
    const bool matches =
        !it->second.claimed &&
        matcher.Matches(it->second.request_id, it->second.attempt);
    if (matches) {
      count_freed(it->second.prompt_tokens);
      ++evicted_results_;
      wasted_tokens_ += it->second.prompt_tokens;
    }
    it = matches ? results_.erase(it) : std::next(it);
  }
  StartWaitingJobs();
  return out;
}

EngineLoad PrefillRole::CurrentLoad() const {
  EngineLoad load;
  load.running = static_cast<int64_t>(running_.size());
  load.waiting = static_cast<int64_t>(waiting_.size());
  load.free_pieces = options_->kv_pieces;
  const auto add_held = [&load](const std::string& request, int64_t tokens) {
    load.held_pieces.push_back(HeldPieces{request, PiecesOf(tokens)});
    load.free_pieces -= PiecesOf(tokens);
  };
  for (const auto& [serial, job] : running_)
    add_held(job->request_id, job->prompt_tokens);
  for (const auto& [kv, result] : results_)
    add_held(result.request_id, result.prompt_tokens);
  return load;
}

void PrefillRole::AddDebugState(Json::Value* state) const {
  (*state)["prefills_done"] = Json::Int64(completed_prefills_);
  (*state)["prefill_tokens"] = Json::Int64(completed_tokens_);
  (*state)["prefills_evicted"] = Json::Int64(evicted_results_);
  (*state)["prefills_recomputed"] = Json::Int64(recomputed_prefills_);
  (*state)["prefills_wasted"] =
      Json::Int64(evicted_results_ + recomputed_prefills_);
  (*state)["prefills_cancelled"] = Json::Int64(cancelled_prefills_);
  (*state)["wasted_tokens"] = Json::Int64(wasted_tokens_);
}

}  // namespace mimosa::standins
