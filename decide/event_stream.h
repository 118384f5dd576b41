// Splits a server-sent event stream into complete events. If a connection
// breaks in the middle of an event, the stream can resume at another engine
// without joining the two parts.
#ifndef DECIDE_EVENT_STREAM_H_
#define DECIDE_EVENT_STREAM_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace mimosa {

class SseEventSplitter {
 public:
  // A longer run of bytes without an event boundary is not treated as an event
  // stream.
  static constexpr size_t kMaxEventBytes = 1U << 20;

  // Appends bytes. Returns the unchanged bytes of all events completed by them,
  // or an empty string if there are none.
  std::string Feed(std::string_view bytes);

  // Bytes of the last event, if it is not yet complete.
  const std::string& partial_event() const { return partial_event_; }
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

}  // namespace mimosa

#endif  // DECIDE_EVENT_STREAM_H_
