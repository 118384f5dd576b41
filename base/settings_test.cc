// Tests of settings from flags and environment: precedence, types, bounds, and
// that all errors are reported.
#include "base/settings.h"

#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

#include "base/address.h"
#include "wire/settings.pb.h"

namespace mimosa {
namespace {

using Variables = std::map<std::string, std::string>;

const ProgramInfo kProgram = {"test", "a test", "", ""};
const ProgramInfo kProgramWithOperands = {"test", "a test", "COMMAND", ""};

const Variables kSecrets = {{"MIMOSA_PEER_SECRET", "very-secret-1"},
                            {"MIMOSA_OPERATOR_SECRET", "very-secret-2"}};

struct Outcome {
  bool ok = false;
  ReadResult read;
  std::vector<SettingError> errors;
  wire::RouterSettings settings;

  // Returns the errors as "--flag kind".
  std::vector<std::string> ErrorNames() const {
    std::vector<std::string> names;
    for (const SettingError& error : errors)
      names.push_back(error.setting + " " + SettingErrorKindName(error.kind));
    return names;
  }
};

Outcome Read(std::vector<const char*> args, const Variables& variables,
             const ProgramInfo& program = kProgram) {
  args.insert(args.begin(), "test");
  Outcome outcome;
  const Environment environment = [&](const char* name) -> const char* {
    const auto it = variables.find(name);
    return it == variables.end() ? nullptr : it->second.c_str();
  };
  outcome.ok = leaf::try_handle_all(
      [&]() -> leaf::result<bool> {
        BOOST_LEAF_ASSIGN(
            outcome.read,
            ReadSettings(program, static_cast<int>(args.size()), args.data(),
                         environment, &outcome.settings));
        return true;
      },
      [&](const SettingErrors& errors) {
        outcome.errors = errors.errors;
        return false;
      },
      [] { return false; });
  return outcome;
}

const std::vector<const char*> kRequiredArgs = {
    "--name",        "r1",         "--failure-domain", "kochi", "--peer-listen",
    "10.0.0.1:7000", "--platform", "10.0.0.2:2379"};

std::vector<const char*> WithRequiredArgs(std::vector<const char*> more_args) {
  std::vector<const char*> args = kRequiredArgs;
  args.insert(args.end(), more_args.begin(), more_args.end());
  return args;
}

TEST_CASE("a flag overrides the environment, which overrides the default") {
  Variables variables = kSecrets;
  variables["MIMOSA_GRANT_MS"] = "4000";
  variables["MIMOSA_SLOTS"] = "128";
  const Outcome outcome = Read(WithRequiredArgs({"--slots=32"}), variables);
  REQUIRE(outcome.ErrorNames().empty());
  REQUIRE(outcome.ok);
  CHECK(outcome.settings.name() == "r1");
  CHECK(outcome.settings.slots() == 32);
  CHECK(outcome.settings.grant_ms() == 4000);
  CHECK(outcome.settings.stale_ms() == 5000);
  CHECK(outcome.settings.peer_secret() == "very-secret-1");
}

TEST_CASE("all errors are reported, not only the first") {
  const Outcome outcome =
      Read({"--nonsense", "1", "--grant-ms", "12", "--slots", "many",
            "--listen", "localhost:80", "--queue", "lifo", "--peer-secret",
            "hunter2", "--name", "a b", "--platform"},
           {});
  CHECK_FALSE(outcome.ok);
  const std::vector<std::string> expected = {
      "--nonsense unknown flag",  "--peer-secret flag refused",
      "--platform usage",         "--name malformed",
      "--failure-domain missing", "--listen malformed",
      "--peer-listen missing",    "--platform missing",
      "--peer-secret missing",    "--operator-secret missing",
      "--grant-ms out of range",  "--slots malformed",
      "--queue unknown value"};
  CHECK(outcome.ErrorNames() == expected);
  for (const SettingError& error : outcome.errors)
    CHECK(error.detail.find("hunter2") == std::string::npos);
}

TEST_CASE(
    "a repeated flag, an unexpected operand and a single dash are errors") {
  CHECK(Read(WithRequiredArgs({"--slots", "1", "--slots", "2"}), kSecrets)
            .ErrorNames()
            .size() == 1);
  CHECK(Read(WithRequiredArgs({"stray"}), kSecrets).ErrorNames() ==
        std::vector<std::string>{"stray usage"});
  CHECK_FALSE(Read(WithRequiredArgs({"-x"}), kSecrets).ok);
}

TEST_CASE("operands are returned if the program accepts them") {
  const Outcome outcome = Read(WithRequiredArgs({"catalogue", "check"}),
                               kSecrets, kProgramWithOperands);
  REQUIRE(outcome.ok);
  CHECK(outcome.read.operands ==
        std::vector<std::string>{"catalogue", "check"});
}

TEST_CASE("help, version and check flags select the start mode") {
  CHECK(Read({"--help"}, {}).read.mode == StartMode::kHelp);
  CHECK(Read({"--version"}, {}).read.mode == StartMode::kVersion);
  CHECK(Read(WithRequiredArgs({"--check"}), kSecrets).read.mode ==
        StartMode::kCheck);
  CHECK(Read({"--check"}, {}).errors.size() == 6);
}

TEST_CASE("help has units, defaults and bounds but no flags for secrets") {
  const std::string help = HelpText(kProgram, wire::RouterSettings());
  CHECK(help.find("--grant-ms NUMBER, MIMOSA_GRANT_MS") != std::string::npos);
  CHECK(help.find("default 3000 ms; 500..60000 ms") != std::string::npos);
  CHECK(help.find("--peer-secret") == std::string::npos);
  CHECK(help.find("MIMOSA_PEER_SECRET") != std::string::npos);
}

TEST_CASE("IsAddress accepts only numeric addresses with a valid port") {
  for (const char* good : {"127.0.0.1:80", "[::1]:8080", "0.0.0.0:0"})
    CHECK(IsAddress(good));
  for (const char* bad : {"", "127.0.0.1", "127.0.0.1:", "127.0.0.1:65536",
                          "127.0.0.1:080", "localhost:80", "::1:80", "[::1]",
                          "127.0.0.1:8 ", "256.0.0.1:80", ":80"})
    CHECK_FALSE(IsAddress(bad));
  CHECK_FALSE(IsConnectableAddress("127.0.0.1:0"));
}

}  // namespace
}  // namespace mimosa
