// HTTP/1.1 server and client interfaces.
//
// They hide libwebsockets from the rest of the project, so that the transport
// can be replaced. libwebsockets 4.1.6 provides the sockets, the polling and
// the timers. Its HTTP role is not used, because it reports the completion of a
// POST body endlessly when bytes follow the body, passes chunk framing on as
// body, reports a truncated chunked response as complete and can't list unknown
// header fields. Boost.Beast's parser and serializer are the codec instead
// (net/http_codec.h); net/README.md has the comparison and its measurements.
// All calls and callbacks happen on the loop.
//
// Guarantees:
//  - Server: a handler receives each request exactly once, with its complete
//    body. A request with invalid or ambiguous framing never reaches a handler.
//  - Client: `sent == false` in a failure means that no byte of the request was
//    written to the connection, so the back end can't have received any of it.
//  - Client: OnDone means that the response was complete by its own framing
//    (length or last chunk) or, only if the call allows it, that a response
//    without either ended with an orderly close of its connection. A response
//    that ends in any other way ends in OnFailed.
#ifndef NET_HTTP_H_
#define NET_HTTP_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "net/event_loop.h"

namespace mimosa {

// A numeric IPv4 or IPv6 address and a port. Host names are not supported:
// nothing here resolves names.
struct Endpoint {
  std::string ip;
  uint16_t port = 0;

  // Parses text such as "127.0.0.1:80" or "[::1]:80". Returns false and leaves
  // `*out` unchanged if `text` has another form.
  static bool Parse(std::string_view text, Endpoint* out);
  std::string ToString() const;

  friend bool operator==(const Endpoint& a, const Endpoint& b) {
    return a.ip == b.ip && a.port == b.port;
  }
  friend bool operator<(const Endpoint& a, const Endpoint& b) {
    return a.ip != b.ip ? a.ip < b.ip : a.port < b.port;
  }
};

// Parses a text that is known to be valid, such as a checked setting. Returns
// an empty Endpoint if it is not.
Endpoint ParseEndpointOrDefault(std::string_view text);

// Header fields in order. Names are compared case-insensitively.
class HttpHeaders {
 public:
  using Field = std::pair<std::string, std::string>;

  void Add(std::string name, std::string value);
  // Replaces all fields of that name by one.
  void Set(std::string name, std::string value);
  void Remove(std::string_view name);
  // Returns the first value of that name, or nullptr.
  const std::string* Find(std::string_view name) const;
  size_t Count(std::string_view name) const;

  const std::vector<Field>& fields() const { return fields_; }

 private:
  std::vector<Field> fields_;
};

// Returns whether the Content-Type field names the media type `type`, which is
// given without parameters. False if there is no such field.
bool HasMediaType(const HttpHeaders& headers, std::string_view type);

// The status of a response, one of those that HTTP defines: 100 to 599 (RFC
// 9110, section 15). A response with another one is malformed.
class HttpStatus {
 public:
  static constexpr int kMin = 100;
  static constexpr int kMax = 599;

  // Returns nullopt if HTTP doesn't define `code`.
  static constexpr std::optional<HttpStatus> FromCode(int code) {
    if (code < kMin || code > kMax) return std::nullopt;
    return HttpStatus(code);
  }
  constexpr int code() const { return code_; }

 private:
  constexpr explicit HttpStatus(int code) : code_(code) {}

  int code_;  // In [kMin, kMax].
};

// A complete request.
struct HttpRequest {
  std::string method;
  std::string target;   // path and query, not decoded
  HttpHeaders headers;  // without connection-level fields
  std::string body;
};

// A complete response.
struct HttpResponse {
  int status = 0;
  HttpHeaders headers;  // without connection-level and framing fields
  std::string body;
};

// Bounds the bytes of the bodies that servers have received in part.
class BodyBudget {
 public:
  virtual ~BodyBudget() = default;
  // Returns whether there is room for so many more bytes. If so, they count
  // until they are released.
  virtual bool Reserve(size_t bytes) = 0;
  virtual void Release(size_t bytes) = 0;
  // Returns the response to a request whose body finds no room.
  virtual HttpResponse MakeRefusal() const = 0;
};

// The address of a server and the limits that it enforces. A request beyond
// the body limit or a head or body timeout never reaches a handler.
struct HttpServerOptions {
  // Port 0 picks a free port; see HttpServer::port().
  Endpoint listen;
  // A request with a larger body gets status 413.
  size_t max_body_bytes = 8U << 20;
  // From the first byte of a request to the end of its head; then status 408.
  Duration head_timeout = std::chrono::seconds(10);
  // From the end of the head to the end of the body; then status 408.
  Duration body_timeout = std::chrono::seconds(30);
  // How long a connection may stay open without a request.
  Duration idle_timeout = std::chrono::seconds(60);
  // How long a client may read nothing of a response that waits to be sent;
  // then the connection is closed.
  Duration write_stall_timeout = std::chrono::seconds(30);
  // Asked for the announced length of a body that has not arrived whole, or for
  // what has arrived of one without. A request that finds no room is refused
  // and never reaches a handler. Must outlive the server; nullptr: no bound.
  BodyBudget* body_budget = nullptr;
  // Connections beyond this number are closed as soon as they are accepted.
  size_t max_connections = 20000;
};

// One request at the server and its response. The server keeps the exchange
// alive until the response has ended or the client has disconnected. A handler
// may keep the pointer longer; every call is a no-op then.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;

