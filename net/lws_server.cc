// Implements HttpServer on RawSocket and the HTTP codec.
//
// A connection reads one request at a time and dispatches it when its body is
// complete. Pipelined requests behind it wait until its response has ended.
#include <unistd.h>

#include <charconv>
#include <exception>
#include <memory>
#include <string>
#include <system_error>
#include <unordered_map>
#include <utility>

#include "net/http.h"
#include "net/http_codec.h"
#include "net/raw_socket.h"

namespace mimosa {
namespace {

using detail::BodyFraming;
using detail::RequestReader;

// Maximum size of pipelined input that is buffered during a response. If more
// arrives, all of it is dropped and the connection closes after the response.
// The dropped requests were never dispatched. Once the response has ended, but
// waits to be sent, more isn't read.
constexpr size_t kMaxPipelinedBytes = 64U << 10;

// While more bytes than this wait to be sent to a client, no further pipelined
// request of it is dispatched.
constexpr size_t kMaxUnsentBytes = 256U << 10;

// How long a closing connection waits for the client to read the response. A
// close while the client is still sending would reset the connection and lose
// the response.
constexpr Duration kLingerTimeout = std::chrono::seconds(2);

// How long idle connections stay open after StopAccepting(), for requests that
// are in transit already.
constexpr Duration kDrainIdleTimeout = std::chrono::seconds(1);

// Status of requests that aren't dispatched because the server ends.
constexpr int kEndingStatus = 503;

// Maximum size of a streamed response to an HTTP/1.0 client. HTTP/1.0 has no
// chunks, so the response is buffered until its length is known.
constexpr size_t kMaxBufferedResponseBytes = 8U << 20;

class Connection;

// Returns the Content-Length of `headers`, or `fallback` if it is missing or
// invalid. Used for responses to HEAD, which announce the length of a body that
// they don't have.
int64_t DeclaredLength(const HttpHeaders& headers, int64_t fallback) {
  const std::string* text = headers.Find("Content-Length");
  if (text == nullptr) return fallback;
  int64_t length = 0;
  const char* end = text->data() + text->size();
  const auto result = std::from_chars(text->data(), end, length);
  const bool valid =
      result.ec == std::errc() && result.ptr == end && length >= 0;
  return valid ? length : fallback;
}

// The server's interface for its connections.
class ConnectionHost {
 public:
  virtual ~ConnectionHost() = default;
  virtual const HttpServerOptions& options() const = 0;
  virtual LwsLoop* loop() = 0;
  virtual HttpHandler* handler() = 0;
  virtual bool draining() const = 0;
  // True once no further request may be dispatched.
  virtual bool ending() const = 0;
  // Adds `change` to the number of open exchanges.
  virtual void ChangeExchangeCount(int change) = 0;
  // Removes a connection that has closed.
  virtual void RemoveConnection(Connection* connection) = 0;
};

// One request and its response.
class Exchange : public HttpExchange,
                 public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(Connection* connection, HttpRequest request, Endpoint client,
           bool http11)
      : connection_(connection),
        request_(std::move(request)),
        client_(std::move(client)),
        http11_(http11),
        is_head_request_(request_.method == "HEAD") {}

  const HttpRequest& request() const override { return request_; }
  const Endpoint& client() const override { return client_; }
  void Respond(HttpResponse response) override;
  void StartStream(int status, HttpHeaders headers,
                   int64_t content_length) override;
  void Write(std::string_view data) override;
  void Finish() override;
  void Abort() override;
  size_t UnsentBytes() const override;
  uint64_t SentBytes() const override;
  bool response_started() const override { return response_started_; }
  bool closed() const override { return connection_ == nullptr; }
  void OnClientDisconnected(std::function<void()> callback) override {
    if (!closed()) on_client_disconnected_ = std::move(callback);
  }
  void OnDrained(std::function<void()> callback) override;

  // The following are called by the connection.

  // Runs the OnDrained() callback.
  void NotifyDrained();
  // Closes the exchange and runs the OnClientDisconnected() callback.
  void NotifyClientDisconnected();
  // Closes the exchange without a callback.
  void Detach();

