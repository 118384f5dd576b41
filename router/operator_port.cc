// Serves the pages of the operators' port.
#include "router/operator_port.h"

#include <string_view>
#include <utility>

#include "base/digest.h"
#include "base/json.h"

namespace mimosa {
namespace {

// Returns the value of `name` in the query of `target`; empty if it is absent.
std::string QueryValue(const std::string& target, const std::string& name) {
  const size_t query = target.find('?');
  if (query == std::string::npos) return "";
  std::string_view rest = std::string_view(target).substr(query + 1);
  while (!rest.empty()) {
    const std::string_view parameter = rest.substr(0, rest.find('&'));
    rest.remove_prefix(std::min(parameter.size() + 1, rest.size()));
    if (parameter.substr(0, name.size()) == name &&
        parameter.size() > name.size() && parameter[name.size()] == '=')
      return std::string(parameter.substr(name.size() + 1));
  }
  return "";
}

HttpResponse Text(int status, const char* type, std::string body) {
  HttpResponse response;
  response.status = status;
  response.headers.Set("Content-Type", type);
  response.body = std::move(body);
  return response;
}

}  // namespace

OperatorPort::OperatorPort(std::string secret, const MetricsRegistry* metrics,
                           std::function<Json::Value()> status)
    : secret_(std::move(secret)),
      metrics_(metrics),
      status_provider_(std::move(status)) {}

bool OperatorPort::IsAuthorized(const HttpRequest& request) const {
  const std::string* field = request.headers.Find("authorization");
  return field != nullptr && SecretsEqual(*field, "Bearer " + secret_);
}

void OperatorPort::OnRequest(std::shared_ptr<HttpExchange> exchange) {
  const HttpRequest& request = exchange->request();
  if (!IsAuthorized(request)) {
    HttpResponse refusal = Text(401, "text/plain", "not an operator\n");
    refusal.headers.Set("WWW-Authenticate", "Bearer");
    exchange->Respond(std::move(refusal));
    return;
  }
  exchange->Respond(ServePage(request));
}

HttpResponse OperatorPort::ServePage(const HttpRequest& request) const {
  if (request.method != "GET")
    return Text(405, "text/plain", "only GET is served here\n");
  const std::string path = request.target.substr(0, request.target.find('?'));
  if (path == "/status")
    return Text(200, "application/json", WriteJson(status_provider_()) + "\n");
  if (path != "/metrics") return Text(404, "text/plain", "no such page\n");
  const bool full = QueryValue(request.target, "detail") == "full";
  return Text(
      200, "text/plain; version=0.0.4",
      metrics_->Render(full ? MetricsDetail::kFull : MetricsDetail::kSummary,
                       QueryValue(request.target, "customer")));
}

}  // namespace mimosa
