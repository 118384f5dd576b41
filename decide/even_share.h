// The share of a fleet-wide allowance that a daemon may use without asking
// others.
//
// Model: each member of the fleet has the same share. What all of them together
// use in a window must stay within the allowance, also while members restart: a
// process has no share until what its predecessor used has left the window, and
// the others have learned of it.
//
// Load pattern covered: many daemons restart within one window while back ends
// reject most requests.
#ifndef DECIDE_EVEN_SHARE_H_
#define DECIDE_EVEN_SHARE_H_

#include <optional>
#include <set>
#include <string>
#include <utility>

#include "base/clock.h"

namespace mimosa {

class EvenShare {
 public:
  struct Options {
    // In which the allowance counts.
    Duration window = std::chrono::seconds(10);
    // Within this time the others see a change that one member sees.
    Duration spread = std::chrono::seconds(5);
  };

  // `self`: the name of this daemon.
  EvenShare(std::string self, const Options& options)
      : self_(std::move(self)), options_(options) {}

  void SetWindow(Duration window) { options_.window = window; }

  // The record of a member, this daemon included, is listed, or no longer is.
  void OnMember(const std::string& name, MonoTime now);
  void OnMemberGone(const std::string& name);

  // Returns this daemon's share, from 0 to 1.
  double Get(MonoTime now) const;
  int CountMembers() const { return static_cast<int>(members_.size()); }

 private:
  const std::string self_;
  Options options_;
  std::set<std::string> members_;
  std::optional<MonoTime> joined_at_;
};

}  // namespace mimosa

#endif  // DECIDE_EVEN_SHARE_H_
