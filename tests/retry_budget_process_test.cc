// Tests that the retries of all daemons together stay within the retry budget,
// with separate processes. What counts is what arrives at the backend servers:
// each arrival beyond the first of its request, also one that is rejected, is a
// retry; the first prefill that an engine accepts isn't.
#include <algorithm>
#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "base/json.h"
#include "tests/client.h"
#include "tests/entry_site.h"
#include "tests/harness.h"
#include "tests/retry_count.h"

namespace mimosa::testing {
namespace {

using std::chrono::milliseconds;

constexpr double kRatio = 0.2;
constexpr int64_t kWindowMs = 4000;
constexpr int kDaemons = 4;
// Between two requests of a caller.
constexpr milliseconds kCallerPause{15};
constexpr char kKey[] = "key-one";

// When the requests for one service were sent, and what arrived.
struct Traffic {
  std::vector<int64_t> requests;
  std::vector<Arrival> arrivals;
};

// Four daemons, three prefill and three decode engines and three servers of the
// plain service "desk".
class BudgetSite {
 public:
  explicit BudgetSite(double slack)
      : slack_(slack), store_("standin-platform", {}) {
    REQUIRE(Eventually(
        [&] { return Get(store_.port(), "/debug/stats").status == 200; }));
    for (int i = 0; i < 3; ++i) {
      const std::string number = std::to_string(i);
      AddServer("p" + number, "llm", "prefill");
      AddServer("d" + number, "llm", "decode");
      AddServer("k" + number, "desk", "");
    }
    REQUIRE(Eventually([&] {
      return GetJson(store_.port(),
                     "/mimosarouter/kv-range?prefix=servers/")["items"]
                 .size() == servers_.size();
    }));
    REQUIRE(PutRecord(store_.port(), "op/config",
                      WriteJson(MakeSiteConfig(1, kKey, {3000, 300, 300})))
                .status == 200);
    for (int i = 0; i < kDaemons; ++i) AddDaemon("entry-" + std::to_string(i));
    for (size_t i = 0; i < kDaemons; ++i) AwaitReady(i);
    AwaitMembers();
    AwaitSlack();
  }
  ~BudgetSite() { StopCallers(); }

  void SetBehavior(const char* member, int percent) {
    for (const auto& [id, server] : servers_) {
      Request request;
      request.method = "POST";
      request.target = "/debug/behave";
      Json::Value behavior;
      behavior[member] = percent;
      request.body = WriteJson(behavior);
      REQUIRE(Call(server->port, request).status == 200);
    }
  }

  // Starts callers that send requests to all daemons, for both services.
  void StartCallers() {
    for (const char* target : {"/note/x", "/look/x"})
      for (int i = 0; i < 3; ++i)
        callers_.emplace_back([this, target] { CallDaemons(target); });
  }
  void StopCallers() {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      stopped_ = true;
    }
    on_stop_.notify_all();
    for (std::thread& caller : callers_) caller.join();
    callers_.clear();
  }

  void KillDaemon(size_t i) { daemons_[i]->process->Restart(); }
  void RemoveMemberRecords() {
    for (int i = 0; i < kDaemons; ++i) {
      Request request;
      request.method = "DELETE";
      request.target =
          "/debug/record?key=mimosa/members/entry-" + std::to_string(i);
      CHECK(Call(store_.port(), request).status == 200);
    }
  }

  void AwaitReady(size_t i) {
    REQUIRE(Eventually([&] {
      return Get(daemons_[i]->settings.ready_port(), kReadyPath).status == 200;
    }));
  }

  // Reads from the servers what has arrived.
  Traffic ReadTraffic(const std::string& service) {
    Traffic traffic;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      traffic.requests = requests_[service == "llm" ? "/note/x" : "/look/x"];
    }
    for (const auto& [id, server] : servers_) {
      if (server->service != service) continue;
      const Json::Value journal = GetJson(server->port, "/debug/journal");
      REQUIRE(journal.isObject());
      for (Arrival& arrival : ReadArrivals(journal))
        traffic.arrivals.push_back(std::move(arrival));
    }
    return traffic;
  }

  int64_t served() const { return served_; }
  void CheckBudgets() {
    StopCallers();
    for (const char* service : {"llm", "desk"}) {
      const Traffic traffic = ReadTraffic(service);
      const size_t retries = FindRetries(traffic.arrivals).size();
      INFO(service << ": " << retries << " retries for "
                   << traffic.requests.size() << " requests");
      CHECK(FindExcessRetries(traffic.requests, traffic.arrivals,
                              {kRatio, slack_, kWindowMs}) == "");
      CHECK(retries > 0);
    }
    CHECK(served() > 0);
  }

 private:
  struct Server {
    uint16_t port = FreePort();
    std::string service;
    std::unique_ptr<Process> process;
  };
  struct Daemon {
    EntrySettingsFile settings;
    std::unique_ptr<Process> process;
  };

