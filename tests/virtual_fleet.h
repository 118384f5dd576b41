// A fleet in virtual time. Event loops, peer calls and the platform are fakes
// of the daemon's own interfaces, so that thousands of runs of the real
// FleetManager and FleetLimiter can be simulated per minute. Every VM has its
// own clock with its own drift and can be paused.
#ifndef TESTS_VIRTUAL_FLEET_H_
#define TESTS_VIRTUAL_FLEET_H_

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/kv_store.h"
#include "base/random.h"
#include "net/event_loop.h"
#include "router/peer_bus.h"

namespace mimosa {

// Keeps the real time, which no daemon can read, and the scheduled events.
class VirtualTimeSimulator {
 public:
  MonoTime now() const { return now_; }
  void ScheduleAt(MonoTime when, std::function<void()> action) {
    events_.push({std::max(when, now_), serial_++, std::move(action)});
  }
  void RunUntil(MonoTime end) {
    while (!events_.empty() && events_.top().when <= end) {
      // The queue gives const access only. The cast is safe, because the event
      // is removed next.
      std::function<void()> action =
          std::move(const_cast<Event&>(events_.top()).action);
      now_ = events_.top().when;
      events_.pop();
      action();
      if (event_hook_) event_hook_();
    }
    now_ = end;
  }
  void SetEventHook(std::function<void()> hook) {
    event_hook_ = std::move(hook);
  }

 private:
  struct Event {
    MonoTime when;
    uint64_t serial;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return when != other.when ? when > other.when : serial > other.serial;
    }
  };
  MonoTime now_{std::chrono::hours(1)};
  uint64_t serial_ = 0;
  std::priority_queue<Event> events_;
  std::function<void()> event_hook_;
};

// The event loop of one VM. While the VM is paused its callbacks are deferred;
// once it is killed they never run.
class VirtualLoop : public EventLoop {
 public:
  // The clock runs at 1 + `drift` times the speed of real time.
  VirtualLoop(VirtualTimeSimulator* simulator, Duration offset, double drift)
      : simulator_(simulator),
        offset_(offset),
        drift_(drift),
        start_time_(simulator->now()) {}

  MonoTime Now() const override {
    const auto elapsed =
        static_cast<double>((simulator_->now() - start_time_).count());
    return start_time_ + offset_ +
           Duration(static_cast<int64_t>(elapsed * (1 + drift_)));
  }
  TimerHandle After(Duration delay, std::function<void()> callback) override {
    auto timer = std::make_unique<Timer>();
    const auto real =
        static_cast<int64_t>(static_cast<double>(delay.count()) / (1 + drift_));
    // Rounded up, because a timer that fires early by this clock would be set
    // again in a busy loop.
    RunAt(simulator_->now() + Duration(real + 2),
          [live = timer->live, callback = std::move(callback)] {
            if (*live) callback();
          });
    return TimerHandle(std::move(timer));
  }
  void Post(std::function<void()> callback) override {
    RunAt(simulator_->now(), std::move(callback));
  }
  void Run() override {}
  void Stop() override {}
  void OnSignal(std::function<void()>) override {}

  // Runs `callback` on this loop at real time `when`, or once the VM resumes.
  void RunAt(MonoTime when, std::function<void()> callback) {
    simulator_->ScheduleAt(when,
                           [state = state_, callback = std::move(callback)] {
                             if (state->killed) return;
                             if (state->paused) {
                               state->deferred.push_back(callback);
                             } else {
                               callback();
                             }
                           });
  }
  void Pause() { state_->paused = true; }
  void Resume() {
    state_->paused = false;
    std::vector<std::function<void()>> deferred;
    deferred.swap(state_->deferred);
    for (auto& callback : deferred)
      RunAt(simulator_->now(), std::move(callback));
  }
  void Kill() { state_->killed = true; }
  bool paused() const { return state_->paused; }
  bool killed() const { return state_->killed; }

 private:
  struct Timer : public TimerHandle::Impl {
    ~Timer() override { *live = false; }
    const std::shared_ptr<bool> live = std::make_shared<bool>(true);
  };
  struct State {
    bool paused = false;
    bool killed = false;
    std::vector<std::function<void()>> deferred;
  };

  VirtualTimeSimulator* const simulator_;
  const Duration offset_;
  const double drift_;
  const MonoTime start_time_;
  const std::shared_ptr<State> state_ = std::make_shared<State>();
};

// Injected faults of messages and platform calls. Probabilities are per 1000.
struct InjectedFaults {
  // A message is lost, in each direction.
  uint64_t message_loss = 0;
  // The server receives a request twice.
  uint64_t request_duplication = 0;
  // A message is delayed by up to a few seconds.
  uint64_t long_delay = 0;
  bool platform_down = false;
  // The reply to a platform call is lost after the write took effect.
  uint64_t platform_reply_loss = 0;
};

// A fake of the platform's store.
class VirtualPlatform {
 public:
  VirtualPlatform(VirtualTimeSimulator* simulator, RandomSource* random,
                  InjectedFaults* injected_faults)
      : simulator_(simulator),
        random_(random),
        injected_faults_(injected_faults) {}

  struct Entry {
    std::string value;
    Revision revision;
    std::string lease;
  };

