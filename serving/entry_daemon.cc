// Wiring, readiness, status page and graceful shutdown of the entry daemon.
#include "serving/entry_daemon.h"

#include <json/value.h>
#include <unistd.h>

#include <algorithm>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/digest.h"
#include "base/json.h"
#include "base/line_log.h"
#include "base/metrics.h"
#include "base/random.h"
#include "base/saturated_cast.h"
#include "base/text.h"
#include "decide/back_end_list.h"
#include "decide/back_end_selector.h"
#include "decide/even_share.h"
#include "decide/replicated_rate_limiter.h"
#include "decide/retry_budget.h"
#include "decide/traffic_boundaries.h"
#include "net/datagram.h"
#include "serving/buffer_monitor.h"
#include "serving/crash_exchange.h"
#include "serving/engine_memory_releaser.h"
#include "serving/entry_frontend.h"
#include "serving/helper_exchange.h"
#include "serving/local_responses.h"
#include "serving/member_list.h"
#include "serving/permit_exchange.h"
#include "serving/reachability_monitor.h"
#include "serving/role_controller.h"
#include "serving/site_sync.h"
#include "serving/stream_origin_exchange.h"
#include "serving/stream_origin_journal.h"
#include "serving/usage_exchange.h"
#include "serving/version_registry.h"

namespace mimosa {
namespace {

// A leaving daemon, that is one that shuts down, still accepts connections for
// this long: the load balancer probes once a second and removes a daemon after
// two failed probes, and a second is added as margin.
constexpr Duration kBalancerRemovalTime = std::chrono::milliseconds(3200);
// A leaving daemon admits new streams for this long, in which most callers have
// switched to another daemon.
constexpr Duration kStreamAdmissionTime = std::chrono::milliseconds(2300);
// A leaving daemon aborts the remaining requests this long before SIGKILL is
// due.
constexpr Duration kAbortMargin = std::chrono::milliseconds(400);
// Then the callers have this long to take what has been written for them.
constexpr Duration kFlushTime = kAbortMargin / 2;
// In its first part, responses that have ended by then are still checked.
constexpr Duration kCheckTime = kFlushTime * 3 / 4;
// After it stops accepting, the server keeps idle connections for another
// second, for requests in flight; this covers it.
constexpr Duration kIdleConnectionGrace = std::chrono::milliseconds(1100);
constexpr Duration kShutdownPollInterval = std::chrono::milliseconds(50);
constexpr Duration kFlushPollInterval = std::chrono::milliseconds(10);
// A watch ends this long before the settle time is over, which leaves time for
// its response and for a listing.
constexpr Duration kSettleMargin = std::chrono::milliseconds(500);
// Share of the time within which a change must be in force that is spent on
// batching changes. Most of that time remains for the watch's response and for
// a slow daemon.
constexpr double kBatchDelayShare = 0.25;
// A caller may take a stream up for this much longer than a stream lasts, since
// its time limit covers its waits between two requests, too.
constexpr Duration kTakeupMargin = std::chrono::seconds(5);
// Share of the VM's memory that may hold what callers and back ends haven't
// read. The rest is left for the process itself and for the kernel's buffers.
constexpr double kBufferMemoryShare = 0.4;
// Longest time that a log line stays buffered.
constexpr Duration kLogFlushInterval = std::chrono::milliseconds(250);

// Keys of the fleet's own records, relative to the deployment's prefix.
constexpr std::string_view kMemberRecordPrefix = "members/";
constexpr std::string_view kRoleRecordName = "roles";
constexpr std::string_view kCrashQuarantineRecordName = "prompt_quarantine";
constexpr std::string_view kStreamOriginRecordPrefix = "stream_origins/";
constexpr std::string_view kServiceVersionsRecordName = "service_versions";

// Returns the longest time that a stream of the configuration may last.
Duration LongestStream(const SiteConfig& config) {
  Duration longest{};
  for (const SiteRoute& route : config.routes()) {
    if (!IsStream(route.retry_policy)) continue;
    longest =
        std::max(longest, route.timeout > Duration::zero() ? route.timeout
                                                           : kDefaultTimeout);
  }
  return longest;
}

Duration RetryBudgetWindow(const wire::EntrySettings& settings) {
  return FromSeconds(std::max(1.0, settings.retry_budget_window_s()));
}

RetryBudget::Options RetryBudgetOptions(const wire::EntrySettings& settings,
                                        double rounding) {
  RetryBudget::Options options;
  options.rounding = rounding;
  options.ratio = settings.retry_budget_ratio();
  options.slack = settings.retry_budget_slack();
  options.window = RetryBudgetWindow(settings);
  return options;
}

EvenShare::Options RetryShareOptions(const wire::EntrySettings& settings) {
  EvenShare::Options options;
  options.window = RetryBudgetWindow(settings);
  return options;
}

ReplicatedRateLimiter::Options RateLimiterOptions(
    const wire::EntrySettings& settings) {
  ReplicatedRateLimiter::Options options;
  options.window = FromSeconds(std::max(1.0, settings.allotment_window_s()));
  return options;
}

BufferMonitor::Options BufferOptions(const wire::EntrySettings& settings) {
  constexpr double kBytesPerMegabyte = 1 << 20;
  BufferMonitor::Options options;
  options.budget.limit_bytes = SaturatedCast<size_t>(
      settings.memory_mb() * kBytesPerMegabyte * kBufferMemoryShare);
  return options;
}

LineLog::Options LogOptions(const wire::EntrySettings& settings) {
  LineLog::Options options;
  options.process = settings.name();
  options.lines_per_second = static_cast<int>(settings.log_lines_per_second());
  return options;
}

// Responds to each request with what `respond` returns for its path.
class PathHandler : public HttpHandler {
 public:
  explicit PathHandler(std::function<HttpResponse(const std::string&)> respond)
      : respond_(std::move(respond)) {}
  void OnRequest(std::shared_ptr<HttpExchange> exchange) override {
    const std::string& target = exchange->request().target;
    exchange->Respond(respond_(target.substr(0, target.find('?'))));
  }

