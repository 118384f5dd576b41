// Sums the open work of the daemons of a fleet at each back end.
//
// Model: the newest report of each daemon counts until it is replaced or too
// old. The sum is updated with each report, so the cost of a read depends on
// the number of back ends with open work and not on the size of the fleet.
//
// Load pattern covered: hundreds of daemons that each report several times per
// second to one of them.
#ifndef DECIDE_OPEN_WORK_H_
#define DECIDE_OPEN_WORK_H_

#include <map>
#include <string>

#include "base/clock.h"
#include "base/ids.h"

namespace mimosa {

struct OpenWork {
  int calls = 0;
  Tokens tokens;  // KV memory that the calls will occupy when they end
};
using OpenWorkByBackEnd = std::map<BackEndId, OpenWork>;

class OpenWorkSums {
 public:
  // Replaces the daemon's previous report. `now` must not go backwards.
  void SetReport(const std::string& daemon, OpenWorkByBackEnd work,
                 MonoTime now);
  void RemoveReport(const std::string& daemon);
  // Removes the reports received before `cutoff`.
  void RemoveReportsBefore(MonoTime cutoff);

  // Returns the sum over all daemons except `daemon`. Back ends without open
  // calls are left out.
  OpenWorkByBackEnd SumExcept(const std::string& daemon) const;

 private:
  struct Report {
    OpenWorkByBackEnd work;
    MonoTime received_at{};
  };
  using Reports = std::map<std::string, Report>;

  Reports::iterator EraseReport(Reports::iterator report);

  Reports reports_;
  OpenWorkByBackEnd sum_;    // over all reports; has no entry without calls
  MonoTime oldest_bound_{};  // lower bound of received_at over reports_
};

}  // namespace mimosa

#endif  // DECIDE_OPEN_WORK_H_
