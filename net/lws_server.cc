// HttpServer on raw sockets and the codec.
//
// A connection reads one request at a time and dispatches it when its body is
// whole; what comes behind it waits, undispatched, until its answer has ended.
#include <unistd.h>

#include <charconv>
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

// Pipelined bytes kept while an answer is under way. What goes beyond is
// dropped, and the connection closes after the answer: the requests dropped
// were never dispatched.
constexpr size_t kMaxBacklogBytes = 64U << 10;

// A client that doesn't read gets no further pipelined request dispatched.
constexpr size_t kMaxUnsentBytes = 256U << 10;

// How long a closing connection waits for the client to read the answer: a
// close while its bytes are still arriving would reset it and lose the answer.
constexpr Duration kLinger = std::chrono::seconds(2);

// How long idle connections stay after StopAccepting(), for a request that may
// be on its way already.
constexpr Duration kDrainIdle = std::chrono::seconds(1);

// Answers that need a length no HTTP/1.0 client can be told otherwise are held
// until they are whole, up to this size.
constexpr size_t kMaxHeldBytes = 8U << 20;

class Connection;

// The length that an answer to HEAD declares for the body it doesn't have.
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

// What connections need from their server.
class ConnectionHost {
 public:
  virtual ~ConnectionHost() = default;
  virtual const HttpServerOptions& options() const = 0;
  virtual LwsLoop* loop() = 0;
  virtual HttpHandler* handler() = 0;
  virtual bool draining() const = 0;
  virtual void CountExchange(int change) = 0;
  // The connection has closed.
  virtual void Forget(Connection* connection) = 0;
};

// One request and its answer.
class Exchange : public HttpExchange,
                 public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(Connection* connection, HttpRequest request, Endpoint client,
           bool http11)
      : connection_(connection),
        request_(std::move(request)),
        client_(std::move(client)),
        http11_(http11),
        head_only_(request_.method == "HEAD") {}

  const HttpRequest& request() const override { return request_; }
  const Endpoint& client() const override { return client_; }
  void Respond(HttpResponse response) override;
  void StartStream(int status, HttpHeaders headers,
                   int64_t content_length) override;
  void Write(std::string_view data) override;
  void Finish() override;
  void Abort() override;
  size_t UnsentBytes() const override;
  bool response_started() const override { return started_; }
  bool closed() const override { return connection_ == nullptr; }
  void OnClientDisconnected(std::function<void()> callback) override {
    if (!closed()) on_gone_ = std::move(callback);
  }
  void OnDrained(std::function<void()> callback) override;

  // For the connection.
  void Drained();
  void ClientGone();
  // Ends the exchange without a callback.
  void Detach();

 private:
  // `body`, unless the answer has none, goes out in the same write.
  // Small pieces go to the kernel at once: the callback is owed all the same.
  void TellIfDrained();
  void SendHead(int status, const HttpHeaders& headers,
                const BodyFraming& framing, std::string_view body = {});

  Connection* connection_;  // nullptr once over
  const HttpRequest request_;
  const Endpoint client_;
  const bool http11_;
  const bool head_only_;  // no body goes out, whatever is written
  bool started_ = false;
  bool keep_alive_ = false;  // as the head announced
  bool held_ = false;        // HTTP/1.0 stream: collected in held_response_
  HttpResponse held_response_;
  bool discard_body_ = false;  // HEAD or a status without body
  BodyFraming framing_;
  int64_t written_ = 0;  // body bytes under framing_.length
  std::function<void()> on_gone_;
  std::function<void()> on_drained_;
};

class Connection : public detail::RawSocket::Handler,
                   public std::enable_shared_from_this<Connection> {
 public:
  Connection(ConnectionHost* host, Endpoint client)
      : host_(host),
        client_(std::move(client)),
        reader_(
            std::make_unique<RequestReader>(host->options().max_body_bytes)) {}

  // False if the socket can't be taken on.
  bool Open(int fd) {
    socket_ = detail::RawSocket::Adopt(host_->loop(), fd, this);
    if (socket_ == nullptr) return false;
    phase_ = Phase::kIdle;
    ArmTimer(host_->options().idle_timeout);
    return true;
  }

  // For the exchange.
  void Send(std::string_view data);
  LwsLoop* loop() { return host_->loop(); }
  size_t unsent() const { return socket_ ? socket_->unsent_bytes() : 0; }
  // True if the answer may leave the connection open.
  bool MayKeepAlive() const {
    return keep_alive_ && !dropped_input_ && !host_->draining();
  }
  // The answer has been handed over whole; `keep_alive` as it announced.
  void ExchangeDone(bool keep_alive);
  // Closes without telling the exchange.
  void CloseNow();

  // For the server.
  void Drain();

  void OnRead(std::string_view data) override;
  void OnDrained() override;
  void OnClosed() override;

 private:
  // Where the connection stands between requests; each phase has its timeout.
  enum class Phase { kIdle, kHead, kBody, kAnswer, kClosing, kClosed };

  // True while no further request may be dispatched.
  bool Blocked() const {
    return phase_ == Phase::kAnswer || unsent() > kMaxUnsentBytes;
  }
  void ProcessInput();
  // Feeds the reader; false if there's nothing more to do for now.
  bool FeedReader();
  void EnterPhaseOfReader();
  void Dispatch();
  void Refuse(int status);
  void CloseAfterFlush();
  void Linger();
  void ArmTimer(Duration delay);
  void OnTimer();
  void OnStallTimer();

  ConnectionHost* const host_;
  const Endpoint client_;
  std::unique_ptr<detail::RawSocket> socket_;  // nullptr once closed
  std::unique_ptr<RequestReader> reader_;
  Phase phase_ = Phase::kClosed;
  std::string input_;  // read and not consumed by reader_
  bool processing_ = false;
  bool keep_alive_ = true;              // as the request under way says
  bool dropped_input_ = false;          // pipelined input was dropped
  bool lingering_ = false;              // FIN is sent; input is discarded
  std::shared_ptr<Exchange> exchange_;  // set in kAnswer only
  TimerHandle timer_;                   // of phase_
  TimerHandle stall_timer_;             // set while an unread answer is watched
  uint64_t stall_offered_ = 0;          // socket_->offered() when it was set
};

