// Wiring, readiness, status and the graceful end of the entry daemon.
#include "serving/entry_daemon.h"

#include <json/value.h>
#include <unistd.h>

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>

#include "base/digest.h"
#include "base/json.h"
#include "base/line_log.h"
#include "base/metrics.h"
#include "base/random.h"
#include "base/text.h"
#include "decide/back_end_list.h"
#include "decide/back_end_selector.h"
#include "decide/replicated_rate_limiter.h"
#include "decide/retry_budget.h"
#include "net/datagram.h"
#include "serving/engine_memory_releaser.h"
#include "serving/entry_frontend.h"
#include "serving/local_responses.h"
#include "serving/member_list.h"
#include "serving/role_controller.h"
#include "serving/site_sync.h"
#include "serving/usage_exchange.h"

namespace mimosa {
namespace {

// The balancer asks once a second and takes a daemon out after two misses: for
// so long a leaving daemon still accepts, with a second to spare.
constexpr Duration kBalancerNotice = std::chrono::milliseconds(3200);
// A leaving daemon takes new streams until most callers go elsewhere; later
// ones could outlast it.
constexpr Duration kLastStream = std::chrono::milliseconds(2300);
// What is left of the time before SIGKILL when a leaving daemon ends whatever
// is still running.
constexpr Duration kEndMargin = std::chrono::milliseconds(400);
// The server keeps idle connections for a second more, for requests that are on
// their way.
constexpr Duration kIdleNotice = std::chrono::milliseconds(1100);
constexpr Duration kLeavePoll = std::chrono::milliseconds(50);
// What is left of the time to settle when a watch ends: for its answer, and for
// a listing.
constexpr Duration kSettleMargin = std::chrono::milliseconds(500);
// Of the time in which a change has to be in force, what changes that come
// together are waited for: most of it stays for the watch's answer and for a
// daemon that is slow.
constexpr double kBatchShare = 0.25;
// Lines wait at most so long for their writing.
constexpr Duration kLogFlushPause = std::chrono::milliseconds(250);

// The fleet's own records, under the deployment's name.
constexpr std::string_view kMemberRecords = "members/";
constexpr std::string_view kRoleRecord = "roles";

RetryBudget::Options BudgetOptionsOf(const wire::EntrySettings& settings) {
  RetryBudget::Options options;
  options.ratio = settings.retry_budget_ratio();
  options.slack = settings.retry_budget_slack();
  options.window = FromSeconds(std::max(1.0, settings.retry_budget_window_s()));
  return options;
}

ReplicatedRateLimiter::Options AllotmentOptionsOf(
    const wire::EntrySettings& settings) {
  ReplicatedRateLimiter::Options options;
  options.window = FromSeconds(std::max(1.0, settings.allotment_window_s()));
  return options;
}

LineLog::Options LogOptionsOf(const wire::EntrySettings& settings) {
  LineLog::Options options;
  options.process = settings.name();
  options.lines_per_second = static_cast<int>(settings.log_lines_per_second());
  return options;
}

// Answers each request with what `answer` says of its path.
class SimplePort : public HttpHandler {
 public:
  explicit SimplePort(std::function<HttpResponse(const std::string&)> answer)
      : answer_(std::move(answer)) {}
  void OnRequest(std::shared_ptr<HttpExchange> exchange) override {
    const std::string& target = exchange->request().target;
    exchange->Respond(answer_(target.substr(0, target.find('?'))));
  }

