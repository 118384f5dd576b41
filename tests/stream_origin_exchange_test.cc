// Runs the exchange of streams' origins of whole fleets in virtual time:
// daemons are killed, restarted and cut off while the engines of a service are
// replaced by others of a new version, and the callers take their streams up
// elsewhere. No stream may go on at another version than the one that began it.
#include "serving/stream_origin_exchange.h"

#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/json.h"
#include "base/random.h"
#include "tests/serving_fakes.h"
#include "tests/virtual_datagrams.h"
#include "tests/virtual_fleet.h"

namespace mimosa {
namespace {

using std::chrono::seconds;

const ServiceId kService("llm");
const SoftwareVersion kOld("1");
const SoftwareVersion kNew("2");
constexpr Duration kLifetime = seconds(20);

BackEndEntry Engine(const std::string& id, const SoftwareVersion& version) {
  BackEndEntry entry;
  entry.id = BackEndId(id);
  entry.service = kService;
  entry.role = EngineRole::kDecode;
  entry.software_version = version;
  return entry;
}

// The records of the platform's store, which outlive all daemons.
class FleetStore {
 public:
  using ChangeObserver = std::function<void(const std::string& key)>;
  void SetObserver(ChangeObserver observer) {
    on_change_ = std::move(observer);
  }

  KvResult Put(const std::string& key, std::string value, Revision expect) {
    if (is_away || refuses_writes) return {};
    KvResult result = Check(key, expect);
    if (result.status != KvStatus::kOk) return result;
    result.record = {key, std::move(value), Revision(++revision_)};
    records_[key] = result.record;
    on_change_(key);
    return result;
  }
  KvResult Get(const std::string& key) const {
    if (is_away) return {};
    const KvRecord* const present = Find(key);
    KvResult result;
    result.status = present == nullptr ? KvStatus::kNotFound : KvStatus::kOk;
    if (present != nullptr) result.record = *present;
    return result;
  }
  KvResult Delete(const std::string& key, Revision expect) {
    if (is_away) return {};
    KvResult result = Check(key, expect);
    if (result.status == KvStatus::kOk && records_.erase(key) > 0)
      on_change_(key);
    return result;
  }
  const KvRecord* Find(const std::string& key) const {
    const auto it = records_.find(key);
    return it == records_.end() ? nullptr : &it->second;
  }
  const std::map<std::string, KvRecord>& records() const { return records_; }

  // A copy of the records, from which the store can come back.
  struct Copy {
    std::map<std::string, KvRecord> records;
    int64_t revision = 0;
  };
  Copy MakeCopy() const { return {records_, revision_}; }
  void ComeBackFrom(const Copy& copy) {
    records_ = copy.records;
    revision_ = copy.revision;
  }

  bool is_away = false;
  bool refuses_writes = false;

 private:
  KvResult Check(const std::string& key, Revision expect) const {
    const KvRecord* const present = Find(key);
    KvResult result;
    result.status = KvStatus::kOk;
    if (present != nullptr) result.record = *present;
    if (result.record.revision != expect) result.status = KvStatus::kConflict;
    return result;
  }

  ChangeObserver on_change_;
  std::map<std::string, KvRecord> records_;
  int64_t revision_ = 0;
};

// A daemon's connection to the store.
class FleetStoreClient : public testing::UnresponsiveStore {
 public:
  FleetStoreClient(FleetStore* store, EventLoop* loop)
      : store_(store), loop_(loop) {}

  CallPtr Get(const std::string& key, DoneCallback done) override {
    return Call([this, key] { return store_->Get(key); }, done);
  }
  CallPtr Put(const std::string& key, std::string value, Revision expect,
              const std::string&, DoneCallback done) override {
    return Call(
        [this, key, value, expect] { return store_->Put(key, value, expect); },
        done);
  }
  CallPtr Delete(const std::string& key, Revision expect,
                 DoneCallback done) override {
    return Call([this, key, expect] { return store_->Delete(key, expect); },
                done);
  }

  bool is_refused = false;  // The store turns this daemon away.

 private:
  struct PendingTimer : KvCall {
    TimerHandle timer;
  };
  CallPtr Call(const std::function<KvResult()>& run, const DoneCallback& done) {
    auto call = std::make_unique<PendingTimer>();
    call->timer = loop_->After(milliseconds(5), [this, run, done] {
      done(is_refused ? KvResult{} : run());
    });
    return call;
  }

