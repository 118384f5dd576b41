// Chooses the daemons that serve requests for a daemon that doesn't reach the
// back ends itself.
//
// Model: the daemon asks a few members at random, half of them of its own
// failure domain, whether they reach a service, and keeps their answers for a
// short while. A request goes to the member with the least work, counting what
// this daemon has open there; another failure domain weighs as much as some
// requests. A member that hasn't lately seen a back end of the service is used
// only if no other is.
//
// Load pattern covered: a third of a large fleet, or all of a failure domain,
// loses its links at once. Each daemon knows other helpers than the next one,
// so that no helper is chosen by all, and nothing grows with the fleet.
#ifndef DECIDE_HELPER_CHOICE_H_
#define DECIDE_HELPER_CHOICE_H_

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "base/random.h"
#include "decide/site.h"

namespace mimosa {

class HelperChoice {
 public:
  struct Options {
    // Members asked in each of the own and the other failure domains.
    size_t asked_per_side = 3;
    // How long an answer is used.
    Duration answer_lifetime = std::chrono::milliseconds(1500);
    // A contact with a back end within this time shows that it is reached.
    Duration recent_contact = std::chrono::seconds(1);
    // Requests that another failure domain weighs.
    int other_zone_penalty = 16;
    // A member that could not be called is left out for this long.
    Duration failure_backoff = std::chrono::seconds(2);
  };
  struct Candidate {
    std::string name;
    FailureDomain zone;
  };
  // What a member answered.
  struct Answer {
    bool reaches = false;
    std::optional<Duration> contact_age;  // Absent: never.
    int running = 0;                      // Requests at that member.
  };

  HelperChoice(FailureDomain zone, RandomSource* random, const Options& options)
      : zone_(std::move(zone)), random_(random), options_(options) {}

  // Returns whom to ask.
  std::vector<std::string> PickMembersToAsk(
      const std::vector<Candidate>& members);
  void RecordAnswer(const ServiceId& service, const Candidate& member,
                    const Answer& answer, MonoTime now);
  void RecordFailure(const std::string& member, MonoTime now);
  // The member says that it doesn't reach the service either, or takes no more.
  void RecordRefusal(const ServiceId& service, const std::string& member);

  // Returns the best helper that isn't in `excluded`; absent if there is none.
  std::optional<std::string> Pick(const ServiceId& service,
                                  const std::set<std::string>& excluded,
                                  MonoTime now) const;
  // Returns whether a member is known to have had a recent contact.
  bool HasCertainHelper(const ServiceId& service, MonoTime now) const;
  // Returns whether members have lately answered and none of them reaches the
  // service.
  bool IsUnreachableForAll(const ServiceId& service, MonoTime now) const;

  // Count the requests that this daemon has open at a helper.
  void OnRequestStarted(const std::string& member) { ++open_[member]; }
  void OnRequestEnded(const std::string& member);

 private:
  struct Known {
    FailureDomain zone;
    Answer answer;
    MonoTime at{};
  };

  bool IsFresh(const Known& known, MonoTime now) const {
    return now - known.at < options_.answer_lifetime;
  }
  // Whether the member is known to reach the service, and not only to have
  // missed no call.
  bool IsCertain(const Known& known) const {
    return known.answer.reaches && known.answer.contact_age &&
           *known.answer.contact_age <= options_.recent_contact;
  }

  const FailureDomain zone_;
  RandomSource* const random_;
  const Options options_;
  std::map<ServiceId, std::map<std::string, Known>> known_;
  std::map<std::string, MonoTime> failed_until_;
  std::map<std::string, int> open_;  // No entry is zero.
};

}  // namespace mimosa

#endif  // DECIDE_HELPER_CHOICE_H_
