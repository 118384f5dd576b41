// The catalogue in force at this daemon, indexed for the request path.
//
// A snapshot is immutable; the view swaps snapshots when a newer version has
// been fetched and checked, and never goes back to a lower version.
#ifndef ROUTER_CATALOGUE_VIEW_H_
#define ROUTER_CATALOGUE_VIEW_H_

#include <functional>
#include <memory>
#include <string_view>

#include "decide/catalogue.h"

namespace mimosa {

class CatalogueView {
 public:
  virtual ~CatalogueView() = default;

  // Never null; version 0 and empty before the first one is known.
  virtual std::shared_ptr<const CatalogueSnapshot> current() const = 0;

  // `observer` runs after each swap.
  virtual void AddObserver(std::function<void()> observer) = 0;
};

}  // namespace mimosa

#endif  // ROUTER_CATALOGUE_VIEW_H_
