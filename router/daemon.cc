// Creates and connects the parts of the daemon; status page and graceful
// shutdown.
#include "router/daemon.h"

#include <algorithm>
#include <array>
#include <set>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>

#include "base/digest.h"
#include "base/logging.h"
#include "base/metrics.h"
#include "base/random.h"
#include "net/event_loop.h"
#include "net/http.h"
#include "platform/store_client.h"
#include "router/catalogue_sync.h"
#include "router/claim_registry.h"
#include "router/drain_checker.h"
#include "router/engine_canceller.h"
#include "router/fleet_limiter.h"
#include "router/fleet_manager.h"
#include "router/fleet_reservation_client.h"
#include "router/frontend.h"
#include "router/leaving_vm_tracker.h"
#include "router/model_call.h"
#include "router/operator_port.h"
#include "router/orphan_canceller.h"
#include "router/peer_bus.h"
#include "router/request_metrics.h"
#include "router/service_call.h"
#include "router/service_pool.h"

namespace mimosa {
namespace {

// Interval at which a leaving daemon checks whether its last request has ended.
constexpr Duration kDrainPollInterval = std::chrono::milliseconds(50);

// After it stops accepting, the server keeps idle connections for another
// second, for requests in flight; this covers it.
constexpr Duration kIdleConnectionGrace = std::chrono::milliseconds(1100);

// The mechanisms that tests may turn off with the setting "disable"
// (docs/DEVELOPING.md).
constexpr std::array<std::string_view, 15> kMechanisms = {"term",
                                                          "witness",
                                                          "home",
                                                          "allotment-expiry",
                                                          "claim",
                                                          "write-once",
                                                          "whole-check",
                                                          "attempt-check",
                                                          "disconnect-cancel",
                                                          "orphan-sweep",
                                                          "drain",
                                                          "graceful",
                                                          "key-strip",
                                                          "key-sweep",
                                                          "peer-catalogue"};

using DisabledMechanisms = std::set<std::string>;

bool IsEnabled(const DisabledMechanisms& disabled, const char* mechanism) {
  return disabled.count(mechanism) == 0;
}

DisabledMechanisms SplitNames(const std::string& text) {
  DisabledMechanisms names;
  std::istringstream stream(text);
  for (std::string name; std::getline(stream, name, ',');) names.insert(name);
  return names;
}

FleetOptions FleetOptionsOf(const wire::RouterSettings& settings) {
  FleetOptions options;
  options.name = settings.name();
  options.peer_address = ParseEndpointOrDefault(
      settings.peer_advertise().empty() ? settings.peer_listen()
                                        : settings.peer_advertise());
  options.failure_domain = FailureDomain(settings.failure_domain());
  options.region = settings.region();
  options.deployment = settings.deployment();
  options.lease_duration = std::chrono::milliseconds(settings.grant_ms());
  options.slot_count = static_cast<int>(settings.slots());
  options.disabled_mechanisms = SplitNames(settings.disable());
  return options;
}

FleetLimiterOptions LimiterOptionsOf(const wire::RouterSettings& settings) {
  FleetLimiterOptions options;
  options.lease_duration = std::chrono::milliseconds(settings.grant_ms());
  options.slot_count = static_cast<int>(settings.slots());
  options.static_split = settings.limits() == "static";
  options.disabled_mechanisms = SplitNames(settings.disable());
  return options;
}

ReservationOptions ReservationOptionsOf(const wire::RouterSettings& settings,
                                        const DrainChecker* drain_checker) {
  ReservationOptions options;
  options.ledger_server.is_draining =
      [drain_checker](const wire::BackEnd& engine) {
        return drain_checker->IsDraining(engine);
      };
  if (settings.placement() == "random") {
    options.placement = PlacementKind::kRandom;
  } else if (settings.placement() == "round-robin") {
    options.placement = PlacementKind::kRoundRobin;
  } else if (settings.placement() == "least-loaded") {
    options.placement = PlacementKind::kLeastLoaded;
  }
  if (settings.queue() == "fifo")
    options.ledger_server.queue = QueueKind::kFifo;
  if (settings.shedding() == "none")
    options.ledger_server.shedding = SheddingKind::kNone;
  return options;
}

StoreClientOptions StoreOptionsOf(const wire::RouterSettings& settings) {
  StoreClientOptions options;
  options.store = ParseEndpointOrDefault(settings.platform());
  return options;
}

FrontendOptions FrontendOptionsOf(const wire::RouterSettings& settings) {
  const DisabledMechanisms disabled = SplitNames(settings.disable());
  FrontendOptions options;
  options.slot_count = static_cast<int>(settings.slots());
  options.max_body_bytes = static_cast<size_t>(settings.max_body_bytes());
  options.max_silence = std::chrono::milliseconds(settings.stale_ms());
  options.strip_keys = IsEnabled(disabled, "key-strip");
  options.recheck_keys = IsEnabled(disabled, "key-sweep");
  return options;
}

ModelCallSwitches ModelSwitchesOf(const wire::RouterSettings& settings) {
  const DisabledMechanisms disabled = SplitNames(settings.disable());
  ModelCallSwitches switches;
  switches.check_identity = IsEnabled(disabled, "attempt-check");
  switches.cancel_at_engine = IsEnabled(disabled, "disconnect-cancel");
  return switches;
}

ServiceCallSwitches ServiceSwitchesOf(const wire::RouterSettings& settings) {
  const DisabledMechanisms disabled = SplitNames(settings.disable());
  ServiceCallSwitches switches;
  switches.claim_idempotency_keys = IsEnabled(disabled, "claim");
  switches.abort_truncated = IsEnabled(disabled, "whole-check");
  switches.send_at_most_once = IsEnabled(disabled, "write-once");
  return switches;
}

// Members are declared in the order in which they depend on each other, and
// destroyed in the reverse order.
class DaemonImpl : public Daemon {
 public:
  DaemonImpl(const wire::RouterSettings& settings,
             std::unique_ptr<LwsLoop> loop)
      : settings_(settings),
        disabled_(SplitNames(settings.disable())),
        loop_(std::move(loop)),
        random_(RandomSeed()),
        client_(MakeHttpClient(loop_.get())),
        kv_(loop_.get(), client_.get(), StoreOptionsOf(settings), &metrics_) {}

