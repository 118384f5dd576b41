// Decides whether a response without framing, which only the close of its
// connection has ended, is complete.
//
// Model: when a process terminates, its kernel closes its connections in the
// same orderly way as the process itself would have. So the close alone says
// nothing. It was the server's own if the server has outlived it, and only a
// sign of life from after the close shows that. The server is asked for one on
// a new connection, so that no earlier response can be taken for it:
//
//   sign of the same server and incarnation      complete
//   connection refused, sign of another server
//   or of another incarnation                    truncated
//   connection of the response reset behind
//   its end                                      truncated
//   more events generated than received          truncated
//   no sign: lost, or the engine is overloaded   asked again for a while, then
//                                                truncated
//
// A plain server is asked in the same queue as for work, so there a rejection
// is the only sign while it is full. A sign that names no incarnation counts
// only if the first request has brought it: a server that has terminated isn't
// back by then, but may be by the second. A mere connection is no sign, since
// the kernel accepts some for a process that is about to end.
//
// A caller can repair a truncated end, but can't recognize a false one. A
// server that truncates a response and lives on isn't recognized, unless its
// statement says so.
//
// Load pattern covered: servers that terminate in the middle of responses and
// restart at once under their ids, beside others that lose or reject calls.
#ifndef DECIDE_RESPONSE_END_H_
#define DECIDE_RESPONSE_END_H_

#include <cstdint>
#include <optional>

#include "base/clock.h"
#include "base/ids.h"
#include "decide/site.h"

namespace mimosa {

// What became of one request for a sign of life.
struct LifeSign {
  enum class Kind {
    // What the server says of itself.
    kStatement,
    // A response that says nothing, since the server is too busy.
    kRejection,
    kOther,    // Another server or incarnation has the address.
    kRefused,  // Nothing listens at the address.
    kNone,     // No response, or none that the server can have sent.
  };
  Kind kind = Kind::kNone;
  // The server and its incarnation, as far as the response names them.
  std::optional<BackEndId> back_end;
  std::optional<int64_t> incarnation;
  // How many events the server says that it has generated of the response;
  // absent if it says nothing of it.
  std::optional<int64_t> events_generated;
  // The connection of the response was reset behind its end.
  bool connection_reset = false;
};

enum class EndVerdict {
  kComplete,
  kTruncated,  // The server lives, or nothing is known of it.
  // Truncated: the server has terminated or dropped the connection.
  kLost,
  kUndecided
};

class ResponseEndJudge {
 public:
  // `sender` is the entry under which the request was sent, `events` how many
  // events the caller has at least, `closed_at` the time of the close. No
  // verdict is awaited for longer than `time_left`.
  ResponseEndJudge(const BackEndEntry& sender, int64_t events,
                   MonoTime closed_at, Duration time_left);

  // Returns what the sign shows that `asked` requests have brought.
  EndVerdict Judge(const LifeSign& sign, int asked) const;
  // Returns the time at which to ask next, once `asked` requests have brought
  // no verdict; nullopt if the response counts as truncated.
  std::optional<MonoTime> NextRequestAt(int asked, MonoTime now) const;

 private:
  const BackEndId back_end_;
  const bool is_engine_;
  const int64_t incarnation_;  // 0: the server states none.
  const int64_t events_;
  const MonoTime give_up_at_;
};

}  // namespace mimosa

#endif  // DECIDE_RESPONSE_END_H_
