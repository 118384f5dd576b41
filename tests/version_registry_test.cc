// Tests in virtual time when the registry of versions writes its record, and
// which state of the store its readings show.
#include "serving/version_registry.h"

#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/json.h"
#include "tests/serving_fakes.h"
#include "tests/virtual_datagrams.h"
#include "tests/virtual_fleet.h"

namespace mimosa {
namespace {

const ServiceId kService("llm");
const SoftwareVersion kOld("1");
const SoftwareVersion kNew("2");
constexpr char kKey[] = "versions";

using Names = std::set<SoftwareVersion>;

// Executes calls when they arrive, and sends the responses later.
class SlowStore : public testing::RecordStore {
 public:
  explicit SlowStore(EventLoop* loop)
      : testing::RecordStore(loop), loop_(loop) {}

  CallPtr Get(const std::string& key, DoneCallback done) override {
    ++reads;
    return Reply(Find(key), std::move(done));
  }
  CallPtr Put(const std::string& key, std::string value, Revision expect,
              const std::string&, DoneCallback done) override {
    return Reply(Write(key, value, expect), std::move(done));
  }

  // Absent: no response comes.
  std::optional<Duration> response_time = milliseconds(5);
  int reads = 0;

 private:
  struct PendingReply : KvCall {
    TimerHandle timer;
  };
  CallPtr Reply(const KvResult& result, DoneCallback done) {
    auto call = std::make_unique<PendingReply>();
    if (response_time)
      call->timer = loop_->After(
          *response_time, [result, done = std::move(done)] { done(result); });
    return call;
  }

  EventLoop* const loop_;
};

struct RegistryFixture {
  void Run(Duration duration) {
    simulator.RunUntil(simulator.now() + duration);
  }
  void List(const SoftwareVersion& version) {
    BackEndEntry entry;
    entry.id = BackEndId("engine of " + version.value());
    entry.service = kService;
    entry.role = EngineRole::kDecode;
    entry.software_version = version;
    back_ends.Put(entry, loop.Now());
    registry.OnBackEndsChanged();
  }
  // Another member has written the record.
  void WriteByOther(const Names& versions) {
    wire::ServiceVersionsRecord record;
    wire::ServiceVersions* const item = record.add_services();
    item->set_service(kService.value());
    for (const SoftwareVersion& version : versions)
      item->add_software_versions(version.value());
    store.Write(kKey, ToJson(record), store.Find(kKey).record.revision);
  }

  struct Answer {
    bool has_come = false;
    std::optional<VersionReading> reading;

    Names versions() const {
      Names names;
      if (reading)
        for (const auto& [version, closing] :
             reading->record.services.at(kService))
          names.insert(version);
      return names;
    }
  };
  void Ask(Answer* answer) {
    questions.push_back(registry.Read([answer](const auto& reading) {
      answer->has_come = true;
      answer->reading = reading;
    }));
  }
  static VersionRegistry::Options MakeOptions() {
    VersionRegistry::Options options;
    options.key = kKey;
    return options;
  }

