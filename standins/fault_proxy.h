// A TCP proxy that injects faults between two processes.
//
// Commands are sent over the control port, one per line. Each gets the response
// "ok", "error" or a line of JSON:
//   mode pass|cut|refuse|blackhole
//                              cut: close all connections, refuse new ones;
//                              refuse: refuse new connections only;
//                              blackhole: accept, discard all data
//   set <fault> <n>            see ProxyFaults; -1 turns a fault off
//   reset                      turn all faults off, set mode pass
//   stats                      {"accepted", "open", "dropped", "repeated":
//                              responses sent again, "up_bytes",
//                              "down_bytes"}
//   received                   the raw data sent up; ends the connection
// "up" is the direction from the connecting client to the target.
#ifndef STANDINS_FAULT_PROXY_H_
#define STANDINS_FAULT_PROXY_H_

#include <boost/asio.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "base/random.h"

namespace mimosa::standins {

class ProxySession;

enum class ProxyMode { kPass, kCut, kRefuse, kBlackhole };

// Holds the faults by the names that the command "set" uses; -1 means off. Byte
// counts apply per connection.
struct ProxyFaults {
  int64_t delay_ms = -1;  // each chunk of data is delayed by this much
  // Each chunk is delayed further by a random time of at most this.
  int64_t jitter_ms = -1;
  int64_t drop_nth = -1;  // every nth connection is closed on accept
  // Share of connections, chosen at random, closed on accept.
  int64_t drop_percent = -1;
  int64_t cut_after_up = -1;    // connection closed after this many bytes up
  int64_t cut_after_down = -1;  // connection closed after this many bytes down
  // Target sees end of stream after this many bytes up.
  int64_t half_close_up = -1;
  // Client sees end of stream after this many bytes down.
  int64_t half_close_down = -1;
  // Share of the small responses that are sent again, late: in front of the
  // next response on their connection.
  int64_t repeat_percent = -1;
  int64_t duplicate = -1;  // this many more complete requests are sent twice
  int64_t limit = -1;  // byte-count faults apply to this many more connections
};

class FaultProxy {
 public:
  using Tcp = boost::asio::ip::tcp;

  FaultProxy(boost::asio::io_context* io, const Tcp::endpoint& listen,
             const Tcp::endpoint& target, uint64_t seed);
  ~FaultProxy();

  // Executes one command and returns the response line.
  std::string ExecuteCommand(const std::string& line);
  const std::string& received() const { return received_; }

 private:
  friend class ProxySession;

  void AcceptNext();
  void OnAccepted(Tcp::socket socket);
  bool ShouldDrop();
  bool SetFault(const std::string& name, int64_t value);
  void SetMode(ProxyMode mode);
  std::string StatsJson() const;
  void Listen();

  boost::asio::io_context* const io_;
  const Tcp::endpoint listen_;
  const Tcp::endpoint target_;
  Tcp::acceptor acceptor_;
  SeededRandom random_;
  ProxyMode mode_ = ProxyMode::kPass;
  ProxyFaults faults_;
  std::set<std::shared_ptr<ProxySession>> sessions_;
  int64_t accepted_ = 0;
  int64_t dropped_ = 0;
  int64_t repeated_ = 0;  // responses that were sent again
  int64_t up_bytes_ = 0;
  int64_t down_bytes_ = 0;
  std::string received_;  // data sent up, of bounded size
};

// Serves the commands of a FaultProxy on the control port.
class ProxyControl {
 public:
  ProxyControl(boost::asio::io_context* io,
               const FaultProxy::Tcp::endpoint& listen, FaultProxy* proxy);

 private:
  struct Client;
  void AcceptNext();
  void ReadCommand(const std::shared_ptr<Client>& client);
  void RunCommand(const std::shared_ptr<Client>& client,
                  const std::string& line);

  boost::asio::ip::tcp::acceptor acceptor_;
  FaultProxy* const proxy_;
};

}  // namespace mimosa::standins

#endif  // STANDINS_FAULT_PROXY_H_