 private:
  const std::function<HttpResponse(const std::string&)> respond_;
};

// Passes the requests of the members' port on.
class ForwardedHandler : public HttpHandler {
 public:
  explicit ForwardedHandler(EntryFrontend* frontend) : frontend_(frontend) {}
  void OnRequest(std::shared_ptr<HttpExchange> exchange) override {
    frontend_->OnForwardedRequest(exchange);
  }

 private:
  EntryFrontend* const frontend_;
};

// Members are declared in the order of their dependencies.
class EntryDaemonImpl : public EntryDaemon {
 public:
  EntryDaemonImpl(const wire::EntrySettings& settings,
                  const EntryPlatform& platform, SettingsLoader load_settings,
                  std::unique_ptr<LwsLoop> loop)
      : settings_(settings),
        platform_(platform),
        load_settings_(std::move(load_settings)),
        loop_(std::move(loop)),
        random_(RandomSeed()),
        log_(STDOUT_FILENO, loop_.get(), LogOptions(settings)),
        client_(MakeHttpClient(loop_.get())),
        store_(platform.open_store(loop_.get(), client_.get(),
                                   ParseEndpointOrDefault(settings.store()),
                                   &metrics_)),
        retry_share_(settings.name(), RetryShareOptions(settings)),
        retry_rounding_(1 - random_.UniformDouble()),
        retry_budget_(RetryBudgetOptions(settings, retry_rounding_),
                      &retry_share_),
        reservation_retry_(ReservationRetryPolicy::Options{}, &random_),
        rate_limiter_(RateLimiterOptions(settings), &random_),
        releaser_(loop_.get(), client_.get(), platform.request_format,
                  &selector_),
        members_(loop_.get(), store_.get(), &random_, &log_, MakeSelf(settings),
                 MemberOptions()),
        permits_(loop_.get(), &members_, &random_, &log_,
                 PermitExchange::Options{}),
        boundaries_(ParseRegions(settings.regions(), &unreadable_regions_)),
        selector_(&back_ends_, &random_, BackEndSelector::Options{}, &permits_,
                  &boundaries_),
        reachability_(loop_.get(), client_.get(), platform.request_format,
                      &back_ends_, &selector_, &log_,
                      ReachabilityMonitor::Options{}, &boundaries_),
        helpers_(
            loop_.get(), &members_, &reachability_, &random_,
            [this] { return frontend_.running_requests(); },
            HelperExchange::Options{}, &boundaries_),
        usage_exchange_(loop_.get(), &members_, &rate_limiter_, &selector_,
                        &stage_meter_, &log_, UsageExchange::Options{}),
        role_controller_(
            loop_.get(), client_.get(), store_.get(), platform.request_format,
            &back_ends_, &selector_, &log_,
            [this] { return LoadForBalancing(); }, settings.name(),
            members_.self().boot(), RoleOptions()),
        site_sync_(loop_.get(), store_.get(), platform.site_format, &random_,
                   &log_, &back_ends_, SyncOptions()),
        versions_(
            loop_.get(), &members_, store_.get(), &back_ends_, &random_, &log_,
            [this] { return IsBackEndListCurrent(); }, VersionOptions()),
        stream_origin_journal_(loop_.get(), &members_, store_.get(), &log_,
                               JournalOptions()),
        stream_origins_(loop_.get(), &members_, &log_,
                        StreamOriginExchange::Options{}, &versions_,
                        &stream_origin_journal_),
        crash_exchange_(loop_.get(), &members_, store_.get(), &random_, &log_,
                        CrashOptions()),
        buffers_(loop_.get(), &log_, BufferOptions(settings)),
        deps_{loop_.get(),
              client_.get(),
              platform.request_format,
              &selector_,
              &retry_budget_,
              &reservation_retry_,
              &random_,
              &log_,
              &releaser_,
              &counters_,
              &stage_meter_,
              &stream_origins_,
              &crash_exchange_,
              &permits_,
              &reachability_,
              &helpers_,
              FailureDomain(settings.failure_domain()),
              &buffers_,
              &shutdown_,
              &stream_durations_},
        frontend_(&deps_, &rate_limiter_,
                  [this] { return site_sync_.config(); }),
        forwarded_handler_(&frontend_),
        ready_handler_(
            [this](const std::string& path) { return ReadyResponse(path); }),
        control_handler_(
            [this](const std::string& path) { return ControlResponse(path); }) {
    retry_budget_.SetStart(loop_->Now());
    AddMetrics();
  }

