// Edits a catalogue and compares two catalogues, for mimosactl. These are pure
// functions, so that an edit whose write failed with a conflict can be repeated
// on the newer catalogue.
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
  std::string entry;   // field name and id, e.g. "customers (kochi-guild)"
  std::string before;  // JSON, empty if added
  std::string after;   // JSON, empty if removed
};

// Returns the differences between two catalogues. Entries are matched by id;
// their order and the catalogue's version are ignored.
std::vector<Difference> DiffCatalogues(const wire::Catalogue& before,
                                       const wire::Catalogue& after);

// Describes why an edit can't be applied to a catalogue.
enum class EditErrorKind { kNoSuchEntry, kAlreadyExists };
struct EditError {
  EditErrorKind kind;
  std::string detail;
};

// Each of these fails with EditError and then leaves the catalogue unchanged.
leaf::result<void> AddKey(const std::string& customer, const wire::Key& key,
                          wire::Catalogue* catalogue);
leaf::result<void> RemoveKey(const std::string& customer,
                             const std::string& key_id,
                             wire::Catalogue* catalogue);
leaf::result<void> SetDraining(const std::string& back_end, bool draining,
                               wire::Catalogue* catalogue);

}  // namespace mimosa

#endif  // TOOLS_MIMOSACTL_EDITS_H_
