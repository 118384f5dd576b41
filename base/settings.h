// Settings of a program: one protobuf message, read from the command line and
// the environment.
//
// Each field of the message is a flag ("--peer-listen") and an environment
// variable ("MIMOSA_PEER_LISTEN"). A flag overrides the environment, and the
// environment overrides the default. Help texts, units, defaults and bounds are
// defined only in wire/settings.proto; this module reads them by reflection.
// All errors are reported, not only the first, and a program never starts with
// an invalid setting replaced by a guess.
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
  kUsage,         // flag without value or given twice; unexpected operand
  kFlagRefused,   // a secret as a flag, where `ps` would show it
  kMissing,       // required but not set
  kMalformed,     // not a valid number, address or identifier
  kOutOfRange,    // outside the bounds of the schema
  kUnknownValue,  // not one of the choices
};
const char* SettingErrorKindName(SettingErrorKind kind);

struct SettingError {
  SettingErrorKind kind;
  std::string setting;  // the flag: "--peer-listen"
  std::string detail;   // never the value of a secret
};

// All errors in the settings of a program, as a LEAF error object.
struct SettingErrors {
  std::vector<SettingError> errors;
};

// Action that the command line requests.
enum class StartMode { kRun, kCheck, kHelp, kVersion };

// Texts for --help and --version, and whether the program accepts operands.
struct ProgramInfo {
  std::string name;      // "mimosa-router"
  std::string purpose;   // one sentence
  std::string operands;  // "COMMAND [ARGUMENT...]"; empty: not accepted
  std::string notes;     // further lines of --help, such as exit codes
};

// Exit codes shared by all programs.
inline constexpr int kExitOk = 0;
inline constexpr int kExitUsage = 1;

struct ReadResult {
  StartMode mode = StartMode::kRun;
  std::vector<std::string> operands;
};

// Returns the value of an environment variable, or nullptr if it isn't set.
using Environment = std::function<const char*(const char* name)>;

// Reads `*settings` from the command line and `environment`. Fails with
// SettingErrors; `*settings` is then unspecified. In the modes kHelp and
// kVersion no settings are read.
leaf::result<ReadResult> ReadSettings(const ProgramInfo& program, int argc,
                                      const char* const* argv,
                                      const Environment& environment,
                                      google::protobuf::Message* settings);

// For main(): reads the settings from the command line and the environment of
// the process. Prints the help text, the version, the result of --check, or all
// errors. Returns the exit code if the program should exit now. `operands` may
// be nullptr if the program accepts none.
std::optional<int> ReadProgramSettings(const ProgramInfo& program, int argc,
                                       const char* const* argv,
                                       google::protobuf::Message* settings,
                                       std::vector<std::string>* operands);

// For main() of a program whose settings have the field "settings_file". Like
// ReadProgramSettings(), but the environment overrides that file, and the file
// overrides the defaults. The lines of the file are NAME=value with the names
// of the environment variables. Empty lines, lines that begin with '#' and
// unknown names are ignored, the latter since a newer platform may write more
// settings. If settings_file isn't set, no file is read.
std::optional<int> ReadProgramSettingsWithFile(
    const ProgramInfo& program, int argc, const char* const* argv,
    google::protobuf::Message* settings);

// Reads the settings and the settings file again, for SIGHUP. If there are
// errors, prints all of them to standard error and returns false.
bool ReloadProgramSettings(const ProgramInfo& program, int argc,
                           const char* const* argv,
                           google::protobuf::Message* settings);

// Returns the text of --help.
std::string HelpText(const ProgramInfo& program,
                     const google::protobuf::Message& settings);

// Returns a Markdown table of the settings for docs/OPERATIONS.md.
std::string SettingsTable(const google::protobuf::Message& settings);

}  // namespace mimosa

#endif  // BASE_SETTINGS_H_
