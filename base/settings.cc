// Reads settings from TCLAP flags and the environment by protobuf reflection.
//
// TCLAP stops at the first error and accepts "--flag value" or "--flag=value",
// but not both. The arguments are therefore normalized first: "--a=b" is split,
// and arguments at which TCLAP would stop are reported as errors and removed.
// Values from all sources are read as text and converted in one place.
#include "base/settings.h"

#include <google/protobuf/descriptor.h>
#include <tclap/CmdLine.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <set>
#include <sstream>
#include <string_view>
#include <utility>

#include "base/address.h"
#include "wire/settings.pb.h"

namespace mimosa {
namespace {

using google::protobuf::FieldDescriptor;
using google::protobuf::Message;
using Errors = std::vector<SettingError>;

constexpr char kVersion[] = "0.1.0";

// Flags of all programs.
constexpr char kHelpFlag[] = "help";
constexpr char kVersionFlag[] = "version";
constexpr char kCheckFlag[] = "check";

const wire::SettingOption& OptionOf(const FieldDescriptor& field) {
  return field.options().GetExtension(wire::setting);
}

std::string FlagName(const FieldDescriptor& field) {
  std::string name = field.name();
  std::replace(name.begin(), name.end(), '_', '-');
  return name;
}

std::string EnvironmentName(const FieldDescriptor& field) {
  std::string name = "MIMOSA_" + field.name();
  std::transform(name.begin(), name.end(), name.begin(),
                 [](unsigned char c) { return std::toupper(c); });
  return name;
}

bool IsSwitch(const FieldDescriptor& field) {
  return field.cpp_type() == FieldDescriptor::CPPTYPE_BOOL;
}

std::vector<const FieldDescriptor*> FieldsOf(const Message& settings) {
  std::vector<const FieldDescriptor*> fields;
  fields.reserve(settings.GetDescriptor()->field_count());
  const auto* type = settings.GetDescriptor();
  for (int i = 0; i < type->field_count(); ++i)
    fields.push_back(type->field(i));
  return fields;
}

bool IsIdentifier(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '.' ||
           c == '_' || c == '-';
  });
}

std::vector<std::string> SplitAtCommas(const std::string& text) {
  std::vector<std::string> parts;
  std::istringstream in(text);
  for (std::string part; std::getline(in, part, ',');) parts.push_back(part);
  return parts;
}

// ---- Parsing of the command line ----

// The flags of one program.
struct FlagSet {
  std::map<std::string, const FieldDescriptor*> by_name;
  std::set<std::string> switches = {kHelpFlag, kVersionFlag, kCheckFlag};
};

FlagSet FlagsOf(const Message& settings) {
  FlagSet flags;
  for (const FieldDescriptor* field : FieldsOf(settings)) {
    flags.by_name[FlagName(*field)] = field;
    if (IsSwitch(*field)) flags.switches.insert(FlagName(*field));
  }
  return flags;
}

// Converts arguments to the form that TCLAP accepts. Invalid arguments are
// removed and reported in `*errors`.
class ArgumentNormalizer {
 public:
  ArgumentNormalizer(const FlagSet& flags, Errors* errors)
      : flags_(flags), errors_(errors) {}

  std::vector<std::string> Run(std::vector<std::string> args) {
    args_ = std::move(args);
    for (next_ = 0; next_ < args_.size();) ProcessArgument(args_[next_++]);
    return std::move(normalized_);
  }

 private:
  void ProcessArgument(const std::string& arg) {
    if (arg.rfind("--", 0) != 0 || arg.size() == 2) {
      normalized_.push_back(arg);
      return;
    }
    const size_t equals = arg.find('=');
    const std::string name = arg.substr(2, equals - 2);
    std::optional<std::string> value;
    if (equals != std::string::npos) value = arg.substr(equals + 1);
    ProcessFlag(name, std::move(value));
  }

  void ProcessFlag(const std::string& name, std::optional<std::string> value) {
    const std::string flag = "--" + name;
    if (flags_.switches.count(name) != 0) {
      if (value)
        AddError(SettingErrorKind::kUsage, flag, "takes no value");
      else
        normalized_.push_back(flag);
      return;
    }
    const auto known = flags_.by_name.find(name);
    if (!value && NextIsValue()) value = args_[next_++];
    if (known == flags_.by_name.end()) {
      AddError(SettingErrorKind::kUnknownFlag, flag, "no such flag");
    } else if (OptionOf(*known->second).flag_forbidden()) {
      AddError(SettingErrorKind::kFlagRefused, flag,
               "a secret is not accepted as a flag; set " +
                   EnvironmentName(*known->second));
    } else if (!value) {
      AddError(SettingErrorKind::kUsage, flag, "requires a value");
    } else {
      normalized_.push_back(flag);
      normalized_.push_back(*std::move(value));
    }
  }

