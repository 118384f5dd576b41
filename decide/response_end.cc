// Signs of life and when to ask for them.
#include "decide/response_end.h"

#include <algorithm>

namespace mimosa {
namespace {

// Callers have all events by now, so only the end of the response waits.
constexpr Duration kMaxWait = std::chrono::seconds(1);
// Doubles with each further request.
constexpr Duration kFirstDelay = std::chrono::milliseconds(20);
constexpr int kMaxDoublings = 4;

}  // namespace

ResponseEndJudge::ResponseEndJudge(const BackEndEntry& sender, int64_t events,
                                   MonoTime closed_at, Duration time_left)
    : back_end_(sender.id),
      is_engine_(sender.role != EngineRole::kNone),
      incarnation_(sender.incarnation),
      events_(events),
      give_up_at_(closed_at + std::min(kMaxWait, time_left)) {}

EndVerdict ResponseEndJudge::Judge(const LifeSign& sign, int asked) const {
  if (sign.connection_reset) return EndVerdict::kLost;
  switch (sign.kind) {
    case LifeSign::Kind::kOther:
    case LifeSign::Kind::kRefused:
      return EndVerdict::kLost;
    case LifeSign::Kind::kNone:
      return EndVerdict::kUndecided;
    case LifeSign::Kind::kStatement:
    case LifeSign::Kind::kRejection:
      break;
  }
  if (sign.back_end && *sign.back_end != back_end_) return EndVerdict::kLost;
  if (sign.incarnation && incarnation_ != 0 &&
      *sign.incarnation != incarnation_)
    return EndVerdict::kLost;
  if (sign.events_generated && *sign.events_generated > events_)
    return EndVerdict::kTruncated;
  if (sign.incarnation && incarnation_ != 0) return EndVerdict::kComplete;
  const bool may_be_successor = incarnation_ != 0 && asked > 1;
  const bool is_unnamed_rejection =
      sign.kind == LifeSign::Kind::kRejection && !sign.back_end;
  if (may_be_successor || (is_unnamed_rejection && is_engine_))
    return EndVerdict::kUndecided;
  return EndVerdict::kComplete;
}

std::optional<MonoTime> ResponseEndJudge::NextRequestAt(int asked,
                                                        MonoTime now) const {
  Duration delay{};
  if (asked > 0)
    delay = kFirstDelay * (1 << std::min(asked - 1, kMaxDoublings));
  if (now + delay >= give_up_at_) return std::nullopt;
  return now + delay;
}

}  // namespace mimosa
