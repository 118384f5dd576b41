// Event boundaries and ids.
#include "decide/event_stream.h"

#include <algorithm>
#include <charconv>

namespace mimosa {
namespace {

// The end of the last whole event in `text`: behind its empty line. Zero if
// there is none.
size_t EndOfLastEvent(std::string_view text) {
  const size_t lf = text.rfind("\n\n");
  const size_t crlf = text.rfind("\r\n\r\n");
  const size_t lf_end = lf == std::string_view::npos ? 0 : lf + 2;
  const size_t crlf_end = crlf == std::string_view::npos ? 0 : crlf + 4;
  return std::max(lf_end, crlf_end);
}

}  // namespace

std::string SseEventSplitter::Feed(std::string_view bytes) {
  partial_event_.append(bytes);
  const size_t end = EndOfLastEvent(partial_event_);
  if (end == 0) return {};
  std::string whole = partial_event_.substr(0, end);
  partial_event_.erase(0, end);
  RecordIds(whole);
  return whole;
}

void SseEventSplitter::RecordIds(std::string_view whole) {
  constexpr std::string_view kIdField = "id:";
  bool in_event = false;
  while (!whole.empty()) {
    const size_t end = whole.find('\n');
    std::string_view line = whole.substr(0, end);
    whole.remove_prefix(end == std::string_view::npos ? whole.size() : end + 1);
    if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
    if (line.empty()) {
      if (in_event) ++event_count_;
      in_event = false;
      continue;
    }
    in_event = true;
    if (line.substr(0, kIdField.size()) != kIdField) continue;
    line.remove_prefix(kIdField.size());
    while (!line.empty() && line.front() == ' ') line.remove_prefix(1);
    int64_t id = 0;
    const auto [stop, error] =
        std::from_chars(line.data(), line.data() + line.size(), id);
    if (error == std::errc() && stop == line.data() + line.size())
      last_id_ = id;
  }
}

}  // namespace mimosa