  // Called with each value before it is stored. A mutant may change the value.
  std::function<void(const std::string& key, std::string* value)> on_put;
  std::function<void(const std::string& key)> on_delete;
  std::set<std::string> vms;
  uint64_t calls = 0;

  KvResult Get(const std::string& key);
  KvResult Put(const std::string& key, const std::string& value,
               Revision expect, const std::string& lease);
  KvResult Delete(const std::string& key, Revision expect);
  KvListResult ListChanges(const std::string& prefix, Revision after, bool all);
  KvResult CreateLease(Duration ttl);
  KvResult RenewLease(const std::string& lease);

  VirtualTimeSimulator* simulator() { return simulator_; }
  RandomSource* random() { return random_; }
  InjectedFaults* injected_faults() { return injected_faults_; }

 private:
  void ExpireLeases();
  KvResult Conflict(const std::string& key);

  VirtualTimeSimulator* const simulator_;
  RandomSource* const random_;
  InjectedFaults* const injected_faults_;
  std::map<std::string, Entry> entries_;
  std::map<std::string, Revision> deleted_;
  std::map<std::string, std::pair<MonoTime, Duration>> leases_;
  Revision revision_{1};
  uint64_t next_lease_ = 1;
};

// One daemon's connection to the platform's store.
class VirtualKvStore : public KvStore {
 public:
  VirtualKvStore(VirtualPlatform* platform, VirtualLoop* loop)
      : platform_(platform), loop_(loop) {}

  CallPtr Get(const std::string& key, DoneCallback done) override;
  CallPtr Put(const std::string& key, std::string value, Revision expect,
              const std::string& lease, DoneCallback done) override;
  CallPtr Delete(const std::string& key, Revision expect,
                 DoneCallback done) override;
  CallPtr List(const std::string& prefix, ListDoneCallback done) override;
  CallPtr Watch(const std::string& prefix, Revision after, Duration wait,
                ListDoneCallback done) override;
  CallPtr CreateLease(Duration ttl, DoneCallback done) override;
  CallPtr RenewLease(const std::string& lease, DoneCallback done) override;
  CallPtr EndLease(const std::string& lease, DoneCallback done) override;

 private:
  struct Call : public KvCall {
    ~Call() override { *live = false; }
    const std::shared_ptr<bool> live = std::make_shared<bool>(true);
  };
  template <typename Result>
  CallPtr ScheduleCall(std::function<Result()> operation,
                       std::function<void(Result)> done);
  void PollWatch(const std::shared_ptr<bool>& live, const std::string& prefix,
                 Revision after, MonoTime until, const ListDoneCallback& done);

  VirtualPlatform* const platform_;
  VirtualLoop* const loop_;
};

class VirtualBus;

// The bus at each address, and the pairs of addresses whose messages are lost.
struct VirtualNetwork {
  VirtualTimeSimulator* simulator;
  RandomSource* random;
  InjectedFaults* injected_faults;
  std::map<Endpoint, VirtualBus*> buses;
  std::set<std::pair<Endpoint, Endpoint>> blocked_links;
  // Called with each reply before it is delivered. A mutant may change the
  // reply.
  std::function<void(const std::string& method,
                     google::protobuf::Message* reply)>
      on_reply;
  uint64_t calls = 0;
};

class VirtualBus : public PeerBus {
 public:
  VirtualBus(VirtualNetwork* network, VirtualLoop* loop, Endpoint address)
      : network_(network), loop_(loop), address_(std::move(address)) {
    network_->buses[address_] = this;
  }
  ~VirtualBus() override {
    auto it = network_->buses.find(address_);
    if (it != network_->buses.end() && it->second == this)
      network_->buses.erase(it);
  }

  void RegisterMethod(const std::string& method,
                      const google::protobuf::Message& prototype,
                      MethodHandler handler) override {
    methods_[method] = {&prototype, std::move(handler)};
  }
  std::unique_ptr<PeerCall> Call(const Endpoint& to, const std::string& method,
                                 const google::protobuf::Message& params,
                                 google::protobuf::Message* result,
                                 Duration timeout, DoneCallback done) override;
  uint64_t bytes_sent() const override { return bytes_; }
  uint64_t bytes_received() const override { return 0; }

 private:
  struct Method {
    const google::protobuf::Message* prototype;
    MethodHandler handler;
  };
  // State shared by a call and its messages in flight.
  struct CallState {
    google::protobuf::Message* result = nullptr;
    DoneCallback done;
    TimerHandle timer;
    bool live = true;
  };
  struct CallHandle : public PeerCall {
    ~CallHandle() override { state->live = false; }
    std::shared_ptr<CallState> state = std::make_shared<CallState>();
  };
  class ReplyHandle;

  static void FinishCall(const std::shared_ptr<CallState>& state,
                         PeerStatus status);
  void DeliverRequest(const std::string& method,
                      const std::shared_ptr<google::protobuf::Message>& params,
                      const std::shared_ptr<CallState>& state,
                      VirtualBus* caller);
  Duration RandomDelay();
  bool Chance(uint64_t per_mille) {
    return network_->random->UniformInt(1000) < per_mille;
  }

  VirtualNetwork* const network_;
  VirtualLoop* const loop_;
  const Endpoint address_;
  std::map<std::string, Method> methods_;
  uint64_t bytes_ = 0;
};

}  // namespace mimosa

#endif  // TESTS_VIRTUAL_FLEET_H_
