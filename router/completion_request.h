// The completion APIs that callers speak: reading a request, writing answers.
//
// Two forms, as usual: /v1/completions with "prompt", /v1/chat/completions with
// "messages". Answers come whole or, with "stream", as server-sent events that
// end with [DONE].
#ifndef ROUTER_COMPLETION_REQUEST_H_
#define ROUTER_COMPLETION_REQUEST_H_

#include <optional>
#include <string>
#include <string_view>

#include "base/errors.h"
#include "base/ids.h"
#include "wire/catalogue.pb.h"

namespace mimosa {

// Bytes of text that count as one prompt token: the usual rule of thumb. The
// engine's own count settles the charge at the end.
inline constexpr int64_t kBytesPerPromptToken = 4;

enum class CompletionFaultKind {
  kNotJson,
  kNoPrompt,      // neither "prompt" nor "messages", or of a wrong type
  kBadMaxTokens,  // not a number from 1 to the route's maximum
  kWrongModel,    // the route serves another model
  kBadStream,     // "stream" isn't true or false
};
struct CompletionError {
  CompletionFaultKind kind;
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

// Fails with CompletionFault.
leaf::result<CompletionRequest> ParseCompletionRequest(const wire::Route& route,
                                                       std::string_view target,
                                                       std::string_view body);

// One event of a streamed answer.
std::string CompletionEvent(const CompletionRequest& request,
                            const RequestId& id, std::string_view text,
                            std::string_view finish);
inline constexpr std::string_view kCompletionStreamEnd = "data: [DONE]\n\n";

// A whole answer.
std::string CompletionDocument(const CompletionRequest& request,
                               const RequestId& id, std::string_view text,
                               std::string_view finish, Tokens output_tokens);

}  // namespace mimosa

#endif  // ROUTER_COMPLETION_REQUEST_H_
