// Tests the history of software versions and the record of those that may have
// begun streams.
#include "decide/version_record.h"

#include <catch2/catch.hpp>
#include <string>

#include "decide/software_version_history.h"

namespace mimosa {
namespace {

using std::chrono::seconds;
using Names = std::set<SoftwareVersion>;

const ServiceId kService("llm");
const SoftwareVersion kOld("1");
const SoftwareVersion kNew("2");
constexpr int kCloseDelay = 5;
constexpr int kMaxAge = 5;
constexpr int kLifetime = 20;
// Time from a closing to the end of the last stream.
constexpr int kWindow = kMaxAge + kLifetime;

MonoTime At(int second) { return MonoTime{} + seconds(1000 + second); }

// A daemon's list of engines and the history of their versions.
struct Engines {
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
  Names Versions(int second, int window) const {
    const VersionsByService versions =
        history.Versions(At(second), seconds(window));
    const auto found = versions.find(kService);
    return found == versions.end() ? Names() : found->second;
  }

  BackEndList list;
  SoftwareVersionHistory history;
};

TEST_CASE("a version counts for a window after its last engine has left") {
  Engines engines;
  engines.Put("a", kOld, 0);
  engines.Put("b", kOld, 0);
  engines.Put("c", kNew, 5);
  CHECK(engines.Versions(5, 0) == Names{kOld, kNew});
  engines.Remove("a", 6);
  CHECK(engines.Versions(6, 0) == Names{kOld, kNew});
  engines.Remove("b", 7);
  CHECK(engines.Versions(7, 0) == Names{kNew});
  CHECK(engines.Versions(26, 20) == Names{kOld, kNew});
  CHECK(engines.Versions(27, 20) == Names{kNew});
}

TEST_CASE("an engine that starts again at the old version counts") {
  Engines engines;
  engines.Put("a", kOld, 0);
  engines.Put("b", kNew, 0);
  engines.Remove("a", 1);
  CHECK(engines.Versions(25, 20) == Names{kNew});
  engines.Put("b", kOld, 30);
  CHECK(engines.Versions(30, 0) == Names{kOld});
  CHECK(engines.Versions(30, 20) == Names{kOld, kNew});
}

// The record in the store.
struct StoredRecord {
  std::optional<VersionRecord> content;
  Revision revision;
  StoreEra era{1};

  std::optional<SoftwareVersion> Implied() const {
    return ImpliedVersion({content.value_or(VersionRecord()), era}, kService);
  }
  bool Names(const SoftwareVersion& version) const {
    return content && content->services.count(kService) > 0 &&
           content->services.at(kService).count(version) > 0;
  }
};

// A daemon that reads and writes the record.
struct Writer : Engines {
  explicit Writer(StoredRecord* stored_record)
      : stored(stored_record), view({seconds(kCloseDelay), seconds(kMaxAge)}) {
    view.SetStreamLifetime(seconds(kLifetime));
    view.OnEraBegun(stored->era, At(0));
  }
  void Read(int second) {
    view.OnRead(stored->content, stored->revision, stored->era, At(second));
  }
  bool IsDue(int second) const {
    return !(view.Next(history, At(second)) == view.record());
  }
  // Does nothing if another daemon has written since the last reading.
  void Write(int second) {
    const auto next = view.Next(history, At(second));
    if (view.revision() == stored->revision && next && IsDue(second)) {
      stored->content = next;
      stored->revision = Revision(stored->revision.count() + 1);
    }
    Read(second);
  }
  bool MayBegin(const SoftwareVersion& version) const {
    const auto versions = view.startable().find(kService);
    return versions != view.startable().end() &&
           versions->second.count(version) > 0;
  }

