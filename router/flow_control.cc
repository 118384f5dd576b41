// Header filtering and back pressure.
#include "router/flow_control.h"

#include <algorithm>
#include <charconv>
#include <string_view>

namespace mimosa {
namespace {

constexpr std::string_view kOwnFieldPrefix = "mimosa-";

}  // namespace

HttpHeaders ForwardedResponseHeaders(const HttpHeaders& headers) {
  HttpHeaders kept;
  for (const auto& [name, value] : headers.fields()) {
    std::string lower = name;
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    if (lower != "content-length" && lower.rfind(kOwnFieldPrefix, 0) != 0)
      kept.Add(name, value);
  }
  return kept;
}

int64_t ParseContentLength(const std::string& text) {
  int64_t length = -1;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), length);
  const bool whole = error == std::errc() && end == text.data() + text.size();
  return whole && length >= 0 ? length : -1;
}

FlowControl::FlowControl(HttpExchange* to, HttpCall* from)
    : downstream_(to), upstream_(from), alive_(std::make_shared<bool>(true)) {
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