  bool NextIsValue() const {
    return next_ < args_.size() && args_[next_].rfind("--", 0) != 0;
  }

  void AddError(SettingErrorKind kind, std::string flag, std::string detail) {
    errors_->push_back({kind, std::move(flag), std::move(detail)});
  }

  const FlagSet& flags_;
  Errors* errors_;
  std::vector<std::string> args_;
  size_t next_ = 0;
  std::vector<std::string> normalized_;
};

// The parsed command line. Values are still text.
struct CommandLine {
  ReadResult result;
  std::map<std::string, std::string> values;  // by flag name
};

// The TCLAP parser of one program. TCLAP's arguments register their addresses
// with the command line, so objects of this class must not be copied or moved.
class TclapCommandLine {
 public:
  TclapCommandLine(const ProgramInfo& program, const FlagSet& flags)
      : command_line_(program.purpose, ' ', kVersion, /*helpAndVersion=*/false),
        accepts_operands_(!program.operands.empty()) {
    command_line_.setExceptionHandling(false);
    for (const std::string& name : flags.switches)
      switches_[name] =
          std::make_unique<TCLAP::SwitchArg>("", name, name, command_line_);
    for (const auto& [name, field] : flags.by_name) {
      if (switches_.count(name) != 0) continue;
      values_[name] = std::make_unique<TCLAP::ValueArg<std::string>>(
          "", name, OptionOf(*field).help(), /*req=*/false, "", "VALUE",
          command_line_);
    }
    operands_ = std::make_unique<TCLAP::UnlabeledMultiArg<std::string>>(
        "operands", "", /*req=*/false, "OPERAND", command_line_);
  }

  CommandLine Parse(std::vector<std::string> args, Errors* errors) {
    CommandLine parsed;
    args.insert(args.begin(), "program");  // TCLAP skips the first argument
    try {
      command_line_.parse(args);
    } catch (const TCLAP::ArgException& e) {
      errors->push_back({SettingErrorKind::kUsage, e.argId(), e.error()});
    }
    parsed.result.mode = Mode();
    for (const auto& [name, arg] : values_)
      if (arg->isSet()) parsed.values[name] = arg->getValue();
    for (const auto& [name, arg] : switches_)
      if (arg->isSet()) parsed.values[name] = "true";
    parsed.result.operands = operands_->getValue();
    if (!accepts_operands_) RejectOperands(parsed.result.operands, errors);
    return parsed;
  }

 private:
  StartMode Mode() const {
    if (switches_.at(kHelpFlag)->isSet()) return StartMode::kHelp;
    if (switches_.at(kVersionFlag)->isSet()) return StartMode::kVersion;
    if (switches_.at(kCheckFlag)->isSet()) return StartMode::kCheck;
    return StartMode::kRun;
  }

  static void RejectOperands(const std::vector<std::string>& operands,
                             Errors* errors) {
    for (const std::string& operand : operands)
      errors->push_back({SettingErrorKind::kUsage, operand, "not a flag"});
  }

  TCLAP::CmdLine command_line_;
  bool accepts_operands_;
  std::map<std::string, std::unique_ptr<TCLAP::SwitchArg>> switches_;
  std::map<std::string, std::unique_ptr<TCLAP::ValueArg<std::string>>> values_;
  std::unique_ptr<TCLAP::UnlabeledMultiArg<std::string>> operands_;
};

// ---- Conversion of text to fields ----

// Validates values and writes them to the fields of a settings message.
class FieldReader {
 public:
  FieldReader(const CommandLine& line, const Environment& environment,
              Message* settings, Errors* errors)
      : command_line_(line),
        environment_(environment),
        settings_(settings),
        errors_(errors) {}

  void ReadField(const FieldDescriptor& field) {
    const std::optional<std::string> text = FindText(field);
    if (text && !text->empty()) {
      Set(field, *text);
    } else if (OptionOf(field).required()) {
      AddError(SettingErrorKind::kMissing, field,
               "required; or set " + EnvironmentName(field));
    }
  }

