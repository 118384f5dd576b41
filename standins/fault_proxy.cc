// Sessions, faults and control of the fault proxy.
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
constexpr size_t kReceivedBytes = 32U << 20;

}  // namespace

// One connection and its counterpart at the target.
class ProxySession : public std::enable_shared_from_this<ProxySession> {
 public:
  ProxySession(FaultProxy* proxy, Tcp::socket client, bool faulty)
      : proxy_(proxy),
        client_(std::move(client)),
        target_(*proxy->io_),
        byte_faults_enabled_(faulty),
        up_(&client_, &target_, proxy->io_),
        down_(&target_, &client_, proxy->io_) {}

  void Start() {
    if (proxy_->mode_ == ProxyMode::kBlackhole) {
      ReadNext(&up_);  // Deliver() swallows it
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
  // One direction.
  struct Direction {
    Direction(Tcp::socket* from, Tcp::socket* to, asio::io_context* io)
        : from(from), to(to), timer(*io) {}

    Tcp::socket* const from;
    Tcp::socket* const to;
    asio::steady_timer timer;
    std::array<char, kBufferBytes> buffer{};
    std::string pending_data;     // being written
    std::string partial_request;  // upward, while whole requests are duplicated
    int64_t delivered_bytes = 0;  // delivered
    bool ended = false;           // nothing more is delivered
  };

  static void SetNoDelay(Tcp::socket* socket) {
    error_code ignored;
    socket->set_option(Tcp::no_delay(true), ignored);
  }

  bool IsUp(const Direction* pump) const { return pump == &up_; }

  void ReadNext(Direction* pump) {
    auto self = shared_from_this();
    pump->from->async_read_some(asio::buffer(pump->buffer),
                                [this, self, pump](error_code ec, size_t size) {
                                  if (ec) {
                                    OnReadEnd(pump, ec);
                                    return;
                                  }
                                  pump->pending_data.assign(pump->buffer.data(),
                                                            size);
                                  DelayDelivery(pump);
                                });
  }

  // An orderly end is handed on as one; an error ends both ways.
  void OnReadEnd(Direction* pump, error_code ec) {
    if (ec != asio::error::eof || proxy_->mode_ == ProxyMode::kBlackhole) {
      Close();
      return;
    }
    EndDirection(pump);
  }

  void EndDirection(Direction* pump) {
    error_code ignored;
    pump->to->shutdown(Tcp::socket::shutdown_send, ignored);
    pump->ended = true;
    if (up_.ended && down_.ended) Close();
  }

  void DelayDelivery(Direction* pump) {
    const ProxyFaults& faults = proxy_->faults_;
    int64_t wait = std::max<int64_t>(0, faults.delay_ms);
    if (faults.jitter_ms > 0)
      wait += static_cast<int64_t>(proxy_->random_.UniformInt(
          static_cast<uint64_t>(faults.jitter_ms) + 1));
    if (wait == 0) {
      Deliver(pump);
      return;
    }
    auto self = shared_from_this();
    pump->timer.expires_after(std::chrono::milliseconds(wait));
    pump->timer.async_wait([this, self, pump](error_code ec) {
      if (!ec) Deliver(pump);
    });
  }

  void Deliver(Direction* pump) {
    if (proxy_->mode_ == ProxyMode::kBlackhole) {
      ReadNext(pump);
      return;
    }
    if (IsUp(pump)) {
      DuplicateRequest(pump);
      if (pump->pending_data.empty()) {
        ReadNext(pump);
        return;
      }
    }
    const int64_t room = RemainingBytes(*pump);
    const bool last = static_cast<int64_t>(pump->pending_data.size()) >= room;
    if (last) pump->pending_data.resize(static_cast<size_t>(room));
    CountBytes(pump);
    WritePending(pump, last);
  }

  // Bytes that may still go this way before a fault in bytes strikes.
  int64_t RemainingBytes(const Direction& pump) const {
    int64_t room = INT64_MAX;
    if (!byte_faults_enabled_) return room;
    const ProxyFaults& faults = proxy_->faults_;
    for (const int64_t limit :
         {IsUp(&pump) ? faults.cut_after_up : faults.cut_after_down,
          IsUp(&pump) ? faults.half_close_up : faults.half_close_down}) {
      if (limit >= 0) room = std::min(room, limit - pump.delivered_bytes);
    }
    return std::max<int64_t>(0, room);
  }

  void CountBytes(Direction* pump) {
    const auto size = static_cast<int64_t>(pump->pending_data.size());
    pump->delivered_bytes += size;
    if (!IsUp(pump)) {
      proxy_->down_bytes_ += size;
      return;
    }
    proxy_->up_bytes_ += size;
    if (proxy_->received_.size() < kReceivedBytes)
      proxy_->received_ += pump->pending_data;
  }

  void WritePending(Direction* pump, bool last) {
    auto self = shared_from_this();
    asio::async_write(*pump->to, asio::buffer(pump->pending_data),
                      [this, self, pump, last](error_code ec, size_t) {
                        if (ec) {
                          Close();
                        } else if (last) {
                          ApplyByteFault(pump);
                        } else {
                          ReadNext(pump);
                        }
                      });
  }

  // The fault in bytes that this direction has reached.
  void ApplyByteFault(Direction* pump) {
    const ProxyFaults& faults = proxy_->faults_;
    const int64_t cut =
        IsUp(pump) ? faults.cut_after_up : faults.cut_after_down;
    if (cut >= 0 && pump->delivered_bytes >= cut)
      Close();
    else
      EndDirection(pump);
  }

  // Holds bytes back until they are a whole request, then sends it twice.
  void DuplicateRequest(Direction* pump) {
    if (proxy_->faults_.duplicate <= 0 && pump->partial_request.empty()) return;
    pump->partial_request += pump->pending_data;
    pump->pending_data.clear();
    if (!IsCompleteRequest(pump->partial_request)) return;
    pump->pending_data = pump->partial_request + pump->partial_request;
    pump->partial_request.clear();
    --proxy_->faults_.duplicate;
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
  const bool byte_faults_enabled_;  // suffers the faults in bytes
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
    return;  // closes the socket
  }
  const bool faulty = faults_.limit != 0;
  if (faults_.limit > 0) --faults_.limit;
  auto session =
      std::make_shared<ProxySession>(this, std::move(socket), faulty);
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
  } else if (!acceptor_.is_open()) {
    Listen();
  }
}

std::string FaultProxy::StatsJson() const {
  std::ostringstream out;
  out << "{\"accepted\":" << accepted_ << ",\"open\":" << sessions_.size()
      << ",\"dropped\":" << dropped_ << ",\"up_bytes\":" << up_bytes_
      << ",\"down_bytes\":" << down_bytes_ << "}";
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