 private:
  // Posts the OnDrained() callback if nothing waits to be sent. Needed after
  // small writes, which the kernel accepts at once, so that the connection
  // reports no drain event for them.
  void NotifyIfDrained();
  // Sends the head and, unless the response has no body, `body` in the same
  // write.
  void SendHead(int status, const HttpHeaders& headers,
                const BodyFraming& framing, std::string_view body = {});

  Connection* connection_;  // nullptr once closed
  const HttpRequest request_;
  const Endpoint client_;
  const bool http11_;
  const bool is_head_request_;  // a HEAD request: the response has no body
  bool response_started_ = false;
  bool keep_alive_ = false;  // as announced in the response head
  bool buffered_ = false;    // HTTP/1.0 stream: collected in buffered_response_
  HttpResponse buffered_response_;
  bool discard_body_ = false;  // HEAD or a status without body
  BodyFraming framing_;
  int64_t written_ = 0;  // body bytes under framing_.length
  std::function<void()> on_client_disconnected_;
  std::function<void()> on_drained_;
};

// The bytes that a body takes of the budget, if there is one.
class BodyReservation {
 public:
  explicit BodyReservation(BodyBudget* budget) : budget_(budget) {}
  ~BodyReservation() { Release(); }
  BodyReservation(const BodyReservation&) = delete;
  BodyReservation& operator=(const BodyReservation&) = delete;

  // Returns whether the reservation has at least `bytes` now.
  bool Grow(size_t bytes) {
    if (budget_ == nullptr || bytes <= bytes_) return true;
    if (!budget_->Reserve(bytes - bytes_)) return false;
    bytes_ = bytes;
    return true;
  }
  void Release() {
    if (bytes_ > 0) budget_->Release(bytes_);
    bytes_ = 0;
  }