  FleetStore* const store_;
  EventLoop* const loop_;
};

constexpr char kBatchPrefix[] = "batches/";
constexpr char kVersionsKey[] = "versions";

StreamOriginJournal::Options JournalOptions() {
  StreamOriginJournal::Options options;
  options.batch_key_prefix = kBatchPrefix;
  return options;
}

VersionRegistry::Options RegistryOptions() {
  VersionRegistry::Options options;
  options.key = kVersionsKey;
  return options;
}

// How long a version that has left may have begun streams that can be taken up,
// as the registry judges it.
const Duration kWindow = VersionRecordView::Options().close_delay +
                         VersionRecordView::Options().max_age + kLifetime;
// Covers the write of a version by a member that is the last in turn, the look
// that finds it due, and the delivery by the watch.
constexpr Duration kRecordingTime = seconds(8);

// One start of a daemon.
struct Daemon {
  Daemon(VirtualTimeSimulator* simulator, FakeNetwork* network,
         FleetStore* fleet_store, int index, uint64_t boot, int fleet_size)
      : random(boot),
        loop(simulator, Duration::zero(), 0),
        log(-1, &loop, testing::DisabledLogOptions()),
        members(&loop, &store, &random, &log, MemberOf(index, boot), {}),
        journal_store(fleet_store, &loop),
        versions(
            &loop, &members, &journal_store, &back_ends, &random, &log,
            [this] { return hears_store; }, RegistryOptions()),
        journal(&loop, &members, &journal_store, &log, JournalOptions()),
        exchange(&loop, &members, &log, StreamOriginExchange::Options{},
                 &versions, &journal),
        records(fleet_store),
        socket(network, index) {
    for (int other = 0; other < fleet_size; ++other) {
      if (other == index) continue;
      const std::string record = ToJson(MemberOf(other, 1));
      members.OnRecord(NameOf(other), &record);
    }
    network->Attach(index, [this](const Endpoint& from,
                                  const wire::UsageDatagram& datagram) {
      exchange.OnDatagram(from, datagram);
      journal.OnDatagram(from, datagram);
    });
    exchange.SetStreamLifetime(kLifetime);
    exchange.Start(&socket);
  }

  // The first listing of the store.
  void ListAll(const std::vector<BackEndEntry>& entries) {
    List(entries);
    for (const auto& [key, record] : records->records()) Read(key);
  }
  // The watch delivers a change after its usual delay.
  void DeliverLater(const std::string& key) {
    if (hears_store)
      deliveries.push_back(
          loop.After(milliseconds(300), [this, key] { Read(key); }));
  }
  void Read(const std::string& key) {
    const KvRecord* const record = records->Find(key);
    const std::string prefix(kBatchPrefix);
    if (key == kVersionsKey) {
      versions.OnRecord(record);
    } else if (key.compare(0, prefix.size(), prefix) == 0) {
      journal.OnBatchRecord(key.substr(prefix.size()), record);
    }
  }

  // The store's watch delivers a change of the engines.
  void List(const std::vector<BackEndEntry>& entries) {
    back_ends.ReplaceAll(entries, loop.Now());
    versions.OnBackEndsChanged();
  }
  bool MayBegin(const SoftwareVersion& version) const {
    return exchange.StartableVersions(kService).count(version) > 0;
  }

  SeededRandom random;
  VirtualLoop loop;
  LineLog log;
  testing::UnresponsiveStore store;
  MemberList members;
  BackEndList back_ends;
  bool hears_store = true;
  FleetStoreClient journal_store;
  VersionRegistry versions;
  StreamOriginJournal journal;
  StreamOriginExchange exchange;
  FleetStore* const records;
  FakeSocket socket;
  std::vector<TimerHandle> deliveries;
};

struct Stream {
  RequestId request;
  SoftwareVersion version;
  int daemon = 0;
};

class Fleet {
 public:
  Fleet(int size, uint64_t seed)
      : random_(seed), network_(&simulator_, &random_), size_(size) {
    daemons_.resize(static_cast<size_t>(size));
    store_.SetObserver([this](const std::string& key) {
      for (const auto& daemon : daemons_)
        if (daemon != nullptr) daemon->DeliverLater(key);
    });
    for (int i = 0; i < size; ++i) Start(i);
    RunUntilRecorded();
  }

  void Start(int index) {
    auto& daemon = daemons_[static_cast<size_t>(index)];
    daemon = std::make_unique<Daemon>(&simulator_, &network_, &store_, index,
                                      ++last_boot_, size_);
    daemon->ListAll(engines_);
  }
  void Kill(int index) {
    network_.Attach(index, nullptr);
    daemons_[static_cast<size_t>(index)].reset();
  }
  Daemon* daemon(int index) {
    return daemons_[static_cast<size_t>(index)].get();
  }
  void KillAll() {
    for (int i = 0; i < size_; ++i) Kill(i);
  }
  void StartAll() {
    for (int i = 0; i < size_; ++i) Start(i);
  }
  // The daemon learns of no change any more, and its calls to the store fail.
  void CutOffFromStore(int index) {
    daemon(index)->hears_store = false;
    daemon(index)->journal_store.is_refused = true;
    daemon(index)->exchange.OnStoreLost();
  }
  // Its watch goes on: it reads the present state.
  void ReachStoreAgain(int index) {
    daemon(index)->hears_store = true;
    daemon(index)->journal_store.is_refused = false;
    daemon(index)->ListAll(engines_);
  }
  FakeNetwork& network() { return network_; }
  FleetStore& store() { return store_; }
  int size() const { return size_; }

