// The first come, first served queue and the fair queue.
#include "decide/request_queue.h"

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>

namespace mimosa {
namespace {

class FifoQueue : public RequestQueue {
 public:
  void Push(QueuedRequest request) override {
    units_ += request.units;
    waiting_.push_back(std::move(request));
  }

  const QueuedRequest* Front() const override {
    return waiting_.empty() ? nullptr : &waiting_.front();
  }

  QueuedRequest PopFront() override {
    QueuedRequest front = std::move(waiting_.front());
    waiting_.pop_front();
    units_ -= front.units;
    return front;
  }

  bool Remove(const RequestId& request) override {
    auto it = Find(request);
    if (it == waiting_.end()) return false;
    units_ -= it->units;
    waiting_.erase(it);
    return true;
  }

  bool Contains(const RequestId& request) const override {
    return Find(request) != waiting_.end();
  }

  size_t size() const override { return waiting_.size(); }

  void AdvanceTime(MonoTime /*now*/) override {}

  Units UnitsAhead(const QueuedRequest& /*request*/) const override {
    return units_;
  }

  std::vector<QueuedRequest> RemoveExpired(MonoTime now) override {
    std::vector<QueuedRequest> expired;
    std::deque<QueuedRequest> kept;
    for (QueuedRequest& request : waiting_) {
      if (request.start_by >= now) {
        kept.push_back(std::move(request));
        continue;
      }
      units_ -= request.units;
      expired.push_back(std::move(request));
    }
    waiting_ = std::move(kept);
    return expired;
  }

 private:
  std::deque<QueuedRequest>::const_iterator Find(const RequestId& id) const {
    return std::find_if(
        waiting_.begin(), waiting_.end(),
        [&id](const QueuedRequest& r) { return r.request == id; });
  }

  std::deque<QueuedRequest> waiting_;
  Units units_;  // sum over waiting_
};

// Virtual time per token for a customer with a rate of one token per second.
constexpr int64_t kVirtualTimeScale = 1000000;

// Start-time fair queueing. Each customer has a virtual time: the tokens it was
// served divided by its rate, on a scale shared by all customers. Its start tag
// is its virtual time minus the slack, and never decreases. The waiting
// customer with the lowest start tag is served next. A customer that becomes
// active again starts no earlier than at the tag of the customer served last,
// so being idle earns no credit.
class FairQueue : public RequestQueue {
 public:
  explicit FairQueue(Tokens slack) : slack_(slack) {}

  void Push(QueuedRequest request) override {
    Customer& customer = customers_[request.customer];
    if (customer.idle()) {
      customer.start_tag = std::max(StartTagOf(customer), virtual_now_);
    }
    customer.rate = request.rate;
    const int band = BandOf(request);
    const Key key{request.target_start, request.start_by, next_serial_++};
    Insert(band, key, std::move(request));
  }

  const QueuedRequest* Front() const override {
    if (index_.empty()) return nullptr;
    const int band = NextBand();
    const CustomerId& id = active_[band].begin()->second;
    return &customers_.at(id).waiting[band].begin()->second;
  }

  QueuedRequest PopFront() override {
    const int band = NextBand();
    const CustomerId id = active_[band].begin()->second;
    Customer& customer = customers_.at(id);
    virtual_now_ = std::max(virtual_now_, customer.start_tag);
    const bool patient_waits = !active_[kPatient].empty();
    prompt_streak_ = band == kPrompt && patient_waits ? prompt_streak_ + 1 : 0;
    QueuedRequest front =
        ExtractAndPrune(customer.waiting[band].begin()->second);
    ChargeCustomer(id, front);
    return front;
  }

  bool Remove(const RequestId& request) override {
    auto it = index_.find(request);
    if (it == index_.end()) return false;
    const Location& location = it->second;
    ExtractAndPrune(customers_.at(location.customer)
                        .waiting[location.band]
                        .at(location.key));
    return true;
  }

