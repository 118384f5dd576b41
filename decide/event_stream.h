// Splits a server-sent event stream into complete events, and tells at its end
// whether it may be complete. If a connection breaks in the middle of an event,
// the stream can resume at another engine without joining the two parts.
//
// Load pattern covered: engines that crash in the middle of their streams while
// they send responses that end with their connection. The orderly close of a
// terminated process then looks like the end of a complete response, and only
// the events themselves show that the stream was truncated.
#ifndef DECIDE_EVENT_STREAM_H_
#define DECIDE_EVENT_STREAM_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace mimosa {

inline constexpr std::string_view kEventStreamType = "text/event-stream";

class SseEventSplitter {
 public:
  // A longer run of bytes without an event boundary is no event: its sender is
  // in trouble and may never end it.
  static constexpr size_t kMaxEventBytes = 256U << 10;

  // Appends bytes. Returns the unchanged bytes of all events completed by them,
  // or an empty string if there are none. Lines end in LF, CRLF or CR.
  std::string Feed(std::string_view bytes);

  // Bytes of the last event, if it is not yet complete.
  const std::string& partial_event() const { return partial_event_; }
  // Returns whether a field of an event has begun whose end is missing.
  // Comments and empty lines are not part of an event.
  bool inside_event() const;
  // Discards the incomplete event after the connection broke.
  void DropPartialEvent() { partial_event_.clear(); }
  bool event_too_long() const { return partial_event_.size() > kMaxEventBytes; }

  // The id of the last complete event that had a numeric id.
  std::optional<int64_t> last_id() const { return last_id_; }
  int64_t event_count() const { return event_count_; }

 private:
  void RecordIds(std::string_view complete_events);

  std::string partial_event_;
  std::optional<int64_t> last_id_;
  int64_t event_count_ = 0;
};

// Returns whether the stream that `splitter` was fed with is truncated, given
// that its connection ended in order. A stream that ends inside an event is
// truncated, whatever its framing says. If the end of the connection was its
// only mark (`ended_by_close`), it must also have had an event:
// `events_in_response` is the number of events of this response.
bool IsTruncatedStream(const SseEventSplitter& splitter, bool ended_by_close,
                       int64_t events_in_response);

}  // namespace mimosa

#endif  // DECIDE_EVENT_STREAM_H_
