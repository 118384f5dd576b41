// The limits that back ends in need name in their responses: how many requests
// a second they take from all daemons together.
//
// A limit holds for one incarnation of a back end and for as long as its
// responses name it. Responses on different connections overtake one another,
// so one without a limit ends it only if its call was started after the limit
// began. Of what several daemons have heard, the newest holds.
//
// Load pattern covered: an overloaded back end names a limit while responses to
// earlier requests are still arriving, changes it, and withdraws it, and few
// of the daemons hear each of this from the back end itself.
#ifndef DECIDE_BACK_END_LIMITS_H_
#define DECIDE_BACK_END_LIMITS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "base/clock.h"
#include "base/ids.h"
#include "decide/back_end_list.h"
#include "decide/site.h"

namespace mimosa {

class BackEndLimits {
 public:
  // Beyond this number, limits of further back ends are not kept.
  static constexpr size_t kMaxLimits = 5000;

  // What a back end named last.
  struct Statement {
    std::optional<double> per_second;  // absent: no limit
    MonoTime named_at{};
  };

  // `back_end` named `limit`, in requests a second, or none, in response to a
  // call that was started at `call_started`. Returns whether this changes what
  // is known.
  bool Record(const BackEndEntry& back_end, std::optional<double> limit,
              MonoTime call_started, MonoTime now);
  // Another daemon has heard `statement`. Returns whether this changes what is
  // known.
  bool Merge(const BackEndEntry& back_end, const Statement& statement);

  // Returns the limit of this incarnation; absent if it names none.
  std::optional<double> Find(const BackEndEntry& back_end) const;
  // Returns what this incarnation named last; absent if it never named a limit.
  std::optional<Statement> FindStatement(const BackEndEntry& back_end) const;
  // Forgets the limits of back ends that aren't listed in this incarnation.
  void ForgetUnlisted(const BackEndList& listed);
  // Returns the number of back ends that name a limit.
  size_t size() const;

 private:
  struct State {
    int64_t incarnation = 0;
    Statement last;
    MonoTime began_at{};  // When the limit in force was named first.
  };

  std::map<BackEndId, State> states_;
};

}  // namespace mimosa

#endif  // DECIDE_BACK_END_LIMITS_H_
