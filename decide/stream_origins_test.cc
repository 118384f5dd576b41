// Tests the records of streams' origins and the history of software versions.
#include "decide/stream_origins.h"

#include <catch2/catch.hpp>
#include <string>

#include "decide/software_version_history.h"
#include "decide/version_record.h"

namespace mimosa {
namespace {

using std::chrono::seconds;

const ServiceId kService("llm");
const SoftwareVersion kOld("1");
const SoftwareVersion kNew("2");

MonoTime At(int second) { return MonoTime{} + seconds(1000 + second); }

StreamOrigins::Origin OriginAt(int second, const SoftwareVersion& version) {
  return {kService, version, At(second), /*is_local=*/true};
}

TEST_CASE("an origin is kept as long as its stream can be taken up") {
  StreamOrigins origins;
  origins.SetLifetime(seconds(20));
  origins.Record(RequestId("a"), OriginAt(0, kOld), At(0));
  REQUIRE(origins.Find(RequestId("a"), At(19)));
  CHECK(origins.Find(RequestId("a"), At(19))->software_version == kOld);
  CHECK(origins.Find(RequestId("a"), At(19))->service == kService);
  CHECK_FALSE(origins.Find(RequestId("b"), At(19)));
  CHECK_FALSE(origins.Find(RequestId("a"), At(20)));
  CHECK(origins.size() == 0);
}

TEST_CASE("the first record of a stream wins, and old ones are ignored") {
  StreamOrigins origins;
  origins.SetLifetime(seconds(20));
  origins.Record(RequestId("a"), OriginAt(0, kOld), At(0));
  origins.Record(RequestId("a"), OriginAt(1, kNew), At(1));
  CHECK(origins.Find(RequestId("a"), At(2))->software_version == kOld);
  origins.Record(RequestId("b"), OriginAt(-30, kOld), At(2));
  origins.Record(RequestId(""), OriginAt(2, kOld), At(2));
  origins.Record(RequestId(std::string(StreamOrigins::kMaxIdBytes + 1, 'x')),
                 OriginAt(2, kOld), At(2));
  CHECK(origins.size() == 1);
}

TEST_CASE("beyond the maximum the oldest origins are dropped") {
  StreamOrigins origins;
  origins.SetLifetime(seconds(3600));
  for (size_t i = 0; i <= StreamOrigins::kMaxOrigins; ++i)
    origins.Record(RequestId(std::to_string(i)),
                   OriginAt(static_cast<int>(i / 100), kOld), At(300));
  CHECK(origins.size() == StreamOrigins::kMaxOrigins);
  CHECK_FALSE(origins.Find(RequestId("0"), At(300)));
  CHECK(origins.Find(RequestId("1"), At(300)));
}

TEST_CASE("only streams that began here are local") {
  StreamOrigins origins;
  origins.Record(RequestId("a"), OriginAt(0, kOld), At(0));
  StreamOrigins::Origin copy = OriginAt(0, kOld);
  copy.is_local = false;
  origins.Record(RequestId("b"), copy, At(0));
  const auto local = origins.LocalOrigins(kService, At(1));
  REQUIRE(local.size() == 1);
  CHECK(local[0].first == RequestId("a"));
  CHECK(origins.LocalOrigins(ServiceId("other"), At(1)).empty());
}

// A list of engines and the history of their versions.
struct HistoryFixture {
  void Put(const std::string& id, const SoftwareVersion& version, int second) {
    BackEndEntry entry;
    entry.id = BackEndId(id);
    entry.service = kService;
    entry.role = EngineRole::kDecode;
    entry.software_version = version;
    list.Put(entry, At(second));
    history.Update(list, At(second));
  }
  void Remove(const std::string& id, int second) {
    list.Remove(BackEndId(id), At(second));
    history.Update(list, At(second));
  }
  using Names = std::set<SoftwareVersion>;
  Names Versions(int second) const {
    return history.Versions(At(second), seconds(20)).at(kService);
  }
  bool HasLeft(const SoftwareVersion& version, int second) const {
    return history.HasLeft(kService, version, At(second), seconds(20));
  }

