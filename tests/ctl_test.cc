// mimosactl against a platform that races, fails and loses replies.
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

constexpr int kLostRace = 3;
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

  std::unique_ptr<Process> Start(std::vector<std::string> args,
                                 const std::string& retry_ms = "15000") const {
    args.insert(args.begin(),
                {"--platform", Loopback(platform_.port()), "--timeout-ms",
                 "1000", "--retry-ms", retry_ms, "--json"});
    return std::make_unique<Process>("tools/mimosactl", args);
  }

  int Run(const std::vector<std::string>& args,
          const std::string& retry_ms = "15000") {
    const auto process = Start(args, retry_ms);
    const auto code = process->Wait();
    REQUIRE(code.has_value());
    output_ = process->Output();
    return *code;
  }

  Json::Value Output() const {
    const auto parsed = ParseJson(output_);
    return parsed ? *parsed : Json::Value();
  }

  void Control(const std::string& json) {
    Request request;
    request.method = "POST";
    request.target = "/debug/control";
    request.body = json;
    REQUIRE(Call(platform_.port(), request).status == 200);
  }

  void LoseNextReply(const char* prefix) {
    Control(std::string(R"({"lose_replies":1,"lose_replies_prefix":")") +
            prefix + "\"}");
  }

  std::string WriteFile(const wire::Catalogue& catalogue) {
    std::ofstream(file_) << ToJson(catalogue);
    return file_.string();
  }

  wire::Catalogue Show() {
    REQUIRE(Run({"catalogue", "show"}) == 0);
    wire::Catalogue catalogue;
    REQUIRE(FromJson(output_, /*strict=*/true, &catalogue));
    return catalogue;
  }

  size_t HistoryLength() {
    REQUIRE(Run({"catalogue", "history"}) == 0);
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

TEST_CASE_METHOD(CtlFixture, "racing edits all come in, each once") {
  constexpr int kWriters = 8;
  REQUIRE(Run({"catalogue", "apply", WriteFile(OneCustomer())}) == 0);
  std::vector<std::unique_ptr<Process>> writers;
  writers.reserve(kWriters);
  for (int i = 0; i < kWriters; ++i)
    writers.push_back(
        Start({"key", "give", "guild", "key-" + std::to_string(i)}));
  for (const auto& writer : writers) {
    INFO(writer->Output());
    CHECK(writer->Wait() == 0);
  }
  const wire::Catalogue catalogue = Show();
  CHECK(catalogue.customers(0).keys_size() == kWriters);
  CHECK(catalogue.version() == kWriters + 1);
  // One part is in force, one retired a version, none of the losers' is left.
  CHECK(StoredParts() == kWriters + 1);
}

TEST_CASE_METHOD(CtlFixture, "a given key is shown once and kept as a digest") {
  REQUIRE(Run({"catalogue", "apply", WriteFile(OneCustomer())}) == 0);
  REQUIRE(Run({"key", "give", "guild", "k"}) == 0);
  const std::string secret = Output()["secret"].asString();
  CHECK(ContainsKeyPattern(secret));
  CHECK(Show().customers(0).keys(0).digest() == Sha256Hex(secret));
  const Json::Value all = GetJson(platform_.port(), "/debug/records");
  CHECK(WriteJson(all).find(secret) == std::string::npos);
}

TEST_CASE_METHOD(CtlFixture, "a racing apply loses and is told what changed") {
  REQUIRE(Run({"catalogue", "apply", WriteFile(OneCustomer())}) == 0);
  wire::Catalogue mine = Show();
  REQUIRE(Run({"key", "give", "guild", "theirs"}) == 0);
  mine.mutable_customers(0)->set_burst_tokens(77);
  CHECK(Run({"catalogue", "apply", WriteFile(mine)}) == kLostRace);
  CHECK(Output()["items"].size() == 1);
  CHECK(Output()["items"][0]["entry"] == "customers (guild)");
  CHECK(Show().customers(0).burst_tokens() == 1);
}

TEST_CASE_METHOD(CtlFixture, "a lost reply is settled by the change's id") {
  REQUIRE(Run({"catalogue", "apply", WriteFile(OneCustomer())}) == 0);
  LoseNextReply(kHeadPrefix);
  CHECK(Run({"key", "give", "guild", "k1"}) == 0);
  LoseNextReply(kPartsPrefix);
  CHECK(Run({"key", "give", "guild", "k2"}) == 0);
  const wire::Catalogue catalogue = Show();
  CHECK(catalogue.version() == 3);
  CHECK(catalogue.customers(0).keys_size() == 2);
  CHECK(HistoryLength() == 3);
}

TEST_CASE_METHOD(CtlFixture, "without the platform nothing is claimed") {
  Control(R"({"outage":true})");
  CHECK(Run({"key", "give", "guild", "k"}) == kUnavailable);
  CHECK(Run({"catalogue", "show"}) == kUnavailable);
  Control(R"({"outage":false})");
  CHECK(Run({"key", "give", "guild", "k"}) == kNoSuchEntry);
  CHECK(StoredParts() == 0);
}

TEST_CASE_METHOD(CtlFixture, "a lost reply that can't be settled is unknown") {
  REQUIRE(Run({"catalogue", "apply", WriteFile(OneCustomer())}) == 0);
  LoseNextReply(kHeadPrefix);
  // Each call takes so long that the outage falls behind the head's write.
  Control(R"({"slow_ms":300})");
  const auto writer = Start({"key", "give", "guild", "k"}, "500");
  REQUIRE(Eventually([this] {
    const Json::Value stats = GetJson(platform_.port(), "/debug/stats");
    return stats["writes"]["mimosa/catalogue"].asInt() == 2;
  }));
  Control(R"({"outage":true,"slow_ms":0})");
  CHECK(writer->Wait() == kUnknown);
  Control(R"({"outage":false})");
  CHECK(Show().version() == 2);  // it had come in; the history says so
}

}  // namespace
}  // namespace mimosa::testing
