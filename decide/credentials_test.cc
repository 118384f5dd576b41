// Unit tests of the separation of credentials.
#include "decide/credentials.h"

#include <catch2/catch.hpp>

namespace mimosa {
namespace {

const std::string kKey = "mk_0123456789abcdef0123456789abcdef0123456789abcdef";
const std::string kOther =
    "mk_ffff456789abcdef0123456789abcdef0123456789abcdef";

std::string PercentEncodeAll(const std::string& text) {
  std::string out;
  for (const char c : text) {
    char buffer[4];
    std::snprintf(buffer, sizeof(buffer), "%%%02x", c);
    out += buffer;
  }
  return out;
}

TEST_CASE("the key is found and taken out") {
  const auto [headers, cookies] =
      GENERATE_COPY(table<HeaderFields, std::vector<std::string>>({
          {{{"Authorization", "Bearer " + kKey}, {"Accept", "*/*"}}, {}},
          {{{"authorization", "bEARER  " + kKey}, {"Accept", "*/*"}}, {}},
          {{{"X-Api-Key", kKey}, {"Accept", "*/*"}}, {}},
          {{{"Cookie", "sid=" + kKey}, {"Accept", "*/*"}}, {"sid"}},
          {{{"Authorization", "Bearer " + kKey},
            {"X-Api-Key", kKey},
            {"Accept", "*/*"}},
           {}},
          {{{"Authorization", "Bearer " + kKey},
            {"Proxy-Authorization", "Basic abc"},
            {"X-Note", "my key is " + kKey},
            {"X-" + kKey, "1"},
            {"X-Coded", PercentEncodeAll(kKey)},
            {"X-Stolen", kOther},
            {"Mimosa-Customer", "somebody-else"},
            {"Accept", "*/*"}},
           {}},
      }));
  const Credentials result = ExtractCredentials(headers, "/a", "", cookies);
  CHECK(result.fault == CredentialError::kNone);
  CHECK(result.key == kKey);
  REQUIRE(result.headers.size() == 1);
  CHECK(result.headers[0].first == "Accept");
}

TEST_CASE("other cookies go on") {
  const Credentials result = ExtractCredentials(
      {{"Cookie", "theme=dark; sid=" + kKey + " ;lang=ml"}}, "/", "", {"sid"});
  REQUIRE(result.headers.size() == 1);
  CHECK(result.headers[0].second == "theme=dark; lang=ml");
}

TEST_CASE("requests whose keys can't be taken out are refused") {
  using F = CredentialError;
  const HeaderFields bearer = {{"Authorization", "Bearer " + kKey}};
  const auto [headers, target, body, fault] =
      GENERATE_COPY(table<HeaderFields, std::string, std::string, F>({
          {bearer, "/a/" + kKey, "", F::kKeyInTarget},
          {bearer, "/a?k=" + PercentEncodeAll(kKey), "", F::kKeyInTarget},
          {{}, "/a?k=" + kOther, "", F::kKeyInTarget},
          {bearer, "/a", "{\"k\":\"" + kKey + "\"}", F::kKeyInBody},
          {{}, "/a", "x" + kOther, F::kKeyInBody},
          {{{"Authorization", "Basic abc"}}, "/a", "", F::kMalformed},
          {{{"Authorization", "Bearer "}}, "/a", "", F::kMalformed},
          {{{"Authorization", "Bearer " + kKey}, {"X-Api-Key", kOther}},
           "/a",
           "",
           F::kAmbiguous},
      }));
  CHECK(ExtractCredentials(headers, target, body, {}).fault == fault);
}

TEST_CASE("what only looks like a key goes on") {
  CHECK_FALSE(ContainsKeyPattern("mk_short"));
  CHECK_FALSE(ContainsKeyPattern(kKey.substr(0, kKey.size() - 1)));
  CHECK_FALSE(ContainsKeyPattern("%6d%6b%5"));
  CHECK(ContainsKeyPattern("xx" + kKey + "yy"));
}

}  // namespace
}  // namespace mimosa
