// Tests mimosactl with concurrent writers and with a platform that fails or
// loses replies.
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

#include "base/digest.h"
#include "base/json.h"
#include "decide/credentials.h"
#include "tests/harness.h"

namespace mimosa::testing {
namespace {

// Exit codes of mimosactl.
constexpr int kConflict = 3;
constexpr int kUnavailable = 4;
constexpr int kUnknown = 5;
constexpr int kNoSuchEntry = 6;

constexpr char kHeadPrefix[] = "mimosa/catalogue/";
constexpr char kPartsPrefix[] = "mimosa/catalogue-parts/";

class CtlFixture {
 public:
  CtlFixture() : platform_("standin-platform", {}) {
    REQUIRE(Eventually([this] {
      return Get(platform_.port(), "/debug/stats").status == 200;
    }));
  }

  std::unique_ptr<Process> StartMimosactl(
      std::vector<std::string> args,
      const std::string& retry_ms = "15000") const {
    args.insert(args.begin(),
                {"--platform", Loopback(platform_.port()), "--timeout-ms",
                 "1000", "--retry-ms", retry_ms, "--json"});
    return std::make_unique<Process>("tools/mimosactl", args);
  }

  int RunMimosactl(const std::vector<std::string>& args,
                   const std::string& retry_ms = "15000") {
    const auto process = StartMimosactl(args, retry_ms);
    const auto code = process->Wait();
    REQUIRE(code.has_value());
    output_ = process->Output();
    return *code;
  }

  Json::Value Output() const {
    const auto parsed = ParseJson(output_);
    return parsed ? *parsed : Json::Value();
  }

  void ControlPlatform(const std::string& json) {
    Request request;
    request.method = "POST";
    request.target = "/debug/control";
    request.body = json;
    REQUIRE(Call(platform_.port(), request).status == 200);
  }

  void LoseNextReply(const char* prefix) {
    ControlPlatform(
        std::string(R"({"lose_replies":1,"lose_replies_prefix":")") + prefix +
        "\"}");
  }

  std::string WriteFile(const wire::Catalogue& catalogue) {
    std::ofstream(file_) << ToJson(catalogue);
    return file_.string();
  }

  wire::Catalogue ReadCatalogue() {
    REQUIRE(RunMimosactl({"catalogue", "show"}) == 0);
    wire::Catalogue catalogue;
    REQUIRE(FromJson(output_, /*strict=*/true, &catalogue));
    return catalogue;
  }

  size_t HistoryLength() {
    REQUIRE(RunMimosactl({"catalogue", "history"}) == 0);
    return Output()["history"].size();
  }

  size_t StoredParts() const {
    const Json::Value all = GetJson(platform_.port(), "/debug/records");
    size_t parts = 0;
    for (const Json::Value& record : all["records"])
      if (record["key"].asString().rfind(kPartsPrefix, 0) == 0) ++parts;
    return parts;
  }

  static wire::Catalogue OneCustomer() {
    wire::Catalogue catalogue;
    wire::Customer* customer = catalogue.add_customers();
    customer->set_id("guild");
    customer->set_owner("tests");
    customer->set_rate_tokens_per_second(1);
    customer->set_burst_tokens(1);
    return catalogue;
  }

  ~CtlFixture() { std::filesystem::remove(file_); }

 protected:
  StandIn platform_;

