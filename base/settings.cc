// Settings by protobuf reflection over TCLAP flags and the environment.
//
// TCLAP stops at the first fault and takes "--flag value" or "--flag=value",
// not both. The arguments are therefore normalised first: "--a=b" is split,
// and what TCLAP would stop at is collected as a fault and left out. All values
// reach this module as text and are converted here, once, whatever their
// source.
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
using Faults = std::vector<SettingError>;

constexpr char kVersion[] = "0.1.0";

// Arguments that every program takes.
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

// ---- Arguments to text ----

// The flags of one program by name; what TCLAP and the normaliser need.
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

// The arguments in the one form that TCLAP takes. Faulty ones are left out and
// named in `*faults`.
class Normaliser {
 public:
  Normaliser(const FlagSet& flags, Faults* faults)
      : flags_(flags), faults_(faults) {}

  std::vector<std::string> Run(std::vector<std::string> args) {
    args_ = std::move(args);
    for (next_ = 0; next_ < args_.size();) TakeOne(args_[next_++]);
    return std::move(out_);
  }

 private:
  void TakeOne(const std::string& arg) {
    if (arg.rfind("--", 0) != 0 || arg.size() == 2) {
      out_.push_back(arg);
      return;
    }
    const size_t equals = arg.find('=');
    const std::string name = arg.substr(2, equals - 2);
    std::optional<std::string> value;
    if (equals != std::string::npos) value = arg.substr(equals + 1);
    TakeFlag(name, std::move(value));
  }

  void TakeFlag(const std::string& name, std::optional<std::string> value) {
    const std::string flag = "--" + name;
    if (flags_.switches.count(name) != 0) {
      if (value)
        Fault(SettingErrorKind::kUsage, flag, "takes no value");
      else
        out_.push_back(flag);
      return;
    }
    const auto known = flags_.by_name.find(name);
    if (!value && HasNext()) value = args_[next_++];
    if (known == flags_.by_name.end()) {
      Fault(SettingErrorKind::kUnknownFlag, flag, "no such flag");
    } else if (OptionOf(*known->second).flag_forbidden()) {
      Fault(SettingErrorKind::kFlagRefused, flag,
            "a secret; set " + EnvironmentName(*known->second));
    } else if (!value) {
      Fault(SettingErrorKind::kUsage, flag, "needs a value");
    } else {
      out_.push_back(flag);
      out_.push_back(*std::move(value));
    }
  }

  bool HasNext() const {
    return next_ < args_.size() && args_[next_].rfind("--", 0) != 0;
  }

  void Fault(SettingErrorKind kind, std::string flag, std::string detail) {
    faults_->push_back({kind, std::move(flag), std::move(detail)});
  }

  const FlagSet& flags_;
  Faults* faults_;
  std::vector<std::string> args_;
  size_t next_ = 0;
  std::vector<std::string> out_;
};

// What the command line holds, still as text.
struct CommandLine {
  ReadResult result;
  std::map<std::string, std::string> values;  // by flag name
};

// TCLAP's view of one program. Its objects register themselves with the
// command line by address, so this class stays where it was built.
class TclapCommandLine {
 public:
  TclapCommandLine(const ProgramInfo& program, const FlagSet& flags)
      : line_(program.purpose, ' ', kVersion, /*helpAndVersion=*/false),
        takes_operands_(!program.operands.empty()) {
    line_.setExceptionHandling(false);
    for (const std::string& name : flags.switches)
      switches_[name] =
          std::make_unique<TCLAP::SwitchArg>("", name, name, line_);
    for (const auto& [name, field] : flags.by_name) {
      if (switches_.count(name) != 0) continue;
      values_[name] = std::make_unique<TCLAP::ValueArg<std::string>>(
          "", name, OptionOf(*field).help(), /*req=*/false, "", "VALUE", line_);
    }
    operands_ = std::make_unique<TCLAP::UnlabeledMultiArg<std::string>>(
        "operands", "", /*req=*/false, "OPERAND", line_);
  }

