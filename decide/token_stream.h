// Puts one answer together from the events of the engines that work on it.
//
// Model: an answer is a row of output tokens 0, 1, 2, ... and an end. Attempts
// may overlap: a stream that was given up can still speak, a resumed one may
// repeat tokens, an engine may mix up requests. An event counts only if it
// names this request and the attempt that is live; tokens already taken are
// dropped; a gap is a fault of the attempt. So each token is passed on once, in
// order, and the answer ends once.
#ifndef DECIDE_TOKEN_STREAM_H_
#define DECIDE_TOKEN_STREAM_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "base/ids.h"

namespace mimosa {

// What to do with an event.
enum class TokenEventType {
  kToken,      // pass `text` on
  kEnd,        // the answer is whole
  kForeign,    // of another request or attempt: drop and count
  kDuplicate,  // already passed on: drop
  kGap,        // tokens are missing: the attempt can't be trusted any more
  kMalformed,  // not an event of the engine's protocol: likewise
};

struct TokenEvent {
  TokenEventType type = TokenEventType::kMalformed;
  std::string text;    // kToken
  std::string finish;  // kEnd: "stop" or "length"
};

class TokenStream {
 public:
  // `check_identity` false: the naive version, which trusts every event.
  explicit TokenStream(RequestId request, bool check_identity = true);

  // Makes a new attempt the live one; returns its number (from 1).
  int BeginAttempt() { return ++attempt_; }
  int attempt() const { return attempt_; }

  // Judges the data of one event of a stream opened for `attempt`.
  TokenEvent ProcessEvent(int attempt, std::string_view data);

  // Output tokens passed on so far: also the offset at which to resume.
  Tokens accepted_tokens() const { return Tokens(next_index_); }
  bool ended() const { return ended_; }

 private:
  const RequestId request_;
  const bool check_identity_;
  int attempt_ = 0;
  int64_t next_index_ = 0;  // of the token to pass on next
  bool ended_ = false;      // nothing is passed on after the end
};

}  // namespace mimosa

#endif  // DECIDE_TOKEN_STREAM_H_
