// Fuzzes the processing of a catalogue: JSON parsing, validation, splitting
// into parts and joining them. A valid catalogue must be restored from its
// parts with the same entries, and no input may crash the parsing of heads and
// parts.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

#include "base/json.h"
#include "decide/catalogue.h"
#include "decide/catalogue_parts.h"

namespace {

using mimosa::wire::Catalogue;

// Returns the number of entries. Catalogues are compared by it because joining
// returns the entries in their stored order.
size_t CountEntries(const Catalogue& catalogue) {
  return static_cast<size_t>(catalogue.customers_size()) +
         static_cast<size_t>(catalogue.routes_size()) +
         static_cast<size_t>(catalogue.back_ends_size());
}

void FuzzCatalogue(std::string_view text) {
  Catalogue catalogue;
  if (!mimosa::FromJson(text, /*strict=*/true, &catalogue)) return;
  const auto snapshot = mimosa::CatalogueSnapshot::Make(catalogue);
  if (!snapshot) return;
  for (const auto& route : catalogue.routes())
    if ((*snapshot)->FindRoute("GET", route.path_prefix()) == nullptr &&
        route.methods().empty())
      std::abort();
  mimosa::wire::CatalogueChange change;
  change.set_change_id("fuzz");
  const auto plan = mimosa::PlanCatalogueWrite({}, catalogue, change);
  if (!plan) return;
  const auto joined = mimosa::JoinCatalogue(plan->head, plan->new_parts);
  if (!joined || CountEntries(*joined) != CountEntries(catalogue)) std::abort();
  if (!mimosa::CheckCatalogue(*joined).empty()) std::abort();
}

void FuzzHead(std::string_view text) {
  mimosa::wire::CatalogueHead head;
  if (!mimosa::FromJson(text, /*strict=*/false, &head)) return;
  mimosa::PartTexts parts;
  for (const auto& ref : head.parts()) parts[ref.digest()] = std::string(text);
  (void)mimosa::JoinCatalogue(head, parts);
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  FuzzCatalogue(text);
  FuzzHead(text);
  return 0;
}