 private:
  const std::function<HttpResponse(const std::string&)> answer_;
};

// Members are declared in the order in which they need each other.
class EntryDaemonImpl : public EntryDaemon {
 public:
  EntryDaemonImpl(const wire::EntrySettings& settings,
                  const EntryPlatform& platform, SettingsLoader reload,
                  std::unique_ptr<LwsLoop> loop)
      : settings_(settings),
        platform_(platform),
        reload_(std::move(reload)),
        loop_(std::move(loop)),
        random_(RandomSeed()),
        log_(STDOUT_FILENO, loop_.get(), LogOptionsOf(settings)),
        client_(MakeHttpClient(loop_.get())),
        store_(platform.open_store(client_.get(), EndpointOf(settings.store()),
                                   &metrics_)),
        choice_(&back_ends_, &random_, BackEndSelector::Options{}),
        budget_(BudgetOptionsOf(settings)),
        room_wait_(ReservationRetryPolicy::Options{}, &random_),
        allotments_(AllotmentOptionsOf(settings)),
        freer_(loop_.get(), client_.get(), platform.request_format),
        members_(loop_.get(), store_.get(), &random_, &log_, Self(settings),
                 MemberOptions()),
        usage_(loop_.get(), &members_, &allotments_, &choice_, &meter_, &log_,
               UsageExchange::Options{}),
        roles_(
            loop_.get(), client_.get(), store_.get(), platform.request_format,
            &back_ends_, &choice_, &log_, [this] { return WorkToBalance(); },
            settings.name(), members_.self().boot(), RoleOptions()),
        sync_(loop_.get(), store_.get(), platform.site_format, &random_, &log_,
              &back_ends_, SyncOptions()),
        deps_{loop_.get(),
              client_.get(),
              platform.request_format,
              &choice_,
              &budget_,
              &room_wait_,
              &random_,
              &log_,
              &freer_,
              &counters_,
              &meter_,
              FailureDomain(settings.failure_domain())},
        front_(&deps_, &allotments_, [this] { return sync_.config(); }),
        ready_port_([this](const std::string& path) { return Ready(path); }),
        control_port_(
            [this](const std::string& path) { return Control(path); }) {
    AddMetrics();
  }

  leaf::result<void> Listen() {
    caller_server_ = Server(settings_.listen(), &front_);
    if (!caller_server_) return leaf::new_error(EntryError::kCallerPort);
    ready_server_ = Server(settings_.ready_listen(), &ready_port_);
    if (!ready_server_) return leaf::new_error(EntryError::kReadyPort);
    control_server_ = Server(settings_.control_listen(), &control_port_);
    if (!control_server_) return leaf::new_error(EntryError::kControlPort);
    datagrams_ = DatagramSocket::Open(
        loop_.get(), EndpointOf(settings_.peer_listen()),
        [this](const Endpoint& from, std::string_view data) {
          usage_.OnDatagram(from, data);
        });
    if (!datagrams_) return leaf::new_error(EntryError::kPeerPort);
    return {};
  }

  void Run() override {
    log_.WriteAlways(LogLine("started")
                         .Add("zone", settings_.failure_domain())
                         .Add("listen", settings_.listen())
                         .Add("store", settings_.store()));
    loop_->OnSignal([this] { BeginLeaving(); });
    loop_->OnHangup([this] { ReloadSettings(); });
    sync_.SetConfigObserver(
        [this](const SiteConfig& config) { OnConfig(config); });
    sync_.SetRecordObserver(
        [this](const std::string& name, const KvRecord* record) {
          OnRecord(name, record);
        });
    sync_.Start();
    members_.Start();
    usage_.Start(datagrams_.get());
    roles_.Start();
    FlushLog();
    loop_->Run();
    log_.WriteAlways(
        LogLine("stopped").Add("running", front_.running_requests()));
    log_.Flush();
  }

 private:
  static wire::EntryMember Self(const wire::EntrySettings& settings) {
    wire::EntryMember self;
    self.set_name(settings.name());
    self.set_peer_address(settings.peer_listen());
    self.set_failure_domain(settings.failure_domain());
    self.set_boot(RandomSeed());
    return self;
  }

  std::string RecordPrefix() const { return settings_.deployment() + "/"; }

  MemberList::Options MemberOptions() const {
    MemberList::Options options;
    options.key_prefix = RecordPrefix().append(kMemberRecords);
    return options;
  }

  SiteSync::Options SyncOptions() const {
    SiteSync::Options options;
    options.record_prefix = RecordPrefix();
    options.watch_timeout =
        std::chrono::milliseconds(settings_.settle_ms()) - kSettleMargin;
    options.batch_delay =
        Scaled(std::chrono::milliseconds(
                   std::min(settings_.config_apply_ms(), settings_.drain_ms())),
               kBatchShare);
    return options;
  }

