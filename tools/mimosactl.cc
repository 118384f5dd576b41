// mimosactl: command-line tool for operators, to read and change the catalogue
// and to inspect routers. See --help.
#include <chrono>
#include <iostream>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "base/settings.h"
#include "net/event_loop.h"
#include "net/http.h"
#include "platform/store_client.h"
#include "tools/mimosactl_commands.h"
#include "wire/settings.pb.h"

namespace mimosa {
namespace {

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

int Run(const wire::CtlSettings& settings,
        const std::vector<std::string>& operands) {
  const std::unique_ptr<LwsLoop> loop = LwsLoop::Create();
  const std::unique_ptr<HttpClient> client = MakeHttpClient(loop.get());
  const std::chrono::milliseconds timeout(settings.timeout_ms());
  StoreClientOptions options;
  (void)Endpoint::Parse(settings.platform(), &options.store);
  options.call_timeout = timeout;
  StoreClient kv(loop.get(), client.get(), options, /*metrics=*/nullptr);
  CatalogueStore store(loop.get(), &kv, settings.deployment(),
                       std::chrono::milliseconds(settings.retry_ms()));
  RouterClient routers(loop.get(), client.get(),
                       ParseEndpoints(settings.routers()),
                       settings.operator_secret(), timeout);
  return CtlCommands(settings, &store, &routers, &std::cout, &std::cerr)
      .Run(operands);
}

}  // namespace
}  // namespace mimosa

int main(int argc, char** argv) {
  const mimosa::ProgramInfo program = {
      "mimosactl", "reads and changes a deployment's catalogue",
      mimosa::kCtlOperands, mimosa::kCtlNotes};
  mimosa::wire::CtlSettings settings;
  std::vector<std::string> operands;
  const auto code =
      mimosa::ReadProgramSettings(program, argc, argv, &settings, &operands);
  return code ? *code : mimosa::Run(settings, operands);
}
