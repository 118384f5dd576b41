// Frees results of prefills that nobody will take: they hold engine memory
// until they lapse.
#ifndef SERVING_HANDLE_FREER_H_
#define SERVING_HANDLE_FREER_H_

#include <list>
#include <memory>

#include "net/event_loop.h"
#include "net/http.h"
#include "serving/request_format.h"

namespace mimosa {

class HandleFreer {
 public:
  HandleFreer(EventLoop* loop, HttpClient* client, const RequestFormat* format)
      : loop_(loop), client_(client), format_(format) {}

  // One attempt: what it doesn't free lapses by itself.
  void Free(const KvHandle& handle);

 private:
  using Calls = std::list<std::unique_ptr<HttpCall>>;

  EventLoop* const loop_;
  HttpClient* const client_;
  const RequestFormat* const format_;
  Calls calls_;
};

}  // namespace mimosa

#endif  // SERVING_HANDLE_FREER_H_