  leaf::result<void> Listen() {
    // Before the first connection. The callbacks run once the loop does.
    loop_->OnSignal([this] { BeginLeaving(); });
    loop_->OnHangup([this] { ReloadSettings(); });
    caller_server_ = MakeServer(settings_.listen(), &frontend_);
    if (!caller_server_) return leaf::new_error(EntryError::kCallerPort);
    ready_server_ = MakeServer(settings_.ready_listen(), &ready_handler_);
    if (!ready_server_) return leaf::new_error(EntryError::kReadyPort);
    control_server_ = MakeServer(settings_.control_listen(), &control_handler_);
    if (!control_server_) return leaf::new_error(EntryError::kControlPort);
    peer_socket_ = DatagramSocket::Open(
        loop_.get(), ParseEndpointOrDefault(settings_.peer_listen()),
        [this](const Endpoint& from, std::string_view data) {
          OnDatagram(from, data);
        });
    if (!peer_socket_) return leaf::new_error(EntryError::kPeerPort);
    forward_server_ = MakeServer(settings_.peer_listen(), &forwarded_handler_);
    if (!forward_server_) return leaf::new_error(EntryError::kPeerPort);
    return {};
  }

  void Run() override {
    log_.WriteAlways(LogLine("started")
                         .Add("zone", settings_.failure_domain())
                         .Add("listen", settings_.listen())
                         .Add("store", settings_.store()));
    for (const std::string& item : unreadable_regions_)
      log_.WriteAlways(LogLine("region_unreadable").Add("item", item));
    site_sync_.SetConfigObserver(
        [this](const SiteConfig& config) { OnConfig(config); });
    site_sync_.SetRecordObserver(
        [this](const std::string& name, const KvRecord* record) {
          OnRecord(name, record);
        });
    site_sync_.SetContactObserver(
        [this] { retry_share_.OnContact(loop_->Now()); });
    site_sync_.SetEvacuationObserver(
        [this](const std::set<FailureDomain>& evacuated) {
          OnEvacuation(evacuated);
        });
    site_sync_.SetEraObserver([this](StoreEra era, bool is_first) {
      role_controller_.OnEraBegun(era);
      versions_.OnEraBegun(era);
      if (is_first) return;
      crash_exchange_.OnStoreRestored();
      if (!leaving_) members_.OnStoreRestored();
    });
    site_sync_.SetStoreLostObserver([this] { stream_origins_.OnStoreLost(); });
    site_sync_.SetStoreRegainedObserver([this] { members_.OnStoreRegained(); });
    members_.SetGoneObserver([this](const std::string& member) {
      usage_exchange_.OnMemberGone(member);
    });
    site_sync_.SetBackEndsObserver([this] {
      versions_.OnBackEndsChanged();
      permits_.OnBackEndsChanged(back_ends_);
      crash_exchange_.OnBackEndsChanged(back_ends_);
    });
    site_sync_.Start();
    members_.Start();
    usage_exchange_.Start(peer_socket_.get());
    helpers_.Start(peer_socket_.get());
    reachability_.SetObserver([this](const ServiceId& service) {
      helpers_.OnReachabilityChanged(service);
    });
    stream_origins_.Start(peer_socket_.get());
    crash_exchange_.Start(peer_socket_.get());
    permits_.Start(peer_socket_.get());
    buffers_.Start({caller_server_.get(), forward_server_.get()});
    role_controller_.Start();
    FlushLog();
    loop_->Run();
    log_.WriteAlways(
        LogLine("stopped")
            .Add("running", frontend_.running_requests())
            .Add("unsent_bytes", caller_server_->unsent_bytes() +
                                     forward_server_->unsent_bytes())
            .Add("connections", BusyConnections()));
    log_.Flush();
  }

 private:
  static wire::EntryMember MakeSelf(const wire::EntrySettings& settings) {
    wire::EntryMember self;
    self.set_name(settings.name());
    self.set_peer_address(settings.peer_listen());
    self.set_failure_domain(settings.failure_domain());
    self.set_boot(RandomSeed());
    self.set_link_mbps(settings.link_mbps());
    return self;
  }

  std::string RecordPrefix() const { return settings_.deployment() + "/"; }

  MemberList::Options MemberOptions() const {
    MemberList::Options options;
    options.key_prefix = RecordPrefix().append(kMemberRecordPrefix);
    return options;
  }

  SiteSync::Options SyncOptions() const {
    SiteSync::Options options;
    options.record_prefix = RecordPrefix();
    options.watch_timeout =
        std::chrono::milliseconds(settings_.settle_ms()) - kSettleMargin;
    options.batch_delay =
        Scaled(std::chrono::milliseconds(
                   std::min({settings_.config_apply_ms(), settings_.drain_ms(),
                             settings_.evacuation_ms()})),
               kBatchDelayShare);
    return options;
  }

  std::unique_ptr<HttpServer> MakeServer(const std::string& address,
                                         HttpHandler* handler) {
    HttpServerOptions options;
    options.listen = ParseEndpointOrDefault(address);
    options.max_body_bytes = static_cast<size_t>(settings_.max_body_bytes());
    options.body_budget = &buffers_;
    return MakeHttpServer(loop_.get(), options, handler);
  }

