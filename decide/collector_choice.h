// Chooses the daemon to which this daemon reports its usage.
//
// Model: of the responsive members with the fastest link, the one with the
// highest rendezvous hash is the collector, so that daemons with the same view
// agree on it without messages. The collector carries the reports of the whole
// fleet, which a small VM's link and processor can't. A
// member is silent if it has left several reports unanswered for a while. Time
// without reports does not count: an idle daemon reports seldom, and that must
// not look like silence. A silent member is probed from time to time and used
// again only after an answer, so that a lasting cut doesn't interrupt the
// exchange. A member that reports to another collector itself answers with a
// redirect; the daemon follows it unless it knows that collector to be silent.
//
// Load pattern covered: hundreds of mostly idle daemons whose reports are so
// far apart that two of them take longer than the response timeout; parts of
// the fleet cut off from each other for long, and coming back.
#ifndef DECIDE_COLLECTOR_CHOICE_H_
#define DECIDE_COLLECTOR_CHOICE_H_

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"

namespace mimosa {

class CollectorChoice {
 public:
  struct Member {
    std::string name;
    double link_mbps = 0;  // Bandwidth of its VM's link.
  };
  struct Options {
    // A collector is silent once its oldest unanswered report is older.
    Duration response_timeout = std::chrono::milliseconds(900);
    // Minimum number of unanswered reports of a silent collector, since
    // datagrams are lost occasionally.
    int min_unanswered_reports = 2;
    // Time between two probes of a silent member. A redirect to it is followed
    // after half of this time.
    Duration probe_interval = std::chrono::seconds(4);
  };

  CollectorChoice(Member self, const Options& options)
      : self_(std::move(self)), options_(options) {}

  // Chooses among this daemon and `others`, the other members. Returns whether
  // the choice changed.
  bool Choose(const std::vector<Member>& others, MonoTime now);
  // Returns the silent member to which a report is to be sent now in addition
  // to the collector, if any.
  std::optional<std::string> NextProbe(const std::vector<Member>& others,
                                       MonoTime now);

  void OnReportSent(MonoTime now);
  // `member` has answered as a collector.
  void OnResponse(const std::string& member);
  // `member` has answered that it reports to `collector` itself. Returns
  // whether to choose again at once.
  bool OnRedirect(const std::string& member, const std::string& collector,
                  MonoTime now);

  // Name of the collector, which may be this daemon; empty before the first
  // call of Choose().
  const std::string& collector() const { return collector_.name; }
  // Returns the age of the oldest report that the collector has not answered;
  // zero if it has answered the last one.
  Duration UnansweredTime(MonoTime now) const;

 private:
  bool IsSilent(MonoTime now) const;
  // Returns whether `a` goes before `b`.
  static bool IsPreferred(const Member& a, const Member& b);
  // Returns the most preferred member for which `accept` holds; nullptr if
  // there is none.
  template <typename Accept>
  static const Member* MostPreferred(const std::vector<Member>& members,
                                     const Accept& accept);

  const Member self_;
  const Options options_;
  Member collector_;
  int unanswered_reports_ = 0;
  MonoTime unanswered_since_{};  // Valid while unanswered_reports_ > 0.
  // Silent members, with the time of the last probe or of the detection.
  std::map<std::string, MonoTime> silent_;
};

}  // namespace mimosa

#endif  // DECIDE_COLLECTOR_CHOICE_H_