 private:
  BodyBudget* const budget_;
  size_t bytes_ = 0;
};

// A client's connection.
class Connection : public detail::RawSocket::Handler,
                   public std::enable_shared_from_this<Connection> {
 public:
  Connection(ConnectionHost* host, Endpoint client)
      : host_(host),
        client_(std::move(client)),
        body_reservation_(host->options().body_budget) {
    ResetReader();
  }

  // Takes ownership of `fd`. Returns false if the library can't add it.
  bool Open(int fd) {
    socket_ = detail::RawSocket::Adopt(host_->loop(), fd, this);
    if (socket_ == nullptr) return false;
    phase_ = Phase::kIdle;
    ArmTimer(host_->options().idle_timeout);
    return true;
  }

  // The following are called by the exchange.

  void Send(std::string_view data);
  LwsLoop* loop() { return host_->loop(); }
  // True unless the connection is closed, or is idle and has sent everything.
  bool busy() const {
    return phase_ != Phase::kClosed &&
           (phase_ != Phase::kIdle || !input_.empty() || unsent() > 0);
  }
  uint64_t sent() const { return socket_ ? socket_->bytes_written() : 0; }
  size_t unsent() const { return socket_ ? socket_->unsent_bytes() : 0; }
  // True if the connection may stay open after the response.
  bool MayKeepAlive() const {
    return keep_alive_ && !dropped_input_ && !host_->draining();
  }
  // Ends the exchange after a complete response, whose head announced
  // `keep_alive`.
  void OnExchangeDone(bool keep_alive);
  // Closes the connection and the exchange without running callbacks.
  void CloseNow();

  // Called by the server when it stops accepting connections.
  void Drain();
  // Called by the server when it ends all exchanges.
  void End();

  void OnRead(std::string_view data) override;
  void OnDrained() override;
  void OnClosed() override;

 private:
  // The state of the connection. timer_ limits the time in kIdle, kHead and
  // kBody, and in kClosing once FIN is sent.
  enum class Phase { kIdle, kHead, kBody, kResponse, kClosing, kClosed };

  // True while no further request may be dispatched.
  bool MustNotDispatch() const {
    return phase_ == Phase::kResponse || unsent() > kMaxUnsentBytes;
  }
  void ProcessInput();
  // Drops what has been received of a request, and prepares for the next one.
  void ResetReader();
  // Feeds the reader with the input. Returns false if no input can be processed
  // for now.
  bool FeedReader();
  // Sets phase and timeout by the reader's state.
  void UpdatePhase();
  // Passes the complete request on to the handler.
  void DispatchRequest();
  // Responds with an error and closes the connection.
  void RefuseRequest(const HttpResponse& response);
  void RefuseRequest(int status) { RefuseRequest({status, {}, ""}); }
  void CloseAfterFlush();
  // Sends FIN and waits for the client to close the connection, until
  // kLingerTimeout.
  void Linger();
  void ArmTimer(Duration delay);
  void OnTimer();
  void OnStallTimer();

  ConnectionHost* const host_;
  const Endpoint client_;
  std::unique_ptr<detail::RawSocket> socket_;  // nullptr once closed
  std::unique_ptr<RequestReader> reader_;
  BodyReservation body_reservation_;  // Of the body that reader_ receives.
  Phase phase_ = Phase::kClosed;
  std::string input_;  // received bytes that reader_ has not consumed
  bool processing_ = false;
  bool keep_alive_ = true;  // as the current request allows
  // Pipelined input was dropped. No input is processed any more, since it may
  // begin in the middle of a request.
  bool dropped_input_ = false;
  bool lingering_ = false;              // FIN was sent; input is discarded
  std::shared_ptr<Exchange> exchange_;  // set only in kResponse
  TimerHandle timer_;                   // timeout of phase_
  TimerHandle stall_timer_;             // set while data waits to be sent
  uint64_t stall_bytes_written_ = 0;    // bytes written when it was set
};

void Exchange::SendHead(int status, const HttpHeaders& headers,
                        const BodyFraming& framing, std::string_view body) {
  response_started_ = true;
  framing_ = framing;
  keep_alive_ =
      connection_->MayKeepAlive() && framing.kind != BodyFraming::Kind::kNone;
  discard_body_ = is_head_request_ || detail::IsBodyless(status);
  BodyFraming announced = framing;
  if (detail::IsBodyless(status)) announced.kind = BodyFraming::Kind::kNone;
  std::string text =
      detail::SerializeResponseHead(status, headers, announced, keep_alive_);
  if (!discard_body_) text.append(body);
  connection_->Send(text);
}

void Exchange::Respond(HttpResponse response) {
  if (closed() || response_started_) return;
  auto length = static_cast<int64_t>(response.body.size());
  if (is_head_request_ && length == 0)
    length = DeclaredLength(response.headers, 0);
  SendHead(response.status, response.headers,
           {BodyFraming::Kind::kLength, length}, response.body);
  connection_->OnExchangeDone(keep_alive_);
}

void Exchange::StartStream(int status, HttpHeaders headers,
                           int64_t content_length) {
  if (closed() || response_started_) return;
  if (is_head_request_)
    content_length = DeclaredLength(headers, content_length);
  BodyFraming framing{BodyFraming::Kind::kChunked, 0};
  if (content_length >= 0) {
    framing = {BodyFraming::Kind::kLength, content_length};
  } else if (content_length == kCloseDelimited) {
    framing = {BodyFraming::Kind::kNone, 0};
  } else if (!http11_) {
    response_started_ = true;
    buffered_ = true;
    buffered_response_.status = status;
    buffered_response_.headers = std::move(headers);
    return;
  }
  SendHead(status, headers, framing);
}

void Exchange::Write(std::string_view data) {
  if (closed() || !response_started_ || data.empty()) return;
  if (buffered_) {
    buffered_response_.body.append(data);
    if (buffered_response_.body.size() > kMaxBufferedResponseBytes) Abort();
    return;
  }
  if (discard_body_) return;
  if (framing_.kind == BodyFraming::Kind::kChunked) {
    connection_->Send(detail::EncodeChunk(data));
    NotifyIfDrained();
    return;
  }
  written_ += static_cast<int64_t>(data.size());
  if (framing_.kind == BodyFraming::Kind::kLength &&
      written_ > framing_.length) {
    Abort();
    return;
  }
  connection_->Send(data);
  NotifyIfDrained();
}

void Exchange::Finish() {
  if (closed() || !response_started_) return;
  if (buffered_) {
    response_started_ = false;
    Respond(std::move(buffered_response_));
    return;
  }
  if (!discard_body_) {
    if (framing_.kind == BodyFraming::Kind::kChunked) {
      connection_->Send(detail::EncodeLastChunk());
    } else if (framing_.kind == BodyFraming::Kind::kLength &&
               written_ != framing_.length) {
      Abort();
      return;
    }
  }
  connection_->OnExchangeDone(keep_alive_);
}

void Exchange::Abort() {
  if (closed()) return;
  connection_->CloseNow();
}

size_t Exchange::UnsentBytes() const {
  return closed() ? 0 : connection_->unsent();
}

uint64_t Exchange::SentBytes() const {
  return closed() ? 0 : connection_->sent();
}

void Exchange::OnDrained(std::function<void()> callback) {
  if (closed()) return;
  on_drained_ = std::move(callback);
  NotifyIfDrained();
}

void Exchange::NotifyIfDrained() {
  if (!on_drained_ || connection_->unsent() > 0) return;
  connection_->loop()->Post([weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self && !self->closed() && self->connection_->unsent() == 0)
      self->NotifyDrained();
  });
}

