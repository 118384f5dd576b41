// Implements the platform and the network of the virtual fleet and injects
// their faults.
#include "tests/virtual_fleet.h"

#include <algorithm>

#include "router/leaving_vm_tracker.h"

namespace mimosa {
namespace {

constexpr Duration kWatchPollInterval = std::chrono::milliseconds(20);

Duration PlatformDelay(RandomSource* random) {
  return Duration(500 + random->UniformInt(4000));
}

}  // namespace

// --- Platform ----------------------------------------------------------------

void VirtualPlatform::ExpireLeases() {
  for (auto it = leases_.begin(); it != leases_.end();) {
    if (simulator_->now() < it->second.first) {
      ++it;
      continue;
    }
    for (auto entry = entries_.begin(); entry != entries_.end();) {
      if (entry->second.lease != it->first) {
        ++entry;
        continue;
      }
      revision_ += Revision(1);
      deleted_[entry->first] = revision_;
      if (on_delete) on_delete(entry->first);
      entry = entries_.erase(entry);
    }
    it = leases_.erase(it);
  }
}

KvResult VirtualPlatform::Get(const std::string& key) {
  ExpireLeases();
  auto it = entries_.find(key);
  if (it == entries_.end()) return {KvStatus::kNotFound, {}};
  return {KvStatus::kOk, {key, it->second.value, it->second.revision}};
}

KvResult VirtualPlatform::Conflict(const std::string& key) {
  KvResult result = Get(key);
  result.status = KvStatus::kConflict;
  return result;
}

KvResult VirtualPlatform::Put(const std::string& key, const std::string& value,
                              Revision expect, const std::string& lease) {
  ExpireLeases();
  auto it = entries_.find(key);
  const Revision current =
      it == entries_.end() ? Revision() : it->second.revision;
  if (current != expect) return Conflict(key);
  if (!lease.empty() && leases_.count(lease) == 0) {
    return {KvStatus::kNotFound, {}};
  }
  std::string stored = value;
  if (on_put) on_put(key, &stored);
  revision_ += Revision(1);
  entries_[key] = {stored, revision_, lease};
  deleted_.erase(key);
  return {KvStatus::kOk, {key, stored, revision_}};
}

KvResult VirtualPlatform::Delete(const std::string& key, Revision expect) {
  ExpireLeases();
  auto it = entries_.find(key);
  if (it == entries_.end()) return {KvStatus::kNotFound, {}};
  if (it->second.revision != expect) return Conflict(key);
  revision_ += Revision(1);
  deleted_[key] = revision_;
  entries_.erase(it);
  if (on_delete) on_delete(key);
  return {KvStatus::kOk, {key, "", revision_}};
}

KvListResult VirtualPlatform::ListChanges(const std::string& prefix,
                                          Revision after, bool all) {
  ExpireLeases();
  KvListResult result;
  result.status = KvStatus::kOk;
  result.revision = revision_;
  for (const auto& [key, entry] : entries_) {
    if (key.compare(0, prefix.size(), prefix) != 0) continue;
    if (!all && entry.revision <= after) continue;
    result.records.push_back({key, entry.value, entry.revision});
  }
  for (const auto& [key, revision] : deleted_) {
    if (all || revision <= after) continue;
    if (key.compare(0, prefix.size(), prefix) == 0) {
      result.deleted.push_back(key);
    }
  }
  return result;
}

KvResult VirtualPlatform::CreateLease(Duration ttl) {
  const std::string lease = std::to_string(next_lease_++);
  leases_[lease] = {simulator_->now() + ttl, ttl};
  return {KvStatus::kOk, {"", lease, {}}};
}

KvResult VirtualPlatform::RenewLease(const std::string& lease) {
  ExpireLeases();
  auto it = leases_.find(lease);
  if (it == leases_.end()) return {KvStatus::kNotFound, {}};
  it->second.first = simulator_->now() + it->second.second;
  return {KvStatus::kOk, {"", lease, {}}};
}

// --- A daemon's calls to the platform ----------------------------------------

template <typename Result>
KvStore::CallPtr VirtualKvStore::ScheduleCall(
    std::function<Result()> operation, std::function<void(Result)> done) {
  ++platform_->calls;
  auto call = std::make_unique<Call>();
  VirtualTimeSimulator* simulator = platform_->simulator();
  const Duration request_delay = PlatformDelay(platform_->random());
  const Duration reply_delay = PlatformDelay(platform_->random());
  const bool lost = platform_->random()->UniformInt(1000) <
                    platform_->injected_faults()->platform_reply_loss;
  simulator->ScheduleAt(simulator->now() + request_delay,
                        [this, simulator, reply_delay, lost, live = call->live,
                         operation = std::move(operation), done, loop = loop_] {
                          Result result;
                          Duration delay = reply_delay;
                          if (platform_->injected_faults()->platform_down) {
                            result.status = KvStatus::kUnavailable;
                          } else {
                            result = operation();
                            if (lost) {
                              result = Result();
                              result.status = KvStatus::kNoReply;
                              delay = std::chrono::milliseconds(300);
                            }
                          }
                          loop->RunAt(simulator->now() + delay,
                                      [live, done, result] {
                                        if (*live) done(result);
                                      });
                        });
  return call;
}

KvStore::CallPtr VirtualKvStore::Get(const std::string& key,
                                     DoneCallback done) {
  return ScheduleCall<KvResult>([this, key] { return platform_->Get(key); },
                                std::move(done));
}
KvStore::CallPtr VirtualKvStore::Put(const std::string& key, std::string value,
                                     Revision expect, const std::string& lease,
                                     DoneCallback done) {
  return ScheduleCall<KvResult>(
      [=] { return platform_->Put(key, value, expect, lease); },
      std::move(done));
}
KvStore::CallPtr VirtualKvStore::Delete(const std::string& key, Revision expect,
                                        DoneCallback done) {
  return ScheduleCall<KvResult>([=] { return platform_->Delete(key, expect); },
                                std::move(done));
}
KvStore::CallPtr VirtualKvStore::List(const std::string& prefix,
                                      ListDoneCallback done) {
  return ScheduleCall<KvListResult>(
      [=] {
        if (prefix != kVmKeyPrefix)
          return platform_->ListChanges(prefix, Revision(), true);
        KvListResult vms;
        vms.status = KvStatus::kOk;
        for (const std::string& vm : platform_->vms)
          vms.records.push_back({kVmKeyPrefix + vm, R"({"state":"live"})", {}});
        return vms;
      },
      std::move(done));
}
KvStore::CallPtr VirtualKvStore::CreateLease(Duration ttl, DoneCallback done) {
  return ScheduleCall<KvResult>([=] { return platform_->CreateLease(ttl); },
                                std::move(done));
}
KvStore::CallPtr VirtualKvStore::RenewLease(const std::string& lease,
                                            DoneCallback done) {
  return ScheduleCall<KvResult>([=] { return platform_->RenewLease(lease); },
                                std::move(done));
}
KvStore::CallPtr VirtualKvStore::EndLease(const std::string&,
                                          DoneCallback done) {
  return ScheduleCall<KvResult>(
      [] {
        return KvResult{KvStatus::kOk, {}};
      },
      std::move(done));
}
KvStore::CallPtr VirtualKvStore::Watch(const std::string& prefix,
                                       Revision after, Duration wait,
                                       ListDoneCallback done) {
  ++platform_->calls;
  auto call = std::make_unique<Call>();
  PollWatch(call->live, prefix, after, platform_->simulator()->now() + wait,
            done);
  return call;
}

void VirtualKvStore::PollWatch(const std::shared_ptr<bool>& live,
                               const std::string& prefix, Revision after,
                               MonoTime until, const ListDoneCallback& done) {
  VirtualTimeSimulator* simulator = platform_->simulator();
  simulator->ScheduleAt(
      simulator->now() + kWatchPollInterval, [=, loop = loop_] {
        if (!*live) return;
        KvListResult result;
        if (!platform_->injected_faults()->platform_down) {
          result = platform_->ListChanges(prefix, after, false);
          if (result.records.empty() && result.deleted.empty() &&
              simulator->now() < until) {
            PollWatch(live, prefix, after, until, done);
            return;
          }
        }
        loop->RunAt(simulator->now() + Duration(1000), [live, done, result] {
          if (*live) done(result);
        });
      });
}

// --- Peers -------------------------------------------------------------------

class VirtualBus::ReplyHandle : public PeerReply {
 public:
  ReplyHandle(VirtualBus* server, VirtualBus* caller, std::string method,
              std::shared_ptr<CallState> state)
      : network_(server->network_),
        server_(server),
        caller_loop_(caller->loop_),
        method_(std::move(method)),
        state_(std::move(state)) {}

