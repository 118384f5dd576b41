// Unit tests of the rules by which events become one answer.
#include "decide/token_stream.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

namespace mimosa {
namespace {

using V = TokenEventType;

std::string Event(const std::string& request, int attempt, int index) {
  return "{\"request\":\"" + request +
         "\",\"attempt\":" + std::to_string(attempt) +
         ",\"index\":" + std::to_string(index) + ",\"text\":\"t" +
         std::to_string(index) + "\"}";
}
std::string End(const std::string& request, int attempt, int tokens) {
  return "{\"request\":\"" + request +
         "\",\"attempt\":" + std::to_string(attempt) +
         ",\"finish\":\"stop\",\"output_tokens\":" + std::to_string(tokens) +
         "}";
}

TEST_CASE("only the live attempt's own next token is passed on") {
  TokenStream stream(RequestId("r"));
  const int first = stream.BeginAttempt();
  CHECK(stream.ProcessEvent(first, Event("r", 1, 0)).type == V::kToken);
  CHECK(stream.ProcessEvent(first, Event("other", 1, 1)).type == V::kForeign);
  CHECK(stream.ProcessEvent(first, Event("r", 1, 0)).type == V::kDuplicate);
  CHECK(stream.ProcessEvent(first, Event("r", 1, 2)).type == V::kGap);
  const int second = stream.BeginAttempt();
  CHECK(stream.ProcessEvent(first, Event("r", 1, 1)).type == V::kForeign);
  CHECK(stream.ProcessEvent(second, Event("r", 1, 1)).type == V::kForeign);
  CHECK(stream.ProcessEvent(second, Event("r", 2, 0)).type == V::kDuplicate);
  CHECK(stream.ProcessEvent(second, Event("r", 2, 1)).text == "t1");
  CHECK(stream.ProcessEvent(second, End("r", 2, 3)).type == V::kGap);
  CHECK(stream.ProcessEvent(second, End("r", 2, 2)).type == V::kEnd);
  CHECK(stream.ProcessEvent(second, Event("r", 2, 2)).type == V::kForeign);
  CHECK(stream.ProcessEvent(second, End("r", 2, 2)).type == V::kForeign);
}

TEST_CASE("nonsense is malformed") {
  TokenStream stream(RequestId("r"));
  const int attempt = stream.BeginAttempt();
  for (const char* data :
       {"", "{", "[]", "null", "[DONE]", "{\"request\":\"r\",\"attempt\":1}",
        "{\"request\":\"r\",\"attempt\":1,\"index\":\"0\"}"})
    CHECK(stream.ProcessEvent(attempt, data).type == V::kMalformed);
}

// Every order of delivery of two attempts' events: what is passed on must be
// a prefix of the answer, whole if an end was taken.
TEST_CASE("all orders of doubled and late events give one answer") {
  struct Sent {
    int attempt;
    std::string data;
  };
  std::vector<Sent> sent = {{1, Event("r", 1, 0)}, {1, End("r", 1, 1)},
                            {2, Event("r", 2, 0)}, {2, End("r", 2, 1)},
                            {2, Event("x", 2, 0)}, {2, End("r", 2, 1)}};
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
      ends += event.type == V::kEnd ? 1 : 0;
    }
    REQUIRE((text.empty() || text == "t0"));
    REQUIRE(ends <= 1);
    REQUIRE((ends == 0 || text == "t0"));
  } while (std::next_permutation(order.begin(), order.end()));
}

}  // namespace
}  // namespace mimosa
