// Tests that the parser returns the same events wherever the stream is split in
// two.
#include "decide/sse.h"

#include <catch2/catch.hpp>

namespace mimosa {
namespace {

using Events = std::vector<std::string>;

TEST_CASE("the events are the same wherever the stream is split") {
  const std::string stream =
      ": comment\ndata: {\"a\":1}\n\nevent: x\r\ndata:b\r\ndata: c\r\n\r\n\n"
      "data: [DONE]\n\ndata: unfinished";
  const Events expected = {"{\"a\":1}", "b\nc", "[DONE]"};
  for (size_t cut = 0; cut <= stream.size(); ++cut) {
    SseReader reader;
    Events events;
    REQUIRE(reader.Feed(stream.substr(0, cut), &events));
    REQUIRE(reader.Feed(stream.substr(cut), &events));
    CHECK(events == expected);
  }
}

TEST_CASE("an event above the size limit is refused") {
  SseReader reader;
  Events events;
  const std::string part(SseReader::kMaxEventBytes / 2, 'x');
  CHECK(reader.Feed(part, &events));
  CHECK(reader.Feed(part, &events));
  CHECK_FALSE(reader.Feed(part, &events));
}

}  // namespace
}  // namespace mimosa
