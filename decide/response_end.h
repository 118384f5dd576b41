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
//   run listed by its engine, or too young       asked again until a report is
//   for its report                               new enough, then truncated if
//                                                the run is listed
//   no sign: lost, or the engine is overloaded   asked again for a while, then
//                                                truncated
//
// A check that a deadline or a shutdown cuts short has no other evidence: a
// report that may be older than the end looks the same whether the run has
// ended or goes on. So it is truncated, but asks more and more often before.
//
// This end of the connection stays open until the verdict: an engine whose
// response something else has ended then works on, and its report shows that,
// some hundred milliseconds later.
//
// A plain server is asked in the same queue as for work, so there a rejection
// is the only sign while it is full. A sign that names no incarnation counts
// only if the first request has brought it: a server that has terminated isn't
// back by then, but may be by the second. A mere connection is no sign, since
// the kernel accepts some for a process that is about to end.
//
// A caller can repair a truncated end, but can't recognize a false one. A
// server that truncates a response, forgets its run and lives on isn't
// recognized.
//
// Load pattern covered: servers that terminate in the middle of responses and
// restart at once under their ids, beside others that lose or reject calls, and
// links that end the streams of an engine that works on.
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
  // Whether the server says which runs it has.
  bool lists_runs = false;
  // How many events the server says that it has generated of the response;
  // absent if it doesn't list the run.
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
  // `sender` is the entry under which the request was sent, `began_at` the time
  // when its run had begun at the latest,
  // `events` how many events the caller has at least, `closed_at` the time of
  // the close. No verdict is awaited for longer than `time_left`.
  ResponseEndJudge(const BackEndEntry& sender, int64_t events,
                   MonoTime began_at, MonoTime closed_at, Duration time_left);

  // Returns what the sign shows that `asked` requests have brought, the last
  // one of them sent at `asked_at`.
  EndVerdict Judge(const LifeSign& sign, int asked, MonoTime asked_at);
  // Returns the time at which to ask next, once `asked` requests have brought
  // no verdict; nullopt if the response counts as truncated.
  std::optional<MonoTime> NextRequestAt(int asked, MonoTime now) const;
  // A verdict is needed by `deadline`, if that is earlier than before.
  void DecideBy(MonoTime deadline);
  // Whether the last statement listed the run.
  bool is_run_listed() const { return is_run_listed_; }

 private:
  const BackEndId back_end_;
  const bool is_engine_;
  const int64_t incarnation_;  // 0: the server states none.
  const int64_t events_;
  const MonoTime began_at_;
  const MonoTime closed_at_;
  MonoTime deadline_;
  // The last statement was too old to say that the run has ended.
  bool awaits_newer_statement_ = false;
  bool is_run_listed_ = false;  // In the last one.
  bool was_run_listed_ = false;
  int asked_until_statement_ = 0;  // Requests up to the last statement.
};

}  // namespace mimosa

#endif  // DECIDE_RESPONSE_END_H_
