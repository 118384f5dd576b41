// Declares what the two roles of the stand-in engine share: options, injected
// faults, the matching of requests to cancel, and the interface of a role.
#ifndef STANDINS_ENGINE_H_
#define STANDINS_ENGINE_H_

#include <json/value.h>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "net/http.h"

namespace mimosa::standins {

using ExchangePtr = std::shared_ptr<HttpExchange>;

struct EngineOptions {
  Pieces kv_pieces{20};     // size of the KV memory
  int64_t max_running = 8;  // concurrent prompts or streams
  int64_t max_waiting = 64;
  Duration prefill_time_per_token{};
  Duration base_step_time{};  // duration of a decode step of an empty batch
  Duration step_time_per_stream{};  // added to a step for each running stream
  Duration kv_ttl{};  // after this an unclaimed prefill result is evicted
  int64_t link_bytes_per_second = 0;
  int64_t kv_bytes_per_token = 0;
  bool cancel_on_disconnect = false;
  // How long a stream that finished without a reader can be resumed.
  Duration resume_window{};
  // Factor on link time; the durations above are already scaled.
  double time_scale = 1;
};

// Holds the injected faults. They remain in effect until changed.
struct EngineFaults {
  int64_t stall_prefill = 0;  // this many of the next prefills never finish
  // Streams stall after this many tokens; -1: never.
  int64_t stall_decode_after = -1;
  // The process exits after this many tokens; -1: never.
  int64_t die_after_tokens = -1;
  bool cross_answers = false;   // streams also carry events of other requests
  bool double_answers = false;  // each event is sent twice
  Duration response_delay{};    // "late_ms": delay before a response starts
  bool nonsense = false;        // responses are invalid JSON
  // Streams are aborted after this many bytes; -1: never.
  int64_t close_after_bytes = -1;
};

// Selects the requests that a cancel call refers to: one by its id, or all
// whose id starts with a prefix. With `last_attempt` >= 0, only attempts up to
// that one match, so that the call can't cancel an attempt that started later.
class RequestMatcher {
 public:
  RequestMatcher(std::string request_id, std::string id_prefix,
                 int64_t last_attempt)
      : request_id_(std::move(request_id)),
        id_prefix_(std::move(id_prefix)),
        last_attempt_(last_attempt) {}
  bool Matches(const std::string& request_id,
               const Json::Value& attempt) const {
    if (last_attempt_ >= 0 && attempt.isInt64() &&
        attempt.asInt64() > last_attempt_)
      return false;
    if (!request_id_.empty()) return request_id == request_id_;
    return !id_prefix_.empty() &&
           request_id.compare(0, id_prefix_.size(), id_prefix_) == 0;
  }

 private:
  std::string request_id_;
  std::string id_prefix_;
  int64_t last_attempt_;
};

struct CancelResult {
  int64_t cancelled = 0;
  Pieces freed{};
};

struct HeldPieces {
  std::string request_id;
  Pieces pieces{};
};

// Holds an engine's load as reported to routers.
struct EngineLoad {
  int64_t running = 0;
  int64_t waiting = 0;
  Pieces free_pieces{};
  std::vector<HeldPieces> held_pieces;
};

// Interface of the prefill and decode roles.
class EngineRole {
 public:
  virtual ~EngineRole() = default;
  // Handles a request if `path` belongs to this role; otherwise returns false.
  virtual bool HandleRequest(const std::string& path,
                             const ExchangePtr& exchange,
                             const Json::Value& body) = 0;
  virtual CancelResult CancelMatching(const RequestMatcher& matcher) = 0;
  virtual EngineLoad CurrentLoad() const = 0;
  // Adds the role's exact counters, for the test-only interface.
  virtual void AddDebugState(Json::Value* state) const = 0;
};

}  // namespace mimosa::standins

#endif  // STANDINS_ENGINE_H_
