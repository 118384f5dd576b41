// Filters response headers and applies back pressure.
#include "router/flow_control.h"

#include <algorithm>
#include <charconv>
#include <string_view>

namespace mimosa {
namespace {

constexpr std::string_view kOwnHeaderPrefix = "mimosa-";

}  // namespace

HttpHeaders ForwardedResponseHeaders(const HttpHeaders& headers) {
  HttpHeaders forwarded;
  for (const auto& [name, value] : headers.fields()) {
    std::string lower = name;
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    if (lower != "content-length" && lower.rfind(kOwnHeaderPrefix, 0) != 0)
      forwarded.Add(name, value);
  }
  return forwarded;
}

int64_t ParseContentLength(const std::string& text) {
  int64_t length = -1;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), length);
  const bool parsed_all =
      error == std::errc() && end == text.data() + text.size();
  return parsed_all && length >= 0 ? length : -1;
}

FlowControl::FlowControl(HttpExchange* downstream, HttpCall* upstream)
    : downstream_(downstream),
      upstream_(upstream),
      alive_(std::make_shared<bool>(true)) {
  downstream_->OnDrained([this, alive = alive_] {
    if (!*alive || !upstream_paused_) return;
    upstream_paused_ = false;
    upstream_->Pause(false);
  });
}

FlowControl::~FlowControl() { *alive_ = false; }

void FlowControl::PauseIfBacklogged() {
  if (upstream_paused_ || downstream_->UnsentBytes() <= kHighWaterBytes) return;
  upstream_paused_ = true;
  upstream_->Pause(true);
}

}  // namespace mimosa
