// JSON conversion with protobuf's JSON mapping and jsoncpp.
#include "base/json.h"

#include <google/protobuf/util/json_util.h>
#include <json/reader.h>
#include <json/writer.h>

#include <memory>
#include <stdexcept>

namespace mimosa {
namespace {

// ParseJson() rejects JSON that is nested more deeply. Messages of the schema
// and typical requests are far below this depth.
constexpr int kMaxNestingDepth = 64;

}  // namespace

std::string ToJson(const google::protobuf::Message& message) {
  google::protobuf::util::JsonPrintOptions options;
  options.preserve_proto_field_names = true;
  std::string text;
  // Can fail only for Any and similar types, which the schema doesn't use.
  (void)google::protobuf::util::MessageToJsonString(message, &text, options);
  return text;
}

std::string ToPrettyJson(const google::protobuf::Message& message) {
  google::protobuf::util::JsonPrintOptions options;
  options.preserve_proto_field_names = true;
  options.always_print_primitive_fields = true;
  options.add_whitespace = true;
  std::string text;
  (void)google::protobuf::util::MessageToJsonString(message, &text, options);
  return text;
}

leaf::result<void> FromJson(std::string_view text, bool strict,
                            google::protobuf::Message* message) {
  google::protobuf::util::JsonParseOptions options;
  options.ignore_unknown_fields = !strict;
  const auto status = google::protobuf::util::JsonStringToMessage(
      {text.data(), text.size()}, message, options);
  if (status.ok()) return {};
  return leaf::new_error(
      JsonError{message->GetTypeName(), std::string(status.message())});
}

Json::Value ToJsonValue(const google::protobuf::Message& message) {
  const auto value = ParseJson(ToJson(message));
  return value ? *value : Json::Value(Json::objectValue);
}

leaf::result<void> FromJsonValue(const Json::Value& value,
                                 google::protobuf::Message* message) {
  return FromJson(WriteJson(value), /*strict=*/false, message);
}

leaf::result<Json::Value> ParseJson(std::string_view text) {
  static const Json::CharReaderBuilder builder = [] {
    Json::CharReaderBuilder b;
    Json::CharReaderBuilder::strictMode(&b.settings_);
    b["strictRoot"] = false;
    b["stackLimit"] = kMaxNestingDepth;
    return b;
  }();
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value value;
  std::string errors;
  try {
    if (reader->parse(text.data(), text.data() + text.size(), &value, &errors))
      return value;
  } catch (const std::exception& e) {  // jsoncpp throws beyond stackLimit
    errors = e.what();
  }
  return leaf::new_error(JsonError{"JSON", errors});
}

std::string StringMember(const Json::Value& object, const char* name) {
  const Json::Value& value = object[name];
  return value.isString() ? value.asString() : std::string();
}

std::string WriteJson(const Json::Value& value) {
  static const Json::StreamWriterBuilder builder = [] {
    Json::StreamWriterBuilder b;
    b["indentation"] = "";
    return b;
  }();
  return Json::writeString(builder, value);
}

}  // namespace mimosa
