// The commands of mimosactl.
#ifndef TOOLS_MIMOSACTL_COMMANDS_H_
#define TOOLS_MIMOSACTL_COMMANDS_H_

#include <json/value.h>

#include <functional>
#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

#include "base/errors.h"
#include "tools/mimosactl_edits.h"
#include "tools/mimosactl_routers.h"
#include "tools/mimosactl_store.h"
#include "wire/settings.pb.h"

namespace mimosa {

// Exit codes; those of base/settings.h (0: done, 1: usage) go before.
enum CtlExitCode {
  kCtlOk = 0,
  kCtlUsage = 1,
  kCtlFaults = 2,       // the catalogue or file has faults; nothing was written
  kCtlLostRace = 3,     // another change came in first; nothing was written
  kCtlUnavailable = 4,  // the platform did not answer; nothing was written
  kCtlUnknown = 5,      // a write may have come in; see the history
  kCtlNoSuchEntry = 6,  // no such customer, key or back end, or it is there
  kCtlNotEverywhere = 7,  // a router did not answer or isn't at that version
};

// The text for --help.
extern const char kCtlOperands[];
extern const char kCtlNotes[];

class CtlCommands {
 public:
  // `out` takes results, `err` what went wrong.
  CtlCommands(const wire::CtlSettings& settings, CatalogueStore* store,
              RouterClient* routers, std::ostream* out, std::ostream* err);

  // Runs "catalogue apply FILE" and the like; returns the exit code.
  int Run(const std::vector<std::string>& operands);

 private:
  using Arguments = std::vector<std::string>;
  using Result = leaf::result<int>;
  using Handler = Result (CtlCommands::*)(const Arguments&);
  struct Command;
  static const std::vector<Command>& Table();

  Result Check(const Arguments& arguments);
  Result Diff(const Arguments& arguments);
  Result Apply(const Arguments& arguments);
  Result History(const Arguments& arguments);
  Result Show(const Arguments& arguments);
  Result GiveKey(const Arguments& arguments);
  Result WithdrawKey(const Arguments& arguments);
  Result ListKeys(const Arguments& arguments);
  Result Drain(const Arguments& arguments);
  Result Undrain(const Arguments& arguments);
  Result Status(const Arguments& arguments);
  Result Histograms(const Arguments& arguments);
  Result Daemons(const Arguments& arguments);
  Result Explain(const Arguments& arguments);

  // Reads and checks a catalogue file.
  leaf::result<wire::Catalogue> Load(const std::string& path);
  // Writes with an edit, again on what came in if it lost a race.
  using Edit = std::function<leaf::result<void>(wire::Catalogue*)>;
  leaf::result<uint64_t> WriteEdit(const std::string& summary,
                                   const Edit& edit);
  wire::CatalogueChange NewChange(const std::string& default_summary) const;
  int RunCommand(const Command& command, const Arguments& arguments);
  int TellLostRace(const ReadCatalogue& before);
  // After a write: waits for the routers if asked to, and tells the version.
  int Finish(uint64_t version, Json::Value json, const std::string& text);
  void Print(const Json::Value& json, const std::string& text);
  int Fail(int code, const std::string& kind, const std::string& detail,
           const Json::Value& more = Json::Value());

  const wire::CtlSettings& settings_;
  CatalogueStore* const store_;
  RouterClient* const routers_;
  std::ostream& out_;
  std::ostream& err_;
};

}  // namespace mimosa

#endif  // TOOLS_MIMOSACTL_COMMANDS_H_
