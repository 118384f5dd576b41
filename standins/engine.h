// What the two roles of the stand-in engine share: options, injected faults,
// the matching of requests to cancel, and the interface of a role.
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
  Pieces kv_pieces{20};     // KV memory
  int64_t max_running = 8;  // prompts or streams at once
  int64_t max_waiting = 64;
  Duration prefill_time_per_token{};
  Duration base_step_time{};        // one decode step of an empty batch
  Duration step_time_per_stream{};  // longer by this much for each stream in it
  Duration kv_ttl{};                // an unclaimed prefill result lives so long
  int64_t link_bytes_per_second = 0;
  int64_t kv_bytes_per_token = 0;
  bool cancel_on_disconnect = false;
  Duration linger_time{};  // a stream that ended unread can be resumed so long
  double time_scale = 1;   // of link time; the durations above are scaled
};

// Faults that a test asked for; they hold until changed.
struct EngineFaults {
  int64_t stall_prefill = 0;        // the next prefills never end
  int64_t stall_decode_after = -1;  // streams stop after so many tokens
  int64_t die_after_tokens = -1;    // the process ends after so many tokens
  bool cross_answers = false;       // events of other requests are mixed in
  bool double_answers = false;      // each event comes twice
  Duration response_delay{};        // answers start so much later
  bool nonsense = false;            // answers are no JSON
  int64_t close_after_bytes = -1;   // streams are cut after so many bytes
};

// What an order to cancel means: one request by its id, or all whose id starts
// with a prefix; with `last_attempt` >= 0 only its attempts up to that one, so
// that the order can't hit an attempt that began after it.
class RequestMatcher {
 public:
  RequestMatcher(std::string request, std::string prefix, int64_t last_attempt)
      : request_id_(std::move(request)),
        id_prefix_(std::move(prefix)),
        last_attempt_(last_attempt) {}
  bool Matches(const std::string& request, const Json::Value& attempt) const {
    if (last_attempt_ >= 0 && attempt.isInt64() &&
        attempt.asInt64() > last_attempt_)
      return false;
    if (!request_id_.empty()) return request == request_id_;
    return !id_prefix_.empty() &&
           request.compare(0, id_prefix_.size(), id_prefix_) == 0;
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

// What an engine says about its load.
struct EngineLoad {
  int64_t running = 0;
  int64_t waiting = 0;
  Pieces free_pieces{};
  std::vector<HeldPieces> held_pieces;
};

// Prefill or decode.
class EngineRole {
 public:
  virtual ~EngineRole() = default;
  // Serves the role's own paths; false if `path` is none of them.
  virtual bool HandleRequest(const std::string& path,
                             const ExchangePtr& exchange,
                             const Json::Value& body) = 0;
  virtual CancelResult CancelMatching(const RequestMatcher& matcher) = 0;
  virtual EngineLoad CurrentLoad() const = 0;
  // Adds the exact counts of the test-only interface.
  virtual void AddDebugState(Json::Value* state) const = 0;
};

}  // namespace mimosa::standins

#endif  // STANDINS_ENGINE_H_