  VirtualTimeSimulator simulator;
  SeededRandom random{1};
  VirtualLoop loop{&simulator, Duration::zero(), 0};
  LineLog log{-1, &loop, testing::DisabledLogOptions()};
  SlowStore store{&loop};
  MemberList members{&loop, &store, &random, &log, MemberOf(0, 1), {}};
  BackEndList back_ends;
  bool is_list_current = true;
  VersionRegistry registry{&loop,
                           &members,
                           &store,
                           &back_ends,
                           &random,
                           &log,
                           [this] { return is_list_current; },
                           MakeOptions()};
  std::vector<std::unique_ptr<VersionRegistry::Question>> questions;
};

TEST_CASE_METHOD(RegistryFixture,
                 "streams may begin at a version once it is recorded") {
  List(kOld);
  CHECK(registry.StartableVersions(kService).empty());
  Run(std::chrono::seconds(2));
  CHECK(registry.StartableVersions(kService) == Names{kOld});
  // The response to the write is lost.
  store.response_time.reset();
  List(kNew);
  Run(std::chrono::seconds(2));
  CHECK(registry.StartableVersions(kService) == Names{kOld});
  const KvResult written = store.Find(kKey);
  registry.OnRecord(&written.record);
  CHECK(registry.StartableVersions(kService) == Names{kOld, kNew});
}

TEST_CASE_METHOD(RegistryFixture,
                 "a response doesn't replace what was learned after its call") {
  List(kOld);
  Run(std::chrono::seconds(2));
  // The daemon looks at the record, which changes before the response arrives.
  store.response_time = milliseconds(200);
  const int reads = store.reads;
  while (store.reads == reads) Run(milliseconds(1));
  WriteByOther({kOld, kNew});
  const KvResult written = store.Find(kKey);
  registry.OnRecord(&written.record);
  CHECK(registry.StartableVersions(kService) == Names{kOld, kNew});
  Run(milliseconds(210));
  CHECK(registry.StartableVersions(kService) == Names{kOld, kNew});
}

TEST_CASE_METHOD(RegistryFixture,
                 "a daemon that the store doesn't answer records nothing") {
  is_list_current = false;
  List(kOld);
  Run(std::chrono::seconds(10));
  CHECK(store.Find(kKey).status == KvStatus::kNotFound);
  is_list_current = true;
  Run(std::chrono::seconds(10));
  CHECK(registry.StartableVersions(kService) == Names{kOld});
}

TEST_CASE_METHOD(RegistryFixture,
                 "a reading shows what was recorded before the question") {
  WriteByOther({kOld});
  store.response_time = milliseconds(100);
  Answer first;
  Ask(&first);
  Run(milliseconds(50));
  WriteByOther({kOld, kNew});
  // The reading under way may be older than this question.
  Answer second;
  Ask(&second);
  Run(milliseconds(80));
  CHECK(first.versions() == Names{kOld});
  CHECK_FALSE(second.has_come);
  Run(milliseconds(200));
  CHECK(second.versions() == Names{kOld, kNew});
}

TEST_CASE_METHOD(RegistryFixture, "questions share readings") {
  WriteByOther({kOld});
  std::vector<Answer> answers(100);
  for (Answer& answer : answers) Ask(&answer);
  Run(milliseconds(100));
  CHECK(store.reads == 1);
  for (const Answer& answer : answers) CHECK(answer.versions() == Names{kOld});
}

TEST_CASE_METHOD(RegistryFixture, "a question that is dropped has no answer") {
  WriteByOther({kOld});
  Answer answer;
  Ask(&answer);
  Run(milliseconds(1));
  questions.clear();
  Run(std::chrono::seconds(1));
  CHECK_FALSE(answer.has_come);
}

TEST_CASE_METHOD(RegistryFixture, "a reading without a response says nothing") {
  WriteByOther({kOld});
  store.response_time.reset();
  Answer lost;
  Ask(&lost);
  Run(std::chrono::seconds(1));
  CHECK(lost.has_come);
  CHECK_FALSE(lost.reading);
  store.response_time = milliseconds(5);
  Answer next;
  Ask(&next);
  Run(std::chrono::seconds(1));
  CHECK(next.versions() == Names{kOld});
}

TEST_CASE_METHOD(RegistryFixture,
                 "a store that doesn't answer this daemon isn't asked") {
  WriteByOther({kOld});
  is_list_current = false;
  Answer answer;
  Ask(&answer);
  Run(milliseconds(20));
  CHECK(answer.has_come);
  CHECK_FALSE(answer.reading);
  CHECK(store.reads == 0);
}

TEST_CASE_METHOD(RegistryFixture, "an unreadable record implies nothing") {
  store.Write(kKey, "[", Revision(0));
  Answer answer;
  Ask(&answer);
  Run(milliseconds(100));
  CHECK(answer.has_come);
  CHECK_FALSE(answer.reading);
  // It is replaced, and complete once no stream of before can be left.
  registry.SetStreamLifetime(std::chrono::seconds(20));
  registry.OnEraBegun(StoreEra());
  const KvResult unreadable = store.Find(kKey);
  registry.OnRecord(&unreadable.record);
  List(kOld);
  Run(std::chrono::seconds(2));
  CHECK(registry.StartableVersions(kService) == Names{kOld});
  Answer incomplete;
  Ask(&incomplete);
  Run(milliseconds(100));
  REQUIRE(incomplete.reading);
  CHECK_FALSE(ImpliedVersion(*incomplete.reading, kService));
  Run(std::chrono::seconds(40));
  Answer complete;
  Ask(&complete);
  Run(milliseconds(100));
  REQUIRE(complete.reading);
  CHECK(ImpliedVersion(*complete.reading, kService) == kOld);
}

}  // namespace
}  // namespace mimosa
