// Adds up what the daemons of a fleet have open at backend servers.
//
// Model: each daemon's newest report counts until it is replaced, or too old.
// The sum is kept up to date with each report, so that a reader's answer costs
// what there is to say and not what the fleet's size would make of it.
//
// Load pattern answered: hundreds of daemons that report several times a second
// to one of them.
#ifndef DECIDE_OPEN_WORK_H_
#define DECIDE_OPEN_WORK_H_

#include <map>
#include <string>

#include "base/clock.h"
#include "base/ids.h"

namespace mimosa {

struct OpenWork {
  int calls = 0;
  Tokens tokens;  // KV memory that the calls will take in the end
};
using OpenWorkByBackEnd = std::map<BackEndId, OpenWork>;

class OpenWorkSums {
 public:
  // Replaces what the daemon reported before. `now` never goes back.
  void SetReport(const std::string& daemon, OpenWorkByBackEnd work,
                 MonoTime now);
  void RemoveReport(const std::string& daemon);
  // Forgets reports from before `then`.
  void RemoveReportsBefore(MonoTime then);

  // Of all daemons but this one; servers without work are left out.
  OpenWorkByBackEnd SumExcept(const std::string& daemon) const;

 private:
  struct Report {
    OpenWorkByBackEnd work;
    MonoTime received_at{};
  };
  using Reports = std::map<std::string, Report>;

  Reports::iterator EraseReport(Reports::iterator report);

  Reports reports_;
  OpenWorkByBackEnd sum_;    // of all reports; no entry without calls
  MonoTime oldest_bound_{};  // no report is older
};

}  // namespace mimosa

#endif  // DECIDE_OPEN_WORK_H_
