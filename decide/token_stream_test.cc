// Unit tests of the rules by which events become one answer.
#include "decide/token_stream.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

namespace mimosa {
namespace {

using V = TokenVerdict;

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
  CHECK(stream.Take(first, Event("r", 1, 0)).verdict == V::kToken);
  CHECK(stream.Take(first, Event("other", 1, 1)).verdict == V::kForeign);
  CHECK(stream.Take(first, Event("r", 1, 0)).verdict == V::kRepeated);
  CHECK(stream.Take(first, Event("r", 1, 2)).verdict == V::kGap);
  const int second = stream.BeginAttempt();
  CHECK(stream.Take(first, Event("r", 1, 1)).verdict == V::kForeign);
  CHECK(stream.Take(second, Event("r", 1, 1)).verdict == V::kForeign);
  CHECK(stream.Take(second, Event("r", 2, 0)).verdict == V::kRepeated);
  CHECK(stream.Take(second, Event("r", 2, 1)).text == "t1");
  CHECK(stream.Take(second, End("r", 2, 3)).verdict == V::kGap);
  CHECK(stream.Take(second, End("r", 2, 2)).verdict == V::kEnd);
  CHECK(stream.Take(second, Event("r", 2, 2)).verdict == V::kForeign);
  CHECK(stream.Take(second, End("r", 2, 2)).verdict == V::kForeign);
}

TEST_CASE("nonsense is malformed") {
  TokenStream stream(RequestId("r"));
  const int attempt = stream.BeginAttempt();
  for (const char* data :
       {"", "{", "[]", "null", "[DONE]", "{\"request\":\"r\",\"attempt\":1}",
        "{\"request\":\"r\",\"attempt\":1,\"index\":\"0\"}"})
    CHECK(stream.Take(attempt, data).verdict == V::kMalformed);
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
      const TokenEvent event = stream.Take(sent[i].attempt, sent[i].data);
      text += event.text;
      ends += event.verdict == V::kEnd ? 1 : 0;
    }
    REQUIRE((text.empty() || text == "t0"));
    REQUIRE(ends <= 1);
    REQUIRE((ends == 0 || text == "t0"));
  } while (std::next_permutation(order.begin(), order.end()));
}

}  // namespace
}  // namespace mimosa
