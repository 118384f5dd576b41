// Implements the fault proxy's sessions, faults and control port.
#include "standins/fault_proxy.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <sstream>
#include <utility>

namespace mimosa::standins {
namespace {

namespace asio = boost::asio;
using Tcp = FaultProxy::Tcp;
using boost::system::error_code;

constexpr size_t kBufferBytes = 16384;
constexpr size_t kMaxReceivedBytes = 32U << 20;
// Responses of at most this size may be sent again late.
constexpr size_t kMaxRepeatedBytes = 4096;

}  // namespace

// Relays between one client connection and its connection to the target.
class ProxySession : public std::enable_shared_from_this<ProxySession> {
 public:
  ProxySession(FaultProxy* proxy, Tcp::socket client, bool byte_faults_enabled)
      : proxy_(proxy),
        client_(std::move(client)),
        target_(*proxy->io_),
        byte_faults_enabled_(byte_faults_enabled),
        up_(&client_, &target_, proxy->io_),
        down_(&target_, &client_, proxy->io_) {}

  void Start() {
    if (IsBlackhole()) {
      ReadNext(&up_);  // Deliver() discards the data
      return;
    }
    auto self = shared_from_this();
    target_.async_connect(proxy_->target_, [this, self](error_code ec) {
      if (ec) {
        Close();
        return;
      }
      SetNoDelay(&client_);
      SetNoDelay(&target_);
      ReadNext(&up_);
      ReadNext(&down_);
    });
  }

  void Close() {
    error_code ignored;
    client_.close(ignored);
    target_.close(ignored);
    up_.timer.cancel();
    down_.timer.cancel();
    proxy_->sessions_.erase(shared_from_this());
  }

 private:
  // Holds the state of one direction of a session.
  struct Direction {
    Direction(Tcp::socket* from, Tcp::socket* to, asio::io_context* io)
        : from(from), to(to), timer(*io) {}

    Tcp::socket* const from;
    Tcp::socket* const to;
    asio::steady_timer timer;
    std::array<char, kBufferBytes> buffer{};
    std::string pending_data;  // read from `from`, not yet delivered
    // Up only: buffers a request that is to be duplicated.
    std::string partial_request;
    int64_t delivered_bytes = 0;  // written to `to` so far
    bool ended = false;           // `to` has been shut down for sending
  };

  static void SetNoDelay(Tcp::socket* socket) {
    error_code ignored;
    socket->set_option(Tcp::no_delay(true), ignored);
  }

  bool IsUp(const Direction* direction) const { return direction == &up_; }

  void ReadNext(Direction* direction) {
    auto self = shared_from_this();
    direction->from->async_read_some(
        asio::buffer(direction->buffer),
        [this, self, direction](error_code ec, size_t size) {
          if (ec) {
            OnReadEnd(direction, ec);
            return;
          }
          direction->pending_data.assign(direction->buffer.data(), size);
          DelayDelivery(direction);
        });
  }

  // Forwards an orderly end of stream; closes both connections on an error.
  void OnReadEnd(Direction* direction, error_code ec) {
    if (ec != asio::error::eof || IsBlackhole()) {
      if (discards_) Reset();
      Close();
      return;
    }
    EndDirection(direction);
  }

  void EndDirection(Direction* direction) {
    error_code ignored;
    direction->to->shutdown(Tcp::socket::shutdown_send, ignored);
    direction->ended = true;
    if (up_.ended && down_.ended) Close();
  }

  void DelayDelivery(Direction* direction) {
    const ProxyFaults& faults = proxy_->faults_;
    int64_t wait = std::max<int64_t>(0, faults.delay_ms);
    if (faults.jitter_ms > 0)
      wait += static_cast<int64_t>(proxy_->random_.UniformInt(
          static_cast<uint64_t>(faults.jitter_ms) + 1));
    if (wait == 0) {
      Deliver(direction);
      return;
    }
    auto self = shared_from_this();
    direction->timer.expires_after(std::chrono::milliseconds(wait));
    direction->timer.async_wait([this, self, direction](error_code ec) {
      if (!ec) Deliver(direction);
    });
  }

  bool IsBlackhole() const {
    return discards_ || proxy_->mode_ == ProxyMode::kBlackhole;
  }

  // Makes Close() reset both connections.
  void Reset() {
    error_code ignored;
    client_.set_option(asio::socket_base::linger(true, 0), ignored);
    target_.set_option(asio::socket_base::linger(true, 0), ignored);
  }

  void Deliver(Direction* direction) {
    if (IsBlackhole()) {
      discards_ = true;
      ReadNext(direction);
      return;
    }
    if (!IsUp(direction)) {
      RepeatResponse(direction);
    } else {
      request_passed_ = true;
      DuplicateRequest(direction);
      if (direction->pending_data.empty()) {
        ReadNext(direction);
        return;
      }
    }
    const int64_t remaining = RemainingBytes(*direction);
    const bool last =
        static_cast<int64_t>(direction->pending_data.size()) >= remaining;
    if (last) direction->pending_data.resize(static_cast<size_t>(remaining));
    CountBytes(direction);
    WritePending(direction, last);
  }

