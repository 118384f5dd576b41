// The active catalogue of this daemon, indexed for the request path.
//
// A snapshot is immutable. The view switches to a new snapshot when a newer
// version has been fetched and checked; versions never decrease.
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

  // Never returns null. Before the first catalogue is known, the snapshot is
  // empty and has version 0.
  virtual std::shared_ptr<const CatalogueSnapshot> current() const = 0;

  // Registers `observer`, which runs after each change of the snapshot.
  virtual void AddObserver(std::function<void()> observer) = 0;
};

}  // namespace mimosa

#endif  // ROUTER_CATALOGUE_VIEW_H_
