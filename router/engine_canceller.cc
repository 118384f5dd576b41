// Orders to cancel, repeated until confirmed.
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
                             std::unique_ptr<EngineReservation> place) {
  auto order = std::make_unique<PendingCancel>();
  order->request = request;
  order->attempt = attempt;
  order->engine = engine;
  order->reservation = std::move(place);
  order->give_up_at = loop_->Now() + kGiveUpAfter;
  pending_cancels_.push_back(std::move(order));
  SendCancel(pending_cancels_.back().get());
}

bool EngineCanceller::IsPending(const RequestId& request,
                                const Endpoint& engine) const {
  return std::any_of(
      pending_cancels_.begin(), pending_cancels_.end(), [&](const auto& order) {
        return order->request == request && order->engine == engine;
      });
}

void EngineCanceller::SendCancel(PendingCancel* order) {
  HttpCallOptions options;
  options.to = order->engine;
  options.head_timeout = kCallTimeout;
  options.reuse_connection = true;
  Json::Value body(Json::objectValue);
  body["request"] = order->request.value();
  body["attempt"] = order->attempt;
  HttpRequest request;
  request.method = "POST";
  request.target = "/v1/cancel";
  request.headers.Set("Content-Type", "application/json");
  request.body = WriteJson(body);
  order->call = Fetch(client_, options, std::move(request),
                      [this, order](const HttpResult& result) {
                        OnCancelReply(order, result.ok);
                      });
}

void EngineCanceller::OnCancelReply(PendingCancel* order, bool confirmed) {
  if (confirmed || loop_->Now() >= order->give_up_at) {
    // Posted: the finished call is still on the stack.
    loop_->Post([this, order] {
      pending_cancels_.remove_if(
          [order](const auto& each) { return each.get() == order; });
    });
    return;
  }
  order->timer =
      loop_->After(kRetryDelay, [this, order] { SendCancel(order); });
}

}  // namespace mimosa