  virtual const HttpRequest& request() const = 0;
  // The client's address.
  virtual const Endpoint& client() const = 0;

  // Sends a complete response, with a Content-Length field.
  virtual void Respond(HttpResponse response) = 0;

  // The value of StartStream()'s `content_length` for a body sent in chunks.
  static constexpr int64_t kChunked = -1;
  // The same for a body that ends with its connection. Its receiver can't tell
  // Finish() from the end of a terminated process; stand-ins use it.
  static constexpr int64_t kCloseDelimited = -2;

  // Starts a streamed response: the head, then any number of Write() calls,
  // then Finish(). With a `content_length` that is not negative, Finish()
  // before that many bytes were written acts as Abort().
  virtual void StartStream(int status, HttpHeaders headers,
                           int64_t content_length = kChunked) = 0;
  virtual void Write(std::string_view data) = 0;
  virtual void Finish() = 0;

  // Ends the response in a way that the client recognizes as truncated: closes
  // the connection without the last chunk or the announced length.
  virtual void Abort() = 0;

  // Number of bytes that wait to be sent on the connection, for back pressure.
  virtual size_t UnsentBytes() const = 0;
  // Number of bytes that the kernel has taken over for the client since the
  // connection was opened.
  virtual uint64_t SentBytes() const = 0;

  // True once the head of the response was passed to Respond() or
  // StartStream().
  virtual bool response_started() const = 0;
  // True once the response has ended or the client has disconnected.
  virtual bool closed() const = 0;

  // Sets a callback that runs once, if the client disconnects before the
  // response has ended.
  virtual void OnClientDisconnected(std::function<void()> callback) = 0;
  // Sets a callback that runs from the loop each time UnsentBytes() falls to
  // zero, and in the next loop iteration if it is zero already. An empty
  // callback removes the current one.
  virtual void OnDrained(std::function<void()> callback) = 0;
};

// Receives the requests of a server.
class HttpHandler {
 public:
  virtual ~HttpHandler() = default;
  virtual void OnRequest(std::shared_ptr<HttpExchange> exchange) = 0;
};

// A listening HTTP server.
class HttpServer {
 public:
  // Stops listening and closes all connections immediately.
  virtual ~HttpServer() = default;
  // The port that the server listens on, also if the options have port 0.
  virtual uint16_t port() const = 0;
  // Stops accepting connections and closes those that stay idle for one second
  // (a request may be in transit). Open exchanges continue, and their responses
  // carry "Connection: close". To truncate no response, wait for that second
  // and then until busy_connections() is zero.
  virtual void StopAccepting() = 0;
  // Ends what is left of a graceful shutdown. Requests that are being read, and
  // those that arrive from now on, get status 503. Open exchanges end as by
  // Abort() and without a callback, but bytes that wait to be sent are sent
  // first. Afterwards, wait until busy_connections() is zero.
  virtual void EndExchanges() = 0;
  // Number of requests whose response has not ended.
  virtual size_t open_exchanges() const = 0;
  // Number of connections with a request that is being read, waits or is being
  // answered, or with bytes or a FIN that the client hasn't taken. Idle
  // connections don't count. Takes time in proportion to the number of
  // connections.
  virtual size_t busy_connections() const = 0;
  // Number of bytes that wait to be sent on all connections, also of responses
  // that have ended. Takes time in proportion to the number of connections.
  virtual size_t unsent_bytes() const = 0;
  // Makes all further responses carry "Connection: close". Connections are
  // still accepted, for a load balancer that has not yet noticed the shutdown.
  virtual void DisableKeepAlive() = 0;
  // Sets the idle timeout of connections that become idle from now on.
  virtual void SetIdleTimeout(Duration timeout) = 0;
};