  ~DaemonImpl() override {
    if (fleet_) fleet_->DetachSlotStateHandler();
  }

  // Creates all parts and listens on all ports. The other member functions may
  // be used only after it succeeds.
  leaf::result<void> Start() {
    for (const std::string& name : disabled_) {
      if (std::find(kMechanisms.begin(), kMechanisms.end(), name) ==
          kMechanisms.end())
        return leaf::new_error(StartError::kUnknownMechanism);
    }
    bus_ = MakePeerBus(loop_.get(), client_.get(),
                       {ParseEndpointOrDefault(settings_.peer_listen()),
                        settings_.peer_secret()});
    if (!bus_) return leaf::new_error(StartError::kPeerPort);
    CreateFleetComponents();
    CreateRequestComponents();
    return Listen();
  }

  void Run() override {
    loop_->OnSignal([this] { BeginLeaving(); });
    fleet_->Start();
    catalogue_->Start();
    loop_->Run();
  }

 private:
  void CreateFleetComponents() {
    fleet_ = std::make_unique<FleetManager>(
        loop_.get(), &kv_, bus_.get(), &random_, FleetOptionsOf(settings_));
    catalogue_ = std::make_unique<CatalogueSync>(
        loop_.get(), &kv_, bus_.get(), fleet_.get(), settings_.deployment(),
        IsEnabled(disabled_, "peer-catalogue"));
    limiter_ = std::make_unique<FleetLimiter>(
        loop_.get(), fleet_.get(), bus_.get(), LimiterOptionsOf(settings_),
        [this](const CustomerId& id) { return LimitsOf(id); });
    fleet_->SetSlotStateHandler(limiter_.get());
    leaving_vms_ = std::make_unique<LeavingVmTracker>(loop_.get(), &kv_,
                                                      bus_.get(), fleet_.get());
    drain_checker_ = std::make_unique<DrainChecker>(
        leaving_vms_.get(), IsEnabled(disabled_, "drain"));
    claim_registry_ = MakeClaimRegistry(loop_.get(), &kv_,
                                        settings_.deployment(), fleet_.get());
  }

  void CreateRequestComponents() {
    reservations_ = std::make_unique<FleetReservationClient>(
        loop_.get(), bus_.get(), fleet_.get(), catalogue_.get(), client_.get(),
        &random_, ReservationOptionsOf(settings_, drain_checker_.get()));
    leaving_vms_->SetObserver(
        [this] { reservations_->ledger_server()->SyncLedgers(); });
    if (IsEnabled(disabled_, "orphan-sweep")) {
      orphan_canceller_ = std::make_unique<OrphanCanceller>(
          loop_.get(), fleet_.get(), catalogue_.get(), client_.get(),
          reservations_->ledger_server(),
          std::chrono::milliseconds(settings_.grant_ms()));
    }
    canceller_ = std::make_unique<EngineCanceller>(loop_.get(), client_.get());
    service_pool_ = std::make_unique<ServicePool>(
        drain_checker_.get(), FailureDomain(settings_.failure_domain()));
    request_metrics_ = std::make_unique<RequestMetrics>(&metrics_);
    const ServiceCallDeps service{
        loop_.get(),           client_.get(),
        limiter_.get(),        service_pool_.get(),
        claim_registry_.get(), ServiceSwitchesOf(settings_)};
    const ModelCallDeps model{loop_.get(),
                              client_.get(),
                              limiter_.get(),
                              reservations_.get(),
                              canceller_.get(),
                              &model_counters_,
                              ModelSwitchesOf(settings_)};
    frontend_ = std::make_unique<Frontend>(
        loop_.get(), catalogue_.get(), fleet_.get(), request_metrics_.get(),
        [service](RequestContext context, RequestDoneCallback done) {
          return StartServiceCall(service, std::move(context), std::move(done));
        },
        [model](RequestContext context, RequestDoneCallback done) {
          return StartModelCall(model, std::move(context), std::move(done));
        },
        MakeFrontendOptions());
    catalogue_->AddObserver([this] { OnCatalogueChanged(); });
    AddGauges();
  }

