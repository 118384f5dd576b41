// Event boundaries and ids.
#include "decide/event_stream.h"

#include <charconv>

namespace mimosa {
namespace {

// A line of an event stream without its line ending.
struct Line {
  std::string_view text;
  size_t end = 0;  // Offset behind the line ending.
};

// Returns the line at `offset` of `bytes`, or nullopt if its ending is missing.
std::optional<Line> ReadLine(std::string_view bytes, size_t offset) {
  const size_t eol = bytes.find_first_of("\r\n", offset);
  if (eol == std::string_view::npos) return std::nullopt;
  const bool crlf = bytes.substr(eol, 2) == "\r\n";
  return Line{bytes.substr(offset, eol - offset), eol + (crlf ? 2 : 1)};
}

bool IsComment(std::string_view line) {
  return !line.empty() && line.front() == ':';
}

// Returns the offset behind the empty line that ends the last complete event in
// `bytes`, or zero if there is none.
size_t EndOfLastEvent(std::string_view bytes) {
  size_t end = 0;
  size_t offset = 0;
  while (const auto line = ReadLine(bytes, offset)) {
    offset = line->end;
    if (line->text.empty()) end = offset;
  }
  return end;
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

bool SseEventSplitter::inside_event() const {
  const std::string_view bytes = partial_event_;
  size_t offset = 0;
  while (const auto line = ReadLine(bytes, offset)) {
    offset = line->end;
    if (!line->text.empty() && !IsComment(line->text)) return true;
  }
  const std::string_view rest = bytes.substr(offset);
  return !rest.empty() && !IsComment(rest);
}

void SseEventSplitter::RecordIds(std::string_view complete_events) {
  constexpr std::string_view kIdField = "id:";
  bool in_event = false;
  size_t offset = 0;
  while (const auto line = ReadLine(complete_events, offset)) {
    offset = line->end;
    std::string_view text = line->text;
    if (text.empty()) {
      if (in_event) ++event_count_;
      in_event = false;
      continue;
    }
    if (IsComment(text)) continue;
    in_event = true;
    if (text.substr(0, kIdField.size()) != kIdField) continue;
    text.remove_prefix(kIdField.size());
    while (!text.empty() && text.front() == ' ') text.remove_prefix(1);
    int64_t id = 0;
    const char* const text_end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), text_end, id);
    if (error == std::errc() && stop == text_end) last_id_ = id;
  }
}

bool IsTruncatedStream(const SseEventSplitter& splitter, bool ended_by_close,
                       int64_t events_in_response) {
  return splitter.inside_event() || (ended_by_close && events_in_response == 0);
}

}  // namespace mimosa
