// JSON-RPC between daemons over net/http.h.
//
// libjsonrpccpp is used as the codec: BatchCall writes requests, and its
// protocol handler validates them and looks up the procedure. The library's
// servers respond from within the procedure call, which doesn't support
// deferred replies. The handler here therefore only records the calls, and the
// response that the library wrote serves as a template whose "result" is filled
// in once the reply is available.
#include "router/peer_bus.h"

#include <jsonrpccpp/client/batchcall.h>
#include <jsonrpccpp/common/errors.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

#include "base/digest.h"
#include "base/json.h"

namespace mimosa {

const char* PeerStatusName(PeerStatus status) {
  switch (status) {
    case PeerStatus::kOk:
      return "ok";
    case PeerStatus::kNotSent:
      return "not-sent";
    case PeerStatus::kNoReply:
      return "no-reply";
    case PeerStatus::kRefused:
      return "refused";
  }
  return "unknown";
}

namespace {

constexpr char kTarget[] = "/rpc";
constexpr size_t kMaxMessageBytes = 8u << 20;
// Estimated bytes of the start line and of the header fields that net/http
// adds.
constexpr uint64_t kRequestOverheadBytes = 70;
constexpr uint64_t kResponseOverheadBytes = 40;

uint64_t HeaderBytes(const HttpHeaders& headers) {
  uint64_t bytes = 0;
  for (const auto& [name, value] : headers.fields()) {
    bytes += name.size() + value.size() + 4;  // ": " and "\r\n"
  }
  return bytes;
}

struct ByteCounts {
  uint64_t sent = 0;
  uint64_t received = 0;
};

// Collects the responses to all calls of one HTTP request, then sends them.
class BatchResponse {
 public:
  BatchResponse(std::shared_ptr<HttpExchange> exchange, Json::Value responses,
                size_t open_calls, std::shared_ptr<ByteCounts> bytes)
      : exchange_(std::move(exchange)),
        responses_(std::move(responses)),
        open_calls_(open_calls),
        bytes_(std::move(bytes)) {}
  BatchResponse(const BatchResponse&) = delete;
  BatchResponse& operator=(const BatchResponse&) = delete;
  // Aborts the exchange if a reply was dropped, so that the caller gets no
  // response that lacks it.
  ~BatchResponse() {
    if (open_calls_ > 0 && !exchange_->closed()) exchange_->Abort();
  }

  Json::Value& ResponseAt(int index) {
    return responses_.isArray() ? responses_[index] : responses_;
  }
  void OnCallReplied() {
    if (--open_calls_ == 0) Send();
  }
  void Send() {
    HttpResponse response;
    response.status = 200;
    response.headers.Set("Content-Type", "application/json");
    response.body = WriteJson(responses_);
    bytes_->sent += kResponseOverheadBytes + HeaderBytes(response.headers) +
                    response.body.size();
    exchange_->Respond(std::move(response));
  }
  HttpExchange* exchange() { return exchange_.get(); }

 private:
  const std::shared_ptr<HttpExchange> exchange_;
  Json::Value responses_;
  size_t open_calls_;  // calls without a reply
  const std::shared_ptr<ByteCounts> bytes_;
};

class ReplyImpl : public PeerReply {
 public:
  ReplyImpl(std::shared_ptr<BatchResponse> batch, int index)
      : batch_(std::move(batch)), index_(index) {}

  void Reply(const google::protobuf::Message& result) override {
    if (replied_) return;
    replied_ = true;
    batch_->ResponseAt(index_)["result"] = ToJsonValue(result);
    batch_->OnCallReplied();
  }
  void Fail(int code) {
    replied_ = true;
    Json::Value& response = batch_->ResponseAt(index_);
    response.removeMember("result");
    response["error"]["code"] = code;
    response["error"]["message"] = jsonrpc::Errors::GetErrorMessage(code);
    batch_->OnCallReplied();
  }
  bool closed() const override {
    return replied_ || batch_->exchange()->closed();
  }
  void OnCallerDisconnected(std::function<void()> callback) override {
    batch_->exchange()->OnClientDisconnected(std::move(callback));
  }

 private:
  const std::shared_ptr<BatchResponse> batch_;
  const int index_;
  bool replied_ = false;
};

// A call that this daemon makes, from Start() until `done` has run.
class CallImpl : public PeerCall {
 public:
  CallImpl(google::protobuf::Message* result, PeerBus::DoneCallback done,
           std::shared_ptr<ByteCounts> bytes)
      : result_(result), done_(std::move(done)), bytes_(std::move(bytes)) {}

