// One call to one back end: sends it, watches the answer and tells the choice
// of back ends how it went.
//
// Invariant: each call that began is counted at its back end until the call is
// destroyed or has ended, whichever is first.
#ifndef SERVING_BACK_END_CALL_H_
#define SERVING_BACK_END_CALL_H_

#include <memory>
#include <string>
#include <string_view>

#include "decide/back_end_selector.h"
#include "net/http.h"
#include "serving/relay_deps.h"

namespace mimosa {

// How a call ended without a whole answer of the back end's own.
enum class CallFailure {
  kNotSent,          // no byte went out: it has not run
  kNotExecuted,      // the back end says that it has not run
  kNoResponse,       // sent, and no head of an answer came
  kTruncated,        // the answer began and did not come whole
  kInvalidResponse,  // what came is no answer
};
const char* CallFailureName(CallFailure loss);

// A kept connection that was idle for longer isn't used for what may not be
// repeated: its back end may be closing it, or be gone.
inline constexpr Duration kMaxIdleNonIdempotent = std::chrono::seconds(2);
// How many back ends may say "not executed" before a request is refused.
inline constexpr int kMaxRejections = 3;

// Takes one more call for a request from the fleet's budget; false if it is
// spent. Counted either way.
bool TryAcquireRetry(const RelayDeps& deps, const ServiceId& service);

class BackEndCall : public HttpCallHandler {
 public:
  // Each may destroy the call.
  class Handler {
   public:
    virtual ~Handler() = default;
    // An answer of the back end's own begins. Not called for refusals that say
    // the request has not run: they end in OnLost.
    virtual void OnResponseHead(BackEndCall* call, int status,
                                const HttpHeaders& headers) = 0;
    virtual void OnResponseBody(BackEndCall* call, std::string_view data) = 0;
    virtual void OnResponseComplete(BackEndCall* call) = 0;
    virtual void OnCallFailed(BackEndCall* call, CallFailure loss) = 0;
  };

  struct Options {
    // The request may be written again where a kept connection turns out
    // closed.
    bool retryable = false;
    // How long a kept connection may have been idle.
    Duration max_idle = std::chrono::seconds(4);
    // A call of the daemon's own, not the caller's request: success needs no
    // mark of the back end, and a refusal without one says that it is full.
    bool internal_call = false;
    // Until the head of the answer.
    Duration head_timeout{};
    // Between parts of the answer.
    Duration idle_timeout{};
  };

  BackEndCall(const RelayDeps& deps, const BackEndEntry& back_end,
              const WorkSize& size, const RequestId& id, Handler* owner);
  ~BackEndCall() override;

  void Start(HttpRequest request, const Options& options);
  // What the call says of its back end if it is destroyed now; else nothing.
  void Cancel(CallOutcome verdict);

  const BackEndEntry& back_end() const { return back_end_; }
  Endpoint address() const { return {back_end_.ip, back_end_.port}; }
  bool response_started() const { return response_started_; }
  MonoTime started() const { return started_; }
  void Pause(bool pause) {
    if (call_ != nullptr) call_->Pause(pause);
  }

  // HttpCallHandler:
  void OnHead(int status, const HttpHeaders& headers) override;
  void OnBody(std::string_view data) override;
  void OnDone() override;
  void OnFailed(HttpFailure failure, bool sent) override;

 private:
  void ReportOutcome(CallOutcome verdict);
  void Fail(CallFailure loss, CallOutcome verdict);

  const RelayDeps& deps_;
  const BackEndEntry back_end_;
  const WorkSize size_;
  const RequestId id_;
  Handler* const handler_;
  bool internal_call_ = false;
  bool counted_ = false;
  bool response_started_ = false;
  bool not_executed_ = false;  // the answer under way is such a refusal
  int refusal_status_ = 0;
  MonoTime started_{};
  std::unique_ptr<HttpCall> call_;
};

}  // namespace mimosa

#endif  // SERVING_BACK_END_CALL_H_
