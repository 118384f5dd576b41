// HttpClient on raw sockets and the codec.
//
// A call owns its connection while it runs. A connection whose answer was whole
// goes to the pool, if the call allows reuse; calls that don't allow it neither
// take from the pool nor leave anything there.
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

// Kept this long where the back end announces no timeout of its own.
constexpr Duration kPooledIdle = std::chrono::seconds(30);
// An announced timeout is used up to this share: its end may cross a request.
constexpr double kIdleShare = 0.7;
constexpr size_t kMaxPooledPerEndpoint = 32;

// A connection that outlives its call. Whoever has it set as `user` gets the
// events.
class ClientConnection : public RawSocket::Handler {
 public:
  class User {
   public:
    virtual ~User() = default;
    virtual void OnConnected() = 0;
    virtual void OnRead(std::string_view data) = 0;
    virtual void OnDrained() = 0;
    virtual void OnClosed() = 0;
  };

  // False if the connection fails at once.
  bool Open(LwsLoop* loop, const Endpoint& to) {
    socket_ = RawSocket::Connect(loop, to, this);
    return socket_ != nullptr;
  }

  void set_user(User* user) { user_ = user; }
  RawSocket* socket() { return socket_.get(); }

  void OnConnected() override { user_->OnConnected(); }
  void OnRead(std::string_view data) override { user_->OnRead(data); }
  void OnDrained() override { user_->OnDrained(); }
  void OnClosed() override { user_->OnClosed(); }

 private:
  User* user_ = nullptr;
  std::unique_ptr<RawSocket> socket_;
};

// Idle connections, the one used last taken first.
class Pool {
 public:
  explicit Pool(LwsLoop* loop) : loop_(loop) {}

  // nullptr if there is none that has been idle for at most `max_idle`.
  std::unique_ptr<ClientConnection> Take(const Endpoint& to,
                                         Duration max_idle) {
    const auto it = idle_.find(to);
    if (it == idle_.end()) return nullptr;
    if (loop_->Now() - it->second.back()->since > max_idle) return nullptr;
    auto connection = std::move(it->second.back()->connection);
    it->second.pop_back();
    if (it->second.empty()) idle_.erase(it);
    return connection;
  }

  // `announced`: how long the back end keeps it; zero: it didn't say.
  void Put(const Endpoint& to, std::unique_ptr<ClientConnection> connection,
           Duration announced) {
    Duration keep = kPooledIdle;
    if (announced > Duration::zero()) {
      keep = std::min(
          keep, std::chrono::duration_cast<Duration>(announced * kIdleShare));
    }
    auto& entries = idle_[to];
    if (entries.size() >= kMaxPooledPerEndpoint) entries.erase(entries.begin());
    auto entry = std::make_unique<Entry>(this, to, std::move(connection));
    entry->since = loop_->Now();
    entry->timer = loop_->After(keep, [this, e = entry.get()] { Remove(e); });
    entries.push_back(std::move(entry));
  }