  void Start(LwsLoop* loop, HttpClient* client, const HttpCallOptions& options,
             HttpRequest request, Duration timeout) {
    timer_ = loop->After(timeout, [this] {
      const bool sent = call_ && call_->sent();
      Finish(sent ? PeerStatus::kNoReply : PeerStatus::kNotSent);
    });
    call_ = Fetch(client, options, std::move(request),
                  [this](const HttpResult& result) { OnResult(result); });
  }

 private:
  void OnResult(const HttpResult& result) {
    if (!result.ok) {
      Finish(result.sent ? PeerStatus::kNoReply : PeerStatus::kNotSent);
      return;
    }
    bytes_->received += kResponseOverheadBytes +
                        HeaderBytes(result.response.headers) +
                        result.response.body.size();
    Finish(result.response.status == 200 ? Decode(result.response.body)
                                         : PeerStatus::kRefused);
  }

  PeerStatus Decode(const std::string& body) {
    auto parsed = ParseJson(body);
    if (!parsed || !parsed->isArray() || parsed->size() != 1 ||
        !(*parsed)[0].isObject()) {
      return PeerStatus::kNoReply;
    }
    const Json::Value& response = (*parsed)[0];
    if (response.isMember("error")) return PeerStatus::kRefused;
    return FromJsonValue(response["result"], result_) ? PeerStatus::kOk
                                                      : PeerStatus::kNoReply;
  }

  // Runs `done`, which may destroy this object.
  void Finish(PeerStatus status) {
    timer_.Cancel();
    call_.reset();
    const PeerBus::DoneCallback done = std::move(done_);
    done(status);
  }

