// Cuts a server-sent event stream into whole events, so that a stream that
// breaks in the middle of an event can go on at another engine without joining
// the halves.
#ifndef DECIDE_EVENT_STREAM_H_
#define DECIDE_EVENT_STREAM_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace mimosa {

class SseEventSplitter {
 public:
  // More than this without the end of an event is no event stream.
  static constexpr size_t kMaxEventBytes = 1U << 20;

  // Takes more bytes; returns those of all events that are whole now, as they
  // came. Empty if there are none.
  std::string Feed(std::string_view bytes);

  // Bytes of an event whose end has not come.
  const std::string& partial_event() const { return partial_event_; }
  // Forgets them: the connection broke.
  void DropPartialEvent() { partial_event_.clear(); }
  bool event_too_long() const { return partial_event_.size() > kMaxEventBytes; }

  // The id of the last whole event that had a numeric one.
  std::optional<int64_t> last_id() const { return last_id_; }
  int64_t event_count() const { return event_count_; }

 private:
  void RecordIds(std::string_view whole);

  std::string partial_event_;
  std::optional<int64_t> last_id_;
  int64_t event_count_ = 0;
};

}  // namespace mimosa

#endif  // DECIDE_EVENT_STREAM_H_
