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

using std::chrono::milliseconds;

// Events of usual streams, and of those that may outlast a leaving daemon.
constexpr int kMinEvents = 2;
constexpr int kMaxEvents = 12;
constexpr auto kMinLongEvents =
    static_cast<int>((kGraceTime - milliseconds(1500)) / kEventInterval);
constexpr auto kMaxLongEvents =
    static_cast<int>((kGraceTime + milliseconds(1500)) / kEventInterval);
constexpr testing::Seconds kReplyTimeout =
    kCallerTimeLimit + std::chrono::seconds(2);

// Seeds the generator of what callers do with their connections.
constexpr uint64_t kHabitsSeedOffset = 1U << 21;
// Seeds the generator of streams that callers break off.
constexpr uint64_t kBreakOffsSeedOffset = 1U << 22;

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

int CountEvents(const std::string& body) {
  int count = 0;
  for (size_t at = 0; (at = body.find("\n\n", at)) != std::string::npos;
       at += 2)
    ++count;
  return count;
}

// Returns why the stream violates the protocol, or an empty string if it
// doesn't.
std::string FindStreamViolation(const testing::Reply& reply, int first_event,
                                int last_event, const std::string& version) {
  std::string actual_version = VersionOf(reply.body);
  if (!version.empty() && !actual_version.empty() && actual_version != version)
    return "a stream taken up at another software version:\n" + reply.body;
  if (actual_version.empty()) actual_version = version;
  if (actual_version.empty()) {
    // At most a part of the first event, which may be of either version.
    const std::string first =
        testing::StreamEvents(first_event, first_event, "v2");
    actual_version = StartsWith(first, reply.body) ? "v2" : "v1";
  }
  const std::string expected =
      testing::StreamEvents(first_event, last_event, actual_version);
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
    return FindStreamViolation(reply, first_event, outcome.events, version);
  if (!reply.complete) return "";
  const std::string expected =
      "/" + outcome.kind + "/" + outcome.id + " " + body + " for guild";
  return reply.body == expected ? "" : "wrong response body";
}

// The header that tells the stand-in how many events a stream has.
void AddLengthHint(int events, testing::Request* request) {
  request->headers.emplace_back("Mimosarouter-Length-Hint",
                                std::to_string(events));
}

// All prompts share their first part.
void AddPromptParts(bool crashing, testing::Request* request) {
  std::string parts = "a1:200,";
  if (crashing) parts += std::string(kCrashingPart) + ":100,";
  request->headers.emplace_back("Mimosarouter-Prompt-Prefix", parts + "f0:500");
}

}  // namespace

Callers::Callers(std::vector<uint16_t> ports, uint64_t seed, int count,
                 bool breaks_off)
    : ports_(std::move(ports)), breaks_off_(breaks_off) {
  for (int i = 0; i < count; ++i)
    threads_.emplace_back([this, seed, i] { RunCaller(seed, i); });
}

void Callers::Stop() {
  stop_ = true;
  for (std::thread& thread : threads_) thread.join();
  threads_.clear();
}

Callers::Sent Callers::DrawRequest(const std::string& id, int number,
                                   RandomSource* random, RandomSource* habits) {
  constexpr std::array<const char*, 4> kKinds = {"book", "look", "letter",
                                                 "note"};
  // One of so many model requests has the part that may crash engines.
  constexpr uint64_t kCrashingShare = 20;
  Sent sent;
  sent.outcome.kind = kKinds[random->UniformInt(kKinds.size())];
  sent.outcome.id = id;
  sent.body = "body of " + id;
  sent.request = MakeRequest(sent.outcome.kind, id, sent.body);
  if (!IsStream(sent.outcome.kind)) return sent;
  AddPromptParts(random->UniformInt(kCrashingShare) == 0, &sent.request);
  const bool is_long = number % 2 == 1 && habits->UniformInt(2) == 0;
  const int min = is_long ? kMinLongEvents : kMinEvents;
  const int max = is_long ? kMaxLongEvents : kMaxEvents;
  sent.outcome.events =
      min + static_cast<int>(habits->UniformInt(max - min + 1));
  AddLengthHint(sent.outcome.events, &sent.request);
  return sent;
}

testing::Reply Callers::AwaitResponse(
    Sent* sent, testing::Connection* connection, milliseconds reading_pause,
    int first_event, const std::string& version, int max_events) {
  testing::Reply reply;
  size_t received = 0;
  for (;;) {
    reply = connection->ReadAtLeast(received + 1, kReplyTimeout);
    if (reply.body.size() == received) break;
    received = reply.body.size();
    sent->outcome.last_data = Clock::now();
    if (reply.complete) break;
    if (max_events > 0 && CountEvents(reply.body) >= max_events) break;
    std::this_thread::sleep_for(reading_pause);
  }
  sent->outcome.end = Clock::now();
  RecordOutcome(sent->outcome, reply, sent->body, first_event, version);
  return reply;
}

