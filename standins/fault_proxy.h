// A TCP proxy that injects faults between two processes.
//
// Commands come one a line over the control port; each is answered with "ok",
// "error" or a line of JSON:
//   mode pass|cut|blackhole    cut: close all, refuse new connections;
//                              blackhole: accept and swallow
//   set <fault> <n>            see Faults; -1 turns a fault off
//   reset                      all faults off, mode pass
//   stats                      {"accepted", "open", "dropped", "up_bytes",
//                              "down_bytes"}
//   received                   what went up, raw: then the connection closes
// "up" is from the side that connected to the target.
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

enum class ProxyMode { kPass, kCut, kBlackhole };

// All faults by name; -1: off. Those counted in bytes hold per connection.
struct ProxyFaults {
  int64_t delay_ms = -1;         // each piece of data is held so long
  int64_t jitter_ms = -1;        // and up to so much longer, at random
  int64_t drop_nth = -1;         // every nth connection is closed at once
  int64_t drop_percent = -1;     // a connection is closed at once, at random
  int64_t cut_after_up = -1;     // both ways closed after so many bytes up
  int64_t cut_after_down = -1;   // the same, bytes down
  int64_t half_close_up = -1;    // target sees the end after so many bytes
  int64_t half_close_down = -1;  // the connecting side does
  int64_t duplicate = -1;        // so many more whole requests are sent twice
  int64_t limit = -1;  // so many more connections suffer the faults in bytes
};

class FaultProxy {
 public:
  using Tcp = boost::asio::ip::tcp;

  FaultProxy(boost::asio::io_context* io, const Tcp::endpoint& listen,
             const Tcp::endpoint& target, uint64_t seed);
  ~FaultProxy();

  // Carries out one command and returns the line that answers it.
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
  int64_t up_bytes_ = 0;
  int64_t down_bytes_ = 0;
  std::string received_;  // bytes that came up, bounded
};

// Serves commands on the control port.
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
