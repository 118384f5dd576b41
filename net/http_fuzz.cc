// Fuzzes the HTTP codec. The input is parsed as requests and as responses, both
// at once and byte by byte, and the results must agree. Each accepted request
// is serialized again and must be parsed as the same message.
//
// Build it with clang and MIMOSA_FUZZ=ON. Run: http_fuzz net/corpus
#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "net/http_codec.h"

namespace mimosa::detail {
namespace {

constexpr size_t kMaxBodyBytes = 4096;

void Require(bool condition, const char* what) {
  if (condition) return;
  std::fprintf(stderr, "http_fuzz: %s\n", what);
  std::abort();
}

bool AreEqual(const HttpRequest& a, const HttpRequest& b) {
  return a.method == b.method && a.target == b.target && a.body == b.body &&
         a.headers.fields() == b.headers.fields();
}

// The result of parsing a stream of requests.
struct ParsedRequests {
  std::vector<HttpRequest> complete;
  int refusal_status = 0;  // of the request that ended parsing; 0 if none did
};

// Returns whether `split`, the result of parsing an input in small parts, is
// consistent with `at_once`, the result of parsing it at once. The requests
// must be the same. An input that is accepted at once must not be refused in
// parts. The reverse is allowed, because in parts the refusal may come only at
// the end of the head.
bool AreConsistent(const ParsedRequests& at_once, const ParsedRequests& split) {
  bool same = at_once.complete.size() == split.complete.size() &&
              (split.refusal_status == 0 || at_once.refusal_status != 0);
  for (size_t i = 0; same && i < at_once.complete.size(); ++i) {
    same = AreEqual(at_once.complete[i], split.complete[i]);
  }
  return same;
}

// Parses `data` as a connection does that receives `step` bytes at a time.
ParsedRequests ReadRequests(std::string_view data, size_t step) {
  ParsedRequests result;
  auto reader = std::make_unique<RequestReader>(kMaxBodyBytes);
  std::string input;
  while (!data.empty() || !input.empty()) {
    const size_t before = input.size();
    input.append(data.substr(0, step));
    data.remove_prefix(std::min(step, data.size()));
    input.erase(0, reader->Feed(input));
    if (reader->state() == RequestReader::State::kRefused) {
      result.refusal_status = reader->refusal_status();
      break;
    }
    if (reader->state() == RequestReader::State::kComplete) {
      result.complete.push_back(reader->TakeRequest());
      Require(result.complete.back().body.size() <= kMaxBodyBytes,
              "request body larger than the limit");
      reader = std::make_unique<RequestReader>(kMaxBodyBytes);
    } else if (data.empty() && input.size() >= before) {
      break;  // incomplete
    }
  }
  return result;
}

// The result of parsing one response.
struct ParsedResponse {
  ResponseReader::State state = ResponseReader::State::kHead;
  int status = 0;
  std::string body;
  bool operator==(const ParsedResponse& other) const {
    return state == other.state && status == other.status && body == other.body;
  }
};

ParsedResponse ReadResponse(std::string_view data, size_t step, bool no_body) {
  using State = ResponseReader::State;
  ParsedResponse result;
  ResponseReader reader(no_body, kMaxBodyBytes);
  std::string input;
  while (!data.empty() &&
         (reader.state() == State::kHead || reader.state() == State::kBody)) {
    input.append(data.substr(0, step));
    data.remove_prefix(std::min(step, data.size()));
    input.erase(0, reader.Feed(input, &result.body));
    if (reader.state() == State::kBody && !input.empty()) {
      input.erase(0, reader.Feed(input, &result.body));
    }
  }
  result.state = reader.state();
  if (reader.state() == State::kBody || reader.state() == State::kComplete) {
    result.status = reader.status();
    Require(HttpStatus::FromCode(result.status).has_value(),
            "status that HTTP doesn't define");
  }
  Require(result.body.size() <= kMaxBodyBytes,
          "response body larger than the limit");
  return result;
}

// An accepted request is forwarded to a back end, which must receive the same
// request.
void CheckForwarding(const HttpRequest& request) {
  const std::string text =
      SerializeRequestHead(request, {"127.0.0.1", 1}, true) + request.body;
  const ParsedRequests reparsed = ReadRequests(text, text.size());
  Require(IsValidRequestLine(request), "accepted request line is invalid");
  Require(reparsed.refusal_status == 0 || text.size() > kMaxHeadBytes,
          "forwarded request is refused");
  if (reparsed.refusal_status != 0) return;
  Require(reparsed.complete.size() == 1,
          "forwarded request is not parsed as one request");
  const HttpRequest& forwarded = reparsed.complete.front();
  Require(forwarded.method == request.method &&
              forwarded.target == request.target &&
              forwarded.body == request.body,
          "forwarded request differs from the original");
}

void CheckInput(std::string_view data) {
  const ParsedRequests requests = ReadRequests(data, data.size());
  Require(AreConsistent(requests, ReadRequests(data, 1)),
          "parsed requests depend on how the input is split");
  for (const HttpRequest& request : requests.complete) CheckForwarding(request);
  for (const bool no_body : {false, true}) {
    const ParsedResponse at_once = ReadResponse(data, data.size(), no_body);
    const ParsedResponse split = ReadResponse(data, 1, no_body);
    using State = ResponseReader::State;
    const bool complete = at_once.state == State::kComplete;
    Require(complete == (split.state == State::kComplete),
            "completeness of the response depends on how the input is split");
    if (complete)
      Require(at_once == split,
              "parsed response depends on how the input is split");
  }
}

}  // namespace
}  // namespace mimosa::detail

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  if (size > 0) {
    mimosa::detail::CheckInput({reinterpret_cast<const char*>(data), size});
  }
  return 0;
}