void Callers::RunCaller(uint64_t seed, int number) {
  constexpr int kRequestsPerConnection = 20;
  // One of so many requests is followed by the one that may crash plain
  // servers.
  constexpr uint64_t kCrashingShare = 20;
  // Of so many streams that go on elsewhere, three are broken off.
  constexpr uint64_t kBreakOffs = 10;
  const bool ends_connections = number % 4 == 0;
  const bool pipelines = number % 4 == 1;
  const bool reads_slowly = number % 4 == 2;
  const bool ignores_announced_end = number % 8 == 3;
  const bool pauses = number % 8 == 4;
  SeededRandom repeat_random(~seed * 1000 + static_cast<uint64_t>(number));
  SeededRandom random(seed * 1000 + static_cast<uint64_t>(number));
  SeededRandom habits((seed + kHabitsSeedOffset) * 1000 +
                      static_cast<uint64_t>(number));
  SeededRandom break_offs((seed + kBreakOffsSeedOffset) * 1000 +
                          static_cast<uint64_t>(number));
  std::unique_ptr<testing::Connection> connection;
  uint16_t port = 0;
  int requests_left = 0;  // requests that this connection may still send
  bool behind_end = false;
  for (int i = 0; !stop_; ++i) {
    std::this_thread::sleep_for(milliseconds(random.UniformInt(25)));
    if (pauses && habits.UniformInt(10) == 0)
      std::this_thread::sleep_for(milliseconds(habits.UniformInt(1500)));
    if (connection == nullptr || (ends_connections && requests_left <= 0)) {
      port = ports_[random.UniformInt(ports_.size())];
      connection = std::make_unique<testing::Connection>(port);
      requests_left = kRequestsPerConnection;
      behind_end = false;
    }
    std::vector<Sent> requests;
    const int count = pipelines && habits.UniformInt(3) == 0 ? 2 : 1;
    for (int j = 0; j < count; ++j) {
      --requests_left;
      const std::string id = "s" + std::to_string(seed) + "-" +
                             std::to_string(number) + "-" + std::to_string(i) +
                             (j == 0 ? "" : "p");
      Sent sent = DrawRequest(id, number, &random, &habits);
      sent.outcome.port = port;
      if (!connection->Send(sent.request)) break;
      sent.outcome.sent = Clock::now();
      requests.push_back(std::move(sent));
    }
    bool keeps_connection = static_cast<int>(requests.size()) == count;
    for (Sent& sent : requests) {
      sent.outcome.behind_end = behind_end;
      const milliseconds reading_pause(reads_slowly ? habits.UniformInt(200)
                                                    : 0);
      if (!keeps_connection && behind_end) {
        // The connection has ended.
        sent.outcome.end = Clock::now();
        RecordOutcome(sent.outcome, {}, sent.body, 1, "");
        continue;
      }
      // A caller that reads slowly may break off behind a paused daemon, which
      // ends no run.
      const bool breaks_off =
          breaks_off_ && !reads_slowly && requests.size() == 1 &&
          sent.outcome.kind == "note" && break_offs.UniformInt(kBreakOffs) < 3;
      const int max_events =
          breaks_off
              ? 1 + static_cast<int>(break_offs.UniformInt(sent.outcome.events))
              : 0;
      const testing::Reply reply =
          AwaitResponse(&sent, connection.get(), reading_pause,
                        /*first_event=*/1, /*version=*/"", max_events);
      if (breaks_off && !reply.complete) connection.reset();
      if (!reply.complete || reply.Header("Connection") == "close")
        behind_end = true;
      if (!reply.complete ||
          (behind_end && !ignores_announced_end && requests.size() == 1))
        keeps_connection = false;
      if (sent.outcome.kind == "note" && reply.status == 200 && !reply.complete)
        TakeUp(sent.outcome, reply, &random);
    }
    if (!keeps_connection) {
      connection.reset();
      continue;
    }
    if (repeat_random.UniformInt(kCrashingShare) == 0 &&
        !RepeatCrashingRequest(requests.back().outcome.id, connection.get()))
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
  // A stream that goes on nowhere for so long is lost.
  constexpr std::chrono::seconds kPatience{6};
  constexpr milliseconds kRetryInterval{200};
  const std::string version = VersionOf(reply.body);
  if (version.empty()) return;
  ++taken_up_;
  bool went_on = false;
  std::string received = reply.body;
  std::string attempts;
  Clock::time_point give_up = Clock::now() + kPatience;
  for (int i = 0; Clock::now() < give_up; ++i) {
    int events = 0;
    while (StartsWith(received, testing::StreamEvents(1, events + 1, version)))
      ++events;
    Sent sent;
    Outcome& outcome = sent.outcome;
    outcome.kind = begun.kind;
    outcome.id = begun.id + "-again" + std::to_string(i);
    outcome.events = begun.events;
    outcome.port = ports_[random->UniformInt(ports_.size())];
    sent.body = "body of " + outcome.id;
    sent.request = MakeRequest(outcome.kind, outcome.id, sent.body);
    sent.request.headers.emplace_back("Last-Event-Id", std::to_string(events));
    sent.request.headers.emplace_back("Resumes", begun.id);
    AddLengthHint(begun.events, &sent.request);
    testing::Connection connection(outcome.port);
    if (connection.Send(sent.request)) {
      outcome.sent = Clock::now();
      const testing::Reply rest = AwaitResponse(
          &sent, &connection, milliseconds(0), events + 1, version);
      if (rest.status == 200 && !went_on && CountEvents(rest.body) > 0) {
        went_on = true;
        ++went_on_;
      }
      if (rest.status == 200 && rest.complete) return;
      attempts += " " + std::to_string(rest.status);
      if (rest.status == 200 && !rest.body.empty()) {
        received += rest.body;
        give_up = Clock::now() + kPatience;
      }
    } else {
      attempts += " -";
    }
    std::this_thread::sleep_for(kRetryInterval);
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  lost_streams_.push_back(begun.id + ":" + attempts);
}

void Callers::RecordOutcome(const Outcome& request, const testing::Reply& reply,
                            const std::string& body, int first_event,
                            const std::string& version) {
  Outcome outcome = request;
  outcome.status = reply.status;
  outcome.complete = reply.complete;
  outcome.has_seal = !reply.Header("Mimosarouter-Response-Seal").empty();
  outcome.has_all_events =
      IsStream(outcome.kind) && !outcome.complete &&
      reply.body.find("id: " + std::to_string(outcome.events) + "\n") !=
          std::string::npos;
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