  FrontendOptions MakeFrontendOptions() const {
    FrontendOptions options = FrontendOptionsOf(settings_);
    // The leases of a newly formed fleet depend on platform leases for a
    // moment; until then the fleet would not survive a platform outage.
    options.lease_has_required_witnesses = [this] {
      return fleet_->members().size() <= kMinWitnesses ||
             fleet_->witness_count() > 0;
    };
    return options;
  }

  leaf::result<void> Listen() {
    operator_port_ = std::make_unique<OperatorPort>(
        settings_.operator_secret(), &metrics_, [this] { return Status(); });
    HttpServerOptions operators;
    operators.listen = ParseEndpointOrDefault(settings_.operator_listen());
    operator_server_ =
        MakeHttpServer(loop_.get(), operators, operator_port_.get());
    if (!operator_server_) return leaf::new_error(StartError::kOperatorPort);
    HttpServerOptions callers;
    callers.listen = ParseEndpointOrDefault(settings_.listen());
    callers.max_body_bytes = static_cast<size_t>(settings_.max_body_bytes());
    caller_server_ = MakeHttpServer(loop_.get(), callers, frontend_.get());
    if (!caller_server_) return leaf::new_error(StartError::kCallerPort);
    return {};
  }

  std::optional<BucketLimits> LimitsOf(const CustomerId& id) const {
    const wire::Customer* customer = catalogue_->current()->FindCustomer(id);
    if (customer == nullptr) return std::nullopt;
    return BucketLimits{customer->rate_tokens_per_second(),
                        customer->burst_tokens()};
  }

  void OnCatalogueChanged() {
    frontend_->CancelRequestsWithWithdrawnKeys();
    const auto snapshot = catalogue_->current();
    metrics_.RetainCustomers([&snapshot](const std::string& id) {
      return snapshot->FindCustomer(CustomerId(id)) != nullptr;
    });
  }

  void AddGauges() {
    const auto add = [this](const char* name, const char* help,
                            std::function<double()> value) {
      metrics_.AddGauge(name, help, {}, std::move(value));
    };
    add("mimosa_catalogue_version", "Version of the catalogue in force",
        [this] { return double(catalogue_->current()->version().count()); });
    add("mimosa_members", "Members of the fleet, this one included",
        [this] { return double(fleet_->members().size()); });
    add("mimosa_term_held", "1 while this member's term holds",
        [this] { return fleet_->LeaseDeadline() > loop_->Now() ? 1.0 : 0.0; });
    add("mimosa_term_witnesses", "0: the term rests on a platform lease",
        [this] { return double(fleet_->witness_count()); });
    add("mimosa_platform_age_seconds", "Time since word from the platform",
        [this] { return ToSeconds(fleet_->TimeSincePlatformContact()); });
    add("mimosa_running_requests", "Requests being served",
        [this] { return double(frontend_->running_count()); });
    add("mimosa_charges_waiting", "Charges waiting for tokens",
        [this] { return double(limiter_->pending_charges()); });
    add("mimosa_cancels_pending", "Orders to cancel not confirmed by engines",
        [this] { return double(canceller_->pending_count()); });
    add("mimosa_peer_bytes_sent", "Bytes sent to peers",
        [this] { return double(bus_->bytes_sent()); });
    add("mimosa_peer_bytes_received", "Bytes received from peers",
        [this] { return double(bus_->bytes_received()); });
    add("mimosa_prefills", "Prefills begun",
        [this] { return double(model_counters_.prefills); });
    add("mimosa_prefills_wasted", "Prefills whose result was of no use",
        [this] { return double(model_counters_.prefills_wasted); });
    add("mimosa_stream_resumes", "Streams resumed at the output offset",
        [this] { return double(model_counters_.resumes); });
    add("mimosa_foreign_events", "Engine events dropped: not of the request",
        [this] { return double(model_counters_.foreign_events); });
    add("mimosa_faulty_events", "Engine events that ended an attempt",
        [this] { return double(model_counters_.faulty_events); });
  }

