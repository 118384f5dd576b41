// Implements the readers and serializers on Boost.Beast.
#include "net/http_codec.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/serializer.hpp>
#include <charconv>
#include <optional>
#include <utility>

namespace mimosa::detail {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::const_buffer;
using ErrorCode = beast::error_code;

// Bounds the work of comparing the fields of a message with each other.
constexpr size_t kMaxFields = 256;

constexpr int kHttp11 = 11;

// Fields that apply to one connection only and are not forwarded (RFC 9110,
// section 7.6.1).
constexpr std::array<std::string_view, 7> kConnectionFields = {
    "Connection", "Keep-Alive",        "Proxy-Connection", "TE",
    "Trailer",    "Transfer-Encoding", "Upgrade"};

bool EqualsIgnoreCase(beast::string_view a, std::string_view b) {
  return beast::iequals(a, {b.data(), b.size()});
}

std::string ToString(beast::string_view text) {
  return {text.data(), text.size()};
}

bool IsConnectionField(std::string_view name) {
  return std::any_of(
      kConnectionFields.begin(), kConnectionFields.end(),
      [name](std::string_view field) { return EqualsIgnoreCase(field, name); });
}

// Removes connection-level fields and the fields that Connection lists.
void StripConnectionFields(HttpHeaders* headers) {
  std::vector<std::string> named;
  for (const auto& [name, value] : headers->fields()) {
    if (!EqualsIgnoreCase(name, "Connection")) continue;
    for (const auto& token : http::token_list(value)) {
      if (!EqualsIgnoreCase(token, "Host")) named.push_back(ToString(token));
    }
  }
  for (const std::string_view field : kConnectionFields) {
    headers->Remove(field);
  }
  for (const std::string& field : named) headers->Remove(field);
}

bool IsControlCharacter(char c) {
  return static_cast<unsigned char>(c) < 0x20 || c == 0x7f;
}

bool IsToken(std::string_view text) {
  constexpr std::string_view kTokenSymbols = "!#$%&'*+-.^_`|~";
  return !text.empty() && std::all_of(text.begin(), text.end(), [&](char c) {
    return (c >= '0' && c <= '9') || (c >= 'A' && c <= 'Z') ||
           (c >= 'a' && c <= 'z') ||
           kTokenSymbols.find(c) != std::string_view::npos;
  });
}

// Returns whether a field can be serialized and read back unchanged.
bool IsSerializable(const HttpHeaders::Field& field) {
  const std::string& value = field.second;
  return IsToken(field.first) &&
         field.first.size() + value.size() < kMaxHeadBytes &&
         std::none_of(value.begin(), value.end(), [](char c) {
           return IsControlCharacter(c) && c != '\t';
         });
}

// Copies valid fields, except for those of connection and framing, which the
// codec sets.
void CopyForwardableFields(const HttpHeaders& headers, http::fields* out) {
  for (const auto& field : headers.fields()) {
    if (IsConnectionField(field.first) ||
        EqualsIgnoreCase(field.first, "Content-Length") ||
        !IsSerializable(field)) {
      continue;
    }
    out->insert(field.first, field.second);
  }
}

template <bool kIsRequest>
std::string Serialize(http::message<kIsRequest, http::empty_body>* message) {
  std::string text;
  http::serializer<kIsRequest, http::empty_body> serializer(*message);
  serializer.split(true);
  ErrorCode error;
  while (!serializer.is_header_done() && !error) {
    serializer.next(error, [&](ErrorCode& /*error*/, const auto& buffers) {
      for (const const_buffer buffer : beast::buffers_range_ref(buffers)) {
        text.append(static_cast<const char*>(buffer.data()), buffer.size());
      }
      serializer.consume(beast::buffer_bytes(buffers));
    });
  }
  return text;
}

// The common part of both parsers: collects the fields and rejects framing that
// another parser might interpret differently.
template <bool kIsRequest>
class MessageParser : public http::basic_parser<kIsRequest> {
 public:
  HttpHeaders headers;
  int version = 0;
  std::string* body = nullptr;  // receives the decoded body
  std::string keep_alive_field;

 protected:
  void on_field_impl(http::field name, beast::string_view name_string,
                     beast::string_view value, ErrorCode& error) override {
    if (this->is_header_done()) return;  // trailer fields are ignored
    if (++field_count_ > kMaxFields) {
      error = http::error::header_limit;
    } else if (name == http::field::content_length) {
      const bool repeated = ++content_length_count_ > 1;
      if (repeated || value.find(',') != beast::string_view::npos) {
        error = http::error::bad_content_length;
      }
    } else if (name == http::field::transfer_encoding) {
      if (!EqualsIgnoreCase(value, "chunked") || version < kHttp11) {
        error = http::error::bad_transfer_encoding;
      }
    }
    if (name == http::field::keep_alive) keep_alive_field = ToString(value);
    if (!error) headers.Add(ToString(name_string), ToString(value));
  }

  void on_header_impl(ErrorCode& /*error*/) override {
    StripConnectionFields(&headers);
  }

