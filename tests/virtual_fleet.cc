// Loop, platform and network of the virtual fleet, with their faults.
#include "tests/virtual_fleet.h"

#include <algorithm>

#include "router/leaving_vm_tracker.h"

namespace mimosa {
namespace {

constexpr Duration kWatchPoll = std::chrono::milliseconds(20);

Duration PlatformDelay(RandomSource* random) {
  return Duration(500 + random->Below(4000));
}

}  // namespace

// --- Platform ----------------------------------------------------------------

void VirtualPlatform::ExpireLeases() {
  for (auto it = leases_.begin(); it != leases_.end();) {
    if (world_->now() < it->second.first) {
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
  const Revision there =
      it == entries_.end() ? Revision() : it->second.revision;
  if (there != expect) return Conflict(key);
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

KvListResult VirtualPlatform::Changes(const std::string& prefix, Revision after,
                                      bool all) {
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
  leases_[lease] = {world_->now() + ttl, ttl};
  return {KvStatus::kOk, {"", lease, {}}};
}

KvResult VirtualPlatform::RenewLease(const std::string& lease) {
  ExpireLeases();
  auto it = leases_.find(lease);
  if (it == leases_.end()) return {KvStatus::kNotFound, {}};
  it->second.first = world_->now() + it->second.second;
  return {KvStatus::kOk, {"", lease, {}}};
}

// --- A daemon's calls to it --------------------------------------------------

template <typename Result>
KvStore::CallPtr VirtualKv::Run(std::function<Result()> act,
                                std::function<void(Result)> done) {
  ++platform_->calls;
  auto call = std::make_unique<Call>();
  VirtualWorld* world = platform_->world();
  const Duration there = PlatformDelay(platform_->random());
  const Duration back = PlatformDelay(platform_->random());
  const bool lost =
      platform_->random()->Below(1000) < platform_->weather()->platform_lose;
  world->At(world->now() + there, [this, world, back, lost, live = call->live,
                                   act = std::move(act), done, loop = loop_] {
    Result result;
    Duration wait = back;
    if (platform_->weather()->platform_down) {
      result.status = KvStatus::kUnavailable;
    } else {
      result = act();
      if (lost) {
        result = Result();
        result.status = KvStatus::kNoReply;
        wait = std::chrono::milliseconds(300);
      }
    }
    loop->RunAt(world->now() + wait, [live, done, result] {
      if (*live) done(result);
    });
  });
  return call;
}

KvStore::CallPtr VirtualKv::Get(const std::string& key, Done done) {
  return Run<KvResult>([this, key] { return platform_->Get(key); },
                       std::move(done));
}
KvStore::CallPtr VirtualKv::Put(const std::string& key, std::string value,
                                Revision expect, const std::string& lease,
                                Done done) {
  return Run<KvResult>(
      [=] { return platform_->Put(key, value, expect, lease); },
      std::move(done));
}
KvStore::CallPtr VirtualKv::Delete(const std::string& key, Revision expect,
                                   Done done) {
  return Run<KvResult>([=] { return platform_->Delete(key, expect); },
                       std::move(done));
}
KvStore::CallPtr VirtualKv::List(const std::string& prefix, ListDone done) {
  return Run<KvListResult>(
      [=] {
        if (prefix != kVmKeyPrefix)
          return platform_->Changes(prefix, Revision(), true);
        KvListResult vms;
        vms.status = KvStatus::kOk;
        for (const std::string& vm : platform_->vms)
          vms.records.push_back({kVmKeyPrefix + vm, R"({"state":"live"})", {}});
        return vms;
      },
      std::move(done));
}
KvStore::CallPtr VirtualKv::CreateLease(Duration ttl, Done done) {
  return Run<KvResult>([=] { return platform_->CreateLease(ttl); },
                       std::move(done));
}
KvStore::CallPtr VirtualKv::RenewLease(const std::string& lease, Done done) {
  return Run<KvResult>([=] { return platform_->RenewLease(lease); },
                       std::move(done));
}
KvStore::CallPtr VirtualKv::EndLease(const std::string&, Done done) {
  return Run<KvResult>(
      [] {
        return KvResult{KvStatus::kOk, {}};
      },
      std::move(done));
}
KvStore::CallPtr VirtualKv::Watch(const std::string& prefix, Revision after,
                                  Duration wait, ListDone done) {
  ++platform_->calls;
  auto call = std::make_unique<Call>();
  PollWatch(call->live, prefix, after, platform_->world()->now() + wait, done);
  return call;
}

void VirtualKv::PollWatch(const std::shared_ptr<bool>& live,
                          const std::string& prefix, Revision after,
                          MonoTime until, const ListDone& done) {
  VirtualWorld* world = platform_->world();
  world->At(world->now() + kWatchPoll, [=, loop = loop_] {
    if (!*live) return;
    KvListResult result;
    if (!platform_->weather()->platform_down) {
      result = platform_->Changes(prefix, after, false);
      if (result.records.empty() && result.deleted.empty() &&
          world->now() < until) {
        PollWatch(live, prefix, after, until, done);
        return;
      }
    }
    loop->RunAt(world->now() + Duration(1000), [live, done, result] {
      if (*live) done(result);
    });
  });
}

// --- Peers -------------------------------------------------------------------

class VirtualBus::ReplyHandle : public PeerReply {
 public:
  ReplyHandle(VirtualBus* server, VirtualBus* caller, std::string method,
              std::shared_ptr<State> state)
      : network_(server->network_),
        server_(server),
        caller_loop_(caller->loop_),
        method_(std::move(method)),
        state_(std::move(state)) {}

  void Reply(const google::protobuf::Message& result) override {
    if (replied_) return;
    replied_ = true;
    if (server_->Chance(network_->weather->lose)) return;
    std::shared_ptr<google::protobuf::Message> copy(result.New());
    copy->CopyFrom(result);
    if (network_->on_reply) network_->on_reply(method_, copy.get());
    caller_loop_->RunAt(network_->world->now() + server_->Delay(),
                        [state = state_, copy] {
                          if (!state->live) return;
                          state->result->CopyFrom(*copy);
                          Finish(state, PeerStatus::kOk);
                        });
  }
  bool closed() const override { return replied_ || !state_->live; }
  void OnCallerDisconnected(std::function<void()>) override {}

 private:
  VirtualNetwork* const network_;
  VirtualBus* const server_;
  VirtualLoop* const caller_loop_;
  const std::string method_;
  const std::shared_ptr<State> state_;
  bool replied_ = false;
};

void VirtualBus::Finish(const std::shared_ptr<State>& state,
                        PeerStatus status) {
  if (!state->live) return;
  state->live = false;
  state->timer.Cancel();
  const DoneCallback done = std::move(state->done);
  done(status);
}

Duration VirtualBus::Delay() {
  const Duration usual(300 + network_->random->Below(3000));
  if (!Chance(network_->weather->late)) return usual;
  return usual + Duration(network_->random->Below(5000000));
}

std::unique_ptr<PeerCall> VirtualBus::Call(
    const Endpoint& to, const std::string& method,
    const google::protobuf::Message& params, google::protobuf::Message* result,
    Duration timeout, DoneCallback done) {
  ++network_->calls;
  bytes_ += params.ByteSizeLong();
  auto handle = std::make_unique<CallHandle>();
  const std::shared_ptr<State> state = handle->state;
  state->result = result;
  state->done = std::move(done);
  state->timer =
      loop_->After(timeout, [state] { Finish(state, PeerStatus::kNoReply); });
  std::shared_ptr<google::protobuf::Message> copy(params.New());
  copy->CopyFrom(params);
  if (network_->cut.count({address_, to}) > 0 ||
      Chance(network_->weather->lose)) {
    return handle;
  }
  const int times = Chance(network_->weather->twice) ? 2 : 1;
  for (int i = 0; i < times; ++i) {
    network_->world->At(network_->world->now() + Delay(),
                        [network = network_, to, method, copy, state,
                         caller = this, caller_loop = loop_] {
                          auto it = network->at.find(to);
                          if (caller_loop->killed()) return;
                          if (it == network->at.end()) {
                            caller_loop->RunAt(network->world->now(), [state] {
                              Finish(state, PeerStatus::kNotSent);
                            });
                            return;
                          }
                          VirtualBus* server = it->second;
                          server->loop_->RunAt(
                              network->world->now(),
                              [server, method, copy, state, caller] {
                                server->Deliver(method, copy, state, caller);
                              });
                        });
  }
  return handle;
}

void VirtualBus::Deliver(
    const std::string& method,
    const std::shared_ptr<google::protobuf::Message>& params,
    const std::shared_ptr<State>& state, VirtualBus* caller) {
  auto it = served_.find(method);
  if (it == served_.end()) return;
  it->second.serve(*params,
                   std::make_shared<ReplyHandle>(this, caller, method, state));
}

}  // namespace mimosa
