// Tells which back ends are warming up: for a while after its start, and
// whenever it says so, a back end takes only so many requests a second from all
// daemons together.
//
// Model: the service's configuration gives the time that a back end warms up
// after its start and the rate that it takes meanwhile. A start is an entry or
// an incarnation that appears after the first listing, whatever the entry
// says, since it may not say it yet. Besides, a back end warms up for as long
// as its entry states each time that the statement changes, and as its
// responses or other daemons say. Of several such times the longest holds, so
// that neither a late nor a false message ends one early. What another daemon
// has told isn't passed on: with the time on the way, two daemons would extend
// each other's time for ever.
//
// Load pattern covered: the engines of a whole failure domain come back at the
// same moment, empty and thus the first choice of every daemon, while more
// callers than usual arrive.
#ifndef DECIDE_WARM_UP_H_
#define DECIDE_WARM_UP_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "decide/back_end_list.h"
#include "decide/site.h"

namespace mimosa {

// From where a daemon knows that a back end warms up.
enum class WarmUpSource { kStart, kEntry, kResponse, kMember };

const char* WarmUpSourceName(WarmUpSource source);

class WarmUpTracker {
 public:
  // Longer times are shortened to this, so that a faulty value can't keep a
  // back end at a low rate for good.
  static constexpr Duration kMaxWarmUpTime = std::chrono::minutes(2);
  // Above this number, back ends that are no longer listed are forgotten.
  static constexpr size_t kMaxKnown = 5000;

  // A back end that has begun to warm up, or has ended it.
  struct Change {
    BackEndEntry back_end;
    WarmUpSource source = WarmUpSource::kStart;
    Duration time{};  // Zero: ended.
  };

  // Takes over the configuration. Returns the back ends that, by what is known
  // already, warm up at a rate that was unknown.
  std::vector<Change> SetServices(const std::vector<SiteService>& services,
                                  MonoTime now);
  // Takes over a change of the list; the first call is the first listing.
  // Returns the back ends that begin to warm up.
  std::vector<Change> Update(const BackEndList& listed, MonoTime now);
  // `source` has said that the back end warms up for `time` from now, in
  // whatever incarnation: a daemon that lacks contact with the store may know
  // only the one before. Returns the back end if it begins to warm up.
  std::optional<Change> Extend(const BackEndId& id, Duration time,
                               WarmUpSource source, MonoTime now);
  // Returns the back ends that have ended to warm up since the last call.
  std::vector<Change> TakeEnded(MonoTime now);
  // Returns when TakeEnded() has something to return; absent: nothing begun.
  std::optional<MonoTime> NextEnd() const;

  // Returns the requests a second that the back end takes from all daemons
  // while it warms up; absent: it doesn't.
  std::optional<double> FindRate(const BackEndId& id, MonoTime now) const;
  // Returns how much longer the back end warms up by what its entry and its
  // responses said to this daemon; zero if it doesn't.
  Duration FirstHandTimeLeft(const BackEndId& id, MonoTime now) const;
  size_t CountWarmingUp(MonoTime now) const;
  // Statements of entries that could not be taken as they were.
  uint64_t invalid_statements() const { return invalid_statements_; }

 private:
  struct Known {
    BackEndEntry entry;  // As of the last listing.
    MonoTime until{};    // As its entry stated last.
    bool is_listed = true;
  };
  struct WarmUp {
    BackEndEntry back_end;
    double rate = 0;
    WarmUpSource source = WarmUpSource::kStart;
    MonoTime until{};
    MonoTime first_hand_until{};  // Without what other daemons have told.
  };

  std::optional<Change> Begin(const BackEndEntry& back_end, Duration time,
                              WarmUpSource source, MonoTime now);
  void ForgetUnlisted();

  bool has_listing_ = false;
  std::map<ServiceId, SiteService> services_;
  std::map<BackEndId, Known> known_;
  // Of services with a rate. One stays here until TakeEnded() has returned it.
  std::map<BackEndId, WarmUp> warm_ups_;
  uint64_t invalid_statements_ = 0;
};

}  // namespace mimosa

#endif  // DECIDE_WARM_UP_H_
