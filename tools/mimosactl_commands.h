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
  kCtlInvalidInput =
      2,                // the catalogue or file has faults; nothing was written
  kCtlConflict = 3,     // another change came in first; nothing was written
  kCtlUnavailable = 4,  // the platform did not answer; nothing was written
  kCtlUnknownOutcome = 5,  // a write may have come in; see the history
  kCtlNoSuchEntry = 6,     // no such customer, key or back end, or it is there
  kCtlNotAllRouters = 7,   // a router did not answer or isn't at that version
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
  static const std::vector<Command>& CommandTable();

  Result CheckCatalogueFile(const Arguments& arguments);
  Result DiffCatalogueFile(const Arguments& arguments);
  Result ApplyCatalogueFile(const Arguments& arguments);
  Result ShowHistory(const Arguments& arguments);
  Result ShowCatalogue(const Arguments& arguments);
  Result CreateKey(const Arguments& arguments);
  Result RevokeKey(const Arguments& arguments);
  Result ListKeys(const Arguments& arguments);
  Result DrainBackEnd(const Arguments& arguments);
  Result UndrainBackEnd(const Arguments& arguments);
  Result ShowStatus(const Arguments& arguments);
  Result ShowHistograms(const Arguments& arguments);
  Result ShowDaemons(const Arguments& arguments);
  Result ExplainRequest(const Arguments& arguments);

  // Reads and checks a catalogue file.
  leaf::result<wire::Catalogue> LoadCatalogueFile(const std::string& path);
  // Writes with an edit, again on what came in if it lost a race.
  using Edit = std::function<leaf::result<void>(wire::Catalogue*)>;
  leaf::result<uint64_t> WriteEdit(const std::string& summary,
                                   const Edit& edit);
  wire::CatalogueChange NewChange(const std::string& default_summary) const;
  int RunCommand(const Command& command, const Arguments& arguments);
  int ReportConflict(const VersionedCatalogue& before);
  // After a write: waits for the routers if asked to, and tells the version.
  int FinishWrite(uint64_t version, Json::Value json, const std::string& text);
  void PrintResult(const Json::Value& json, const std::string& text);
  int ReportError(int code, const std::string& kind, const std::string& detail,
                  const Json::Value& more = Json::Value());

  const wire::CtlSettings& settings_;
  CatalogueStore* const store_;
  RouterClient* const routers_;
  std::ostream& out_;
  std::ostream& err_;
};

}  // namespace mimosa

#endif  // TOOLS_MIMOSACTL_COMMANDS_H_
