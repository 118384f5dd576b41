// Checks the events of the engines and accepts those that belong to the
// response.
#include "decide/token_stream.h"

#include <utility>

#include "base/json.h"

namespace mimosa {

TokenStream::TokenStream(RequestId request, bool check_identity)
    : request_(std::move(request)), check_identity_(check_identity) {}

TokenEvent TokenStream::ProcessEvent(int attempt, std::string_view data) {
  const auto parsed = ParseJson(data);
  if (!parsed || !parsed->isObject())
    return {TokenEventType::kMalformed, {}, {}};
  const Json::Value& event = *parsed;
  if (check_identity_ &&
      (attempt != attempt_ || ended_ || !event["request"].isString() ||
       event["request"].asString() != request_.value() ||
       !event["attempt"].isInt() || event["attempt"].asInt() != attempt_))
    return {TokenEventType::kForeign, {}, {}};
  if (event["finish"].isString()) {
    // The end is accepted only if all tokens before it were.
    if (check_identity_ && (!event["output_tokens"].isInt64() ||
                            event["output_tokens"].asInt64() != next_index_))
      return {TokenEventType::kGap, {}, {}};
    ended_ = true;
    return {TokenEventType::kEnd, {}, event["finish"].asString()};
  }
  if (!event["index"].isInt64() || !event["text"].isString())
    return {TokenEventType::kMalformed, {}, {}};
  const int64_t index = event["index"].asInt64();
  if (check_identity_ && index < next_index_)
    return {TokenEventType::kDuplicate, {}, {}};
  if (check_identity_ && index > next_index_)
    return {TokenEventType::kGap, {}, {}};
  ++next_index_;
  return {TokenEventType::kToken, event["text"].asString(), {}};
}

}  // namespace mimosa
