// HTTP/1.1 server and client, as the rest of the project sees them.
//
// This interface stands between the project and libwebsockets, so that another
// transport could take its place. libwebsockets 4.1.6 carries the sockets, the
// polling and the timers; its HTTP role is left out, because it runs the body
// completion of one POST without end when bytes follow it, hands out chunk
// framing as body, reports a cut chunked answer as whole and can't list unknown
// header fields. Boost.Beast's parser and serializer are the codec instead
// (net/http_codec.h); net/README.md has the trial and its figures. All calls
// and callbacks happen on the loop.
//
// What can be relied on:
//  - Server: a handler gets each request once, with its whole body. A request
//    whose framing can't be trusted never reaches it.
//  - Client: `sent == false` in a failure means that no byte of the request was
//    written to the connection: the back end can't have seen it.
//  - Client: OnDone means that the answer was whole by its own framing (length
//    or last chunk), or, only if the call allows it, that an answer without
//    either ended in order. An answer that ends any other way ends in OnFailed.
#ifndef NET_HTTP_H_
#define NET_HTTP_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "net/event_loop.h"

namespace mimosa {

// An IPv4 or IPv6 address in numbers, and a port. Never a name: nothing here
// resolves names.
struct Endpoint {
  std::string ip;
  uint16_t port = 0;

  // Parses "127.0.0.1:80" or "[::1]:80". Returns false and leaves `*out` alone
  // when `text` is anything else.
  static bool Parse(std::string_view text, Endpoint* out);
  std::string ToString() const;

  friend bool operator==(const Endpoint& a, const Endpoint& b) {
    return a.ip == b.ip && a.port == b.port;
  }
  friend bool operator<(const Endpoint& a, const Endpoint& b) {
    return a.ip != b.ip ? a.ip < b.ip : a.port < b.port;
  }
};

// Of a text that is known to parse, such as a checked setting.
Endpoint ParseEndpointOrDefault(std::string_view text);

// Header fields in order. Names compare without case.
class HttpHeaders {
 public:
  using Field = std::pair<std::string, std::string>;

  void Add(std::string name, std::string value);
  // Replaces every field of that name.
  void Set(std::string name, std::string value);
  void Remove(std::string_view name);
  // The first value of that name, or nullptr.
  const std::string* Find(std::string_view name) const;
  size_t Count(std::string_view name) const;

  const std::vector<Field>& fields() const { return fields_; }

 private:
  std::vector<Field> fields_;
};

struct HttpRequest {
  std::string method;
  std::string target;   // path and query as they came
  HttpHeaders headers;  // without connection-level fields
  std::string body;
};

struct HttpResponse {
  int status = 0;
  HttpHeaders headers;  // without connection-level and framing fields
  std::string body;
};

// Limits that a server enforces before a handler hears of the request.
struct HttpServerOptions {
  Endpoint listen;
  size_t max_body_bytes = 8U << 20;                         // beyond: 413
  Duration head_timeout = std::chrono::seconds(10);         // slow head: 408
  Duration body_timeout = std::chrono::seconds(30);         // slow body: 408
  Duration idle_timeout = std::chrono::seconds(60);         // keep-alive
  Duration write_stall_timeout = std::chrono::seconds(30);  // unread answer
  size_t max_connections = 20000;
};

// One request at the server, from arrival to the end of its answer. The server
// keeps it alive until the answer ended or the client went away; a handler may
// keep the pointer longer, and every call is then a no-op.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;

  virtual const HttpRequest& request() const = 0;
  // Address of the other end of the connection.
  virtual const Endpoint& client() const = 0;

  // The whole answer at once. Content-Length is added.
  virtual void Respond(HttpResponse response) = 0;

  // A streamed answer: head, any number of chunks, then Finish. With
  // `content_length` >= 0 the body goes out under that length instead of chunks
  // and Finish() before that many bytes counts as Abort().
  virtual void StartStream(int status, HttpHeaders headers,
                           int64_t content_length = -1) = 0;
  virtual void Write(std::string_view data) = 0;
  virtual void Finish() = 0;

  // Ends the answer so that the client can't take it for a whole one: the
  // connection closes without the last chunk or the promised length.
  virtual void Abort() = 0;

  // Bytes that Write() took and the connection has not: for back pressure.
  virtual size_t UnsentBytes() const = 0;

  // True once the head of the answer was handed over.
  virtual bool response_started() const = 0;
  // True once the answer ended or the client went away.
  virtual bool closed() const = 0;

  // `callback` runs once, if the client goes away before the answer ended.
  virtual void OnClientDisconnected(std::function<void()> callback) = 0;
  // `callback` runs, from the loop, whenever UnsentBytes() has fallen to zero,
  // and soon if it is zero already. Empty: no more.
  virtual void OnDrained(std::function<void()> callback) = 0;
};

