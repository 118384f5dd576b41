// Reports, queries and the decision of lookups.
#include "serving/stream_origin_exchange.h"

#include <algorithm>
#include <utility>

#include "serving/stream_origin_messages.h"

namespace mimosa {
namespace {

std::string JoinedBySpaces(const std::set<std::string>& names) {
  std::string joined;
  for (const std::string& name : names)
    joined += (joined.empty() ? "" : " ") + name;
  return joined;
}

}  // namespace

// A lookup ends with the first member that knows the origin, or with a reading
// of the record of versions once the keepers have answered or are late: that of
// this daemon, else those of other members.
class StreamOriginExchange::Lookup : public StreamOriginLookup {
 public:
  Lookup(StreamOriginExchange* exchange, RequestId request, ServiceId service,
         FindCallback callback)
      : exchange_(exchange),
        request_(std::move(request)),
        service_(std::move(service)),
        callback_(std::move(callback)),
        serial_(++exchange->last_serial_),
        began_at_(exchange->loop_->Now()),
        // Requests that name none are spread over the members by daemon.
        members_(exchange->members_->TopOthers(
            request_.empty() ? exchange->members_->self().name()
                             : request_.value(),
            kMaxReaders)) {
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
        return;
      }
      stage_ = Stage::kAskingKeepers;
      question_ = exchange_->versions_->Read(
          [this](const std::optional<VersionReading>& reading) {
            OnOwnReading(reading);
          });
      AskMembers(/*begin=*/0, exchange_->options_.query_timeout);
    });
  }

  void OnAnswer(const std::string& member,
                const wire::StreamOriginAnswer& answer) {
    if (unanswered_.erase(member) == 0) return;
    heard_.insert(member);
    if (answer.known()) {
      Origin origin;
      origin.service = ServiceId(answer.service());
      if (!answer.has_unknown_version())
        origin.software_version = SoftwareVersion(answer.software_version());
      exchange_->KeepFoundOrigin(request_, origin);
      FinishRecorded(origin.service, origin.software_version);
    } else if (stage_ == Stage::kAskingReaders && answer.has_read_versions()) {
      std::optional<SoftwareVersion> version;
      if (answer.has_only_version())
        version = SoftwareVersion(answer.only_version());
      Finish(/*recorded=*/false, std::move(version));
    } else if (unanswered_.empty()) {
      OnMembersHeard();
    }
  }

  uint64_t serial() const { return serial_; }
  const RequestId& request() const { return request_; }
  const ServiceId& service() const { return service_; }
  // The members that have answered, and those that haven't in time.
  const std::set<std::string>& heard() const { return heard_; }
  const std::set<std::string>& silent() const { return silent_; }
  // Whether this daemon has read the record of versions.
  bool has_own_reading() const { return own_reading_.has_value(); }
  MonoTime began_at() const { return began_at_; }

 private:
  enum class Stage { kBegin, kAskingKeepers, kAwaitingReading, kAskingReaders };

  void AskMembers(size_t begin, Duration timeout) {
    asked_ = std::min(members_.size(), begin + kKeepers);
    unanswered_.clear();
    for (size_t i = begin; i < asked_; ++i) unanswered_.insert(members_[i]);
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
      exchange_->SendQuery(member, *this, stage_ == Stage::kAskingReaders);
    timer_ = exchange_->loop_->After(exchange_->options_.query_interval,
                                     [this] { SendQueries(); });
  }

  // The members that were asked have answered, or their time is over.
  void OnMembersHeard() {
    timer_.Cancel();
    silent_.insert(unanswered_.begin(), unanswered_.end());
    if (stage_ == Stage::kAskingKeepers) {
      stage_ = Stage::kAwaitingReading;
      if (question_ == nullptr) OnReadingAndKeepersHeard();
    } else if (stage_ == Stage::kAskingReaders) {
      if (asked_ < members_.size()) {
        AskMembers(asked_, exchange_->options_.reading_timeout);
      } else {
        Finish(/*recorded=*/false, std::nullopt);
      }
    }
  }

  void OnOwnReading(const std::optional<VersionReading>& reading) {
    question_.reset();
    own_reading_ = reading;
    if (stage_ == Stage::kAwaitingReading) OnReadingAndKeepersHeard();
  }

  void OnReadingAndKeepersHeard() {
    if (own_reading_) {
      Finish(/*recorded=*/false, ImpliedVersion(*own_reading_, service_));
      return;
    }
    stage_ = Stage::kAskingReaders;
    // Late answers to the queries before say nothing about the record.
    exchange_->lookups_.erase(serial_);
    serial_ = ++exchange_->last_serial_;
    exchange_->lookups_[serial_] = this;
    AskMembers(/*begin=*/0, exchange_->options_.reading_timeout);
  }

  // A stream doesn't go on at another service than the one that began it.
  void FinishRecorded(const ServiceId& service,
                      std::optional<SoftwareVersion> version) {
    if (service != service_) version.reset();
    Finish(/*recorded=*/true, std::move(version));
  }

  void Finish(bool recorded, std::optional<SoftwareVersion> version) {
    timer_.Cancel();
    question_.reset();
    unanswered_.clear();
    exchange_->RecordResult(*this, recorded, version);
    const FindCallback callback = std::move(callback_);
    callback(std::move(version));  // May destroy this.
  }

  StreamOriginExchange* const exchange_;
  const RequestId request_;
  const ServiceId service_;
  FindCallback callback_;
  uint64_t serial_;
  const MonoTime began_at_;
  const std::vector<std::string> members_;  // In the order of asking.
  Stage stage_ = Stage::kBegin;
  size_t asked_ = 0;  // Members up to this one have been asked at this stage.
  // Of the members asked last, those that haven't answered.
  std::set<std::string> unanswered_;
  std::set<std::string> heard_;
  std::set<std::string> silent_;
  MonoTime give_up_at_{};
  // Null before the own reading is requested, and once it is over.
  std::unique_ptr<VersionRegistry::Question> question_;
  std::optional<VersionReading> own_reading_;
  TimerHandle timer_;
};

