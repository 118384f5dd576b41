// Serves the operators' port: metrics and status.
//
//   GET /metrics[?detail=full][&customer=ID]  text exposition format
//   GET /status                               JSON, see DaemonImpl::Status in
//                                             daemon.cc
//
// Both need `Authorization: Bearer <operator secret>`. Any other request is
// refused with 401 before its path is looked at.
#ifndef ROUTER_OPERATOR_PORT_H_
#define ROUTER_OPERATOR_PORT_H_

#include <json/value.h>

#include <functional>
#include <memory>
#include <string>

#include "base/metrics.h"
#include "net/http.h"

namespace mimosa {

class OperatorPort : public HttpHandler {
 public:
  OperatorPort(std::string secret, const MetricsRegistry* metrics,
               std::function<Json::Value()> status);

  void OnRequest(std::shared_ptr<HttpExchange> exchange) override;

 private:
  bool IsAuthorized(const HttpRequest& request) const;
  HttpResponse ServePage(const HttpRequest& request) const;

  const std::string secret_;
  const MetricsRegistry* const metrics_;
  const std::function<Json::Value()> status_provider_;
};

}  // namespace mimosa

#endif  // ROUTER_OPERATOR_PORT_H_