 private:
  const std::filesystem::path file_ =
      std::filesystem::temp_directory_path() /
      ("ctl_test_" + std::to_string(platform_.port()) + ".json");
  std::string output_;
};

TEST_CASE_METHOD(CtlFixture,
                 "concurrent edits are all applied, each exactly once") {
  constexpr int kWriters = 8;
  REQUIRE(RunMimosactl({"catalogue", "apply", WriteFile(OneCustomer())}) == 0);
  std::vector<std::unique_ptr<Process>> writers;
  writers.reserve(kWriters);
  for (int i = 0; i < kWriters; ++i)
    writers.push_back(
        StartMimosactl({"key", "give", "guild", "key-" + std::to_string(i)}));
  for (const auto& writer : writers) {
    INFO(writer->Output());
    CHECK(writer->Wait() == 0);
  }
  const wire::Catalogue catalogue = ReadCatalogue();
  CHECK(catalogue.customers(0).keys_size() == kWriters);
  CHECK(catalogue.version() == kWriters + 1);
  // There are one active part and one retired part per version. The parts of
  // writers that lost a race are removed.
  CHECK(StoredParts() == kWriters + 1);
}

TEST_CASE_METHOD(CtlFixture, "a new key is shown once and stored as a digest") {
  REQUIRE(RunMimosactl({"catalogue", "apply", WriteFile(OneCustomer())}) == 0);
  REQUIRE(RunMimosactl({"key", "give", "guild", "k"}) == 0);
  const std::string secret = Output()["secret"].asString();
  CHECK(ContainsKeyPattern(secret));
  CHECK(ReadCatalogue().customers(0).keys(0).digest() == Sha256Hex(secret));
  const Json::Value all = GetJson(platform_.port(), "/debug/records");
  CHECK(WriteJson(all).find(secret) == std::string::npos);
}

TEST_CASE_METHOD(CtlFixture,
                 "an apply that loses a race reports what changed") {
  REQUIRE(RunMimosactl({"catalogue", "apply", WriteFile(OneCustomer())}) == 0);
  wire::Catalogue mine = ReadCatalogue();
  REQUIRE(RunMimosactl({"key", "give", "guild", "theirs"}) == 0);
  mine.mutable_customers(0)->set_burst_tokens(77);
  CHECK(RunMimosactl({"catalogue", "apply", WriteFile(mine)}) == kConflict);
  CHECK(Output()["items"].size() == 1);
  CHECK(Output()["items"][0]["entry"] == "customers (guild)");
  CHECK(ReadCatalogue().customers(0).burst_tokens() == 1);
}

TEST_CASE_METHOD(
    CtlFixture,
    "after a lost reply the change id shows whether the write took effect") {
  REQUIRE(RunMimosactl({"catalogue", "apply", WriteFile(OneCustomer())}) == 0);
  LoseNextReply(kHeadPrefix);
  CHECK(RunMimosactl({"key", "give", "guild", "k1"}) == 0);
  LoseNextReply(kPartsPrefix);
  CHECK(RunMimosactl({"key", "give", "guild", "k2"}) == 0);
  const wire::Catalogue catalogue = ReadCatalogue();
  CHECK(catalogue.version() == 3);
  CHECK(catalogue.customers(0).keys_size() == 2);
  CHECK(HistoryLength() == 3);
}

TEST_CASE_METHOD(
    CtlFixture,
    "during a platform outage commands fail as unavailable and store nothing") {
  ControlPlatform(R"({"outage":true})");
  CHECK(RunMimosactl({"key", "give", "guild", "k"}) == kUnavailable);
  CHECK(RunMimosactl({"catalogue", "show"}) == kUnavailable);
  ControlPlatform(R"({"outage":false})");
  CHECK(RunMimosactl({"key", "give", "guild", "k"}) == kNoSuchEntry);
  CHECK(StoredParts() == 0);
}

TEST_CASE_METHOD(
    CtlFixture,
    "a write whose effect can't be determined is reported as unknown") {
  REQUIRE(RunMimosactl({"catalogue", "apply", WriteFile(OneCustomer())}) == 0);
  LoseNextReply(kHeadPrefix);
  // Each call takes so long that the outage starts after the write of the head.
  ControlPlatform(R"({"slow_ms":300})");
  const auto writer = StartMimosactl({"key", "give", "guild", "k"}, "500");
  REQUIRE(Eventually([this] {
    const Json::Value stats = GetJson(platform_.port(), "/debug/stats");
    return stats["writes"]["mimosa/catalogue"].asInt() == 2;
  }));
  ControlPlatform(R"({"outage":true,"slow_ms":0})");
  CHECK(writer->Wait() == kUnknown);
  ControlPlatform(R"({"outage":false})");
  // The write had taken effect, as the history shows.
  CHECK(ReadCatalogue().version() == 2);
}

}  // namespace
}  // namespace mimosa::testing