  void Run(Duration duration) {
    simulator_.RunUntil(simulator_.now() + duration);
  }

  // The store comes back from a copy, and all daemons list it again.
  void ComeBackFrom(const FleetStore::Copy& copy) {
    store_.ComeBackFrom(copy);
    for (const auto& daemon : daemons_)
      if (daemon != nullptr) daemon->ListAll(engines_);
  }

  // All daemons that run and hear the store learn of the engines.
  void SetEngines(const std::vector<BackEndEntry>& engines) {
    AnnounceEngines(engines);
    RunUntilRecorded();
  }
  void AnnounceEngines(std::vector<BackEndEntry> engines) {
    engines_ = std::move(engines);
    for (const auto& daemon : daemons_)
      if (daemon != nullptr && daemon->hears_store) daemon->List(engines_);
  }

  // All daemons that run and hear the store may begin streams at all versions
  // of the engines.
  void RunUntilRecorded() {
    const auto is_recorded = [this] {
      for (const auto& daemon : daemons_) {
        if (daemon == nullptr || !daemon->hears_store) continue;
        for (const BackEndEntry& engine : engines_)
          if (!daemon->MayBegin(engine.software_version)) return false;
      }
      return true;
    };
    const MonoTime end = simulator_.now() + kRecordingTime;
    while (!is_recorded() && simulator_.now() < end) Run(milliseconds(10));
    REQUIRE(is_recorded());
  }

  // Begins `count` streams at random daemons, at random versions of `versions`.
  std::vector<Stream> BeginStreams(
      int count, const std::vector<SoftwareVersion>& versions) {
    std::vector<Stream> streams;
    for (int i = 0; i < count; ++i) {
      Stream stream;
      stream.request = RequestId("r" + std::to_string(++last_request_));
      stream.version = versions[random_.UniformInt(versions.size())];
      stream.daemon = static_cast<int>(random_.UniformInt(size()));
      REQUIRE(daemon(stream.daemon)->MayBegin(stream.version));
      daemon(stream.daemon)
          ->exchange.Record(stream.request, kService, stream.version);
      streams.push_back(stream);
      Run(milliseconds(1));
    }
    return streams;
  }

  // Takes the streams up at that daemon. Returns how many of them go on at
  // their version.
  int TakeUpAt(int index, const std::vector<Stream>& streams) {
    int went_on = 0;
    std::vector<std::unique_ptr<StreamOriginLookup>> lookups;
    lookups.reserve(streams.size());
    for (const Stream& stream : streams)
      lookups.push_back(daemon(index)->exchange.Find(
          stream.request, kService,
          [&went_on, version = stream.version](const auto& found) {
            went_on += found == version ? 1 : 0;
          }));
    Run(seconds(2));
    return went_on;
  }

  // What became of streams that were taken up.
  struct Takeups {
    int count = 0;
    int went_on = 0;
    int at_wrong_version = 0;
  };

  // The callers of all streams of daemons that `is_broken` take them up at
  // random daemons that run.
  template <typename IsBroken>
  Takeups TakeUp(const std::vector<Stream>& streams, const IsBroken& is_broken,
                 bool name_request = true) {
    Takeups takeups;
    std::vector<std::unique_ptr<StreamOriginLookup>> lookups;
    for (const Stream& stream : streams) {
      if (!is_broken(stream)) continue;
      ++takeups.count;
      lookups.push_back(DaemonThatRuns()->exchange.Find(
          name_request ? stream.request : RequestId(), kService,
          [&takeups, version = stream.version](const auto& found) {
            if (!found) return;
            ++takeups.went_on;
            takeups.at_wrong_version += *found == version ? 0 : 1;
          }));
    }
    Run(seconds(1));
    return takeups;
  }

 private:
  Daemon* DaemonThatRuns() {
    for (;;) {
      Daemon* const candidate =
          daemon(static_cast<int>(random_.UniformInt(size())));
      if (candidate != nullptr) return candidate;
    }
  }