  std::unique_ptr<HttpServer> Server(const std::string& address,
                                     HttpHandler* handler) {
    HttpServerOptions options;
    options.listen = EndpointOf(address);
    options.max_body_bytes = static_cast<size_t>(settings_.max_body_bytes());
    return MakeHttpServer(loop_.get(), options, handler);
  }

  void OnConfig(const SiteConfig& config) {
    for (const SiteCustomer& customer : config.customers()) {
      log_.Write(
          LogLine("allotment_in_force")
              .Add("version", config.version())
              .Add("customer", customer.id.value())
              .Add("rate", static_cast<int64_t>(customer.rate_per_second))
              .Add("burst", static_cast<int64_t>(customer.burst))
              .Add("tokens", customer.rate_in_tokens));
    }
    allotments_.SetCustomers(config.customers(), loop_->Now());
    roles_.SetServices(config.services());
    if (config.limits().idle_timeout > Duration::zero())
      caller_server_->SetIdleTimeout(config.limits().idle_timeout);
  }

  void OnRecord(const std::string& name, const KvRecord* record) {
    if (name == kRoleRecord) {
      roles_.OnRecord(record);
    } else if (StartsWith(name, kMemberRecords)) {
      const std::string member = name.substr(kMemberRecords.size());
      members_.OnRecord(member, record == nullptr ? nullptr : &record->value);
      if (record == nullptr) usage_.OnMemberGone(member);
      budget_.SetMemberCount(members_.size());
    }
  }

  // Orders are only given while the store answers: a daemon without it knows
  // neither the engines nor who else gives orders.
  std::optional<RoleController::FleetLoad> WorkToBalance() const {
    if (!IsReady() || sync_.store_lost()) return std::nullopt;
    return usage_.fleet_load();
  }

  RoleController::Options RoleOptions() const {
    RoleController::Options options;
    options.record_key = RecordPrefix().append(kRoleRecord);
    return options;
  }

  bool IsReady() const {
    return !leaving_ && sync_.config() != nullptr && sync_.listed();
  }

  HttpResponse Ready(const std::string& path) const {
    if (path != platform_.request_format->ready_path())
      return EmptyResponse(kStatusNotFound);
    return EmptyResponse(IsReady() ? kStatusOk : kStatusUnavailable);
  }

  HttpResponse Control(const std::string& path) {
    HttpResponse response;
    response.status = kStatusOk;
    if (path == "/metrics") {
      response.headers.Add("Content-Type", "text/plain; version=0.0.4");
      response.body = metrics_.Render();
    } else if (path == "/status") {
      response.headers.Add("Content-Type", "application/json");
      response.body = WriteJson(Status());
    } else {
      response.status = kStatusNotFound;
    }
    return response;
  }

  Json::Value Status() {
    const MonoTime now = loop_->Now();
    Json::Value status(Json::objectValue);
    status["name"] = settings_.name();
    status["ready"] = IsReady();
    status["leaving"] = leaving_;
    status["running"] = Json::UInt64(front_.running_requests());
    status["members"] = members_.size();
    status["collector"] = usage_.collector();
    status["store_lost"] = sync_.store_lost();
    status["store_age_ms"] = Json::Int64(ToMillis(now - sync_.last_contact()));
    status["configuration_version"] =
        sync_.config() == nullptr ? Json::Value()
                                  : Json::Int64(sync_.config()->version());
    Json::Value& list = status["back_ends"] = Json::Value(Json::arrayValue);
    for (const auto& [id, listed] : back_ends_.entries()) {
      const BackEndSelector::ObservedState belief =
          choice_.GetObservedState(id, now);
      Json::Value item(Json::objectValue);
      item["id"] = id.value();
      item["service"] = listed.entry.service.value();
      item["role"] = RoleName(listed.entry.role);
      item["zone"] = listed.entry.zone.value();
      item["draining"] = listed.entry.draining;
      item["held"] = listed.removal_pending;
      item["changes_role"] = belief.changing_role;
      item["open_calls"] = belief.open_calls;
      item["calls_of_others"] = belief.peer_calls;
      item["failures"] = belief.failures;
      item["passed_over"] = belief.in_backoff;
      item["last_failure"] = CallOutcomeName(belief.last_failure);
      list.append(item);
    }
    Json::Value& customers = status["customers"] =
        Json::Value(Json::arrayValue);
    if (sync_.config() == nullptr) return status;
    for (const SiteCustomer& customer : sync_.config()->customers()) {
      Json::Value item(Json::objectValue);
      item["id"] = customer.id.value();
      item["rate"] = customer.rate_per_second;
      item["level"] = allotments_.BucketLevel(customer.id, now);
      customers.append(item);
    }
    status["usage_age_ms"] = Json::Int64(ToMillis(allotments_.ReportAge(now)));
    return status;
  }

