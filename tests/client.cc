// Blocking calls based on Beast's asynchronous ones, because only those can
// time out.
#include "tests/client.h"

#include <netinet/in.h>
#include <sys/socket.h>

#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <iterator>
#include <optional>
#include <utility>

#include "base/json.h"

namespace mimosa::testing {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using boost::system::error_code;

constexpr uint64_t kMaxBodyBytes = 64U << 20;

Tcp::endpoint MakeEndpoint(uint16_t port, const std::string& ip) {
  return {asio::ip::make_address(ip), port};
}

}  // namespace

std::string Reply::Header(const std::string& name) const {
  for (const auto& [key, value] : headers)
    if (beast::iequals(key, name)) return value;
  return "";
}

Json::Value Reply::JsonBody() const {
  const auto document = ParseJson(body);
  return document ? *document : Json::Value();
}

struct Connection::Impl {
  using Parser = http::response_parser<http::string_body>;

  asio::io_context io;
  beast::tcp_stream stream{io};
  beast::flat_buffer buffer;
  std::optional<Parser> parser;  // of the reply being read
  bool is_head_request = false;  // whether the last request was a HEAD

  // Runs one asynchronous operation to completion.
  template <typename Start>
  error_code Await(Seconds timeout, Start start) {
    stream.expires_after(
        std::chrono::duration_cast<std::chrono::milliseconds>(timeout));
    error_code result;
    start([&result](error_code ec, auto&&...) { result = ec; });
    io.restart();
    io.run();
    return result;
  }

  Reply BuildReply(bool complete) {
    Reply reply;
    if (!parser) return reply;
    reply.complete = complete;
    if (parser->is_header_done()) {
      reply.status = parser->get().result_int();
      for (const auto& field : parser->get())
        reply.headers.emplace_back(field.name_string(), field.value());
      reply.body = parser->get().body();
    }
    if (complete) parser.reset();
    return reply;
  }

  error_code ReadPart(Seconds timeout) {
    if (!parser) {
      parser.emplace();
      parser->body_limit(kMaxBodyBytes);
      parser->skip(is_head_request);
    }
    return Await(timeout, [this](auto handler) {
      http::async_read_some(stream, buffer, *parser, handler);
    });
  }
};

Connection::Connection(uint16_t port, const std::string& ip)
    : impl_(std::make_unique<Impl>()) {
  const Tcp::endpoint endpoint = MakeEndpoint(port, ip);
  // A process that is started meanwhile must not keep the connection open.
  impl_->stream.socket().assign(
      endpoint.protocol(), ::socket(endpoint.protocol().family(),
                                    SOCK_STREAM | SOCK_CLOEXEC, IPPROTO_TCP));
  impl_->Await(kDefaultTimeout, [&](auto handler) {
    impl_->stream.async_connect(endpoint, handler);
  });
}

Connection::~Connection() = default;

bool Connection::Send(const Request& request) {
  http::request<http::string_body> message;
  message.method_string(request.method);
  message.target(request.target);
  message.set(http::field::host, "test");
  for (const auto& [name, value] : request.headers) message.insert(name, value);
  message.body() = request.body;
  if (!request.body.empty() || request.method == "POST")
    message.content_length(request.body.size());
  impl_->is_head_request = request.method == "HEAD";
  return !impl_->Await(kDefaultTimeout, [this, &message](auto handler) {
    http::async_write(impl_->stream, message, handler);
  });
}

bool Connection::SendRaw(const std::string& bytes) {
  return !impl_->Await(kDefaultTimeout, [this, &bytes](auto handler) {
    asio::async_write(impl_->stream, asio::buffer(bytes), handler);
  });
}

Reply Connection::ReadReply(Seconds timeout) {
  return ReadAtLeast(SIZE_MAX, timeout);
}

Reply Connection::ReadAtLeast(size_t bytes, Seconds timeout) {
  error_code ec;
  do {
    ec = impl_->ReadPart(timeout);
  } while (!ec && !impl_->parser->is_done() &&
           impl_->parser->get().body().size() < bytes);
  // The end of the connection doesn't prove that a reply is complete.
  return impl_->BuildReply(!ec && impl_->parser->is_done() &&
                           !impl_->parser->need_eof());
}

void Connection::Close() { impl_->stream.close(); }

Reply Call(uint16_t port, const Request& request, Seconds timeout,
           const std::string& ip) {
  Connection connection(port, ip);
  if (!connection.Send(request)) return {};
  return connection.ReadReply(timeout);
}

Reply Get(uint16_t port, const std::string& target) {
  Request request;
  request.target = target;
  return Call(port, request);
}

Reply PostJson(uint16_t port, const std::string& target,
               const Json::Value& body) {
  Request request;
  request.method = "POST";
  request.target = target;
  request.headers = {{"Content-Type", "application/json"}};
  request.body = WriteJson(body);
  return Call(port, request);
}

Json::Value GetJson(uint16_t port, const std::string& target) {
  const Reply reply = Get(port, target);
  return reply.complete ? reply.JsonBody() : Json::Value();
}

std::string SendProxyCommand(uint16_t port, const std::string& command) {
  asio::io_context io;
  Tcp::socket socket(io);
  error_code ec;
  socket.connect(MakeEndpoint(port, "127.0.0.1"), ec);
  if (ec) return "";
  asio::write(socket, asio::buffer(command + "\n"), ec);
  socket.shutdown(Tcp::socket::shutdown_send, ec);
  std::string out;
  asio::read(socket, asio::dynamic_buffer(out), ec);
  if (command != "received" && !out.empty()) out.pop_back();
  return out;
}

}  // namespace mimosa::testing
