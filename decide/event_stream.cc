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

bool IsData(std::string_view line) {
  constexpr std::string_view kDataField = "data";
  return line.substr(0, line.find(':')) == kDataField;
}

// Returns the number in `line` if that is a field of this name with a numeric
// value.
std::optional<int64_t> ReadNumber(std::string_view line,
                                  std::string_view name) {
  if (name.empty() || line.size() == name.size() ||
      line.substr(0, line.find(':')) != name)
    return std::nullopt;
  line.remove_prefix(name.size() + 1);
  while (!line.empty() && line.front() == ' ') line.remove_prefix(1);
  int64_t number = 0;
  const char* const end = line.data() + line.size();
  const auto [stop, error] = std::from_chars(line.data(), end, number);
  if (error != std::errc() || stop != end) return std::nullopt;
  return number;
}

// Returns `to` - `from`, where `to` is the greater one.
uint64_t Distance(int64_t from, int64_t to) {
  return static_cast<uint64_t>(to) - static_cast<uint64_t>(from);
}

}  // namespace

void SseEventSplitter::StartRun() {
  partial_event_.clear();
  misplaced_id_.reset();
  weight_version_.reset();
  run_has_id_ = false;
}

std::string SseEventSplitter::Feed(std::string_view bytes) {
  if (misplaced_id_) return {};
  partial_event_.append(bytes);
  const size_t end = RecordEvents(EndOfLastEvent(partial_event_));
  std::string events = partial_event_.substr(0, end);
  partial_event_.erase(0, end);
  return events;
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

size_t SseEventSplitter::RecordEvents(size_t size) {
  const std::string_view events =
      std::string_view(partial_event_).substr(0, size);
  bool in_event = false;
  bool has_data = false;
  std::optional<int64_t> id;  // Of the current event.
  std::optional<WeightVersion> weights = weight_version_;
  size_t event_begin = 0;
  size_t offset = 0;
  while (const auto line = ReadLine(events, offset)) {
    offset = line->end;
    if (!line->text.empty()) {
      in_event = in_event || !IsComment(line->text);
      has_data = has_data || IsData(line->text);
      if (const auto read = ReadNumber(line->text, "id")) id = read;
      if (const auto read = ReadNumber(line->text, weight_field_))
        weights = WeightVersion(*read);
      continue;
    }
    if (id && !MayFollow(*id)) {
      misplaced_id_ = id;
      return event_begin;
    }
    if (id) RecordId(*id);
    if (id || has_data) id_missing_ = !id;
    if (in_event) ++event_count_;
    weight_version_ = weights;
    in_event = has_data = false;
    id.reset();
    event_begin = offset;
  }
  return size;
}

bool SseEventSplitter::MayFollow(int64_t id) const {
  if (!last_id_) return true;
  if (id <= *last_id_) return false;
  return run_has_id_ || !step_ || Distance(*last_id_, id) <= *step_;
}

void SseEventSplitter::RecordId(int64_t id) {
  if (run_has_id_) {
    const uint64_t step = Distance(*last_id_, id);
    if (step_ && *step_ != step) has_equal_steps_ = false;
    step_ = has_equal_steps_ ? std::optional<uint64_t>(step) : std::nullopt;
  }
  last_id_ = id;
  run_has_id_ = true;
}

bool IsTruncatedStream(const SseEventSplitter& splitter, bool needs_event,
                       int64_t events_in_response) {
  return splitter.inside_event() || (needs_event && events_in_response == 0);
}

}  // namespace mimosa
