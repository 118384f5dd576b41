// Edits of a catalogue by mimosactl, and what differs between two: pure
// functions, so that an edit that lost a race can be applied to what came in.
#ifndef TOOLS_MIMOSACTL_EDITS_H_
#define TOOLS_MIMOSACTL_EDITS_H_

#include <string>
#include <vector>

#include "base/errors.h"
#include "wire/catalogue.pb.h"

namespace mimosa {

enum class DifferenceKind { kAdded, kRemoved, kChanged };
const char* DifferenceKindName(DifferenceKind kind);

struct Difference {
  DifferenceKind kind;
  std::string entry;   // "customers (kochi-guild)"
  std::string before;  // JSON, empty if added
  std::string after;   // JSON, empty if removed
};

// What makes `after` of `before`, apart from the version; entries by id.
std::vector<Difference> DiffCatalogues(const wire::Catalogue& before,
                                       const wire::Catalogue& after);

// Why an edit can't be applied to a catalogue.
enum class EditErrorKind { kNoSuchEntry, kAlreadyExists };
struct EditError {
  EditErrorKind kind;
  std::string detail;
};

// Each fails with EditFault and leaves the catalogue alone then.
leaf::result<void> AddKey(const std::string& customer, const wire::Key& key,
                          wire::Catalogue* catalogue);
leaf::result<void> RemoveKey(const std::string& customer,
                             const std::string& key_id,
                             wire::Catalogue* catalogue);
leaf::result<void> SetDraining(const std::string& back_end, bool draining,
                               wire::Catalogue* catalogue);

}  // namespace mimosa

#endif  // TOOLS_MIMOSACTL_EDITS_H_