  // Returns how many more bytes this direction may deliver before a byte-count
  // fault takes effect.
  int64_t RemainingBytes(const Direction& direction) const {
    int64_t remaining = INT64_MAX;
    if (!byte_faults_enabled_) return remaining;
    const ProxyFaults& faults = proxy_->faults_;
    for (const int64_t limit :
         {IsUp(&direction) ? faults.cut_after_up : faults.cut_after_down,
          IsUp(&direction) ? faults.half_close_up : faults.half_close_down}) {
      if (limit >= 0)
        remaining = std::min(remaining, limit - direction.delivered_bytes);
    }
    return std::max<int64_t>(0, remaining);
  }

  void CountBytes(Direction* direction) {
    const auto size = static_cast<int64_t>(direction->pending_data.size());
    direction->delivered_bytes += size;
    if (!IsUp(direction)) {
      proxy_->down_bytes_ += size;
      return;
    }
    proxy_->up_bytes_ += size;
    if (proxy_->received_.size() < kMaxReceivedBytes)
      proxy_->received_ += direction->pending_data;
  }

  void WritePending(Direction* direction, bool last) {
    auto self = shared_from_this();
    asio::async_write(*direction->to, asio::buffer(direction->pending_data),
                      [this, self, direction, last](error_code ec, size_t) {
                        if (ec) {
                          Close();
                        } else if (last) {
                          ApplyByteFault(direction);
                        } else {
                          ReadNext(direction);
                        }
                      });
  }

  // Applies the byte-count fault that this direction has reached.
  void ApplyByteFault(Direction* direction) {
    const ProxyFaults& faults = proxy_->faults_;
    const int64_t cut =
        IsUp(direction) ? faults.cut_after_up : faults.cut_after_down;
    if (cut >= 0 && direction->delivered_bytes >= cut)
      Close();
    else
      EndDirection(direction);
  }

  // Buffers data until it is a complete request, then sends the request twice.
  void DuplicateRequest(Direction* direction) {
    if (proxy_->faults_.duplicate <= 0 && direction->partial_request.empty())
      return;
    direction->partial_request += direction->pending_data;
    direction->pending_data.clear();
    if (!IsCompleteRequest(direction->partial_request)) return;
    direction->pending_data =
        direction->partial_request + direction->partial_request;
    direction->partial_request.clear();
    --proxy_->faults_.duplicate;
  }

  // Puts the copy of the response before, if it is to be repeated, in front of
  // the first data of a response. Takes a response for complete once a request
  // follows it: a server answers one request at a time.
  void RepeatResponse(Direction* direction) {
    if (request_passed_) {
      request_passed_ = false;
      const std::string before = std::exchange(response_, "");
      const bool repeats =
          before.size() <= kMaxRepeatedBytes &&
          static_cast<int64_t>(proxy_->random_.UniformInt(100)) <
              proxy_->faults_.repeat_percent;
      response_ = direction->pending_data;
      if (!repeats || before.empty()) return;
      ++proxy_->repeated_;
      direction->pending_data.insert(0, before);
      return;
    }
    if (response_.size() <= kMaxRepeatedBytes)
      response_ += direction->pending_data;
  }

