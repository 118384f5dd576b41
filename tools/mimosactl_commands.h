// Implements the commands of mimosactl.
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

// Exit codes. 0 and 1 are the same as in base/settings.h.
enum CtlExitCode {
  kCtlOk = 0,
  kCtlUsage = 1,
  kCtlInvalidInput = 2,  // invalid catalogue or file; nothing was written
  // A concurrent change was written first; nothing was written.
  kCtlConflict = 3,
  kCtlUnavailable = 4,     // the platform did not respond; nothing was written
  kCtlUnknownOutcome = 5,  // a write may have taken effect; see the history
  // Customer, key or back end doesn't exist, or already exists.
  kCtlNoSuchEntry = 6,
  kCtlNotAllRouters = 7,  // a router did not respond or isn't at that version
};

// Texts for --help: the operands, and the list of commands and exit codes.
extern const char kCtlOperands[];
extern const char kCtlNotes[];

class CtlCommands {
 public:
  // Results are written to `out`, error messages to `err`. All arguments must
  // outlive this object.
  CtlCommands(const wire::CtlSettings& settings, CatalogueStore* store,
              RouterClient* routers, std::ostream* out, std::ostream* err);

  // Runs a command such as "catalogue apply FILE" and returns its exit code.
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

  // Reads and validates a catalogue file. Fails with JsonError or
  // CatalogueErrors.
  leaf::result<wire::Catalogue> LoadCatalogueFile(const std::string& path);
  using Edit = std::function<leaf::result<void>(wire::Catalogue*)>;
  // Applies an edit to the stored catalogue and writes the result. After a
  // write conflict, repeats the edit on the catalogue that won. Returns the
  // version that includes the edit.
  leaf::result<uint64_t> WriteEdit(const std::string& summary,
                                   const Edit& edit);
  wire::CatalogueChange NewChange(const std::string& default_summary) const;
  int RunCommand(const Command& command, const Arguments& arguments);
  int ReportConflict(const VersionedCatalogue& before);
  // Prints the result of a write with the catalogue's version; with --wait-ms
  // and --routers, first waits until the routers have applied that version.
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
