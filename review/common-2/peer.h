// Helpers of the review's stand-ins: blocking sockets, HTTP/1.1 messages, the
// stand-in store's records and child processes. A thread serves one connection.
#ifndef REVIEW_COMMON_2_PEER_H_
#define REVIEW_COMMON_2_PEER_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;

inline int64_t Millis(Clock::duration d) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
}

inline void SleepMs(int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

inline std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

// Owns a file descriptor.
class Fd {
 public:
  Fd() = default;
  explicit Fd(int fd) : fd_(fd) {}
  Fd(Fd&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  Fd& operator=(Fd&& other) noexcept {
    Close();
    fd_ = std::exchange(other.fd_, -1);
    return *this;
  }
  ~Fd() { Close(); }

  int get() const { return fd_; }
  bool ok() const { return fd_ >= 0; }
  void Close() {
    if (fd_ >= 0) close(fd_);
    fd_ = -1;
  }

 private:
  int fd_ = -1;
};

inline sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

inline std::string AddressOf(int port) {
  return "127.0.0.1:" + std::to_string(port);
}

// Listens on a free port, which is stored in `*port`.
inline Fd Listen(int* port) {
  Fd fd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  sockaddr_in address = Loopback(0);
  socklen_t length = sizeof(address);
  if (bind(fd.get(), reinterpret_cast<sockaddr*>(&address), length) != 0 ||
      listen(fd.get(), 512) != 0 ||
      getsockname(fd.get(), reinterpret_cast<sockaddr*>(&address), &length) !=
          0)
    return Fd();
  *port = ntohs(address.sin_port);
  return fd;
}

// Returns a port that is free now and was not returned before. It lies below
// the ports that the system gives to outgoing connections, so that a process
// that starts again finds it free.
inline int FreePort() {
  constexpr int kFirstPort = 12000;
  constexpr int kPorts = 18000;
  static int next = static_cast<int>(getpid()) * 37 % kPorts;
  for (int tries = 0; tries < kPorts; ++tries) {
    const int port = kFirstPort + next;
    next = (next + 1) % kPorts;
    const Fd fd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const sockaddr_in address = Loopback(port);
    if (bind(fd.get(), reinterpret_cast<const sockaddr*>(&address),
             sizeof(address)) == 0)
      return port;
  }
  return 0;
}

inline Fd Connect(int port) {
  Fd fd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const sockaddr_in address = Loopback(port);
  if (connect(fd.get(), reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0)
    return Fd();
  const int on = 1;
  setsockopt(fd.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return fd;
}

inline bool SendAll(int fd, const std::string& data) {
  size_t sent = 0;
  while (sent < data.size()) {
    const ssize_t n =
        send(fd, data.data() + sent, data.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) return false;
    sent += static_cast<size_t>(n);
  }
  return true;
}

// A request or a response with its whole body.
struct Message {
  std::string first_line;
  std::map<std::string, std::string> fields;  // Names in lower case.
  std::string body;

  std::string Field(const std::string& name) const {
    const auto it = fields.find(name);
    return it == fields.end() ? "" : it->second;
  }
  // Of a response; 0 if its first line isn't one of a response.
  int Status() const {
    if (first_line.compare(0, 9, "HTTP/1.1 ") != 0) return 0;
    return std::atoi(first_line.c_str() + 9);
  }
};

enum class ReadResult { kMessage, kClosed, kTimeout };

// Reads the messages of one connection.
class Reader {
 public:
  explicit Reader(int fd) : fd_(fd) {}

  // Reads a message with a Content-Length field or without a body.
  ReadResult Read(int64_t timeout_ms, Message* message) {
    const auto until = Clock::now() + std::chrono::milliseconds(timeout_ms);
    size_t head_end = 0;
    while ((head_end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      const ReadResult result = Fill(until);
      if (result != ReadResult::kMessage) return result;
    }
    ParseHead(buffer_.substr(0, head_end), message);
    const auto length = static_cast<size_t>(
        std::atoll(message->Field("content-length").c_str()));
    while (buffer_.size() < head_end + 4 + length) {
      const ReadResult result = Fill(until);
      if (result != ReadResult::kMessage) return result;
    }
    message->body = buffer_.substr(head_end + 4, length);
    buffer_.erase(0, head_end + 4 + length);
    return ReadResult::kMessage;
  }

  // Bytes of a message that is incomplete.
  bool has_partial_message() const { return !buffer_.empty(); }

 private:
  ReadResult Fill(Clock::time_point until) {
    const int64_t left = Millis(until - Clock::now());
    pollfd readable{fd_, POLLIN, 0};
    if (left <= 0 || poll(&readable, 1, static_cast<int>(left)) == 0)
      return ReadResult::kTimeout;
    char bytes[16384];
    const ssize_t n = recv(fd_, bytes, sizeof(bytes), 0);
    if (n <= 0) return ReadResult::kClosed;
    buffer_.append(bytes, static_cast<size_t>(n));
    return ReadResult::kMessage;
  }

  static void ParseHead(const std::string& head, Message* message) {
    *message = Message();
    size_t begin = head.find("\r\n");
    message->first_line = head.substr(0, begin);
    while (begin != std::string::npos) {
      begin += 2;
      const size_t end = head.find("\r\n", begin);
      const std::string line = head.substr(begin, end - begin);
      const size_t colon = line.find(':');
      if (colon != std::string::npos) {
        size_t value = colon + 1;
        while (value < line.size() && line[value] == ' ') ++value;
        message->fields[Lower(line.substr(0, colon))] = line.substr(value);
      }
      begin = end;
    }
  }

  const int fd_;
  std::string buffer_;
};

// Sends one request on a connection of its own. Returns the status of the
// response, 0 if there is none.
inline int Call(int port, const std::string& method, const std::string& target,
                const std::string& body, Message* response = nullptr) {
  const Fd fd = Connect(port);
  if (!fd.ok()) return 0;
  if (!SendAll(fd.get(), method + " " + target +
                             " HTTP/1.1\r\nHost: review.example\r\n"
                             "Content-Length: " +
                             std::to_string(body.size()) + "\r\n\r\n" + body))
    return 0;
  Message message;
  Reader reader(fd.get());
  if (reader.Read(3000, &message) != ReadResult::kMessage) return 0;
  if (response != nullptr) *response = message;
  return message.Status();
}

// Writes a record of the stand-in store as the operator or a server does.
inline bool PutRecord(int store_port, const std::string& key,
                      const std::string& value) {
  return Call(store_port, "PUT", "/debug/record?key=" + key, value) / 100 == 2;
}

// Accepts connections on `listener` for good, and serves each in a thread of
// its own.
inline void Serve(int listener, const std::function<void(Fd)>& serve) {
  std::thread([listener, serve] {
    for (;;) {
      const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) return;
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      std::thread([serve, fd] { serve(Fd(fd)); }).detach();
    }
  }).detach();
}

// Adds a process to the list by which run.sh ends what is left of a trial.
inline void ListProcess(const std::string& work_dir, pid_t pid) {
  std::ofstream(work_dir + "/processes", std::ios::app) << pid << "\n";
}

// Starts a program with its output in `log`, and lists it in that file's
// folder. Returns its process id.
inline pid_t Start(const std::vector<std::string>& command,
                   const std::string& log) {
  std::vector<char*> arguments;
  arguments.reserve(command.size() + 1);
  for (const std::string& word : command)
    arguments.push_back(const_cast<char*>(word.c_str()));
  arguments.push_back(nullptr);
  const pid_t pid = fork();
  if (pid != 0) {
    ListProcess(log.substr(0, log.rfind('/')), pid);
    return pid;
  }
  const int fd =
      open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  dup2(fd, STDOUT_FILENO);
  dup2(fd, STDERR_FILENO);
  execv(arguments[0], arguments.data());
  _exit(127);
}

// Waits until `condition` holds, for at most `ms`. Returns whether it held.
inline bool WaitFor(int64_t ms, const std::function<bool()>& condition) {
  const auto until = Clock::now() + std::chrono::milliseconds(ms);
  while (Clock::now() < until) {
    if (condition()) return true;
    SleepMs(50);
  }
  return false;
}

// Ends a process that Start() started: by SIGTERM, and after `ms` by SIGKILL.
inline void Stop(pid_t pid, int64_t ms) {
  if (pid <= 0) return;
  kill(pid, SIGTERM);
  int status = 0;
  if (WaitFor(ms, [&] { return waitpid(pid, &status, WNOHANG) == pid; }))
    return;
  kill(pid, SIGKILL);
  waitpid(pid, &status, 0);
}

}  // namespace review

#endif  // REVIEW_COMMON_2_PEER_H_
