// Shares the origins of streams between the daemons of the fleet, so that a
// stream that was broken by the end of a daemon can be taken up at any other.
//
// Model: while the engines of a service have several software versions, each
// daemon sends the origins of its streams to a few keepers, the members with
// the highest rendezvous hashes for the stream's request. A daemon at which a
// caller takes a stream up asks the same members. If none of them knows the
// stream, it may go on only if decide/version_consensus.h finds from their
// views that one version has begun every stream; more members are asked while
// that takes more views.
//
// Through a journal (serving/stream_origin_journal.h) the store keeps origins,
// too, in case that all daemons end at once.
//
// Cost: nothing while services have one version each, apart from a query for
// each stream taken up; else kKeepers datagrams a stream, whatever the fleet's
// size.
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
#include "decide/software_version_history.h"
#include "decide/stream_origins.h"
#include "decide/version_consensus.h"
#include "net/datagram.h"
#include "net/event_loop.h"
#include "serving/member_list.h"
#include "serving/stream_origin_directory.h"
#include "serving/stream_origin_journal.h"

namespace mimosa {

class StreamOriginExchange : public StreamOriginDirectory,
                             private StreamOriginJournal::Reader {
 public:
  struct Options {
    // Time after which an unanswered query is sent again, and after which its
    // answer is no longer waited for.
    Duration query_interval = std::chrono::milliseconds(40);
    Duration query_timeout = std::chrono::milliseconds(120);
    // Timeout of further queries, for views only.
    Duration view_timeout = std::chrono::milliseconds(60);
  };
  struct Counters {
    uint64_t lookups = 0;
    uint64_t found = 0;    // The origin was recorded.
    uint64_t implied = 0;  // Unknown, but only one version has served.
    uint64_t unknown = 0;
  };
  // Returns whether the list of backend servers is current: the store has
  // answered lately.
  using IsListCurrent = std::function<bool()>;

  // Number of members that keep a copy of an origin, and that are asked at
  // once.
  static constexpr size_t kKeepers = 3;
  // Largest number of members that are asked in one lookup.
  static constexpr size_t kMaxAsked = 4 * kKeepers;

  // Without `journal`, the store keeps nothing.
  StreamOriginExchange(EventLoop* loop, const MemberList* members,
                       const BackEndList* back_ends, LineLog* log,
                       IsListCurrent is_list_current, const Options& options,
                       StreamOriginJournal* journal = nullptr);
  ~StreamOriginExchange() override;

  // `socket` must outlive the exchange.
  void Start(DatagramSocket* socket);
  // Sets how long after its first event a stream can be taken up.
  void SetStreamLifetime(Duration lifetime);
  // The list of backend servers has changed.
  void OnBackEndsChanged();
  void OnDatagram(const Endpoint& from, const wire::UsageDatagram& datagram);

  // StreamOriginDirectory:
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
  void OnVersionRead(const ServiceId& service,
                     const SoftwareVersion& version) override;
  std::optional<VersionsByService> CurrentVersions() const override;

  VersionView OwnView(const ServiceId& service) const;
  // Queues an origin of this daemon for its keepers and the store.
  void QueueReport(const RequestId& request, const Origin& origin);
  void SendReports();
  void SendQuery(const std::string& member, const Lookup& lookup);
  void HandleReport(const wire::StreamOriginReport& report);
  void HandleQuery(const wire::StreamOriginQuery& query, const Endpoint& from);
  void HandleAnswer(const wire::StreamOriginAnswer& answer,
                    const Endpoint& from);
  void Send(const Endpoint& to, const wire::UsageDatagram& datagram);
  // Counts and logs the result of a lookup.
  void RecordResult(const Lookup& lookup, bool recorded,
                    const std::optional<SoftwareVersion>& version);

  EventLoop* const loop_;
  const MemberList* const members_;
  const BackEndList* const back_ends_;
  LineLog* const log_;
  const IsListCurrent is_list_current_;
  const Options options_;
  StreamOriginJournal* const journal_;  // May be null.
  DatagramSocket* socket_ = nullptr;
  StreamOrigins origins_;
  SoftwareVersionHistory history_;
  // Services whose streams may have had several versions at the last change.
  std::set<ServiceId> mixed_services_;
  // Origins to be sent, by the name of the keeper.
  std::map<std::string, wire::StreamOriginReport> reports_;
  TimerHandle report_timer_;
  uint64_t last_serial_ = 0;
  std::map<uint64_t, Lookup*> lookups_;  // Pending ones, by serial.
  Counters counters_;
};

}  // namespace mimosa

#endif  // SERVING_STREAM_ORIGIN_EXCHANGE_H_
