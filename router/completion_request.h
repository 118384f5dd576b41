// The completion APIs offered to callers: parses requests and formats
// responses.
//
// Two forms: /v1/completions with "prompt" and /v1/chat/completions with
// "messages". A response is one document or, with "stream", a sequence of
// server-sent events that ends with [DONE].
#ifndef ROUTER_COMPLETION_REQUEST_H_
#define ROUTER_COMPLETION_REQUEST_H_

#include <optional>
#include <string>
#include <string_view>

#include "base/errors.h"
#include "base/ids.h"
#include "wire/catalogue.pb.h"

namespace mimosa {

// Bytes of text that are estimated as one prompt token, a common rule of thumb.
// The engine's own count settles the charge at the end.
inline constexpr int64_t kBytesPerPromptToken = 4;

enum class CompletionErrorKind {
  kNotJson,
  kNoPrompt,      // neither "prompt" nor "messages", or a wrong type
  kBadMaxTokens,  // not a number from 1 to the route's maximum
  kWrongModel,    // the request names another model than the route
  kBadStream,     // "stream" is neither true nor false
};
struct CompletionError {
  CompletionErrorKind kind;
  const char* message;
};

struct CompletionRequest {
  bool chat = false;
  bool stream = false;
  ModelId model;
  std::string prompt;
  Tokens prompt_tokens;
  Tokens max_output_tokens;
};

// Parses the body of a request to `route`. Fails with CompletionError.
leaf::result<CompletionRequest> ParseCompletionRequest(const wire::Route& route,
                                                       std::string_view target,
                                                       std::string_view body);

// Returns one server-sent event of a streamed response. `finish` is the finish
// reason; empty if the response continues.
std::string CompletionEvent(const CompletionRequest& request,
                            const RequestId& id, std::string_view text,
                            std::string_view finish);
inline constexpr std::string_view kCompletionStreamEnd = "data: [DONE]\n\n";

// Returns the document of a response that isn't streamed.
std::string CompletionDocument(const CompletionRequest& request,
                               const RequestId& id, std::string_view text,
                               std::string_view finish, Tokens output_tokens);

}  // namespace mimosa

#endif  // ROUTER_COMPLETION_REQUEST_H_