// Returns nullptr if the server can't listen on the address. `handler` must
// outlive the server.
std::unique_ptr<HttpServer> MakeHttpServer(LwsLoop* loop,
                                           const HttpServerOptions& options,
                                           HttpHandler* handler);

// Why a call failed.
enum class HttpFailure {
  kConnect,     // the connection failed; nothing was sent
  kRefused,     // the same, since nothing listens at the address
  kNoResponse,  // closed or reset before a complete response head
  kTruncated,   // the response started and is incomplete
  kTimeout,     // a timeout of HttpCallOptions expired
  kTooLarge,    // the head or body of the response exceeds its limit
  kMalformed,   // the received bytes are not a valid HTTP response
  kWithheld,    // HttpCallOptions::may_send forbade to write the request
  // The connection belongs to another incarnation of the server than the call
  // expects; nothing was sent.
  kOtherIncarnation,
  // The server didn't say which incarnation the connection belongs to; nothing
  // was sent.
  kUnknownIncarnation,
};
// Returns a short text for logs and status pages, such as "timeout".
const char* HttpFailureName(HttpFailure failure);

// How a call makes sure which incarnation of a server, that is which of its
// starts, responds to it. A connection belongs to one process of the server for
// its whole life, so what that process says of itself on a connection holds for
// all responses on it. The server is asked on each connection once, before the
// request is written. A late copy of its response can be told from those of
// calls whose successes name their requests, and from no other.
struct IncarnationCheck {
  int64_t expected = 0;
  // What asks the server for its incarnation. Nothing is known from a response
  // that doesn't arrive within `timeout`.
  HttpRequest query;
  Duration timeout{};
  // Returns the incarnation that the response to `query` states.
  std::function<std::optional<int64_t>(const HttpResponse&)> read;
  // Asked directly before `query` is written. If this returns false, the call
  // fails with kWithheld. Must not destroy the call.
  std::function<bool()> may_ask;
  // Whether the call fails with kUnknownIncarnation if the server doesn't state
  // its incarnation. Else it goes on, on a connection on which the server
  // wasn't asked.
  bool is_required = true;
};

// The back end, timeouts and limits of a call.
struct HttpCallOptions {
  Endpoint to;
  Duration connect_timeout = std::chrono::seconds(2);
  // From the complete transmission of the request to the response head.
  Duration head_timeout = std::chrono::seconds(30);
  // Between two reads of the response body.
  Duration idle_timeout = std::chrono::seconds(30);
  // From the transmission of the request to the end of the response, however
  // its bytes arrive; zero for none.
  Duration total_timeout{};
  // Maximum size of the response body; a larger one fails with kTooLarge.
  size_t max_response_bytes = 64u << 20;
  // If true, the call may use a pooled keep-alive connection and returns its
  // connection to the pool. If false, it uses a fresh connection and writes the
  // request at most once.
  bool reuse_connection = false;
  // If true, the call opens a connection even if the pool has one, so that no
  // copy of an earlier response can arrive on it.
  bool open_connection = false;
  // Pooled connections that have been idle for longer aren't used, because the
  // back end may be closing them at this moment.
  Duration max_idle = std::chrono::seconds(30);
  // Whether to write the request once more on a fresh connection if a pooled
  // one turns out to be closed before any byte of the response. Must be false
  // for requests that are not idempotent.
  bool retry_on_fresh_connection = true;
  // Asked before that second write; it isn't made if this returns false. If
  // empty, it is always made.
  std::function<bool()> may_resend;
  // Asked directly before the first byte of the request is written on a
  // connection, also a second one. If this returns false, the call fails with
  // kWithheld. If empty, every request may be written. Must not destroy the
  // call.
  std::function<bool()> may_send;
  // Whether a response without length or chunks is complete at an orderly close
  // of its connection. It never is if the server hasn't received the whole
  // request by then.
  bool accept_close_delimited = false;
  // The id that the request bears; empty if it bears none. A server may repeat
  // a response late, in front of the next one on its connection. What tells a
  // copy apart is the id of the request that it names, but some responses name
  // none. A call with an id therefore uses only connections on which every
  // response so far can be told from the call's own, should it come again:
  // responses that name another request, and those that are skipped here.
  std::string request_id;
  // Whether a successful response always names its request. One that doesn't,
  // and may be a copy, is skipped then, as is one that names another request.
  bool success_names_request = false;
  // Returns the id of the request that a response names; empty if it names
  // none. If this isn't set, no response is known to name one.
  std::function<std::string(const HttpHeaders&)> read_request_id;
  // The request is only written to the expected incarnation of the server. If
  // this isn't set, any may get it.
  std::optional<IncarnationCheck> incarnation_check;
};

