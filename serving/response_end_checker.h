// Asks a back end for signs of life until it is decided whether a response that
// only the close of its connection has ended is complete
// (decide/response_end.h).
//
// An engine is asked for its report, which names its incarnation and needs no
// slot; a plain server is probed as by the reachability monitor.
#ifndef SERVING_RESPONSE_END_CHECKER_H_
#define SERVING_RESPONSE_END_CHECKER_H_

#include <cstdint>
#include <functional>
#include <memory>

#include "decide/response_end.h"
#include "net/event_loop.h"
#include "net/http.h"
#include "serving/relay_deps.h"

namespace mimosa {

class ResponseEndChecker {
 public:
  // `verdict` is not kUndecided.
  using Callback = std::function<void(EndVerdict verdict)>;

  // `callback` runs once, from the loop, and may destroy the checker, which
  // ends the check. `request` outlives the checker; `response`, the call whose
  // end is checked, lives until the callback, which may destroy it.
  // `incarnation` is that of `sender` when the request was sent, `began_at` the
  // time when its run had begun at the latest, `events` how many events the
  // caller has at least.
  ResponseEndChecker(const RelayDeps& deps, const RelayRequest& request,
                     const BackEndEntry& sender, int64_t incarnation,
                     int64_t events, MonoTime began_at, Duration time_left,
                     const HttpCall& response, Callback callback);

 private:
  void ScheduleRequest();
  void SendRequest();
  void OnResult(const HttpResult& result);
  LifeSign ReadSign(const HttpResult& result) const;
  bool IsRestarted() const;
  void Finish(EndVerdict verdict);
  // Whether the back end may be sent a request now.
  bool MaySend() const;

  const RelayDeps& deps_;
  const RelayRequest& request_;
  const HttpCall& response_;
  const BackEndEntry sender_;
  const MonoTime closed_at_;
  ResponseEndJudge judge_;
  const Callback callback_;
  int asked_ = 0;  // Requests that were due; none is sent while none may be.
  MonoTime asked_at_{};  // When the last one was.
  TimerHandle timer_;
  std::unique_ptr<HttpCall> call_;
};

}  // namespace mimosa

#endif  // SERVING_RESPONSE_END_CHECKER_H_
