// Calls that free handles.
#include "serving/engine_memory_releaser.h"

#include <utility>

namespace mimosa {
namespace {

// Longer than a handle lives: a later answer changes nothing.
constexpr Duration kFreeTimeout = std::chrono::seconds(1);

}  // namespace

void EngineMemoryReleaser::ReleaseHandle(const KvHandle& handle) {
  Send(handle.engine, format_->WriteReleaseHandle(handle));
}

void EngineMemoryReleaser::ReleaseReservation(const Endpoint& engine,
                                              const std::string& room) {
  Send(engine, format_->WriteReleaseReservation(room));
}

void EngineMemoryReleaser::Send(const Endpoint& engine, HttpRequest request) {
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
