// Implements Fetch(): an HTTP call that delivers the complete response at once.
#include <memory>
#include <utility>

#include "net/http.h"

namespace mimosa {
namespace {

// Collects the response. Destroying it cancels the underlying call.
class FetchCall : public HttpCall, public HttpCallHandler {
 public:
  explicit FetchCall(std::function<void(HttpResult)> callback)
      : callback_(std::move(callback)) {}

  void Start(HttpClient* client, const HttpCallOptions& options,
             HttpRequest request) {
    call_ = client->Start(options, std::move(request), this);
  }

  bool sent() const override { return call_->sent(); }
  bool has_expected_incarnation() const override {
    return call_->has_expected_incarnation();
  }
  bool reset_after_end() const override { return call_->reset_after_end(); }
  void Pause(bool pause) override { call_->Pause(pause); }
  ConnectionUse connection_use() const override {
    return call_->connection_use();
  }

  void OnHead(int status, const HttpHeaders& headers) override {
    result_.response.status = status;
    result_.response.headers = headers;
    result_.response.headers.Remove("Content-Length");
  }

  void OnBody(std::string_view data) override {
    result_.response.body.append(data);
  }

  void OnDone(ResponseEnd /*end*/) override {
    result_.ok = true;
    Finish();
  }

  void OnFailed(HttpFailure failure, bool sent) override {
    result_ = HttpResult();
    result_.failure = failure;
    result_.sent = sent;
    Finish();
  }

 private:
  // Runs the callback. The callback may destroy this call, so no member may be
  // accessed afterwards.
  void Finish() {
    const auto callback = std::move(callback_);
    HttpResult result = std::move(result_);
    callback(std::move(result));
  }

  std::function<void(HttpResult)> callback_;
  HttpResult result_;
  std::unique_ptr<HttpCall> call_;
};

}  // namespace

std::unique_ptr<HttpCall> Fetch(HttpClient* client,
                                const HttpCallOptions& options,
                                HttpRequest request,
                                std::function<void(HttpResult)> callback) {
  auto call = std::make_unique<FetchCall>(std::move(callback));
  call->Start(client, options, std::move(request));
  return call;
}

}  // namespace mimosa