// What marked the end of a response.
enum class ResponseEnd {
  kFraming,  // Its length or its last chunk.
  // An orderly close of the connection. The sender may have been terminated
  // midway, so only the content can tell whether the response is complete.
  kClose,
};
// Returns a short text for logs, such as "framing".
const char* ResponseEndName(ResponseEnd end);

// Receives the response or the failure of a call.
class HttpCallHandler {
 public:
  virtual ~HttpCallHandler() = default;
  // Reports the head of the final response; interim (1xx) responses are
  // skipped. `headers` contain no connection-level fields. Content-Length is
  // kept, for callers that forward the response with the same framing.
  virtual void OnHead(int status, const HttpHeaders& headers) = 0;
  virtual void OnBody(std::string_view data) = 0;
  // A call that is not cancelled ends with exactly one of OnDone() and
  // OnFailed(). `sent` is false only if no byte of the request was written.
  virtual void OnDone(ResponseEnd end) = 0;
  virtual void OnFailed(HttpFailure failure, bool sent) = 0;
};

// The connection that a call uses, for logs.
struct ConnectionUse {
  uint64_t serial = 0;    // Counts the client's connections; 0: none yet.
  int earlier_calls = 0;  // Calls that the connection carried before.
  Duration age{};         // Of the connection, when the request was sent.
  // Responses to other requests that arrived in front of the call's own.
  int skipped_responses = 0;
  // Bytes of the request that the server had not received when it closed the
  // connection in order.
  size_t undelivered_bytes = 0;
};

// An open call. Destroying it cancels the call: its connection is closed and no
// callback follows. May be destroyed from within a callback.
class HttpCall {
 public:
  virtual ~HttpCall() = default;
  // True once a byte of the request may have been written.
  virtual bool sent() const = 0;
  // After OnDone(kClose): whether the connection was reset since, so that the
  // server may have dropped a part of the response. Until the call is
  // destroyed, this end of the connection stays open.
  virtual bool reset_after_end() const = 0;
  // Whether the connection of the request is known to belong to the incarnation
  // that IncarnationCheck expects. Valid once the request is sent.
  virtual bool has_expected_incarnation() const = 0;
  // Stops (true) or resumes (false) reading the response, for back pressure.
  virtual void Pause(bool pause) = 0;
  // The connection of the last transmission; it may be closed by now.
  virtual ConnectionUse connection_use() const = 0;
};

// Starts calls and pools keep-alive connections.
class HttpClient {
 public:
  virtual ~HttpClient() = default;
  // Starts a call. Callbacks run from the loop, never from within Start().
  // `handler` must outlive the returned call.
  [[nodiscard]] virtual std::unique_ptr<HttpCall> Start(
      const HttpCallOptions& options, HttpRequest request,
      HttpCallHandler* handler) = 0;
};

// Calls may outlive the client that started them.
std::unique_ptr<HttpClient> MakeHttpClient(LwsLoop* loop);

// Returns options for a call to `to` that use `timeout` as connect timeout,
// head timeout and idle timeout, and twice that as total timeout.
HttpCallOptions CallOptionsWithTimeout(const Endpoint& to, Duration timeout);

// The outcome of Fetch(): a complete response or a failure.
struct HttpResult {
  bool ok = false;
  HttpResponse response;                        // meaningful if ok
  HttpFailure failure = HttpFailure::kConnect;  // meaningful if not ok
  bool sent = false;                            // meaningful if not ok
};

// Starts a call, collects the complete response and runs `callback` once.
// Destroying the returned call cancels it.
[[nodiscard]] std::unique_ptr<HttpCall> Fetch(
    HttpClient* client, const HttpCallOptions& options, HttpRequest request,
    std::function<void(HttpResult)> callback);

}  // namespace mimosa

#endif  // NET_HTTP_H_
