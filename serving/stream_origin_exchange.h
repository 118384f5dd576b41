// Shares the origins of streams between the daemons of the fleet, so that a
// stream that was broken by the end of a daemon can be taken up at any other.
//
// Model: while the record of versions (serving/version_registry.h) names
// several versions of a service, or can't be read since the store doesn't
// answer, each daemon sends the origins of its streams to a few keepers, the
// members with the highest rendezvous hashes for the stream's request. A daemon
// at which a caller takes a stream up asks the same members. If none of them
// knows the stream, it goes on only at a version that the record implies, as
// read meanwhile by this daemon, or by another member if the store doesn't
// answer this one. A member that is silent implies nothing.
//
// Through a journal (serving/stream_origin_journal.h) the store keeps origins,
// too, in case that all daemons end at once.
//
// Cost: nothing while services have one version each and the store answers,
// apart from a query and a reading for the streams taken up; else kKeepers
// datagrams a stream, whatever the fleet's size.
#ifndef SERVING_STREAM_ORIGIN_EXCHANGE_H_
#define SERVING_STREAM_ORIGIN_EXCHANGE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/line_log.h"
#include "decide/stream_origins.h"
#include "decide/version_record.h"
#include "net/datagram.h"
#include "net/event_loop.h"
#include "serving/member_list.h"
#include "serving/stream_origin_directory.h"
#include "serving/stream_origin_journal.h"
#include "serving/version_registry.h"

namespace mimosa {

class StreamOriginExchange : public StreamOriginDirectory,
                             private StreamOriginJournal::Reader {
 public:
  struct Options {
    // Time after which an unanswered query is sent again, and after which its
    // answer is no longer waited for.
    Duration query_interval = std::chrono::milliseconds(40);
    Duration query_timeout = std::chrono::milliseconds(120);
    // Timeout of queries to members that read the record of versions.
    Duration reading_timeout = std::chrono::milliseconds(300);
  };
  struct Counters {
    uint64_t lookups = 0;
    uint64_t found = 0;    // The origin was recorded.
    uint64_t implied = 0;  // Unknown, but the record names one version.
    uint64_t unknown = 0;
  };

  // Number of members that keep a copy of an origin, and that are asked at
  // once.
  static constexpr size_t kKeepers = 3;
  // Largest number of members that read the record of versions for one lookup.
  static constexpr size_t kMaxReaders = 2 * kKeepers;
  // Largest number of queries that wait here for a reading.
  static constexpr size_t kMaxPendingQueries = 2000;

  StreamOriginExchange(EventLoop* loop, const MemberList* members, LineLog* log,
                       const Options& options, VersionRegistry* versions,
                       StreamOriginJournal* journal);
  ~StreamOriginExchange() override;

  // `socket` must outlive the exchange.
  void Start(DatagramSocket* socket);
  // Sets how long after its first event a stream can be taken up.
  void SetStreamLifetime(Duration lifetime);
  // The store has ceased to answer this daemon.
  void OnStoreLost();
  void OnDatagram(const Endpoint& from, const wire::UsageDatagram& datagram);

  // StreamOriginDirectory:
  const std::set<SoftwareVersion>& StartableVersions(
      const ServiceId& service) const override {
    return versions_->StartableVersions(service);
  }
  void Record(const RequestId& request, const ServiceId& service,
              const std::optional<SoftwareVersion>& version) override;
  std::unique_ptr<StreamOriginLookup> Find(const RequestId& request,
                                           const ServiceId& service,
                                           FindCallback callback) override;

  const Counters& counters() const { return counters_; }
  size_t size() const { return origins_.size(); }

 private:
  class Lookup;
  using Origin = StreamOrigins::Origin;

  // StreamOriginJournal::Reader:
  void OnOriginRead(const RequestId& request, const Origin& origin) override;

  // The record of versions has changed.
  void OnVersionsChanged();
  // Sends the origins of all streams of `service` that began at this daemon.
  enum class Report { kToKeepers, kToKeepersAndStore };
  void ReportLocalOrigins(const ServiceId& service, Report report);
  // Keeps an origin that another member knows.
  void KeepFoundOrigin(const RequestId& request, Origin origin);
  // Queues an origin of this daemon.
  void QueueReport(const RequestId& request, const Origin& origin,
                   Report report);
  void SendReports();
  void SendQuery(const std::string& member, const Lookup& lookup,
                 bool reads_versions);
  void HandleReport(const wire::StreamOriginReport& report);
  void HandleQuery(const wire::StreamOriginQuery& query, const Endpoint& from);
  // Answers a query of which the origin is unknown here.
  void SendReading(const wire::StreamOriginQuery& query, const Endpoint& to,
                   const std::optional<VersionReading>& reading);
  void HandleAnswer(const wire::StreamOriginAnswer& answer,
                    const Endpoint& from);
  void Send(const Endpoint& to, const wire::UsageDatagram& datagram);
  // Counts and logs the result of a lookup.
  void RecordResult(const Lookup& lookup, bool recorded,
                    const std::optional<SoftwareVersion>& version);

  EventLoop* const loop_;
  const MemberList* const members_;
  LineLog* const log_;
  const Options options_;
  VersionRegistry* const versions_;
  StreamOriginJournal* const journal_;
  DatagramSocket* socket_ = nullptr;
  StreamOrigins origins_;
  // Services of which the record named several versions at its last change.
  std::set<ServiceId> mixed_services_;
  // Origins to be sent, by the name of the keeper.
  std::map<std::string, wire::StreamOriginReport> reports_;
  TimerHandle report_timer_;
  uint64_t last_serial_ = 0;
  std::map<uint64_t, Lookup*> lookups_;  // Pending ones, by serial.
  // Queries of other members that wait for a reading, by their number here.
  std::map<uint64_t, std::unique_ptr<VersionRegistry::Question>> readings_;
  uint64_t last_reading_ = 0;
  Counters counters_;
};

}  // namespace mimosa

#endif  // SERVING_STREAM_ORIGIN_EXCHANGE_H_
