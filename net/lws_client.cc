// Implements HttpClient on RawSocket and the HTTP codec.
//
// A call owns its connection while it runs. After a complete response the
// connection goes to the pool if the call allows reuse. Calls that don't allow
// reuse neither take connections from the pool nor return any to it.
#include <algorithm>
#include <cassert>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "net/http.h"
#include "net/http_codec.h"
#include "net/raw_socket.h"

namespace mimosa {
namespace {

using detail::RawSocket;
using detail::ResponseReader;

// How long a connection stays in the pool if the back end announces no shorter
// timeout.
constexpr Duration kPooledIdleTimeout = std::chrono::seconds(30);
// The share of an announced timeout after which a connection leaves the pool.
// Later, the back end might close it while a request is in transit.
constexpr double kAnnouncedTimeoutShare = 0.7;
constexpr size_t kMaxPooledPerEndpoint = 32;
// Late responses to other requests that a call skips may have so many bytes
// together.
constexpr size_t kMaxSkippedBytes = 1U << 20;
// How often a call asks for the incarnation of a server, each time on another
// connection: a pooled one may turn out to be closed.
constexpr int kMaxIncarnationQueries = 2;
constexpr size_t kMaxStatementBytes = 1U << 20;

bool IsSuccess(int status) { return status / 100 == 2; }

// What has passed on a connection, to tell late copies of its responses from
// the response to a new request.
class ResponseHistory {
 public:
  // Whether a response to a request that is sent now can be told from a copy of
  // any earlier one.
  bool AllowsCall(const HttpCallOptions& options) const {
    if (options.request_id.empty()) return true;
    if (has_unnamed_failure_ || request_ids_.size() >= kMaxRequests)
      return false;
    if (has_unnamed_success_ && !options.success_names_request) return false;
    return std::find(request_ids_.begin(), request_ids_.end(),
                     Digest(options.request_id)) == request_ids_.end();
  }
  // Whether a response that names the request `named_id`, or none if that is
  // empty, may be the copy of an earlier one that names none.
  bool MayBeCopy(int status, const std::string& named_id) const {
    return named_id.empty() &&
           (IsSuccess(status) ? has_unnamed_success_ || has_statement_
                              : has_unnamed_failure_);
  }
  // Records a response in which the server stated its incarnation. It names no
  // request, but unlike other successes keeps no call from the connection.
  void RecordStatement() { has_statement_ = true; }
  // Records a request that is sent; `request_id` is empty if it bears none.
  void RecordRequest(const std::string& request_id) {
    if (!has_unnamed_failure_ && !request_id.empty())
      request_ids_.push_back(Digest(request_id));
  }
  // Records a response, also to another request. `named_id` is the id of the
  // request that it names; empty if it names none.
  void RecordResponse(int status, const std::string& named_id) {
    if (!named_id.empty()) return;
    if (IsSuccess(status)) {
      has_unnamed_success_ = true;
    } else {
      has_unnamed_failure_ = true;
      request_ids_ = {};  // No call with an id follows.
    }
  }

 private:
  // Bounds the memory of a connection.
  static constexpr size_t kMaxRequests = 128;

  // Two ids with the same digest only cost a connection.
  static size_t Digest(const std::string& request_id) {
    return std::hash<std::string>()(request_id);
  }

  bool has_unnamed_success_ = false;
  bool has_unnamed_failure_ = false;
  bool has_statement_ = false;
  std::vector<size_t> request_ids_;  // Digests of the ids of all requests.
};

// A connection that may outlive a call. Its events go to its current user: a
// call or the pool.
class ClientConnection : public RawSocket::Handler {
 public:
  class User {
   public:
    virtual ~User() = default;
    virtual void OnConnected() = 0;
    virtual void OnRead(std::string_view data) = 0;
    virtual void OnDrained() = 0;
    virtual bool OnEof() { return false; }
    virtual void OnClosed() = 0;
  };

  ClientConnection(uint64_t serial, MonoTime opened_at)
      : serial_(serial), opened_at_(opened_at) {}

  // Starts to connect. Returns false if that fails immediately.
  bool Open(LwsLoop* loop, const Endpoint& to) {
    socket_ = RawSocket::Connect(loop, to, this);
    return socket_ != nullptr;
  }

