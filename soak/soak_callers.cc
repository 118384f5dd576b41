// Requests and the checks of their answers.
#include "soak/soak_callers.h"

#include <array>
#include <chrono>
#include <memory>
#include <utility>

#include "base/random.h"
#include "base/text.h"
#include "soak/soak_fleet.h"

namespace mimosa::soak {
namespace {

// Of the stand-in's streams.
constexpr int kEvents = 5;
// Beyond the time that callers give the daemon.
constexpr testing::Seconds kPatience{8};

bool IsStream(const std::string& kind) {
  return kind == "letter" || kind == "note";
}

// Why the answer can't be right; empty: it can.
std::string Fault(const Outcome& outcome, const testing::Reply& reply,
                  const std::string& body) {
  switch (outcome.status) {
    case 400:
    case 401:
    case 403:
    case 404:
      return "a proper request was denied";
    case 200:
      break;
    default:
      return "";
  }
  if (!outcome.has_seal) return "a success without a server's seal";
  if (reply.Header("Mimosarouter-Request-Id") != outcome.id)
    return "another request's answer";
  if (IsStream(outcome.kind)) {
    const std::string all = testing::StreamEvents(1, kEvents);
    if (reply.complete)
      return reply.body == all ? "" : "not the whole stream:\n" + reply.body;
    // A broken stream is a beginning of it.
    return StartsWith(all, reply.body) ? ""
                                       : "a broken stream with wrong events";
  }
  if (!reply.complete) return "";
  const std::string right =
      "/" + outcome.kind + "/" + outcome.id + " " + body + " for guild";
  return reply.body == right ? "" : "another body";
}

}  // namespace

Callers::Callers(std::vector<uint16_t> ports, uint64_t seed, int count)
    : ports_(std::move(ports)) {
  for (int i = 0; i < count; ++i)
    threads_.emplace_back([this, seed, i] { RunCaller(seed, i); });
}

void Callers::Stop() {
  stop_ = true;
  for (std::thread& thread : threads_) thread.join();
  threads_.clear();
}

void Callers::RunCaller(uint64_t seed, int number) {
  constexpr std::array<const char*, 4> kKinds = {"book", "look", "letter",
                                                 "note"};
  constexpr int kRequestsOfConnection = 20;
  SeededRandom random(seed * 1000 + static_cast<uint64_t>(number));
  std::unique_ptr<testing::Connection> connection;
  int left = 0;  // requests of this connection
  for (int i = 0; !stop_; ++i) {
    std::this_thread::sleep_for(
        std::chrono::milliseconds(random.UniformInt(25)));
    if (connection == nullptr || left == 0) {
      connection = std::make_unique<testing::Connection>(
          ports_[random.UniformInt(ports_.size())]);
      left = kRequestsOfConnection;
    }
    --left;
    Outcome outcome;
    outcome.kind = kKinds[random.UniformInt(kKinds.size())];
    outcome.id = "s" + std::to_string(seed) + "-" + std::to_string(number) +
                 "-" + std::to_string(i);
    const std::string body = "body of " + outcome.id;
    if (!connection->Send(MakeRequest(outcome.kind, outcome.id, body))) {
      connection.reset();  // nobody there
      continue;
    }
    const testing::Reply reply = connection->ReadReply(kPatience);
    RecordOutcome(outcome, reply, body);
    if (!reply.complete || reply.Header("Connection") == "close")
      connection.reset();
  }
}

void Callers::RecordOutcome(const Outcome& asked, const testing::Reply& reply,
                            const std::string& body) {
  Outcome outcome = asked;
  outcome.status = reply.status;
  outcome.complete = reply.complete;
  outcome.has_seal = !reply.Header("Mimosarouter-Response-Seal").empty();
  const std::string fault = Fault(outcome, reply, body);
  const std::lock_guard<std::mutex> lock(mutex_);
  if (!fault.empty())
    invalid_responses_.push_back(outcome.kind + " " + outcome.id + ": " +
                                 std::to_string(outcome.status) + ": " + fault);
  outcomes_.push_back(outcome);
}

}  // namespace mimosa::soak
