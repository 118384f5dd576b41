// Tests that no late copy of a response is taken for the response to another
// request: separate daemons and backend servers, with proxies between them that
// send small responses again in front of the next one on their connection.
#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <functional>
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

namespace mimosa::testing {
namespace {

using std::chrono::milliseconds;

constexpr int kDeadlineMs = 1000;
constexpr int kCallers = 6;
constexpr milliseconds kCallerPause{20};

// What callers got and what the servers ran.
struct Observed {
  int ran_twice = 0;
  int refused_and_ran = 0;    // Refused as not executed.
  int answers_of_others = 0;  // A success that names another request.
  int served = 0;
  int refused = 0;
  int64_t copies = 0;  // Responses that were repeated meanwhile.
};

// A daemon, three plain servers and two engines of each role behind proxies.
class Site {
 public:
  Site() : store_("standin-platform", {}) {
    REQUIRE(Eventually(
        [&] { return Get(store_.port(), "/debug/stats").status == 200; }));
    PutRecord(store_.port(), "op/config",
              WriteJson(MakeSiteConfig(1, "key-one", {kDeadlineMs, 900, 300})));
    for (const char* id : {"k1", "k2", "k3"}) AddServer(id, "desk", "");
    for (const char* id : {"p1", "p2"}) AddServer(id, "llm", "prefill");
    for (const char* id : {"d1", "d2"}) AddServer(id, "llm", "decode");
    settings_.Write("entry-0", Loopback(store_.port()));
    daemon_ = std::make_unique<Process>("tools/mimosa-entry", settings_.args());
    for (const char* target : {"/look/x", "/letter/x"})
      REQUIRE(Eventually([&] { return Send(target).status == 200; }));
    REQUIRE(Eventually([&] {
      return GetJson(settings_.control_port(), "/status")["retry_share"]
                 .asDouble() > 0;
    }));
  }

  // Has each caller send `count` requests that must run at most once. Calls
  // `meanwhile` repeatedly until they have ended.
  Observed Play(const std::string& target, int count,
                const std::function<void()>& meanwhile) {
    const int64_t copies_before = CountCopies();
    std::map<std::string, Reply> replies;
    std::mutex mutex;
    std::atomic<int> callers{kCallers};
    std::vector<std::thread> threads;
    threads.reserve(kCallers);
    for (int i = 0; i < kCallers; ++i)
      threads.emplace_back([&] {
        for (int sent = 0; sent < count; ++sent) {
          const Request request = MakeRequest(target);
          Reply reply = Call(settings_.listen_port(), request);
          {
            const std::lock_guard<std::mutex> lock(mutex);
            replies[request.headers[0].second] = std::move(reply);
          }
          std::this_thread::sleep_for(kCallerPause);
        }
        --callers;
      });
    while (callers > 0) {
      meanwhile();
      std::this_thread::sleep_for(10 * kCallerPause);
    }
    for (std::thread& thread : threads) thread.join();
    Observed observed = Compare(replies, CountRuns());
    observed.copies = CountCopies() - copies_before;
    return observed;
  }

  // Sets a member of the behavior of the servers with these ids.
  void SetBehavior(const std::vector<std::string>& ids, const char* name,
                   const Json::Value& value) {
    Json::Value members;
    members[name] = value;
    for (const auto& server : servers_)
      for (const std::string& id : ids)
        if (server->id == id) PostJson(server->port, "/debug/behave", members);
  }
  void RepeatResponses(int percent) {
    for (const auto& server : servers_)
      server->proxy->SendCommand("set repeat_percent " +
                                 std::to_string(percent));
  }
  // Lists one more server of "desk" at the address of the server `id`, which
  // rejects what is meant for the other.
  void ListAtAddressOf(const std::string& id, const std::string& listed_id) {
    for (const auto& server : servers_) {
      if (server->id != id) continue;
      Json::Value entry;
      entry["service"] = "desk";
      entry["address"] = server->proxy->address();
      entry["zone"] = "z";
      entry["version"] = "v1";
      entry["slots"] = 48;
      entry["state"] = "ready";
      PutRecord(store_.port(), "servers/" + listed_id, WriteJson(entry));
    }
  }

 private:
  struct Server {
    std::string id;
    uint16_t port = FreePort();
    std::unique_ptr<Proxy> proxy;
    std::unique_ptr<Process> process;
  };