  void on_body_init_impl(const boost::optional<uint64_t>& length,
                         ErrorCode& /*error*/) override {
    // Growing step by step would need several times the memory. The limit of
    // the body has been checked.
    if (kIsRequest && length) body->reserve(static_cast<size_t>(*length));
  }

  size_t on_body_impl(beast::string_view data, ErrorCode& /*error*/) override {
    body->append(data.data(), data.size());
    return data.size();
  }

  void on_chunk_header_impl(uint64_t /*size*/,
                            beast::string_view /*extensions*/,
                            ErrorCode& /*error*/) override {}

  size_t on_chunk_body_impl(uint64_t /*remain*/, beast::string_view data,
                            ErrorCode& /*error*/) override {
    body->append(data.data(), data.size());
    return data.size();
  }

  void on_finish_impl(ErrorCode& /*error*/) override {}

 private:
  size_t field_count_ = 0;
  size_t content_length_count_ = 0;
};

bool IsInterim(HttpStatus status) { return status.code() / 100 == 1; }

int RefusalStatus(const ErrorCode& error) {
  if (error == http::error::body_limit) return 413;
  if (error == http::error::header_limit) return 431;
  if (error == http::error::bad_version) return 505;
  return 400;
}

}  // namespace

class RequestReader::Parser : public MessageParser<true> {
 public:
  explicit Parser(size_t max_body_bytes) {
    body_limit(max_body_bytes);
    header_limit(kMaxHeadBytes);
    eager(true);
    body = &request.body;
  }

  HttpRequest request;
  bool expects_continue = false;
  int refusal_status = 0;  // if not 0, replaces the status of the error code

 protected:
  void on_request_impl(http::verb method, beast::string_view method_string,
                       beast::string_view target, int http_version,
                       ErrorCode& error) override {
    version = http_version;
    request.method = ToString(method_string);
    request.target = ToString(target);
    if (method == http::verb::connect) Refuse(501, &error);
  }

  void on_response_impl(int /*code*/, beast::string_view /*reason*/,
                        int /*version*/, ErrorCode& /*error*/) override {}

  void on_header_impl(ErrorCode& error) override {
    const size_t hosts = headers.Count("Host");
    if (hosts > 1 || (hosts == 0 && version >= kHttp11)) Refuse(400, &error);
    if (const std::string* expected = headers.Find("Expect")) {
      expects_continue =
          version >= kHttp11 && EqualsIgnoreCase(*expected, "100-continue");
      if (!expects_continue) Refuse(417, &error);
    }
    headers.Remove("Expect");
    headers.Remove("Content-Length");
    MessageParser::on_header_impl(error);
  }

 private:
  void Refuse(int status, ErrorCode* error) {
    refusal_status = status;
    *error = http::error::bad_field;
  }
};

RequestReader::RequestReader(size_t max_body_bytes)
    : parser_(std::make_unique<Parser>(max_body_bytes)) {}

RequestReader::~RequestReader() = default;

size_t RequestReader::Feed(std::string_view data) {
  size_t used = 0;
  if (!started_) {
    // Empty lines before a request are skipped (RFC 9112, section 2.2).
    while (data.substr(used, 2) == "\r\n") used += 2;
    if (data.substr(used) == "\r") return used;
  }
  if (used == data.size()) return used;
  started_ = true;
  ErrorCode error;
  const size_t parsed =
      parser_->put(const_buffer(data.data() + used, data.size() - used), error);
  used += parsed;
  if (!parser_->is_header_done()) head_bytes_ += parsed;
  const size_t rest = data.size() - used;
  if (error && error != http::error::need_more) {
    refusal_status_ = parser_->refusal_status != 0 ? parser_->refusal_status
                                                   : RefusalStatus(error);
  } else if (parser_->is_done()) {
    state_ = State::kComplete;
    return used;
  } else if (head_bytes_ + rest > kMaxHeadBytes) {
    refusal_status_ = parser_->is_header_done() ? 400 : 431;
  } else {
    state_ = parser_->is_header_done() ? State::kBody : State::kHead;
  }
  if (refusal_status_ != 0) state_ = State::kRefused;
  return used;
}

bool RequestReader::http11() const { return parser_->version >= kHttp11; }

bool RequestReader::keep_alive() const { return parser_->keep_alive(); }

bool RequestReader::expects_continue() const {
  return parser_->expects_continue;
}

size_t RequestReader::body_bytes() const {
  const auto length = parser_->content_length();
  return std::max(parser_->request.body.size(),
                  length ? static_cast<size_t>(*length) : 0);
}

HttpRequest RequestReader::TakeRequest() {
  parser_->request.headers = std::move(parser_->headers);
  return std::move(parser_->request);
}

class ResponseReader::Parser : public MessageParser<false> {
 public:
  Parser(bool no_body, size_t max_body_bytes) {
    body_limit(max_body_bytes);
    header_limit(kMaxHeadBytes);
    skip(no_body);
  }

  std::optional<HttpStatus> status;  // Set once its line was accepted.

