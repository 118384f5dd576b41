// Sends cancel requests to engines and retries until they are confirmed.
#include "router/engine_canceller.h"

#include <algorithm>
#include <utility>

#include "base/json.h"

namespace mimosa {

struct EngineCanceller::PendingCancel {
  RequestId request;
  int attempt;
  Endpoint engine;
  std::unique_ptr<EngineReservation> reservation;
  MonoTime give_up_at;
  std::unique_ptr<HttpCall> call;
  TimerHandle timer;
};

EngineCanceller::EngineCanceller(EventLoop* loop, HttpClient* client)
    : loop_(loop), client_(client) {}

EngineCanceller::~EngineCanceller() = default;

void EngineCanceller::Cancel(const RequestId& request, int attempt,
                             const Endpoint& engine,
                             std::unique_ptr<EngineReservation> reservation) {
  auto cancel = std::make_unique<PendingCancel>();
  cancel->request = request;
  cancel->attempt = attempt;
  cancel->engine = engine;
  cancel->reservation = std::move(reservation);
  cancel->give_up_at = loop_->Now() + kGiveUpAfter;
  pending_cancels_.push_back(std::move(cancel));
  SendCancel(pending_cancels_.back().get());
}

bool EngineCanceller::IsPending(const RequestId& request,
                                const Endpoint& engine) const {
  return std::any_of(pending_cancels_.begin(), pending_cancels_.end(),
                     [&](const auto& cancel) {
                       return cancel->request == request &&
                              cancel->engine == engine;
                     });
}

void EngineCanceller::SendCancel(PendingCancel* cancel) {
  HttpCallOptions options;
  options.to = cancel->engine;
  options.head_timeout = kCallTimeout;
  options.reuse_connection = true;
  Json::Value body(Json::objectValue);
  body["request"] = cancel->request.value();
  body["attempt"] = cancel->attempt;
  HttpRequest request;
  request.method = "POST";
  request.target = "/v1/cancel";
  request.headers.Set("Content-Type", "application/json");
  request.body = WriteJson(body);
  cancel->call = Fetch(client_, options, std::move(request),
                       [this, cancel](const HttpResult& result) {
                         OnCancelReply(cancel, result.ok);
                       });
}

void EngineCanceller::OnCancelReply(PendingCancel* cancel, bool confirmed) {
  if (confirmed || loop_->Now() >= cancel->give_up_at) {
    // Posted because the finished call is still on the stack.
    loop_->Post([this, cancel] {
      pending_cancels_.remove_if(
          [cancel](const auto& each) { return each.get() == cancel; });
    });
    return;
  }
  cancel->timer =
      loop_->After(kRetryDelay, [this, cancel] { SendCancel(cancel); });
}

}  // namespace mimosa