  void AddServer(const std::string& id, const std::string& service,
                 const std::string& stage) {
    auto server = std::make_unique<Server>();
    server->id = id;
    server->proxy = std::make_unique<Proxy>(server->port);
    std::vector<std::string> args =
        SiteServerArgs(id, service, stage, server->port, store_.port());
    args.push_back("--address=" + server->proxy->address());
    server->process = std::make_unique<Process>("standins/standin-site-server",
                                                std::move(args));
    servers_.push_back(std::move(server));
  }
  std::map<std::string, int64_t> CountRuns() const {
    std::map<std::string, int64_t> runs;
    for (const auto& server : servers_) {
      const Json::Value journal =
          GetJson(server->port, "/debug/journal")["runs"];
      for (const std::string& id : journal.getMemberNames())
        runs[id] += journal[id].asInt64();
    }
    return runs;
  }
  int64_t CountCopies() const {
    int64_t copies = 0;
    for (const auto& server : servers_)
      copies += server->proxy->Stats()["repeated"].asInt64();
    return copies;
  }
  static Observed Compare(const std::map<std::string, Reply>& replies,
                          const std::map<std::string, int64_t>& runs) {
    Observed observed;
    for (const auto& [id, reply] : replies) {
      const auto run = runs.find(id);
      const int64_t count = run == runs.end() ? 0 : run->second;
      const int status = reply.status;
      const bool is_refused =
          status == 408 || status == 421 || status == 429 || status == 503;
      observed.ran_twice += count > 1 ? 1 : 0;
      observed.refused += is_refused ? 1 : 0;
      observed.refused_and_ran += is_refused && count > 0 ? 1 : 0;
      observed.served += status == 200 ? 1 : 0;
      if (status == 200 && reply.Header("Mimosarouter-Request-Id") != id)
        ++observed.answers_of_others;
    }
    return observed;
  }
  Request MakeRequest(const std::string& target) {
    return MakeSiteRequest(target, "r" + std::to_string(++serial_), "key-one",
                           "body", kDeadlineMs);
  }
  Reply Send(const std::string& target) {
    return Call(settings_.listen_port(), MakeRequest(target));
  }

  StandIn store_;
  std::vector<std::unique_ptr<Server>> servers_;
  EntrySettingsFile settings_;
  std::unique_ptr<Process> daemon_;
  std::atomic<int> serial_{0};
};

void Check(const Observed& observed) {
  CAPTURE(observed.served, observed.refused);
  CHECK(observed.ran_twice == 0);
  CHECK(observed.refused_and_ran == 0);
  CHECK(observed.answers_of_others == 0);
  CHECK(observed.served > 0);
  CHECK(observed.copies > 0);
}

// Guards against runs that are repeated or refused because the late copy of the
// rejection of another request arrived where their response was due.
TEST_CASE("a late copy of a rejection says nothing about another request") {
  Site site;
  site.RepeatResponses(50);
  for (const bool has_id : {false, true}) {
    CAPTURE(has_id);
    site.SetBehavior({"k1", "k2", "k3", "d1", "d2"}, "id_in_rejections",
                     has_id);
    site.SetBehavior({"k1", "k2", "k3"}, "reject_percent", 30);
    Check(site.Play("/book/x", 100, [] {}));
    // Engines that hold three requests, and reject reservations too.
    site.SetBehavior({"d1", "d2"}, "memory_tokens", 3100);
    site.SetBehavior({"d1", "d2"}, "reject_percent", 10);
    Check(site.Play("/letter/x", 50, [] {}));
  }
}

// Guards against the same where a request is sent twice on one connection,
// since another server has the address of the one that it was meant for.
TEST_CASE("a late copy of a rejection says nothing about the next attempt",
          "[attempt]") {
  Site site;
  site.RepeatResponses(100);
  // So that the next attempt goes to the same address.
  site.SetBehavior({"k2", "k3"}, "draining", true);
  int serial = 0;
  for (const bool has_id : {false, true}) {
    CAPTURE(has_id);
    site.SetBehavior({"k1"}, "id_in_rejections", has_id);
    Check(site.Play("/book/x", 150, [&] {
      for (int i = 0; i < 5; ++i)
        site.ListAtAddressOf("k1", "former-" + std::to_string(++serial));
    }));
  }
}

}  // namespace
}  // namespace mimosa::testing