 protected:
  void on_request_impl(http::verb /*method*/,
                       beast::string_view /*method_string*/,
                       beast::string_view /*target*/, int /*version*/,
                       ErrorCode& /*error*/) override {}

  void on_response_impl(int code, beast::string_view /*reason*/,
                        int http_version, ErrorCode& error) override {
    version = http_version;
    status = HttpStatus::FromCode(code);
    // 101 is invalid because requests never ask for an upgrade.
    if (!status || code == 101) error = http::error::bad_status;
  }
};

ResponseReader::ResponseReader(bool no_body, size_t max_body_bytes)
    : no_body_(no_body), max_body_bytes_(max_body_bytes) {
  ResetParser();
}

ResponseReader::~ResponseReader() = default;

void ResponseReader::ResetParser() {
  parser_ = std::make_unique<Parser>(no_body_, max_body_bytes_);
}

size_t ResponseReader::Feed(std::string_view data, std::string* body) {
  size_t used = 0;
  for (;;) {
    const bool in_head = !parser_->is_header_done();
    ErrorCode error;
    parser_->body = body;
    parser_->eager(!in_head);
    const size_t parsed = parser_->put(
        const_buffer(data.data() + used, data.size() - used), error);
    used += parsed;
    if (in_head) head_bytes_ += parsed;
    const size_t rest = data.size() - used;
    if (error && error != http::error::need_more) {
      const bool too_large = error == http::error::body_limit ||
                             error == http::error::header_limit;
      state_ = too_large ? State::kTooLarge : State::kMalformed;
      return used;
    }
    const bool head_done = parser_->is_header_done();
    if (head_done && IsInterim(*parser_->status)) {
      ResetParser();
      if (rest > 0 && head_bytes_ <= kMaxHeadBytes) continue;
      if (rest > 0) state_ = State::kTooLarge;
      return used;
    }
    if (parser_->is_done()) {
      state_ = State::kComplete;
    } else if ((head_done ? 0 : head_bytes_) +
                   (in_head && head_done ? 0 : rest) >
               kMaxHeadBytes) {
      state_ = head_done ? State::kMalformed : State::kTooLarge;
    } else {
      state_ = head_done ? State::kBody : State::kHead;
    }
    return used;
  }
}

int ResponseReader::status() const { return parser_->status->code(); }

const HttpHeaders& ResponseReader::headers() const { return parser_->headers; }

bool ResponseReader::keep_alive() const { return parser_->keep_alive(); }

Duration ResponseReader::keep_alive_timeout() const {
  constexpr std::string_view kParameter = "timeout=";
  const std::string& field = parser_->keep_alive_field;
  const size_t at = field.find(kParameter);
  if (at == std::string::npos) return Duration::zero();
  int64_t seconds = 0;
  const char* begin = field.data() + at + kParameter.size();
  std::from_chars(begin, field.data() + field.size(), seconds);
  constexpr int64_t kMaxSeconds = 3600;
  return std::chrono::seconds(std::clamp<int64_t>(seconds, 0, kMaxSeconds));
}

bool ResponseReader::is_close_delimited() const { return parser_->need_eof(); }

bool IsValidRequestLine(const HttpRequest& request) {
  const std::string& target = request.target;
  return IsToken(request.method) && !target.empty() &&
         target.size() < kMaxHeadBytes &&
         std::none_of(target.begin(), target.end(),
                      [](char c) { return IsControlCharacter(c) || c == ' '; });
}

std::string SerializeRequestHead(const HttpRequest& request, const Endpoint& to,
                                 bool keep_alive) {
  http::request<http::empty_body> message;
  message.version(kHttp11);
  message.method_string(request.method);
  message.target(request.target);
  CopyForwardableFields(request.headers, &message);
  if (message.count(http::field::host) == 0) {
    message.set(http::field::host, to.ToString());
  }
  if (!keep_alive) message.set(http::field::connection, "close");
  const bool expects_body = request.method == "POST" ||
                            request.method == "PUT" ||
                            request.method == "PATCH";
  if (expects_body || !request.body.empty()) {
    message.content_length(request.body.size());
  }
  return Serialize(&message);
}

std::string SerializeResponseHead(int status, const HttpHeaders& headers,
                                  const BodyFraming& framing, bool keep_alive) {
  http::response<http::empty_body> message;
  message.version(kHttp11);
  message.result(static_cast<unsigned>(status));
  CopyForwardableFields(headers, &message);
  if (!keep_alive) message.set(http::field::connection, "close");
  if (framing.kind == BodyFraming::Kind::kLength) {
    message.content_length(static_cast<uint64_t>(framing.length));
  } else if (framing.kind == BodyFraming::Kind::kChunked) {
    message.chunked(true);
  }
  return Serialize(&message);
}

std::string EncodeChunk(std::string_view data) {
  return beast::buffers_to_string(
      http::make_chunk(const_buffer(data.data(), data.size())));
}

std::string EncodeLastChunk() {
  return beast::buffers_to_string(http::make_chunk_last());
}

}  // namespace mimosa::detail
