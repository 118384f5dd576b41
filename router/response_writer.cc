// Refusal texts, outcome headers, and the guard against a second response.
#include "router/response_writer.h"

#include <algorithm>
#include <utility>

#include "base/json.h"

namespace mimosa {
namespace {

struct RefusalRow {
  int status;
  const char* name;
  const char* message;
};

// Rows are in the order of enum Refusal.
constexpr RefusalRow kRefusals[kRefusalCount] = {
    {404, "unknown_route", "no route takes this path"},
    {405, "method_not_allowed", "the route doesn't take this method"},
    {401, "no_key", "the route asks for a key"},
    {401, "unknown_key", "the key is not known"},
    {401, "key_withdrawn", "the key was withdrawn"},
    {400, "ambiguous_credentials", "more than one key, or not a bearer key"},
    {400, "key_in_request", "a key may not be part of the path or the body"},
    {400, "malformed_request", "the request can't be understood"},
    {413, "too_large", "the request is larger than the route takes"},
    {429, "rate_limited", "the customer's rate is used up"},
    {413, "charge_above_burst", "the request exceeds the customer's burst"},
    {503, "overloaded", "there is no room before the deadline"},
    {503, "no_back_end", "no backend server takes the request"},
    {502, "back_end_failed", "the backend server failed"},
    {504, "deadline_exceeded", "the deadline has passed"},
    {503, "out_of_touch", "this router is cut off"},
    {503, "leaving", "this router is shutting down"},
    {503, "platform_down", "the request can't be made safe to repeat now"},
    {422, "idempotency_key_reused", "the key belongs to another request"},
    {409, "in_progress", "the first request under this key has not ended"},
};

const RefusalRow& Row(Refusal refusal) {
  return kRefusals[static_cast<size_t>(refusal)];
}

int64_t CeilSeconds(Duration d) {
  return std::chrono::ceil<std::chrono::seconds>(d).count();
}

}  // namespace

const char* OutcomeName(Outcome outcome) {
  switch (outcome) {
    case Outcome::kNotRun:
      return "not-run";
    case Outcome::kRan:
      return "ran";
    case Outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

int RefusalStatus(Refusal refusal) { return Row(refusal).status; }
const char* RefusalName(Refusal refusal) { return Row(refusal).name; }

ResponseWriter::ResponseWriter(std::shared_ptr<HttpExchange> exchange,
                               RequestId id)
    : exchange_(std::move(exchange)), id_(std::move(id)) {}

void ResponseWriter::StartWithOutcome(HttpHeaders* headers, Outcome outcome) {
  headers->Set("Mimosa-Request-Id", id_.value());
  headers->Set("Mimosa-Outcome", OutcomeName(outcome));
  begun_ = true;
  outcome_ = outcome;
}

void ResponseWriter::Refuse(Refusal refusal, Outcome outcome,
                            Duration retry_after, std::string_view message) {
  if (begun_) return;
  refused_ = true;
  refusal_ = refusal;
  Json::Value error(Json::objectValue);
  error["type"] = RefusalName(refusal);
  error["message"] =
      message.empty() ? Row(refusal).message : std::string(message);
  HttpResponse response;
  response.status = RefusalStatus(refusal);
  response.headers.Set("Content-Type", "application/json");
  if (retry_after > Duration::zero()) {
    error["retry_after_ms"] = static_cast<Json::Int64>(ToMillis(retry_after));
    response.headers.Set("Retry-After", std::to_string(std::max<int64_t>(
                                            1, CeilSeconds(retry_after))));
  }
  Json::Value document(Json::objectValue);
  document["error"] = std::move(error);
  response.body = WriteJson(document) + "\n";
  Respond(std::move(response), outcome);
}

void ResponseWriter::Respond(HttpResponse response, Outcome outcome) {
  if (begun_) return;
  StartWithOutcome(&response.headers, outcome);
  status_ = response.status;
  exchange_->Respond(std::move(response));
}

void ResponseWriter::StartStream(int status, HttpHeaders headers,
                                 Outcome outcome, int64_t content_length) {
  if (begun_) return;
  StartWithOutcome(&headers, outcome);
  status_ = status;
  exchange_->StartStream(status, std::move(headers), content_length);
}

void ResponseWriter::Abort(Outcome outcome) {
  if (!begun_) {
    Refuse(Refusal::kBackEndFailed, outcome);
    return;
  }
  outcome_ = outcome;
  exchange_->Abort();
}

}  // namespace mimosa
