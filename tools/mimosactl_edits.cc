// Implements catalogue edits and comparison.
#include "tools/mimosactl_edits.h"

#include <algorithm>
#include <map>
#include <utility>

#include "base/json.h"

namespace mimosa {
namespace {

leaf::error_id MakeError(EditErrorKind kind, std::string detail) {
  return leaf::new_error(EditError{kind, std::move(detail)});
}

template <typename List>
std::map<std::string, std::string> JsonById(const List& entries) {
  std::map<std::string, std::string> by_id;
  for (const auto& entry : entries) by_id[entry.id()] = ToJson(entry);
  return by_id;
}

template <typename List>
void DiffLists(const std::string& list_name, const List& before,
               const List& after, std::vector<Difference>* differences) {
  const auto old_entries = JsonById(before);
  const auto new_entries = JsonById(after);
  const auto add = [&](DifferenceKind kind, const std::string& id,
                       const std::string& from, const std::string& to) {
    differences->push_back({kind, list_name + " (" + id + ")", from, to});
  };
  for (const auto& [id, json] : old_entries) {
    const auto found = new_entries.find(id);
    if (found == new_entries.end())
      add(DifferenceKind::kRemoved, id, json, "");
    else if (found->second != json)
      add(DifferenceKind::kChanged, id, json, found->second);
  }
  for (const auto& [id, json] : new_entries)
    if (old_entries.count(id) == 0) add(DifferenceKind::kAdded, id, "", json);
}

// Returns the entry with this id, or nullptr.
template <typename List>
auto FindById(List* entries, const std::string& id)
    -> decltype(&*entries->begin()) {
  const auto it =
      std::find_if(entries->begin(), entries->end(),
                   [&id](const auto& entry) { return entry.id() == id; });
  return it == entries->end() ? nullptr : &*it;
}

leaf::result<wire::Customer*> FindCustomer(const std::string& id,
                                           wire::Catalogue* catalogue) {
  wire::Customer* customer = FindById(catalogue->mutable_customers(), id);
  if (customer == nullptr)
    return MakeError(EditErrorKind::kNoSuchEntry, "customer '" + id + "'");
  return customer;
}

}  // namespace

const char* DifferenceKindName(DifferenceKind kind) {
  switch (kind) {
    case DifferenceKind::kAdded:
      return "added";
    case DifferenceKind::kRemoved:
      return "removed";
    case DifferenceKind::kChanged:
      return "changed";
  }
  return "?";
}

std::vector<Difference> DiffCatalogues(const wire::Catalogue& before,
                                       const wire::Catalogue& after) {
  std::vector<Difference> differences;
  DiffLists("customers", before.customers(), after.customers(), &differences);
  DiffLists("routes", before.routes(), after.routes(), &differences);
  DiffLists("back_ends", before.back_ends(), after.back_ends(), &differences);
  return differences;
}

leaf::result<void> AddKey(const std::string& customer, const wire::Key& key,
                          wire::Catalogue* catalogue) {
  BOOST_LEAF_AUTO(entry, FindCustomer(customer, catalogue));
  if (FindById(entry->mutable_keys(), key.id()) != nullptr)
    return MakeError(EditErrorKind::kAlreadyExists, "key '" + key.id() + "'");
  *entry->add_keys() = key;
  return {};
}

leaf::result<void> RemoveKey(const std::string& customer,
                             const std::string& key_id,
                             wire::Catalogue* catalogue) {
  BOOST_LEAF_AUTO(entry, FindCustomer(customer, catalogue));
  auto* keys = entry->mutable_keys();
  const wire::Key* key = FindById(keys, key_id);
  if (key == nullptr)
    return MakeError(EditErrorKind::kNoSuchEntry, "key '" + key_id + "'");
  const auto it =
      std::find_if(keys->begin(), keys->end(),
                   [&](const wire::Key& k) { return k.id() == key_id; });
  keys->erase(it);
  return {};
}

leaf::result<void> SetDraining(const std::string& back_end, bool draining,
                               wire::Catalogue* catalogue) {
  wire::BackEnd* entry = FindById(catalogue->mutable_back_ends(), back_end);
  if (entry == nullptr)
    return MakeError(EditErrorKind::kNoSuchEntry,
                     "back end '" + back_end + "'");
  entry->set_draining(draining);
  return {};
}

}  // namespace mimosa