  bool Contains(const RequestId& request) const override {
    return index_.count(request) > 0;
  }

  size_t size() const override { return index_.size(); }

  // While this customer's own earlier requests and this one are served, each
  // other customer gets a share according to its rate, but no more than it
  // waits for. The other class adds the units that its precedence gives it.
  Units UnitsAhead(const QueuedRequest& request) const override {
    const int band = BandOf(request);
    const Units own = OwnUnitsAhead(request);
    const Units share = own + request.units;
    Units ahead = own;
    for (const auto& [start_tag, id] : active_[band]) {
      if (id == request.customer) continue;
      const Customer& other = customers_.at(id);
      const Units by_rate(share.count() * other.rate.count() /
                          request.rate.count());
      ahead += std::min(other.units[band], by_rate);
    }
    return ahead + OtherBandsAhead(band, ahead);
  }

  void AdvanceTime(MonoTime now) override {
    for (const Band band : {kPrompt, kPatient}) {
      while (!by_target_start_[band].empty() &&
             by_target_start_[band].begin()->first < now) {
        MoveToLate(by_target_start_[band].begin()->second);
      }
    }
  }

  std::vector<QueuedRequest> RemoveExpired(MonoTime now) override {
    std::vector<RequestId> expired_ids;
    for (const auto& [id, location] : index_) {
      if (location.key.start_by < now) expired_ids.push_back(id);
    }
    std::sort(expired_ids.begin(), expired_ids.end());
    std::vector<QueuedRequest> expired;
    for (const RequestId& id : expired_ids) {
      const Location& location = index_.at(id);
      expired.push_back(ExtractAndPrune(customers_.at(location.customer)
                                            .waiting[location.band]
                                            .at(location.key)));
    }
    return expired;
  }

 private:
  enum Band { kPrompt = 0, kPatient = 1, kLate = 2, kBands = 3 };

  // Orders by earliest target, then earliest deadline, then arrival.
  struct Key {
    MonoTime target;
    MonoTime start_by;
    uint64_t serial;
    friend bool operator<(const Key& a, const Key& b) {
      return std::tie(a.target, a.start_by, a.serial) <
             std::tie(b.target, b.start_by, b.serial);
    }
  };

  struct Customer {
    int64_t virtual_time = 0;
    int64_t start_tag = 0;  // key in active_ while any request waits
    Tokens rate{1};         // as of the latest request
    std::array<std::map<Key, QueuedRequest>, kBands> waiting;
    std::array<Units, kBands> units;  // sums over `waiting`
    bool idle() const {
      return waiting[kPrompt].empty() && waiting[kPatient].empty() &&
             waiting[kLate].empty();
    }
  };

  struct Location {
    CustomerId customer;
    int band;
    Key key;
  };

  static int BandOf(const QueuedRequest& request) {
    return request.patient ? kPatient : kPrompt;
  }

  int NextBand() const {
    const bool prompt_waits = !active_[kPrompt].empty();
    const bool patient_waits = !active_[kPatient].empty();
    if (!prompt_waits) return patient_waits ? kPatient : kLate;
    if (!patient_waits) return kPrompt;
    return prompt_streak_ < kMaxPromptStreak ? kPrompt : kPatient;
  }

  void Insert(int band, const Key& key, QueuedRequest request) {
    Customer& customer = customers_.at(request.customer);
    index_[request.request] = Location{request.customer, band, key};
    if (customer.waiting[band].empty()) {
      active_[band].insert({customer.start_tag, request.customer});
    }
    customer.units[band] += request.units;
    by_target_start_[band].insert({request.target_start, request.request});
    customer.waiting[band].emplace(key, std::move(request));
  }

