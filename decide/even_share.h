// The share of a fleet-wide allowance that a daemon may use without asking
// others.
//
// Model: each member of the fleet has the same share. What all of them together
// use in a window must stay within the allowance, also while members restart,
// join, leave or don't hear of each other:
// - A daemon uses its share only while its own record is listed, and for the
//   memory after it was last seen.
// - A member whose record is gone counts until it can't use its share any more
//   and what it has used has left the window.
// - A process has only a small part of its share at first: what its predecessor
//   used has to leave the window, the others have to learn of it, and members
//   whose records were gone before it came have to be listed again, or to lose
//   their shares. It has none until those that are alive are listed again.
//
// Load pattern covered: many daemons restart within one window, or the store
// drops the records of all, while back ends reject most requests.
#ifndef DECIDE_EVEN_SHARE_H_
#define DECIDE_EVEN_SHARE_H_

#include <map>
#include <optional>
#include <string>
#include <utility>

#include "base/clock.h"

namespace mimosa {

class EvenShare {
 public:
  struct Options {
    // In which the allowance counts.
    Duration window = std::chrono::seconds(10);
    // How long a daemon uses its share after its own record was last seen.
    Duration memory = std::chrono::seconds(10);
    // Within this time the others see a change that one member sees.
    Duration spread = std::chrono::seconds(5);
  };

  // `self`: the name of this daemon.
  EvenShare(std::string self, const Options& options)
      : self_(std::move(self)), options_(options) {}

  void SetWindow(Duration window) { options_.window = window; }

  // The record of a member, this daemon included, is listed, or no longer is.
  void OnMember(const std::string& name, MonoTime now);
  void OnMemberGone(const std::string& name, MonoTime now);

  // The list of members is known up to now. Called before what has changed.
  void OnContact(MonoTime now);

  enum class Standing {
    kNone,         // Has no share.
    kStarting,     // May use a small part of its share.
    kEstablished,  // May use its share.
  };
  Standing GetStanding(MonoTime now) const;
  // Returns this daemon's share, from 0 to 1; 0 if it has none.
  double Get(MonoTime now) const;
  // Number of members that may use their shares.
  int CountMembers(MonoTime now) const;

 private:
  // Whether a member whose record was removed then still counts.
  bool Counts(MonoTime gone_at, MonoTime now) const;
  // Whether the own record hasn't been seen for `time`.
  bool IsUnseenFor(Duration time, MonoTime now) const;
  // The others may not know of this daemon.
  void StartAnew(MonoTime now);

  const std::string self_;
  Options options_;
  // When the records of members were removed; absent: it is listed.
  std::map<std::string, std::optional<MonoTime>> gone_at_by_member_;
  // When the own record was last seen, if ever, and when before that.
  std::optional<MonoTime> own_seen_at_;
  std::optional<MonoTime> own_seen_before_;
  // From when a small part, and the whole, of the share may be used. Set if
  // own_seen_at_ is.
  MonoTime starts_at_{};
  MonoTime usable_from_{};
};

}  // namespace mimosa

#endif  // DECIDE_EVEN_SHARE_H_
