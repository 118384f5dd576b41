// Assembles one response from the events of the engines that work on it.
//
// Model: a response is a sequence of output tokens 0, 1, 2, ... and an end.
// Attempts may overlap: an abandoned stream can still send events, a resumed
// one may repeat tokens, and an engine may mix up requests. An event counts
// only if it names this request and the current attempt. Tokens that were
// already accepted are dropped, and a gap is a fault of the attempt. Each token
// is therefore passed on once and in order, and the response ends once.
#ifndef DECIDE_TOKEN_STREAM_H_
#define DECIDE_TOKEN_STREAM_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "base/ids.h"

namespace mimosa {

// What an event is, and thus what to do with it.
enum class TokenEventType {
  kToken,      // pass `text` on
  kEnd,        // the response is complete
  kForeign,    // of another request or attempt: drop and count
  kDuplicate,  // already passed on: drop
  kGap,        // tokens are missing: the attempt can't be trusted any more
  kMalformed,  // not an event of the engine's protocol: abandon the attempt too
};

struct TokenEvent {
  TokenEventType type = TokenEventType::kMalformed;
  std::string text;    // set for kToken
  std::string finish;  // set for kEnd: "stop" or "length"
};

class TokenStream {
 public:
  // If `check_identity` is false, every event is trusted. This is the naive
  // baseline.
  explicit TokenStream(RequestId request, bool check_identity = true);

  // Starts a new attempt, which becomes the current one. Returns its number,
  // counted from 1.
  int BeginAttempt() { return ++attempt_; }
  int attempt() const { return attempt_; }

  // Classifies the data of one event from a stream opened for `attempt`, and
  // accepts it if it is the next token or the end.
  TokenEvent ProcessEvent(int attempt, std::string_view data);

  // Number of output tokens passed on so far, which is also the offset at which
  // to resume.
  Tokens accepted_tokens() const { return Tokens(next_index_); }
  bool ended() const { return ended_; }

 private:
  const RequestId request_;
  const bool check_identity_;
  int attempt_ = 0;
  int64_t next_index_ = 0;  // index of the next token to pass on
  bool ended_ = false;      // nothing is passed on after the end
};

}  // namespace mimosa

#endif  // DECIDE_TOKEN_STREAM_H_
