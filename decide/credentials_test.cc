// Tests of the extraction and removal of credentials.
#include "decide/credentials.h"

#include <catch2/catch.hpp>

namespace mimosa {
namespace {

const std::string kKey = "mk_0123456789abcdef0123456789abcdef0123456789abcdef";
const std::string kOtherKey =
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

TEST_CASE("the key is extracted and removed from all headers") {
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
            {"X-Stolen", kOtherKey},
            {"Mimosa-Customer", "somebody-else"},
            {"Accept", "*/*"}},
           {}},
      }));
  const Credentials result = ExtractCredentials(headers, "/a", "", cookies);
  CHECK(result.error == CredentialError::kNone);
  CHECK(result.key == kKey);
  REQUIRE(result.headers.size() == 1);
  CHECK(result.headers[0].first == "Accept");
}

TEST_CASE("cookies that carry no key are forwarded") {
  const Credentials result = ExtractCredentials(
      {{"Cookie", "theme=dark; sid=" + kKey + " ;lang=ml"}}, "/", "", {"sid"});
  REQUIRE(result.headers.size() == 1);
  CHECK(result.headers[0].second == "theme=dark; lang=ml");
}

TEST_CASE("requests with keys that can't be removed are errors") {
  using E = CredentialError;
  const HeaderFields bearer = {{"Authorization", "Bearer " + kKey}};
  const auto [headers, target, body, error] =
      GENERATE_COPY(table<HeaderFields, std::string, std::string, E>({
          {bearer, "/a/" + kKey, "", E::kKeyInTarget},
          {bearer, "/a?k=" + PercentEncodeAll(kKey), "", E::kKeyInTarget},
          {{}, "/a?k=" + kOtherKey, "", E::kKeyInTarget},
          {bearer, "/a", "{\"k\":\"" + kKey + "\"}", E::kKeyInBody},
          {{}, "/a", "x" + kOtherKey, E::kKeyInBody},
          {{{"Authorization", "Basic abc"}}, "/a", "", E::kMalformed},
          {{{"Authorization", "Bearer "}}, "/a", "", E::kMalformed},
          {{{"Authorization", "Bearer " + kKey}, {"X-Api-Key", kOtherKey}},
           "/a",
           "",
           E::kAmbiguous},
      }));
  CHECK(ExtractCredentials(headers, target, body, {}).error == error);
}

TEST_CASE("text that is shorter than a key is not taken for one") {
  CHECK_FALSE(ContainsKeyPattern("mk_short"));
  CHECK_FALSE(ContainsKeyPattern(kKey.substr(0, kKey.size() - 1)));
  CHECK_FALSE(ContainsKeyPattern("%6d%6b%5"));
  CHECK(ContainsKeyPattern("xx" + kKey + "yy"));
}

}  // namespace
}  // namespace mimosa
