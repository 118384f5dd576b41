// Releases engine memory that no request will use: KV handles (prefill results)
// and reservations. Both occupy engine memory until they expire.
#ifndef SERVING_ENGINE_MEMORY_RELEASER_H_
#define SERVING_ENGINE_MEMORY_RELEASER_H_

#include <list>
#include <memory>
#include <string>

#include "net/event_loop.h"
#include "net/http.h"
#include "serving/request_format.h"

namespace mimosa {

class EngineMemoryReleaser {
 public:
  EngineMemoryReleaser(EventLoop* loop, HttpClient* client,
                       const RequestFormat* format)
      : loop_(loop), client_(client), format_(format) {}

  // Each sends one request without retries: what it fails to release expires by
  // itself.
  void ReleaseHandle(const KvHandle& handle);
  void ReleaseReservation(const Endpoint& engine,
                          const std::string& reservation_id);

 private:
  void Send(const Endpoint& engine, HttpRequest request);

  using Calls = std::list<std::unique_ptr<HttpCall>>;

  EventLoop* const loop_;
  HttpClient* const client_;
  const RequestFormat* const format_;
  Calls calls_;  // In flight.
};

}  // namespace mimosa

#endif  // SERVING_ENGINE_MEMORY_RELEASER_H_
