// Parses a server-sent event stream into the data of its events.
//
// Supports only what the engines and callers of completion APIs use: "data:"
// lines, and an empty line that ends an event. Other fields and comments are
// ignored. Bytes may arrive in pieces of any size.
#ifndef DECIDE_SSE_H_
#define DECIDE_SSE_H_

#include <string>
#include <string_view>
#include <vector>

namespace mimosa {

class SseReader {
 public:
  // A larger event is rejected: no engine sends one.
  static constexpr size_t kMaxEventBytes = 1U << 20;

  // Parses more bytes and appends the data of each completed event. Returns
  // false once an event has exceeded kMaxEventBytes.
  bool Feed(std::string_view bytes, std::vector<std::string>* events);

 private:
  bool ProcessLine(std::string_view line, std::vector<std::string>* events);

  std::string line_;  // incomplete line; below kMaxEventBytes
  std::string data_;  // data of the incomplete event
  bool has_data_ = false;
};

}  // namespace mimosa

#endif  // DECIDE_SSE_H_
