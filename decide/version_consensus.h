// Decides whether a stream of unknown origin may go on: only if one software
// version has served its service for as long as a stream can last.
//
// Model: each daemon has a view of the versions that have served lately. A view
// is established once its daemon has known the list of engines for as long as a
// stream can last; that of a daemon that has just started can't know of a
// version whose engines have left before. All views that are heard must agree,
// and an established one must be among them, unless none is to be had: then all
// daemons have just started.
//
// Load pattern covered: a release that ends while daemons are killed; the ones
// that start see the new version only, and callers take up streams of the old
// one.
#ifndef DECIDE_VERSION_CONSENSUS_H_
#define DECIDE_VERSION_CONSENSUS_H_

#include <optional>

#include "decide/site.h"

namespace mimosa {

// What a daemon knows of the versions that have served a service.
struct VersionView {
  // The only version that has served lately; absent if there were several, or
  // none is known.
  std::optional<SoftwareVersion> only_version;
  bool is_established = false;
};

class VersionConsensus {
 public:
  // `own` is the view of this daemon. If its list of engines may lack changes
  // (`is_current` is false), the view counts only in agreement with another
  // one.
  VersionConsensus(VersionView own, bool is_current)
      : only_version_(std::move(own.only_version)),
        has_current_view_(is_current),
        has_established_view_(is_current && own.is_established) {}

  // Adds the view of another daemon.
  void AddView(const VersionView& view);

  // Returns whether the views heard so far agree, but an established one is
  // missing.
  bool needs_established_view() const {
    return only_version_.has_value() && !has_established_view_;
  }
  // Returns the version that began every stream which can still be taken up;
  // nullopt if none can be shown to have done so.
  std::optional<SoftwareVersion> version() const {
    return has_current_view_ ? only_version_ : std::nullopt;
  }

 private:
  std::optional<SoftwareVersion> only_version_;  // That all views agree on.
  bool has_current_view_;
  bool has_established_view_;
};

}  // namespace mimosa

#endif  // DECIDE_VERSION_CONSENSUS_H_
