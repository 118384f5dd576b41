// The platform's key-value service over HTTP: KvStore by the protocol that
// router/kv_store.h writes down.
//
// Reads travel on kept-alive connections. Writes that are not idempotent get a
// fresh connection each, so that "not sent" is exact: a write fails with
// kUnavailable only if no byte of it went out or the platform refused it, and
// with kNoReply in every other case without an answer.
#ifndef ROUTER_KV_CLIENT_H_
#define ROUTER_KV_CLIENT_H_

#include <map>
#include <string>
#include <utility>

#include "base/metrics.h"
#include "net/http.h"
#include "router/kv_store.h"

namespace mimosa {

struct KvClientOptions {
  Endpoint platform;
  Duration connect_timeout = std::chrono::seconds(1);
  // From the request to the whole answer's head; a watch may wait this much
  // longer than it asked for.
  Duration call_timeout = std::chrono::seconds(3);
};

class KvClient : public KvStore {
 public:
  // `metrics` may be null; else calls are counted by kind and result.
  KvClient(HttpClient* client, const KvClientOptions& options,
           MetricsRegistry* metrics);

  [[nodiscard]] CallPtr Get(const std::string& key, Done done) override;
  [[nodiscard]] CallPtr Put(const std::string& key, std::string value,
                            Revision expect, const std::string& lease,
                            Done done) override;
  [[nodiscard]] CallPtr Delete(const std::string& key, Revision expect,
                               Done done) override;
  [[nodiscard]] CallPtr List(const std::string& prefix, ListDone done) override;
  [[nodiscard]] CallPtr Watch(const std::string& prefix, Revision after,
                              Duration wait, ListDone done) override;
  [[nodiscard]] CallPtr CreateLease(Duration ttl, Done done) override;
  [[nodiscard]] CallPtr RenewLease(const std::string& lease,
                                   Done done) override;
  [[nodiscard]] CallPtr EndLease(const std::string& lease, Done done) override;
  [[nodiscard]] CallPtr ListVms(VmsDone done) override;

 private:
  // What decides how a call is sent and what its loss means.
  enum class Repeat { kHarmless, kNever };
  struct Call {
    const char* kind;
    const char* method;
    std::string target;
    Repeat repeat = Repeat::kHarmless;
    std::string body = {};
    Duration wait = Duration::zero();
  };

  CallPtr Start(Call call, std::function<void(KvStatus, HttpResponse)> done);
  CallPtr StartRecordCall(Call call, std::string key, Done done);
  CallPtr StartLeaseCall(Call call, Done done);
  CallPtr StartListCall(Call call, ListDone done);
  void Count(const char* kind, KvStatus status);

  HttpClient* const client_;
  const KvClientOptions options_;
  MetricsRegistry* const metrics_;
  std::map<std::pair<const char*, KvStatus>, Counter*> counters_;
};

}  // namespace mimosa

#endif  // ROUTER_KV_CLIENT_H_
