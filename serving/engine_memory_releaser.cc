// Calls that release KV handles and reservations.
#include "serving/engine_memory_releaser.h"

#include <utility>

namespace mimosa {
namespace {

// Longer than the lifetime of a handle: a later response makes no difference.
constexpr Duration kReleaseTimeout = std::chrono::seconds(1);

}  // namespace

void EngineMemoryReleaser::ReleaseHandle(const BackEndEntry& engine,
                                         const KvHandle& handle) {
  Send(engine, format_->WriteReleaseHandle(handle));
}

void EngineMemoryReleaser::ReleaseReservation(
    const BackEndEntry& engine, const std::string& reservation_id) {
  Send(engine, format_->WriteReleaseReservation(reservation_id));
}

bool EngineMemoryReleaser::MayCall(const BackEndEntry& engine) const {
  return selector_->FindObstacle(engine, CallPurpose::kControl, loop_->Now()) ==
         CallObstacle::kNone;
}

void EngineMemoryReleaser::Send(const BackEndEntry& engine,
                                HttpRequest request) {
  if (!MayCall(engine)) return;
  HttpCallOptions options =
      CallOptionsWithTimeout({engine.ip, engine.port}, kReleaseTimeout);
  options.may_send = [this, engine] { return MayCall(engine); };
  options.reuse_connection = true;
  options.max_response_bytes = kMaxInternalResponseBytes;
  options.read_request_id = [this](const HttpHeaders& headers) {
    return format_->ReadResponseMarkers(headers).request_id.value();
  };
  calls_.emplace_back();
  const auto call = std::prev(calls_.end());
  *call = Fetch(client_, options, std::move(request),
                [this, call](const HttpResult&) {
                  // Erases the call later, since it is still on the stack.
                  loop_->Post([this, call] { calls_.erase(call); });
                });
}

}  // namespace mimosa