  google::protobuf::Message* const result_;
  PeerBus::DoneCallback done_;
  const std::shared_ptr<ByteCounts> bytes_;
  std::unique_ptr<HttpCall> call_;
  TimerHandle timer_;
};

class BusImpl : public HttpPeerBus,
                public HttpHandler,
                public jsonrpc::IProcedureInvokationHandler {
 public:
  BusImpl(LwsLoop* loop, HttpClient* client, const PeerBusOptions& options)
      : loop_(loop),
        client_(client),
        authorization_("Bearer " + options.secret),
        bytes_(std::make_shared<ByteCounts>()),
        protocol_(jsonrpc::RequestHandlerFactory::createProtocolHandler(
            jsonrpc::JSONRPC_SERVER_V2, *this)) {
    HttpServerOptions server;
    server.listen = options.listen;
    server.max_body_bytes = kMaxMessageBytes;
    server_ = MakeHttpServer(loop, server, this);
  }
  BusImpl(const BusImpl&) = delete;
  BusImpl& operator=(const BusImpl&) = delete;

  bool listening() const { return server_ != nullptr; }
  uint16_t port() const override { return server_->port(); }

  void RegisterMethod(const std::string& method,
                      const google::protobuf::Message& prototype,
                      MethodHandler handler) override {
    methods_[method] = {&prototype, std::move(handler)};
    // The procedure declares no parameters, so the library only rejects
    // "params" that are missing or not an object.
    jsonrpc::Procedure procedure;
    procedure.SetProcedureName(method);
    procedure.SetProcedureType(jsonrpc::RPC_METHOD);
    procedure.SetReturnType(jsonrpc::JSON_OBJECT);
    procedure.SetParameterDeclarationType(jsonrpc::PARAMS_BY_NAME);
    protocol_->AddProcedure(procedure);
  }

  std::unique_ptr<PeerCall> Call(const Endpoint& to, const std::string& method,
                                 const google::protobuf::Message& params,
                                 google::protobuf::Message* result,
                                 Duration timeout, DoneCallback done) override {
    jsonrpc::BatchCall batch;
    batch.addCall(method, ToJsonValue(params));
    HttpRequest request;
    request.method = "POST";
    request.target = kTarget;
    request.headers.Set("Content-Type", "application/json");
    request.headers.Set("Authorization", authorization_);
    request.body = batch.toString(true);
    bytes_->sent += kRequestOverheadBytes + HeaderBytes(request.headers) +
                    request.body.size();

    HttpCallOptions options = CallOptionsWithTimeout(to, timeout);
    options.max_response_bytes = kMaxMessageBytes;
    options.reuse_connection = true;
    auto call = std::make_unique<CallImpl>(result, std::move(done), bytes_);
    call->Start(loop_, client_, options, std::move(request), timeout);
    return call;
  }

  uint64_t bytes_sent() const override { return bytes_->sent; }
  uint64_t bytes_received() const override { return bytes_->received; }

  void OnRequest(std::shared_ptr<HttpExchange> exchange) override {
    const HttpRequest& request = exchange->request();
    bytes_->received += kRequestOverheadBytes + HeaderBytes(request.headers) +
                        request.body.size();
    const std::string* authorization = request.headers.Find("Authorization");
    if (authorization == nullptr ||
        !SecretsEqual(*authorization, authorization_)) {
      Refuse(exchange.get(), 401);
    } else if (request.target != kTarget || request.method != "POST") {
      Refuse(exchange.get(), 404);
    } else {
      Dispatch(std::move(exchange));
    }
  }

  // The library calls these two from within Dispatch().
  void HandleMethodCall(jsonrpc::Procedure& procedure, const Json::Value& input,
                        Json::Value& output) override {
    recorded_calls_.push_back({procedure.GetProcedureName(), input});
    output = Json::Value::null;
  }
  void HandleNotificationCall(jsonrpc::Procedure&,
                              const Json::Value&) override {}

 private:
  struct RegisteredMethod {
    const google::protobuf::Message* prototype;
    MethodHandler handler;
  };
  struct RecordedCall {
    std::string method;
    Json::Value params;
  };

  static void Refuse(HttpExchange* exchange, int status) {
    HttpResponse response;
    response.status = status;
    exchange->Respond(std::move(response));
  }

  void Dispatch(std::shared_ptr<HttpExchange> exchange) {
    std::string text;
    recorded_calls_.clear();
    protocol_->HandleRequest(exchange->request().body, text);
    auto responses = ParseJson(text);
    if (!responses) {
      Refuse(exchange.get(), 400);
      return;
    }
    std::vector<RecordedCall> calls;
    calls.swap(recorded_calls_);
    // Indices of the responses that wait for a result.
    std::vector<int> response_indices;
    const Json::ArrayIndex size = responses->isArray() ? responses->size() : 1;
    for (Json::ArrayIndex i = 0; i < size; ++i) {
      const Json::Value& response =
          responses->isArray() ? (*responses)[i] : *responses;
      if (!response.isMember("error"))
        response_indices.push_back(static_cast<int>(i));
    }
    if (response_indices.size() != calls.size()) {
      Refuse(exchange.get(), 400);
      return;
    }
    auto batch = std::make_shared<BatchResponse>(
        std::move(exchange), std::move(*responses), calls.size(), bytes_);
    if (calls.empty()) batch->Send();
    for (size_t i = 0; i < calls.size(); ++i) {
      Run(calls[i], std::make_shared<ReplyImpl>(batch, response_indices[i]));
    }
  }

  void Run(const RecordedCall& call, std::shared_ptr<ReplyImpl> reply) {
    const RegisteredMethod& registered = methods_.at(call.method);
    const std::unique_ptr<google::protobuf::Message> params(
        registered.prototype->New());
    if (!FromJsonValue(call.params, params.get())) {
      reply->Fail(jsonrpc::Errors::ERROR_RPC_INVALID_PARAMS);
      return;
    }
    registered.handler(*params, std::move(reply));
  }

  LwsLoop* const loop_;
  HttpClient* const client_;
  const std::string authorization_;
  const std::shared_ptr<ByteCounts> bytes_;
  std::map<std::string, RegisteredMethod> methods_;
  const std::unique_ptr<jsonrpc::IProtocolHandler> protocol_;
  // Calls of the request that Dispatch() is processing.
  std::vector<RecordedCall> recorded_calls_;
  // The last member, because its destruction ends all exchanges, which use the
  // other members.
  std::unique_ptr<HttpServer> server_;
};

}  // namespace

std::unique_ptr<HttpPeerBus> MakePeerBus(LwsLoop* loop, HttpClient* client,
                                         const PeerBusOptions& options) {
  auto bus = std::make_unique<BusImpl>(loop, client, options);
  if (!bus->listening()) return nullptr;
  return bus;
}

}  // namespace mimosa
