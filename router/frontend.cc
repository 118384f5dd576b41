// Admits requests and keeps the table of running ones.
#include "router/frontend.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "base/digest.h"
#include "decide/credentials.h"

namespace mimosa {
namespace {

// Retry-After while this daemon can't serve.
constexpr Duration kOutOfTouchRetryAfter = std::chrono::seconds(1);

std::string_view PathOf(std::string_view target) {
  return target.substr(0, target.find('?'));
}

// Adds the headers that tell the backend server the request id and customer.
void AddOutboundHeaders(const RequestContext& context, HttpRequest* request) {
  request->headers.Set("Mimosa-Request-Id", context.id.value());
  if (!context.customer.empty())
    request->headers.Set("Mimosa-Customer", context.customer.value());
}

Refusal RefusalFor(CredentialError error) {
  switch (error) {
    case CredentialError::kKeyInTarget:
    case CredentialError::kKeyInBody:
      return Refusal::kKeyInRequest;
    default:
      return Refusal::kAmbiguousCredentials;
  }
}

}  // namespace

struct Frontend::RunningEntry {
  // The call has its own copy of this context; both share `answer`.
  RequestContext context;
  std::unique_ptr<RunningRequest> call;  // null until the call has been started
  TimerHandle deadline_timer;
};

Frontend::Frontend(EventLoop* loop, const CatalogueView* catalogue,
                   const Fleet* fleet, RequestObserver* observer,
                   StartCall start_service_call, StartCall start_model_call,
                   const FrontendOptions& options)
    : loop_(loop),
      catalogue_(catalogue),
      fleet_(fleet),
      observer_(observer),
      start_service_call_(std::move(start_service_call)),
      start_model_call_(std::move(start_model_call)),
      options_(options),
      alive_(std::make_shared<bool>(true)) {}

Frontend::~Frontend() { *alive_ = false; }

void Frontend::OnRequest(std::shared_ptr<HttpExchange> exchange) {
  const HttpRequest& request = exchange->request();
  if (PathOf(request.target) == "/healthz") {
    AnswerHealthCheck(exchange.get());
    return;
  }
  RequestContext context;
  const uint64_t serial = next_serial_++;
  context.id = RequestId(fleet_->self().value() + "/" + std::to_string(serial));
  context.response_writer =
      std::make_shared<ResponseWriter>(exchange, context.id);
  context.arrived_at = loop_->Now();
  context.snapshot = catalogue_->current();
  if (!FindRoute(request, &context) ||
      RefuseIfOutOfTouch(context.response_writer.get(),
                         context.route->open()) ||
      !Authenticate(request, &context)) {
    ReportRequest(context, {});
    return;
  }
  StartRequest(serial, std::move(context));
}

bool Frontend::IsReady() {
  if (was_ready_) return true;
  if (catalogue_->current()->version() == CatalogueVersion(0) ||
      fleet_->FindMember(fleet_->self()) == nullptr ||
      !options_.lease_has_required_witnesses())
    return false;
  // No daemon can charge a customer whose slot has no owner.
  for (int slot = 0; slot < options_.slot_count; ++slot) {
    const auto owner = fleet_->SlotOwner(slot);
    if (!owner || fleet_->FindMember(*owner) == nullptr) return false;
  }
  was_ready_ = true;
  return true;
}

void Frontend::AnswerHealthCheck(HttpExchange* exchange) {
  const bool in_touch = fleet_->TimeSinceAnyContact() <= options_.max_silence;
  const bool ready = IsReady();
  HttpResponse response;
  response.status = ready && in_touch && !leaving_ ? 200 : 503;
  response.headers.Set("Content-Type", "text/plain");
  if (leaving_) {
    response.body = "leaving\n";
  } else if (!ready) {
    response.body = "starting\n";
  } else {
    response.body = in_touch ? "ok\n" : "out of touch\n";
  }
  exchange->Respond(std::move(response));
}

bool Frontend::RefuseIfOutOfTouch(ResponseWriter* writer, bool open) const {
  if (open || fleet_->TimeSinceAnyContact() <= options_.max_silence)
    return false;
  writer->Refuse(Refusal::kOutOfTouch, Outcome::kNotRun, kOutOfTouchRetryAfter);
  return true;
}

bool Frontend::FindRoute(const HttpRequest& request,
                         RequestContext* context) const {
  const std::string_view path = PathOf(request.target);
  context->route = context->snapshot->FindRoute(request.method, path);
  if (context->route == nullptr) {
    const bool starting = context->snapshot->version() == CatalogueVersion(0);
    if (starting) {
      context->response_writer->Refuse(Refusal::kOutOfTouch, Outcome::kNotRun,
                                       kOutOfTouchRetryAfter);
    } else {
      context->response_writer->Refuse(Refusal::kUnknownRoute,
                                       Outcome::kNotRun);
    }
    return false;
  }
  const auto limit = static_cast<size_t>(context->route->max_body_bytes());
  if (request.body.size() > (limit == 0 ? options_.max_body_bytes : limit)) {
    context->response_writer->Refuse(Refusal::kTooLarge, Outcome::kNotRun);
    return false;
  }
  context->deadline = context->arrived_at +
                      std::chrono::milliseconds(context->route->deadline_ms());
  return true;
}

bool Frontend::Authenticate(const HttpRequest& request,
                            RequestContext* context) const {
  const wire::Route& route = *context->route;
  Credentials credentials = ExtractCredentials(
      request.headers.fields(), request.target, request.body,
      {route.key_cookies().begin(), route.key_cookies().end()});
  // On an open route an unusable Authorization field isn't an error; it is only
  // removed before the request is sent to the backend server.
  const bool key_in_request =
      credentials.error == CredentialError::kKeyInTarget ||
      credentials.error == CredentialError::kKeyInBody;
  if (credentials.error != CredentialError::kNone &&
      (!route.open() || key_in_request)) {
    context->response_writer->Refuse(RefusalFor(credentials.error),
                                     Outcome::kNotRun);
    return false;
  }
  if (!route.open()) {
    if (credentials.key.empty()) {
      context->response_writer->Refuse(Refusal::kNoKey, Outcome::kNotRun);
      return false;
    }
    context->key_digest = Sha256Hex(credentials.key);
    const wire::Customer* customer =
        context->snapshot->FindCustomerByKeyDigest(context->key_digest);
    if (customer == nullptr) {
      context->response_writer->Refuse(Refusal::kUnknownKey, Outcome::kNotRun);
      return false;
    }
    context->customer = CustomerId(customer->id());
  }
  context->outbound_request.method = request.method;
  context->outbound_request.target = request.target;
  context->outbound_request.body = request.body;
  if (options_.strip_keys) {
    for (auto& [name, value] : credentials.headers)
      context->outbound_request.headers.Add(std::move(name), std::move(value));
  } else {
    context->outbound_request.headers = request.headers;
  }
  AddOutboundHeaders(*context, &context->outbound_request);
  return true;
}

void Frontend::StartRequest(uint64_t serial, RequestContext context) {
  auto entry = std::make_unique<RunningEntry>();
  // Only the call gets the outbound request, because its body may be large.
  HttpRequest outbound = std::move(context.outbound_request);
  entry->context = context;
  context.outbound_request = std::move(outbound);
  entry->deadline_timer = loop_->After(
      context.deadline - loop_->Now(),
      [this, serial] { CancelRequest(serial, CancelReason::kDeadline); });
  context.response_writer->exchange().OnClientDisconnected(
      [this, serial, alive = alive_] {
        if (*alive) CancelRequest(serial, CancelReason::kCallerDisconnected);
      });
  running_[serial] = std::move(entry);
  const StartCall& start = context.route->kind() == wire::MODEL
                               ? start_model_call_
                               : start_service_call_;
  auto call =
      start(std::move(context), [this, serial](const RequestResult& result) {
        OnRequestDone(serial, result);
      });
  running_[serial]->call = std::move(call);
}

void Frontend::CancelRequest(uint64_t serial, CancelReason reason) {
  const auto it = running_.find(serial);
  if (it != running_.end() && it->second->call)
    it->second->call->Cancel(reason);
}

void Frontend::OnRequestDone(uint64_t serial, const RequestResult& result) {
  const auto it = running_.find(serial);
  if (it == running_.end()) return;
  ReportRequest(it->second->context, result);
  // Posted because the call is still on the stack.
  loop_->Post([this, serial, alive = alive_] {
    if (*alive) running_.erase(serial);
  });
}

void Frontend::CancelRequestsWithWithdrawnKeys() {
  if (!options_.recheck_keys) return;
  const auto snapshot = catalogue_->current();
  std::vector<uint64_t> withdrawn;
  for (const auto& [serial, entry] : running_) {
    const RequestContext& context = entry->context;
    if (context.customer.empty()) continue;
    const wire::Customer* customer =
        snapshot->FindCustomerByKeyDigest(context.key_digest);
    if (customer == nullptr || customer->id() != context.customer.value())
      withdrawn.push_back(serial);
  }
  for (const uint64_t serial : withdrawn)
    CancelRequest(serial, CancelReason::kKeyWithdrawn);
}

void Frontend::ReportRequest(const RequestContext& context,
                             const RequestResult& result) {
  RequestReport report;
  report.customer = context.customer;
  if (context.route != nullptr) {
    report.route = RouteId(context.route->id());
    report.request_class = context.route->request_class();
  }
  report.status = context.response_writer->status();
  report.outcome = context.response_writer->outcome();
  report.refusal = context.response_writer->refusal();
  report.total_duration = loop_->Now() - context.arrived_at;
  report.result = result;
  observer_->OnRequestEnd(report);
}

}  // namespace mimosa
