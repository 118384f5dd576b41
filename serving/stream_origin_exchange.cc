// Reports, queries and the decision of lookups.
#include "serving/stream_origin_exchange.h"

#include <algorithm>
#include <utility>

#include "serving/stream_origin_messages.h"

namespace mimosa {
namespace {

std::string JoinedBySpaces(const std::vector<std::string>& names) {
  std::string joined;
  for (const std::string& name : names)
    joined += (joined.empty() ? "" : " ") + name;
  return joined;
}

}  // namespace

// A lookup ends with the first member that knows the origin. Otherwise it asks
// the keepers, and more members while an established view is missing.
class StreamOriginExchange::Lookup : public StreamOriginLookup {
 public:
  Lookup(StreamOriginExchange* exchange, RequestId request, ServiceId service,
         FindCallback callback)
      : exchange_(exchange),
        request_(std::move(request)),
        service_(std::move(service)),
        callback_(std::move(callback)),
        serial_(++exchange->last_serial_),
        // Requests that name none are spread over the members by daemon.
        members_(exchange->members_->TopOthers(
            request_.empty() ? exchange->members_->self().name()
                             : request_.value(),
            kMaxAsked)),
        consensus_(exchange->OwnView(service_), exchange->is_list_current_()) {
    exchange_->lookups_[serial_] = this;
  }
  ~Lookup() override { exchange_->lookups_.erase(serial_); }

  void Start() {
    const auto origin =
        exchange_->origins_.Find(request_, exchange_->loop_->Now());
    // The callback never runs from within Find().
    timer_ = exchange_->loop_->After(Duration::zero(), [this, origin] {
      if (origin) {
        FinishRecorded(origin->service, origin->software_version);
      } else {
        AskNextMembers(exchange_->options_.query_timeout);
      }
    });
  }

  void OnAnswer(const std::string& member,
                const wire::StreamOriginAnswer& answer) {
    if (unanswered_.erase(member) == 0) return;
    heard_.push_back(member);
    if (answer.known()) {
      std::optional<SoftwareVersion> version;
      if (!answer.has_unknown_version())
        version = SoftwareVersion(answer.software_version());
      FinishRecorded(ServiceId(answer.service()), std::move(version));
      return;
    }
    VersionView view;
    if (answer.has_only_version())
      view.only_version = SoftwareVersion(answer.only_version());
    view.is_established = answer.is_established();
    consensus_.AddView(view);
    if (unanswered_.empty()) OnMembersHeard();
  }

  uint64_t serial() const { return serial_; }
  const RequestId& request() const { return request_; }
  const ServiceId& service() const { return service_; }
  // The members that have answered, and those that haven't in time.
  const std::vector<std::string>& heard() const { return heard_; }
  const std::vector<std::string>& silent() const { return silent_; }

 private:
  void AskNextMembers(Duration timeout) {
    const size_t end = std::min(members_.size(), asked_ + kKeepers);
    unanswered_.clear();
    for (; asked_ < end; ++asked_) unanswered_.insert(members_[asked_]);
    give_up_at_ = exchange_->loop_->Now() + timeout;
    SendQueries();
  }

  // Sends queries to the members that haven't answered, until the timeout.
  void SendQueries() {
    if (unanswered_.empty() || exchange_->loop_->Now() >= give_up_at_) {
      OnMembersHeard();
      return;
    }
    for (const std::string& member : unanswered_)
      exchange_->SendQuery(member, *this);
    timer_ = exchange_->loop_->After(exchange_->options_.query_interval,
                                     [this] { SendQueries(); });
  }

  // The members that were asked have answered, or their time is over.
  void OnMembersHeard() {
    silent_.insert(silent_.end(), unanswered_.begin(), unanswered_.end());
    if (consensus_.needs_established_view() && asked_ < members_.size()) {
      AskNextMembers(exchange_->options_.view_timeout);
    } else {
      Finish(/*recorded=*/false, consensus_.version());
    }
  }

  // A stream doesn't go on at another service than the one that began it.
  void FinishRecorded(const ServiceId& service,
                      std::optional<SoftwareVersion> version) {
    if (service != service_) version.reset();
    Finish(/*recorded=*/true, std::move(version));
  }

  void Finish(bool recorded, std::optional<SoftwareVersion> version) {
    timer_.Cancel();
    unanswered_.clear();
    exchange_->RecordResult(*this, recorded, version);
    const FindCallback callback = std::move(callback_);
    callback(std::move(version));  // May destroy this.
  }