  void OnDatagram(const Endpoint& from, std::string_view data) {
    wire::UsageDatagram datagram;
    if (!datagram.ParseFromArray(data.data(), static_cast<int>(data.size()))) {
      log_.Write(LogLine("datagram_unreadable").Add("from", from.ToString()));
      return;
    }
    usage_exchange_.OnDatagram(from, datagram);
    helpers_.OnDatagram(from, datagram);
    stream_origins_.OnDatagram(from, datagram);
    stream_origin_journal_.OnDatagram(from, datagram);
    crash_exchange_.OnDatagram(from, datagram);
    permits_.OnDatagram(from, datagram);
  }

  // Changes may be missing from the list for as long as a silent watch goes
  // unnoticed.
  bool IsBackEndListCurrent() const {
    return site_sync_.listed() && !site_sync_.store_lost() &&
           loop_->Now() - site_sync_.last_contact() <=
               std::chrono::milliseconds(settings_.settle_ms());
  }

  void OnConfig(const SiteConfig& config) {
    for (const SiteCustomer& customer : config.customers()) {
      log_.Write(
          LogLine("allotment_in_force")
              .Add("version", config.version())
              .Add("customer", customer.id.value())
              .Add("rate", SaturatedCast<int64_t>(customer.rate_per_second))
              .Add("burst", SaturatedCast<int64_t>(customer.burst))
              .Add("tokens", customer.rate_in_tokens));
    }
    rate_limiter_.SetCustomers(config.customers(), loop_->Now());
    stream_origins_.SetStreamLifetime(LongestStream(config) + kTakeupMargin);
    role_controller_.SetServices(config.services());
    reachability_.SetServices(config.services());
    permits_.SetServices(config.services());
    if (config.limits().idle_timeout > Duration::zero())
      caller_server_->SetIdleTimeout(config.limits().idle_timeout);
  }

  void OnEvacuation(const std::set<FailureDomain>& evacuated) {
    const auto change = boundaries_.SetEvacuated(evacuated, loop_->Now());
    const auto write = [this](const char* event, const FailureDomain& domain,
                              Duration lasted) {
      const Region* const region = boundaries_.FindRegion(domain);
      log_.WriteAlways(
          LogLine(event)
              .Add("domain", domain.value())
              .Add("region", region == nullptr ? "" : region->value())
              .Add("known", region != nullptr)
              .AddMillis("lasted_ms", lasted)
              .Add("evacuated", boundaries_.evacuated_count()));
    };
    for (const FailureDomain& domain : change.begun) {
      ++evacuations_;
      write("evacuation_in_force", domain, Duration::zero());
    }
    for (const auto& ended : change.ended)
      write("evacuation_ended", ended.domain, ended.lasted);
  }

  void OnRecord(const std::string& name, const KvRecord* record) {
    if (name == kRoleRecordName) {
      role_controller_.OnRecord(record);
    } else if (name == kCrashQuarantineRecordName) {
      crash_exchange_.OnRecord(record);
    } else if (name == kServiceVersionsRecordName) {
      versions_.OnRecord(record);
    } else if (StartsWith(name, kStreamOriginRecordPrefix)) {
      stream_origin_journal_.OnBatchRecord(
          name.substr(kStreamOriginRecordPrefix.size()), record);
    } else if (StartsWith(name, kMemberRecordPrefix)) {
      const std::string member = name.substr(kMemberRecordPrefix.size());
      members_.OnRecord(member, record == nullptr ? nullptr : &record->value);
      if (record != nullptr) usage_exchange_.OnMembersChanged();
      UpdateRetryShare(member, record != nullptr);
    }
  }

  void UpdateRetryShare(const std::string& member, bool is_listed) {
    const MonoTime now = loop_->Now();
    const int previous = retry_share_.CountMembers(now);
    if (is_listed) {
      retry_share_.OnMember(member, now);
    } else {
      retry_share_.OnMemberGone(member, now);
    }
    const int members = retry_share_.CountMembers(now);
    if (members == previous) return;
    log_.Write(LogLine("retry_members")
                   .Add("members", members)
                   .Add("previous", previous));
  }

  // Returns nullopt while the store is unreachable, so that no orders are sent:
  // without the store the daemon knows neither the current engines nor whether
  // another daemon sends orders.
  std::optional<RoleController::FleetLoad> LoadForBalancing() const {
    if (!IsReady() || site_sync_.store_lost()) return std::nullopt;
    return usage_exchange_.fleet_load();
  }

  RoleController::Options RoleOptions() const {
    RoleController::Options options;
    options.record_key = RecordPrefix().append(kRoleRecordName);
    return options;
  }

  CrashExchange::Options CrashOptions() const {
    CrashExchange::Options options;
    options.record_key = RecordPrefix().append(kCrashQuarantineRecordName);
    return options;
  }

  StreamOriginJournal::Options JournalOptions() const {
    StreamOriginJournal::Options options;
    options.batch_key_prefix = RecordPrefix().append(kStreamOriginRecordPrefix);
    return options;
  }
  VersionRegistry::Options VersionOptions() const {
    VersionRegistry::Options options;
    options.key = RecordPrefix().append(kServiceVersionsRecordName);
    return options;
  }

  bool IsReady() const {
    return !leaving_ && site_sync_.config() != nullptr && site_sync_.listed();
  }

  HttpResponse ReadyResponse(const std::string& path) const {
    if (path != platform_.request_format->ready_path())
      return EmptyResponse(kStatusNotFound);
    return EmptyResponse(IsReady() ? kStatusOk : kStatusUnavailable);
  }

