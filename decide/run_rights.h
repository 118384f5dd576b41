// The rights under which the runs of one request may be sent to back ends.
//
// Model: a back end may be at work on a request from the first byte of the call
// that is written until the connection of that call has ended or its response
// is complete. A run takes a RunRight before that first byte and keeps it for
// as long as the back end may be at work. A right that is released counts as a
// run, unless the request is certain not to have been executed under it.
//
//   at most once, stream   one run
//   resumable stream       one run at a time, at up to `max_attempts` back
//                          ends; a stream may return to each of them once
//   idempotent             runs at up to `max_attempts` back ends
//
// So a stream never goes on at one engine while another may be at work on it,
// and a request is only refused as not executed if no run may have begun.
//
// Load pattern covered: engines that preempt runs and fall silent in the middle
// of streams, beside others whose responses are late or lost.
#ifndef DECIDE_RUN_RIGHTS_H_
#define DECIDE_RUN_RIGHTS_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>

#include "base/ids.h"
#include "decide/site.h"

namespace mimosa {

class RunRights;

// The right to run a request at one back end. The destructor releases it.
class RunRight {
 public:
  RunRight(RunRight&&) = default;
  RunRight& operator=(RunRight&& other) noexcept;
  ~RunRight() { Release(); }

  // The back end can't be at work on the request any more, but may have been.
  void Release();
  // The back end has not executed the request and never will.
  void ReleaseUnexecuted();

 private:
  friend class RunRights;
  RunRight(std::shared_ptr<RunRights> rights, BackEndId back_end)
      : rights_(std::move(rights)), back_end_(std::move(back_end)) {}

  std::shared_ptr<RunRights> rights_;  // nullptr once it is released.
  BackEndId back_end_;
};

// The runs of one request.
class RunRights : public std::enable_shared_from_this<RunRights> {
 public:
  // For a request that has run nowhere. `max_attempts` is the number of back
  // ends that may run it, at least one.
  static std::shared_ptr<RunRights> Create(RetryPolicy policy,
                                           int max_attempts);

  // Returns the right to run the request at `back_end`; nullopt if there is
  // none now.
  std::optional<RunRight> Acquire(const BackEndId& back_end);
  // Whether a back end may have executed the request, or may be doing so.
  bool may_have_run() const { return !runs_.empty(); }
  // Whether a run has ended that may have been executed.
  bool HasEndedRun() const;
  // Whether a back end that hasn't run the request may do so, apart from
  // `planned` others that are to run it.
  bool MayRunElsewhere(int planned = 0) const;
  // Back ends that have run the request and may run it once more. Empty unless
  // the policy is kResumableStream.
  std::set<BackEndId> BackEndsToReturnTo() const;

 private:
  friend class RunRight;
  RunRights(RetryPolicy policy, int max_attempts);
  bool MayRunAt(const BackEndId& back_end) const;
  void Release(const BackEndId& back_end, bool may_have_run);

  const RetryPolicy policy_;
  const int max_attempts_;
  int active_ = 0;  // Rights that aren't released.
  // Runs that go on or may have been executed, by back end; never zero.
  std::map<BackEndId, int> runs_;
};

}  // namespace mimosa

#endif  // DECIDE_RUN_RIGHTS_H_
