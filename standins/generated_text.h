// The text that a stand-in engine generates: a pure function of the prompt, so
// that a test can compare an answer byte for byte with what it must be.
#ifndef STANDINS_GENERATED_TEXT_H_
#define STANDINS_GENERATED_TEXT_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace mimosa::standins {

// Bytes of prompt that count as one token.
inline constexpr int64_t kBytesPerToken = 4;

// Prompt tokens of `prompt`: at least one.
int64_t PromptTokens(std::string_view prompt);

// What an engine generates for one prompt under one output limit.
class GeneratedText {
 public:
  // A prompt that contains "[out=N]" asks for N tokens; otherwise the length
  // follows from the prompt's hash. Neither goes beyond `max_tokens`.
  GeneratedText(std::string_view prompt, int64_t max_tokens);

  int64_t tokens() const { return tokens_; }
  // "length" if the limit cut the text short, else "stop".
  const char* finish_reason() const { return truncated_ ? "length" : "stop"; }
  // Text of the token at `index` in [0, tokens()).
  std::string TokenText(int64_t index) const;

 private:
  uint64_t hash_;
  int64_t tokens_;
  bool truncated_;
};

// The whole text.
std::string ExpectedOutput(std::string_view prompt, int64_t max_tokens);

}  // namespace mimosa::standins

#endif  // STANDINS_GENERATED_TEXT_H_
