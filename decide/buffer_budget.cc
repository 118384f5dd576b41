// Shares of the limit, and the order of the victims.
#include "decide/buffer_budget.h"

#include <algorithm>

#include "base/saturated_cast.h"

namespace mimosa {
namespace {

// Requests are refused above this share of the limit. The rest is left for what
// the admitted requests still receive.
constexpr double kAdmissionShare = 0.75;
// Share of the limit that responses may fill under back pressure. The rest is
// left for request bodies.
constexpr double kResponseShare = 0.5;

size_t ShareOf(size_t bytes, double share) {
  return SaturatedCast<size_t>(static_cast<double>(bytes) * share);
}

}  // namespace

bool BufferBudget::MayAdmit(size_t held_bytes, size_t bytes) const {
  return options_.limit_bytes == 0 ||
         held_bytes + bytes <= ShareOf(options_.limit_bytes, kAdmissionShare);
}

size_t BufferBudget::ResponseLimit(size_t responses, size_t max_bytes) const {
  if (options_.limit_bytes == 0 || responses == 0) return max_bytes;
  return std::clamp(ShareOf(options_.limit_bytes, kResponseShare) / responses,
                    kMinResponseBytes, max_bytes);
}

bool BufferBudget::IsResponseShareFull(size_t unsent_bytes) const {
  return options_.limit_bytes != 0 &&
         unsent_bytes >= ShareOf(options_.limit_bytes, kResponseShare);
}

std::vector<uint64_t> BufferBudget::ChooseVictims(
    std::vector<Response> responses, size_t held_bytes, MonoTime now) const {
  std::vector<uint64_t> victims;
  if (options_.limit_bytes == 0) return victims;
  std::sort(responses.begin(), responses.end(),
            [](const Response& a, const Response& b) {
              return a.last_progress < b.last_progress;
            });
  for (const Response& response : responses) {
    if (held_bytes <= options_.limit_bytes ||
        now - response.last_progress < options_.stall_time)
      break;
    if (response.unsent_bytes == 0) continue;
    victims.push_back(response.request);
    held_bytes -= std::min(held_bytes, response.unsent_bytes);
  }
  return victims;
}

}  // namespace mimosa
