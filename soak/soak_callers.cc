// Sends the requests of the soak test's callers and checks the responses.
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

// Number of events in a complete stream of the stand-in server.
constexpr int kEventsPerStream = 5;
// Longer than the deadline that callers give the daemon.
constexpr testing::Seconds kReplyTimeout{8};

bool IsStream(const std::string& kind) {
  return kind == "letter" || kind == "note";
}

// Returns why the response violates the protocol, or an empty string if it
// doesn't.
std::string FindViolation(const Outcome& outcome, const testing::Reply& reply,
                          const std::string& body) {
  switch (outcome.status) {
    case 400:
    case 401:
    case 403:
    case 404:
      return "a valid request was rejected";
    case 200:
      break;
    default:
      return "";
  }
  if (!outcome.has_seal)
    return "a success response without a backend server's seal";
  if (reply.Header("Mimosarouter-Request-Id") != outcome.id)
    return "the response to another request";
  if (IsStream(outcome.kind)) {
    const std::string complete_stream =
        testing::StreamEvents(1, kEventsPerStream);
    if (reply.complete)
      return reply.body == complete_stream
                 ? ""
                 : "the complete stream has wrong events:\n" + reply.body;
    // A truncated stream must be a prefix of the complete one.
    return StartsWith(complete_stream, reply.body)
               ? ""
               : "a truncated stream with wrong events";
  }
  if (!reply.complete) return "";
  const std::string expected =
      "/" + outcome.kind + "/" + outcome.id + " " + body + " for guild";
  return reply.body == expected ? "" : "wrong response body";
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
  constexpr int kRequestsPerConnection = 20;
  SeededRandom random(seed * 1000 + static_cast<uint64_t>(number));
  std::unique_ptr<testing::Connection> connection;
  int requests_left = 0;  // requests that this connection may still send
  for (int i = 0; !stop_; ++i) {
    std::this_thread::sleep_for(
        std::chrono::milliseconds(random.UniformInt(25)));
    if (connection == nullptr || requests_left == 0) {
      connection = std::make_unique<testing::Connection>(
          ports_[random.UniformInt(ports_.size())]);
      requests_left = kRequestsPerConnection;
    }
    --requests_left;
    Outcome outcome;
    outcome.kind = kKinds[random.UniformInt(kKinds.size())];
    outcome.id = "s" + std::to_string(seed) + "-" + std::to_string(number) +
                 "-" + std::to_string(i);
    const std::string body = "body of " + outcome.id;
    if (!connection->Send(MakeRequest(outcome.kind, outcome.id, body))) {
      connection.reset();  // the daemon is down
      continue;
    }
    const testing::Reply reply = connection->ReadReply(kReplyTimeout);
    RecordOutcome(outcome, reply, body);
    if (!reply.complete || reply.Header("Connection") == "close")
      connection.reset();
  }
}

void Callers::RecordOutcome(const Outcome& request, const testing::Reply& reply,
                            const std::string& body) {
  Outcome outcome = request;
  outcome.status = reply.status;
  outcome.complete = reply.complete;
  outcome.has_seal = !reply.Header("Mimosarouter-Response-Seal").empty();
  const std::string violation = FindViolation(outcome, reply, body);
  const std::lock_guard<std::mutex> lock(mutex_);
  if (!violation.empty())
    invalid_responses_.push_back(outcome.kind + " " + outcome.id + ": " +
                                 std::to_string(outcome.status) + ": " +
                                 violation);
  outcomes_.push_back(outcome);
}

}  // namespace mimosa::soak
