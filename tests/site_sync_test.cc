// Tests what SiteSync reports from listings and watches of the store, and in
// which order, with a scripted store.
#include "serving/site_sync.h"

#include <unistd.h>

#include <catch2/catch.hpp>
#include <deque>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "net/test_peer.h"
#include "platform/site_codec.h"
#include "tests/serving_fakes.h"

namespace mimosa {
namespace {

// Replies to lists and watches with the results that the test provides; after
// that it doesn't reply.
class ScriptedStore : public testing::UnresponsiveStore {
 public:
  explicit ScriptedStore(EventLoop* loop) : loop_(loop) {}

  CallPtr List(const std::string&, ListDoneCallback done) override {
    ++lists;
    return SendReply(&list_replies, std::move(done));
  }
  CallPtr Watch(const std::string&, Revision after, Duration,
                ListDoneCallback done) override {
    watched_after.push_back(after);
    return SendReply(&watch_replies, std::move(done));
  }
  std::deque<KvListResult> list_replies;
  std::deque<KvListResult> watch_replies;
  int lists = 0;
  std::vector<Revision> watched_after;

 private:
  CallPtr SendReply(std::deque<KvListResult>* replies, ListDoneCallback done) {
    if (!replies->empty()) {
      loop_->Post(
          [done = std::move(done), reply = replies->front()] { done(reply); });
      replies->pop_front();
    }
    return PendingCall();
  }

  EventLoop* const loop_;
};

KvRecord MakeServerRecord(const std::string& id, int64_t revision) {
  return {"servers/" + id,
          R"({"service":"llm","address":"10.0.0.1:80","zone":"z","slots":1,)"
          R"("state":"ready","stage":"decode"})",
          Revision(revision)};
}

struct SyncFixture {
  static SiteSync::Options Options() {
    SiteSync::Options options;
    options.record_prefix = "mimosa/";
    options.batch_delay = std::chrono::milliseconds(5);
    options.retry_delay = std::chrono::milliseconds(5);
    return options;
  }

  std::unique_ptr<LwsLoop> loop = LwsLoop::Create();
  ScriptedStore store{loop.get()};
  PlatformSiteFormat format;
  SeededRandom random{1};
  LineLog log{STDERR_FILENO, loop.get(), testing::DisabledLogOptions()};
  BackEndList servers;
  SiteSync sync{loop.get(), &store,   &format,  &random,
                &log,       &servers, Options()};
};

TEST_CASE_METHOD(SyncFixture,
                 "the fleet's records are reported after the servers") {
  // In order of the keys, as the store lists them.
  store.list_replies.push_back(
      {KvStatus::kOk,
       Revision(9),
       {{"mimosa/roles", "{}", Revision(7)}, MakeServerRecord("i-1", 8)},
       {}});
  size_t known = 0;
  std::string name;
  sync.SetRecordObserver([&](const std::string& record, const KvRecord* value) {
    REQUIRE(value != nullptr);
    name = record;
    known = servers.entries().size();
  });
  sync.Start();
  REQUIRE(RunUntil(loop.get(), [&] { return !store.watched_after.empty(); }));
  CHECK(name == "roles");
  CHECK(known == 1);
  CHECK(sync.listed());
  CHECK(store.watched_after[0] == Revision(9));
}

TEST_CASE_METHOD(
    SyncFixture,
    "a removal is reported, and a compacted history causes a new listing") {
  store.list_replies.push_back(
      {KvStatus::kOk, Revision(9), {MakeServerRecord("i-1", 8)}, {}});
  store.watch_replies.push_back(
      {KvStatus::kOk, Revision(12), {}, {"mimosa/roles", "servers/i-1"}});
  store.watch_replies.push_back({KvStatus::kCompacted, Revision(0), {}, {}});
  store.list_replies.push_back(
      {KvStatus::kOk, Revision(30), {MakeServerRecord("i-2", 29)}, {}});
  bool removed = false;
  sync.SetRecordObserver([&](const std::string& record, const KvRecord* value) {
    removed = record == "roles" && value == nullptr;
  });
  sync.Start();
  REQUIRE(
      RunUntil(loop.get(), [&] { return store.watched_after.size() == 3; }));
  CHECK(removed);
  CHECK(store.lists == 2);
  CHECK(store.watched_after[1] == Revision(12));
  CHECK(store.watched_after[2] == Revision(30));
  CHECK(servers.entries().count(BackEndId("i-2")) == 1);
  CHECK(servers.entries().count(BackEndId("i-1")) == 0);
}

TEST_CASE_METHOD(SyncFixture,
                 "a record missing from a new listing is removed") {
  store.list_replies.push_back(
      {KvStatus::kOk,
       Revision(9),
       {{"mimosa/a", "{}", Revision(7)}, {"mimosa/b", "{}", Revision(8)}},
       {}});
  store.watch_replies.push_back({KvStatus::kCompacted, Revision(0), {}, {}});
  store.list_replies.push_back(
      {KvStatus::kOk, Revision(30), {{"mimosa/b", "{}", Revision(8)}}, {}});
  std::vector<std::string> removed;
  sync.SetRecordObserver([&](const std::string& record, const KvRecord* value) {
    if (value == nullptr) removed.push_back(record);
  });
  sync.Start();
  REQUIRE(
      RunUntil(loop.get(), [&] { return store.watched_after.size() == 2; }));
  CHECK(removed == std::vector<std::string>{"a"});
}

KvRecord MakeConfigRecord(int version, const std::string& key,
                          int64_t revision) {
  return {"op/config",
          R"({"version":)" + std::to_string(version) +
              R"(,"routes":[],"services":[],"tenants":[{"name":"t",)" +
              R"("api_keys":[")" + key + R"("]}]})",
          Revision(revision)};
}

// A store that comes back from an older copy, in a new era.
struct RestoredFixture : SyncFixture {
  void Restore(std::vector<KvRecord> before, std::vector<KvRecord> after) {
    store.list_replies.push_back(
        {KvStatus::kOk, Revision(9), std::move(before), {}, StoreEra(1)});
    store.watch_replies.push_back(
        {KvStatus::kCompacted, Revision(0), {}, {}, StoreEra(2)});
    store.list_replies.push_back(
        {KvStatus::kOk, Revision(1009), std::move(after), {}, StoreEra(2)});
    sync.SetEraObserver([this](StoreEra era, bool is_first) {
      eras.emplace_back(era, is_first);
    });
    sync.Start();
    REQUIRE(
        RunUntil(loop.get(), [&] { return store.watched_after.size() == 2; }));
  }
  bool HasKey(const std::string& key) const {
    return sync.config()->FindCustomerByKey(key) != nullptr;
  }