class HttpHandler {
 public:
  virtual ~HttpHandler() = default;
  virtual void OnRequest(std::shared_ptr<HttpExchange> exchange) = 0;
};

class HttpServer {
 public:
  // Stops listening and closes all connections at once.
  virtual ~HttpServer() = default;
  // The port listened on (the one chosen, where the options say 0).
  virtual uint16_t port() const = 0;
  // Stops accepting connections and closes those that stay idle for a second
  // (a request may be on its way); running exchanges go on, their answers carry
  // "Connection: close". To cut nothing, wait for that second and then until
  // open_exchanges() is zero and the answers are read (two seconds at most).
  virtual void StopAccepting() = 0;
  virtual size_t open_exchanges() const = 0;
  // From now on answers carry "Connection: close"; connections are still
  // accepted, for a balancer that has not noticed yet.
  virtual void DisableKeepAlive() = 0;
  // For connections that become idle from now on.
  virtual void SetIdleTimeout(Duration timeout) = 0;
};

// Returns nullptr when the address can't be listened on. `handler` must outlive
// the server.
std::unique_ptr<HttpServer> MakeHttpServer(LwsLoop* loop,
                                           const HttpServerOptions& options,
                                           HttpHandler* handler);

enum class HttpFailure {
  kConnect,     // no connection; nothing was sent
  kNoResponse,  // closed or reset before the head of an answer came
  kTruncated,   // the answer began and did not come whole
  kTimeout,     // a timeout of HttpCallOptions passed
  kTooLarge,    // the answer's head or body went beyond the limit
  kMalformed,   // what came is not an HTTP answer
};
const char* HttpFailureName(HttpFailure failure);

struct HttpCallOptions {
  Endpoint to;
  Duration connect_timeout = std::chrono::seconds(2);
  Duration head_timeout =
      std::chrono::seconds(30);  // written to head of answer
  Duration idle_timeout =
      std::chrono::seconds(30);  // between parts of the body
  size_t max_response_bytes = 64u << 20;
  // True: may use a kept-alive connection, and leaves one. False: always a
  // fresh connection, written to at most once.
  bool reuse_connection = false;
  // A kept connection that has been idle for longer isn't used: the back end
  // may be closing it at this moment.
  Duration max_idle = std::chrono::seconds(30);
  // A kept connection that turns out closed before any answer: the request is
  // written once more on a fresh one. Must be false for requests that are not
  // idempotent.
  bool retry_on_fresh_connection = true;
  // Whether an answer without length or chunks is whole at an orderly end of
  // its connection.
  bool accept_close_delimited = false;
  // Decides by its head whether an answer is one to this request; one that
  // isn't is passed over. Empty: each is.
  std::function<bool(const HttpHeaders&)> matches_request;
};

class HttpCallHandler {
 public:
  virtual ~HttpCallHandler() = default;
  // Interim (1xx) answers are not reported. `headers` are without
  // connection-level fields; Content-Length is left in, for who passes the
  // answer on under the same framing.
  virtual void OnHead(int status, const HttpHeaders& headers) = 0;
  virtual void OnBody(std::string_view data) = 0;
  // Exactly one of these ends a call that was not cancelled.
  virtual void OnDone() = 0;
  virtual void OnFailed(HttpFailure failure, bool sent) = 0;
};

// A call under way. Destroying it cancels: the connection closes and no
// callback follows. May be destroyed from within a callback.
class HttpCall {
 public:
  virtual ~HttpCall() = default;
  // True from just before the first byte of the request is written.
  virtual bool sent() const = 0;
  // Stops (true) and resumes (false) reading the answer: for back pressure.
  virtual void Pause(bool pause) = 0;
};

class HttpClient {
 public:
  virtual ~HttpClient() = default;
  // Starts a call; callbacks come from the loop, never from within Start.
  // `handler` must outlive the returned call.
  [[nodiscard]] virtual std::unique_ptr<HttpCall> Start(
      const HttpCallOptions& options, HttpRequest request,
      HttpCallHandler* handler) = 0;
};

std::unique_ptr<HttpClient> MakeHttpClient(LwsLoop* loop);

// Options for a call whose connection, head and parts of the body may each take
// `timeout`.
HttpCallOptions CallOptionsWithTimeout(const Endpoint& to, Duration timeout);

// The answer to a short call in one piece: OnDone with `response` or OnFailed.
struct HttpResult {
  bool ok = false;
  HttpResponse response;                        // meaningful if ok
  HttpFailure failure = HttpFailure::kConnect;  // meaningful if not ok
  bool sent = false;                            // meaningful if not ok
};

// Collects a whole answer, then runs `callback` once. Destroying the returned
// call cancels it.
[[nodiscard]] std::unique_ptr<HttpCall> Fetch(
    HttpClient* client, const HttpCallOptions& options, HttpRequest request,
    std::function<void(HttpResult)> callback);

}  // namespace mimosa

#endif  // NET_HTTP_H_
