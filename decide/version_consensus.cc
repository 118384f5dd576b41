// Agreement of views.
#include "decide/version_consensus.h"

namespace mimosa {

void VersionConsensus::AddView(const VersionView& view) {
  has_current_view_ = true;
  has_established_view_ = has_established_view_ || view.is_established;
  if (view.only_version != only_version_) only_version_.reset();
}

}  // namespace mimosa