  VirtualTimeSimulator simulator_;
  SeededRandom random_;
  FakeNetwork network_;
  FleetStore store_;
  const int size_;
  std::vector<std::unique_ptr<Daemon>> daemons_;
  std::vector<BackEndEntry> engines_ = {Engine("a", kOld), Engine("b", kOld)};
  uint64_t last_boot_ = 0;
  int last_request_ = 0;
};

constexpr int kStreams = 300;

const std::vector<BackEndEntry> kMixedEngines = {
    Engine("a", kOld), Engine("b", kOld), Engine("c", kNew), Engine("d", kNew)};
const std::vector<BackEndEntry> kNewEngines = {Engine("c", kNew),
                                               Engine("d", kNew)};

// The platform asks that at least half as many of the streams taken up go on as
// of the new ones begin.
void CheckTakeups(const Fleet::Takeups& takeups) {
  CHECK(takeups.count >= 12);
  CHECK(takeups.at_wrong_version == 0);
  CHECK(2 * takeups.went_on >= takeups.count);
}

// Runs `body` with fleets of all sizes and several seeds.
template <typename Body>
void ForEachFleet(const Body& body) {
  for (const auto& [size, seeds] :
       {std::pair(6, 20), {86, 4}, {195, 2}, {389, 1}}) {
    for (int i = 1; i <= seeds; ++i) {
      const auto seed = static_cast<uint64_t>(i);
      INFO(size << " daemons, seed " << seed);
      Fleet fleet(size, seed);
      body(fleet);
    }
  }
}

TEST_CASE("streams of killed daemons go on at their version elsewhere") {
  ForEachFleet([](Fleet& fleet) {
    fleet.SetEngines(kMixedEngines);
    const auto streams = fleet.BeginStreams(kStreams, {kOld, kNew});
    fleet.Run(milliseconds(50));
    const int killed = fleet.size() / 3;
    for (int i = 0; i < killed; ++i) fleet.Kill(i);
    CheckTakeups(fleet.TakeUp(
        streams, [&](const Stream& stream) { return stream.daemon < killed; }));
  });
}

TEST_CASE("restarted daemons find the versions of their streams") {
  ForEachFleet([](Fleet& fleet) {
    fleet.network().loss_per_mille = 25;
    fleet.SetEngines(kMixedEngines);
    const auto streams = fleet.BeginStreams(kStreams, {kOld, kNew});
    fleet.Run(milliseconds(50));
    const int killed = fleet.size() / 3;
    for (int i = 0; i < killed; ++i) fleet.Kill(i);
    fleet.Run(milliseconds(500));
    for (int i = 0; i < killed; ++i) fleet.Start(i);
    CheckTakeups(fleet.TakeUp(
        streams, [&](const Stream& stream) { return stream.daemon < killed; }));
  });
}

TEST_CASE("streams that began before a release go on at their version") {
  ForEachFleet([](Fleet& fleet) {
    const auto streams = fleet.BeginStreams(kStreams, {kOld});
    CHECK(fleet.network().datagrams() == 0);
    fleet.SetEngines(kMixedEngines);
    fleet.Run(milliseconds(100));
    const int killed = fleet.size() / 3;
    for (int i = 0; i < killed; ++i) fleet.Kill(i);
    CheckTakeups(fleet.TakeUp(
        streams, [&](const Stream& stream) { return stream.daemon < killed; }));
  });
}

// Nine of ten streams go on, at their version.
void CheckNearlyAllGoOn(const Fleet::Takeups& takeups) {
  CHECK(takeups.at_wrong_version == 0);
  CHECK(10 * takeups.went_on >= 9 * takeups.count);
}

bool IsAny(const Stream& /*stream*/) { return true; }

TEST_CASE("after a restart of all, streams go on at their version", "[store]") {
  ForEachFleet([](Fleet& fleet) {
    const auto old_streams = fleet.BeginStreams(kStreams, {kOld});
    fleet.KillAll();
    fleet.StartAll();
    // With one version there is no doubt.
    CHECK(fleet.TakeUp(old_streams, IsAny).went_on == kStreams);
    fleet.SetEngines(kMixedEngines);
    const auto streams = fleet.BeginStreams(kStreams, {kOld, kNew});
    fleet.Run(seconds(1));
    fleet.KillAll();
    fleet.StartAll();
    CheckNearlyAllGoOn(fleet.TakeUp(streams, IsAny));
    // The daemons that started know of them for as long as they can last.
    fleet.Run(seconds(2));
    fleet.KillAll();
    fleet.StartAll();
    CheckNearlyAllGoOn(fleet.TakeUp(streams, IsAny));
  });
}

TEST_CASE("what isn't in the store at the end of all daemons is refused",
          "[store]") {
  ForEachFleet([](Fleet& fleet) {
    fleet.SetEngines(kMixedEngines);
    const auto streams = fleet.BeginStreams(kStreams, {kOld, kNew});
    fleet.KillAll();
    fleet.StartAll();
    const auto takeups = fleet.TakeUp(streams, IsAny);
    CHECK(takeups.at_wrong_version == 0);
    CHECK(takeups.went_on < takeups.count);
  });
}

TEST_CASE("a store that was away holds no origins, and nothing is guessed",
          "[store]") {
  ForEachFleet([](Fleet& fleet) {
    fleet.SetEngines(kMixedEngines);
    fleet.store().is_away = true;
    const auto streams = fleet.BeginStreams(kStreams, {kOld, kNew});
    fleet.Run(seconds(2));
    fleet.KillAll();
    fleet.store().is_away = false;
    fleet.StartAll();
    CHECK(fleet.TakeUp(streams, IsAny).went_on == 0);
  });
}

TEST_CASE("origins are written after an outage of the store", "[store]") {
  ForEachFleet([](Fleet& fleet) {
    fleet.SetEngines(kMixedEngines);
    fleet.store().is_away = true;
    const auto streams = fleet.BeginStreams(kStreams, {kOld, kNew});
    fleet.Run(seconds(2));
    fleet.store().is_away = false;
    fleet.Run(seconds(3));
    fleet.KillAll();
    fleet.StartAll();
    CheckNearlyAllGoOn(fleet.TakeUp(streams, IsAny));
  });
}

TEST_CASE("another member writes if the store turns the writer away",
          "[store]") {
  ForEachFleet([](Fleet& fleet) {
    fleet.SetEngines(kMixedEngines);
    const std::string writer =
        fleet.daemon(0)->members.TopMembers("stream_origins", 1).front();
    for (int i = 0; i < fleet.size(); ++i)
      fleet.daemon(i)->journal_store.is_refused = NameOf(i) == writer;
    const auto streams = fleet.BeginStreams(kStreams, {kOld, kNew});
    fleet.Run(seconds(4));
    fleet.KillAll();
    fleet.StartAll();
    CheckNearlyAllGoOn(fleet.TakeUp(streams, IsAny));
  });
}

// The servers of the old version have just left when all daemons end at once,
// so that those that start see one version only.
TEST_CASE("after a restart of all, a version that has just left counts",
          "[store]") {
  ForEachFleet([](Fleet& fleet) {
    fleet.Run(seconds(5));  // The record of versions is written.
    fleet.SetEngines(kMixedEngines);
    const auto streams = fleet.BeginStreams(kStreams, {kOld});
    fleet.SetEngines(kNewEngines);
    fleet.KillAll();
    fleet.StartAll();
    CHECK(fleet.TakeUp(streams, IsAny).at_wrong_version == 0);
    CHECK(fleet.TakeUp(streams, IsAny, /*name_request=*/false).went_on == 0);
  });
}

TEST_CASE("a version that was replaced while no daemon ran counts", "[store]") {
  ForEachFleet([](Fleet& fleet) {
    fleet.Run(seconds(5));
    const auto streams = fleet.BeginStreams(kStreams, {kOld});
    fleet.KillAll();
    fleet.SetEngines(kNewEngines);
    fleet.store().refuses_writes = true;
    fleet.StartAll();
    // Only the old version may have begun streams so far.
    const auto takeups = fleet.TakeUp(streams, IsAny);
    CHECK(takeups.went_on == kStreams);
    CHECK(takeups.at_wrong_version == 0);
    fleet.store().refuses_writes = false;
    fleet.RunUntilRecorded();
    CHECK(fleet.TakeUp(streams, IsAny).went_on == 0);
    // Once no stream of the old version can be left, there is no doubt.
    fleet.Run(kWindow + kRecordingTime);
    const auto new_streams = fleet.BeginStreams(kStreams, {kNew});
    fleet.KillAll();
    fleet.StartAll();
    CHECK(fleet.TakeUp(new_streams, IsAny).went_on == kStreams);
  });
}

// The store comes back from a copy made before the release.
TEST_CASE("a version that an older copy of the store lacks is written again",
          "[store]") {
  ForEachFleet([](Fleet& fleet) {
    fleet.Run(seconds(5));
    const FleetStore::Copy copy = fleet.store().MakeCopy();
    CHECK(copy.records.size() == 1);  // The versions.
    fleet.SetEngines(kMixedEngines);
    fleet.Run(seconds(5));
    const auto streams = fleet.BeginStreams(kStreams, {kNew});
    fleet.Run(seconds(2));  // All origins are in the store.
    fleet.ComeBackFrom(copy);
    fleet.Run(seconds(8));
    // The release is taken back while no daemon runs.
    fleet.KillAll();
    fleet.SetEngines({Engine("a", kOld), Engine("b", kOld)});
    fleet.StartAll();
    const auto takeups = fleet.TakeUp(streams, IsAny);
    CHECK(takeups.at_wrong_version == 0);
    CHECK(fleet.TakeUp(streams, IsAny, /*name_request=*/false).went_on == 0);
  });
}

TEST_CASE("versions are written again to a store that came back empty",
          "[store]") {
  ForEachFleet([](Fleet& fleet) {
    fleet.Run(seconds(5));
    CHECK(fleet.store().records().size() == 1);
    const auto streams = fleet.BeginStreams(kStreams, {kOld});
    // No daemon hears of it.
    fleet.store().ComeBackFrom(FleetStore::Copy());
    fleet.Run(seconds(12));
    fleet.KillAll();
    fleet.SetEngines(kNewEngines);
    fleet.StartAll();
    CHECK(fleet.TakeUp(streams, IsAny).at_wrong_version == 0);
    fleet.RunUntilRecorded();
    CHECK(fleet.TakeUp(streams, IsAny).went_on == 0);
  });
}

TEST_CASE("the journal's records are few and are removed after a release",
          "[store]") {
  ForEachFleet([](Fleet& fleet) {
    fleet.SetEngines(kMixedEngines);
    const auto streams = fleet.BeginStreams(kStreams, {kOld, kNew});
    fleet.Run(seconds(5));
    CHECK(fleet.store().records().size() <= 2 + kStreams / 64);
    fleet.SetEngines(kNewEngines);
    fleet.Run(2 * kLifetime + seconds(30));
    CHECK(fleet.store().records().size() == 1);  // The versions.
    CHECK(fleet.network().datagrams() > 0);
  });
}

TEST_CASE("a started daemon hears of versions that have just left") {
  ForEachFleet([](Fleet& fleet) {
    fleet.SetEngines(kMixedEngines);
    const auto streams = fleet.BeginStreams(kStreams, {kOld});
    fleet.SetEngines(kNewEngines);
    const int killed = fleet.size() / 3;
    for (int i = 0; i < killed; ++i) fleet.Kill(i);
    for (int i = 0; i < killed; ++i) fleet.Start(i);
    // Callers that name no request can't be told the version.
    const auto is_broken = [&](const Stream& stream) {
      return stream.daemon < killed;
    };
    CHECK(fleet.TakeUp(streams, is_broken, /*name_request=*/false).went_on ==
          0);
    CheckTakeups(fleet.TakeUp(streams, is_broken));
    // Once no stream of the old version can be left, there is no doubt.
    fleet.Run(kWindow + kRecordingTime);
    const auto new_streams = fleet.BeginStreams(kStreams, {kNew});
    const auto takeups = fleet.TakeUp(new_streams, is_broken, false);
    CHECK(takeups.went_on == takeups.count);
    CHECK(takeups.at_wrong_version == 0);
  });
}

TEST_CASE("a daemon that hears nobody doesn't guess a version") {
  ForEachFleet([](Fleet& fleet) {
    // It misses that engines of the new version have started.
    Daemon* const deaf = fleet.daemon(0);
    fleet.CutOffFromStore(0);
    fleet.network().cut_off = {0};
    fleet.SetEngines(kMixedEngines);
    std::vector<Stream> streams;
    for (int i = 0; i < kStreams; ++i) {
      const int daemon = 1 + i % (fleet.size() - 1);
      streams.push_back({RequestId("n" + std::to_string(i)), kNew, daemon});
      fleet.daemon(daemon)->exchange.Record(streams.back().request, kService,
                                            kNew);
    }
    int went_on = 0;
    std::vector<std::unique_ptr<StreamOriginLookup>> lookups;
    lookups.reserve(streams.size());
    for (const Stream& stream : streams) {
      lookups.push_back(deaf->exchange.Find(
          stream.request, kService,
          [&](const auto& found) { went_on += found ? 1 : 0; }));
    }
    fleet.Run(seconds(1));
    CHECK(went_on == 0);
    // Once it hears the other daemons, they know.
    fleet.network().cut_off.clear();
    std::optional<SoftwareVersion> found;
    const auto lookup =
        deaf->exchange.Find(streams.front().request, kService,
                            [&](const auto& version) { found = version; });
    fleet.Run(seconds(1));
    CHECK((!found || *found == kNew));
  });
}

// What becomes of the reports of a daemon that has learned of the new version
// before all others.
enum class Reports { kArrive, kLost, kNeverSent };

// That daemon begins streams at the new version, and their callers reach
// another one that hasn't learned of it yet. Returns how many of them may go on
// at the old version.
int CountAtOldVersion(Fleet& fleet, Reports reports) {
  fleet.Run(kLifetime);  // All views are established.
  fleet.daemon(0)->List(kMixedEngines);
  // It begins no stream before the record names the version.
  const auto has_begun = [&] { return fleet.daemon(0)->MayBegin(kNew); };
  for (int i = 0; i < 1000 && !has_begun(); ++i) fleet.Run(milliseconds(10));
  REQUIRE(has_begun());
  if (reports != Reports::kArrive) fleet.network().cut_off = {0};
  std::vector<RequestId> streams;
  for (int i = 0; i < 20; ++i) {
    streams.emplace_back("s" + std::to_string(i));
    fleet.daemon(0)->exchange.Record(streams.back(), kService, kNew);
  }
  if (reports == Reports::kNeverSent) {
    fleet.Kill(0);
    fleet.network().cut_off.clear();
  }
  fleet.Run(milliseconds(20));
  int at_old_version = 0;
  std::vector<std::unique_ptr<StreamOriginLookup>> lookups;
  lookups.reserve(streams.size());
  for (const RequestId& stream : streams)
    lookups.push_back(fleet.daemon(1)->exchange.Find(
        stream, kService,
        [&](const auto& found) { at_old_version += found == kOld ? 1 : 0; }));
  fleet.Run(seconds(1));
  return at_old_version;
}

TEST_CASE("daemons hear of a version from the one that has learned of it") {
  ForEachFleet([](Fleet& fleet) {
    CHECK(CountAtOldVersion(fleet, Reports::kArrive) == 0);
  });
}

TEST_CASE("a version that daemons haven't learned of yet isn't passed over",
          "[lagging]") {
  const Reports reports = GENERATE(Reports::kLost, Reports::kNeverSent);
  ForEachFleet(
      [&](Fleet& fleet) { CHECK(CountAtOldVersion(fleet, reports) == 0); });
}

// Two daemons can't reach the store, and the others have begun streams at a
// version that these two haven't learned of when they are killed.
struct SurvivorsOfRelease {
  explicit SurvivorsOfRelease(Fleet* fleet) : fleet(fleet) {
    fleet->Run(kLifetime);  // All views are established.
    for (int i = 0; i < 2; ++i) fleet->CutOffFromStore(i);
    fleet->SetEngines(kMixedEngines);
    for (int i = 0; i < 40; ++i) {
      streams.emplace_back("s" + std::to_string(i));
      fleet->daemon(2 + i % (fleet->size() - 2))
          ->exchange.Record(streams.back(), kService, kNew);
    }
    fleet->Run(milliseconds(50));
    for (int i = 2; i < fleet->size(); ++i) fleet->Kill(i);
  }

