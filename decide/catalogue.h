// The catalogue in the form that the decisions use: checked, immutable and
// indexed.
//
// mimosactl runs the check before it writes a catalogue, and each daemon runs
// the same check before it applies one. A catalogue with any error is rejected
// as a whole, and all errors are listed.
#ifndef DECIDE_CATALOGUE_H_
#define DECIDE_CATALOGUE_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/errors.h"
#include "base/ids.h"
#include "wire/catalogue.pb.h"

namespace mimosa {

// Kinds of errors in an entry.
enum class CatalogueErrorKind {
  kMissing,        // A required field is empty.
  kOutOfRange,     // A number is outside its bounds.
  kMalformed,      // An address, digest, path or id has an invalid form.
  kDuplicate,      // An id, path prefix or key digest occurs twice.
  kUnknownName,    // No back end serves the model or pool.
  kContradiction,  // Fields contradict each other.
  kTooLarge,  // More entries or bytes than the platform or a daemon accepts.
};

const char* CatalogueErrorKindName(CatalogueErrorKind kind);

struct CatalogueError {
  CatalogueErrorKind kind;
  std::string entry;  // For example "customers[3] (kochi-guild)".
  std::string field;
  std::string detail;  // The value and the bound that it violates.
};

// All errors of one catalogue, as a LEAF error object.
struct CatalogueErrors {
  std::vector<CatalogueError> errors;
};

class CatalogueSnapshot {
 public:
  // Checks and indexes `catalogue`. Fails with all errors that the check finds.
  static leaf::result<std::shared_ptr<const CatalogueSnapshot>> Make(
      wire::Catalogue catalogue);
  // A catalogue of version 0 without entries.
  static std::shared_ptr<const CatalogueSnapshot> Empty();

  CatalogueVersion version() const;
  const wire::Catalogue& catalogue() const { return catalogue_; }

  // Returns the route with the longest path prefix that matches `path` and that
  // accepts `method`, or nullptr. Prefixes match whole path segments: "/a"
  // matches "/a" and "/a/b", not "/ab".
  const wire::Route* FindRoute(std::string_view method,
                               std::string_view path) const;
  const wire::Customer* FindCustomer(const CustomerId& id) const;
  // Returns the customer that owns the key with this digest (hex SHA-256), or
  // nullptr.
  const wire::Customer* FindCustomerByKeyDigest(
      const std::string& digest) const;
  const wire::BackEnd* FindBackEnd(const BackEndId& id) const;
  // Engines by model and role, and services by pool, including draining ones.
  // The lists live as long as the snapshot.
  const std::vector<const wire::BackEnd*>& Engines(
      const std::string& model, wire::BackEndRole role) const;
  const std::vector<const wire::BackEnd*>& Services(
      const std::string& pool) const;

 private:
  using BackEndList = std::vector<const wire::BackEnd*>;

  explicit CatalogueSnapshot(wire::Catalogue catalogue);
  void IndexBackEnds();

  // Never changes, so that the indices can point into it.
  const wire::Catalogue catalogue_;
  std::unordered_map<std::string, const wire::Customer*> customers_;
  std::unordered_map<std::string, const wire::Customer*> customers_by_digest_;
  std::unordered_map<std::string, const wire::BackEnd*> back_ends_;
  std::map<std::string, std::vector<const wire::Route*>, std::less<>>
      routes_by_prefix_;
  std::map<std::pair<std::string, wire::BackEndRole>, BackEndList> engines_;
  std::unordered_map<std::string, BackEndList> services_;
};

// Returns the errors of `catalogue`; it is valid if there are none.
std::vector<CatalogueError> CheckCatalogue(const wire::Catalogue& catalogue);

}  // namespace mimosa

#endif  // DECIDE_CATALOGUE_H_
