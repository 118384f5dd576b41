// Doubts, probes and transitions.
#include "serving/reachability_monitor.h"

#include <algorithm>
#include <utility>

namespace mimosa {

ReachabilityMonitor::ReachabilityMonitor(EventLoop* loop, HttpClient* client,
                                         const RequestFormat* format,
                                         const BackEndList* back_ends,
                                         BackEndSelector* selector,
                                         LineLog* log, const Options& options,
                                         const TrafficBoundaries* boundaries)
    : loop_(loop),
      client_(client),
      format_(format),
      selector_(selector),
      log_(log),
      options_(options),
      reachability_(back_ends, options.reachability, boundaries) {}

ReachabilityMonitor::~ReachabilityMonitor() = default;

void ReachabilityMonitor::SetServices(
    const std::vector<SiteService>& services) {
  services_.clear();
  for (const SiteService& service : services) services_[service.id] = service;
}

void ReachabilityMonitor::RecordContact(const BackEndEntry& back_end) {
  // Only its running requests are in contact.
  if (selector_->IsEvacuated(back_end)) return;
  reachability_.RecordContact(back_end, loop_->Now());
  const auto doubt = doubts_.find(back_end.service);
  if (doubt == doubts_.end()) return;
  if (doubt->second.unreachable)
    SetUnreachable(back_end.service, &doubt->second, false);
  doubts_.erase(doubt);
}

void ReachabilityMonitor::RecordMiss(const BackEndEntry& back_end) {
  if (selector_->IsEvacuated(back_end)) return;
  reachability_.RecordMiss(back_end, loop_->Now());
  RecordSilence(back_end);
}

void ReachabilityMonitor::RecordSilence(const BackEndEntry& back_end) {
  doubts_[back_end.service];
  ScheduleCheck();
}

bool ReachabilityMonitor::IsUnreachable(const ServiceId& service) const {
  return doubts_.count(service) > 0 &&
         reachability_.IsUnreachable(service, loop_->Now());
}

std::optional<Duration> ReachabilityMonitor::TimeSinceContact(
    const ServiceId& service) const {
  return reachability_.TimeSinceContact(service, loop_->Now());
}

size_t ReachabilityMonitor::unreachable_count() const {
  return static_cast<size_t>(
      std::count_if(doubts_.begin(), doubts_.end(),
                    [](const auto& item) { return item.second.unreachable; }));
}

void ReachabilityMonitor::ScheduleCheck() {
  if (check_scheduled_) return;
  check_scheduled_ = true;
  check_timer_ = loop_->After(options_.check_interval, [this] { Check(); });
}

void ReachabilityMonitor::Check() {
  check_scheduled_ = false;
  const MonoTime now = loop_->Now();
  for (auto it = doubts_.begin(); it != doubts_.end();) {
    auto& [service, doubt] = *it;
    if (reachability_.BackEndsToProbe(service).empty()) {
      it = doubts_.erase(it);
      continue;
    }
    const bool unreachable = reachability_.IsUnreachable(service, now);
    if (unreachable != doubt.unreachable)
      SetUnreachable(service, &doubt, unreachable);
    const auto silence = reachability_.TimeSinceContact(service, now);
    if (now - doubt.last_probe >= options_.probe_interval &&
        (!silence || *silence >= options_.doubt_after)) {
      doubt.last_probe = now;
      SendProbes(service);
    }
    ++it;
  }
  if (!doubts_.empty()) ScheduleCheck();
}

void ReachabilityMonitor::SendProbes(const ServiceId& service) {
  const auto known = services_.find(service);
  if (known == services_.end()) return;
  std::vector<BackEndEntry> back_ends = reachability_.BackEndsToProbe(service);
  if (back_ends.size() > options_.probes) back_ends.resize(options_.probes);
  for (BackEndEntry& back_end : back_ends) {
    HttpCallOptions call_options = CallOptionsWithTimeout(
        {back_end.ip, back_end.port}, options_.probe_timeout);
    call_options.total_timeout = options_.probe_timeout;
    call_options.max_response_bytes = kMaxInternalResponseBytes;
    HttpRequest request = format_->WriteProbe(known->second, back_end.id);
    const auto probe =
        probes_.insert(probes_.end(), Probe{std::move(back_end), nullptr});
    probe->call = Fetch(client_, call_options, std::move(request),
                        [this, probe](const HttpResult& result) {
                          OnProbeResult(probe, result);
                        });
  }
}

void ReachabilityMonitor::OnProbeResult(std::list<Probe>::iterator probe,
                                        const HttpResult& result) {
  // Destroyed later, since the call is on the stack.
  const auto ended = std::make_shared<Probe>(std::move(*probe));
  probes_.erase(probe);
  loop_->Post([ended] {});
  if (result.ok &&
      !format_->ReadResponseMarkers(result.response.headers).not_executed) {
    RecordContact(ended->back_end);
  } else if (!result.ok) {
    RecordMiss(ended->back_end);
  }
}

void ReachabilityMonitor::SetUnreachable(const ServiceId& service, Doubt* doubt,
                                         bool unreachable) {
  const MonoTime now = loop_->Now();
  LogLine line(unreachable ? "service_unreachable" : "service_reached");
  line.Add("service", service.value());
  if (unreachable) {
    const auto silence = reachability_.TimeSinceContact(service, now);
    line.AddMillis("silence_ms", silence.value_or(Duration::zero()));
  } else {
    line.AddMillis("after_ms", now - doubt->since);
    selector_->ForgetFailures(service);
  }
  log_->WriteAlways(line);
  doubt->unreachable = unreachable;
  doubt->since = now;
  if (observer_) observer_(service);
}

}  // namespace mimosa
