// Rate and burst over all VMs, with routers killed, frozen past their terms,
// cut from the platform and replaced (promise 6 of docs/PROOFS.md).
#include <catch2/catch.hpp>
#include <chrono>
#include <cstdint>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

#include "tests/harness.h"

namespace mimosa::testing {
namespace {

using SteadyClock = std::chrono::steady_clock;

constexpr int64_t kRate = 40;
constexpr int64_t kBurst = 60;
constexpr int kRouters = 8;

struct Admitted {
  SteadyClock::time_point sent;
  SteadyClock::time_point answered;
};

double Between(SteadyClock::time_point a, SteadyClock::time_point b) {
  return std::chrono::duration<double>(b - a).count();
}

// Calls of one token each, many times the customer's rate.
class Flood {
 public:
  explicit Flood(Deployment* fleet) : fleet_(fleet) {}

  // Calls all `routers`, the first of them most, for so many seconds.
  void Run(double seconds, const std::vector<size_t>& routers) {
    const auto end =
        SteadyClock::now() + std::chrono::duration<double>(seconds);
    for (uint64_t i = 0; SteadyClock::now() < end; ++i) {
      const size_t pick = i % 3 == 0 ? (i / 3) % routers.size() : 0;
      const uint16_t port = fleet_->router(routers[pick]).port();
      const auto sent = SteadyClock::now();
      const Reply reply = Call(port, ServiceRequest("GET", "/lookup/a", ""));
      if (reply.status == 200) {
        admitted_.push_back({sent, SteadyClock::now()});
      } else {
        ++refused_;
      }
    }
  }

  // The admissions that lie wholly in a window are at most burst + rate *
  // window, for each window from one call's sending to another's answer.
  // Calls follow each other, so such a run of calls is a range.
  int64_t WorstExcess() const {
    int64_t worst = -kBurst;
    for (size_t i = 0; i < admitted_.size(); ++i) {
      for (size_t j = i; j < admitted_.size(); ++j) {
        const double window = Between(admitted_[i].sent, admitted_[j].answered);
        const auto allowed =
            kBurst + static_cast<int64_t>(static_cast<double>(kRate) * window);
        worst = std::max(worst, static_cast<int64_t>(j - i + 1) - allowed);
      }
    }
    return worst;
  }

  size_t admitted() const { return admitted_.size(); }
  size_t refused() const { return refused_; }

 private:
  Deployment* const fleet_;
  std::vector<Admitted> admitted_;
  size_t refused_ = 0;
};

DeploymentOptions EightRouters() {
  DeploymentOptions options;
  options.routers = kRouters;
  return options;
}

void LimitCustomers(Deployment* fleet) {
  for (auto& customer : *fleet->catalogue().mutable_customers()) {
    customer.set_rate_tokens_per_second(kRate);
    customer.set_burst_tokens(kBurst);
  }
  fleet->ApplyCatalogue();
}

TEST_CASE("Rate and burst hold while routers die, freeze and are cut off") {
  Deployment fleet(EightRouters());
  LimitCustomers(&fleet);
  std::this_thread::sleep_for(std::chrono::seconds(4));
  Flood flood(&fleet);
  flood.Run(2, {0, 1, 2, 3, 4, 5, 6, 7});
  const size_t calm = flood.admitted();

  fleet.router(7).process().Kill();
  flood.Run(6, {0, 1, 2, 3, 4, 5, 6});
  fleet.router(1).process().Pause();
  fleet.router(2).process().Pause();
  flood.Run(7, {0, 3, 4, 5, 6});
  fleet.router(1).process().Resume();
  flood.Run(1, {1, 0, 3});
  fleet.router(2).process().Resume();
  flood.Run(1, {2, 1, 0});
  fleet.router(7).process().Start();
  fleet.platform().process().Pause();
  flood.Run(6, {0, 1, 2, 3, 4, 5, 6});
  fleet.router(3).process().Kill();
  flood.Run(4, {0, 1, 2, 4, 5, 6});
  fleet.platform().process().Resume();
  flood.Run(4, {0, 1, 2, 4, 5, 6, 7});

  std::cout << "admitted " << flood.admitted() << " (" << calm
            << " before the faults), refused " << flood.refused()
            << ", worst window exceeds its bound by " << flood.WorstExcess()
            << "\n";
  CHECK(flood.WorstExcess() <= 0);
  CHECK(flood.refused() > flood.admitted());
  CHECK(flood.admitted() > calm + kBurst);
}

}  // namespace
}  // namespace mimosa::testing
