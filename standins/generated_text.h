// Defines the text that a stand-in engine generates. It is a pure function of
// the prompt and the output limit, so that tests can compare a response byte
// for byte with the expected text.
#ifndef STANDINS_GENERATED_TEXT_H_
#define STANDINS_GENERATED_TEXT_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace mimosa::standins {

// Number of prompt bytes that count as one token.
inline constexpr int64_t kBytesPerToken = 4;

// Returns the number of tokens of `prompt`, at least one.
int64_t PromptTokens(std::string_view prompt);

// Computes the text that an engine generates for one prompt and output limit.
class GeneratedText {
 public:
  // A prompt that contains "[out=N]" yields N tokens; otherwise the number of
  // tokens is derived from the prompt's hash. Both are limited to `max_tokens`.
  GeneratedText(std::string_view prompt, int64_t max_tokens);

  int64_t tokens() const { return tokens_; }
  // Returns "length" if the limit truncated the text, else "stop".
  const char* finish_reason() const { return truncated_ ? "length" : "stop"; }
  // Returns the text of the token at `index`, which is in [0, tokens()).
  std::string TokenText(int64_t index) const;

 private:
  uint64_t hash_;
  int64_t tokens_;
  bool truncated_;
};

// Returns the complete generated text.
std::string ExpectedOutput(std::string_view prompt, int64_t max_tokens);

}  // namespace mimosa::standins

#endif  // STANDINS_GENERATED_TEXT_H_
