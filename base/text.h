// String functions that C++17 lacks.
#ifndef BASE_TEXT_H_
#define BASE_TEXT_H_

#include <string_view>

namespace mimosa {

// Returns whether `text` begins with `prefix`.
constexpr bool StartsWith(std::string_view text, std::string_view prefix) {
  return text.substr(0, prefix.size()) == prefix;
}

}  // namespace mimosa

#endif  // BASE_TEXT_H_
