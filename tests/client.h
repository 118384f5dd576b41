// A small blocking HTTP client for tests, on Boost.Beast. Where the framing
// itself is at stake, tests send and look for raw bytes instead.
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

using Fields = std::vector<std::pair<std::string, std::string>>;

struct Request {
  std::string method = "GET";
  std::string target = "/";
  Fields headers;
  std::string body;
};

struct Reply {
  bool complete = false;  // came to its end by its own framing
  int status = 0;         // 0: no head came
  Fields headers;
  std::string body;  // what came of it

  // The first value of that name, or "".
  std::string Header(const std::string& name) const;
  Json::Value JsonBody() const;  // null if the body is no JSON
};

// One connection. Requests may follow each other on it.
class Connection {
 public:
  explicit Connection(uint16_t port, const std::string& ip = "127.0.0.1");
  ~Connection();

  // Sends a request without waiting for the answer. False if that failed.
  bool Send(const Request& request);
  // Sends bytes as they are.
  bool SendRaw(const std::string& bytes);
  // Reads the next answer to its end.
  Reply ReadReply(Seconds deadline = kDefaultTimeout);
  // Reads until the answer's body holds at least `bytes`, or ended. Successive
  // calls, and a Read() at last, go on with the same answer.
  Reply ReadAtLeast(size_t bytes, Seconds deadline = kDefaultTimeout);
  void Close();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

// One request on a connection of its own.
Reply Call(uint16_t port, const Request& request,
           Seconds deadline = kDefaultTimeout,
           const std::string& ip = "127.0.0.1");
Reply Get(uint16_t port, const std::string& target);
Reply PostJson(uint16_t port, const std::string& target,
               const Json::Value& body);

// The same as one JSON document; null if there was no whole answer.
Json::Value GetJson(uint16_t port, const std::string& target);

// Sends one command to a fault proxy's control port; its answer without the
// end of line.
std::string SendProxyCommand(uint16_t port, const std::string& command);

}  // namespace mimosa::testing

#endif  // TESTS_CLIENT_H_
