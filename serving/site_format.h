// Interface between the daemon and one platform's format of a site's
// configuration and backend server entries.
#ifndef SERVING_SITE_FORMAT_H_
#define SERVING_SITE_FORMAT_H_

#include <memory>
#include <string>

#include "base/errors.h"
#include "decide/site.h"

namespace mimosa {

// Why a record of the store cannot be parsed.
struct SiteFormatError {
  enum class Kind {
    kNotJson,       // The value is not a JSON object.
    kMissingField,  // The field is missing or has the wrong type.
    kUnknownValue,  // The field has a value that the format does not define.
  };
  Kind kind;
  std::string field;
};
inline const char* SiteFormatErrorName(SiteFormatError::Kind kind) {
  switch (kind) {
    case SiteFormatError::Kind::kNotJson:
      return "not a JSON object";
    case SiteFormatError::Kind::kMissingField:
      return "field missing or of the wrong type";
    case SiteFormatError::Kind::kUnknownValue:
      return "unknown value";
  }
  return "?";
}

class SiteFormat {
 public:
  virtual ~SiteFormat() = default;

  // Key of the configuration, and key prefix of the backend servers' entries.
  virtual const std::string& config_key() const = 0;
  virtual const std::string& back_end_prefix() const = 0;
  // Prefix of the keys by which operators evacuate a failure domain, whose name
  // follows. The values say nothing.
  virtual const std::string& evacuation_prefix() const = 0;

  // Parse a record's value. Fail with SiteFormatError.
  virtual leaf::result<std::shared_ptr<const SiteConfig>> ReadConfig(
      const std::string& value) const = 0;
  virtual leaf::result<BackEndEntry> ReadBackEnd(
      const BackEndId& id, const std::string& value) const = 0;
};

}  // namespace mimosa

#endif  // SERVING_SITE_FORMAT_H_