  void AddServer(const std::string& id, const std::string& service,
                 const std::string& stage) {
    auto server = std::make_unique<Server>();
    server->service = service;
    server->process = std::make_unique<Process>(
        "standins/standin-site-server",
        SiteServerArgs(id, service, stage, server->port, store_.port()));
    servers_[id] = std::move(server);
  }

  void AddDaemon(const std::string& name) {
    auto daemon = std::make_unique<Daemon>();
    daemon->settings.Write(
        name, Loopback(store_.port()), 8000,
        "MIMOSA_RETRY_BUDGET_RATIO=" + std::to_string(kRatio) +
            "\nMIMOSA_RETRY_BUDGET_SLACK=" + std::to_string(slack_) +
            "\nMIMOSA_RETRY_BUDGET_WINDOW_S=" +
            std::to_string(kWindowMs / 1000) + "\n");
    daemon->process = std::make_unique<Process>("tools/mimosa-entry",
                                                daemon->settings.args());
    daemons_.push_back(std::move(daemon));
  }

  // Waits until all daemons may use their shares of the slack.
  void AwaitSlack() {
    REQUIRE(Eventually(
        [&] {
          return std::all_of(
              daemons_.begin(), daemons_.end(), [](const auto& daemon) {
                return GetJson(daemon->settings.control_port(),
                               "/status")["retry_share_established"]
                    .asBool();
              });
        },
        Seconds(60)));
  }

  // Waits until all daemons know one another.
  void AwaitMembers() {
    REQUIRE(Eventually([&] {
      return std::all_of(daemons_.begin(), daemons_.end(),
                         [](const auto& daemon) {
                           return GetJson(daemon->settings.control_port(),
                                          "/status")["members"]
                                      .asInt() == kDaemons;
                         });
    }));
  }

  void CallDaemons(const std::string& target) {
    std::unique_lock<std::mutex> lock(mutex_);
    while (!stopped_) {
      requests_[target].push_back(NowMs());
      lock.unlock();
      const int serial = ++serial_;
      const Request request = MakeSiteRequest(
          target, "request-" + std::to_string(serial), kKey, "body", 3000);
      const auto& daemon = *daemons_[static_cast<size_t>(serial) % kDaemons];
      if (Call(daemon.settings.listen_port(), request).status == 200) ++served_;
      lock.lock();
      on_stop_.wait_for(lock, kCallerPause, [this] { return stopped_; });
    }
  }

  const double slack_;
  StandIn store_;
  std::map<std::string, std::unique_ptr<Server>> servers_;
  std::vector<std::unique_ptr<Daemon>> daemons_;
  std::vector<std::thread> callers_;
  std::atomic<int> serial_{0};
  std::atomic<int64_t> served_{0};
  std::mutex mutex_;  // Guards the following.
  std::condition_variable on_stop_;
  bool stopped_ = false;
  std::map<std::string, std::vector<int64_t>> requests_;  // By target.
};

void LetPass(int64_t ms) {
  const int64_t until = NowMs() + ms;
  REQUIRE(Eventually([until] { return NowMs() >= until; }, Seconds(60)));
}

}  // namespace

TEST_CASE("calls after a rejected prefill or run exceeded the retry budget") {
  BudgetSite site(12);
  site.StartCallers();
  LetPass(kWindowMs);
  site.SetBehavior("reject_percent", 80);
  LetPass(2 * kWindowMs);
  site.CheckBudgets();
}

TEST_CASE("calls repeated on fresh connections exceeded the retry budget") {
  BudgetSite site(12);
  site.StartCallers();
  LetPass(kWindowMs);
  site.SetBehavior("reset_percent", 70);
  LetPass(2 * kWindowMs);
  site.CheckBudgets();
}

TEST_CASE("restarted daemons spent the retry budget again", "[restarts]") {
  BudgetSite site(120);
  site.StartCallers();
  LetPass(kWindowMs + 2000);
  site.SetBehavior("reject_percent", 80);
  for (int round = 0; round < 3; ++round) {
    LetPass(1000);
    for (size_t i = 0; i < kDaemons; ++i) site.KillDaemon(i);
    for (size_t i = 0; i < kDaemons; ++i) site.AwaitReady(i);
  }
  LetPass(kWindowMs);
  site.CheckBudgets();
}

TEST_CASE("daemons whose records were gone each spent the whole retry budget",
          "[member_list]") {
  BudgetSite site(120);
  site.StartCallers();
  LetPass(kWindowMs + 2000);
  site.RemoveMemberRecords();
  LetPass(1500);
  site.SetBehavior("reject_percent", 80);
  LetPass(kWindowMs);
  site.CheckBudgets();
}

}  // namespace mimosa::testing
