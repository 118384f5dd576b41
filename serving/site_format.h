// How a platform writes down a site: the seam between the daemon and the
// formats of one platform.
#ifndef SERVING_SITE_FORMAT_H_
#define SERVING_SITE_FORMAT_H_

#include <memory>
#include <string>

#include "base/errors.h"
#include "decide/site.h"

namespace mimosa {

// A record of the store that can't be used as what it should be.
struct SiteFormatError {
  enum class Kind {
    kNotJson,       // bytes that are no JSON object
    kMissingField,  // absent, or of another type
    kUnknownValue,  // a word that the format doesn't define
  };
  Kind kind;
  std::string field;
};
inline const char* SiteFormatErrorName(SiteFormatError::Kind kind) {
  switch (kind) {
    case SiteFormatError::Kind::kNotJson:
      return "not a JSON object";
    case SiteFormatError::Kind::kMissingField:
      return "field missing or of another type";
    case SiteFormatError::Kind::kUnknownValue:
      return "unknown value";
  }
  return "?";
}

class SiteFormat {
 public:
  virtual ~SiteFormat() = default;

  // Where the store keeps the configuration and the backend servers' entries.
  virtual const std::string& config_key() const = 0;
  virtual const std::string& back_end_prefix() const = 0;

  // Fail with SiteFormatError.
  virtual leaf::result<std::shared_ptr<const SiteConfig>> ReadConfig(
      const std::string& value) const = 0;
  virtual leaf::result<BackEndEntry> ReadBackEnd(
      const BackEndId& id, const std::string& value) const = 0;
};

}  // namespace mimosa

#endif  // SERVING_SITE_FORMAT_H_