  HttpResponse ControlResponse(const std::string& path) {
    HttpResponse response;
    response.status = kStatusOk;
    if (path == "/metrics") {
      response.headers.Add("Content-Type", "text/plain; version=0.0.4");
      response.body = metrics_.Render();
    } else if (path == "/status") {
      response.headers.Add("Content-Type", "application/json");
      response.body = WriteJson(StatusPage());
    } else {
      response.status = kStatusNotFound;
    }
    return response;
  }

  void AddRetryBudgets(MonoTime now, Json::Value* list) const {
    *list = Json::Value(Json::arrayValue);
    for (const ServiceId& service : retry_budget_.Services()) {
      const RetryBudget::State state = retry_budget_.GetState(service, now);
      Json::Value item(Json::objectValue);
      item["service"] = service.value();
      item["requests"] = state.requests;
      item["retries"] = state.retries;
      item["allowed"] = state.allowed;
      item["slack"] = state.slack;
      list->append(item);
    }
  }

  Json::Value StatusPage() {
    const MonoTime now = loop_->Now();
    Json::Value status(Json::objectValue);
    status["name"] = settings_.name();
    status["ready"] = IsReady();
    status["leaving"] = leaving_;
    status["running"] = Json::UInt64(frontend_.running_requests());
    status["members"] = members_.size();
    status["collector"] = usage_exchange_.collector();
    status["store_lost"] = site_sync_.store_lost();
    status["store_age_ms"] =
        Json::Int64(ToMillis(now - site_sync_.last_contact()));
    status["configuration_version"] =
        site_sync_.config() == nullptr
            ? Json::Value()
            : Json::Int64(site_sync_.config()->version());
    Json::Value& back_ends = status["back_ends"] =
        Json::Value(Json::arrayValue);
    for (const auto& [id, back_end] : back_ends_.entries()) {
      const BackEndSelector::ObservedState state =
          selector_.GetObservedState(id, now);
      Json::Value item(Json::objectValue);
      item["id"] = id.value();
      item["service"] = back_end.entry.service.value();
      item["role"] = RoleName(back_end.entry.role);
      item["zone"] = back_end.entry.zone.value();
      if (const Region* const region =
              boundaries_.FindRegion(back_end.entry.zone))
        item["region"] = region->value();
      item["evacuated"] = selector_.IsEvacuated(back_end.entry);
      item["draining"] = back_end.entry.draining;
      item["leaving"] = selector_.IsLeaving(back_end.entry);
      if (const auto limit = permits_.FindLimit(back_end.entry))
        item["limit"] = *limit;
      item["warming_up"] = permits_.IsWarmingUp(back_end.entry, now);
      item["held"] = back_end.removal_pending;
      item["changes_role"] = state.changing_role;
      if (const EngineSpeed* speed =
              selector_.engine_speeds().Find(back_end.entry)) {
        item["prefill_speed"] = speed->prefill;
        item["decode_speed"] = speed->decode;
        item["speed_age_ms"] = Json::Int64(ToMillis(now - speed->measured_at));
      }
      item["open_calls"] = state.open_calls;
      item["calls_of_others"] = state.peer_calls;
      item["failures"] = state.failures;
      item["passed_over"] = state.in_backoff;
      item["last_failure"] = CallOutcomeName(state.last_failure);
      back_ends.append(item);
    }
    Json::Value& customers = status["customers"] =
        Json::Value(Json::arrayValue);
    if (site_sync_.config() == nullptr) return status;
    for (const SiteCustomer& customer : site_sync_.config()->customers()) {
      Json::Value item(Json::objectValue);
      item["id"] = customer.id.value();
      item["rate"] = customer.rate_per_second;
      item["level"] = rate_limiter_.BucketLevel(customer.id, now);
      customers.append(item);
    }
    status["retry_members"] = retry_share_.CountMembers(now);
    status["retry_share"] = retry_share_.Get(now);
    status["retry_share_established"] =
        retry_share_.GetStanding(now) == EvenShare::Standing::kEstablished;
    AddRetryBudgets(now, &status["retry_budgets"]);
    status["usage_age_ms"] =
        Json::Int64(ToMillis(rate_limiter_.ReportAge(now)));
    return status;
  }

  void AddMetrics();

  void FlushLog() {
    log_.Flush();
    log_timer_ = loop_->After(kLogFlushInterval, [this] { FlushLog(); });
  }

  void ReloadSettings() {
    const auto settings = load_settings_();
    if (!settings) {
      log_.WriteAlways(
          LogLine("reload_refused").Add("why", "invalid settings"));
      return;
    }
    settings_.set_grace_ms(settings->grace_ms());
    settings_.set_retry_budget_ratio(settings->retry_budget_ratio());
    settings_.set_retry_budget_slack(settings->retry_budget_slack());
    settings_.set_retry_budget_window_s(settings->retry_budget_window_s());
    retry_budget_.SetOptions(RetryBudgetOptions(settings_, retry_rounding_));
    retry_share_.SetWindow(RetryBudgetWindow(settings_));
    // Whoever sends SIGKILL may go by either of the two.
    if (leaving_) {
      abort_at_ = std::min(abort_at_, AbortTime());
      shutdown_.EndBy(abort_at_);
    }
    log_.WriteAlways(LogLine("reloaded").Add("grace_ms", settings_.grace_ms()));
  }

