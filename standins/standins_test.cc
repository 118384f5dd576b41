// Tests of the stand-ins' own models, on which the integration tests rely.
#include <catch2/catch.hpp>

#include "base/random.h"
#include "standins/generated_text.h"
#include "standins/http_json.h"
#include "standins/platform_store.h"
#include "standins/prefix_cache.h"

namespace mimosa::standins {
namespace {

using Status = PlatformStore::Status;

TEST_CASE("Generated text depends only on the prompt and the limit") {
  CHECK(ExpectedOutput("a", 50) == ExpectedOutput("a", 50));
  CHECK(ExpectedOutput("a [out=9]", 50) != ExpectedOutput("b [out=9]", 50));
  CHECK(GeneratedText("x [out=7]", 50).tokens() == 7);
  CHECK(GeneratedText("x [out=7]", 50).finish_reason() == std::string("stop"));
  CHECK(GeneratedText("x [out=70]", 50).tokens() == 50);
  CHECK(GeneratedText("x [out=70]", 50).finish_reason() ==
        std::string("length"));
  CHECK(PromptTokens("") == 1);
  CHECK(PromptTokens("12345") == 2);
}

TEST_CASE("ParseTarget splits and percent-decodes targets") {
  const Target target = ParseTarget("/v1/kv/a%23b?expect=7&lease=l%2F1&bad");
  CHECK(target.path == "/v1/kv/a#b");
  CHECK(target.IntParam("expect", -1) == 7);
  CHECK(target.StringParam("lease") == "l/1");
  CHECK(target.IntParam("bad", -1) == -1);
  CHECK(target.StringParam("absent").empty());
}

TEST_CASE("A write or delete with an outdated revision is a conflict") {
  PlatformStore store(100);
  CHECK(store.Put("k", "a", 1, 0).status == Status::kConflict);
  const auto first = store.Put("k", "a", 0, 0);
  REQUIRE(first.status == Status::kOk);
  CHECK(store.Put("k", "b", 0, 0).status == Status::kConflict);
  CHECK(store.Put("k", "b", first.revision, 0).status == Status::kOk);
  CHECK(store.Find("k")->value == "b");
  CHECK(store.Delete("k", first.revision).status == Status::kConflict);
  CHECK(store.Delete("k", store.Find("k")->revision).status == Status::kOk);
  CHECK(store.Delete("k", first.revision).status == Status::kConflict);
}

TEST_CASE("Records of an expired lease are removed and reported") {
  PlatformStore store(100);
  const MonoTime start{};
  const Duration ttl = std::chrono::seconds(1);
  const int64_t lease = store.CreateLease(ttl, start);
  CHECK(store.Put("m/a", "v", 0, 4711).status == Status::kNoLease);
  REQUIRE(store.Put("m/a", "v", 0, lease).status == Status::kOk);
  REQUIRE(store.Put("m/b", "v", 0, 0).status == Status::kOk);
  CHECK(store.RenewLease(lease, start + ttl / 2));
  store.ExpireLeases(start + ttl);
  CHECK(store.Find("m/a") != nullptr);
  const int64_t before = store.revision();
  store.ExpireLeases(start + 2 * ttl);
  CHECK(store.Find("m/a") == nullptr);
  CHECK(store.List("m/").size() == 1);
  const auto changes = store.ChangesAfter("m/", before).entries;
  REQUIRE(changes.size() == 1);
  CHECK(changes[0].key == "m/a");
  CHECK(changes[0].removed);
  CHECK_FALSE(store.RenewLease(lease, start + 2 * ttl));
}

TEST_CASE("A record rewritten without its lease outlives the lease") {
  PlatformStore store(100);
  const int64_t lease = store.CreateLease(Duration(10), MonoTime{});
  const auto put = store.Put("k", "a", 0, lease);
  REQUIRE(store.Put("k", "b", put.revision, 0).status == Status::kOk);
  store.EndLease(lease);
  CHECK(store.Find("k") != nullptr);
}

TEST_CASE("Changes are listed by prefix, or reported as too old") {
  PlatformStore store(3);
  const int64_t start = store.revision();
  for (const char* key : {"a/1", "b/1", "a/2", "b/2"}) store.Put(key, "", 0, 0);
  CHECK(store.ChangesAfter("a/", start).too_old);
  const auto changes = store.ChangesAfter("a/", start + 1);
  CHECK_FALSE(changes.too_old);
  REQUIRE(changes.entries.size() == 1);
  CHECK(changes.entries[0].key == "a/2");
  CHECK(store.ChangesAfter("", start + 4).entries.empty());
  store.Compact();
  CHECK(store.ChangesAfter("", start + 3).too_old);
  CHECK_FALSE(store.ChangesAfter("", start + 4).too_old);
}

TEST_CASE("A transaction is committed completely or not at all") {
  PlatformStore store(100);
  const auto first = store.Put("a", "1", 0, 0);
  PlatformStore::Transaction transaction;
  transaction.expected = {{"a", first.revision}, {"b", 0}};
  transaction.writes = {{"b", "2", 0}, {"c", "3", 4711}};
  CHECK(store.Commit(transaction).status == Status::kNoLease);
  CHECK(store.Find("b") == nullptr);
  transaction.writes[1].lease = 0;
  transaction.removed_keys = {"a"};
  REQUIRE(store.Commit(transaction).status == Status::kOk);
  CHECK(store.Find("a") == nullptr);
  CHECK(store.Find("c")->value == "3");
  CHECK(store.Commit(transaction).status == Status::kConflict);
}

TEST_CASE("List returns pages in key order") {
  PlatformStore store(100);
  for (const char* key : {"p/1", "p/2", "p/3", "q/1"}) store.Put(key, "", 0, 0);
  const auto first = store.List("p/", "", 2);
  REQUIRE(first.size() == 2);
  const auto rest = store.List("p/", first.back().first, 2);
  REQUIRE(rest.size() == 1);
  CHECK(rest[0].first == "p/3");
}

TEST_CASE(
    "The prefix cache matches complete leading blocks, evicts the least "
    "recently used") {
  SeededRandom random(1);
  PrefixCache cache(3, Duration(100), /*event_loss_one_in=*/0, &random);
  const std::string prompt(3 * kCacheBlockBytes + 5, 'l');
  CHECK(cache.MatchLeadingBlocks(prompt) == 0);
  cache.Insert(prompt, MonoTime{});
  CHECK(cache.MatchLeadingBlocks(prompt) == 3);
  CHECK(cache.MatchLeadingBlocks(prompt.substr(0, 2 * kCacheBlockBytes)) == 2);
  CHECK(cache.MatchLeadingBlocks("other" + prompt) == 0);
  CHECK(cache.EventsAfter(0, MonoTime{}).empty());  // not yet visible
  CHECK(cache.EventsAfter(0, MonoTime(Duration(100))).size() == 3);
  cache.Insert(std::string(2 * kCacheBlockBytes, 'm'), MonoTime{});
  CHECK(cache.MatchLeadingBlocks(prompt) < 3);
  CHECK(cache.EventsAfter(3, MonoTime(Duration(100))).size() == 4);
}

}  // namespace
}  // namespace mimosa::standins