  CommandLine Parse(std::vector<std::string> args, Faults* faults) {
    CommandLine parsed;
    args.insert(args.begin(), "program");  // TCLAP skips the first one
    try {
      line_.parse(args);
    } catch (const TCLAP::ArgException& e) {
      faults->push_back({SettingErrorKind::kUsage, e.argId(), e.error()});
    }
    parsed.result.mode = Mode();
    for (const auto& [name, arg] : values_)
      if (arg->isSet()) parsed.values[name] = arg->getValue();
    for (const auto& [name, arg] : switches_)
      if (arg->isSet()) parsed.values[name] = "true";
    parsed.result.operands = operands_->getValue();
    if (!takes_operands_) RefuseOperands(parsed.result.operands, faults);
    return parsed;
  }

 private:
  StartMode Mode() const {
    if (switches_.at(kHelpFlag)->isSet()) return StartMode::kHelp;
    if (switches_.at(kVersionFlag)->isSet()) return StartMode::kVersion;
    if (switches_.at(kCheckFlag)->isSet()) return StartMode::kCheck;
    return StartMode::kRun;
  }

  static void RefuseOperands(const std::vector<std::string>& operands,
                             Faults* faults) {
    for (const std::string& operand : operands)
      faults->push_back({SettingErrorKind::kUsage, operand, "not a flag"});
  }

  TCLAP::CmdLine line_;
  bool takes_operands_;
  std::map<std::string, std::unique_ptr<TCLAP::SwitchArg>> switches_;
  std::map<std::string, std::unique_ptr<TCLAP::ValueArg<std::string>>> values_;
  std::unique_ptr<TCLAP::UnlabeledMultiArg<std::string>> operands_;
};

// ---- Text to fields ----

// Writes checked values into one settings message.
class FieldReader {
 public:
  FieldReader(const CommandLine& line, const Environment& environment,
              Message* settings, Faults* faults)
      : line_(line),
        environment_(environment),
        settings_(settings),
        faults_(faults) {}

  void Read(const FieldDescriptor& field) {
    const std::optional<std::string> text = TextOf(field);
    if (text && !text->empty()) {
      Set(field, *text);
    } else if (OptionOf(field).required()) {
      Fault(SettingErrorKind::kMissing, field,
            "required; or set " + EnvironmentName(field));
    }
  }

 private:
  std::optional<std::string> TextOf(const FieldDescriptor& field) const {
    const auto flag = line_.values.find(FlagName(field));
    if (flag != line_.values.end()) return flag->second;
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
        return SetFraction(field, text);
      case FieldDescriptor::CPPTYPE_BOOL:
        return SetSwitch(field, text);
      case FieldDescriptor::CPPTYPE_STRING:
        return SetString(field, text);
      default:  // a field of the schema that this reader wasn't taught
        Fault(SettingErrorKind::kMalformed, field, "unsupported type");
    }
  }

  void SetInteger(const FieldDescriptor& field, const std::string& text) {
    int64_t number = 0;
    const char* end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, number);
    if (error != std::errc() || stop != end)
      return Fault(SettingErrorKind::kMalformed, field,
                   Shown(field, text) + " is not a whole number");
    const wire::SettingOption& option = OptionOf(field);
    if (option.has_bounds() && (number < option.min() || number > option.max()))
      return Fault(SettingErrorKind::kOutOfRange, field,
                   Shown(field, text) + " is not within " +
                       std::to_string(option.min()) + ".." +
                       std::to_string(option.max()) + " " + option.unit());
    settings_->GetReflection()->SetInt64(settings_, &field, number);
  }

  // Amounts are at least zero.
  void SetFraction(const FieldDescriptor& field, const std::string& text) {
    double number = 0;
    const char* end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, number);
    if (error != std::errc() || stop != end || !(number >= 0) ||
        !std::isfinite(number))
      return Fault(SettingErrorKind::kMalformed, field,
                   Shown(field, text) + " is not a number of at least 0");
    settings_->GetReflection()->SetDouble(settings_, &field, number);
  }

  void SetSwitch(const FieldDescriptor& field, const std::string& text) {
    const bool on = text == "true" || text == "1";
    if (!on && text != "false" && text != "0")
      return Fault(SettingErrorKind::kMalformed, field,
                   Shown(field, text) + " is not true or false");
    settings_->GetReflection()->SetBool(settings_, &field, on);
  }

  void SetString(const FieldDescriptor& field, const std::string& text) {
    const wire::SettingOption& option = OptionOf(field);
    const auto& choices = option.choices();
    if (!choices.empty() &&
        std::find(choices.begin(), choices.end(), text) == choices.end())
      return Fault(SettingErrorKind::kUnknownValue, field,
                   Shown(field, text) + " is not one of the choices");
    if (option.identifier() && !IsIdentifier(text))
      return Fault(SettingErrorKind::kMalformed, field,
                   Shown(field, text) + " has other than [A-Za-z0-9._-]");
    if (option.endpoint()) CheckAddress(field, text);
    if (option.endpoint_list())
      for (const std::string& part : SplitAtCommas(text))
        CheckAddress(field, part);
    settings_->GetReflection()->SetString(settings_, &field, text);
  }

  void CheckAddress(const FieldDescriptor& field, const std::string& text) {
    if (!IsAddress(text))
      Fault(SettingErrorKind::kMalformed, field,
            Shown(field, text) + " is not ip:port in numbers");
  }

  static std::string Shown(const FieldDescriptor& field,
                           const std::string& text) {
    return OptionOf(field).secret() ? "the value" : "'" + text + "'";
  }

  void Fault(SettingErrorKind kind, const FieldDescriptor& field,
             std::string detail) {
    faults_->push_back({kind, "--" + FlagName(field), std::move(detail)});
  }

  const CommandLine& line_;
  const Environment& environment_;
  Message* settings_;
  Faults* faults_;
};

