// Header filtering and back pressure.
#include "router/flow.h"

#include <algorithm>
#include <charconv>
#include <string_view>

namespace mimosa {
namespace {

constexpr std::string_view kOwnFieldPrefix = "mimosa-";

}  // namespace

HttpHeaders AnswerHeaders(const HttpHeaders& headers) {
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

int64_t ParseLength(const std::string& text) {
  int64_t length = -1;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), length);
  const bool whole = error == std::errc() && end == text.data() + text.size();
  return whole && length >= 0 ? length : -1;
}

FlowControl::FlowControl(HttpExchange* to, HttpCall* from)
    : to_(to), from_(from), alive_(std::make_shared<bool>(true)) {
  to_->OnDrained([this, alive = alive_] {
    if (!*alive || !paused_) return;
    paused_ = false;
    from_->Pause(false);
  });
}

FlowControl::~FlowControl() { *alive_ = false; }

void FlowControl::AfterWrite() {
  if (paused_ || to_->UnsentBytes() <= kHighWater) return;
  paused_ = true;
  from_->Pause(true);
}

}  // namespace mimosa
