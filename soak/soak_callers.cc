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

// Returns the software version that the events of a stream name, or an empty
// string if there is no complete event.
std::string VersionOf(const std::string& events) {
  const size_t end = events.find("\n\n");
  if (end == std::string::npos) return "";
  return events.substr(0, end).find(" by v2") == std::string::npos ? "v1"
                                                                   : "v2";
}

// Returns why the stream violates the protocol, or an empty string if it
// doesn't.
std::string FindStreamViolation(const testing::Reply& reply, int first_event,
                                const std::string& version) {
  std::string actual_version = VersionOf(reply.body);
  if (!version.empty() && !actual_version.empty() && actual_version != version)
    return "a stream taken up at another software version:\n" + reply.body;
  if (actual_version.empty()) actual_version = version.empty() ? "v1" : version;
  const std::string expected =
      testing::StreamEvents(first_event, kEventsPerStream, actual_version);
  if (reply.complete)
    return reply.body == expected
               ? ""
               : "the complete stream has wrong events:\n" + reply.body;
  // A truncated stream must be a prefix of the complete one.
  return StartsWith(expected, reply.body)
             ? ""
             : "a truncated stream with wrong events:\n" + reply.body;
}

// Returns why the response violates the protocol, or an empty string if it
// doesn't.
std::string FindViolation(const Outcome& outcome, const testing::Reply& reply,
                          const std::string& body, int first_event,
                          const std::string& version) {
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
  if (IsStream(outcome.kind))
    return FindStreamViolation(reply, first_event, version);
  if (!reply.complete) return "";
  const std::string expected =
      "/" + outcome.kind + "/" + outcome.id + " " + body + " for guild";
  return reply.body == expected ? "" : "wrong response body";
}

// All prompts share their first part.
void AddPromptParts(bool crashing, testing::Request* request) {
  std::string parts = "a1:200,";
  if (crashing) parts += std::string(kCrashingPart) + ":100,";
  request->headers.emplace_back("Mimosarouter-Prompt-Prefix", parts + "f0:500");
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
  // One of so many model requests has the part that may crash engines, and one
  // of so many requests is followed by the one that may crash plain servers.
  constexpr uint64_t kCrashingShare = 20;
  SeededRandom repeat_random(~seed * 1000 + static_cast<uint64_t>(number));
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
    testing::Request request = MakeRequest(outcome.kind, outcome.id, body);
    if (IsStream(outcome.kind))
      AddPromptParts(random.UniformInt(kCrashingShare) == 0, &request);
    if (!connection->Send(request)) {
      connection.reset();  // the daemon is down
      continue;
    }
    const testing::Reply reply = connection->ReadReply(kReplyTimeout);
    RecordOutcome(outcome, reply, body, /*first_event=*/1, /*version=*/"");
    if (outcome.kind == "note" && reply.status == 200 && !reply.complete)
      TakeUp(outcome, reply, &random);
    if (!reply.complete || reply.Header("Connection") == "close")
      connection.reset();
    if (connection != nullptr &&
        repeat_random.UniformInt(kCrashingShare) == 0 &&
        !RepeatCrashingRequest(outcome.id, connection.get()))
      connection.reset();
  }
}

bool Callers::RepeatCrashingRequest(const std::string& after,
                                    testing::Connection* connection) {
  testing::Request request = MakeRequest("look", after + "r", "");
  request.target = kCrashingTarget;
  if (!connection->Send(request)) return false;
  const testing::Reply reply = connection->ReadReply(kReplyTimeout);
  return reply.complete && reply.Header("Connection") != "close";
}

void Callers::TakeUp(const Outcome& begun, const testing::Reply& reply,
                     RandomSource* random) {
  constexpr int kMaxTakeups = 3;
  const std::string version = VersionOf(reply.body);
  std::string received = reply.body;
  for (int i = 0; i < kMaxTakeups && !version.empty() && !stop_; ++i) {
    int events = 0;
    while (StartsWith(received, testing::StreamEvents(1, events + 1, version)))
      ++events;
    Outcome outcome;
    outcome.kind = begun.kind;
    outcome.id = begun.id + "-again" + std::to_string(i);
    const std::string body = "body of " + outcome.id;
    testing::Request request = MakeRequest(outcome.kind, outcome.id, body);
    request.headers.emplace_back("Last-Event-Id", std::to_string(events));
    request.headers.emplace_back("Resumes", begun.id);
    const testing::Reply rest = testing::Call(
        ports_[random->UniformInt(ports_.size())], request, kReplyTimeout);
    RecordOutcome(outcome, rest, body, events + 1, version);
    if (rest.status == 200) {
      if (rest.complete) return;
      received += rest.body;
    }
  }
}

void Callers::RecordOutcome(const Outcome& request, const testing::Reply& reply,
                            const std::string& body, int first_event,
                            const std::string& version) {
  Outcome outcome = request;
  outcome.status = reply.status;
  outcome.complete = reply.complete;
  outcome.has_seal = !reply.Header("Mimosarouter-Response-Seal").empty();
  const std::string violation =
      FindViolation(outcome, reply, body, first_event, version);
  const std::lock_guard<std::mutex> lock(mutex_);
  if (!violation.empty())
    invalid_responses_.push_back(outcome.kind + " " + outcome.id + ": " +
                                 std::to_string(outcome.status) + ": " +
                                 violation);
  outcomes_.push_back(outcome);
}

}  // namespace mimosa::soak
