// Chooses each token by a hash of the prompt and the token's index.
#include "standins/generated_text.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace mimosa::standins {
namespace {

constexpr std::array<const char*, 16> kWords = {
    "anvil", "berth", "crane", "dock",  "ember", "forge", "gang", "hammer",
    "iron",  "jetty", "kiln",  "lathe", "mould", "night", "ore",  "port"};

// Without "[out=N]", lengths are between 1 and this many tokens.
constexpr uint64_t kMaxDefaultLength = 64;

uint64_t Fnv1a(std::string_view text) {
  uint64_t hash = 0xcbf29ce484222325U;
  for (const char c : text) {
    hash ^= static_cast<unsigned char>(c);
    hash *= 0x100000001b3U;
  }
  return hash;
}

uint64_t Mix(uint64_t x) {
  x ^= x >> 30;
  x *= 0xbf58476d1ce4e5b9U;
  x ^= x >> 27;
  x *= 0x94d049bb133111ebU;
  return x ^ (x >> 31);
}

// Returns the N of "[out=N]", or -1 if there is none.
int64_t RequestedLength(std::string_view prompt) {
  constexpr std::string_view kMarker = "[out=";
  const size_t at = prompt.find(kMarker);
  if (at == std::string_view::npos) return -1;
  const std::string_view digits = prompt.substr(at + kMarker.size());
  int64_t value = -1;
  std::from_chars(digits.data(), digits.data() + digits.size(), value);
  return value;
}

}  // namespace

int64_t PromptTokens(std::string_view prompt) {
  const auto bytes = static_cast<int64_t>(prompt.size());
  return std::max<int64_t>(1, (bytes + kBytesPerToken - 1) / kBytesPerToken);
}

GeneratedText::GeneratedText(std::string_view prompt, int64_t max_tokens)
    : hash_(Fnv1a(prompt)) {
  const int64_t requested = RequestedLength(prompt);
  const int64_t untruncated_tokens =
      requested >= 0 ? requested
                     : 1 + static_cast<int64_t>(Mix(hash_) % kMaxDefaultLength);
  tokens_ = std::min(untruncated_tokens, max_tokens);
  truncated_ = untruncated_tokens > max_tokens;
}

std::string GeneratedText::TokenText(int64_t index) const {
  const uint64_t draw = Mix(hash_ + static_cast<uint64_t>(index) + 1);
  return std::string(kWords[draw % kWords.size()]) +
         std::to_string((draw >> 8) % 1000) + " ";
}

std::string ExpectedOutput(std::string_view prompt, int64_t max_tokens) {
  const GeneratedText generated(prompt, max_tokens);
  std::string text;
  for (int64_t i = 0; i < generated.tokens(); ++i)
    text += generated.TokenText(i);
  return text;
}

}  // namespace mimosa::standins
