// Processes and callers of a site of several software versions.
#include "tests/versioned_site.h"

#include <catch2/catch.hpp>
#include <iostream>
#include <sstream>

#include "base/json.h"

namespace mimosa::testing {
namespace {

using std::chrono::milliseconds;

constexpr char kKey[] = "key-one";
constexpr int kTargetLatencyMs = 500;
constexpr int kTargetGapMs = 200;
// Of so many streams, the caller breaks three off.
constexpr uint64_t kBreakOffs = 10;
// How long a caller tries to take a stream up.
constexpr milliseconds kPatience{4000};
constexpr milliseconds kRetryInterval{100};

// Returns the software version that the event names.
std::string VersionOf(const std::string& event) {
  const size_t at = event.find(" by ");
  return at == std::string::npos
             ? "v1"
             : event.substr(at + 4, event.find('\n', at) - at - 4);
}

}  // namespace

int64_t UnixMillis() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void ReceivedStream::Add(const std::string& body) {
  bool is_first_of_response = true;
  for (size_t at = 0;;) {
    const size_t end = body.find("\n\n", at);
    if (end == std::string::npos) return;
    const std::string event = body.substr(at, end - at);
    at = end + 2;
    const std::string version = VersionOf(event);
    if (version_.empty()) version_ = version;
    if (version != version_) {
      ++(is_first_of_response ? mixed_attempts_ : mixed_responses_);
      return;
    }
    ++events_;
    const std::string id = std::to_string(events_);
    if (event.rfind("id: " + id + "\n", 0) != 0) ++misplaced_;
    is_first_of_response = false;
  }
}

VersionedSite::VersionedSite(const Options& options)
    : options_(options), store_("standin-platform", {}), random_(Seed()) {
  REQUIRE(Eventually(
      [&] { return Get(store_.port(), "/debug/stats").status == 200; }));
  PutRecord(
      store_.port(), "op/config",
      WriteJson(MakeSiteConfig(
          1, kKey, {options_.deadline_ms, kTargetLatencyMs, kTargetGapMs})));
  for (int i = 0; i < options_.prefill_engines; ++i)
    AddEngine("p" + std::to_string(i), "prefill", "v1");
  for (int i = 0; i < options_.decode_engines; ++i)
    AddEngine("d" + std::to_string(i), "decode", "v1");
  for (int i = 0; i < options_.daemons; ++i) {
    daemons_.push_back(std::make_unique<Daemon>());
    Daemon& daemon = *daemons_.back();
    daemon.name = "entry-" + std::to_string(i);
    if (options_.has_store_proxies)
      daemon.store_proxy = std::make_unique<Proxy>(store_.port());
    daemon.settings.Write(daemon.name,
                          daemon.store_proxy ? daemon.store_proxy->address()
                                             : Loopback(store_.port()),
                          8000,
                          "MIMOSA_RETRY_BUDGET_RATIO=1\n"
                          "MIMOSA_RETRY_BUDGET_SLACK=2000\n");
    daemon.process =
        std::make_unique<Process>("tools/mimosa-entry", daemon.settings.args());
  }
  for (const auto& daemon : daemons_) {
    REQUIRE(Eventually(
        [&] { return SendTo(*daemon, "/note/x", "probe", {}).status == 200; }));
  }
  for (const auto& daemon : daemons_) {
    REQUIRE(Eventually(
        [&] {
          return GetJson(daemon->settings.control_port(),
                         "/status")["retry_share_established"]
              .asBool();
        },
        Seconds(60)));
  }
}

VersionedSite::~VersionedSite() { StopCallers(); }

void VersionedSite::StartCallers() {
  for (int i = 0; i < options_.callers; ++i)
    callers_.emplace_back([this, i] { RunCaller(i); });
}

void VersionedSite::StopCallers() {
  stopped_ = true;
  for (std::thread& caller : callers_) caller.join();
  callers_.clear();
}

void VersionedSite::AddEngine(const std::string& id, const std::string& stage,
                              const std::string& version, milliseconds delay) {
  auto engine = std::make_unique<Engine>();
  engine->id = id;
  engine->stage = stage;
  engine->version = version;
  StartEngine(engine.get(), delay);
  engines_.push_back(std::move(engine));
}

void VersionedSite::StartEngine(Engine* engine, milliseconds delay) {
  Json::Value behavior;
  behavior["gap_ms"] = static_cast<int>(options_.event_interval.count());
  behavior["events"] = options_.events;
  std::vector<std::string> args =
      SiteServerArgs(engine->id, "llm", engine->stage, engine->port,
                     store_.port(), engine->version);
  args.push_back("--behavior=" + WriteJson(behavior));
  args.push_back("--register-after-ms=" + std::to_string(delay.count()));
  engine->process =
      std::make_unique<Process>("standins/standin-site-server", args);
}

StreamTally VersionedSite::tally() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return tally_;
}