  // --- Graceful shutdown ---------------------------------------------------

  void BeginLeaving() {
    if (leaving_) return;
    leaving_ = true;
    log_.WriteAlways(
        LogLine("leaving").Add("running", frontend_.running_requests()));
    const MonoTime now = loop_->Now();
    leaving_since_ = now;
    abort_at_ = AbortTime();
    shutdown_.Begin(now + kStreamAdmissionTime, abort_at_, kCheckTime);
    caller_server_->DisableKeepAlive();
    forward_server_->DisableKeepAlive();
    helpers_.BeginLeaving();
    members_.Deregister();
    role_controller_.Stop();
    ContinueLeaving();
  }

  MonoTime AbortTime() const {
    return leaving_since_ + std::chrono::milliseconds(settings_.grace_ms()) -
           kAbortMargin;
  }

  // Runs until all connections have ended or abort_at_, which a reload of the
  // settings may move.
  void ContinueLeaving() {
    const MonoTime now = loop_->Now();
    if (!stopped_accepting_ &&
        now >= std::min(leaving_since_ + kBalancerRemovalTime, abort_at_)) {
      stopped_accepting_ = now;
      caller_server_->StopAccepting();
      forward_server_->StopAccepting();
    }
    if (now >= abort_at_) {
      EndRemainingRequests();
      return;
    }
    if (stopped_accepting_ &&
        now >= *stopped_accepting_ + kIdleConnectionGrace &&
        BusyConnections() == 0) {
      loop_->Stop();
      return;
    }
    shutdown_timer_ =
        loop_->After(std::min(kShutdownPollInterval, abort_at_ - now),
                     [this] { ContinueLeaving(); });
  }

  // Ends what is left when the grace time is nearly over, and then the loop.
  void EndRemainingRequests() {
    flush_until_ = loop_->Now() + kFlushTime;
    frontend_.EndRunningRequests();
    AwaitChecks();
  }

  void AwaitChecks() {
    const bool has_checks = frontend_.running_requests() > 0;
    if (has_checks && loop_->Now() < shutdown_.checks_end_at()) {
      shutdown_timer_ =
          loop_->After(kFlushPollInterval, [this] { AwaitChecks(); });
      return;
    }
    frontend_.EndRunningRequests();
    caller_server_->EndExchanges();
    forward_server_->EndExchanges();
    AwaitFlush();
  }

  void AwaitFlush() {
    if (BusyConnections() == 0 || loop_->Now() >= flush_until_) {
      loop_->Stop();
      return;
    }
    shutdown_timer_ =
        loop_->After(kFlushPollInterval, [this] { AwaitFlush(); });
  }

  // Of callers and of other members.
  size_t BusyConnections() const {
    return caller_server_->busy_connections() +
           forward_server_->busy_connections();
  }