 private:
  std::optional<std::string> FindText(const FieldDescriptor& field) const {
    const auto flag = command_line_.values.find(FlagName(field));
    if (flag != command_line_.values.end()) return flag->second;
    const char* variable = environment_(EnvironmentName(field).c_str());
    if (variable != nullptr && *variable != '\0') return variable;
    if (!OptionOf(field).default_value().empty())
      return OptionOf(field).default_value();
    return std::nullopt;
  }

  void Set(const FieldDescriptor& field, const std::string& text) {
    switch (field.cpp_type()) {
      case FieldDescriptor::CPPTYPE_INT64:
        return SetInteger(field, text);
      case FieldDescriptor::CPPTYPE_DOUBLE:
        return SetNonNegativeDouble(field, text);
      case FieldDescriptor::CPPTYPE_BOOL:
        return SetSwitch(field, text);
      case FieldDescriptor::CPPTYPE_STRING:
        return SetString(field, text);
      default:  // a field type that isn't implemented here
        AddError(SettingErrorKind::kMalformed, field, "unsupported type");
    }
  }

  void SetInteger(const FieldDescriptor& field, const std::string& text) {
    int64_t number = 0;
    const char* end = text.data() + text.size();
    const auto [parsed_end, error] = std::from_chars(text.data(), end, number);
    if (error != std::errc() || parsed_end != end)
      return AddError(SettingErrorKind::kMalformed, field,
                      DisplayValue(field, text) + " is not an integer");
    const wire::SettingOption& option = OptionOf(field);
    if (option.has_bounds() && (number < option.min() || number > option.max()))
      return AddError(SettingErrorKind::kOutOfRange, field,
                      DisplayValue(field, text) + " is not within " +
                          std::to_string(option.min()) + ".." +
                          std::to_string(option.max()) + " " + option.unit());
    settings_->GetReflection()->SetInt64(settings_, &field, number);
  }

  // Fractional settings are amounts, which can't be negative.
  void SetNonNegativeDouble(const FieldDescriptor& field,
                            const std::string& text) {
    double number = 0;
    const char* end = text.data() + text.size();
    const auto [parsed_end, error] = std::from_chars(text.data(), end, number);
    if (error != std::errc() || parsed_end != end || !(number >= 0) ||
        !std::isfinite(number))
      return AddError(SettingErrorKind::kMalformed, field,
                      DisplayValue(field, text) + " is not a number >= 0");
    settings_->GetReflection()->SetDouble(settings_, &field, number);
  }

  void SetSwitch(const FieldDescriptor& field, const std::string& text) {
    const bool on = text == "true" || text == "1";
    if (!on && text != "false" && text != "0")
      return AddError(SettingErrorKind::kMalformed, field,
                      DisplayValue(field, text) + " is not true or false");
    settings_->GetReflection()->SetBool(settings_, &field, on);
  }

  void SetString(const FieldDescriptor& field, const std::string& text) {
    const wire::SettingOption& option = OptionOf(field);
    const auto& choices = option.choices();
    if (!choices.empty() &&
        std::find(choices.begin(), choices.end(), text) == choices.end())
      return AddError(
          SettingErrorKind::kUnknownValue, field,
          DisplayValue(field, text) + " is not one of the allowed values");
    if (option.identifier() && !IsIdentifier(text))
      return AddError(SettingErrorKind::kMalformed, field,
                      DisplayValue(field, text) +
                          " contains characters other than [A-Za-z0-9._-]");
    if (option.endpoint()) CheckAddress(field, text);
    if (option.endpoint_list())
      for (const std::string& part : SplitAtCommas(text))
        CheckAddress(field, part);
    settings_->GetReflection()->SetString(settings_, &field, text);
  }

  void CheckAddress(const FieldDescriptor& field, const std::string& text) {
    if (!IsAddress(text))
      AddError(SettingErrorKind::kMalformed, field,
               DisplayValue(field, text) + " is not a numeric address ip:port");
  }

  static std::string DisplayValue(const FieldDescriptor& field,
                                  const std::string& text) {
    return OptionOf(field).secret() ? "the value" : "'" + text + "'";
  }

  void AddError(SettingErrorKind kind, const FieldDescriptor& field,
                std::string detail) {
    errors_->push_back({kind, "--" + FlagName(field), std::move(detail)});
  }

  const CommandLine& command_line_;
  const Environment& environment_;
  Message* settings_;
  Errors* errors_;
};

// ---- Help ----

std::string JoinChoices(const wire::SettingOption& option) {
  std::string joined;
  for (const std::string& choice : option.choices())
    joined += (joined.empty() ? "" : "|") + choice;
  return joined;
}

