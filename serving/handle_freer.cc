// Calls that free handles.
#include "serving/handle_freer.h"

#include <utility>

namespace mimosa {
namespace {

// Longer than a handle lives: a later answer changes nothing.
constexpr Duration kFreeTimeout = std::chrono::seconds(1);

}  // namespace

void HandleFreer::Free(const KvHandle& handle) {
  HttpCallOptions options;
  options.to = handle.engine;
  options.connect_timeout = kFreeTimeout;
  options.head_timeout = kFreeTimeout;
  options.idle_timeout = kFreeTimeout;
  options.reuse_connection = true;
  calls_.emplace_back();
  const auto at = std::prev(calls_.end());
  *at = Fetch(client_, options, format_->WriteFree(handle),
              [this, at](const HttpResult&) {
                // Posted: the call is still on the stack.
                loop_->Post([this, at] { calls_.erase(at); });
              });
}

}  // namespace mimosa