  void AddMetrics();

  void FlushLog() {
    log_.Flush();
    log_timer_ = loop_->After(kLogFlushPause, [this] { FlushLog(); });
  }

  void ReloadSettings() {
    const auto settings = reload_();
    if (!settings) {
      log_.WriteAlways(LogLine("reload_refused").Add("why", "faulty settings"));
      return;
    }
    settings_.set_grace_ms(settings->grace_ms());
    settings_.set_retry_budget_ratio(settings->retry_budget_ratio());
    settings_.set_retry_budget_slack(settings->retry_budget_slack());
    settings_.set_retry_budget_window_s(settings->retry_budget_window_s());
    budget_.SetOptions(BudgetOptionsOf(settings_));
    log_.WriteAlways(LogLine("reloaded").Add("grace_ms", settings_.grace_ms()));
  }

  // --- Graceful end ------------------------------------------------------

  void BeginLeaving() {
    if (leaving_) return;
    leaving_ = true;
    log_.WriteAlways(
        LogLine("leaving").Add("running", front_.running_requests()));
    const MonoTime now = loop_->Now();
    accept_until_ = now + kBalancerNotice;
    end_at_ =
        now + std::chrono::milliseconds(settings_.grace_ms()) - kEndMargin;
    front_.BeginShutdown(now + kLastStream);
    caller_server_->CloseAfterAnswers();
    members_.Deregister();
    roles_.Stop();
    leave_timer_ = loop_->After(kBalancerNotice, [this] {
      caller_server_->StopAccepting();
      FinishRequests();
    });
  }

  void FinishRequests() {
    const MonoTime now = loop_->Now();
    const bool idling = now < accept_until_ + kIdleNotice;
    const bool busy = caller_server_->open_exchanges() > 0;
    if ((idling || busy) && now < end_at_) {
      leave_timer_ = loop_->After(kLeavePoll, [this] { FinishRequests(); });
      return;
    }
    loop_->Stop();
  }