  std::vector<std::pair<StoreEra, bool>> eras;
};

// Guards against servers that are dropped though they are about to register
// again, when no call of this daemon failed meanwhile.
TEST_CASE_METHOD(RestoredFixture,
                 "servers that a restored store lacks stay for a while") {
  Restore({MakeServerRecord("i-1", 7), MakeServerRecord("i-2", 8)},
          {MakeServerRecord("i-1", 1007)});
  CHECK(eras == std::vector<std::pair<StoreEra, bool>>{{StoreEra(1), true},
                                                       {StoreEra(2), false}});
  REQUIRE(servers.entries().count(BackEndId("i-2")) == 1);
  CHECK(servers.entries().at(BackEndId("i-2")).removal_pending);
  CHECK_FALSE(servers.entries().at(BackEndId("i-1")).removal_pending);
  CHECK(RunUntil(loop.get(), [&] { return servers.entries().size() == 1; }));
}

TEST_CASE_METHOD(RestoredFixture,
                 "a configuration doesn't go back with the store") {
  SECTION("an older version") {
    Restore({MakeConfigRecord(5, "new", 9)},
            {MakeConfigRecord(4, "old", 1004)});
    CHECK(sync.config()->version() == 5);
  }
  SECTION("a newer version") {
    Restore({MakeConfigRecord(5, "new", 9)},
            {MakeConfigRecord(6, "newer", 1004)});
    CHECK(HasKey("newer"));
  }
  SECTION("a lost version is given out again with other content") {
    Restore({MakeConfigRecord(5, "lost", 9)},
            {MakeConfigRecord(5, "again", 1009)});
    CHECK(HasKey("again"));
  }
}

TEST_CASE_METHOD(SyncFixture, "within an era a version has one content") {
  store.list_replies.push_back({KvStatus::kOk,
                                Revision(9),
                                {MakeConfigRecord(5, "first", 9)},
                                {},
                                StoreEra(1)});
  store.watch_replies.push_back({KvStatus::kOk,
                                 Revision(10),
                                 {MakeConfigRecord(5, "second", 10)},
                                 {},
                                 StoreEra(1)});
  sync.Start();
  REQUIRE(
      RunUntil(loop.get(), [&] { return store.watched_after.size() == 2; }));
  CHECK(sync.config()->FindCustomerByKey("first") != nullptr);
}

TEST_CASE_METHOD(SyncFixture, "a failed listing is retried") {
  store.list_replies.push_back({KvStatus::kNoReply, Revision(0), {}, {}});
  store.list_replies.push_back({KvStatus::kOk, Revision(3), {}, {}});
  sync.Start();
  REQUIRE(RunUntil(loop.get(), [&] { return sync.store_lost(); }));
  REQUIRE(RunUntil(loop.get(), [&] { return sync.listed(); }));
  CHECK_FALSE(sync.store_lost());
}

KvRecord MakeEvacuation(const std::string& domain, int64_t revision) {
  return {"op/evacuate/" + domain, "{}", Revision(revision)};
}

struct EvacuationFixture : SyncFixture {
  EvacuationFixture() {
    sync.SetEvacuationObserver([this](const std::set<FailureDomain>& domains) {
      std::string names;
      for (const FailureDomain& domain : domains) names += domain.value() + " ";
      seen.push_back(names);
    });
  }
  std::vector<std::string> seen;
};

TEST_CASE_METHOD(EvacuationFixture,
                 "evacuations begin and end with their keys") {
  store.list_replies.push_back(
      {KvStatus::kOk, Revision(9), {MakeEvacuation("a", 7)}, {}});
  store.watch_replies.push_back({KvStatus::kOk,
                                 Revision(12),
                                 {MakeEvacuation("b", 11)},
                                 {"op/evacuate/a"}});
  // A key without a name evacuates nothing.
  store.watch_replies.push_back(
      {KvStatus::kOk, Revision(13), {MakeEvacuation("", 13)}, {}});
  sync.Start();
  REQUIRE(
      RunUntil(loop.get(), [&] { return store.watched_after.size() == 3; }));
  CHECK(seen == std::vector<std::string>{"a ", "a b ", "b "});
}

TEST_CASE_METHOD(EvacuationFixture,
                 "a listing after a compaction ends evacuations unless it is "
                 "an older copy") {
  store.list_replies.push_back(
      {KvStatus::kOk, Revision(9), {MakeEvacuation("a", 7)}, {}});
  store.watch_replies.push_back({KvStatus::kCompacted, Revision(0), {}, {}});
  const auto await_watches = [this](size_t count) {
    REQUIRE(RunUntil(loop.get(),
                     [&] { return store.watched_after.size() == count; }));
  };
  SECTION("a newer listing without the key") {
    store.list_replies.push_back({KvStatus::kOk, Revision(30), {}, {}});
    sync.Start();
    await_watches(2);
    CHECK(seen == std::vector<std::string>{"a ", ""});
  }
  SECTION("an older copy") {
    store.list_replies.push_back(
        {KvStatus::kOk, Revision(5), {MakeEvacuation("b", 4)}, {}});
    // What has changed since follows.
    store.watch_replies.push_back({KvStatus::kOk,
                                   Revision(9),
                                   {MakeEvacuation("a", 7)},
                                   {"op/evacuate/b"}});
    sync.Start();
    await_watches(3);
    CHECK(seen == std::vector<std::string>{"a ", "a b ", "a "});
  }
  SECTION("two older copies in a row") {
    store.list_replies.push_back({KvStatus::kOk, Revision(5), {}, {}});
    store.watch_replies.push_back({KvStatus::kCompacted, Revision(0), {}, {}});
    store.list_replies.push_back({KvStatus::kOk, Revision(7), {}, {}});
    sync.Start();
    await_watches(3);
    CHECK(seen == std::vector<std::string>{"a "});
  }
  SECTION("a new era, whose revisions are greater") {
    store.list_replies.push_back(
        {KvStatus::kOk, Revision(1005), {}, {}, StoreEra(2)});
    sync.Start();
    await_watches(2);
    CHECK(seen == std::vector<std::string>{"a "});
  }
  SECTION("the store is away") {
    store.list_replies.push_back({KvStatus::kNoReply, Revision(0), {}, {}});
    store.list_replies.push_back(
        {KvStatus::kOk, Revision(9), {MakeEvacuation("a", 7)}, {}});
    sync.Start();
    await_watches(2);
    CHECK(seen == std::vector<std::string>{"a "});
  }
}

}  // namespace
}  // namespace mimosa