  // The streams are taken up at a daemon. Returns how many of them may go on at
  // the old version.
  int CountAtOldVersion(int daemon) {
    int at_old_version = 0;
    std::vector<std::unique_ptr<StreamOriginLookup>> lookups;
    lookups.reserve(streams.size());
    for (const RequestId& stream : streams)
      lookups.push_back(fleet->daemon(daemon)->exchange.Find(
          stream, kService,
          [&](const auto& found) { at_old_version += found == kOld ? 1 : 0; }));
    fleet->Run(seconds(2));
    return at_old_version;
  }

  Fleet* fleet;
  std::vector<RequestId> streams;
};

TEST_CASE("daemons cut off from the store don't vouch for each other",
          "[cut_off]") {
  ForEachFleet([](Fleet& fleet) {
    SurvivorsOfRelease survivors(&fleet);
    CHECK(survivors.CountAtOldVersion(0) == 0);
    CHECK(survivors.CountAtOldVersion(1) == 0);
  });
}

TEST_CASE("daemons that have just started don't vouch for a version",
          "[cut_off]") {
  ForEachFleet([](Fleet& fleet) {
    SurvivorsOfRelease survivors(&fleet);
    for (int i = 2; i < fleet.size(); ++i) fleet.Start(i);
    CHECK(survivors.CountAtOldVersion(0) == 0);
    CHECK(survivors.CountAtOldVersion(2) == 0);
    // The old version is back alone before the streams are over.
    fleet.AnnounceEngines({Engine("a", kOld), Engine("b", kOld)});
    fleet.KillAll();
    fleet.StartAll();
    CHECK(survivors.CountAtOldVersion(0) == 0);
  });
}

// The watch of one daemon has a gap, in which a version comes and goes.
TEST_CASE("a version that came and left unseen isn't passed over",
          "[cut_off]") {
  ForEachFleet([](Fleet& fleet) {
    fleet.Run(kLifetime);
    fleet.CutOffFromStore(0);
    fleet.SetEngines(kMixedEngines);
    const RequestId stream("s");
    // Its reports are lost with the daemon at which it has begun.
    fleet.network().cut_off = {1};
    fleet.daemon(1)->exchange.Record(stream, kService, kNew);
    fleet.Run(milliseconds(50));
    fleet.Kill(1);
    fleet.network().cut_off.clear();
    fleet.AnnounceEngines({Engine("a", kOld), Engine("b", kOld)});
    fleet.ReachStoreAgain(0);
    std::optional<SoftwareVersion> found;
    const auto lookup = fleet.daemon(0)->exchange.Find(
        stream, kService, [&](const auto& version) { found = version; });
    fleet.Run(seconds(1));
    CHECK((!found || *found == kNew));
  });
}

// An engine that hasn't stated its incarnation may have another version than
// its entry.
TEST_CASE("a stream of unknown version goes on nowhere if its record is lost",
          "[.][unknown_version]") {
  ForEachFleet([](Fleet& fleet) {
    const RequestId stream("s");
    fleet.network().cut_off = {0};
    fleet.daemon(0)->exchange.Record(stream, kService, std::nullopt);
    fleet.Run(milliseconds(50));
    fleet.Kill(0);
    fleet.network().cut_off.clear();
    std::optional<SoftwareVersion> found;
    const auto lookup = fleet.daemon(1)->exchange.Find(
        stream, kService, [&](const auto& version) { found = version; });
    fleet.Run(seconds(1));
    CHECK_FALSE(found);
  });
}

// It begins a stream at an engine that is no longer listed.
TEST_CASE("a daemon that was cut off for long leaves no stream to be guessed",
          "[.][long_cut]") {
  ForEachFleet([](Fleet& fleet) {
    fleet.Run(kLifetime);
    fleet.CutOffFromStore(0);
    fleet.SetEngines(kNewEngines);
    fleet.Run(kWindow + kRecordingTime);
    const RequestId stream("s");
    fleet.network().cut_off = {0};
    if (fleet.daemon(0)->MayBegin(kOld))
      fleet.daemon(0)->exchange.Record(stream, kService, kOld);
    fleet.Run(milliseconds(50));
    fleet.Kill(0);
    fleet.network().cut_off.clear();
    std::optional<SoftwareVersion> found;
    const auto lookup = fleet.daemon(1)->exchange.Find(
        stream, kService, [&](const auto& version) { found = version; });
    fleet.Run(seconds(1));
    CHECK((!found || *found == kOld));
  });
}

TEST_CASE("a daemon that has heard of a version doesn't forget it",
          "[cut_off]") {
  ForEachFleet([](Fleet& fleet) {
    fleet.Run(kLifetime);
    for (int i = 0; i < 2; ++i) fleet.CutOffFromStore(i);
    fleet.SetEngines(kMixedEngines);
    fleet.Run(seconds(1));
    const RequestId stream("s");
    for (int i = 2; i < fleet.size(); ++i)
      fleet.daemon(i)->exchange.Record(stream, kService, kNew);
    fleet.Run(milliseconds(50));
    const auto find = [&] {
      std::optional<SoftwareVersion> result;
      const auto lookup = fleet.daemon(0)->exchange.Find(
          stream, kService, [&](const auto& found) { result = found; });
      fleet.Run(seconds(1));
      return result;
    };
    CHECK(find() == kNew);
    for (int i = 1; i < fleet.size(); ++i) fleet.Kill(i);
    CHECK(find() == kNew);
  });
}

TEST_CASE("members read the record for a daemon cut off from the store",
          "[cut_off]") {
  ForEachFleet([](Fleet& fleet) {
    fleet.CutOffFromStore(0);
    std::vector<Stream> streams;
    for (int i = 0; i < kStreams; ++i) {
      const int daemon = 1 + i % (fleet.size() - 1);
      streams.push_back({RequestId("s" + std::to_string(i)), kOld, daemon});
      fleet.daemon(daemon)->exchange.Record(streams.back().request, kService,
                                            kOld);
    }
    const int before = fleet.TakeUpAt(0, streams);
    CHECK(10 * before >= 9 * kStreams);
    // While the store is away from all, nobody can say.
    for (int i = 1; i < fleet.size(); ++i) fleet.CutOffFromStore(i);
    std::vector<Stream> late;
    late.reserve(kStreams);
    for (int i = 0; i < kStreams; ++i)
      late.push_back({RequestId("late" + std::to_string(i)), kOld, 1});
    CHECK(fleet.TakeUpAt(0, late) == 0);
  });
}

TEST_CASE("streams of killed daemons go on while the store is away",
          "[cut_off]") {
  ForEachFleet([](Fleet& fleet) {
    auto streams = fleet.BeginStreams(kStreams, {kOld});
    fleet.store().is_away = true;
    for (int i = 0; i < fleet.size(); ++i) fleet.CutOffFromStore(i);
    const auto later = fleet.BeginStreams(kStreams, {kOld});
    streams.insert(streams.end(), later.begin(), later.end());
    fleet.Run(milliseconds(50));
    const int killed = fleet.size() / 3;
    for (int i = 0; i < killed; ++i) fleet.Kill(i);
    CheckTakeups(fleet.TakeUp(
        streams, [&](const Stream& stream) { return stream.daemon < killed; }));
  });
}

TEST_CASE("answers that nobody asked for are ignored") {
  Fleet fleet(6, 1);
  fleet.SetEngines(kMixedEngines);
  Daemon* const daemon = fleet.daemon(0);
  bool done = false;
  std::optional<SoftwareVersion> found;
  const auto lookup =
      daemon->exchange.Find(RequestId("x"), kService, [&](const auto& version) {
        CHECK_FALSE(done);
        done = true;
        found = version;
      });
  wire::UsageDatagram datagram;
  datagram.mutable_origin_answer()->set_known(true);
  datagram.mutable_origin_answer()->set_software_version("3");
  // From no member, then from members with serials of no lookup.
  datagram.mutable_origin_answer()->set_serial(1);
  daemon->exchange.OnDatagram({"10.9.9.9", 1}, datagram);
  datagram.mutable_origin_answer()->set_serial(77);
  for (int i = 1; i < 6; ++i)
    daemon->exchange.OnDatagram(AddressOf(i), datagram);
  daemon->exchange.OnDatagram(AddressOf(1), wire::UsageDatagram());
  CHECK_FALSE(done);
  fleet.Run(seconds(1));
  CHECK(done);
  CHECK_FALSE(found);
}

TEST_CASE("a lookup that is dropped has no callback") {
  Fleet fleet(6, 1);
  fleet.SetEngines(kMixedEngines);
  bool called = false;
  auto lookup = fleet.daemon(0)->exchange.Find(
      RequestId("x"), kService, [&](const auto&) { called = true; });
  lookup.reset();
  fleet.Run(seconds(1));
  CHECK_FALSE(called);
}

}  // namespace
}  // namespace mimosa
