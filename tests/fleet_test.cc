// Checks rate and burst over all VMs while routers are killed, paused for
// longer than their leases, cut off from the platform and replaced (promise 6
// of docs/PROOFS.md).
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
constexpr int kRouterCount = 8;

struct Admitted {
  SteadyClock::time_point sent;
  SteadyClock::time_point replied;
};

double SecondsBetween(SteadyClock::time_point a, SteadyClock::time_point b) {
  return std::chrono::duration<double>(b - a).count();
}

// Sends calls of one token each at many times the customer's rate.
class Flood {
 public:
  explicit Flood(Deployment* fleet) : fleet_(fleet) {}

  // Calls all `routers`, the first one most often, for `seconds`.
  void SendCalls(double seconds, const std::vector<size_t>& routers) {
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

  // Returns by how much the worst window exceeds its bound. For each window
  // from the sending of one call to the reply of another, the admissions that
  // lie completely in it may be at most burst + rate * window. The calls are
  // sequential, so those in a window form a range.
  int64_t WorstExcess() const {
    int64_t worst = -kBurst;
    for (size_t i = 0; i < admitted_.size(); ++i) {
      for (size_t j = i; j < admitted_.size(); ++j) {
        const double window =
            SecondsBetween(admitted_[i].sent, admitted_[j].replied);
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

DeploymentOptions MakeOptions() {
  DeploymentOptions options;
  options.routers = kRouterCount;
  return options;
}

void LimitCustomers(Deployment* fleet) {
  for (auto& customer : *fleet->catalogue().mutable_customers()) {
    customer.set_rate_tokens_per_second(kRate);
    customer.set_burst_tokens(kBurst);
  }
  fleet->ApplyCatalogue();
}

TEST_CASE("Rate and burst hold while routers are killed, paused and cut off") {
  Deployment fleet(MakeOptions());
  LimitCustomers(&fleet);
  std::this_thread::sleep_for(std::chrono::seconds(4));
  Flood flood(&fleet);
  flood.SendCalls(2, {0, 1, 2, 3, 4, 5, 6, 7});
  const size_t admitted_before_faults = flood.admitted();

  fleet.router(7).process().Kill();
  flood.SendCalls(6, {0, 1, 2, 3, 4, 5, 6});
  fleet.router(1).process().Pause();
  fleet.router(2).process().Pause();
  flood.SendCalls(7, {0, 3, 4, 5, 6});
  fleet.router(1).process().Resume();
  flood.SendCalls(1, {1, 0, 3});
  fleet.router(2).process().Resume();
  flood.SendCalls(1, {2, 1, 0});
  fleet.router(7).process().Start();
  fleet.platform().process().Pause();
  flood.SendCalls(6, {0, 1, 2, 3, 4, 5, 6});
  fleet.router(3).process().Kill();
  flood.SendCalls(4, {0, 1, 2, 4, 5, 6});
  fleet.platform().process().Resume();
  flood.SendCalls(4, {0, 1, 2, 4, 5, 6, 7});

  std::cout << "admitted " << flood.admitted() << " (" << admitted_before_faults
            << " before the faults), refused " << flood.refused()
            << ", worst window exceeds its bound by " << flood.WorstExcess()
            << "\n";
  CHECK(flood.WorstExcess() <= 0);
  CHECK(flood.refused() > flood.admitted());
  CHECK(flood.admitted() > admitted_before_faults + kBurst);
}

}  // namespace
}  // namespace mimosa::testing
