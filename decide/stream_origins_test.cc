// Tests the records of streams' origins.
#include "decide/stream_origins.h"

#include <catch2/catch.hpp>
#include <string>
namespace mimosa {
namespace {

using std::chrono::seconds;

const ServiceId kService("llm");
const SoftwareVersion kOld("1");
const SoftwareVersion kNew("2");

MonoTime At(int second) { return MonoTime{} + seconds(1000 + second); }

StreamOrigins::Origin OriginAt(int second, const SoftwareVersion& version) {
  return {kService, version, At(second), /*is_local=*/true};
}

TEST_CASE("an origin is kept as long as its stream can be taken up") {
  StreamOrigins origins;
  origins.SetLifetime(seconds(20));
  origins.Record(RequestId("a"), OriginAt(0, kOld), At(0));
  REQUIRE(origins.Find(RequestId("a"), At(19)));
  CHECK(origins.Find(RequestId("a"), At(19))->software_version == kOld);
  CHECK(origins.Find(RequestId("a"), At(19))->service == kService);
  CHECK_FALSE(origins.Find(RequestId("b"), At(19)));
  CHECK_FALSE(origins.Find(RequestId("a"), At(20)));
  CHECK(origins.size() == 0);
}

TEST_CASE("the first record of a stream wins, and old ones are ignored") {
  StreamOrigins origins;
  origins.SetLifetime(seconds(20));
  origins.Record(RequestId("a"), OriginAt(0, kOld), At(0));
  origins.Record(RequestId("a"), OriginAt(1, kNew), At(1));
  CHECK(origins.Find(RequestId("a"), At(2))->software_version == kOld);
  origins.Record(RequestId("b"), OriginAt(-30, kOld), At(2));
  origins.Record(RequestId(""), OriginAt(2, kOld), At(2));
  origins.Record(RequestId(std::string(StreamOrigins::kMaxIdBytes + 1, 'x')),
                 OriginAt(2, kOld), At(2));
  CHECK(origins.size() == 1);
}

TEST_CASE("beyond the maximum the oldest origins are dropped") {
  StreamOrigins origins;
  origins.SetLifetime(seconds(3600));
  for (size_t i = 0; i <= StreamOrigins::kMaxOrigins; ++i)
    origins.Record(RequestId(std::to_string(i)),
                   OriginAt(static_cast<int>(i / 100), kOld), At(300));
  CHECK(origins.size() == StreamOrigins::kMaxOrigins);
  CHECK_FALSE(origins.Find(RequestId("0"), At(300)));
  CHECK(origins.Find(RequestId("1"), At(300)));
}

TEST_CASE("only streams that began here are local") {
  StreamOrigins origins;
  origins.Record(RequestId("a"), OriginAt(0, kOld), At(0));
  StreamOrigins::Origin copy = OriginAt(0, kOld);
  copy.is_local = false;
  origins.Record(RequestId("b"), copy, At(0));
  const auto local = origins.LocalOrigins(kService, At(1));
  REQUIRE(local.size() == 1);
  CHECK(local[0].first == RequestId("a"));
  CHECK(origins.LocalOrigins(ServiceId("other"), At(1)).empty());
}

}  // namespace
}  // namespace mimosa
