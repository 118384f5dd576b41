// A small blocking HTTP client for tests, based on Boost.Beast. Tests of the
// framing itself send and check raw bytes instead.
#ifndef TESTS_CLIENT_H_
#define TESTS_CLIENT_H_

#include <json/value.h>

#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "tests/processes.h"

namespace mimosa::testing {

// Header names and values, in order; names may repeat.
using Fields = std::vector<std::pair<std::string, std::string>>;

struct Request {
  std::string method = "GET";
  std::string target = "/";
  Fields headers;
  std::string body;
};

// A response, or the part of it that was received.
struct Reply {
  bool complete = false;  // received to its end, according to its framing
  int status = 0;         // 0 if no response head was received
  Fields headers;
  std::string body;  // the part that was received

  // Returns the first value of that header, or "".
  std::string Header(const std::string& name) const;
  Json::Value JsonBody() const;  // null if the body isn't JSON
};

// One connection, which can carry several requests in sequence.
class Connection {
 public:
  explicit Connection(uint16_t port, const std::string& ip = "127.0.0.1");
  ~Connection();

  // Sends a request without waiting for the reply. Returns false on failure.
  bool Send(const Request& request);
  // Sends bytes unchanged.
  bool SendRaw(const std::string& bytes);
  // Reads the next reply to its end.
  Reply ReadReply(Seconds timeout = kDefaultTimeout);
  // Reads until the body of the reply has at least `bytes` bytes or has ended.
  // Further calls, and a final ReadReply(), continue the same reply.
  Reply ReadAtLeast(size_t bytes, Seconds timeout = kDefaultTimeout);
  void Close();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

// Sends one request on a new connection.
Reply Call(uint16_t port, const Request& request,
           Seconds timeout = kDefaultTimeout,
           const std::string& ip = "127.0.0.1");
Reply Get(uint16_t port, const std::string& target);
Reply PostJson(uint16_t port, const std::string& target,
               const Json::Value& body);

// Returns the body of a GET as JSON, or null without a complete reply.
Json::Value GetJson(uint16_t port, const std::string& target);

// Sends one command to the control port of a fault proxy. Returns the response
// without its newline.
std::string SendProxyCommand(uint16_t port, const std::string& command);

}  // namespace mimosa::testing

#endif  // TESTS_CLIENT_H_