std::string VersionedSite::FindLogLines(const std::string& stream) const {
  std::string found;
  for (const auto& daemon : daemons_) {
    std::istringstream log(daemon->process->Output());
    for (std::string line; std::getline(log, line);) {
      if (line.find("\"" + stream + "\"") != std::string::npos ||
          line.find("\"" + stream + "-") != std::string::npos)
        found += line + "\n";
    }
  }
  return found;
}

Request VersionedSite::MakeRequest(const std::string& target,
                                   const std::string& id,
                                   const Fields& more) const {
  Request request =
      MakeSiteRequest(target, id, kKey, "body", options_.deadline_ms);
  request.headers.insert(request.headers.end(), more.begin(), more.end());
  return request;
}

Reply VersionedSite::SendTo(const Daemon& daemon, const std::string& target,
                            const std::string& id, const Fields& more) const {
  return Call(daemon.settings.listen_port(), MakeRequest(target, id, more));
}

void VersionedSite::RunCaller(int number) {
  SeededRandom random(Seed() * 1000 + static_cast<uint64_t>(number));
  for (int i = 0; !stopped_; ++i) {
    const std::string id =
        "r" + std::to_string(number) + "-" + std::to_string(i);
    RunStream(id, &random);
  }
}

const VersionedSite::Daemon& VersionedSite::DrawDaemon(
    SeededRandom* random) const {
  return *daemons_[random->UniformInt(daemons_.size())];
}

void VersionedSite::RunStream(const std::string& id, SeededRandom* random) {
  ReceivedStream stream(options_.events);
  const std::string target = "/note/" + id;
  const int64_t began_at = UnixMillis();
  const Daemon& first_daemon = DrawDaemon(random);
  {
    Connection connection(first_daemon.settings.listen_port());
    if (!connection.Send(MakeRequest(target, id, {}))) {
      std::this_thread::sleep_for(kRetryInterval);
      return;
    }
    const bool breaks_off = random->UniformInt(kBreakOffs) < 3;
    const size_t events =
        1 + random->UniformInt(static_cast<uint64_t>(options_.events) / 2);
    const size_t event_bytes = StreamEvents(1, 1).size();
    stream.Add(breaks_off ? connection.ReadAtLeast(events * event_bytes).body
                          : connection.ReadReply().body);
  }
  if (stream.events() == 0) return;  // Refused, or failed before it began.
  const bool is_taken_up = !stream.is_whole();
  const int before = stream.events();
  const auto give_up = std::chrono::steady_clock::now() + kPatience;
  for (int i = 1; !stream.is_whole() && !stream.is_mixed() &&
                  std::chrono::steady_clock::now() < give_up;
       ++i) {
    const Reply reply = SendTo(
        DrawDaemon(random), target, id + "-" + std::to_string(i),
        {{"Last-Event-Id", std::to_string(stream.events())}, {"Resumes", id}});
    if (reply.status == 200) {
      stream.Add(reply.body);
    } else {
      std::this_thread::sleep_for(kRetryInterval);
    }
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  ++tally_.streams;
  tally_.whole += stream.is_whole() ? 1 : 0;
  tally_.taken_up += is_taken_up ? 1 : 0;
  tally_.went_on += is_taken_up && stream.events() > before ? 1 : 0;
  tally_.mixed_attempts += stream.mixed_attempts();
  tally_.mixed_responses += stream.mixed_responses();
  tally_.misplaced += stream.misplaced();
  if (stream.is_mixed()) {
    tally_.mixed_streams.push_back(id);
    std::cout << "  " << began_at << " " << id << " begins at "
              << first_daemon.name << " at " << stream.version() << std::endl;
  }
}

void CheckStreams(VersionedSite* site, const std::string& title) {
  const StreamTally tally = site->tally();
  std::cout << title << ": " << tally.streams << " streams, " << tally.whole
            << " whole, " << tally.taken_up << " taken up, " << tally.went_on
            << " of them went on; of two versions: " << tally.mixed_attempts
            << " over attempts, " << tally.mixed_responses
            << " within a response; misplaced events: " << tally.misplaced
            << std::endl;
  for (const std::string& stream : tally.mixed_streams) {
    INFO("events of two versions:\n" << site->FindLogLines(stream));
    CHECK(stream.empty());
  }
  CHECK(tally.mixed_attempts == 0);
  CHECK(tally.mixed_responses == 0);
  CHECK(tally.misplaced == 0);
  // Most broken streams go on, or nothing was tested.
  CHECK(tally.taken_up > 0);
  CHECK(tally.went_on * 2 > tally.taken_up);
}

}  // namespace mimosa::testing
