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
// The values of a report are at most this old.
constexpr Duration kMaxReportAge = std::chrono::milliseconds(1200);
constexpr Duration kReportInterval = std::chrono::milliseconds(250);
// Part of the time until a verdict is needed after which a newer report is
// asked for at the latest.
constexpr int kDeadlineParts = 4;

}  // namespace

ResponseEndJudge::ResponseEndJudge(const BackEndEntry& sender, int64_t events,
                                   MonoTime began_at, MonoTime closed_at,
                                   Duration time_left)
    : back_end_(sender.id),
      is_engine_(sender.role != EngineRole::kNone),
      incarnation_(sender.incarnation),
      events_(events),
      began_at_(began_at),
      closed_at_(closed_at),
      deadline_(closed_at + time_left) {}

EndVerdict ResponseEndJudge::Judge(const LifeSign& sign, int asked,
                                   MonoTime asked_at) {
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
  if (sign.lists_runs) {
    asked_until_statement_ = asked;
    is_run_listed_ = sign.events_generated.has_value();
    if (is_run_listed_ && *sign.events_generated > events_)
      return EndVerdict::kTruncated;
    was_run_listed_ = was_run_listed_ || is_run_listed_;
    const bool had_begun =
        was_run_listed_ || asked_at - began_at_ >= kMaxReportAge;
    awaits_newer_statement_ = is_run_listed_ || !had_begun;
    if (awaits_newer_statement_) return EndVerdict::kUndecided;
  }
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
  const int unanswered = asked - asked_until_statement_;
  Duration delay{};
  if (unanswered > 0) {
    delay = kFirstDelay * (1 << std::min(unanswered - 1, kMaxDoublings));
  } else if (awaits_newer_statement_) {
    delay = std::min(kReportInterval,
                     std::max(kFirstDelay, (deadline_ - now) / kDeadlineParts));
  }
  const Duration max_wait =
      awaits_newer_statement_ ? kMaxReportAge + kMaxWait : kMaxWait;
  if (now + delay >= std::min(closed_at_ + max_wait, deadline_))
    return std::nullopt;
  return now + delay;
}

void ResponseEndJudge::DecideBy(MonoTime deadline) {
  deadline_ = std::min(deadline_, deadline);
}

}  // namespace mimosa
