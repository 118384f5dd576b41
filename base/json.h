// Messages of the schema as JSON text and as jsoncpp values, by protobuf's
// standard JSON mapping.
#ifndef BASE_JSON_H_
#define BASE_JSON_H_

#include <google/protobuf/message.h>
#include <json/value.h>

#include <string>
#include <string_view>

#include "base/errors.h"

namespace mimosa {

// One line of JSON; fields keep their schema names, default values are left
// out.
std::string ToJson(const google::protobuf::Message& message);

// The same over several lines, with default values, for people.
std::string ToPrettyJson(const google::protobuf::Message& message);

// Fills `*message` from `text`. Fails with JsonError; unknown fields are an
// error if `strict`, else they are passed over (newer peers may send them).
leaf::result<void> FromJson(std::string_view text, bool strict,
                            google::protobuf::Message* message);

// Between schema messages and jsoncpp values (JSON-RPC params and results).
Json::Value ToJsonValue(const google::protobuf::Message& message);
leaf::result<void> FromJsonValue(const Json::Value& value,
                                 google::protobuf::Message* message);

// Parses any JSON text; fails with JsonError. Nesting is bounded.
leaf::result<Json::Value> ParseJson(std::string_view text);

// Member of an object; empty if it is absent or no string.
std::string StringMember(const Json::Value& object, const char* name);

// One line of JSON.
std::string WriteJson(const Json::Value& value);

}  // namespace mimosa

#endif  // BASE_JSON_H_
