// The catalogue as the decisions use it: checked, immutable, indexed.
//
// The same check runs in mimosactl before a catalogue is written and in each
// daemon before it comes into force; a catalogue with any fault is refused
// whole, and all faults are named.
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

// What can be wrong with an entry.
enum class CatalogueFaultKind {
  kMissing,        // a required field is empty
  kOutOfRange,     // a number outside its bounds
  kMalformed,      // an address, digest, path or id that can't be one
  kDuplicate,      // an id, path prefix or key digest that is there twice
  kUnknownName,    // a model or pool that no back end serves
  kContradiction,  // fields that don't go together
  kTooLarge,       // more entries or bytes than the platform or a daemon takes
};

const char* CatalogueFaultKindName(CatalogueFaultKind kind);

struct CatalogueError {
  CatalogueFaultKind kind;
  std::string entry;  // "customers[3] (kochi-guild)"
  std::string field;
  std::string detail;  // the value and the bound that it broke
};

// All faults of one catalogue; as a LEAF error object.
struct CatalogueFaults {
  std::vector<CatalogueError> faults;
};

class CatalogueSnapshot {
 public:
  // Checks and indexes. Fails with CatalogueFaults.
  static leaf::result<std::shared_ptr<const CatalogueSnapshot>> Make(
      wire::Catalogue catalogue);
  // Version 0, no entries.
  static std::shared_ptr<const CatalogueSnapshot> Empty();

  CatalogueVersion version() const;
  const wire::Catalogue& catalogue() const { return catalogue_; }

  // The route whose path prefix is the longest that fits `path` (whole path
  // segments: "/a" fits "/a" and "/a/b", not "/ab") and that takes `method`.
  const wire::Route* FindRoute(std::string_view method,
                               std::string_view path) const;
  const wire::Customer* FindCustomer(const CustomerId& id) const;
  // The customer that owns the key with this digest (hex SHA-256), or nullptr.
  const wire::Customer* FindCustomerByKeyDigest(
      const std::string& digest) const;
  const wire::BackEnd* FindBackEnd(const BackEndId& id) const;
  // By model and role, or by pool; draining ones included.
  // The list lives as long as the snapshot.
  const std::vector<const wire::BackEnd*>& Engines(
      const std::string& model, wire::BackEndRole role) const;
  const std::vector<const wire::BackEnd*>& Services(
      const std::string& pool) const;

 private:
  using BackEndList = std::vector<const wire::BackEnd*>;

  explicit CatalogueSnapshot(wire::Catalogue catalogue);
  void IndexBackEnds();

  // Pointers in the indices point into catalogue_, which never changes.
  const wire::Catalogue catalogue_;
  std::unordered_map<std::string, const wire::Customer*> customers_;
  std::unordered_map<std::string, const wire::Customer*> customers_by_digest_;
  std::unordered_map<std::string, const wire::BackEnd*> back_ends_;
  std::map<std::string, std::vector<const wire::Route*>, std::less<>>
      routes_by_prefix_;
  std::map<std::pair<std::string, wire::BackEndRole>, BackEndList> engines_;
  std::unordered_map<std::string, BackEndList> services_;
};

// The faults of `catalogue`; none: it may come into force.
std::vector<CatalogueError> CheckCatalogue(const wire::Catalogue& catalogue);

}  // namespace mimosa

#endif  // DECIDE_CATALOGUE_H_