void Exchange::SendHead(int status, const HttpHeaders& headers,
                        const BodyFraming& framing, std::string_view body) {
  started_ = true;
  framing_ = framing;
  keep_alive_ = connection_->MayKeepAlive();
  discard_body_ = head_only_ || detail::IsBodyless(status);
  BodyFraming announced = framing;
  if (detail::IsBodyless(status)) announced.kind = BodyFraming::Kind::kNone;
  std::string text =
      detail::SerializeResponseHead(status, headers, announced, keep_alive_);
  if (!discard_body_) text.append(body);
  connection_->Send(text);
}

void Exchange::Respond(HttpResponse response) {
  if (closed() || started_) return;
  auto length = static_cast<int64_t>(response.body.size());
  if (head_only_ && length == 0) length = DeclaredLength(response.headers, 0);
  SendHead(response.status, response.headers,
           {BodyFraming::Kind::kLength, length}, response.body);
  connection_->ExchangeDone(keep_alive_);
}

void Exchange::StartStream(int status, HttpHeaders headers,
                           int64_t content_length) {
  if (closed() || started_) return;
  if (head_only_) content_length = DeclaredLength(headers, content_length);
  BodyFraming framing{BodyFraming::Kind::kChunked, 0};
  if (content_length >= 0) {
    framing = {BodyFraming::Kind::kLength, content_length};
  } else if (!http11_) {
    started_ = true;
    held_ = true;
    held_response_.status = status;
    held_response_.headers = std::move(headers);
    return;
  }
  SendHead(status, headers, framing);
}

void Exchange::Write(std::string_view data) {
  if (closed() || !started_ || data.empty()) return;
  if (held_) {
    held_response_.body.append(data);
    if (held_response_.body.size() > kMaxHeldBytes) Abort();
    return;
  }
  if (discard_body_) return;
  if (framing_.kind == BodyFraming::Kind::kChunked) {
    connection_->Send(detail::EncodeChunk(data));
    TellIfDrained();
    return;
  }
  written_ += static_cast<int64_t>(data.size());
  if (written_ > framing_.length) {
    Abort();
    return;
  }
  connection_->Send(data);
  TellIfDrained();
}

void Exchange::Finish() {
  if (closed() || !started_) return;
  if (held_) {
    started_ = false;
    Respond(std::move(held_response_));
    return;
  }
  if (!discard_body_) {
    if (framing_.kind == BodyFraming::Kind::kChunked) {
      connection_->Send(detail::EncodeLastChunk());
    } else if (written_ != framing_.length) {
      Abort();
      return;
    }
  }
  connection_->ExchangeDone(keep_alive_);
}

void Exchange::Abort() {
  if (closed()) return;
  connection_->CloseNow();
}

size_t Exchange::UnsentBytes() const {
  return closed() ? 0 : connection_->unsent();
}

void Exchange::OnDrained(std::function<void()> callback) {
  if (closed()) return;
  on_drained_ = std::move(callback);
  TellIfDrained();
}

void Exchange::TellIfDrained() {
  if (!on_drained_ || connection_->unsent() > 0) return;
  connection_->loop()->Post([weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self && !self->closed() && self->connection_->unsent() == 0)
      self->Drained();
  });
}

void Exchange::Drained() {
  const auto callback = on_drained_;  // may be replaced while it runs
  if (callback) callback();
}

void Exchange::ClientGone() {
  const auto callback = std::move(on_gone_);
  Detach();
  if (callback) callback();
}

void Exchange::Detach() {
  connection_ = nullptr;
  on_gone_ = nullptr;
  on_drained_ = nullptr;
}

void Connection::Send(std::string_view data) {
  if (socket_ == nullptr) return;
  socket_->Send(data);
  if (stall_timer_ || socket_->unsent_bytes() == 0) return;
  stall_offered_ = socket_->bytes_written();
  stall_timer_ = host_->loop()->After(host_->options().write_stall_timeout,
                                      [this] { OnStallTimer(); });
}