  // Counts one more call, and returns its use of the connection.
  ConnectionUse StartCall(MonoTime now) {
    ConnectionUse use;
    use.serial = serial_;
    use.earlier_calls = calls_++;
    use.age = now - opened_at_;
    return use;
  }

  ResponseHistory& history() { return history_; }
  // The incarnation of the server, if it was asked for.
  const std::optional<int64_t>& incarnation() const { return incarnation_; }
  void set_incarnation(int64_t incarnation) { incarnation_ = incarnation; }
  // Whether the call may be written, or the server be asked whether it may.
  bool AllowsCall(const HttpCallOptions& options) const {
    return history_.AllowsCall(options) &&
           (!options.incarnation_check || !incarnation_ ||
            *incarnation_ == options.incarnation_check->expected);
  }
  void set_user(User* user) { user_ = user; }
  RawSocket* socket() { return socket_.get(); }

  void OnConnected() override { user_->OnConnected(); }
  void OnRead(std::string_view data) override { user_->OnRead(data); }
  void OnDrained() override { user_->OnDrained(); }
  bool OnEof() override { return user_->OnEof(); }
  void OnClosed() override { user_->OnClosed(); }

 private:
  const uint64_t serial_;
  const MonoTime opened_at_;
  int calls_ = 0;
  ResponseHistory history_;
  std::optional<int64_t> incarnation_;
  User* user_ = nullptr;
  std::unique_ptr<RawSocket> socket_;
};

// The idle keep-alive connections of a client by back end. The most recently
// used connection is taken first.
class ConnectionPool {
 public:
  explicit ConnectionPool(LwsLoop* loop) : loop_(loop) {}

  // Returns the serial number of a new connection.
  uint64_t NextSerial() { return ++last_serial_; }

  // Removes and returns the most recently used connection to `options.to` that
  // allows the call, or nullptr if there is none that has been idle for at most
  // `options.max_idle`. If the call expects an incarnation, connections that
  // are known to belong to it come first.
  std::unique_ptr<ClientConnection> TakeConnection(
      const HttpCallOptions& options) {
    const auto idle = idle_.find(options.to);
    if (idle == idle_.end()) return nullptr;
    const MonoTime now = loop_->Now();
    const Entries& entries = idle->second;
    Entry* best = nullptr;
    for (auto it = entries.rbegin(); it != entries.rend(); ++it) {
      Entry* const entry = it->get();
      if (!entry->connection->AllowsCall(options)) continue;
      if (now - entry->idle_since > options.max_idle) break;
      if (best == nullptr) best = entry;
      if (!options.incarnation_check) break;
      if (!entry->connection->incarnation()) continue;
      best = entry;
      break;
    }
    if (best == nullptr) return nullptr;
    auto connection = std::move(best->connection);
    Remove(best);
    return connection;
  }

  // Adds an idle connection. `announced_timeout` is the idle timeout that the
  // back end announced, or zero if it announced none.
  void AddConnection(const Endpoint& to,
                     std::unique_ptr<ClientConnection> connection,
                     Duration announced_timeout) {
    Duration max_idle = kPooledIdleTimeout;
    if (announced_timeout > Duration::zero()) {
      max_idle =
          std::min(max_idle, std::chrono::duration_cast<Duration>(
                                 announced_timeout * kAnnouncedTimeoutShare));
    }
    auto& entries = idle_[to];
    if (entries.size() >= kMaxPooledPerEndpoint) entries.erase(entries.begin());
    auto entry = std::make_unique<Entry>(this, to, std::move(connection));
    entry->idle_since = loop_->Now();
    entry->timer =
        loop_->After(max_idle, [this, e = entry.get()] { Remove(e); });
    entries.push_back(std::move(entry));
  }

 private:
  // An idle connection. Any event on it removes it from the pool and closes it:
  // the back end closed it or sent bytes without a request.
  struct Entry : public ClientConnection::User {
    Entry(ConnectionPool* pool_in, Endpoint to_in,
          std::unique_ptr<ClientConnection> connection_in)
        : pool(pool_in),
          to(std::move(to_in)),
          connection(std::move(connection_in)) {
      connection->set_user(this);
    }
    void OnConnected() override {}
    void OnRead(std::string_view /*data*/) override { pool->Remove(this); }
    void OnDrained() override {}
    void OnClosed() override { pool->Remove(this); }