  BackEndList list;
  SoftwareVersionHistory history;
};

TEST_CASE_METHOD(HistoryFixture,
                 "a release ends when no stream of the old version can last") {
  Put("a", kOld, 0);
  Put("b", kOld, 0);
  CHECK(Versions(1) == Names{kOld});
  Put("c", kNew, 5);
  CHECK(Versions(5) == Names{kOld, kNew});
  Remove("a", 6);
  CHECK(Versions(6) == Names{kOld, kNew});
  Remove("b", 7);
  // Streams of the old version may still be taken up.
  CHECK(Versions(26) == Names{kOld, kNew});
  CHECK_FALSE(HasLeft(kOld, 26));
  CHECK(Versions(27) == Names{kNew});
  CHECK(HasLeft(kOld, 27));
  CHECK_FALSE(HasLeft(kNew, 27));
}

TEST_CASE_METHOD(HistoryFixture,
                 "a version that only a record of the fleet names counts") {
  Put("a", kNew, 0);
  CHECK_FALSE(history.HasSeen(kService, kOld));
  CHECK_FALSE(HasLeft(kOld, 50));
  history.RecordSighting(kService, kOld, At(1));
  history.RecordSighting(kService, kOld, At(0));
  CHECK(history.HasSeen(kService, kOld));
  CHECK(Versions(20) == Names{kOld, kNew});
  CHECK(Versions(21) == Names{kNew});
  // A record doesn't end the listing of an engine.
  history.RecordSighting(kService, kNew, At(1));
  CHECK(Versions(60) == Names{kNew});
}

TEST_CASE_METHOD(HistoryFixture,
                 "an engine that starts again at the old version counts") {
  Put("a", kOld, 0);
  Put("b", kNew, 0);
  Remove("a", 1);
  CHECK(Versions(25) == Names{kNew});
  Put("b", kOld, 30);
  CHECK(Versions(30) == Names{kOld, kNew});
  CHECK(Versions(50) == Names{kOld});
}

TEST_CASE_METHOD(HistoryFixture, "versions of long ago are forgotten") {
  Put("a", kOld, 0);
  Put("b", kNew, 0);
  Remove("a", 1);
  history.Update(list, At(4000));
  CHECK(Versions(4000) == Names{kNew});
  CHECK_FALSE(history.HasSeen(kService, kOld));
}

TEST_CASE_METHOD(HistoryFixture,
                 "no version is known to have left behind a gap of the list") {
  Put("a", kOld, 0);
  Put("b", kNew, 0);
  Remove("a", 1);
  CHECK(HasLeft(kOld, 30));
  history.RecordGap(At(40));
  CHECK_FALSE(HasLeft(kOld, 59));
  CHECK(HasLeft(kOld, 60));
  // A gap brings no version back.
  CHECK(Versions(41) == Names{kNew});
}

// The record as one daemon reads and writes it.
struct RecordFixture : HistoryFixture {
  VersionRecord Next(int second) const {
    return NextVersionRecord(present, history, era, At(second), seconds(20));
  }
  void Write(int second) { present = Next(second); }
  std::optional<SoftwareVersion> Implied() const {
    return ImpliedVersion({present.value_or(VersionRecord()), era}, kService);
  }

  std::optional<VersionRecord> present;
  StoreEra era{1};
};

TEST_CASE_METHOD(RecordFixture, "only a record of one version implies it") {
  CHECK_FALSE(Implied());
  Put("a", kOld, 0);
  Write(0);
  CHECK(Implied() == kOld);
  CHECK_FALSE(ImpliedVersion({*present, era}, ServiceId("other")));
  Put("b", kNew, 1);
  Write(1);
  CHECK_FALSE(Implied());
  Remove("a", 2);
  Write(21);
  CHECK_FALSE(Implied());
  Write(22);
  CHECK(Implied() == kNew);
}

TEST_CASE_METHOD(RecordFixture,
                 "a daemon keeps a version in the record that it hasn't seen") {
  Put("a", kNew, 0);
  present = VersionRecord{{{kService, {kOld, kNew}}}, era};
  CHECK(Next(100) == *present);
  history.RecordSighting(kService, kOld, At(100));
  CHECK(Next(119) == *present);
  CHECK(Next(120).versions.at(kService) == Names{kNew});
}

TEST_CASE_METHOD(RecordFixture,
                 "no version leaves the record behind a gap of the list") {
  Put("a", kNew, 0);
  present = VersionRecord{{{kService, {kOld, kNew}}}, era};
  history.RecordSighting(kService, kOld, At(0));
  history.RecordGap(At(19));
  CHECK(Next(38) == *present);
  CHECK(Next(39).versions.at(kService) == Names{kNew});
}

TEST_CASE_METHOD(RecordFixture,
                 "an older copy of the record implies nothing for a while") {
  Put("a", kOld, 0);
  Write(0);
  CHECK(Implied() == kOld);
  // The copy may lack a version that has come and gone since.
  era = StoreEra(2);
  history.RecordGap(At(50));
  CHECK_FALSE(Implied());
  Write(69);
  CHECK_FALSE(Implied());
  Write(70);
  CHECK(Implied() == kOld);
}

TEST_CASE_METHOD(RecordFixture, "without engines the record doesn't shrink") {
  present = VersionRecord{{{kService, {kOld}}}, era};
  history.Update(list, At(0));
  CHECK(Next(100) == *present);
}

}  // namespace
}  // namespace mimosa
