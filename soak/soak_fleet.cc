// Starts and controls the processes of the soak test's fleet.
#include "soak/soak_fleet.h"

#include <signal.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <iostream>
#include <utility>

#include "base/json.h"

namespace mimosa::soak {
namespace {

using std::chrono::milliseconds;
using testing::Call;
using testing::FreePort;
using testing::Get;
using testing::Request;

}  // namespace

// --- Server -------------------------------------------------------------

Server::Server(std::string id, const std::string& service,
               const std::string& stage, uint16_t store_port,
               std::string version)
    : id_(std::move(id)),
      service_(service),
      stage_(stage),
      store_port_(store_port),
      port_(FreePort()),
      version_(std::move(version)),
      proxy_(port_) {
  StartProcess({});
}

void Server::StartProcess(const std::vector<std::string>& more_args) {
  std::vector<std::string> args = testing::SiteServerArgs(
      id_, service_, stage_, port_, store_port_, version_);
  args.push_back("--address=" + proxy_.address());
  args.emplace_back("--follow-length-hints");
  args.insert(args.end(), more_args.begin(), more_args.end());
  process_ = std::make_unique<testing::Process>("standins/standin-site-server",
                                                std::move(args));
}

void Server::Kill() {
  process_->Resume();
  CollectRuns();
  process_->Kill();
  for (const auto& [id, count] : current_runs_) previous_runs_[id] += count;
  current_runs_.clear();
  previous_arrivals_.insert(previous_arrivals_.end(), current_arrivals_.begin(),
                            current_arrivals_.end());
  current_arrivals_.clear();
  previous_spans_.insert(previous_spans_.end(), current_spans_.begin(),
                         current_spans_.end());
  current_spans_.clear();
}

void Server::StartUnframed() {
  if (process_->running()) return;
  Start();
  Json::Value members;
  members["unframed"] = true;
  members["gap_ms"] = Json::Int64(kEventInterval.count());
  REQUIRE(testing::Eventually([&] {
    return testing::PostJson(port_, "/debug/behave", members).status == 200;
  }));
}

void Server::StartAtOtherVersion(milliseconds delay, Json::Value behavior) {
  if (process_->running()) return;
  version_ = version_ == "v1" ? "v2" : "v1";
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  std::cout << "  " << std::chrono::duration_cast<milliseconds>(now).count()
            << " " << id_ << " starts at " << version_ << std::endl;
  behavior["gap_ms"] = Json::Int64(kEventInterval.count());
  StartProcess({"--register-after-ms=" + std::to_string(delay.count()),
                "--behavior=" + WriteJson(behavior)});
}

void Server::SetBehavior(const char* member, const Json::Value& value) {
  Json::Value members;
  members[member] = value;
  if (process_->running()) testing::PostJson(port_, "/debug/behave", members);
}

Json::Value Server::GetJournal() const {
  return testing::GetJson(port_, "/debug/journal");
}

void Server::CollectRuns() {
  const Json::Value journal = GetJournal();
  if (!journal.isObject()) return;
  requests_with_api_key_ += journal["foreign"].asInt64();
  for (const std::string& id : journal["runs"].getMemberNames())
    current_runs_[id] = journal["runs"][id].asInt64();
  current_arrivals_ = testing::ReadArrivals(journal);
  current_spans_ = testing::ReadRunSpans(journal, id_);
}

// --- Entry ----------------------------------------------------------------

EntryProcess::EntryProcess(const std::string& name, uint16_t store_port)
    : store_proxy_(store_port),
      process_("tools/mimosa-entry", WriteSettings(name)) {}

std::vector<std::string> EntryProcess::WriteSettings(
    const std::string& name) const {
  settings_.Write(name, store_proxy_.address(),
                  static_cast<int>(kGraceTime.count()));
  return settings_.args();
}

bool EntryProcess::IsReady() const {
  return Get(settings_.ready_port(), testing::kReadyPath).status == 200;
}

bool EntryProcess::HasRetryShare() const {
  return testing::GetJson(settings_.control_port(),
                          "/status")["retry_share_established"]
      .asBool();
}

void EntryProcess::Start() {
  process_.Start();
  started_ = Clock::now();
  stopping_ = false;
  paused_ = false;
  may_outlast_ = false;
}

void EntryProcess::Stop() {
  if (!running()) return;
  if (!stopping_) {
    stopping_ = true;
    stops_.push_back(Clock::now());
    may_outlast_ = paused_;
  }
  Signal(SIGTERM);
}

void EntryProcess::Signal(int number) {
  CHECK(testing::Eventually(
      [&] { return !running() || process_.Handles(number); }));
  process_.Signal(number);
}

void EntryProcess::StopAgainAfterStart(std::chrono::milliseconds delay) {
  if (!running()) return;
  Stop();
  stops_after_start_ = true;
  stop_delay_ = delay;
}

void EntryProcess::Reload() { Signal(SIGHUP); }

void EntryProcess::Kill() {
  process_.Kill();
  stopping_ = false;
  stops_after_start_ = false;
}

void EntryProcess::Pause() {
  process_.Pause();
  paused_ = true;
  may_outlast_ = true;
}

void EntryProcess::Resume() {
  process_.Resume();
  paused_ = false;
}

void EntryProcess::StartIfDown() {
  if (!running()) Start();
}

void EntryProcess::Supervise() {
  if (stopping_ && running()) {
    if (Clock::now() - stops_.back() <= kGraceTime) return;
    if (!may_outlast_) failed_stops_.emplace_back("outlasts the grace time");
    process_.Kill();
    Start();
  } else if (stopping_) {
    const int code = Wait();
    if (code != 0)
      failed_stops_.push_back("ended with code " + std::to_string(code));
    Start();
  }
  if (stops_after_start_ && !stopping_ &&
      Clock::now() - started_ >= stop_delay_) {
    stops_after_start_ = false;
    Stop();
  }
}

// --- Fleet ------------------------------------------------------------------

Fleet::Fleet(int scale, bool mixed_versions) : store_("standin-platform", {}) {
  REQUIRE(testing::Eventually(
      [&] { return Get(store_.port(), "/debug/stats").status == 200; }));
  const auto add = [&](const std::string& name, const char* service,
                       const char* stage, int count) {
    for (int i = 0; i < count * scale; ++i)
      servers_.push_back(std::make_unique<Server>(
          name + std::to_string(i), service, stage, store_.port(),
          mixed_versions && i % 2 == 1 ? "v2" : "v1"));
  };
  add("prefill", "llm", "prefill", 2);
  add("decode", "llm", "decode", 3);
  add("desk", "desk", "", 2);
  WriteConfig();
  for (int i = 0; i < 3 * scale; ++i)
    entry_processes_.push_back(std::make_unique<EntryProcess>(
        "entry-" + std::to_string(i), store_.port()));
  REQUIRE(testing::Eventually([this] { return ServesAllKinds(); }));
  for (auto& server : servers_)
    server->SetBehavior("gap_ms", Json::Int64(kEventInterval.count()));
}

void Fleet::WriteConfig() {
  const Json::Value config =
      testing::MakeSiteConfig(++config_version_, kApiKey, {14000, 600, 200});
  REQUIRE(testing::PutRecord(store_.port(), "op/config", WriteJson(config))
              .status == 200);
}

void Fleet::RemoveRecord(const Server& server) {
  Request request;
  request.method = "DELETE";
  request.target = "/debug/record?key=servers/" + server.id();
  Call(store_.port(), request);
}

void Fleet::ClearFaults() {
  Json::Value no_faults;
  no_faults["outage"] = false;
  no_faults["busy"] = false;
  no_faults["slow_ms"] = 0;
  store_.SetBehavior(no_faults, "/debug/control");
  for (auto& server : servers_) {
    server->process().Resume();
    server->proxy().SendCommand("reset");
    if (!server->process().running()) server->Start();
  }
  for (auto& entry : entry_processes_) {
    entry->Resume();
    entry->store_proxy().SendCommand("reset");
    entry->StartIfDown();
  }
  for (auto& server : servers_) {
    // A server that has just started takes it only now.
    REQUIRE(
        testing::Eventually([&] { return server->GetJournal().isObject(); }));
    server->SetBehavior("draining", false);
    server->SetBehavior("abort_runs", 0);
    server->SetBehavior("delay_ms", 0);
    server->SetBehavior("reject_percent", 0);
    server->SetBehavior("reset_percent", 0);
    server->SetBehavior("preempt_percent", 0);
    server->SetBehavior("lose_percent", 0);
    server->SetBehavior("lose_reports_percent", 0);
    server->SetBehavior("reject_reports_percent", 0);
    server->SetBehavior("unframed", false);
    server->SetBehavior("id_in_rejections", false);
    server->SetBehavior("gap_ms", Json::Int64(kEventInterval.count()));
  }
}

void Fleet::AwaitRetryShares() const {
  REQUIRE(testing::Eventually(
      [this] {
        return std::all_of(
            entry_processes_.begin(), entry_processes_.end(),
            [](const auto& entry) { return entry->HasRetryShare(); });
      },
      testing::Seconds(60)));
}

bool Fleet::ServesAllKinds() {
  for (const auto& entry : entry_processes_) {
    if (!entry->IsReady()) return false;
    for (const char* kind : {"book", "look", "letter", "note"}) {
      const std::string id = "probe-" + std::to_string(++probe_count_);
      const testing::Reply reply =
          Call(entry->port(), MakeRequest(kind, id, "probe"));
      if (reply.status != 200 || !reply.complete) return false;
    }
  }
  return true;
}

Request MakeRequest(const std::string& kind, const std::string& id,
                    const std::string& body) {
  return testing::MakeSiteRequest("/" + kind + "/" + id, id, kApiKey, body,
                                  static_cast<int>(kCallerTimeLimit.count()));
}

}  // namespace mimosa::soak
