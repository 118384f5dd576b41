// Splits a server-sent event stream into the data of its events.
//
// Only what the engines and callers of completion APIs use: "data:" lines, an
// empty line ends an event; other fields and comments are passed over. Bytes
// may arrive in any portions.
#ifndef DECIDE_SSE_H_
#define DECIDE_SSE_H_

#include <string>
#include <string_view>
#include <vector>

namespace mimosa {

class SseReader {
 public:
  // An event larger than this is refused: no engine sends one.
  static constexpr size_t kMaxEventBytes = 1U << 20;

  // Takes more bytes; appends the data of each event that is now complete.
  // False once an event went beyond kMaxEventBytes.
  bool Feed(std::string_view bytes, std::vector<std::string>* events);

 private:
  bool ProcessLine(std::string_view line, std::vector<std::string>* events);

  std::string line_;  // begun and not ended; below kMaxEventBytes
  std::string data_;  // of the event under way
  bool has_data_ = false;
};

}  // namespace mimosa

#endif  // DECIDE_SSE_H_
