// Fuzzes the codec: the bytes are read as requests and as answers, whole and in
// pieces, and both ways of reading must agree. Whatever was accepted is written
// out again and must be read back as the same message.
//
// Build with MIMOSA_FUZZ=ON and clang, run as: http_fuzz net/corpus
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

constexpr size_t kMaxBody = 4096;

void Require(bool condition, const char* what) {
  if (condition) return;
  std::fprintf(stderr, "http_fuzz: %s\n", what);
  std::abort();
}

bool Same(const HttpRequest& a, const HttpRequest& b) {
  return a.method == b.method && a.target == b.target && a.body == b.body &&
         a.headers.fields() == b.headers.fields();
}

// What came of a stream of requests.
struct Requests {
  std::vector<HttpRequest> whole;
  int refusal = 0;
};

// True if `pieces` is what reading `all` piece by piece may give: the same
// requests. A refusal may come later, once a head has ended, but not for
// something that is accepted in one piece.
bool Agree(const Requests& all, const Requests& pieces) {
  bool same = all.whole.size() == pieces.whole.size() &&
              (pieces.refusal == 0 || all.refusal != 0);
  for (size_t i = 0; same && i < all.whole.size(); ++i) {
    same = Same(all.whole[i], pieces.whole[i]);
  }
  return same;
}

// Offers `data` in steps of `step` bytes, the way a connection does.
Requests ReadRequests(std::string_view data, size_t step) {
  Requests result;
  auto reader = std::make_unique<RequestReader>(kMaxBody);
  std::string input;
  while (!data.empty() || !input.empty()) {
    const size_t before = input.size();
    input.append(data.substr(0, step));
    data.remove_prefix(std::min(step, data.size()));
    input.erase(0, reader->Feed(input));
    if (reader->state() == RequestReader::State::kRefused) {
      result.refusal = reader->refusal_status();
      break;
    }
    if (reader->state() == RequestReader::State::kComplete) {
      result.whole.push_back(reader->TakeRequest());
      Require(result.whole.back().body.size() <= kMaxBody, "body too large");
      reader = std::make_unique<RequestReader>(kMaxBody);
    } else if (data.empty() && input.size() >= before) {
      break;  // needs more
    }
  }
  return result;
}

struct Answer {
  ResponseReader::State state = ResponseReader::State::kHead;
  int status = 0;
  std::string body;
  bool operator==(const Answer& other) const {
    return state == other.state && status == other.status && body == other.body;
  }
};

Answer ReadAnswer(std::string_view data, size_t step, bool no_body) {
  using State = ResponseReader::State;
  Answer result;
  ResponseReader reader(no_body, kMaxBody);
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
  }
  Require(result.body.size() <= kMaxBody, "answer too large");
  return result;
}

// A request that was accepted goes on to a back end: it must arrive as itself.
void CheckForwarding(const HttpRequest& request) {
  const std::string text =
      SerializeRequestHead(request, {"127.0.0.1", 1}, true) + request.body;
  const Requests again = ReadRequests(text, text.size());
  Require(IsValidRequestLine(request), "request line not writable");
  Require(again.refusal == 0 || text.size() > kMaxHeadBytes, "not readable");
  if (again.refusal != 0) return;
  Require(again.whole.size() == 1, "became several requests");
  const HttpRequest& other = again.whole.front();
  Require(other.method == request.method && other.target == request.target &&
              other.body == request.body,
          "changed on the way");
}

void CheckInput(std::string_view data) {
  const Requests requests = ReadRequests(data, data.size());
  Require(Agree(requests, ReadRequests(data, 1)), "requests depend on pieces");
  for (const HttpRequest& request : requests.whole) CheckForwarding(request);
  for (const bool no_body : {false, true}) {
    const Answer answer = ReadAnswer(data, data.size(), no_body);
    const Answer pieces = ReadAnswer(data, 1, no_body);
    using State = ResponseReader::State;
    const bool whole = answer.state == State::kComplete;
    Require(whole == (pieces.state == State::kComplete),
            "wholeness depends on pieces");
    if (whole) Require(answer == pieces, "answer depends on pieces");
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