 private:
  // Anything that happens to an idle connection ends it.
  struct Entry : public ClientConnection::User {
    Entry(Pool* pool_in, Endpoint to_in,
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

    Pool* const pool;
    const Endpoint to;
    std::unique_ptr<ClientConnection> connection;
    MonoTime since{};
    TimerHandle timer;
  };

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
  std::map<Endpoint, std::vector<std::unique_ptr<Entry>>> idle_;
};

// The state of a call. Its handle (Call) may go at any time; callbacks keep it
// alive while they run.
class CallState : public ClientConnection::User,
                  public std::enable_shared_from_this<CallState> {
 public:
  CallState(LwsLoop* loop, std::weak_ptr<Pool> pool, HttpCallOptions options,
            HttpRequest request, HttpCallHandler* handler)
      : loop_(loop),
        pool_(std::move(pool)),
        options_(std::move(options)),
        request_(std::move(request)),
        handler_(handler) {}

  void Begin() {
    if (handler_ == nullptr) return;
    if (!detail::IsValidRequestLine(request_)) {
      Fail(HttpFailure::kConnect);
      return;
    }
    if (options_.reuse_connection && TakePooled()) return;
    Connect();
  }

  // No callback follows.
  void Cancel() {
    handler_ = nullptr;
    CloseConnection();
  }

  bool sent() const { return sent_before_ || SentOnConnection(); }

  void Pause(bool pause) {
    if (paused_ == pause || handler_ == nullptr) return;
    paused_ = pause;
    if (connection_ != nullptr) connection_->socket()->Pause(pause);
    if (state_ != State::kBody) return;
    // Time in which nothing is read isn't the back end's.
    if (pause) {
      timer_.Cancel();
    } else {
      ArmTimer(options_.idle_timeout);
    }
  }

  void OnConnected() override { Write(); }
  void OnRead(std::string_view data) override;
  void OnDrained() override {
    if (state_ == State::kHead) ArmTimer(options_.head_timeout);
  }
  void OnClosed() override;

 private:
  enum class State { kConnecting, kHead, kBody, kOver };

  bool ReadAnswer();

  bool TakePooled() {
    const auto pool = pool_.lock();
    if (pool == nullptr) return false;
    connection_ = pool->Take(options_.to, options_.max_idle);
    if (connection_ == nullptr) return false;
    pooled_ = true;
    connection_->set_user(this);
    Write();
    return true;
  }

  void Connect() {
    state_ = State::kConnecting;
    pooled_ = false;
    base_offered_ = 0;
    connection_ = std::make_unique<ClientConnection>();
    connection_->set_user(this);
    if (!connection_->Open(loop_, options_.to)) {
      connection_.reset();
      Fail(HttpFailure::kConnect);
      return;
    }
    ArmTimer(options_.connect_timeout);
  }

  void Write() {
    state_ = State::kHead;
    answer_begun_ = false;
    reader_ = std::make_unique<ResponseReader>(request_.method == "HEAD",
                                               options_.max_response_bytes);
    base_offered_ = connection_->socket()->bytes_written();
    if (paused_) connection_->socket()->Pause(true);
    connection_->socket()->Send(
        detail::SerializeRequestHead(request_, options_.to,
                                     options_.reuse_connection) +
        request_.body);
    ArmTimer(options_.head_timeout);
  }

  // Passes over an answer that isn't to this request. True if one was begun.
  bool SkipForeignAnswer() {
    if (!skipping_) return false;
    if (reader_->state() == ResponseReader::State::kComplete) {
      skipping_ = false;
      reader_ = std::make_unique<ResponseReader>(request_.method == "HEAD",
                                                 options_.max_response_bytes);
    }
    return true;
  }

  bool SentOnConnection() const {
    return connection_ != nullptr &&
           connection_->socket()->bytes_written() > base_offered_;
  }

  void ArmTimer(Duration delay) {
    timer_ = loop_->After(delay, [this] { Fail(HttpFailure::kTimeout); });
  }

  void CloseConnection() {
    timer_.Cancel();
    sent_before_ = sent();
    connection_.reset();
    state_ = State::kOver;
  }

  void Fail(HttpFailure failure) {
    const auto self = shared_from_this();
    CloseConnection();
    if (HttpCallHandler* handler = std::exchange(handler_, nullptr)) {
      handler->OnFailed(failure, sent_before_);
    }
  }

  void Done(bool keep) {
    timer_.Cancel();
    state_ = State::kOver;
    sent_before_ = true;
    if (const auto pool = keep ? pool_.lock() : nullptr) {
      connection_->socket()->Pause(false);
      pool->Put(options_.to, std::move(connection_),
                reader_->keep_alive_timeout());
    }
    connection_.reset();
    std::exchange(handler_, nullptr)->OnDone();
  }

  LwsLoop* const loop_;
  const std::weak_ptr<Pool> pool_;  // gone with the client
  const HttpCallOptions options_;
  const HttpRequest request_;
  HttpCallHandler* handler_;  // nullptr once over or cancelled
  State state_ = State::kConnecting;
  std::unique_ptr<ClientConnection> connection_;
  std::unique_ptr<ResponseReader> reader_;
  std::string input_;          // read and not consumed by reader_
  uint64_t base_offered_ = 0;  // of the connection, before this request
  bool sent_before_ = false;   // as far as earlier connections are concerned
  bool pooled_ = false;        // connection_ came from the pool
  bool answer_begun_ = false;  // a byte of the answer came
  bool skipping_ = false;      // reader_ reads an answer to another request
  bool paused_ = false;
  TimerHandle timer_;
};

void CallState::OnRead(std::string_view data) {
  const auto self = shared_from_this();
  answer_begun_ = true;
  input_.append(data);
  while (ReadAnswer()) {
  }
}

// Feeds the reader once; true if there is another answer to read behind one
// that was passed over.
bool CallState::ReadAnswer() {
  std::string body;
  if (state_ == State::kHead) {
    input_.erase(0, reader_->Feed(input_, &body));
    if (reader_->state() == ResponseReader::State::kHead) return false;
    if (reader_->state() == ResponseReader::State::kBody ||
        reader_->state() == ResponseReader::State::kComplete) {
      skipping_ = skipping_ || (options_.matches_request &&
                                !options_.matches_request(reader_->headers()));
      if (!skipping_) {
        state_ = State::kBody;
        handler_->OnHead(reader_->status(), reader_->headers());
        if (handler_ == nullptr) return false;
      }
    }
  }
  if (reader_->state() == ResponseReader::State::kBody && !input_.empty()) {
    input_.erase(0, reader_->Feed(input_, &body));
  }
  if (SkipForeignAnswer()) return !skipping_ && !input_.empty();
  if (!body.empty()) handler_->OnBody(body);
  if (handler_ == nullptr) return false;
  switch (reader_->state()) {
    case ResponseReader::State::kComplete:
      Done(options_.reuse_connection && reader_->keep_alive() &&
           input_.empty() && connection_->socket()->unsent_bytes() == 0);
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

void CallState::OnClosed() {
  const auto self = shared_from_this();
  const State state = state_;
  const bool retry =
      pooled_ && !answer_begun_ && options_.retry_on_fresh_connection;
  const bool whole = state == State::kBody && options_.accept_close_delimited &&
                     connection_->socket()->received_eof() &&
                     reader_->is_close_delimited();
  if (whole) {
    Done(/*keep=*/false);
    return;
  }
  CloseConnection();
  if (retry) {
    // Kept-alive connections are closed by the other end at any time.
    Connect();
  } else if (state == State::kConnecting) {
    Fail(HttpFailure::kConnect);
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
  void Pause(bool pause) override { state_->Pause(pause); }

 private:
  const std::shared_ptr<CallState> state_;
};

class LwsClient : public HttpClient {
 public:
  explicit LwsClient(LwsLoop* loop)
      : loop_(loop), pool_(std::make_shared<Pool>(loop)) {}

  std::unique_ptr<HttpCall> Start(const HttpCallOptions& options,
                                  HttpRequest request,
                                  HttpCallHandler* handler) override {
    assert(handler != nullptr);
    auto state = std::make_shared<CallState>(loop_, pool_, options,
                                             std::move(request), handler);
    loop_->Post([state] { state->Begin(); });
    return std::make_unique<Call>(std::move(state));
  }

 private:
  LwsLoop* const loop_;
  const std::shared_ptr<Pool> pool_;
};

}  // namespace

std::unique_ptr<HttpClient> MakeHttpClient(LwsLoop* loop) {
  return std::make_unique<LwsClient>(loop);
}

}  // namespace mimosa
