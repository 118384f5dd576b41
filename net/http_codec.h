// The HTTP/1.1 codec: Boost.Beast's parser and serializer behind readers that
// enforce what the interface in net/http.h promises. No input or output here,
// so that it can be tested and fuzzed alone.
#ifndef NET_HTTP_CODEC_H_
#define NET_HTTP_CODEC_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "net/http.h"

namespace mimosa::detail {

// Start line and fields of a message together; also the longest line of chunk
// framing and the longest trailer.
inline constexpr size_t kMaxHeadBytes = 32U << 10;

// Reads one request.
class RequestReader {
 public:
  enum class State { kHead, kBody, kComplete, kRefused };

  explicit RequestReader(size_t max_body_bytes);
  ~RequestReader();

  // Consumes a prefix of `data` and returns its length. The rest has to be
  // offered again: before more bytes of the same request came if the state is
  // kHead or kBody, to the next reader if it is kComplete.
  size_t Feed(std::string_view data);

  State state() const { return state_; }
  // True once a byte of the request has come.
  bool started() const { return started_; }

  // The answer owed if kRefused: 400, 413, 417, 431, 501 or 505.
  int refusal_status() const { return refusal_status_; }

  // Meaningful in kBody and kComplete.
  bool http11() const;
  bool keep_alive() const;
  bool expects_continue() const;

  // To be called once, in kComplete. Framing and connection-level fields are
  // gone, a chunked body is decoded.
  HttpRequest TakeRequest();

 private:
  class Parser;

  std::unique_ptr<Parser> parser_;
  State state_ = State::kHead;
  bool started_ = false;
  size_t head_bytes_ = 0;
  int refusal_status_ = 0;
};

// Reads one answer, passing over interim (1xx) ones.
class ResponseReader {
 public:
  enum class State { kHead, kBody, kComplete, kTooLarge, kMalformed };

  // `no_body` for answers to HEAD.
  ResponseReader(bool no_body, size_t max_body_bytes);
  ~ResponseReader();

  // Consumes a prefix of `data`, appends the decoded body to `*body`. Stops
  // behind the head if the state changes from kHead.
  size_t Feed(std::string_view data, std::string* body);

  State state() const { return state_; }

  // Meaningful from kBody on. Without connection-level fields; Content-Length
  // is left in.
  int status() const;
  const HttpHeaders& headers() const;
  // True if the connection may carry another request after kComplete.
  bool keep_alive() const;
  // How long the connection is kept idle, as the Keep-Alive field says; zero if
  // it doesn't.
  Duration keep_alive_timeout() const;
  // In kBody: neither length nor chunks delimit the body.
  bool is_close_delimited() const;

 private:
  class Parser;

  // Replaces the parser after an interim answer.
  void ResetParser();

  const bool no_body_;
  const size_t max_body_bytes_;
  std::unique_ptr<Parser> parser_;
  State state_ = State::kHead;
  size_t head_bytes_ = 0;  // over interim answers too
};

// How the body of an answer is delimited.
struct BodyFraming {
  enum class Kind { kNone, kLength, kChunked };
  Kind kind = Kind::kNone;
  int64_t length = 0;  // for kLength
};

// True if method and target can be written without becoming something else.
bool IsValidRequestLine(const HttpRequest& request);

// The head of a request with its Content-Length; the body follows as it is.
std::string SerializeRequestHead(const HttpRequest& request, const Endpoint& to,
                                 bool keep_alive);
std::string SerializeResponseHead(int status, const HttpHeaders& headers,
                                  const BodyFraming& framing, bool keep_alive);
// `data` (not empty) as one chunk.
std::string EncodeChunk(std::string_view data);
std::string EncodeLastChunk();

// True for answers that never have a body, whatever their fields say.
constexpr bool IsBodyless(int status) {
  return status / 100 == 1 || status == 204 || status == 304;
}

}  // namespace mimosa::detail

#endif  // NET_HTTP_CODEC_H_
