// Parses and formats the JSON of the completion APIs.
#include "router/completion_request.h"

#include <utility>

#include "base/json.h"

namespace mimosa {
namespace {

leaf::error_id NewError(CompletionErrorKind kind, const char* message) {
  return leaf::new_error(CompletionError{kind, message});
}

// Returns the text of a chat: one line per message, with role and content.
// Returns nothing if a message is malformed or there is none.
std::optional<std::string> JoinMessages(const Json::Value& messages) {
  if (!messages.isArray() || messages.empty()) return std::nullopt;
  std::string text;
  for (const Json::Value& message : messages) {
    if (!message.isObject() || !message["role"].isString() ||
        !message["content"].isString())
      return std::nullopt;
    text += message["role"].asString() + ": " + message["content"].asString();
    text += '\n';
  }
  return text;
}

leaf::result<Tokens> ReadMaxTokens(const wire::Route& route,
                                   const Json::Value& document) {
  const Json::Value& value = document["max_tokens"];
  if (value.isNull()) return Tokens(route.max_output_tokens());
  if (!value.isInt64() || value.asInt64() < 1 ||
      value.asInt64() > route.max_output_tokens())
    return NewError(CompletionErrorKind::kBadMaxTokens,
                    "max_tokens is not a number that the route allows");
  return Tokens(value.asInt64());
}

Json::Value Choice(const CompletionRequest& request, std::string_view text,
                   std::string_view finish, bool delta) {
  Json::Value choice(Json::objectValue);
  choice["index"] = 0;
  if (request.chat) {
    Json::Value message(Json::objectValue);
    message["role"] = "assistant";
    message["content"] = std::string(text);
    choice[delta ? "delta" : "message"] = std::move(message);
  } else {
    choice["text"] = std::string(text);
  }
  choice["finish_reason"] =
      finish.empty() ? Json::Value() : Json::Value(std::string(finish));
  return choice;
}

Json::Value Envelope(const CompletionRequest& request, const RequestId& id,
                     Json::Value choice, bool delta) {
  Json::Value document(Json::objectValue);
  document["id"] = id.value();
  if (request.chat) {
    document["object"] = delta ? "chat.completion.chunk" : "chat.completion";
  } else {
    document["object"] = "text_completion";
  }
  document["model"] = request.model.value();
  document["choices"].append(std::move(choice));
  return document;
}

}  // namespace

leaf::result<CompletionRequest> ParseCompletionRequest(const wire::Route& route,
                                                       std::string_view target,
                                                       std::string_view body) {
  const auto parsed = ParseJson(body);
  if (!parsed || !parsed->isObject())
    return NewError(CompletionErrorKind::kNotJson, "the body is not JSON");
  const Json::Value& document = *parsed;
  CompletionRequest request;
  request.chat = target.find("/chat/") != std::string_view::npos;
  request.model = ModelId(route.model());
  if (!document["model"].isNull() &&
      (!document["model"].isString() ||
       document["model"].asString() != route.model()))
    return NewError(CompletionErrorKind::kWrongModel,
                    "the route serves another model");
  if (!document["stream"].isNull()) {
    if (!document["stream"].isBool())
      return NewError(CompletionErrorKind::kBadStream,
                      "stream is neither true nor false");
    request.stream = document["stream"].asBool();
  }
  std::optional<std::string> prompt;
  if (request.chat) {
    prompt = JoinMessages(document["messages"]);
  } else if (document["prompt"].isString()) {
    prompt = document["prompt"].asString();
  }
  if (!prompt || prompt->empty())
    return NewError(CompletionErrorKind::kNoPrompt, "there is no prompt");
  request.prompt = *std::move(prompt);
  request.prompt_tokens = Tokens(
      (static_cast<int64_t>(request.prompt.size()) + kBytesPerPromptToken - 1) /
      kBytesPerPromptToken);
  auto max_tokens = ReadMaxTokens(route, document);
  if (!max_tokens) return max_tokens.error();
  request.max_output_tokens = *max_tokens;
  return request;
}

std::string CompletionEvent(const CompletionRequest& request,
                            const RequestId& id, std::string_view text,
                            std::string_view finish) {
  return "data: " +
         WriteJson(Envelope(request, id,
                            Choice(request, text, finish, /*delta=*/true),
                            /*delta=*/true)) +
         "\n\n";
}

std::string CompletionDocument(const CompletionRequest& request,
                               const RequestId& id, std::string_view text,
                               std::string_view finish, Tokens output_tokens) {
  Json::Value document =
      Envelope(request, id, Choice(request, text, finish, /*delta=*/false),
               /*delta=*/false);
  Json::Value usage(Json::objectValue);
  usage["prompt_tokens"] =
      static_cast<Json::Int64>(request.prompt_tokens.count());
  usage["completion_tokens"] = static_cast<Json::Int64>(output_tokens.count());
  usage["total_tokens"] =
      static_cast<Json::Int64>((request.prompt_tokens + output_tokens).count());
  document["usage"] = std::move(usage);
  return WriteJson(document) + "\n";
}

}  // namespace mimosa
