// Splits a server-sent event stream into complete events, and tells at its end
// whether it may be complete. If a connection breaks in the middle of an event,
// the stream can resume at another engine without joining the two parts.
//
// The ids of a stream increase, over all runs that generate it. A run that
// continues the stream begins with the event behind the last one, so its first
// id is above that. If all steps within runs were equal so far, a longer one
// between two runs is a gap. An event that doesn't follow the ones before it is
// withheld.
//
// What two versions of the weights generate doesn't fit together either, unless
// the engine itself changes them within a run; an event then says so.
//
// Load pattern covered: engines that crash in the middle of their streams while
// they send responses that end with their connection. The orderly close of a
// terminated process then looks like the end of a complete response. Events
// show a truncation in their middle, decide/response_end.h judges the others.
#ifndef DECIDE_EVENT_STREAM_H_
#define DECIDE_EVENT_STREAM_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "decide/site.h"

namespace mimosa {

inline constexpr std::string_view kEventStreamType = "text/event-stream";

class SseEventSplitter {
 public:
  // A longer run of bytes without an event boundary is no event: its sender is
  // in trouble and may never end it.
  static constexpr size_t kMaxEventBytes = 256U << 10;

  // `last_id` is the id of the last event that the receiver has from earlier
  // responses, if it has any.
  // An event states a number in the field `weight_field` if the weights of its
  // engine change with it; empty: events don't say so.
  explicit SseEventSplitter(std::optional<int64_t> last_id = std::nullopt,
                            std::string weight_field = {})
      : weight_field_(std::move(weight_field)), last_id_(last_id) {}

  // The bytes that follow are those of another run, which continues the stream.
  void StartRun();
  // Appends bytes. Returns the unchanged bytes of all events completed by them,
  // or an empty string if there are none. Lines end in LF, CRLF or CR. Returns
  // no event from the first one that is out of order until the next run.
  std::string Feed(std::string_view bytes);

  // The id of the event of this run that doesn't follow the events before it.
  std::optional<int64_t> misplaced_id() const { return misplaced_id_; }

  // Bytes of the last event, if it is not yet complete.
  const std::string& partial_event() const { return partial_event_; }
  // Returns whether a field of an event has begun whose end is missing.
  // Comments and empty lines are not part of an event.
  bool inside_event() const;
  // Discards the incomplete event after the connection broke.
  void DropPartialEvent() { partial_event_.clear(); }
  bool event_too_long() const { return partial_event_.size() > kMaxEventBytes; }

  // The id of the last event that had a numeric id, of the receiver's or of
  // those returned.
  std::optional<int64_t> last_id() const { return last_id_; }
  // Whether another run can begin behind the last event: that has the id
  // last_id(). Events without data don't count.
  bool is_resumable() const { return last_id_ && !id_missing_; }
  int64_t event_count() const { return event_count_; }
  // The weights that the events of this run have last changed to; absent if
  // they haven't.
  std::optional<WeightVersion> weight_version() const {
    return weight_version_;
  }

 private:
  // Records the events in the first `size` bytes of partial_event_, which are
  // complete, up to one that is out of order. Returns their size.
  size_t RecordEvents(size_t size);
  bool MayFollow(int64_t id) const;
  void RecordId(int64_t id);

  const std::string weight_field_;
  std::string partial_event_;
  std::optional<WeightVersion> weight_version_;
  std::optional<int64_t> last_id_;
  std::optional<int64_t> misplaced_id_;
  bool id_missing_ = false;  // The last event with data had no numeric id.
  bool run_has_id_ = false;  // An event of this run had a numeric id.
  // Between the ids of two events in a row of one run; absent if it isn't known
  // or not always the same.
  std::optional<uint64_t> step_;
  bool has_equal_steps_ = true;
  int64_t event_count_ = 0;
};

// Returns whether the stream that `splitter` was fed with is truncated, given
// that its connection ended in order. A stream that ends inside an event is
// truncated, whatever its framing says. So is one without an event if it must
// have one (`needs_event`): `events_in_response` is the number of events of
// this response.
bool IsTruncatedStream(const SseEventSplitter& splitter, bool needs_event,
                       int64_t events_in_response);

}  // namespace mimosa

#endif  // DECIDE_EVENT_STREAM_H_
