// mimosa-load: generates open-loop load from a workload file and reports
// goodput, latency, refusals and wasted prefill work. See --help.
#include <chrono>
#include <fstream>
#include <iostream>
#include <iterator>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "base/json.h"
#include "base/settings.h"
#include "net/event_loop.h"
#include "net/http.h"
#include "tools/mimosa_load_plan.h"
#include "tools/mimosa_load_report.h"
#include "tools/mimosa_load_run.h"
#include "wire/settings.pb.h"
#include "wire/workload.pb.h"

namespace mimosa {
namespace {

// Exit codes in addition to those in base/settings.h.
constexpr int kExitBadWorkload = 2;
constexpr int kExitCannotWrite = 3;

// Parses a comma-separated list. Malformed entries were already rejected when
// the settings were checked.
std::vector<Endpoint> ParseEndpoints(const std::string& list) {
  std::vector<Endpoint> endpoints;
  std::istringstream in(list);
  for (std::string part; std::getline(in, part, ',');) {
    Endpoint endpoint;
    if (Endpoint::Parse(part, &endpoint)) endpoints.push_back(endpoint);
  }
  return endpoints;
}

leaf::result<wire::Workload> LoadWorkload(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) return leaf::new_error(JsonError{path, "can't be read"});
  const std::string text((std::istreambuf_iterator<char>(in)),
                         std::istreambuf_iterator<char>());
  wire::Workload workload;
  BOOST_LEAF_CHECK(FromJson(text, /*strict=*/true, &workload));
  BOOST_LEAF_CHECK(CheckWorkload(workload));
  return workload;
}

bool WriteFile(const std::string& path, const std::string& text) {
  std::ofstream out(path, std::ios::binary);
  out << text;
  out.flush();
  return out.good();
}

bool WriteReport(const std::string& directory, const wire::LoadReport& report,
                 const std::string& samples) {
  if (directory.empty()) return true;
  return WriteFile(directory + "/report.json", ToPrettyJson(report)) &&
         WriteFile(directory + "/report.csv", ReportCsv(report)) &&
         WriteFile(directory + "/requests.csv", samples) &&
         WriteFile(directory + "/plot.gp", PlotScript(report));
}

int RunLoad(const wire::LoadSettings& settings,
            const wire::Workload& workload) {
  constexpr double kPercent = 100;
  const Duration duration = std::chrono::milliseconds(
      settings.duration_ms() > 0 ? settings.duration_ms()
                                 : workload.duration_ms());
  const auto seed = static_cast<uint64_t>(settings.seed());
  SeededRandom random(seed);
  const std::unique_ptr<LwsLoop> loop = LwsLoop::Create();
  const std::unique_ptr<HttpClient> client = MakeHttpClient(loop.get());
  LoadRunOptions options;
  options.routers = ParseEndpoints(settings.routers());
  options.engines = ParseEndpoints(settings.engines());
  options.seed = seed;
  LoadRun run(
      loop.get(), client.get(), workload,
      PlanRequests(workload, duration,
                   static_cast<double>(settings.rate_percent()) / kPercent,
                   &random),
      options);
  run.Run();
  wire::LoadReport report =
      MakeReport(workload, run.samples(), duration, run.prefill_work());
  report.set_seed(seed);
  report.set_latest_send_ms(static_cast<double>(run.max_send_delay().count()) /
                            1000);
  std::cout << (settings.json() ? ToJson(report) + "\n" : ReportText(report));
  return WriteReport(settings.out(), report,
                     SamplesCsv(workload, run.samples()))
             ? kExitOk
             : kExitCannotWrite;
}

int Main(int argc, char** argv) {
  const ProgramInfo program = {
      "mimosa-load",
      "sends the requests of a workload open-loop and reports goodput and "
      "latency",
      "",
      "Exit codes: 0 done, 1 usage, 2 invalid workload, 3 can't write the "
      "report."};
  wire::LoadSettings settings;
  if (const auto code =
          ReadProgramSettings(program, argc, argv, &settings, nullptr))
    return *code;
  return leaf::try_handle_all(
      [&]() -> leaf::result<int> {
        BOOST_LEAF_AUTO(workload, LoadWorkload(settings.workload()));
        return RunLoad(settings, workload);
      },
      [](const JsonError& error) {
        std::cerr << "mimosa-load: " << error.source << ": " << error.detail
                  << "\n";
        return kExitBadWorkload;
      },
      [](const WorkloadError& error) {
        std::cerr << "mimosa-load: workload: " << error.field << "\n";
        return kExitBadWorkload;
      },
      [] { return kExitBadWorkload; });
}

}  // namespace
}  // namespace mimosa

int main(int argc, char** argv) { return mimosa::Main(argc, argv); }
