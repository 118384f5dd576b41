// The limits that back ends in need name in their responses: how many requests
// a second they take from all daemons together.
//
// A limit holds for one incarnation of a back end and for as long as its
// responses name it. Responses on different connections overtake one another,
// so one without a limit ends it only if its call was started after the limit
// was learnt.
//
// Load pattern covered: an overloaded back end names a limit while responses to
// earlier requests are still arriving, changes it, and withdraws it.
#ifndef DECIDE_BACK_END_LIMITS_H_
#define DECIDE_BACK_END_LIMITS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "base/clock.h"
#include "base/ids.h"
#include "decide/site.h"

namespace mimosa {

class BackEndLimits {
 public:
  // Beyond this number, limits of further back ends are not kept.
  static constexpr size_t kMaxLimits = 5000;

  // `back_end` named `limit`, in requests a second, or none, in response to a
  // call that was started at `call_started`. Returns whether this changes what
  // is known.
  bool Record(const BackEndEntry& back_end, std::optional<double> limit,
              MonoTime call_started, MonoTime now);
  // Returns the limit of this incarnation; absent if it names none.
  std::optional<double> Find(const BackEndEntry& back_end) const;
  void Forget(const BackEndId& id) { limits_.erase(id); }
  size_t size() const { return limits_.size(); }

 private:
  struct Limit {
    int64_t incarnation = 0;
    double per_second = 0;
    MonoTime learned_at{};  // When the first of an unbroken series was named.
  };

  std::map<BackEndId, Limit> limits_;
};

}  // namespace mimosa

#endif  // DECIDE_BACK_END_LIMITS_H_
