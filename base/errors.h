// Errors. Every failure has a type; functions that can fail return
// leaf::result<T> carrying one of the typed errors below or of the module that
// made it, never a bare string. Callbacks of the loop carry enums instead
// (net/http.h), since an exception or a LEAF error can't cross the C library.
#ifndef BASE_ERRORS_H_
#define BASE_ERRORS_H_

#include <boost/leaf.hpp>
#include <string>

namespace mimosa {

namespace leaf = boost::leaf;

// Text that isn't the JSON that was expected. `where` says what was parsed.
struct JsonError {
  std::string source;
  std::string detail;
};

}  // namespace mimosa

#endif  // BASE_ERRORS_H_
