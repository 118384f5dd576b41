// Conversion between protobuf messages, jsoncpp values and JSON text, by
// protobuf's standard JSON mapping.
#ifndef BASE_JSON_H_
#define BASE_JSON_H_

#include <google/protobuf/message.h>
#include <json/value.h>

#include <string>
#include <string_view>

#include "base/errors.h"

namespace mimosa {

// Returns `message` as one line of JSON. Fields have their schema names; fields
// with default values are omitted.
std::string ToJson(const google::protobuf::Message& message);

// Returns `message` as indented JSON for people. Fields have their schema
// names; default values are included.
std::string ToPrettyJson(const google::protobuf::Message& message);

// Fills `*message` from `text`. Fails with JsonError; unknown fields are an
// error if `strict`, otherwise they are ignored, since newer peers may send
// them.
leaf::result<void> FromJson(std::string_view text, bool strict,
                            google::protobuf::Message* message);

// Returns `message` as a jsoncpp value, for JSON-RPC params and results.
Json::Value ToJsonValue(const google::protobuf::Message& message);
// Fills `*message` from a jsoncpp value. Fails with JsonError; unknown fields
// are ignored.
leaf::result<void> FromJsonValue(const Json::Value& value,
                                 google::protobuf::Message* message);

// Parses any JSON text. Fails with JsonError if it is malformed or nested too
// deeply.
leaf::result<Json::Value> ParseJson(std::string_view text);

// Returns the member `name` of `object`; empty if it is absent or not a string.
std::string StringMember(const Json::Value& object, const char* name);

// Returns `value` as one line of JSON.
std::string WriteJson(const Json::Value& value);

}  // namespace mimosa

#endif  // BASE_JSON_H_
