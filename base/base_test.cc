// Unit tests of ids, digests and JSON conversion.
#include <catch2/catch.hpp>

#include "base/digest.h"
#include "base/ids.h"
#include "base/json.h"
#include "wire/catalogue.pb.h"

namespace mimosa {
namespace {

TEST_CASE("PiecesFor rounds up to whole pieces") {
  CHECK(PiecesFor(Tokens(0)) == Pieces(0));
  CHECK(PiecesFor(Tokens(1)) == Pieces(1));
  CHECK(PiecesFor(Tokens(2048)) == Pieces(1));
  CHECK(PiecesFor(Tokens(2049)) == Pieces(2));
}

TEST_CASE("Sha256Hex returns the known digest of the empty string") {
  CHECK(Sha256Hex("") ==
        "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855");
}

TEST_CASE("a message is unchanged after conversion to JSON and back") {
  wire::Customer customer;
  customer.set_id("kochi-guild");
  customer.set_rate_tokens_per_second(400);
  wire::Customer parsed;
  REQUIRE(FromJson(ToJson(customer), /*strict=*/true, &parsed));
  CHECK(parsed.id() == "kochi-guild");
  CHECK(parsed.rate_tokens_per_second() == 400);
}

TEST_CASE("unknown fields in strict mode and malformed JSON are errors") {
  wire::Customer customer;
  CHECK_FALSE(FromJson("{\"nonsense\":1}", /*strict=*/true, &customer));
  CHECK(FromJson("{\"nonsense\":1}", /*strict=*/false, &customer));
  CHECK_FALSE(FromJson("{", /*strict=*/false, &customer));
  CHECK_FALSE(ParseJson(std::string(100, '[')));
}

}  // namespace
}  // namespace mimosa