StreamOriginExchange::StreamOriginExchange(EventLoop* loop,
                                           const MemberList* members,
                                           LineLog* log, const Options& options,
                                           VersionRegistry* versions,
                                           StreamOriginJournal* journal)
    : loop_(loop),
      members_(members),
      log_(log),
      options_(options),
      versions_(versions),
      journal_(journal) {
  versions_->SetObserver([this] { OnVersionsChanged(); });
}

StreamOriginExchange::~StreamOriginExchange() = default;

void StreamOriginExchange::Start(DatagramSocket* socket) {
  socket_ = socket;
  journal_->Start(this, socket);
}

void StreamOriginExchange::SetStreamLifetime(Duration lifetime) {
  origins_.SetLifetime(lifetime);
  versions_->SetStreamLifetime(lifetime);
  journal_->SetStreamLifetime(lifetime);
}

void StreamOriginExchange::OnVersionsChanged() {
  std::set<ServiceId> mixed;
  for (const auto& [service, versions] : versions_->recorded_versions()) {
    if (versions.size() < 2) continue;
    // Streams that began before are taken up, too.
    if (mixed_services_.count(service) == 0)
      ReportLocalOrigins(service, Report::kToKeepersAndStore);
    mixed.insert(service);
  }
  mixed_services_ = std::move(mixed);
}

// Members that can't read the record have only the origins to go by.
void StreamOriginExchange::OnStoreLost() {
  for (const auto& [service, versions] : versions_->recorded_versions())
    if (versions.size() < 2) ReportLocalOrigins(service, Report::kToKeepers);
}

void StreamOriginExchange::ReportLocalOrigins(const ServiceId& service,
                                              Report report) {
  for (const auto& [request, origin] :
       origins_.LocalOrigins(service, loop_->Now()))
    QueueReport(request, origin, report);
}