// ---- Help ----

std::string JoinChoices(const wire::SettingOption& option) {
  std::string joined;
  for (const std::string& choice : option.choices())
    joined += (joined.empty() ? "" : "|") + choice;
  return joined;
}

// "[default 3000 ms; 500..60000]", "[required]" or "".
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

void PrintFaults(const ProgramInfo& program, const Faults& faults) {
  for (const SettingError& fault : faults)
    std::cerr << program.name << ": " << fault.setting << ": " << fault.detail
              << " (" << SettingErrorKindName(fault.kind) << ")\n";
  std::cerr << program.name << ": " << faults.size()
            << " fault(s) in the settings; see --help\n";
}

std::optional<int> PrintWhatWasAsked(const ProgramInfo& program, StartMode mode,
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
  Faults faults;
  const FlagSet flags = FlagsOf(*settings);
  std::vector<std::string> args =
      Normaliser(flags, &faults)
          .Run(std::vector<std::string>(argv + std::min(argc, 1), argv + argc));
  const CommandLine line =
      TclapCommandLine(program, flags).Parse(std::move(args), &faults);
  const StartMode mode = line.result.mode;
  if (mode == StartMode::kHelp || mode == StartMode::kVersion)
    return line.result;

  FieldReader reader(line, environment, settings, &faults);
  for (const FieldDescriptor* field : FieldsOf(*settings)) reader.Read(*field);
  if (!faults.empty()) return leaf::new_error(SettingErrors{faults});
  return line.result;
}

namespace {

std::optional<int> StartWith(const ProgramInfo& program, int argc,
                             const char* const* argv,
                             const Environment& environment, Message* settings,
                             std::vector<std::string>* operands) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::optional<int>> {
        BOOST_LEAF_AUTO(
            read, ReadSettings(program, argc, argv, environment, settings));
        if (operands != nullptr) *operands = read.operands;
        return PrintWhatWasAsked(program, read.mode, *settings);
      },
      [&](const SettingErrors& faults) -> std::optional<int> {
        PrintFaults(program, faults.errors);
        return kExitUsage;
      },
      []() -> std::optional<int> { return kExitUsage; });
}

constexpr char kSettingsFileFlag[] = "--settings-file";
constexpr char kSettingsFileVariable[] = "MIMOSA_SETTINGS_FILE";

// Empty: none is named.
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

// False if the file can't be read or has a line of another form.
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
                << ": not NAME=value\n";
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
  return StartWith(
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
  return StartWith(program, argc, argv, environment, settings, nullptr);
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