void Exchange::NotifyDrained() {
  const auto callback = on_drained_;  // the callback may replace on_drained_
  if (callback) callback();
}

void Exchange::NotifyClientDisconnected() {
  const auto callback = std::move(on_client_disconnected_);
  Detach();
  if (callback) callback();
}

void Exchange::Detach() {
  connection_ = nullptr;
  on_client_disconnected_ = nullptr;
  on_drained_ = nullptr;
}

void Connection::Send(std::string_view data) {
  if (socket_ == nullptr) return;
  socket_->Send(data);
  if (stall_timer_ || socket_->unsent_bytes() == 0) return;
  stall_bytes_written_ = socket_->bytes_written();
  stall_timer_ = host_->loop()->After(host_->options().write_stall_timeout,
                                      [this] { OnStallTimer(); });
}

void Connection::OnStallTimer() {
  stall_timer_.Cancel();
  if (socket_->unsent_bytes() == 0) return;
  if (socket_->bytes_written() == stall_bytes_written_) {
    const auto self = shared_from_this();
    OnClosed();
    return;
  }
  Send({});
}

void Connection::OnRead(std::string_view data) {
  const auto self = shared_from_this();
  if (phase_ == Phase::kClosing || phase_ == Phase::kClosed) return;
  if (dropped_input_) return;
  if (MustNotDispatch() && input_.size() + data.size() > kMaxPipelinedBytes) {
    if (phase_ == Phase::kResponse) {
      // Reading goes on, to notice a client that disconnects.
      dropped_input_ = true;
      input_.clear();
      return;
    }
    socket_->Pause(true);
  }
  input_.append(data);
  ProcessInput();
}

void Connection::ProcessInput() {
  if (processing_) return;
  processing_ = true;
  while (FeedReader()) {
  }
  processing_ = false;
}

bool Connection::FeedReader() {
  if (phase_ == Phase::kClosing || phase_ == Phase::kClosed || dropped_input_ ||
      MustNotDispatch() || input_.empty()) {
    return false;
  }
  socket_->Pause(false);
  input_.erase(0, reader_->Feed(input_));
  switch (reader_->state()) {
    case RequestReader::State::kRefused:
      RefuseRequest(reader_->refusal_status());
      return false;
    case RequestReader::State::kComplete:
      if (host_->ending()) {
        RefuseRequest(kEndingStatus);
        return false;
      }
      DispatchRequest();
      return true;
    case RequestReader::State::kBody:
      if (!body_reservation_.Grow(reader_->body_bytes())) {
        RefuseRequest(host_->options().body_budget->MakeRefusal());
        return false;
      }
      UpdatePhase();
      return false;
    default:
      UpdatePhase();
      return false;
  }
}

void Connection::ResetReader() {
  reader_ = std::make_unique<RequestReader>(host_->options().max_body_bytes);
  body_reservation_.Release();
}