  // Keeps the customer's entry, even if no request of it waits any more.
  QueuedRequest Extract(const RequestId& id) {
    const Location location = index_.at(id);
    Customer& customer = customers_.at(location.customer);
    auto it = customer.waiting[location.band].find(location.key);
    QueuedRequest request = std::move(it->second);
    customer.waiting[location.band].erase(it);
    customer.units[location.band] -= request.units;
    by_target_start_[location.band].erase(
        {request.target_start, request.request});
    if (customer.waiting[location.band].empty()) {
      active_[location.band].erase({customer.start_tag, location.customer});
    }
    index_.erase(request.request);
    return request;
  }

  QueuedRequest ExtractAndPrune(const QueuedRequest& queued) {
    QueuedRequest request = Extract(RequestId(queued.request));
    EraseIfIdle(request.customer);
    return request;
  }

  void MoveToLate(const RequestId& id) {
    const Key key = index_.at(id).key;
    Insert(kLate, key, Extract(id));
  }

  // Advances the customer's virtual time by the cost of the served request.
  void ChargeCustomer(const CustomerId& id, const QueuedRequest& served) {
    Customer& customer = customers_[id];
    const int64_t old_start_tag = customer.start_tag;
    customer.rate = served.rate;
    customer.virtual_time = std::max(customer.virtual_time, virtual_now_) +
                            VirtualTimeOf(served.cost, served.rate);
    customer.start_tag = std::max(StartTagOf(customer), old_start_tag);
    for (int band = 0; band < kBands; ++band) {
      if (customer.waiting[band].empty()) continue;
      active_[band].erase({old_start_tag, id});
      active_[band].insert({customer.start_tag, id});
    }
  }

  static int64_t VirtualTimeOf(Tokens tokens, Tokens rate) {
    return tokens.count() * kVirtualTimeScale / rate.count();
  }
  int64_t StartTagOf(const Customer& customer) const {
    return customer.virtual_time - VirtualTimeOf(slack_, customer.rate);
  }

  // A customer without waiting requests needs an entry only while its virtual
  // time is ahead of the shared one.
  void EraseIfIdle(const CustomerId& id) {
    auto it = customers_.find(id);
    if (it->second.idle() && it->second.virtual_time <= virtual_now_) {
      customers_.erase(it);
    }
  }

  Units OwnUnitsAhead(const QueuedRequest& request) const {
    Units own;
    auto it = customers_.find(request.customer);
    if (it == customers_.end()) return own;
    for (const auto& [key, other] : it->second.waiting[BandOf(request)]) {
      if (key.target > request.target_start) break;
      own += other.units;
    }
    return own;
  }

  Units UnitsIn(int band) const {
    Units units;
    for (const auto& [start_tag, id] : active_[band]) {
      units += customers_.at(id).units[band];
    }
    return units;
  }

  // A new request is never late, so `band` is not kLate.
  Units OtherBandsAhead(int band, Units ahead) const {
    if (band == kPatient) return UnitsIn(kPrompt);
    return std::min(UnitsIn(kPatient), Units(ahead.count() / kMaxPromptStreak));
  }

  const Tokens slack_;
  std::unordered_map<CustomerId, Customer> customers_;
  // Customers with waiting requests in the band, by start tag.
  std::array<std::set<std::pair<int64_t, CustomerId>>, kBands> active_;
  std::array<std::set<std::pair<MonoTime, RequestId>>, kBands> by_target_start_;
  std::unordered_map<RequestId, Location> index_;
  int64_t virtual_now_ = 0;  // start tag of the customer served last
  // Prompt-class requests served in a row while a patient-class one waits.
  int prompt_streak_ = 0;
  uint64_t next_serial_ = 0;
};

}  // namespace

std::optional<QueueKind> ParseQueueKind(std::string_view name) {
  if (name == "fifo") return QueueKind::kFifo;
  if (name == "fair") return QueueKind::kFair;
  return std::nullopt;
}

std::unique_ptr<RequestQueue> MakeRequestQueue(QueueKind kind, Tokens slack) {
  if (kind == QueueKind::kFifo) return std::make_unique<FifoQueue>();
  return std::make_unique<FairQueue>(slack);
}

}  // namespace mimosa