  StoredRecord* const stored;
  VersionRecordView view;
};

TEST_CASE("only a record of one version implies it") {
  StoredRecord stored;
  CHECK_FALSE(stored.Implied());
  Writer daemon(&stored);
  CHECK_FALSE(daemon.IsDue(0));  // There is nothing to record.
  daemon.Put("a", kOld, 0);
  CHECK_FALSE(daemon.MayBegin(kOld));
  daemon.Write(0);
  CHECK(daemon.MayBegin(kOld));
  CHECK(stored.Implied() == kOld);
  CHECK_FALSE(
      ImpliedVersion({*stored.content, stored.era}, ServiceId("another")));
  daemon.Put("b", kNew, 1);
  CHECK_FALSE(daemon.MayBegin(kNew));
  daemon.Write(1);
  CHECK(daemon.MayBegin(kNew));
  CHECK_FALSE(stored.Implied());
}

TEST_CASE("a version is closed, and removed once no stream of it is left") {
  StoredRecord stored;
  Writer daemon(&stored);
  daemon.Put("a", kOld, 0);
  daemon.Put("b", kNew, 0);
  daemon.Write(0);
  daemon.Remove("a", 10);
  CHECK_FALSE(daemon.IsDue(14));
  daemon.Write(15);
  CHECK_FALSE(daemon.MayBegin(kOld));
  CHECK(daemon.MayBegin(kNew));
  CHECK_FALSE(stored.Implied());
  CHECK_FALSE(daemon.IsDue(15 + kWindow - 1));
  daemon.Write(15 + kWindow);
  CHECK(stored.Implied() == kNew);
}

TEST_CASE("a restart of a version's engines costs no writes") {
  StoredRecord stored;
  Writer daemon(&stored);
  daemon.Put("a", kOld, 0);
  daemon.Write(0);
  daemon.Remove("a", 10);
  daemon.Put("a", kOld, 14);
  CHECK_FALSE(daemon.IsDue(14));
  CHECK_FALSE(daemon.IsDue(100));
}

TEST_CASE("a version that is opened and closed again unseen isn't removed") {
  StoredRecord stored;
  Writer cut_off(&stored);
  Writer other(&stored);
  cut_off.Put("a", kOld, 0);
  cut_off.Put("b", kNew, 0);
  other.Put("b", kNew, 0);
  cut_off.Write(0);
  cut_off.Remove("a", 1);
  cut_off.Write(6);
  const Revision closed_at = stored.revision;
  // Streams begin at it once more, elsewhere.
  other.Read(10);
  CHECK_FALSE(other.MayBegin(kOld));
  other.Put("a", kOld, 10);
  other.Write(10);
  CHECK(other.MayBegin(kOld));
  other.Remove("a", 20);
  other.Write(25);
  CHECK(stored.revision > closed_at);
  cut_off.Write(6 + kWindow);
  CHECK(stored.Names(kOld));
  cut_off.Write(6 + 2 * kWindow - 1);
  CHECK(stored.Names(kOld));
  cut_off.Write(6 + 2 * kWindow);
  CHECK_FALSE(stored.Names(kOld));
}

TEST_CASE("a version that only a stale list lacks is opened again") {
  StoredRecord stored;
  Writer stale(&stored);
  Writer other(&stored);
  for (Writer* daemon : {&stale, &other}) daemon->Put("b", kNew, 0);
  other.Put("a", kOld, 0);
  other.Write(0);
  stale.Read(0);
  stale.Write(1);
  CHECK_FALSE(stale.MayBegin(kOld));
  CHECK(stored.Names(kOld));
  other.Read(2);
  CHECK(other.IsDue(2));
  other.Write(2);
  CHECK(other.MayBegin(kOld));
}

TEST_CASE("an older copy of the record implies nothing for a while") {
  StoredRecord stored;
  Writer daemon(&stored);
  daemon.Put("a", kOld, 0);
  daemon.Write(0);
  CHECK(stored.Implied() == kOld);
  // The copy may lack a version that has come and gone since.
  stored.era = StoreEra(2);
  stored.revision = Revision(1000);
  CHECK_FALSE(stored.Implied());
  daemon.view.OnEraBegun(stored.era, At(50));
  daemon.Read(50);
  daemon.Write(50 + kWindow - 1);
  CHECK_FALSE(stored.Implied());
  daemon.Write(50 + kWindow);
  CHECK(stored.Implied() == kOld);
}

TEST_CASE("versions that the store has lost are recorded again") {
  StoredRecord stored;
  Writer daemon(&stored);
  daemon.Put("a", kOld, 0);
  daemon.Write(0);
  const StoredRecord copy = stored;
  daemon.Put("b", kNew, 1);
  daemon.Write(1);
  daemon.Remove("b", 2);
  SECTION("by a store of a new era") {
    stored = copy;
    stored.era = StoreEra(2);
    stored.revision = Revision(1000);
  }
  SECTION("by a store that names no era") { stored = copy; }
  SECTION("by a store that is empty") {
    stored.content.reset();
    stored.revision = Revision(0);
  }
  daemon.Read(3);
  CHECK_FALSE(daemon.MayBegin(kNew));
  CHECK(daemon.IsDue(3));
  daemon.Write(3);
  CHECK(stored.Names(kOld));
  CHECK(stored.Names(kNew));
  CHECK_FALSE(stored.Implied());
}

TEST_CASE("without engines the record doesn't shrink before its time") {
  StoredRecord stored;
  Writer first(&stored);
  first.Put("a", kOld, 0);
  first.Write(0);
  // A daemon that has just started, while no engine is listed.
  Writer started(&stored);
  started.Read(10);
  started.Write(10);
  CHECK(stored.Implied() == kOld);
  started.Write(10 + kWindow - 1);
  CHECK(stored.Implied() == kOld);
}

}  // namespace
}  // namespace mimosa
