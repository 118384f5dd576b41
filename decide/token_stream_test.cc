// Tests of the rules by which events are assembled into one response.
#include "decide/token_stream.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

namespace mimosa {
namespace {

using Type = TokenEventType;

std::string TokenJson(const std::string& request, int attempt, int index) {
  return "{\"request\":\"" + request +
         "\",\"attempt\":" + std::to_string(attempt) +
         ",\"index\":" + std::to_string(index) + ",\"text\":\"t" +
         std::to_string(index) + "\"}";
}
std::string EndEvent(const std::string& request, int attempt, int tokens) {
  return "{\"request\":\"" + request +
         "\",\"attempt\":" + std::to_string(attempt) +
         ",\"finish\":\"stop\",\"output_tokens\":" + std::to_string(tokens) +
         "}";
}

TEST_CASE("only the next token of the current attempt is accepted") {
  TokenStream stream(RequestId("r"));
  const int first = stream.BeginAttempt();
  CHECK(stream.ProcessEvent(first, TokenJson("r", 1, 0)).type == Type::kToken);
  CHECK(stream.ProcessEvent(first, TokenJson("other", 1, 1)).type ==
        Type::kForeign);
  CHECK(stream.ProcessEvent(first, TokenJson("r", 1, 0)).type ==
        Type::kDuplicate);
  CHECK(stream.ProcessEvent(first, TokenJson("r", 1, 2)).type == Type::kGap);
  const int second = stream.BeginAttempt();
  CHECK(stream.ProcessEvent(first, TokenJson("r", 1, 1)).type ==
        Type::kForeign);
  CHECK(stream.ProcessEvent(second, TokenJson("r", 1, 1)).type ==
        Type::kForeign);
  CHECK(stream.ProcessEvent(second, TokenJson("r", 2, 0)).type ==
        Type::kDuplicate);
  CHECK(stream.ProcessEvent(second, TokenJson("r", 2, 1)).text == "t1");
  CHECK(stream.ProcessEvent(second, EndEvent("r", 2, 3)).type == Type::kGap);
  CHECK(stream.ProcessEvent(second, EndEvent("r", 2, 2)).type == Type::kEnd);
  CHECK(stream.ProcessEvent(second, TokenJson("r", 2, 2)).type ==
        Type::kForeign);
  CHECK(stream.ProcessEvent(second, EndEvent("r", 2, 2)).type ==
        Type::kForeign);
}

TEST_CASE("data that is not an engine event is malformed") {
  TokenStream stream(RequestId("r"));
  const int attempt = stream.BeginAttempt();
  for (const char* data :
       {"", "{", "[]", "null", "[DONE]", "{\"request\":\"r\",\"attempt\":1}",
        "{\"request\":\"r\",\"attempt\":1,\"index\":\"0\"}"})
    CHECK(stream.ProcessEvent(attempt, data).type == Type::kMalformed);
}

// Covers every order of delivery of the events of two attempts: what is passed
// on must be a prefix of the response, and the complete response if an end was
// accepted.
TEST_CASE("duplicate and late events in any order give one response") {
  struct Sent {
    int attempt;
    std::string data;
  };
  std::vector<Sent> sent = {
      {1, TokenJson("r", 1, 0)}, {1, EndEvent("r", 1, 1)},
      {2, TokenJson("r", 2, 0)}, {2, EndEvent("r", 2, 1)},
      {2, TokenJson("x", 2, 0)}, {2, EndEvent("r", 2, 1)}};
  std::vector<size_t> order = {0, 1, 2, 3, 4, 5};
  do {
    TokenStream stream(RequestId("r"));
    stream.BeginAttempt();
    stream.BeginAttempt();
    std::string text;
    int ends = 0;
    for (const size_t i : order) {
      const TokenEvent event =
          stream.ProcessEvent(sent[i].attempt, sent[i].data);
      text += event.text;
      ends += event.type == Type::kEnd ? 1 : 0;
    }
    REQUIRE((text.empty() || text == "t0"));
    REQUIRE(ends <= 1);
    REQUIRE((ends == 0 || text == "t0"));
  } while (std::next_permutation(order.begin(), order.end()));
}

}  // namespace
}  // namespace mimosa
