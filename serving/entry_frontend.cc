// Admission of requests and tracking of running ones.
#include "serving/entry_frontend.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "base/saturated_cast.h"
#include "decide/crash_suspects.h"
#include "decide/rendezvous.h"
#include "serving/forward_relay.h"
#include "serving/forwarded_request.h"
#include "serving/local_responses.h"
#include "serving/plain_relay.h"
#include "serving/stream_relay.h"

namespace mimosa {
namespace {

// Retry-After before the first configuration is known: it arrives within a
// second of the store's first response.
constexpr Duration kNoConfigRetryAfter = std::chrono::milliseconds(700);
constexpr Duration kRetryAfterSpread = std::chrono::milliseconds(300);

// Retry-After of a request for a service that neither this daemon nor others
// reach.
constexpr Duration kUnreachableRetryAfter = std::chrono::milliseconds(400);
// Requests of other daemons that run here at once.
constexpr size_t kMaxForwardedRequests = 256;
// Retry-After of a request whose regions have no engine that may run it now.
// Operators empty and refill failure domains in minutes, so a shorter time
// would only bring the caller back in vain.
constexpr Duration kBarrierRetryAfter = std::chrono::seconds(3);
// Engines define priorities from 0 to this, the lowest.
constexpr int kLowestPriority = 9;

// Returns a number in [0, 1) that depends on the id only and is uniformly
// distributed over ids.
double UniformFrom(const RequestId& id) {
  constexpr int kBits = 53;  // That a double represents exactly.
  return std::ldexp(
      static_cast<double>(RendezvousWeight(id.value(), "") >> (64 - kBits)),
      -kBits);
}

// Returns the shared parts of a prompt for a log line.
std::string JoinPromptParts(const CallerRequest& caller) {
  constexpr size_t kMaxLogged = 4;
  std::string joined;
  size_t count = 0;
  for (const PromptPartId& part : caller.shared_prompt_parts) {
    if (++count > kMaxLogged) break;
    if (!joined.empty()) joined += ',';
    joined += part.value();
  }
  return joined;
}

RequestFingerprint Fingerprint(const RelayRequest& request) {
  const CallerRequest& caller = request.caller;
  return FingerprintOf({caller.http.method, caller.host, caller.http.target,
                        request.customer, caller.http.body});
}

std::vector<CrashSuspectId> CrashSuspectsOf(const RelayRequest& request) {
  std::vector<CrashSuspectId> suspects = {SuspectRequest(request.fingerprint)};
  if (!request.service.engine) return suspects;
  for (const PromptPartId& part : request.caller.shared_prompt_parts)
    suspects.push_back(SuspectPromptPart(part));
  return suspects;
}

std::optional<int> PriorityOf(const SiteRoute& route,
                              const SiteCustomer* customer) {
  const int priority = customer != nullptr && customer->priority
                           ? *customer->priority
                           : route.priority;
  return std::clamp(priority, 0, kLowestPriority);
}

AllowedRegions RegionsOf(const SiteRoute& route, const SiteCustomer* customer) {
  AllowedRegions regions;
  regions.Restrict(route.allowed_regions);
  if (customer != nullptr) regions.Restrict(customer->allowed_regions);
  return regions;
}

// Returns the name of the log line of a request that has ended.
const char* EndEventName(const RelayResult& result) {
  if (result.truncated_by_shutdown) return "request_cut";
  return IsSuccess(result.status) ? "request_answered" : "request_failed";
}

}  // namespace

struct EntryFrontend::RunningRequest {
  std::unique_ptr<Relay> relay;
  RelayRequest request;  // Without the HTTP request.
  std::shared_ptr<HttpExchange> exchange;
};

EntryFrontend::EntryFrontend(const RelayDeps* deps,
                             ReplicatedRateLimiter* rate_limiter,
                             ConfigSource config)
    : deps_(deps), rate_limiter_(rate_limiter), config_(std::move(config)) {}

EntryFrontend::~EntryFrontend() = default;

void EntryFrontend::OnRequest(std::shared_ptr<HttpExchange> exchange) {
  RelayRequest request;
  request.arrived = deps_->loop->Now();
  const auto config = config_();
  if (config == nullptr) {
    Refuse(exchange.get(), request,
           {kStatusUnavailable, kNoConfigRetryAfter, "no_configuration"});
    return;
  }
  const bool well_formed = leaf::try_handle_all(
      [&]() -> leaf::result<bool> {
        BOOST_LEAF_ASSIGN(request.caller,
                          deps_->format->ReadRequest(exchange->request()));
        return true;
      },
      [&](RequestError error) {
        Refuse(exchange.get(), request,
               {kStatusBadRequest, Duration::zero(), RequestErrorName(error)});
        return false;
      },
      [] { return false; });
  if (!well_formed) return;
  Refusal refusal;
  if (!Admit(*config, &request, &refusal)) {
    Refuse(exchange.get(), request, refusal);
    return;
  }
  StartRelay(std::move(request), exchange);
}

bool EntryFrontend::Admit(const SiteConfig& config, RelayRequest* request,
                          Refusal* refusal) {
  CallerRequest& caller = request->caller;
  const SiteRoute* route = config.FindRoute(caller.host, caller.http.target);
  if (route == nullptr) {
    *refusal = {kStatusNotFound, Duration::zero(), "no_route"};
    return false;
  }
  request->route = *route;
  if (!deps_->buffers->MayAdmit(caller.http)) {
    *refusal = {kStatusUnavailable, BufferMonitor::kRetryAfter, "no_memory"};
    return false;
  }
  const SiteCustomer* customer =
      caller.key.empty() ? nullptr : config.FindCustomerByKey(caller.key);
  if (customer == nullptr && !route->allows_anonymous &&
      !config.customers().empty()) {
    *refusal = {kStatusUnauthorized, Duration::zero(), "unknown_key"};
    return false;
  }
  request->allowed_regions = RegionsOf(*route, customer);
  const SiteService* service = PickService(config, *request);
  if (service == nullptr) {
    *refusal = {kStatusUnavailable, kNoConfigRetryAfter, "no_service"};
    return false;
  }
  request->service = *service;
  if (customer != nullptr && !route->allows_anonymous)
    request->customer = customer->id;
  if (!AdmitForService(customer, request, refusal)) return false;
  if (deps_->helpers->Advise(service->id, request->allowed_regions) ==
      HelperExchange::Advice::kRefuse) {
    *refusal = {kStatusUnavailable, kUnreachableRetryAfter, "unreachable"};
    return false;
  }
  Duration timeout = caller.timeout.value_or(kDefaultTimeout);
  if (route->timeout > Duration::zero())
    timeout = std::min(timeout, route->timeout);
  request->deadline = request->arrived + timeout;
  deps_->retry_budget->RecordRequest(service->id, request->arrived);
  request->rights = CallRights::Create(deps_->retry_budget, service->id);
  request->runs = RunRights::Create(route->retry_policy, route->max_attempts);
  if (request->customer.empty()) return true;
  return ChargeRateLimit(*customer, request, refusal);
}

bool EntryFrontend::AdmitForService(const SiteCustomer* customer,
                                    RelayRequest* request, Refusal* refusal) {
  const bool is_admitted =
      request->service.engine
          ? AdmitsStream(*request)
          : deps_->shutdown->AdmitsRequest(request->arrived);
  if (!is_admitted) {
    *refusal = {kStatusUnavailable, kShutdownRetryAfter, kShutdownReason};
    return false;
  }
  request->priority = PriorityOf(request->route, customer);
  request->fingerprint = Fingerprint(*request);
  request->crash_suspects = CrashSuspectsOf(*request);
  const CrashQuarantine::Decision decision =
      deps_->crash_guard->Decide(request->crash_suspects);
  if (decision.verdict == CrashQuarantine::Verdict::kRefuse) {
    *refusal = {kStatusUnavailable, Duration::zero(),
                QuarantineReason(decision.suspect)};
    return false;
  }
  return AdmitWithinBoundaries(*request, refusal);
}

bool EntryFrontend::AdmitsStream(const RelayRequest& request) const {
  const auto estimate = deps_->stream_durations->Find(
      request.service.id,
      LikelyOutput(request.caller.token_counts.value_or(TokenCounts{})));
  return deps_->shutdown->AdmitsStream(
      request.arrived,
      estimate ? std::optional(estimate->total()) : std::nullopt);
}

bool EntryFrontend::AdmitWithinBoundaries(const RelayRequest& request,
                                          Refusal* refusal) {
  SelectionQuery query;
  query.service = request.service.id;
  query.role = request.service.engine ? EngineRole::kDecode : EngineRole::kNone;
  query.allowed_regions = &request.allowed_regions;
  const Barrier barrier = deps_->selector->FindBarrier(query);
  if (barrier == Barrier::kNone) return true;
  ++counters_.refused_by_barrier[static_cast<size_t>(barrier)];
  // Engines may start in a region that exists, in no other.
  const bool may_change = barrier == Barrier::kEvacuated ||
                          !deps_->selector->IsNowhere(request.allowed_regions);
  *refusal = {kStatusUnavailable,
              may_change ? kBarrierRetryAfter : Duration::zero(),
              BarrierName(barrier)};
  return false;
}

void EntryFrontend::OnForwardedRequest(
    const std::shared_ptr<HttpExchange>& exchange) {
  RelayRequest request;
  if (const char* reason = AdmitForwarded(*exchange, &request)) {
    RefuseForwarded(exchange.get(), request, reason);
    return;
  }
  ++counters_.forwarded_here;
  ++running_forwarded_;
  StartRelay(std::move(request), exchange);
}

const char* EntryFrontend::AdmitForwarded(const HttpExchange& exchange,
                                          RelayRequest* request) {
  request->arrived = deps_->loop->Now();
  HttpRequest http = exchange.request();
  const auto envelope = TakeForwardEnvelope(&http.headers);
  if (!envelope ||
      !IsFromMember(*envelope, exchange.client().ip, deps_->helpers->members()))
    return "not_from_a_member";
  request->forwarded_by = envelope->sender;
  const bool well_formed = leaf::try_handle_all(
      [&]() -> leaf::result<bool> {
        BOOST_LEAF_ASSIGN(request->caller,
                          deps_->format->ReadRequest(std::move(http)));
        return true;
      },
      [] { return false; });
  if (!well_formed) return "unreadable";
  const auto config = config_();
  if (config == nullptr) return "no_configuration";
  const CallerRequest& caller = request->caller;
  const SiteRoute* route = config->FindRoute(caller.host, caller.http.target);
  const SiteService* service = config->FindService(envelope->service);
  const SiteCustomer* customer = config->FindCustomer(envelope->customer);
  if (route == nullptr || service == nullptr ||
      (customer == nullptr && !envelope->customer.empty()))
    return "other_configuration";
  request->allowed_regions = RegionsOf(*route, customer);
  if (!deps_->helpers->MayReceive(envelope->sender, request->allowed_regions))
    return "outside_regions";
  if (running_forwarded_ >= kMaxForwardedRequests) return "full";
  if (!deps_->buffers->MayAdmit(exchange.request())) return "no_memory";
  request->route = *route;
  request->service = *service;
  request->customer = envelope->customer;
  request->rights = CallRights::Create(deps_->retry_budget, service->id,
                                       envelope->prefill_accepted);
  request->runs = RunRights::Create(route->retry_policy, route->max_attempts);
  request->deadline = request->arrived + envelope->time_left;
  Refusal refusal;
  return AdmitForService(customer, request, &refusal) ? nullptr
                                                      : refusal.reason;
}

void EntryFrontend::RefuseForwarded(HttpExchange* exchange,
                                    const RelayRequest& request,
                                    const char* reason) {
  ++counters_.forwarded_refused;
  exchange->Respond(ForwardRefusal());
  deps_->log->Write(LogLine("forwarded_request_refused")
                        .Add("request", request.caller.id.value())
                        .Add("sender", request.forwarded_by)
                        .Add("client", exchange->client().ip)
                        .Add("why", reason));
}

bool EntryFrontend::ChargeRateLimit(const SiteCustomer& customer,
                                    RelayRequest* request, Refusal* refusal) {
  if (customer.rate_per_second <= 0) return true;
  double cost = 1;
  if (customer.rate_in_tokens) {
    const auto& counts = request->caller.token_counts;
    cost =
        counts
            ? static_cast<double>((counts->prompt + counts->max_output).count())
            : customer.default_tokens;
  }
  Duration retry_after{};
  if (rate_limiter_->TryAdmit(customer.id, cost, request->arrived,
                              &retry_after))
    return true;
  deps_->log->Write(
      LogLine("allotment_spent")
          .Add("request", request->caller.id.value())
          .Add("customer", customer.id.value())
          .Add("cost", SaturatedCast<int64_t>(cost))
          .Add("level", SaturatedCast<int64_t>(rate_limiter_->BucketLevel(
                            customer.id, request->arrived)))
          .AddMillis("report_age_ms",
                     rate_limiter_->ReportAge(request->arrived)));
  *refusal = {kStatusTooManyRequests, retry_after, "over_allotment"};
  return false;
}

const SiteService* EntryFrontend::PickService(
    const SiteConfig& config, const RelayRequest& request) const {
  const SiteService* fallback = nullptr;
  std::vector<std::pair<double, const SiteService*>> candidates;
  double total_weight = 0;
  for (const TrafficShare& share : request.route.traffic_split) {
    const SiteService* service = config.FindService(share.service);
    if (service == nullptr || share.weight <= 0) continue;
    fallback = service;
    const EngineRole role =
        service->engine ? EngineRole::kDecode : EngineRole::kNone;
    if (!deps_->selector->HasBackEnd(service->id, role,
                                     &request.allowed_regions))
      continue;
    candidates.emplace_back(share.weight, service);
    total_weight += share.weight;
  }
  const CallerRequest& caller = request.caller;
  double remaining = total_weight * UniformFrom(caller.resumed_request.empty()
                                                    ? caller.id
                                                    : caller.resumed_request);
  for (const auto& [weight, service] : candidates) {
    if (remaining < weight) return service;
    remaining -= weight;
  }
  return candidates.empty() ? fallback : candidates.back().second;
}

void EntryFrontend::Refuse(HttpExchange* exchange, const RelayRequest& request,
                           const Refusal& refusal) {
  const bool retriable = refusal.retry_after > Duration::zero();
  Duration retry_after = refusal.retry_after;
  if (retriable)
    retry_after += Scaled(kRetryAfterSpread, deps_->random->UniformDouble());
  exchange->Respond(retriable ? RetryLaterResponse(refusal.status, retry_after)
                              : EmptyResponse(refusal.status));
  counters_.responses.Add(refusal.status);
  deps_->log->Write(LogLine("request_refused")
                        .Add("request", request.caller.id.value())
                        .Add("route", request.route.id.value())
                        .Add("customer", request.customer.value())
                        .Add("fingerprint", request.fingerprint.value())
                        .Add("status", refusal.status)
                        .Add("why", refusal.reason)
                        .AddMillis("retry_after_ms", retry_after));
}

void EntryFrontend::StartRelay(RelayRequest request,
                               const std::shared_ptr<HttpExchange>& exchange) {
  const uint64_t serial = next_serial_++;
  auto running = std::make_unique<RunningRequest>();
  running->request = request;
  running->request.caller.http = HttpRequest{};
  running->exchange = exchange;
  running_requests_[serial] = std::move(running);
  exchange->OnClientDisconnected([this, serial] {
    const auto it = running_requests_.find(serial);
    if (it != running_requests_.end())
      it->second->relay->OnCallerDisconnected();
  });
  deps_->buffers->Add(serial, request.caller.id, exchange,
                      [this, serial] { EndStalledReader(serial); });
  const bool forward =
      request.forwarded_by.empty() &&
      deps_->helpers->Advise(request.service.id, request.allowed_regions) ==
          HelperExchange::Advice::kForward;
  StartRelay(serial, std::move(request), forward);
}

void EntryFrontend::StartRelay(uint64_t serial, RelayRequest request,
                               bool forward) {
  RunningRequest& running = *running_requests_.at(serial);
  const auto done = [this, serial](const RelayResult& result) {
    OnRelayDone(serial, result);
  };
  if (forward) {
    ++counters_.forwarded;
    running.relay =
        MakeForwardRelay(*deps_, std::move(request), running.exchange, done);
  } else {
    const auto make_relay =
        request.service.engine ? MakeStreamRelay : MakePlainRelay;
    running.relay =
        make_relay(*deps_, std::move(request), running.exchange, done);
  }
  running.relay->Start();
}

void EntryFrontend::EndRunningRequests() {
  std::vector<uint64_t> serials;
  for (const auto& [serial, running] : running_requests_)
    serials.push_back(serial);
  for (const uint64_t serial : serials) {
    const auto it = running_requests_.find(serial);
    if (it != running_requests_.end()) it->second->relay->OnShutdown();
  }
}

void EntryFrontend::EndStalledReader(uint64_t serial) {
  const auto it = running_requests_.find(serial);
  if (it == running_requests_.end()) return;
  it->second->exchange->Abort();
  it->second->relay->OnCallerDisconnected();
}

void EntryFrontend::OnUnreachable(uint64_t serial) {
  const auto it = running_requests_.find(serial);
  // Destroys the relay later, since its functions are on the stack.
  const std::shared_ptr<Relay> relay = std::move(it->second->relay);
  deps_->loop->Post([relay] {});
  if (it->second->request.forwarded_by.empty()) {
    StartRelay(serial, relay->TakeRequest(), /*forward=*/true);
    return;
  }
  const std::shared_ptr<RunningRequest> running = std::move(it->second);
  running_requests_.erase(it);
  deps_->buffers->Remove(serial);
  --running_forwarded_;
  RefuseForwarded(running->exchange.get(), running->request, "unreachable");
}

void EntryFrontend::OnRelayDone(uint64_t serial, const RelayResult& result) {
  if (result.unreachable) {
    OnUnreachable(serial);
    return;
  }
  const auto it = running_requests_.find(serial);
  const std::shared_ptr<RunningRequest> running = std::move(it->second);
  running_requests_.erase(it);
  deps_->buffers->Remove(serial);
  if (!running->request.forwarded_by.empty()) --running_forwarded_;
  // Destroys the relay later, since its functions are on the stack.
  deps_->loop->Post([running] {});
  const RelayRequest& request = running->request;
  const Duration total = deps_->loop->Now() - request.arrived;
  if (result.caller_disconnected) {
    ++counters_.callers_disconnected;
  } else {
    counters_.responses.Add(result.status);
    counters_.latency.Observe(ToSeconds(total));
  }
  const TokenCounts counts =
      request.caller.token_counts.value_or(TokenCounts{});
  LogLine line(EndEventName(result));
  line.Add("request", request.caller.id.value())
      .Add("route", request.route.id.value())
      .Add("customer", request.customer.value())
      .Add("service", request.service.id.value())
      .Add("fingerprint", request.fingerprint.value())
      .Add("back_end", result.back_end.value())
      .Add("helper", result.helper)
      .Add("forwarded_by", request.forwarded_by)
      .Add("status", result.status)
      .Add("why", result.reason)
      .Add("stage", result.stage)
      .Add("unsent_bytes", result.unsent_bytes)
      .Add("calls", result.calls)
      .Add("prompt", counts.prompt.count())
      .Add("max_output", counts.max_output.count())
      .Add("likely_output", counts.expected_output.value_or(Tokens(0)).count())
      .Add("prompt_parts", JoinPromptParts(request.caller))
      .Add("resumes", request.caller.resumed_request.value())
      .Add("last_event", request.caller.last_event_id.value_or(-1))
      .Add("software_version", result.software_version.value())
      .Add("incarnation", result.incarnation)
      .Add("events", result.events)
      .Add("end",
           result.response_end ? ResponseEndName(*result.response_end) : "")
      .Add("partial_bytes", result.partial_event_bytes)
      .AddMillis("room_ms", result.time_to_reservation)
      .AddMillis("prefill_ms", result.time_to_prefill)
      .AddMillis("first_ms", result.time_to_first_event)
      .AddMillis("gap_ms", result.longest_gap)
      .AddMillis("total_ms", total)
      .AddMillis("left_ms", request.deadline - deps_->loop->Now());
  deps_->log->Write(line);
}

}  // namespace mimosa
