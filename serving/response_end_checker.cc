// Requests for signs of life and what their results say.
#include "serving/response_end_checker.h"

#include <utility>

#include "serving/local_responses.h"

namespace mimosa {
namespace {

// An engine that does not respond to such a simple request in this time is
// asked again.
constexpr Duration kRequestTimeout = std::chrono::milliseconds(250);
constexpr int kMisdirected = 421;
constexpr size_t kMaxSignBytes = 1U << 20;

BackEndEntry WithIncarnation(BackEndEntry entry, int64_t incarnation) {
  entry.incarnation = incarnation;
  return entry;
}

}  // namespace

ResponseEndChecker::ResponseEndChecker(const RelayDeps& deps,
                                       const RelayRequest& request,
                                       const BackEndEntry& sender,
                                       int64_t incarnation, int64_t events,
                                       MonoTime began_at, Duration time_left,
                                       const HttpCall& response,
                                       Callback callback)
    : deps_(deps),
      request_(request),
      response_(response),
      sender_(WithIncarnation(sender, incarnation)),
      closed_at_(deps.loop->Now()),
      judge_(sender_, events, began_at, closed_at_, time_left),
      callback_(std::move(callback)) {
  ++deps_.counters->ends_checked;
  ScheduleRequest();
}

bool ResponseEndChecker::MaySend() const {
  const CallObstacle obstacle = deps_.selector->FindObstacle(
      sender_, CallPurpose::kControl, deps_.loop->Now());
  return obstacle != CallObstacle::kPausing &&
         obstacle != CallObstacle::kEvacuated;
}

void ResponseEndChecker::ScheduleRequest() {
  const MonoTime now = deps_.loop->Now();
  judge_.DecideBy(deps_.shutdown->checks_end_at());
  const auto at = judge_.NextRequestAt(asked_, now);
  timer_ = deps_.loop->After(at ? *at - now : Duration::zero(), [this, at] {
    if (at) {
      SendRequest();
    } else {
      Finish(EndVerdict::kTruncated);
    }
  });
}

void ResponseEndChecker::SendRequest() {
  ++asked_;
  asked_at_ = deps_.loop->Now();
  if (!MaySend()) {
    ScheduleRequest();
    return;
  }
  HttpCallOptions options;
  options.to = {sender_.ip, sender_.port};
  options.connect_timeout = kRequestTimeout;
  options.head_timeout = kRequestTimeout;
  options.total_timeout = kRequestTimeout;
  options.max_response_bytes = kMaxSignBytes;
  options.reuse_connection = true;
  options.open_connection = true;
  options.may_send = [this] { return MaySend(); };
  // What counts is in the head, or in a JSON object, which ends itself.
  options.accept_close_delimited = true;
  call_ = Fetch(deps_.client, options,
                sender_.role == EngineRole::kNone
                    ? deps_.format->WriteProbe(request_.service, sender_.id)
                    : deps_.format->WriteReportRequest(sender_.id),
                [this](const HttpResult& result) { OnResult(result); });
}

void ResponseEndChecker::OnResult(const HttpResult& result) {
  const EndVerdict verdict = judge_.Judge(ReadSign(result), asked_, asked_at_);
  if (verdict == EndVerdict::kUndecided) {
    ScheduleRequest();
  } else {
    Finish(verdict);
  }
}

LifeSign ResponseEndChecker::ReadSign(const HttpResult& result) const {
  LifeSign sign;
  sign.connection_reset = response_.reset_after_end();
  if (!result.ok) {
    if (result.failure == HttpFailure::kRefused)
      sign.kind = LifeSign::Kind::kRefused;
    return sign;
  }
  const HttpResponse& response = result.response;
  const ServerStatement statement = deps_.format->ReadStatement(response);
  sign.back_end = statement.id;
  sign.incarnation = statement.incarnation;
  if (statement.events_by_run) {
    sign.lists_runs = true;
    const auto run = statement.events_by_run->find(request_.caller.id);
    if (run != statement.events_by_run->end())
      sign.events_generated = run->second;
  }
  const bool is_statement =
      sender_.role == EngineRole::kNone
          ? statement.id.has_value()
          : deps_.format->ReadReport(response.body) != std::nullopt;
  if (response.status == kMisdirected ||
      (!statement.incarnation && IsRestarted())) {
    sign.kind = LifeSign::Kind::kOther;
  } else if (is_statement) {
    sign.kind = LifeSign::Kind::kStatement;
  } else if (!IsSuccess(response.status)) {
    sign.kind = LifeSign::Kind::kRejection;
  }
  if (statement.incarnation && sign.kind == LifeSign::Kind::kStatement)
    deps_.selector->RecordIncarnation(sender_.id, *statement.incarnation);
  return sign;
}

bool ResponseEndChecker::IsRestarted() const {
  // A restarted one may have the earlier start, by its clock.
  const int64_t latest = deps_.selector->LatestIncarnation(sender_.id);
  return latest != 0 && latest != sender_.incarnation;
}

void ResponseEndChecker::Finish(EndVerdict verdict) {
  const bool is_complete = verdict == EndVerdict::kComplete;
  if (!is_complete) ++deps_.counters->ends_unconfirmed;
  deps_.log->Write(LogLine("response_end_checked")
                       .Add("request", request_.caller.id.value())
                       .Add("back_end", sender_.id.value())
                       .Add("incarnation", sender_.incarnation)
                       .Add("complete", is_complete)
                       .Add("terminated", verdict == EndVerdict::kLost)
                       .Add("reset", response_.reset_after_end())
                       .Add("listed", judge_.is_run_listed())
                       .Add("asked", asked_)
                       .AddMillis("after_ms", deps_.loop->Now() - closed_at_));
  const Callback callback = callback_;
  callback(verdict);
}

}  // namespace mimosa