void Connection::OnStallTimer() {
  stall_timer_.Cancel();
  if (socket_->unsent_bytes() == 0) return;
  if (socket_->bytes_written() == stall_offered_) {
    const auto self = shared_from_this();
    OnClosed();
    return;
  }
  Send({});
}

void Connection::OnRead(std::string_view data) {
  const auto self = shared_from_this();
  if (phase_ == Phase::kClosing || phase_ == Phase::kClosed) return;
  if (Blocked()) {
    if (dropped_input_ || input_.size() + data.size() > kMaxBacklogBytes) {
      dropped_input_ = true;
      input_.clear();
      return;
    }
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
  if (phase_ == Phase::kClosing || phase_ == Phase::kClosed || Blocked() ||
      input_.empty()) {
    return false;
  }
  input_.erase(0, reader_->Feed(input_));
  switch (reader_->state()) {
    case RequestReader::State::kRefused:
      Refuse(reader_->refusal_status());
      return false;
    case RequestReader::State::kComplete:
      Dispatch();
      return true;
    default:
      EnterPhaseOfReader();
      return false;
  }
}

void Connection::EnterPhaseOfReader() {
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

void Connection::Dispatch() {
  phase_ = Phase::kAnswer;
  timer_.Cancel();
  // HTTP/1.0 clients would have to be told, and few ask.
  keep_alive_ = reader_->keep_alive() && reader_->http11();
  const auto exchange = std::make_shared<Exchange>(this, reader_->TakeRequest(),
                                                   client_, reader_->http11());
  reader_ = std::make_unique<RequestReader>(host_->options().max_body_bytes);
  exchange_ = exchange;
  host_->CountExchange(1);
  host_->handler()->OnRequest(exchange);
}

void Connection::ExchangeDone(bool keep_alive) {
  exchange_->Detach();
  exchange_.reset();
  host_->CountExchange(-1);
  if (!keep_alive || !MayKeepAlive()) {
    CloseAfterFlush();
    return;
  }
  phase_ = Phase::kIdle;
  ArmTimer(host_->options().idle_timeout);
  if (input_.empty() || processing_) return;
  // Not from within the handler's call.
  host_->loop()->Post([weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->ProcessInput();
  });
}

void Connection::Refuse(int status) {
  Send(detail::SerializeResponseHead(status, {},
                                     {BodyFraming::Kind::kLength, 0},
                                     /*keep_alive=*/false));
  CloseAfterFlush();
}

void Connection::CloseAfterFlush() {
  phase_ = Phase::kClosing;
  timer_.Cancel();
  input_.clear();
  if (unsent() == 0) Linger();
}

void Connection::Linger() {
  if (lingering_) return;
  lingering_ = true;
  socket_->ShutdownWrite();
  ArmTimer(kLinger);
}

void Connection::OnDrained() {
  const auto self = shared_from_this();
  if (phase_ == Phase::kClosing) {
    Linger();
    return;
  }
  if (const auto exchange = exchange_) {
    exchange->Drained();
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
  if (exchange != nullptr) host_->CountExchange(-1);
  CloseNow();
  if (exchange != nullptr) exchange->ClientGone();
}

void Connection::CloseNow() {
  if (phase_ == Phase::kClosed) return;
  phase_ = Phase::kClosed;
  timer_.Cancel();
  stall_timer_.Cancel();
  socket_.reset();
  if (exchange_ != nullptr) {
    exchange_->Detach();
    exchange_.reset();
    host_->CountExchange(-1);
  }
  host_->Forget(this);
}

void Connection::Drain() {
  if (phase_ == Phase::kIdle) ArmTimer(kDrainIdle);
}

void Connection::ArmTimer(Duration delay) {
  timer_ = host_->loop()->After(delay, [this] { OnTimer(); });
}

void Connection::OnTimer() {
  const auto self = shared_from_this();
  switch (phase_) {
    case Phase::kHead:
    case Phase::kBody:
      Refuse(408);
      return;
    case Phase::kIdle:
      // A client that is still reading its last answer isn't idle; the stall
      // timer watches it.
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
    // What the kernel has established may carry requests already.
    listener_->AcceptPending();
    listener_.reset();
    draining_ = true;
    for (const auto& [key, connection] : connections_) connection->Drain();
  }

  size_t open_exchanges() const override { return open_exchanges_; }
  void DisableKeepAlive() override { draining_ = true; }
  void SetIdleTimeout(Duration timeout) override {
    options_.idle_timeout = timeout;
  }

  const HttpServerOptions& options() const override { return options_; }
  LwsLoop* loop() override { return loop_; }
  HttpHandler* handler() override { return handler_; }
  bool draining() const override { return draining_; }
  void CountExchange(int change) override {
    open_exchanges_ += static_cast<size_t>(change);
  }
  void Forget(Connection* connection) override {
    const auto it = connections_.find(connection);
    // Frames of the connection may be under way: it dies from the loop.
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