  wire::EntrySettings settings_;
  const EntryPlatform& platform_;
  const SettingsLoader reload_;
  const std::unique_ptr<LwsLoop> loop_;
  SeededRandom random_;
  MetricsRegistry metrics_;
  LineLog log_;
  const std::unique_ptr<HttpClient> client_;
  const std::unique_ptr<KvStore> store_;
  BackEndList back_ends_;
  BackEndSelector choice_;
  RetryBudget budget_;
  ReservationRetryPolicy room_wait_;
  ReplicatedRateLimiter allotments_;
  EngineMemoryReleaser freer_;
  RelayCounters counters_;
  StageMeter meter_;
  MemberList members_;
  UsageExchange usage_;
  RoleController roles_;
  SiteSync sync_;
  const RelayDeps deps_;
  EntryFrontend front_;
  SimplePort ready_port_;
  SimplePort control_port_;
  std::unique_ptr<HttpServer> caller_server_;
  std::unique_ptr<HttpServer> ready_server_;
  std::unique_ptr<HttpServer> control_server_;
  std::unique_ptr<DatagramSocket> datagrams_;
  bool leaving_ = false;
  MonoTime accept_until_{};
  MonoTime end_at_{};
  TimerHandle leave_timer_;
  TimerHandle log_timer_;
};

void EntryDaemonImpl::AddMetrics() {
  const auto add = [this](const char* name, const char* help,
                          std::function<double()> value) {
    metrics_.AddGauge(name, help, {}, std::move(value));
  };
  add("mimosa_configuration_version", "Version of the configuration in force",
      [this] {
        return sync_.config() ? double(sync_.config()->version()) : 0.0;
      });
  add("mimosa_members", "Daemons of the fleet, this one included",
      [this] { return double(members_.size()); });
  add("mimosa_back_ends", "Backend servers listed",
      [this] { return double(back_ends_.entries().size()); });
  add("mimosa_store_lost", "1 while the store doesn't answer",
      [this] { return sync_.store_lost() ? 1.0 : 0.0; });
  add("mimosa_running_requests", "Requests being served",
      [this] { return double(front_.running_requests()); });
  add("mimosa_callers_gone", "Requests whose caller left before the answer",
      [this] { return double(front_.counters().callers_disconnected); });
  add("mimosa_prefills", "Prefills begun",
      [this] { return double(counters_.prefills); });
  add("mimosa_prefills_unused", "Prefills whose result nobody took",
      [this] { return double(counters_.prefills_unused); });
  add("mimosa_rooms", "Rooms set aside at decode engines",
      [this] { return double(counters_.reservations); });
  add("mimosa_rooms_refused", "Rooms that a decode engine had not",
      [this] { return double(counters_.reservations_refused); });
  add("mimosa_role_orders", "Orders to engines to change their role",
      [this] { return double(roles_.orders_sent()); });
  add("mimosa_repeats", "Requests sent to a backend server once more",
      [this] { return double(counters_.retries); });
  add("mimosa_repeats_refused", "Repeats given up for want of budget",
      [this] { return double(counters_.retries_denied); });
  add("mimosa_hedges", "Second calls beside a slow first one",
      [this] { return double(counters_.hedges); });
  add("mimosa_streams_resumed", "Streams that went on at another engine",
      [this] { return double(counters_.streams_resumed); });
  add("mimosa_streams_broken", "Streams that ended midway",
      [this] { return double(counters_.streams_broken); });
  add("mimosa_log_lines_left_out", "Lines over budget or without room",
      [this] { return double(log_.lines_left_out()); });
  for (const int status : {0, 200, 400, 401, 404, 429, 500, 502, 503, 504}) {
    metrics_.AddGauge(
        "mimosa_answers", "Answers by status; 0: closed without one",
        {{"status", std::to_string(status)}}, [this, status] {
          return double(front_.counters().by_status[size_t(status)]);
        });
  }
  for (size_t i = 0; i < Histogram::kQuantiles.size(); ++i) {
    metrics_.AddGauge(
        "mimosa_answer_seconds", "Time to the end of an answer",
        {{"quantile", std::to_string(Histogram::kQuantiles[i])}},
        [this, i] { return front_.counters().latency.quantile(i); });
  }
}

}  // namespace

const char* EntryErrorName(EntryError fault) {
  switch (fault) {
    case EntryError::kEventLoop:
      return "the event loop can't be made";
    case EntryError::kCallerPort:
      return "listen can't be listened on";
    case EntryError::kReadyPort:
      return "ready-listen can't be listened on";
    case EntryError::kControlPort:
      return "control-listen can't be listened on";
    case EntryError::kPeerPort:
      return "peer-listen can't be bound";
  }
  return "unknown";
}

leaf::result<std::unique_ptr<EntryDaemon>> EntryDaemon::Create(
    const wire::EntrySettings& settings, const EntryPlatform& platform,
    SettingsLoader reload) {
  auto loop = LwsLoop::Create();
  if (!loop) return leaf::new_error(EntryError::kEventLoop);
  auto daemon = std::make_unique<EntryDaemonImpl>(
      settings, platform, std::move(reload), std::move(loop));
  BOOST_LEAF_CHECK(daemon->Listen());
  return std::unique_ptr<EntryDaemon>(std::move(daemon));
}

}  // namespace mimosa