  Json::Value Status() const {
    Json::Value status(Json::objectValue);
    status["member"] = fleet_->self().value();
    status["epoch"] = Json::UInt64(fleet_->epoch());
    status["catalogue_version"] =
        Json::Int64(catalogue_->current()->version().count());
    status["term_held"] = fleet_->LeaseDeadline() > loop_->Now();
    status["witnesses"] = fleet_->witness_count();
    status["leaving"] = leaving_;
    status["platform_age_ms"] =
        Json::Int64(ToMillis(fleet_->TimeSincePlatformContact()));
    status["silence_age_ms"] =
        Json::Int64(ToMillis(fleet_->TimeSinceAnyContact()));
    status["running"] = Json::UInt64(frontend_->running_count());
    status["owned_books"] =
        Json::UInt64(reservations_->ledger_server()->owned_ledgers());
    Json::Value& members = status["members"] = Json::Value(Json::arrayValue);
    for (const FleetMember& member : fleet_->members())
      members.append(member.id.value());
    int owned = 0;
    for (int slot = 0; slot < settings_.slots(); ++slot)
      owned += fleet_->OwnsSlot(slot) ? 1 : 0;
    status["owned_slots"] = owned;
    return status;
  }

  // --- Graceful shutdown -------------------------------------------------

  void BeginLeaving() {
    if (leaving_) return;
    leaving_ = true;
    LogEvent(LogLevel::kInfo, "leaving_begun");
    if (!IsEnabled(disabled_, "graceful")) {
      loop_->Stop();
      return;
    }
    frontend_->BeginLeaving();
    shutdown_timer_ =
        loop_->After(std::chrono::milliseconds(settings_.drain_ms()), [this] {
          caller_server_->StopAccepting();
          idle_until_ = loop_->Now() + kIdleConnectionGrace;
          FinishRequests();
        });
  }

  void FinishRequests() {
    const bool busy =
        loop_->Now() < idle_until_ || caller_server_->busy_connections() > 0 ||
        frontend_->running_count() > 0 || canceller_->pending_count() > 0;
    if (busy) {
      shutdown_timer_ =
          loop_->After(kDrainPollInterval, [this] { FinishRequests(); });
      return;
    }
    fleet_->LeaveGracefully([this] {
      LogEvent(LogLevel::kInfo, "leaving_done");
      loop_->Stop();
    });
  }

  const wire::RouterSettings settings_;
  const DisabledMechanisms disabled_;
  const std::unique_ptr<LwsLoop> loop_;
  SeededRandom random_;
  MetricsRegistry metrics_;
  const std::unique_ptr<HttpClient> client_;
  StoreClient kv_;
  std::unique_ptr<HttpPeerBus> bus_;
  std::unique_ptr<FleetManager> fleet_;
  std::unique_ptr<CatalogueSync> catalogue_;
  std::unique_ptr<FleetLimiter> limiter_;
  std::unique_ptr<LeavingVmTracker> leaving_vms_;
  std::unique_ptr<DrainChecker> drain_checker_;
  std::unique_ptr<ClaimRegistry> claim_registry_;
  std::unique_ptr<FleetReservationClient> reservations_;
  std::unique_ptr<OrphanCanceller> orphan_canceller_;  // null if disabled
  std::unique_ptr<EngineCanceller> canceller_;
  std::unique_ptr<ServicePool> service_pool_;
  ModelCallCounters model_counters_;
  std::unique_ptr<RequestMetrics> request_metrics_;
  std::unique_ptr<Frontend> frontend_;
  std::unique_ptr<OperatorPort> operator_port_;
  std::unique_ptr<HttpServer> operator_server_;
  std::unique_ptr<HttpServer> caller_server_;
  bool leaving_ = false;
  MonoTime idle_until_{};  // meaningful once the server has stopped accepting
  TimerHandle shutdown_timer_;
};

}  // namespace

const char* StartErrorMessage(StartError error) {
  switch (error) {
    case StartError::kLoop:
      return "the event loop can't be created";
    case StartError::kUnknownMechanism:
      return "disable names an unknown mechanism";
    case StartError::kPeerPort:
      return "can't listen on the address of peer-listen";
    case StartError::kOperatorPort:
      return "can't listen on the address of operator-listen";
    case StartError::kCallerPort:
      return "can't listen on the address of listen";
  }
  return "unknown";
}

leaf::result<std::unique_ptr<Daemon>> Daemon::Create(
    const wire::RouterSettings& settings) {
  auto loop = LwsLoop::Create();
  if (!loop) return leaf::new_error(StartError::kLoop);
  auto daemon = std::make_unique<DaemonImpl>(settings, std::move(loop));
  BOOST_LEAF_CHECK(daemon->Start());
  return std::unique_ptr<Daemon>(std::move(daemon));
}

}  // namespace mimosa