    ConnectionPool* const pool;
    const Endpoint to;
    std::unique_ptr<ClientConnection> connection;
    MonoTime idle_since{};
    TimerHandle timer;
  };

  using Entries = std::vector<std::unique_ptr<Entry>>;

  void Remove(Entry* entry) {
    const auto it = idle_.find(entry->to);
    auto& entries = it->second;
    for (auto e = entries.begin(); e != entries.end(); ++e) {
      if (e->get() != entry) continue;
      entries.erase(e);
      break;
    }
    if (entries.empty()) idle_.erase(it);
  }

  LwsLoop* const loop_;
  uint64_t last_serial_ = 0;
  std::map<Endpoint, Entries> idle_;  // The most recently used one last.
};

// The state of a call. Its handle (Call) may be destroyed at any time; running
// callbacks keep the state alive.
class CallState : public ClientConnection::User,
                  public std::enable_shared_from_this<CallState> {
 public:
  CallState(LwsLoop* loop, std::weak_ptr<ConnectionPool> pool,
            HttpCallOptions options, HttpRequest request,
            HttpCallHandler* handler)
      : loop_(loop),
        pool_(std::move(pool)),
        options_(std::move(options)),
        request_(std::move(request)),
        handler_(handler) {}

  void Start() {
    if (handler_ == nullptr) return;
    if (!detail::IsValidRequestLine(request_)) {
      Fail(HttpFailure::kConnect);
      return;
    }
    if (options_.reuse_connection && !options_.open_connection &&
        UsePooledConnection())
      return;
    Connect();
  }

  // Closes the connection. No callback follows.
  void Cancel() {
    handler_ = nullptr;
    CloseConnection();
  }

  bool sent() const { return sent_earlier_ || SentOnCurrentConnection(); }
  bool has_expected_incarnation() const { return has_expected_incarnation_; }
  bool reset_after_end() const { return reset_after_end_; }
  const ConnectionUse& connection_use() const { return use_; }

  void Pause(bool pause) {
    if (paused_ == pause || handler_ == nullptr) return;
    paused_ = pause;
    if (connection_ != nullptr) connection_->socket()->Pause(pause);
    if (state_ != State::kBody) return;
    // The idle timeout doesn't apply while reading is paused.
    if (pause) {
      timer_.Cancel();
    } else {
      ArmTimer(options_.idle_timeout);
    }
  }

  void OnConnected() override { UseConnection(); }
  void OnRead(std::string_view data) override;
  void OnDrained() override {
    if (state_ == State::kHead) ArmTimer(options_.head_timeout);
  }
  bool OnEof() override;
  void OnClosed() override;

 private:
  enum class State { kConnecting, kIdentifying, kHead, kBody, kFinished };

  bool ReadResponse();
  void ReadStatement();

  bool UsePooledConnection() {
    const auto pool = pool_.lock();
    if (pool == nullptr) return false;
    connection_ = pool->TakeConnection(options_);
    if (connection_ == nullptr) return false;
    pooled_ = true;
    connection_->set_user(this);
    UseConnection();
    return true;
  }

  // Writes the request, once it is known which incarnation of the server the
  // connection belongs to, if that matters.
  void UseConnection() {
    const auto& check = options_.incarnation_check;
    has_expected_incarnation_ = false;
    is_request_begun_ = false;
    if (!check || gave_up_asking_) {
      SendRequest();
    } else if (!connection_->incarnation()) {
      SendQuery();
    } else if (*connection_->incarnation() != check->expected) {
      Fail(HttpFailure::kOtherIncarnation);
    } else {
      has_expected_incarnation_ = true;
      SendRequest();
    }
  }

  // Asks for the incarnation of the server.
  void SendQuery() {
    const IncarnationCheck& check = *options_.incarnation_check;
    if (check.may_ask && !check.may_ask()) {
      Fail(HttpFailure::kWithheld);
      return;
    }
    state_ = State::kIdentifying;
    ++queries_;
    statement_ = {};
    reader_ =
        std::make_unique<ResponseReader>(/*no_body=*/false, kMaxStatementBytes);
    connection_->socket()->Pause(false);
    connection_->socket()->Send(
        detail::SerializeRequestHead(check.query, options_.to,
                                     options_.reuse_connection) +
        check.query.body);
    timer_ = loop_->After(check.timeout, [this] { OnQueryFailed(); });
  }

  // The server hasn't stated its incarnation on this connection.
  void OnQueryFailed() {
    timer_.Cancel();
    connection_.reset();
    input_.clear();
    if (queries_ < kMaxIncarnationQueries) {
      Connect();
    } else if (options_.incarnation_check->is_required) {
      Fail(HttpFailure::kUnknownIncarnation);
    } else {
      gave_up_asking_ = true;
      Connect();
    }
  }

  void Connect() {
    state_ = State::kConnecting;
    pooled_ = false;
    bytes_written_before_ = 0;
    const auto pool = pool_.lock();
    connection_ = std::make_unique<ClientConnection>(
        pool == nullptr ? 0 : pool->NextSerial(), loop_->Now());
    connection_->set_user(this);
    if (!connection_->Open(loop_, options_.to)) {
      connection_.reset();
      Fail(HttpFailure::kConnect);
      return;
    }
    ArmTimer(options_.connect_timeout);
  }

  void SendRequest() {
    bytes_written_before_ = connection_->socket()->bytes_written();
    if (options_.may_send && !options_.may_send()) {
      Fail(HttpFailure::kWithheld);
      return;
    }
    state_ = State::kHead;
    is_request_begun_ = true;
    response_started_ = false;
    use_ = connection_->StartCall(loop_->Now());
    connection_->history().RecordRequest(options_.request_id);
    reader_ = std::make_unique<ResponseReader>(request_.method == "HEAD",
                                               options_.max_response_bytes);
    if (paused_) connection_->socket()->Pause(true);
    connection_->socket()->Send(
        detail::SerializeRequestHead(request_, options_.to,
                                     options_.reuse_connection) +
        request_.body);
    ArmTimer(options_.head_timeout);
    if (options_.total_timeout > Duration::zero())
      total_timer_ = loop_->After(options_.total_timeout,
                                  [this] { Fail(HttpFailure::kTimeout); });
  }

  // Returns whether the response whose head has arrived belongs to another
  // request.
  bool IsUnrelated() {
    const std::string named_id =
        options_.read_request_id ? options_.read_request_id(reader_->headers())
                                 : "";
    ResponseHistory& history = connection_->history();
    const bool may_be_copy = history.MayBeCopy(reader_->status(), named_id);
    history.RecordResponse(reader_->status(), named_id);
    if (!named_id.empty()) return named_id != options_.request_id;
    return may_be_copy && options_.success_names_request;
  }

  // Returns whether the current response doesn't belong to this request. At the
  // end of such a response, prepares to read the next one.
  bool SkipUnrelatedResponse() {
    if (!skipping_response_) return false;
    if (reader_->state() == ResponseReader::State::kComplete) {
      skipping_response_ = false;
      ++use_.skipped_responses;
      reader_ = std::make_unique<ResponseReader>(request_.method == "HEAD",
                                                 options_.max_response_bytes);
    }
    return true;
  }

  bool SentOnCurrentConnection() const {
    return connection_ != nullptr && is_request_begun_ &&
           connection_->socket()->bytes_written() > bytes_written_before_;
  }

  void ArmTimer(Duration delay) {
    timer_ = loop_->After(delay, [this] { Fail(HttpFailure::kTimeout); });
  }

  void CloseConnection() {
    timer_.Cancel();
    total_timer_.Cancel();
    sent_earlier_ = sent();
    connection_.reset();
    state_ = State::kFinished;
  }

  void Fail(HttpFailure failure) {
    const auto self = shared_from_this();
    // If a retry on a fresh connection can't connect, what failed is the
    // connection before, which was closed without a response.
    const bool is_failed_retry =
        sent_earlier_ &&
        (failure == HttpFailure::kConnect || failure == HttpFailure::kRefused ||
         failure == HttpFailure::kWithheld ||
         failure == HttpFailure::kOtherIncarnation ||
         failure == HttpFailure::kUnknownIncarnation ||
         state_ == State::kConnecting);
    if (is_failed_retry) failure = HttpFailure::kNoResponse;
    CloseConnection();
    if (HttpCallHandler* handler = std::exchange(handler_, nullptr)) {
      handler->OnFailed(failure, sent_earlier_);
    }
  }

  void Complete(ResponseEnd end) {
    timer_.Cancel();
    total_timer_.Cancel();
    state_ = State::kFinished;
    sent_earlier_ = true;
    std::exchange(handler_, nullptr)->OnDone(end);
  }

  // Gives the connection to the pool if it may carry another call.
  void ReleaseConnection() {
    const bool is_reusable = options_.reuse_connection &&
                             reader_->keep_alive() && input_.empty() &&
                             connection_->socket()->unsent_bytes() == 0;
    if (const auto pool = is_reusable ? pool_.lock() : nullptr) {
      connection_->socket()->Pause(false);
      pool->AddConnection(options_.to, std::move(connection_),
                          reader_->keep_alive_timeout());
    }
    connection_.reset();
  }

  LwsLoop* const loop_;
  const std::weak_ptr<ConnectionPool> pool_;  // expires with the client
  const HttpCallOptions options_;
  const HttpRequest request_;
  HttpCallHandler* handler_;  // nullptr once finished or cancelled
  State state_ = State::kConnecting;
  std::unique_ptr<ClientConnection> connection_;
  ConnectionUse use_;  // Of connection_, or of the last one.
  std::unique_ptr<ResponseReader> reader_;
  // Received bytes that reader_ has not consumed.
  std::string input_;
  // connection_'s count of written bytes before this request.
  uint64_t bytes_written_before_ = 0;
  // The request, and not a query, was the last thing to be written on
  // connection_.
  bool is_request_begun_ = false;
  // A byte of the request was written on an earlier connection.
  bool sent_earlier_ = false;
  // connection_ came from the pool.
  bool pooled_ = false;
  // A byte of a response arrived on connection_.
  bool response_started_ = false;
  int queries_ = 0;  // For the incarnation of the server.
  // The response to the current one, while state_ is kIdentifying.
  HttpResponse statement_;
  // The request may be written though the incarnation of the server is unknown.
  bool gave_up_asking_ = false;
  bool has_expected_incarnation_ = false;  // connection_ belongs to it.
  // reader_ reads a response that doesn't belong to this request.
  bool skipping_response_ = false;
  size_t skipped_bytes_ = 0;  // Read while skipping_response_.
  bool paused_ = false;
  bool reset_after_end_ = false;
  TimerHandle timer_;        // Of the current state.
  TimerHandle total_timer_;  // Of the response.
};

void CallState::OnRead(std::string_view data) {
  const auto self = shared_from_this();
  response_started_ = true;
  if (skipping_response_) {
    skipped_bytes_ += data.size();
    if (skipped_bytes_ > kMaxSkippedBytes) {
      Fail(HttpFailure::kMalformed);
      return;
    }
  }
  input_.append(data);
  if (state_ == State::kIdentifying) {
    ReadStatement();
    return;
  }
  while (ReadResponse()) {
  }
}

// Reads the response to the query. Late responses that name requests, which the
// query doesn't, are skipped.
void CallState::ReadStatement() {
  using ReaderState = ResponseReader::State;
  std::optional<int64_t> incarnation;
  for (;;) {
    const size_t before = input_.size();
    input_.erase(0, reader_->Feed(input_, &statement_.body));
    const ReaderState state = reader_->state();
    if (state == ReaderState::kHead || state == ReaderState::kBody) {
      if (input_.empty() || input_.size() == before) return;
      continue;
    }
    if (state != ReaderState::kComplete) break;
    const bool names_request =
        options_.read_request_id &&
        !options_.read_request_id(reader_->headers()).empty();
    if (!names_request) {
      statement_.status = reader_->status();
      statement_.headers = reader_->headers();
      incarnation = options_.incarnation_check->read(statement_);
      break;
    }
    reader_ =
        std::make_unique<ResponseReader>(/*no_body=*/false, kMaxStatementBytes);
    statement_ = {};
  }
  if (!incarnation || !reader_->keep_alive() || !input_.empty()) {
    OnQueryFailed();
    return;
  }
  timer_.Cancel();
  connection_->set_incarnation(*incarnation);
  connection_->history().RecordStatement();
  UseConnection();
}

// Feeds the reader once. Returns true if a response to another request was
// skipped and more input follows it.
bool CallState::ReadResponse() {
  std::string body;
  if (state_ == State::kHead) {
    input_.erase(0, reader_->Feed(input_, &body));
    if (reader_->state() == ResponseReader::State::kHead) return false;
    if (reader_->state() == ResponseReader::State::kBody ||
        reader_->state() == ResponseReader::State::kComplete) {
      skipping_response_ = skipping_response_ || IsUnrelated();
      if (!skipping_response_) {
        state_ = State::kBody;
        handler_->OnHead(reader_->status(), reader_->headers());
        if (handler_ == nullptr) return false;
      }
    }
  }
  if (reader_->state() == ResponseReader::State::kBody && !input_.empty()) {
    input_.erase(0, reader_->Feed(input_, &body));
  }
  if (SkipUnrelatedResponse()) return !skipping_response_ && !input_.empty();
  if (!body.empty()) handler_->OnBody(body);
  if (handler_ == nullptr) return false;
  switch (reader_->state()) {
    case ResponseReader::State::kComplete:
      ReleaseConnection();
      Complete(ResponseEnd::kFraming);
      return false;
    case ResponseReader::State::kTooLarge:
      Fail(HttpFailure::kTooLarge);
      return false;
    case ResponseReader::State::kMalformed:
      Fail(HttpFailure::kMalformed);
      return false;
    default:
      if (!paused_) ArmTimer(options_.idle_timeout);
      return false;
  }
}

bool CallState::OnEof() {
  const auto self = shared_from_this();
  use_.undelivered_bytes = connection_->socket()->undelivered_bytes();
  if (state_ != State::kBody || !options_.accept_close_delimited ||
      !reader_->is_close_delimited() || use_.undelivered_bytes > 0)
    return false;
  Complete(ResponseEnd::kClose);
  return connection_ != nullptr;
}

void CallState::OnClosed() {
  const auto self = shared_from_this();
  if (state_ == State::kFinished) {
    reset_after_end_ = true;
    connection_.reset();
    return;
  }
  if (state_ == State::kIdentifying) {
    OnQueryFailed();
    return;
  }
  const State state = state_;
  const bool refused = connection_->socket()->refused();
  const bool retry = pooled_ && !response_started_ &&
                     options_.retry_on_fresh_connection &&
                     (!options_.may_resend || options_.may_resend());
  CloseConnection();
  if (retry) {
    // The back end may close a keep-alive connection at any time.
    Connect();
  } else if (state == State::kConnecting) {
    Fail(refused ? HttpFailure::kRefused : HttpFailure::kConnect);
  } else {
    Fail(state == State::kHead ? HttpFailure::kNoResponse
                               : HttpFailure::kTruncated);
  }
}

class Call : public HttpCall {
 public:
  explicit Call(std::shared_ptr<CallState> state) : state_(std::move(state)) {}
  ~Call() override { state_->Cancel(); }
  bool sent() const override { return state_->sent(); }
  bool has_expected_incarnation() const override {
    return state_->has_expected_incarnation();
  }
  bool reset_after_end() const override { return state_->reset_after_end(); }
  void Pause(bool pause) override { state_->Pause(pause); }
  ConnectionUse connection_use() const override {
    return state_->connection_use();
  }

 private:
  const std::shared_ptr<CallState> state_;
};

class LwsClient : public HttpClient {
 public:
  explicit LwsClient(LwsLoop* loop)
      : loop_(loop), pool_(std::make_shared<ConnectionPool>(loop)) {}

  std::unique_ptr<HttpCall> Start(const HttpCallOptions& options,
                                  HttpRequest request,
                                  HttpCallHandler* handler) override {
    assert(handler != nullptr);
    auto state = std::make_shared<CallState>(loop_, pool_, options,
                                             std::move(request), handler);
    loop_->Post([state] { state->Start(); });
    return std::make_unique<Call>(std::move(state));
  }

 private:
  LwsLoop* const loop_;
  const std::shared_ptr<ConnectionPool> pool_;
};

}  // namespace

std::unique_ptr<HttpClient> MakeHttpClient(LwsLoop* loop) {
  return std::make_unique<LwsClient>(loop);
}

}  // namespace mimosa
