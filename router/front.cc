// Admission and the registry of running requests.
#include "router/front.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "base/digest.h"
#include "decide/credentials.h"

namespace mimosa {
namespace {

// Advice to callers of a daemon that can't serve just now.
constexpr Duration kStateRetryAfter = std::chrono::seconds(1);

std::string_view PathOf(std::string_view target) {
  return target.substr(0, target.find('?'));
}

// Headers added for the backend server.
void MarkOutbound(const RequestContext& context, HttpRequest* request) {
  request->headers.Set("Mimosa-Request-Id", context.id.value());
  if (!context.customer.empty())
    request->headers.Set("Mimosa-Customer", context.customer.value());
}

Refusal RefusalFor(CredentialFault fault) {
  switch (fault) {
    case CredentialFault::kKeyInTarget:
    case CredentialFault::kKeyInBody:
      return Refusal::kKeyInRequest;
    default:
      return Refusal::kAmbiguousCredentials;
  }
}

}  // namespace

struct Front::Running {
  // `answer` is shared with the call, which gets its own copy of the context.
  RequestContext context;
  std::unique_ptr<RunningRequest> call;  // null while it is being started
  TimerHandle deadline;
};

Front::Front(EventLoop* loop, const CatalogueView* catalogue,
             const Fleet* fleet, RequestObserver* observer,
             StartCall start_service, StartCall start_model,
             const FrontOptions& options)
    : loop_(loop),
      catalogue_(catalogue),
      fleet_(fleet),
      observer_(observer),
      start_service_(std::move(start_service)),
      start_model_(std::move(start_model)),
      options_(options),
      alive_(std::make_shared<bool>(true)) {}

Front::~Front() { *alive_ = false; }

void Front::OnRequest(std::shared_ptr<HttpExchange> exchange) {
  const HttpRequest& request = exchange->request();
  if (PathOf(request.target) == "/healthz") {
    AnswerHealth(exchange.get());
    return;
  }
  RequestContext context;
  const uint64_t serial = next_serial_++;
  context.id = RequestId(fleet_->self().value() + "/" + std::to_string(serial));
  context.answer = std::make_shared<Answer>(exchange, context.id);
  context.arrived = loop_->Now();
  context.snapshot = catalogue_->current();
  if (!FindRoute(request, &context) ||
      RefuseByState(context.answer.get(), context.route->open()) ||
      !Authenticate(request, &context)) {
    Report(context, {});
    return;
  }
  Begin(serial, std::move(context));
}

bool Front::Ready() {
  if (was_ready_) return true;
  if (catalogue_->current()->version() == CatalogueVersion(0) ||
      fleet_->Find(fleet_->self()) == nullptr || !options_.term_backed())
    return false;
  // A customer whose slot has no owner can't be charged by anybody.
  for (int slot = 0; slot < options_.slots; ++slot) {
    const auto owner = fleet_->SlotOwner(slot);
    if (!owner || fleet_->Find(*owner) == nullptr) return false;
  }
  was_ready_ = true;
  return true;
}

void Front::AnswerHealth(HttpExchange* exchange) {
  const bool in_touch = fleet_->SilenceAge() <= options_.stale_after;
  const bool ready = Ready();
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

bool Front::RefuseByState(Answer* answer, bool open) const {
  if (open || fleet_->SilenceAge() <= options_.stale_after) return false;
  answer->Refuse(Refusal::kOutOfTouch, Outcome::kNotRun, kStateRetryAfter);
  return true;
}

bool Front::FindRoute(const HttpRequest& request,
                      RequestContext* context) const {
  const std::string_view path = PathOf(request.target);
  context->route = context->snapshot->FindRoute(request.method, path);
  if (context->route == nullptr) {
    const bool starting = context->snapshot->version() == CatalogueVersion(0);
    if (starting) {
      context->answer->Refuse(Refusal::kOutOfTouch, Outcome::kNotRun,
                              kStateRetryAfter);
    } else {
      context->answer->Refuse(Refusal::kUnknownRoute, Outcome::kNotRun);
    }
    return false;
  }
  const auto limit = static_cast<size_t>(context->route->max_body_bytes());
  if (request.body.size() > (limit == 0 ? options_.max_body_bytes : limit)) {
    context->answer->Refuse(Refusal::kTooLarge, Outcome::kNotRun);
    return false;
  }
  context->deadline = context->arrived +
                      std::chrono::milliseconds(context->route->deadline_ms());
  return true;
}

bool Front::Authenticate(const HttpRequest& request,
                         RequestContext* context) const {
  const wire::Route& route = *context->route;
  Credentials credentials = SeparateCredentials(
      request.headers.fields(), request.target, request.body,
      {route.key_cookies().begin(), route.key_cookies().end()});
  // On a route open to all an odd Authorization field is no fault: it is only
  // kept from the backend server.
  const bool in_request = credentials.fault == CredentialFault::kKeyInTarget ||
                          credentials.fault == CredentialFault::kKeyInBody;
  if (credentials.fault != CredentialFault::kNone &&
      (!route.open() || in_request)) {
    context->answer->Refuse(RefusalFor(credentials.fault), Outcome::kNotRun);
    return false;
  }
  if (!route.open()) {
    if (credentials.key.empty()) {
      context->answer->Refuse(Refusal::kNoKey, Outcome::kNotRun);
      return false;
    }
    context->key_digest = Sha256Hex(credentials.key);
    const wire::Customer* customer =
        context->snapshot->CustomerOfKey(context->key_digest);
    if (customer == nullptr) {
      context->answer->Refuse(Refusal::kUnknownKey, Outcome::kNotRun);
      return false;
    }
    context->customer = CustomerId(customer->id());
  }
  context->outbound.method = request.method;
  context->outbound.target = request.target;
  context->outbound.body = request.body;
  if (options_.strip_keys) {
    for (auto& [name, value] : credentials.headers)
      context->outbound.headers.Add(std::move(name), std::move(value));
  } else {
    context->outbound.headers = request.headers;
  }
  MarkOutbound(*context, &context->outbound);
  return true;
}

void Front::Begin(uint64_t serial, RequestContext context) {
  auto running = std::make_unique<Running>();
  // The request itself goes to the call alone: its body may be large.
  HttpRequest outbound = std::move(context.outbound);
  running->context = context;
  context.outbound = std::move(outbound);
  running->deadline =
      loop_->After(context.deadline - loop_->Now(),
                   [this, serial] { End(serial, EndReason::kDeadline); });
  context.answer->exchange().OnClientGone([this, serial, alive = alive_] {
    if (*alive) End(serial, EndReason::kCallerGone);
  });
  running_[serial] = std::move(running);
  const StartCall& start =
      context.route->kind() == wire::MODEL ? start_model_ : start_service_;
  auto call = start(
      std::move(context),
      [this, serial](const RequestResult& result) { OnDone(serial, result); });
  running_[serial]->call = std::move(call);
}

void Front::End(uint64_t serial, EndReason reason) {
  const auto it = running_.find(serial);
  if (it != running_.end() && it->second->call) it->second->call->End(reason);
}

void Front::OnDone(uint64_t serial, const RequestResult& result) {
  const auto it = running_.find(serial);
  if (it == running_.end()) return;
  Report(it->second->context, result);
  // Posted: the call is still on the stack.
  loop_->Post([this, serial, alive = alive_] {
    if (*alive) running_.erase(serial);
  });
}

void Front::SweepKeys() {
  if (!options_.sweep_keys) return;
  const auto snapshot = catalogue_->current();
  std::vector<uint64_t> withdrawn;
  for (const auto& [serial, running] : running_) {
    const RequestContext& context = running->context;
    if (context.customer.empty()) continue;
    const wire::Customer* customer =
        snapshot->CustomerOfKey(context.key_digest);
    if (customer == nullptr || customer->id() != context.customer.value())
      withdrawn.push_back(serial);
  }
  for (const uint64_t serial : withdrawn) End(serial, EndReason::kKeyWithdrawn);
}

void Front::Report(const RequestContext& context, const RequestResult& result) {
  RequestReport report;
  report.customer = context.customer;
  if (context.route != nullptr) {
    report.route = RouteId(context.route->id());
    report.request_class = context.route->request_class();
  }
  report.status = context.answer->status();
  report.outcome = context.answer->outcome();
  report.refusal = context.answer->refusal();
  report.total = loop_->Now() - context.arrived;
  report.result = result;
  observer_->OnRequestEnd(report);
}

}  // namespace mimosa