  wire::EntrySettings settings_;
  const EntryPlatform& platform_;
  const SettingsLoader load_settings_;
  const std::unique_ptr<LwsLoop> loop_;
  SeededRandom random_;
  MetricsRegistry metrics_;
  LineLog log_;
  const std::unique_ptr<HttpClient> client_;
  const std::unique_ptr<KvStore> store_;
  BackEndList back_ends_;
  EvenShare retry_share_;  // Of the slack of retry_budget_.
  const double retry_rounding_;
  RetryBudget retry_budget_;
  ReservationRetryPolicy reservation_retry_;
  ReplicatedRateLimiter rate_limiter_;
  EngineMemoryReleaser releaser_;
  RelayCounters counters_;
  StageMeter stage_meter_;
  MemberList members_;
  PermitExchange permits_;
  std::vector<std::string> unreadable_regions_;
  TrafficBoundaries boundaries_;
  uint64_t evacuations_ = 0;  // Begun, as known here.
  BackEndSelector selector_;
  ReachabilityMonitor reachability_;
  HelperExchange helpers_;
  UsageExchange usage_exchange_;
  RoleController role_controller_;
  SiteSync site_sync_;
  VersionRegistry versions_;
  StreamOriginJournal stream_origin_journal_;
  StreamOriginExchange stream_origins_;
  CrashExchange crash_exchange_;
  BufferMonitor buffers_;
  ShutdownPolicy shutdown_;
  StreamDurations stream_durations_;
  const RelayDeps deps_;
  EntryFrontend frontend_;
  ForwardedHandler forwarded_handler_;
  PathHandler ready_handler_;
  PathHandler control_handler_;
  std::unique_ptr<HttpServer> caller_server_;
  std::unique_ptr<HttpServer> ready_server_;
  std::unique_ptr<HttpServer> control_server_;
  std::unique_ptr<HttpServer> forward_server_;
  std::unique_ptr<DatagramSocket> peer_socket_;
  bool leaving_ = false;
  // The following are set while leaving_.
  MonoTime leaving_since_{};
  std::optional<MonoTime> stopped_accepting_;
  MonoTime abort_at_{};
  MonoTime flush_until_{};
  TimerHandle shutdown_timer_;
  TimerHandle log_timer_;
};

void EntryDaemonImpl::AddMetrics() {
  const auto add_gauge = [this](const char* name, const char* help,
                                std::function<double()> value) {
    metrics_.AddGauge(name, help, {}, std::move(value));
  };
  add_gauge("mimosa_configuration_version",
            "Version of the configuration in force", [this] {
              return site_sync_.config()
                         ? double(site_sync_.config()->version())
                         : 0.0;
            });
  add_gauge("mimosa_members", "Daemons of the fleet, this one included",
            [this] { return double(members_.size()); });
  add_gauge("mimosa_back_ends", "Backend servers listed",
            [this] { return double(back_ends_.entries().size()); });
  add_gauge("mimosa_back_ends_leaving",
            "Backend servers whose responses said that they leave",
            [this] { return double(selector_.leaving_count()); });
  add_gauge("mimosa_failure_domains_evacuated",
            "Failure domains whose back ends get nothing new",
            [this] { return double(boundaries_.evacuated_count()); });
  add_gauge("mimosa_evacuations", "Evacuations of failure domains begun",
            [this] { return double(evacuations_); });
  for (const Barrier barrier : {Barrier::kRegions, Barrier::kEvacuated}) {
    metrics_.AddGauge(
        "mimosa_requests_without_engine",
        "Requests refused since no back end may run them",
        {{"why", BarrierName(barrier)}}, [this, barrier] {
          return double(
              frontend_.counters().refused_by_barrier[size_t(barrier)]);
        });
  }
  add_gauge("mimosa_back_end_limits",
            "Backend servers that name a limit on the requests of all daemons",
            [this] { return double(permits_.limit_count()); });
  add_gauge("mimosa_back_ends_warming_up",
            "Backend servers that take few requests for a while",
            [this] { return double(permits_.warm_up_count()); });
  add_gauge("mimosa_back_end_warm_up_times_invalid",
            "Entries whose time to warm up could not be read",
            [this] { return double(permits_.invalid_warm_up_times()); });
  for (const auto& [event, count] :
       {std::pair("requested", &PermitExchange::Counters::requests),
        std::pair("granted", &PermitExchange::Counters::granted),
        std::pair("issued", &PermitExchange::Counters::issued),
        std::pair("unanswered", &PermitExchange::Counters::unanswered)}) {
    metrics_.AddGauge("mimosa_permits",
                      "Permits for calls to backend servers that name a limit",
                      {{"event", event}}, [this, count = count] {
                        return double(permits_.counters().*count);
                      });
  }
  add_gauge("mimosa_services_unreachable",
            "Services of which this daemon reaches no backend server",
            [this] { return double(reachability_.unreachable_count()); });
  for (const auto& [event, count] :
       {std::pair("sent", &EntryCounters::forwarded),
        std::pair("admitted", &EntryCounters::forwarded_here),
        std::pair("refused", &EntryCounters::forwarded_refused)}) {
    metrics_.AddGauge("mimosa_requests_forwarded",
                      "Requests sent to other daemons, and those of others "
                      "that were admitted or refused here",
                      {{"event", event}}, [this, count = count] {
                        return double(frontend_.counters().*count);
                      });
  }
  add_gauge("mimosa_buffered_bytes",
            "Bytes held for callers and backend servers that read slowly",
            [this] { return double(buffers_.held_bytes()); });
  for (const auto& [event, count] :
       {std::pair("refused", &BufferMonitor::Counters::refused),
        std::pair("ended", &BufferMonitor::Counters::ended)}) {
    metrics_.AddGauge("mimosa_buffers",
                      "Requests refused for want of memory, and responses "
                      "ended whose callers had stalled",
                      {{"event", event}}, [this, count = count] {
                        return double(buffers_.counters().*count);
                      });
  }
  add_gauge("mimosa_store_lost", "1 while the store doesn't answer",
            [this] { return site_sync_.store_lost() ? 1.0 : 0.0; });
  add_gauge("mimosa_running_requests", "Requests being served",
            [this] { return double(frontend_.running_requests()); });
  add_gauge(
      "mimosa_callers_gone", "Requests whose caller left before the answer",
      [this] { return double(frontend_.counters().callers_disconnected); });
  add_gauge("mimosa_prefills", "Prefills begun",
            [this] { return double(counters_.prefills); });
  add_gauge("mimosa_prefills_unused", "Prefills whose result nobody took",
            [this] { return double(counters_.prefills_unused); });
  add_gauge("mimosa_rooms", "Rooms set aside at decode engines",
            [this] { return double(counters_.reservations); });
  add_gauge("mimosa_rooms_refused", "Rooms that a decode engine had not",
            [this] { return double(counters_.reservations_refused); });
  add_gauge("mimosa_role_orders", "Orders to engines to change their role",
            [this] { return double(role_controller_.orders_sent()); });
  add_gauge("mimosa_engine_speeds_dropped",
            "Implausible entries on engines' speeds in datagrams",
            [this] { return double(usage_exchange_.dropped_speeds()); });
  add_gauge("mimosa_repeats", "Requests sent to a backend server once more",
            [this] { return double(counters_.retries); });
  add_gauge("mimosa_repeats_refused", "Repeats given up for want of budget",
            [this] { return double(counters_.retries_denied); });
  add_gauge("mimosa_hedges", "Second calls beside a slow first one",
            [this] { return double(counters_.hedges); });
  add_gauge("mimosa_streams_resumed", "Streams that went on at another engine",
            [this] { return double(counters_.streams_resumed); });
  add_gauge("mimosa_streams_broken", "Streams that ended midway",
            [this] { return double(counters_.streams_broken); });
  add_gauge("mimosa_stream_origins", "Streams whose first version is kept",
            [this] { return double(stream_origins_.size()); });
  for (const auto& [result, count] :
       {std::pair("recorded", &StreamOriginExchange::Counters::found),
        std::pair("only_version", &StreamOriginExchange::Counters::implied),
        std::pair("unknown", &StreamOriginExchange::Counters::unknown)}) {
    metrics_.AddGauge("mimosa_streams_taken_up",
                      "Streams taken up by callers, by how their version was "
                      "found",
                      {{"version", result}}, [this, count = count] {
                        return double(stream_origins_.counters().*count);
                      });
  }
  for (const auto& [event, count] :
       {std::pair("batches_written",
                  &StreamOriginJournal::Counters::batches_written),
        std::pair("writes_failed",
                  &StreamOriginJournal::Counters::writes_failed),
        std::pair("origins_read",
                  &StreamOriginJournal::Counters::origins_read)}) {
    metrics_.AddGauge("mimosa_stream_origin_journal",
                      "Writes and reads of streams' versions in the store",
                      {{"event", event}}, [this, count = count] {
                        return double(stream_origin_journal_.counters().*count);
                      });
  }
  add_gauge("mimosa_prompt_parts_quarantined",
            "Parts of prompts whose requests reach no engine", [this] {
              return double(crash_exchange_.quarantined_count() -
                            crash_exchange_.quarantined_request_count());
            });
  add_gauge(
      "mimosa_requests_quarantined",
      "Requests that reach no backend server, however often repeated",
      [this] { return double(crash_exchange_.quarantined_request_count()); });
  for (const auto& [event, count] :
       {std::pair("crash_reported", &CrashExchange::Counters::crashes),
        std::pair("quarantined", &CrashExchange::Counters::quarantined),
        std::pair("trial", &CrashExchange::Counters::trials),
        std::pair("released", &CrashExchange::Counters::released),
        std::pair("request_refused", &CrashExchange::Counters::refused)}) {
    metrics_.AddGauge("mimosa_prompt_crashes",
                      "Events about prompts and requests that crash engines",
                      {{"event", event}}, [this, count = count] {
                        return double(crash_exchange_.counters().*count);
                      });
  }
  add_gauge("mimosa_back_end_pauses",
            "Rejections by backend servers that asked for a pause",
            [this] { return double(counters_.pauses); });
  add_gauge("mimosa_unlisted_incarnations",
            "Calls withheld from engines that had started again and were still "
            "listed as before",
            [this] { return double(counters_.unlisted_incarnations); });
  add_gauge("mimosa_streams_of_unknown_version",
            "Streams of engines that didn't state their incarnation",
            [this] { return double(counters_.streams_of_unknown_version); });
  add_gauge(
      "mimosa_responses_incomplete",
      "Responses of backend servers that ended in order and were truncated",
      [this] { return double(counters_.responses_incomplete); });
  add_gauge("mimosa_response_ends_checked",
            "Responses that only the close of their connection ended",
            [this] { return double(counters_.ends_checked); });
  add_gauge("mimosa_response_ends_unconfirmed",
            "Responses that only the close of their connection ended and whose "
            "backend server was not seen to outlive it",
            [this] { return double(counters_.ends_unconfirmed); });
  add_gauge("mimosa_events_misplaced",
            "Runs whose events don't follow those that the caller has.",
            [this] { return double(counters_.events_misplaced); });
  add_gauge("mimosa_log_lines_left_out", "Lines over budget or without room",
            [this] { return double(log_.lines_left_out()); });
  for (const int status : {0, 200, 400, 401, 404, 429, 500, 502, 503, 504}) {
    metrics_.AddGauge(
        "mimosa_answers", "Answers by status; 0: closed without one",
        {{"status", std::to_string(status)}}, [this, status] {
          return double(frontend_.counters().responses.Get(status));
        });
  }
  for (size_t i = 0; i < Histogram::kQuantiles.size(); ++i) {
    metrics_.AddGauge(
        "mimosa_answer_seconds", "Time to the end of an answer",
        {{"quantile", std::to_string(Histogram::kQuantiles[i])}},
        [this, i] { return frontend_.counters().latency.quantile(i); });
  }
}

}  // namespace

const char* EntryErrorName(EntryError error) {
  switch (error) {
    case EntryError::kEventLoop:
      return "cannot create the event loop";
    case EntryError::kCallerPort:
      return "cannot listen on the address of --listen";
    case EntryError::kReadyPort:
      return "cannot listen on the address of --ready-listen";
    case EntryError::kControlPort:
      return "cannot listen on the address of --control-listen";
    case EntryError::kPeerPort:
      return "cannot bind the address of --peer-listen";
  }
  return "unknown";
}

leaf::result<std::unique_ptr<EntryDaemon>> EntryDaemon::Create(
    const wire::EntrySettings& settings, const EntryPlatform& platform,
    SettingsLoader load_settings) {
  auto loop = LwsLoop::Create();
  if (!loop) return leaf::new_error(EntryError::kEventLoop);
  auto daemon = std::make_unique<EntryDaemonImpl>(
      settings, platform, std::move(load_settings), std::move(loop));
  BOOST_LEAF_CHECK(daemon->Listen());
  return std::unique_ptr<EntryDaemon>(std::move(daemon));
}

}  // namespace mimosa
