// JSON-RPC between the daemons over net/http.h.
//
// libjsonrpccpp gives the codec: BatchCall writes requests, its protocol
// handler checks them and finds the procedure. Its servers answer from within
// the call, which doesn't fit replies that are held; so the handler here only
// notes what was called, and the response that the library wrote is kept as a
// form whose "result" is filled in when the reply comes.
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
// Start line and the fields that net/http adds to ours.
constexpr uint64_t kRequestFraming = 70;
constexpr uint64_t kResponseFraming = 40;

uint64_t HeadBytes(const HttpHeaders& headers) {
  uint64_t bytes = 0;
  for (const auto& [name, value] : headers.fields()) {
    bytes += name.size() + value.size() + 4;  // ": " and the line's end
  }
  return bytes;
}

struct ByteCounts {
  uint64_t sent = 0;
  uint64_t received = 0;
};

// The answer to one HTTP request: all its calls' responses, then Respond().
class BatchAnswer {
 public:
  BatchAnswer(std::shared_ptr<HttpExchange> exchange, Json::Value responses,
              size_t open, std::shared_ptr<ByteCounts> bytes)
      : exchange_(std::move(exchange)),
        responses_(std::move(responses)),
        open_(open),
        bytes_(std::move(bytes)) {}
  BatchAnswer(const BatchAnswer&) = delete;
  BatchAnswer& operator=(const BatchAnswer&) = delete;
  // A call whose reply was dropped: the caller must not take it for answered.
  ~BatchAnswer() {
    if (open_ > 0 && !exchange_->over()) exchange_->Abort();
  }

  Json::Value& At(int index) {
    return responses_.isArray() ? responses_[index] : responses_;
  }
  void CloseOne() {
    if (--open_ == 0) Send();
  }
  void Send() {
    HttpResponse response;
    response.status = 200;
    response.headers.Set("Content-Type", "application/json");
    response.body = WriteJson(responses_);
    bytes_->sent +=
        kResponseFraming + HeadBytes(response.headers) + response.body.size();
    exchange_->Respond(std::move(response));
  }
  HttpExchange* exchange() { return exchange_.get(); }

 private:
  const std::shared_ptr<HttpExchange> exchange_;
  Json::Value responses_;
  size_t open_;  // calls without a response
  const std::shared_ptr<ByteCounts> bytes_;
};

class ReplyImpl : public PeerReply {
 public:
  ReplyImpl(std::shared_ptr<BatchAnswer> answer, int index)
      : answer_(std::move(answer)), index_(index) {}

  void Reply(const google::protobuf::Message& result) override {
    if (replied_) return;
    replied_ = true;
    answer_->At(index_)["result"] = ToJsonValue(result);
    answer_->CloseOne();
  }
  void Fail(int code) {
    replied_ = true;
    Json::Value& response = answer_->At(index_);
    response.removeMember("result");
    response["error"]["code"] = code;
    response["error"]["message"] = jsonrpc::Errors::GetErrorMessage(code);
    answer_->CloseOne();
  }
  bool closed() const override {
    return replied_ || answer_->exchange()->over();
  }
  void OnCallerDisconnected(std::function<void()> callback) override {
    answer_->exchange()->OnClientGone(std::move(callback));
  }

 private:
  const std::shared_ptr<BatchAnswer> answer_;
  const int index_;
  bool replied_ = false;
};

// One call of ours, from Start to done.
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
    bytes_->received += kResponseFraming + HeadBytes(result.response.headers) +
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

  // Runs `done`, which may destroy this call.
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
                      MethodHandler serve) override {
    served_[method] = {&prototype, std::move(serve)};
    // One parameter that is always there: the library refuses "params" that
    // are missing or no object, and looks no further.
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
    bytes_->sent +=
        kRequestFraming + HeadBytes(request.headers) + request.body.size();

    HttpCallOptions options = CallWithin(to, timeout);
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
    bytes_->received +=
        kRequestFraming + HeadBytes(request.headers) + request.body.size();
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

  // The library calls these from within Dispatch().
  void HandleMethodCall(jsonrpc::Procedure& procedure, const Json::Value& input,
                        Json::Value& output) override {
    noted_.push_back({procedure.GetProcedureName(), input});
    output = Json::Value::null;
  }
  void HandleNotificationCall(jsonrpc::Procedure&,
                              const Json::Value&) override {}

 private:
  struct Served {
    const google::protobuf::Message* prototype;
    MethodHandler serve;
  };
  struct Noted {
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
    noted_.clear();
    protocol_->HandleRequest(exchange->request().body, text);
    auto responses = ParseJson(text);
    if (!responses) {
      Refuse(exchange.get(), 400);
      return;
    }
    std::vector<Noted> calls;
    calls.swap(noted_);
    std::vector<int> places;  // of the responses that wait for a result
    const Json::ArrayIndex size = responses->isArray() ? responses->size() : 1;
    for (Json::ArrayIndex i = 0; i < size; ++i) {
      const Json::Value& response =
          responses->isArray() ? (*responses)[i] : *responses;
      if (!response.isMember("error")) places.push_back(static_cast<int>(i));
    }
    if (places.size() != calls.size()) {
      Refuse(exchange.get(), 400);
      return;
    }
    auto answer = std::make_shared<BatchAnswer>(
        std::move(exchange), std::move(*responses), calls.size(), bytes_);
    if (calls.empty()) answer->Send();
    for (size_t i = 0; i < calls.size(); ++i) {
      Run(calls[i], std::make_shared<ReplyImpl>(answer, places[i]));
    }
  }

  void Run(const Noted& call, std::shared_ptr<ReplyImpl> reply) {
    const Served& served = served_.at(call.method);
    const std::unique_ptr<google::protobuf::Message> params(
        served.prototype->New());
    if (!FromJsonValue(call.params, params.get())) {
      reply->Fail(jsonrpc::Errors::ERROR_RPC_INVALID_PARAMS);
      return;
    }
    served.serve(*params, std::move(reply));
  }

  LwsLoop* const loop_;
  HttpClient* const client_;
  const std::string authorization_;
  const std::shared_ptr<ByteCounts> bytes_;
  std::map<std::string, Served> served_;
  const std::unique_ptr<jsonrpc::IProtocolHandler> protocol_;
  std::vector<Noted> noted_;            // calls of the request being dispatched
  std::unique_ptr<HttpServer> server_;  // last: its end ends all exchanges
};

}  // namespace

std::unique_ptr<HttpPeerBus> MakePeerBus(LwsLoop* loop, HttpClient* client,
                                         const PeerBusOptions& options) {
  auto bus = std::make_unique<BusImpl>(loop, client, options);
  if (!bus->listening()) return nullptr;
  return bus;
}

}  // namespace mimosa