// Returns a text such as "default 3000 ms; 500..60000 ms" or "required", or "".
std::string Qualifiers(const wire::SettingOption& option) {
  std::vector<std::string> parts;
  const std::string unit = option.unit().empty() ? "" : " " + option.unit();
  if (option.required()) parts.emplace_back("required");
  if (!option.default_value().empty())
    parts.push_back("default " + option.default_value() + unit);
  if (option.has_bounds())
    parts.push_back(std::to_string(option.min()) + ".." +
                    std::to_string(option.max()) + unit);
  if (!option.choices().empty()) parts.push_back(JoinChoices(option));
  if (option.flag_forbidden()) parts.emplace_back("environment only");
  std::string joined;
  for (const std::string& part : parts)
    joined += (joined.empty() ? "" : "; ") + part;
  return joined;
}

std::string ValueName(const FieldDescriptor& field) {
  const wire::SettingOption& option = OptionOf(field);
  if (IsSwitch(field)) return "";
  if (option.endpoint()) return " IP:PORT";
  if (option.endpoint_list()) return " IP:PORT,...";
  if (field.cpp_type() == FieldDescriptor::CPPTYPE_INT64 ||
      field.cpp_type() == FieldDescriptor::CPPTYPE_DOUBLE)
    return " NUMBER";
  return " TEXT";
}

void PrintErrors(const ProgramInfo& program, const Errors& errors) {
  for (const SettingError& error : errors)
    std::cerr << program.name << ": " << error.setting << ": " << error.detail
              << " (" << SettingErrorKindName(error.kind) << ")\n";
  std::cerr << program.name << ": " << errors.size()
            << " fault(s) in the settings; see --help\n";
}

std::optional<int> PrintForMode(const ProgramInfo& program, StartMode mode,
                                const Message& settings) {
  switch (mode) {
    case StartMode::kRun:
      return std::nullopt;
    case StartMode::kHelp:
      std::cout << HelpText(program, settings);
      break;
    case StartMode::kVersion:
      std::cout << program.name << " " << kVersion << "\n";
      break;
    case StartMode::kCheck:
      std::cout << program.name << ": settings are sound\n";
      break;
  }
  return kExitOk;
}

}  // namespace

const char* SettingErrorKindName(SettingErrorKind kind) {
  switch (kind) {
    case SettingErrorKind::kUnknownFlag:
      return "unknown flag";
    case SettingErrorKind::kUsage:
      return "usage";
    case SettingErrorKind::kFlagRefused:
      return "flag refused";
    case SettingErrorKind::kMissing:
      return "missing";
    case SettingErrorKind::kMalformed:
      return "malformed";
    case SettingErrorKind::kOutOfRange:
      return "out of range";
    case SettingErrorKind::kUnknownValue:
      return "unknown value";
  }
  return "?";
}

leaf::result<ReadResult> ReadSettings(const ProgramInfo& program, int argc,
                                      const char* const* argv,
                                      const Environment& environment,
                                      Message* settings) {
  Errors errors;
  const FlagSet flags = FlagsOf(*settings);
  std::vector<std::string> args =
      ArgumentNormalizer(flags, &errors)
          .Run(std::vector<std::string>(argv + std::min(argc, 1), argv + argc));
  const CommandLine command_line =
      TclapCommandLine(program, flags).Parse(std::move(args), &errors);
  const StartMode mode = command_line.result.mode;
  if (mode == StartMode::kHelp || mode == StartMode::kVersion)
    return command_line.result;

  FieldReader reader(command_line, environment, settings, &errors);
  for (const FieldDescriptor* field : FieldsOf(*settings))
    reader.ReadField(*field);
  if (!errors.empty()) return leaf::new_error(SettingErrors{errors});
  return command_line.result;
}

namespace {

std::optional<int> ReadProgramSettingsFrom(const ProgramInfo& program, int argc,
                                           const char* const* argv,
                                           const Environment& environment,
                                           Message* settings,
                                           std::vector<std::string>* operands) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::optional<int>> {
        BOOST_LEAF_AUTO(
            read, ReadSettings(program, argc, argv, environment, settings));
        if (operands != nullptr) *operands = read.operands;
        return PrintForMode(program, read.mode, *settings);
      },
      [&](const SettingErrors& errors) -> std::optional<int> {
        PrintErrors(program, errors.errors);
        return kExitUsage;
      },
      []() -> std::optional<int> { return kExitUsage; });
}