  static bool IsCompleteRequest(const std::string& bytes) {
    const size_t end = bytes.find("\r\n\r\n");
    if (end == std::string::npos) return false;
    std::string head = bytes.substr(0, end);
    std::transform(head.begin(), head.end(), head.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    constexpr std::string_view kLength = "\r\ncontent-length:";
    const size_t at = head.find(kLength);
    size_t length = 0;
    if (at != std::string::npos)
      length = std::stoul(head.substr(at + kLength.size()));
    return bytes.size() >= end + 4 + length;
  }

  FaultProxy* const proxy_;
  Tcp::socket client_;
  Tcp::socket target_;
  // Data was discarded. The rest is, too, and no end looks orderly, since TCP
  // delivers no data with a gap.
  bool discards_ = false;
  bool request_passed_ = false;  // Since the last data of a response.
  std::string response_;         // The last response, unless it is a large one.
  const bool byte_faults_enabled_;  // byte-count faults apply to this session
  Direction up_;
  Direction down_;
};

FaultProxy::FaultProxy(asio::io_context* io, const Tcp::endpoint& listen,
                       const Tcp::endpoint& target, uint64_t seed)
    : io_(io), listen_(listen), target_(target), acceptor_(*io), random_(seed) {
  Listen();
}

FaultProxy::~FaultProxy() = default;

void FaultProxy::Listen() {
  acceptor_.open(listen_.protocol());
  acceptor_.set_option(Tcp::acceptor::reuse_address(true));
  acceptor_.bind(listen_);
  acceptor_.listen();
  AcceptNext();
}

void FaultProxy::AcceptNext() {
  acceptor_.async_accept([this](error_code ec, Tcp::socket socket) {
    if (ec == asio::error::operation_aborted) return;
    if (!ec) OnAccepted(std::move(socket));
    AcceptNext();
  });
}

void FaultProxy::OnAccepted(Tcp::socket socket) {
  ++accepted_;
  if (ShouldDrop()) {
    ++dropped_;
    return;  // the socket is closed by its destructor
  }
  const bool byte_faults_enabled = faults_.limit != 0;
  if (faults_.limit > 0) --faults_.limit;
  auto session = std::make_shared<ProxySession>(this, std::move(socket),
                                                byte_faults_enabled);
  sessions_.insert(session);
  session->Start();
}

bool FaultProxy::ShouldDrop() {
  if (faults_.drop_nth > 0 && accepted_ % faults_.drop_nth == 0) return true;
  return faults_.drop_percent > 0 &&
         static_cast<int64_t>(random_.UniformInt(100)) < faults_.drop_percent;
}

std::string FaultProxy::ExecuteCommand(const std::string& line) {
  std::istringstream words(line);
  std::string verb;
  std::string name;
  int64_t value = 0;
  words >> verb >> name;
  if (verb == "stats") return StatsJson();
  if (verb == "reset") {
    faults_ = ProxyFaults();
    SetMode(ProxyMode::kPass);
    return "ok";
  }
  if (verb == "set") {
    words >> value;
    return words && SetFault(name, value) ? "ok" : "error";
  }
  if (verb != "mode") return "error";
  if (name == "pass") {
    SetMode(ProxyMode::kPass);
  } else if (name == "cut") {
    SetMode(ProxyMode::kCut);
  } else if (name == "refuse") {
    SetMode(ProxyMode::kRefuse);
  } else if (name == "blackhole") {
    SetMode(ProxyMode::kBlackhole);
  } else {
    return "error";
  }
  return "ok";
}

bool FaultProxy::SetFault(const std::string& name, int64_t value) {
  const std::map<std::string, int64_t*> faults = {
      {"delay_ms", &faults_.delay_ms},
      {"jitter_ms", &faults_.jitter_ms},
      {"drop_nth", &faults_.drop_nth},
      {"drop_percent", &faults_.drop_percent},
      {"cut_after_up", &faults_.cut_after_up},
      {"cut_after_down", &faults_.cut_after_down},
      {"half_close_up", &faults_.half_close_up},
      {"half_close_down", &faults_.half_close_down},
      {"repeat_percent", &faults_.repeat_percent},
      {"duplicate", &faults_.duplicate},
      {"limit", &faults_.limit}};
  const auto it = faults.find(name);
  if (it == faults.end()) return false;
  *it->second = value;
  return true;
}

void FaultProxy::SetMode(ProxyMode mode) {
  mode_ = mode;
  if (mode == ProxyMode::kCut) {
    acceptor_.close();
    const auto sessions = sessions_;
    for (const auto& session : sessions) session->Close();
  } else if (mode == ProxyMode::kRefuse) {
    acceptor_.close();
  } else if (!acceptor_.is_open()) {
    Listen();
  }
}

std::string FaultProxy::StatsJson() const {
  std::ostringstream out;
  out << "{\"accepted\":" << accepted_ << ",\"open\":" << sessions_.size()
      << ",\"dropped\":" << dropped_ << ",\"repeated\":" << repeated_
      << ",\"up_bytes\":" << up_bytes_ << ",\"down_bytes\":" << down_bytes_
      << "}";
  return out.str();
}

struct ProxyControl::Client {
  explicit Client(Tcp::socket s) : socket(std::move(s)) {}
  Tcp::socket socket;
  asio::streambuf in;
  std::string out;
};

ProxyControl::ProxyControl(asio::io_context* io, const Tcp::endpoint& listen,
                           FaultProxy* proxy)
    : acceptor_(*io, listen), proxy_(proxy) {
  AcceptNext();
}

void ProxyControl::AcceptNext() {
  acceptor_.async_accept([this](error_code ec, Tcp::socket socket) {
    if (!ec) ReadCommand(std::make_shared<Client>(std::move(socket)));
    AcceptNext();
  });
}

void ProxyControl::ReadCommand(const std::shared_ptr<Client>& client) {
  asio::async_read_until(client->socket, client->in, '\n',
                         [this, client](error_code ec, size_t) {
                           if (ec) return;
                           std::istream in(&client->in);
                           std::string line;
                           std::getline(in, line);
                           RunCommand(client, line);
                         });
}

void ProxyControl::RunCommand(const std::shared_ptr<Client>& client,
                              const std::string& line) {
  const bool raw = line == "received";
  client->out = raw ? proxy_->received() : proxy_->ExecuteCommand(line) + "\n";
  asio::async_write(client->socket, asio::buffer(client->out),
                    [this, client, raw](error_code ec, size_t) {
                      if (!ec && !raw) ReadCommand(client);
                    });
}

}  // namespace mimosa::standins