void StreamOriginExchange::OnOriginRead(const RequestId& request,
                                        const Origin& origin) {
  origins_.Record(request, origin, loop_->Now());
}

void StreamOriginExchange::KeepFoundOrigin(const RequestId& request,
                                           Origin origin) {
  const MonoTime now = loop_->Now();
  // When the stream began isn't known.
  origin.began = now;
  origins_.Record(request, origin, now);
}

void StreamOriginExchange::Record(
    const RequestId& request, const ServiceId& service,
    const std::optional<SoftwareVersion>& version) {
  const MonoTime now = loop_->Now();
  const Origin origin{service, version, now, /*is_local=*/true};
  origins_.Record(request, origin, now);
  const auto recorded = versions_->recorded_versions().find(service);
  const bool is_implied =
      version && recorded != versions_->recorded_versions().end() &&
      recorded->second == std::set<SoftwareVersion>{*version};
  if (!is_implied) {
    QueueReport(request, origin, Report::kToKeepersAndStore);
  } else if (!versions_->is_list_current()) {
    QueueReport(request, origin, Report::kToKeepers);
  }
}

std::unique_ptr<StreamOriginLookup> StreamOriginExchange::Find(
    const RequestId& request, const ServiceId& service, FindCallback callback) {
  ++counters_.lookups;
  auto lookup =
      std::make_unique<Lookup>(this, request, service, std::move(callback));
  lookup->Start();
  return lookup;
}

void StreamOriginExchange::QueueReport(const RequestId& request,
                                       const Origin& origin, Report report) {
  for (const std::string& keeper :
       members_->TopOthers(request.value(), kKeepers)) {
    detail::WriteOrigin(request, origin, loop_->Now(),
                        reports_[keeper].add_origins());
  }
  if (report == Report::kToKeepersAndStore) journal_->Add(request, origin);
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
                                     const Lookup& lookup,
                                     bool reads_versions) {
  const auto to = members_->FindAddress(member);
  if (!to) return;
  wire::UsageDatagram datagram;
  wire::StreamOriginQuery* const query = datagram.mutable_origin_query();
  query->set_serial(lookup.serial());
  query->set_request(lookup.request().value());
  query->set_service(lookup.service().value());
  query->set_reads_versions(reads_versions);
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
  const auto origin = origins_.Find(RequestId(query.request()), loop_->Now());
  if (origin) {
    wire::UsageDatagram datagram;
    wire::StreamOriginAnswer* const answer = datagram.mutable_origin_answer();
    answer->set_serial(query.serial());
    answer->set_known(true);
    answer->set_has_unknown_version(!origin->software_version);
    if (origin->software_version)
      answer->set_software_version(origin->software_version->value());
    answer->set_service(origin->service.value());
    Send(from, datagram);
    return;
  }
  if (!query.reads_versions()) {
    SendReading(query, from, std::nullopt);
    return;
  }
  if (readings_.size() >= kMaxPendingQueries) return;
  const uint64_t number = ++last_reading_;
  readings_[number] =
      versions_->Read([this, query, from,
                       number](const std::optional<VersionReading>& reading) {
        SendReading(query, from, reading);
        readings_.erase(number);
      });
}

void StreamOriginExchange::SendReading(
    const wire::StreamOriginQuery& query, const Endpoint& to,
    const std::optional<VersionReading>& reading) {
  wire::UsageDatagram datagram;
  wire::StreamOriginAnswer* const answer = datagram.mutable_origin_answer();
  answer->set_serial(query.serial());
  answer->set_has_read_versions(reading.has_value());
  if (reading) {
    if (const auto version =
            ImpliedVersion(*reading, ServiceId(query.service())))
      answer->set_only_version(version->value());
  }
  Send(to, datagram);
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
                  .Add("list_current", versions_->is_list_current())
                  .Add("has_read_versions", lookup.has_own_reading())
                  .AddMillis("after_ms", loop_->Now() - lookup.began_at())
                  .Add("software_version",
                       version ? version->value() : std::string("unknown")));
}

}  // namespace mimosa