void Connection::UpdatePhase() {
  if (!reader_->started()) return;
  const bool in_body = reader_->state() == RequestReader::State::kBody;
  const Phase phase = in_body ? Phase::kBody : Phase::kHead;
  if (phase == phase_) return;
  phase_ = phase;
  const HttpServerOptions& options = host_->options();
  ArmTimer(in_body ? options.body_timeout : options.head_timeout);
  if (in_body && reader_->expects_continue()) {
    Send("HTTP/1.1 100 Continue\r\n\r\n");
  }
}

void Connection::DispatchRequest() {
  phase_ = Phase::kResponse;
  timer_.Cancel();
  // HTTP/1.0 connections are always closed: keep-alive would need a response
  // field of its own there, and few such clients ask for it.
  keep_alive_ = reader_->keep_alive() && reader_->http11();
  const auto exchange = std::make_shared<Exchange>(this, reader_->TakeRequest(),
                                                   client_, reader_->http11());
  ResetReader();
  exchange_ = exchange;
  host_->ChangeExchangeCount(1);
  // One request must not end the process. Nothing says how far it got, so the
  // connection closes without a response.
  try {
    host_->handler()->OnRequest(exchange);
  } catch (const std::exception& error) {
    lwsl_err("closing a connection after an exception: %s\n", error.what());
    OnClosed();
  }
}

void Connection::OnExchangeDone(bool keep_alive) {
  exchange_->Detach();
  exchange_.reset();
  host_->ChangeExchangeCount(-1);
  // Once a response has announced that the connection stays open, a request may
  // be in transit even if the server drains by now.
  if (!keep_alive || !keep_alive_ || dropped_input_) {
    CloseAfterFlush();
    return;
  }
  phase_ = Phase::kIdle;
  ArmTimer(host_->draining() ? kDrainIdleTimeout
                             : host_->options().idle_timeout);
  if (input_.empty() || processing_) return;
  // The next request must not be dispatched within the handler's call.
  host_->loop()->Post([weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->ProcessInput();
  });
}

void Connection::RefuseRequest(const HttpResponse& response) {
  Send(detail::SerializeResponseHead(
           response.status, response.headers,
           {BodyFraming::Kind::kLength,
            static_cast<int64_t>(response.body.size())},
           /*keep_alive=*/false) +
       response.body);
  CloseAfterFlush();
}

void Connection::CloseAfterFlush() {
  phase_ = Phase::kClosing;
  timer_.Cancel();
  input_.clear();
  ResetReader();
  socket_->Pause(false);
  if (unsent() == 0) Linger();
}

void Connection::Linger() {
  if (lingering_) return;
  lingering_ = true;
  socket_->ShutdownWrite();
  ArmTimer(kLingerTimeout);
}

void Connection::OnDrained() {
  const auto self = shared_from_this();
  if (phase_ == Phase::kClosing) {
    Linger();
    return;
  }
  if (const auto exchange = exchange_) {
    exchange->NotifyDrained();
    return;
  }
  if (dropped_input_) {
    CloseAfterFlush();
  } else {
    ProcessInput();
  }
}

void Connection::OnClosed() {
  const auto self = shared_from_this();
  const auto exchange = std::exchange(exchange_, nullptr);
  if (exchange != nullptr) host_->ChangeExchangeCount(-1);
  CloseNow();
  if (exchange != nullptr) exchange->NotifyClientDisconnected();
}

void Connection::CloseNow() {
  if (phase_ == Phase::kClosed) return;
  phase_ = Phase::kClosed;
  timer_.Cancel();
  stall_timer_.Cancel();
  body_reservation_.Release();
  socket_.reset();
  if (exchange_ != nullptr) {
    exchange_->Detach();
    exchange_.reset();
    host_->ChangeExchangeCount(-1);
  }
  host_->RemoveConnection(this);
}

void Connection::Drain() {
  if (phase_ == Phase::kIdle) ArmTimer(kDrainIdleTimeout);
}

void Connection::End() {
  const auto self = shared_from_this();
  switch (phase_) {
    case Phase::kHead:
    case Phase::kBody:
      RefuseRequest(kEndingStatus);
      return;
    case Phase::kResponse:
      exchange_->Detach();
      exchange_.reset();
      host_->ChangeExchangeCount(-1);
      CloseAfterFlush();
      return;
    default:
      return;
  }
}

