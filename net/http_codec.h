// The HTTP/1.1 codec: readers and serializers on Boost.Beast that enforce the
// guarantees of net/http.h. It does no I/O, so that it can be tested and fuzzed
// alone.
#ifndef NET_HTTP_CODEC_H_
#define NET_HTTP_CODEC_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "net/http.h"

namespace mimosa::detail {

// Limit of the start line and the fields of a message together; also of a line
// of chunk framing and of the trailer.
inline constexpr size_t kMaxHeadBytes = 32U << 10;

// Parses one request.
class RequestReader {
 public:
  enum class State { kHead, kBody, kComplete, kRefused };

  explicit RequestReader(size_t max_body_bytes);
  ~RequestReader();

  // Consumes a prefix of `data` and returns its length. The caller passes the
  // rest again: in front of the next bytes of the request if the state is kHead
  // or kBody, to the reader of the next request if it is kComplete.
  size_t Feed(std::string_view data);

  State state() const { return state_; }
  // True once a byte of the request has arrived.
  bool started() const { return started_; }

  // The status to respond with in kRefused: 400, 413, 417, 431, 501 or 505.
  int refusal_status() const { return refusal_status_; }

  // The following four are valid in kBody and kComplete.
  bool http11() const;
  bool keep_alive() const;
  bool expects_continue() const;
  // The length of the body, or what has arrived of it if no length is
  // announced.
  size_t body_bytes() const;

  // Moves the request out; may be called once, in kComplete. The request has no
  // framing and connection-level fields, and its body is decoded.
  HttpRequest TakeRequest();

 private:
  class Parser;

  std::unique_ptr<Parser> parser_;
  State state_ = State::kHead;
  bool started_ = false;
  size_t head_bytes_ = 0;
  int refusal_status_ = 0;
};

// Parses one response and skips interim (1xx) ones before it.
class ResponseReader {
 public:
  enum class State { kHead, kBody, kComplete, kTooLarge, kMalformed };

  // `no_body` is set for responses to HEAD.
  ResponseReader(bool no_body, size_t max_body_bytes);
  ~ResponseReader();

  // Consumes a prefix of `data`, returns its length and appends the decoded
  // body to `*body`. Stops after the head when the state leaves kHead.
  size_t Feed(std::string_view data, std::string* body);

  State state() const { return state_; }

  // Status and fields of the head; valid in kBody and kComplete. The fields
  // include Content-Length if present, but no connection-level fields.
  int status() const;
  const HttpHeaders& headers() const;
  // True if the connection may carry another request after kComplete.
  bool keep_alive() const;
  // The idle timeout that the server announces in the Keep-Alive field; zero if
  // it announces none.
  Duration keep_alive_timeout() const;
  // True if the end of the connection delimits the body, instead of a length or
  // chunks. Valid in kBody.
  bool is_close_delimited() const;

 private:
  class Parser;

  // Replaces the parser, at first and after each interim response.
  void ResetParser();

  const bool no_body_;
  const size_t max_body_bytes_;
  std::unique_ptr<Parser> parser_;
  State state_ = State::kHead;
  size_t head_bytes_ = 0;  // including those of interim responses
};

// How the body of a response is delimited.
struct BodyFraming {
  enum class Kind { kNone, kLength, kChunked };
  Kind kind = Kind::kNone;
  int64_t length = 0;  // for kLength
};

// True if the method is a token and the target has no control characters or
// spaces, so that the serialized request line is read back unchanged.
bool IsValidRequestLine(const HttpRequest& request);

// Serializes the head of a request, with a Content-Length field for its body
// and with `to` as Host if the request has none. The body follows unchanged.
std::string SerializeRequestHead(const HttpRequest& request, const Endpoint& to,
                                 bool keep_alive);
std::string SerializeResponseHead(int status, const HttpHeaders& headers,
                                  const BodyFraming& framing, bool keep_alive);
// Encodes `data`, which must not be empty, as one chunk.
std::string EncodeChunk(std::string_view data);
std::string EncodeLastChunk();

// True for statuses whose responses have no body, whatever their fields say.
constexpr bool IsBodyless(int status) {
  return status / 100 == 1 || status == 204 || status == 304;
}

}  // namespace mimosa::detail

#endif  // NET_HTTP_CODEC_H_
