// mimosa-rounds: simulates all policies for all combinations of workload, load,
// fault and seed, and writes
//   rounds.csv          one line per run
//   rounds_summary.csv  means over the seeds, and paired differences to the
//                       first policy (same seed) with their standard error
//   rounds.json         the same summary as JSON
// bench/report/rounds.gp draws rounds_summary.csv.
#include <json/value.h>
#include <tclap/CmdLine.h>

#include <cmath>
#include <fstream>
#include <iostream>
#include <string>
#include <utility>
#include <vector>

#include "base/json.h"
#include "bench/rounds.h"

namespace mimosa::bench {
namespace {

// Runs with a fault stay below saturation; otherwise a recovery couldn't be
// recognized.
constexpr double kLoadWithFault = 0.8;

// Returns all policy sets. The first is the reference for the comparisons.
std::vector<Policies> AllPolicies() {
  using P = PlacementKind;
  using Q = QueueKind;
  using S = SheddingKind;
  const LimitsKind allotments = LimitsKind::kAllotments;
  return {
      {"chosen", P::kReserve, Q::kFair, S::kDeadline, allotments},
      {"fifo-queue", P::kReserve, Q::kFifo, S::kDeadline, allotments},
      {"no-shedding", P::kReserve, Q::kFair, S::kNone, allotments},
      {"static-limits", P::kReserve, Q::kFair, S::kDeadline,
       LimitsKind::kStatic},
      {"overcommit-10", P::kReserve, Q::kFair, S::kDeadline, allotments, 0.1},
      {"overcommit-20", P::kReserve, Q::kFair, S::kDeadline, allotments, 0.2},
      {"memory-first", P::kReserve, Q::kFair, S::kDeadline, allotments, 0,
       false},
      {"least-loaded", P::kLeastLoaded, Q::kFifo, S::kNone, allotments},
      {"round-robin", P::kRoundRobin, Q::kFifo, S::kNone, allotments},
      {"random", P::kRandom, Q::kFifo, S::kNone, allotments},
  };
}

std::vector<Scenario> AllScenarios(bool quick) {
  std::vector<Scenario> scenarios;
  for (const Workload& workload : {TrustWorkload(), PortWorkload()}) {
    if (quick) {
      scenarios.push_back({workload, 1.0, Fault::kNone});
      continue;
    }
    for (const double load : {0.6, 0.8, 1.0, 1.2, 1.5}) {
      scenarios.push_back({workload, load, Fault::kNone});
    }
    for (const Fault fault : {Fault::kGreedyCustomer, Fault::kEngineDies,
                              Fault::kRouterDies, Fault::kLinkStalls}) {
      scenarios.push_back({workload, kLoadWithFault, fault});
    }
  }
  return scenarios;
}

using Field = std::pair<const char*, double>;

std::vector<Field> ToFields(const Measurements& m) {
  return {{"goodput", m.goodput},
          {"whole", m.completed_per_second},
          {"good_share", m.good_share},
          {"wasted_prefill", m.wasted_prefill_share},
          {"evicted", static_cast<double>(m.evicted_prefills)},
          {"worst_customer", m.worst_customer_ratio},
          {"refused_inside", m.refused_share},
          {"failed_inside", m.failed_share},
          {"first_token_p95", m.first_token_p95}};
}

std::string ScenarioKey(const Scenario& s) {
  return s.workload.name + "," + std::to_string(s.load).substr(0, 4) + "," +
         FaultName(s.fault);
}

struct Mean {
  double mean = 0;
  double standard_error = 0;
};

Mean ComputeMean(const std::vector<double>& values) {
  Mean out;
  const auto n = static_cast<double>(values.size());
  for (const double v : values) out.mean += v / n;
  double squares = 0;
  for (const double v : values) squares += (v - out.mean) * (v - out.mean);
  if (n > 1) out.standard_error = std::sqrt(squares / (n - 1) / n);
  return out;
}

// All measurements of one policy set in one scenario, by seed.
using Runs = std::vector<std::vector<Field>>;

class Report {
 public:
  explicit Report(const std::string& directory)
      : rows_(directory + "/rounds.csv"),
        summary_(directory + "/rounds_summary.csv"),
        json_path_(directory + "/rounds.json") {
    rows_ << "workload,load,fault,policy,seed";
    summary_ << "workload,load,fault,policy";
    for (const Field& field : ToFields({})) {
      rows_ << "," << field.first;
      summary_ << "," << field.first << "," << field.first << "_diff,"
               << field.first << "_diff_se";
    }
    rows_ << "\n";
    summary_ << ",recovery_pooled\n";
  }

