// Event boundaries and ids.
#include "decide/event_stream.h"

#include <algorithm>
#include <charconv>

namespace mimosa {
namespace {

// Returns the offset behind the empty line that ends the last complete event in
// `text`, or zero if there is none.
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
  std::string complete_events = partial_event_.substr(0, end);
  partial_event_.erase(0, end);
  RecordIds(complete_events);
  return complete_events;
}

void SseEventSplitter::RecordIds(std::string_view complete_events) {
  constexpr std::string_view kIdField = "id:";
  bool in_event = false;
  while (!complete_events.empty()) {
    const size_t end = complete_events.find('\n');
    std::string_view line = complete_events.substr(0, end);
    complete_events.remove_prefix(
        end == std::string_view::npos ? complete_events.size() : end + 1);
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