void Connection::ArmTimer(Duration delay) {
  timer_ = host_->loop()->After(delay, [this] { OnTimer(); });
}

void Connection::OnTimer() {
  const auto self = shared_from_this();
  switch (phase_) {
    case Phase::kHead:
    case Phase::kBody:
      RefuseRequest(408);
      return;
    case Phase::kIdle:
      // A client that is still reading its last response isn't idle. The stall
      // timer covers it.
      if (unsent() > 0) {
        ArmTimer(host_->options().idle_timeout);
        return;
      }
      CloseNow();
      return;
    default:
      CloseNow();
  }
}

class LwsServer : public HttpServer, public ConnectionHost {
 public:
  LwsServer(LwsLoop* loop, HttpServerOptions options, HttpHandler* handler)
      : loop_(loop), options_(std::move(options)), handler_(handler) {}

  ~LwsServer() override {
    listener_.reset();
    const auto connections = connections_;
    for (const auto& [key, connection] : connections) connection->CloseNow();
  }

  bool Listen() {
    listener_ = detail::Listener::Open(
        loop_, options_.listen,
        [this](int fd, const Endpoint& client) { Accept(fd, client); });
    if (listener_ != nullptr) port_ = listener_->port();
    return listener_ != nullptr;
  }

  uint16_t port() const override { return port_; }

  void StopAccepting() override {
    if (listener_ == nullptr) return;
    // Connections that the kernel has established may carry requests already.
    listener_->AcceptPending();
    listener_.reset();
    draining_ = true;
    for (const auto& [key, connection] : connections_) connection->Drain();
  }

  void EndExchanges() override {
    ending_ = true;
    draining_ = true;
    const auto connections = connections_;
    for (const auto& [key, connection] : connections) connection->End();
  }

  size_t open_exchanges() const override { return open_exchanges_; }
  size_t busy_connections() const override {
    size_t count = 0;
    for (const auto& [key, connection] : connections_)
      count += connection->busy() ? 1 : 0;
    return count;
  }
  size_t unsent_bytes() const override {
    size_t sum = 0;
    for (const auto& [key, connection] : connections_)
      sum += connection->unsent();
    return sum;
  }
  void DisableKeepAlive() override { draining_ = true; }
  void SetIdleTimeout(Duration timeout) override {
    options_.idle_timeout = timeout;
  }

  const HttpServerOptions& options() const override { return options_; }
  LwsLoop* loop() override { return loop_; }
  HttpHandler* handler() override { return handler_; }
  bool draining() const override { return draining_; }
  bool ending() const override { return ending_; }
  void ChangeExchangeCount(int change) override {
    open_exchanges_ += static_cast<size_t>(change);
  }
  void RemoveConnection(Connection* connection) override {
    const auto it = connections_.find(connection);
    // Methods of the connection may still be on the stack, so it is destroyed
    // from the loop.
    loop_->Post([keep = std::move(it->second)] {});
    connections_.erase(it);
  }

 private:
  void Accept(int fd, const Endpoint& client) {
    if (connections_.size() >= options_.max_connections) {
      close(fd);
      return;
    }
    const auto connection = std::make_shared<Connection>(this, client);
    if (connection->Open(fd)) connections_[connection.get()] = connection;
  }

  LwsLoop* const loop_;
  HttpServerOptions options_;
  HttpHandler* const handler_;
  uint16_t port_ = 0;
  bool draining_ = false;
  bool ending_ = false;
  size_t open_exchanges_ = 0;
  std::unordered_map<Connection*, std::shared_ptr<Connection>> connections_;
  std::unique_ptr<detail::Listener> listener_;  // nullptr once stopped
};

}  // namespace

std::unique_ptr<HttpServer> MakeHttpServer(LwsLoop* loop,
                                           const HttpServerOptions& options,
                                           HttpHandler* handler) {
  auto server = std::make_unique<LwsServer>(loop, options, handler);
  if (!server->Listen()) return nullptr;
  return server;
}

}  // namespace mimosa
