// Compares the incrementally updated sum with a sum over all reports.
#include "decide/open_work.h"

#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <utility>

#include "base/random.h"

namespace mimosa {
namespace {

using std::chrono::milliseconds;

struct Reference {
  struct Report {
    OpenWorkByBackEnd work;
    MonoTime received_at{};
  };
  OpenWorkByBackEnd AllBut(const std::string& daemon) const {
    OpenWorkByBackEnd sum;
    for (const auto& [name, report] : reports) {
      if (name == daemon) continue;
      for (const auto& [id, work] : report.work) {
        if (work.calls == 0) continue;
        sum[id].calls += work.calls;
        sum[id].tokens += work.tokens;
      }
    }
    return sum;
  }
  std::map<std::string, Report> reports;
};

bool Same(const OpenWorkByBackEnd& a, const OpenWorkByBackEnd& b) {
  if (a.size() != b.size()) return false;
  for (const auto& [id, work] : a) {
    const auto it = b.find(id);
    if (it == b.end() || it->second.calls != work.calls ||
        it->second.tokens != work.tokens)
      return false;
  }
  return true;
}

TEST_CASE("the sum equals that of the newest reports") {
  for (uint64_t seed = 1; seed <= 50; ++seed) {
    INFO("seed " << seed);
    SeededRandom random(seed);
    OpenWorkSums sums;
    Reference reference;
    MonoTime now{};
    for (int step = 0; step < 300; ++step) {
      now += milliseconds(random.UniformInt(100));
      const std::string daemon = "d" + std::to_string(random.UniformInt(6));
      const uint64_t operation = random.UniformInt(10);
      if (operation == 0) {
        sums.RemoveReport(daemon);
        reference.reports.erase(daemon);
      } else if (operation == 1) {
        const MonoTime cutoff = now - milliseconds(800);
        sums.RemoveReportsBefore(cutoff);
        for (auto it = reference.reports.begin();
             it != reference.reports.end();)
          it = it->second.received_at < cutoff ? reference.reports.erase(it)
                                               : std::next(it);
      } else {
        OpenWorkByBackEnd work;
        for (uint64_t i = random.UniformInt(4); i > 0; --i)
          work[BackEndId("e" + std::to_string(random.UniformInt(5)))] = {
              static_cast<int>(random.UniformInt(3)),
              Tokens(static_cast<int64_t>(random.UniformInt(5000)))};
        for (auto& [id, open] : work)
          if (open.calls == 0) open.tokens = Tokens(0);
        sums.SetReport(daemon, work, now);
        reference.reports[daemon] = {std::move(work), now};
      }
      for (int i = 0; i < 7; ++i) {
        const std::string reader = "d" + std::to_string(i);
        REQUIRE(Same(sums.SumExcept(reader), reference.AllBut(reader)));
      }
    }
  }
}

}  // namespace
}  // namespace mimosa