  void AddRuns(const Scenario& scenario, const Policies& policies,
               const Runs& runs, const Runs& reference, double recovery) {
    for (size_t seed = 0; seed < runs.size(); ++seed) {
      rows_ << ScenarioKey(scenario) << "," << policies.name << "," << seed + 1;
      for (const Field& field : runs[seed]) rows_ << "," << field.second;
      rows_ << "\n";
    }
    Json::Value entry;
    entry["workload"] = scenario.workload.name;
    entry["load"] = scenario.load;
    entry["fault"] = FaultName(scenario.fault);
    entry["policy"] = policies.name;
    summary_ << ScenarioKey(scenario) << "," << policies.name;
    for (size_t i = 0; i < runs.front().size(); ++i) {
      AddField(i, runs, reference, &entry);
    }
    summary_ << "," << recovery << "\n";
    entry["recovery_pooled"] = recovery;
    json_.append(entry);
  }

  void Write() { std::ofstream(json_path_) << WriteJson(json_) << "\n"; }

 private:
  void AddField(size_t i, const Runs& runs, const Runs& reference,
                Json::Value* entry) {
    std::vector<double> values;
    std::vector<double> differences;
    for (size_t seed = 0; seed < runs.size(); ++seed) {
      values.push_back(runs[seed][i].second);
      differences.push_back(runs[seed][i].second - reference[seed][i].second);
    }
    const Mean mean = ComputeMean(values);
    const Mean difference = ComputeMean(differences);
    summary_ << "," << mean.mean << "," << difference.mean << ","
             << difference.standard_error;
    Json::Value& out = (*entry)[runs.front()[i].first];
    out["mean"] = mean.mean;
    out["diff"] = difference.mean;
    out["diff_se"] = difference.standard_error;
  }

  std::ofstream rows_;
  std::ofstream summary_;
  const std::string json_path_;
  Json::Value json_{Json::arrayValue};
};

void RunAll(int seeds, bool quick, const std::string& only,
            const std::string& directory) {
  Report report(directory);
  for (const Scenario& scenario : AllScenarios(quick)) {
    Runs reference;
    for (const Policies& policies : AllPolicies()) {
      if (!only.empty() && policies.name != only) continue;
      Runs runs;
      std::vector<Measurements> measures;
      for (int seed = 1; seed <= seeds; ++seed) {
        measures.push_back(
            RunScenario(scenario, policies, static_cast<uint64_t>(seed)));
        runs.push_back(ToFields(measures.back()));
      }
      if (reference.empty()) reference = runs;
      report.AddRuns(scenario, policies, runs, reference,
                     RecoverySeconds(measures));
    }
    std::cerr << ScenarioKey(scenario) << "\n";
  }
  report.Write();
}

}  // namespace
}  // namespace mimosa::bench

int main(int argc, char** argv) {
  TCLAP::CmdLine cmd("Policies side by side in virtual time", ' ', "1");
  TCLAP::ValueArg<int> seeds("", "seeds", "runs of each cell, seeds 1..n",
                             false, 5, "number", cmd);
  TCLAP::ValueArg<std::string> out("", "out", "directory for the reports",
                                   false, ".", "directory", cmd);
  TCLAP::ValueArg<std::string> only("", "policy", "only this policy", false, "",
                                    "name", cmd);
  TCLAP::SwitchArg quick("", "quick", "load 100 % without faults only", cmd);
  cmd.parse(argc, argv);
  mimosa::bench::RunAll(seeds.getValue(), quick.getValue(), only.getValue(),
                        out.getValue());
  return 0;
}