constexpr char kSettingsFileFlag[] = "--settings-file";
constexpr char kSettingsFileVariable[] = "MIMOSA_SETTINGS_FILE";

// Returns the path of the settings file; empty if none is given.
std::string SettingsFilePath(int argc, const char* const* argv) {
  const std::string flag = kSettingsFileFlag;
  for (int i = 1; i < argc; ++i) {
    const std::string arg = argv[i];
    if (arg == flag && i + 1 < argc) return argv[i + 1];
    if (arg.rfind(flag + "=", 0) == 0) return arg.substr(flag.size() + 1);
  }
  const char* variable = std::getenv(kSettingsFileVariable);
  return variable == nullptr ? "" : variable;
}

using SettingsLines = std::map<std::string, std::string>;

// Returns false if the file can't be read or has a malformed line.
bool ReadSettingsLines(const ProgramInfo& program, const std::string& path,
                       SettingsLines* lines) {
  std::ifstream file(path);
  if (!file) {
    std::cerr << program.name << ": " << path << ": can't be read\n";
    return false;
  }
  int number = 0;
  for (std::string line; std::getline(file, line);) {
    ++number;
    if (line.empty() || line[0] == '#') continue;
    const size_t equals = line.find('=');
    if (equals == std::string::npos) {
      std::cerr << program.name << ": " << path << ":" << number
                << ": line is not NAME=value\n";
      return false;
    }
    (*lines)[line.substr(0, equals)] = line.substr(equals + 1);
  }
  return true;
}

}  // namespace

std::optional<int> ReadProgramSettings(const ProgramInfo& program, int argc,
                                       const char* const* argv,
                                       Message* settings,
                                       std::vector<std::string>* operands) {
  return ReadProgramSettingsFrom(
      program, argc, argv, [](const char* name) { return std::getenv(name); },
      settings, operands);
}

std::optional<int> ReadProgramSettingsWithFile(const ProgramInfo& program,
                                               int argc,
                                               const char* const* argv,
                                               Message* settings) {
  SettingsLines lines;
  const std::string path = SettingsFilePath(argc, argv);
  if (!path.empty() && !ReadSettingsLines(program, path, &lines))
    return kExitUsage;
  const Environment environment = [&lines](const char* name) -> const char* {
    const char* variable = std::getenv(name);
    if (variable != nullptr) return variable;
    const auto line = lines.find(name);
    return line == lines.end() ? nullptr : line->second.c_str();
  };
  return ReadProgramSettingsFrom(program, argc, argv, environment, settings,
                                 nullptr);
}

bool ReloadProgramSettings(const ProgramInfo& program, int argc,
                           const char* const* argv, Message* settings) {
  return !ReadProgramSettingsWithFile(program, argc, argv, settings)
              .has_value();
}

std::string HelpText(const ProgramInfo& program, const Message& settings) {
  std::ostringstream out;
  out << program.name << ": " << program.purpose
      << "\n\nUsage: " << program.name << " [FLAG...] " << program.operands
      << "\n\nEach flag is also an environment variable; the flag goes before "
         "it.\n\n";
  for (const FieldDescriptor* field : FieldsOf(settings)) {
    const wire::SettingOption& option = OptionOf(*field);
    if (!option.flag_forbidden())
      out << "  --" << FlagName(*field) << ValueName(*field) << ", ";
    else
      out << "  ";
    out << EnvironmentName(*field) << "\n      " << option.help();
    const std::string qualifiers = Qualifiers(option);
    if (!qualifiers.empty()) out << " [" << qualifiers << "]";
    out << "\n";
  }
  out << "  --check\n      name every fault of the settings and end\n"
         "  --version\n  --help\n";
  if (!program.notes.empty()) out << "\n" << program.notes << "\n";
  return out.str();
}

std::string SettingsTable(const Message& settings) {
  std::ostringstream out;
  out << "| flag | environment | meaning | |\n|---|---|---|---|\n";
  for (const FieldDescriptor* field : FieldsOf(settings)) {
    const wire::SettingOption& option = OptionOf(*field);
    const std::string flag =
        option.flag_forbidden() ? "" : "`--" + FlagName(*field) + "`";
    std::string qualifiers = Qualifiers(option);
    std::replace(qualifiers.begin(), qualifiers.end(), '|', ',');
    out << "| " << flag << " | `" << EnvironmentName(*field) << "` | "
        << option.help() << " | " << qualifiers << " |\n";
  }
  return out.str();
}

}  // namespace mimosa
