// Settings of a program: one schema message, read from the command line and
// the environment.
//
// Each field of the message is a flag ("--peer-listen") and an environment
// variable ("MIMOSA_PEER_LISTEN"); the flag goes before the environment, the
// environment before the default. Help, units, defaults and bounds stand in
// wire/settings.proto and nowhere else; this module reads them by reflection.
// Everything that is wrong is named, not only the first fault, and a program
// never starts with a setting that it had to guess.
#ifndef BASE_SETTINGS_H_
#define BASE_SETTINGS_H_

#include <google/protobuf/message.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/errors.h"

namespace mimosa {

enum class SettingErrorKind {
  kUnknownFlag,   // no such flag
  kUsage,         // a flag without its value, or twice, or a stray operand
  kFlagRefused,   // a secret on the command line, where `ps` shows it
  kMissing,       // required and not given
  kMalformed,     // not a number, an address, an identifier
  kOutOfRange,    // outside the bounds of the schema
  kUnknownValue,  // not one of the choices
};
const char* SettingErrorKindName(SettingErrorKind kind);

struct SettingError {
  SettingErrorKind kind;
  std::string setting;  // the flag: "--peer-listen"
  std::string detail;   // never the value of a secret
};

// All faults of one start; as a LEAF error object.
struct SettingErrors {
  std::vector<SettingError> errors;
};

// What the command line asks for.
enum class StartMode { kRun, kCheck, kHelp, kVersion };

// What --help and --version say, and what a program takes beside its flags.
struct ProgramInfo {
  std::string name;      // "mimosa-router"
  std::string purpose;   // one sentence
  std::string operands;  // "COMMAND [ARGUMENT...]"; empty: none are taken
  std::string notes;     // further lines of --help, such as exit codes
};

// Exit codes that all programs share.
inline constexpr int kExitOk = 0;
inline constexpr int kExitUsage = 1;

struct ReadResult {
  StartMode mode = StartMode::kRun;
  std::vector<std::string> operands;
};

// The value of an environment variable, or nullptr.
using Environment = std::function<const char*(const char* name)>;

// Fills `*settings`. Fails with SettingFaults; `*settings` is then unspecified.
// With kHelp and kVersion nothing else is looked at.
leaf::result<ReadResult> ReadSettings(const ProgramInfo& program, int argc,
                                      const char* const* argv,
                                      const Environment& environment,
                                      google::protobuf::Message* settings);

// For main(): reads from the process's own environment, prints help, version,
// the verdict of --check or all faults. Returns the exit code if the program
// is to end now. `operands` may be nullptr where none are taken.
std::optional<int> ReadProgramSettings(const ProgramInfo& program, int argc,
                                       const char* const* argv,
                                       google::protobuf::Message* settings,
                                       std::vector<std::string>* operands);

// The same for a program whose message has the field "settings_file": the file
// that it names stands behind the environment. Its lines are NAME=value with
// the names of the environment variables; empty ones and those that begin with
// '#' are passed over, and so are names that are no setting, since a newer
// platform may write more. Without the field's value there is no file.
std::optional<int> ReadProgramSettingsWithFile(
    const ProgramInfo& program, int argc, const char* const* argv,
    google::protobuf::Message* settings);

// Reads again, for SIGHUP. False, and all faults on standard error, if the
// settings are faulty now.
bool ReloadProgramSettings(const ProgramInfo& program, int argc,
                           const char* const* argv,
                           google::protobuf::Message* settings);

// The text of --help.
std::string HelpText(const ProgramInfo& program,
                     const google::protobuf::Message& settings);

// A Markdown table of the settings, for docs/OPERATIONS.md.
std::string SettingsTable(const google::protobuf::Message& settings);

}  // namespace mimosa

#endif  // BASE_SETTINGS_H_