  StreamOriginExchange* const exchange_;
  const RequestId request_;
  const ServiceId service_;
  FindCallback callback_;
  const uint64_t serial_;
  const std::vector<std::string> members_;  // In the order of asking.
  size_t asked_ = 0;  // The first members that have been asked.
  // Of the members asked last, those that haven't answered.
  std::set<std::string> unanswered_;
  std::vector<std::string> heard_;
  std::vector<std::string> silent_;
  MonoTime give_up_at_{};
  VersionConsensus consensus_;
  TimerHandle timer_;
};

StreamOriginExchange::StreamOriginExchange(
    EventLoop* loop, const MemberList* members, const BackEndList* back_ends,
    LineLog* log, IsListCurrent is_list_current, const Options& options,
    StreamOriginJournal* journal)
    : loop_(loop),
      members_(members),
      back_ends_(back_ends),
      log_(log),
      is_list_current_(std::move(is_list_current)),
      options_(options),
      journal_(journal) {}

StreamOriginExchange::~StreamOriginExchange() = default;

void StreamOriginExchange::Start(DatagramSocket* socket) {
  socket_ = socket;
  if (journal_ != nullptr) journal_->Start(this, socket);
}

void StreamOriginExchange::SetStreamLifetime(Duration lifetime) {
  origins_.SetLifetime(lifetime);
  if (journal_ != nullptr) journal_->SetStreamLifetime(lifetime);
}

void StreamOriginExchange::OnBackEndsChanged() {
  const MonoTime now = loop_->Now();
  history_.Update(*back_ends_, now);
  std::set<ServiceId> mixed;
  for (const auto& [service, versions] :
       history_.Versions(now, origins_.lifetime())) {
    if (versions.size() < 2) continue;
    // Streams that began before are taken up, too.
    if (mixed_services_.count(service) == 0)
      for (const auto& [request, origin] : origins_.LocalOrigins(service, now))
        QueueReport(request, origin);
    mixed.insert(service);
  }
  mixed_services_ = std::move(mixed);
  if (journal_ != nullptr) journal_->OnVersionsChanged();
}

void StreamOriginExchange::OnOriginRead(const RequestId& request,
                                        const Origin& origin) {
  const MonoTime now = loop_->Now();
  origins_.Record(request, origin, now);
  if (origin.software_version)
    history_.RecordSighting(origin.service, *origin.software_version,
                            origin.began);
}

void StreamOriginExchange::OnVersionRead(const ServiceId& service,
                                         const SoftwareVersion& version) {
  const MonoTime now = loop_->Now();
  const VersionsByService known = history_.Versions(now, origins_.lifetime());
  const auto versions = known.find(service);
  // Of a version that it has seen itself, this daemon knows when it left.
  if (versions == known.end() || versions->second.count(version) == 0)
    history_.RecordSighting(service, version, now);
}

std::optional<VersionsByService> StreamOriginExchange::CurrentVersions() const {
  if (!is_list_current_()) return std::nullopt;
  return history_.Versions(loop_->Now(), origins_.lifetime());
}

void StreamOriginExchange::Record(
    const RequestId& request, const ServiceId& service,
    const std::optional<SoftwareVersion>& version) {
  const MonoTime now = loop_->Now();
  const Origin origin{service, version, now, /*is_local=*/true};
  origins_.Record(request, origin, now);
  if (!version || OwnView(service).only_version != version)
    QueueReport(request, origin);
}

std::unique_ptr<StreamOriginLookup> StreamOriginExchange::Find(
    const RequestId& request, const ServiceId& service, FindCallback callback) {
  ++counters_.lookups;
  auto lookup =
      std::make_unique<Lookup>(this, request, service, std::move(callback));
  lookup->Start();
  return lookup;
}

VersionView StreamOriginExchange::OwnView(const ServiceId& service) const {
  const MonoTime now = loop_->Now();
  const Duration lifetime = origins_.lifetime();
  return {history_.OnlyVersion(service, now, lifetime),
          history_.IsEstablished(now, lifetime)};
}

void StreamOriginExchange::QueueReport(const RequestId& request,
                                       const Origin& origin) {
  for (const std::string& keeper :
       members_->TopOthers(request.value(), kKeepers)) {
    detail::WriteOrigin(request, origin, loop_->Now(),
                        reports_[keeper].add_origins());
  }
  if (journal_ != nullptr) journal_->Add(request, origin);
  // Sent at the end of the loop's iteration, so that several go in one
  // datagram.
  if (!report_timer_)
    report_timer_ = loop_->After(Duration::zero(), [this] { SendReports(); });
}

void StreamOriginExchange::SendReports() {
  report_timer_.Cancel();
  const auto reports = std::exchange(reports_, {});
  for (const auto& [keeper, report] : reports) {
    const auto to = members_->FindAddress(keeper);
    if (!to) continue;
    wire::UsageDatagram datagram;
    for (const wire::StreamOrigin& origin : report.origins()) {
      wire::StreamOriginReport* const part = datagram.mutable_origin_report();
      *part->add_origins() = origin;
      if (part->origins_size() < detail::kMaxOriginsPerReport) continue;
      Send(*to, datagram);
      datagram.Clear();
    }
    if (datagram.has_origin_report()) Send(*to, datagram);
  }
}

void StreamOriginExchange::SendQuery(const std::string& member,
                                     const Lookup& lookup) {
  const auto to = members_->FindAddress(member);
  if (!to) return;
  wire::UsageDatagram datagram;
  wire::StreamOriginQuery* const query = datagram.mutable_origin_query();
  query->set_serial(lookup.serial());
  query->set_request(lookup.request().value());
  query->set_service(lookup.service().value());
  Send(*to, datagram);
}

void StreamOriginExchange::OnDatagram(const Endpoint& from,
                                      const wire::UsageDatagram& datagram) {
  if (datagram.has_origin_report()) HandleReport(datagram.origin_report());
  if (datagram.has_origin_query()) HandleQuery(datagram.origin_query(), from);
  if (datagram.has_origin_answer())
    HandleAnswer(datagram.origin_answer(), from);
}

void StreamOriginExchange::HandleReport(
    const wire::StreamOriginReport& report) {
  const MonoTime now = loop_->Now();
  for (const wire::StreamOrigin& item : report.origins())
    origins_.Record(RequestId(item.request()), detail::ReadOrigin(item, now),
                    now);
}

void StreamOriginExchange::HandleQuery(const wire::StreamOriginQuery& query,
                                       const Endpoint& from) {
  const ServiceId service(query.service());
  wire::UsageDatagram datagram;
  wire::StreamOriginAnswer* const answer = datagram.mutable_origin_answer();
  answer->set_serial(query.serial());
  const auto origin = origins_.Find(RequestId(query.request()), loop_->Now());
  answer->set_known(origin.has_value());
  if (origin) {
    answer->set_has_unknown_version(!origin->software_version);
    if (origin->software_version)
      answer->set_software_version(origin->software_version->value());
    answer->set_service(origin->service.value());
  } else {
    const VersionView view = OwnView(service);
    if (view.only_version) answer->set_only_version(view.only_version->value());
    // A list that lacks changes proves nothing.
    answer->set_is_established(view.is_established && is_list_current_());
  }
  Send(from, datagram);
}

void StreamOriginExchange::HandleAnswer(const wire::StreamOriginAnswer& answer,
                                        const Endpoint& from) {
  const auto lookup = lookups_.find(answer.serial());
  if (lookup == lookups_.end()) return;  // Late or sent twice.
  const std::string address = from.ToString();
  for (const auto& [name, member] : members_->others()) {
    if (member.peer_address() != address) continue;
    lookup->second->OnAnswer(name, answer);
    return;
  }
}

void StreamOriginExchange::Send(const Endpoint& to,
                                const wire::UsageDatagram& datagram) {
  if (socket_ != nullptr) socket_->Send(to, datagram.SerializeAsString());
}

void StreamOriginExchange::RecordResult(
    const Lookup& lookup, bool recorded,
    const std::optional<SoftwareVersion>& version) {
  ++(recorded  ? counters_.found
     : version ? counters_.implied
               : counters_.unknown);
  log_->Write(LogLine("stream_origin")
                  .Add("resumes", lookup.request().value())
                  .Add("service", lookup.service().value())
                  .Add("recorded", recorded)
                  .Add("heard", JoinedBySpaces(lookup.heard()))
                  .Add("silent", JoinedBySpaces(lookup.silent()))
                  .Add("list_current", is_list_current_())
                  .Add("software_version",
                       version ? version->value() : std::string("unknown")));
}

}  // namespace mimosa
