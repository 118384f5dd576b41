// Error handling. Functions that can fail return leaf::result<T> with a typed
// error, declared here or in the module that reports it, never a bare string.
// Callbacks of the event loop report enums instead (net/http.h), since neither
// an exception nor a LEAF error can pass through the C library that calls them.
#ifndef BASE_ERRORS_H_
#define BASE_ERRORS_H_

#include <boost/leaf.hpp>
#include <string>

namespace mimosa {

namespace leaf = boost::leaf;

// A text isn't valid JSON or doesn't have the expected structure.
struct JsonError {
  std::string source;  // what was parsed: a message type, a file or "JSON"
  std::string detail;  // error message for people
};

}  // namespace mimosa

#endif  // BASE_ERRORS_H_
