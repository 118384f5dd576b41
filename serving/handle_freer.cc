// Calls that free handles.
#include "serving/handle_freer.h"

#include <utility>

namespace mimosa {
namespace {

// Longer than a handle lives: a later answer changes nothing.
constexpr Duration kFreeTimeout = std::chrono::seconds(1);

}  // namespace

void HandleFreer::Free(const KvHandle& handle) {
  Send(handle.engine, format_->WriteFree(handle));
}

void HandleFreer::GiveBack(const Endpoint& engine, const std::string& room) {
  Send(engine, format_->WriteGiveBack(room));
}

void HandleFreer::Send(const Endpoint& engine, HttpRequest request) {
  HttpCallOptions options = CallWithin(engine, kFreeTimeout);
  options.reuse_connection = true;
  calls_.emplace_back();
  const auto at = std::prev(calls_.end());
  *at = Fetch(client_, options, std::move(request),
              [this, at](const HttpResult&) {
                // Posted: the call is still on the stack.
                loop_->Post([this, at] { calls_.erase(at); });
              });
}

}  // namespace mimosa
