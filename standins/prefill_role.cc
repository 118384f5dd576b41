// Prompt queue, KV results and their export over the link.
#include "standins/prefill_role.h"

#include <algorithm>
#include <utility>

#include "base/json.h"
#include "standins/answer.h"
#include "standins/http_json.h"

namespace mimosa::standins {
namespace {

constexpr std::string_view kKvPath = "/v1/kv/";
// A transfer takes the time of its true size, but only these bytes travel.
constexpr int64_t kTransferParts = 8;
constexpr size_t kPartBytes = 64;

Pieces PiecesOf(int64_t tokens) { return PiecesFor(Tokens(tokens)); }

}  // namespace

PrefillRole::PrefillRole(EventLoop* loop, const EngineOptions* options,
                         EngineBehaviour* behaviour, PrefixCache* cache)
    : loop_(loop),
      options_(options),
      behaviour_(behaviour),
      cache_(cache),
      delays_(loop) {}

bool PrefillRole::Handle(const std::string& path, const ExchangePtr& exchange,
                         const Json::Value& body) {
  if (path == "/v1/prefill") {
    Start(exchange, body);
  } else if (path.compare(0, kKvPath.size(), kKvPath) == 0) {
    Export(exchange, path.substr(kKvPath.size()));
  } else {
    return false;
  }
  return true;
}

void PrefillRole::Start(const ExchangePtr& exchange, const Json::Value& body) {
  if (static_cast<int64_t>(waiting_.size()) >= options_->max_waiting) {
    RespondError(exchange.get(), 503, "busy");
    return;
  }
  auto job = std::make_unique<Job>();
  job->request = StringMember(body, "request");
  job->attempt = body["attempt"];
  job->prompt = StringMember(body, "prompt");
  job->prompt_tokens = IntOf(body, "prompt_tokens", PromptTokens(job->prompt));
  job->priority = IntOf(body, "priority");
  job->exchange = exchange;
  const uint64_t serial = next_serial_++;
  waiting_[{-job->priority, serial}] = std::move(job);
  exchange->OnClientGone([this, serial] { Drop(serial); });
  RunWaiting();
}

void PrefillRole::RunWaiting() {
  while (!waiting_.empty() &&
         static_cast<int64_t>(running_.size()) < options_->max_running) {
    auto node = waiting_.extract(waiting_.begin());
    Run(node.key().second, std::move(node.mapped()));
  }
}

void PrefillRole::Run(uint64_t serial, std::unique_ptr<Job> job) {
  const int64_t block_tokens =
      static_cast<int64_t>(kCacheBlockBytes) / kBytesPerToken;
  job->cached_tokens =
      std::min(job->prompt_tokens, block_tokens * cache_->Match(job->prompt));
  const int64_t work =
      std::max<int64_t>(1, job->prompt_tokens - job->cached_tokens);
  if (behaviour_->stall_prefill > 0) {
    --behaviour_->stall_prefill;
  } else {
    job->timer = loop_->After(work * options_->prefill_per_token,
                              [this, serial] { Complete(serial); });
  }
  running_[serial] = std::move(job);
}

void PrefillRole::Complete(uint64_t serial) {
  auto node = running_.extract(serial);
  const std::unique_ptr<Job> job = std::move(node.mapped());
  cache_->Insert(job->prompt, loop_->Now());
  Json::Value value;
  value["kv"] = Keep(*job);
  value["cached_tokens"] = Json::Int64(job->cached_tokens);
  const bool nonsense = behaviour_->nonsense;
  delays_.Run(behaviour_->late, [exchange = job->exchange, value, nonsense] {
    if (nonsense)
      RespondRaw(exchange.get(), "{\"kv\": nonsense");
    else
      RespondJson(exchange.get(), 200, value);
  });
  RunWaiting();
}

std::string PrefillRole::Keep(const Job& job) {
  ++done_;
  done_tokens_ += job.prompt_tokens;
  if (!done_requests_.insert(job.request).second) {
    ++recomputed_;
    wasted_tokens_ += job.prompt_tokens;
  }
  std::string kv = "kv-" + std::to_string(next_serial_++);
  Result& result = results_[kv];
  result.request = job.request;
  result.attempt = job.attempt;
  result.prompt_tokens = job.prompt_tokens;
  result.eviction = loop_->After(options_->kv_ttl, [this, kv] { Evict(kv); });
  return kv;
}

void PrefillRole::Evict(const std::string& kv) {
  const auto it = results_.find(kv);
  if (it == results_.end()) return;
  if (!it->second.claimed) {
    ++evicted_;
    wasted_tokens_ += it->second.prompt_tokens;
  }
  results_.erase(it);
}

void PrefillRole::Drop(uint64_t serial) {
  cancelled_ += static_cast<int64_t>(running_.erase(serial));
  for (auto it = waiting_.begin(); it != waiting_.end(); ++it) {
    if (it->first.second != serial) continue;
    waiting_.erase(it);
    break;
  }
  RunWaiting();
}

void PrefillRole::Export(const ExchangePtr& exchange, const std::string& kv) {
  const auto it = results_.find(kv);
  if (it == results_.end()) {
    RespondError(exchange.get(), 410, "gone");
    return;
  }
  it->second.claimed = true;
  it->second.eviction.Cancel();
  const double bytes = static_cast<double>(it->second.prompt_tokens) *
                       static_cast<double>(options_->kv_bytes_per_token);
  const double seconds = options_->time_scale * bytes /
                         static_cast<double>(std::max<int64_t>(
                             1, options_->link_bytes_per_second));
  const Duration taken = FromSeconds(seconds);
  // One link: a transfer starts when those before it are through.
  const MonoTime now = loop_->Now();
  link_free_ = std::max(link_free_, now) + taken;
  const uint64_t serial = next_serial_++;
  Transfer& transfer = transfers_[serial];
  transfer.kv = kv;
  transfer.exchange = exchange;
  transfer.parts_left = kTransferParts;
  transfer.per_part = (link_free_ - now) / kTransferParts;
  HttpHeaders headers;
  headers.Add("Content-Type", "application/octet-stream");
  exchange->OnClientGone([this, serial] { EndTransfer(serial, false); });
  exchange->StartStream(200, std::move(headers), kTransferParts * kPartBytes);
  transfer.timer =
      loop_->After(transfer.per_part, [this, serial] { SendPart(serial); });
}

void PrefillRole::SendPart(uint64_t serial) {
  const auto it = transfers_.find(serial);
  if (it == transfers_.end()) return;
  Transfer& transfer = it->second;
  transfer.exchange->Write(std::string(kPartBytes, 'k'));
  if (--transfer.parts_left == 0) {
    EndTransfer(serial, /*whole=*/true);
    return;
  }
  transfer.timer =
      loop_->After(transfer.per_part, [this, serial] { SendPart(serial); });
}

void PrefillRole::EndTransfer(uint64_t serial, bool whole) {
  const auto node = transfers_.extract(serial);
  if (node.empty()) return;
  const std::string kv = node.mapped().kv;
  if (whole) {
    node.mapped().exchange->Finish();
    results_.erase(kv);
    return;
  }
  // A transfer that broke off may be tried again until the result is evicted.
  const auto it = results_.find(kv);
  if (it == results_.end()) return;
  it->second.claimed = false;
  it->second.eviction =
      loop_->After(options_->kv_ttl, [this, kv] { Evict(kv); });
}

CancelResult PrefillRole::Cancel(const RequestMatcher& matcher) {
  CancelResult out;
  const auto take = [&](int64_t tokens) {
    ++out.cancelled;
    out.freed += PiecesOf(tokens);
  };
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    const bool matches =
        matcher.Matches(it->second->request, it->second->attempt);
    if (matches) {
      ++out.cancelled;
      RespondError(it->second->exchange.get(), 499, "cancelled");
    }
    it = matches ? waiting_.erase(it) : std::next(it);
  }
  for (auto it = running_.begin(); it != running_.end();) {
    const bool matches =
        matcher.Matches(it->second->request, it->second->attempt);
    if (matches) {
      take(it->second->prompt_tokens);
      ++cancelled_;
      RespondError(it->second->exchange.get(), 499, "cancelled");
    }
    it = matches ? running_.erase(it) : std::next(it);
  }
  for (auto it = results_.begin(); it != results_.end();) {
    const bool matches =
        !it->second.claimed &&
        matcher.Matches(it->second.request, it->second.attempt);
    if (matches) {
      take(it->second.prompt_tokens);
      ++evicted_;
      wasted_tokens_ += it->second.prompt_tokens;
    }
    it = matches ? results_.erase(it) : std::next(it);
  }
  RunWaiting();
  return out;
}

EngineLoad PrefillRole::Load() const {
  EngineLoad load;
  load.running = static_cast<int64_t>(running_.size());
  load.waiting = static_cast<int64_t>(waiting_.size());
  load.free = options_->pieces;
  const auto hold = [&load](const std::string& request, int64_t tokens) {
    load.held.push_back(HeldPieces{request, PiecesOf(tokens)});
    load.free -= PiecesOf(tokens);
  };
  for (const auto& [serial, job] : running_)
    hold(job->request, job->prompt_tokens);
  for (const auto& [kv, result] : results_)
    hold(result.request, result.prompt_tokens);
  return load;
}

void PrefillRole::AddState(Json::Value* state) const {
  (*state)["prefills_done"] = Json::Int64(done_);
  (*state)["prefill_tokens"] = Json::Int64(done_tokens_);
  (*state)["prefills_evicted"] = Json::Int64(evicted_);
  (*state)["prefills_recomputed"] = Json::Int64(recomputed_);
  (*state)["prefills_wasted"] = Json::Int64(evicted_ + recomputed_);
  (*state)["prefills_cancelled"] = Json::Int64(cancelled_);
  (*state)["wasted_tokens"] = Json::Int64(wasted_tokens_);
}

}  // namespace mimosa::standins
