// Releases engine memory that no request will use: KV handles (prefill results)
// and reservations. Both occupy engine memory until they expire. Nothing is
// sent to an engine that is gone, evacuated or in the pause that it asked for.
#ifndef SERVING_ENGINE_MEMORY_RELEASER_H_
#define SERVING_ENGINE_MEMORY_RELEASER_H_

#include <list>
#include <memory>
#include <string>

#include "decide/back_end_selector.h"
#include "net/event_loop.h"
#include "net/http.h"
#include "serving/request_format.h"

namespace mimosa {

class EngineMemoryReleaser {
 public:
  EngineMemoryReleaser(EventLoop* loop, HttpClient* client,
                       const RequestFormat* format,
                       const BackEndSelector* selector)
      : loop_(loop), client_(client), format_(format), selector_(selector) {}

  // Each sends one request without retries: what it fails to release expires by
  // itself. `engine` is the one that holds it.
  void ReleaseHandle(const BackEndEntry& engine, const KvHandle& handle);
  void ReleaseReservation(const BackEndEntry& engine,
                          const std::string& reservation_id);

 private:
  void Send(const BackEndEntry& engine, HttpRequest request);
  bool MayCall(const BackEndEntry& engine) const;

  using Calls = std::list<std::unique_ptr<HttpCall>>;

  EventLoop* const loop_;
  HttpClient* const client_;
  const RequestFormat* const format_;
  const BackEndSelector* const selector_;
  Calls calls_;  // In flight.
};

}  // namespace mimosa

#endif  // SERVING_ENGINE_MEMORY_RELEASER_H_