  void Reply(const google::protobuf::Message& result) override {
    if (replied_) return;
    replied_ = true;
    if (server_->Chance(network_->injected_faults->message_loss)) return;
    std::shared_ptr<google::protobuf::Message> copy(result.New());
    copy->CopyFrom(result);
    if (network_->on_reply) network_->on_reply(method_, copy.get());
    caller_loop_->RunAt(network_->simulator->now() + server_->RandomDelay(),
                        [state = state_, copy] {
                          if (!state->live) return;
                          state->result->CopyFrom(*copy);
                          FinishCall(state, PeerStatus::kOk);
                        });
  }
  bool closed() const override { return replied_ || !state_->live; }
  void OnCallerDisconnected(std::function<void()>) override {}

 private:
  VirtualNetwork* const network_;
  VirtualBus* const server_;
  VirtualLoop* const caller_loop_;
  const std::string method_;
  const std::shared_ptr<CallState> state_;
  bool replied_ = false;
};

void VirtualBus::FinishCall(const std::shared_ptr<CallState>& state,
                            PeerStatus status) {
  if (!state->live) return;
  state->live = false;
  state->timer.Cancel();
  const DoneCallback done = std::move(state->done);
  done(status);
}

Duration VirtualBus::RandomDelay() {
  const Duration base_delay(300 + network_->random->UniformInt(3000));
  if (!Chance(network_->injected_faults->long_delay)) return base_delay;
  return base_delay + Duration(network_->random->UniformInt(5000000));
}

std::unique_ptr<PeerCall> VirtualBus::Call(
    const Endpoint& to, const std::string& method,
    const google::protobuf::Message& params, google::protobuf::Message* result,
    Duration timeout, DoneCallback done) {
  ++network_->calls;
  bytes_ += params.ByteSizeLong();
  auto handle = std::make_unique<CallHandle>();
  const std::shared_ptr<CallState> state = handle->state;
  state->result = result;
  state->done = std::move(done);
  state->timer = loop_->After(
      timeout, [state] { FinishCall(state, PeerStatus::kNoReply); });
  std::shared_ptr<google::protobuf::Message> copy(params.New());
  copy->CopyFrom(params);
  if (network_->blocked_links.count({address_, to}) > 0 ||
      Chance(network_->injected_faults->message_loss)) {
    return handle;
  }
  const int times =
      Chance(network_->injected_faults->request_duplication) ? 2 : 1;
  for (int i = 0; i < times; ++i) {
    network_->simulator->ScheduleAt(
        network_->simulator->now() + RandomDelay(),
        [network = network_, to, method, copy, state, caller = this,
         caller_loop = loop_] {
          auto it = network->buses.find(to);
          if (caller_loop->killed()) return;
          if (it == network->buses.end()) {
            caller_loop->RunAt(network->simulator->now(), [state] {
              FinishCall(state, PeerStatus::kNotSent);
            });
            return;
          }
          VirtualBus* server = it->second;
          server->loop_->RunAt(
              network->simulator->now(), [server, method, copy, state, caller] {
                server->DeliverRequest(method, copy, state, caller);
              });
        });
  }
  return handle;
}

void VirtualBus::DeliverRequest(
    const std::string& method,
    const std::shared_ptr<google::protobuf::Message>& params,
    const std::shared_ptr<CallState>& state, VirtualBus* caller) {
  auto it = methods_.find(method);
  if (it == methods_.end()) return;
  it->second.handler(
      *params, std::make_shared<ReplyHandle>(this, caller, method, state));
}

}  // namespace mimosa
