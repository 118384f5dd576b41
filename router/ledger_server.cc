// Keeps the owned ledgers up to date and answers the calls on them.
#include "router/ledger_server.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace mimosa {
namespace {

constexpr Duration kTickPeriod = std::chrono::milliseconds(100);
// Expected durations of a reservation until some have ended.
constexpr Duration kInitialDecodeHold = std::chrono::seconds(10);
constexpr Duration kInitialPrefillHold = std::chrono::milliseconds(500);
// How long after a load report an adopted reservation is kept.
constexpr Duration kAdoptedLeaseDuration = std::chrono::seconds(5);

Duration Millis(int64_t ms) { return FromMillis(ms); }

wire::Refusal RefusalOf(LedgerResult result) {
  switch (result) {
    case LedgerResult::kGranted:
      return wire::REFUSAL_UNSPECIFIED;
    case LedgerResult::kFull:
      return wire::FULL;
    case LedgerResult::kShed:
    case LedgerResult::kExpired:
      return wire::SHED;
    case LedgerResult::kTooLarge:
      return wire::TOO_LARGE;
    case LedgerResult::kClosed:
      return wire::CLOSED;
  }
  return wire::REFUSAL_UNSPECIFIED;
}

// Converts a request from the wire. The cost on a decode engine is prompt and
// output tokens, because its memory holds both; on a prefill engine it is the
// prompt alone.
LedgerRequest FromWire(const wire::ReserveRequest& request, MonoTime now) {
  LedgerRequest out;
  const bool decode = request.pieces() > 0;
  out.queued.request = RequestId(request.request());
  out.queued.customer = CustomerId(request.customer());
  out.queued.patient = request.request_class() == wire::PATIENT;
  out.queued.units = Units(decode ? request.pieces() : 1);
  const int64_t tokens =
      request.prompt_tokens() + (decode ? request.output_tokens() : 0);
  out.queued.cost = Tokens(std::max<int64_t>(tokens, 1));
  if (request.deadline_ms() > 0) {
    out.queued.start_by = now + Millis(request.deadline_ms());
  }
  if (request.target_ms() > 0) {
    out.queued.target_start = now + Millis(request.target_ms());
  }
  out.member = MemberId(request.member());
  out.lease_duration = Millis(request.hold_ms());
  out.may_wait = request.may_wait();
  return out;
}

bool IsEngine(const wire::BackEnd& back_end) {
  return back_end.role() == wire::PREFILL_ENGINE ||
         back_end.role() == wire::DECODE_ENGINE;
}

Units CapacityOf(const wire::BackEnd& engine) {
  if (engine.role() == wire::DECODE_ENGINE) return Units(engine.kv_pieces());
  return Units(std::max<int64_t>(engine.max_running(), 1));
}

}  // namespace

MemberId MemberOfRequest(const RequestId& request) {
  const std::string& text = request.value();
  const size_t slash = text.rfind('/');
  if (slash == std::string::npos) return MemberId();
  return MemberId(text.substr(0, slash));
}

LedgerServer::LedgerServer(EventLoop* loop, PeerBus* bus, Fleet* fleet,
                           CatalogueView* catalogue, HttpClient* client,
                           const LedgerServerOptions& options)
    : loop_(loop),
      bus_(bus),
      fleet_(fleet),
      catalogue_(catalogue),
      options_(options),
      load_poller_(loop, client, options.load_poll_period) {
  RegisterMethods();
  load_poller_.SetObserver(
      [this](const BackEndId& engine, const EngineLoadReport* report) {
        OnLoadReport(engine, report);
      });
  fleet_->AddObserver([this] { SyncLedgers(); });
  catalogue_->AddObserver([this] { SyncLedgers(); });
  SyncLedgers();
  Tick();
}

void LedgerServer::RegisterMethods() {
  bus_->RegisterMethod(
      kReserveMethod, wire::ReserveRequest::default_instance(),
      [this](const google::protobuf::Message& params,
             const std::shared_ptr<PeerReply>& reply) {
        ServeReserve(static_cast<const wire::ReserveRequest&>(params), reply);
      });
  bus_->RegisterMethod(
      kReleaseMethod, wire::ReleaseRequest::default_instance(),
      [this](const google::protobuf::Message& params,
             const std::shared_ptr<PeerReply>& reply) {
        Release(static_cast<const wire::ReleaseRequest&>(params));
        reply->Reply(wire::ReserveReply());
      });
  bus_->RegisterMethod(
      kRenewMethod, wire::RenewRequest::default_instance(),
      [this](const google::protobuf::Message& params,
             const std::shared_ptr<PeerReply>& reply) {
        reply->Reply(Renew(static_cast<const wire::RenewRequest&>(params)));
      });
}

// A caller that disconnects before the reply gives up its reservation.
void LedgerServer::ServeReserve(const wire::ReserveRequest& request,
                                const std::shared_ptr<PeerReply>& reply) {
  wire::ReleaseRequest release;
  release.set_member(request.member());
  release.set_engine(request.engine());
  release.add_requests(request.request());
  reply->OnCallerDisconnected([this, release] { Release(release); });
  Reserve(request, [this, reply, release](const wire::ReserveReply& result) {
    if (reply->closed()) {
      Release(release);
      return;
    }
    reply->Reply(result);
  });
}

void LedgerServer::Reserve(const wire::ReserveRequest& request,
                           ReplyCallback reply) {
  OwnedLedger* owned = FindOwnedLedger(request.engine());
  if (owned == nullptr) {
    wire::ReserveReply result;
    result.set_not_owner(true);
    loop_->Post([reply = std::move(reply), result] { reply(result); });
    return;
  }
  const BackEndId engine(request.engine());
  owned->pending_replies[RequestId(request.request())] = std::move(reply);
  const MonoTime now = loop_->Now();
  LedgerRequest ledger_request = FromWire(request, now);
  const wire::Customer* customer =
      catalogue_->current()->FindCustomer(ledger_request.queued.customer);
  if (customer != nullptr && customer->rate_tokens_per_second() > 0) {
    ledger_request.queued.rate = Tokens(customer->rate_tokens_per_second());
  }
  SendReplies(engine, owned, owned->ledger->Reserve(ledger_request, now));
}

void LedgerServer::Release(const wire::ReleaseRequest& request) {
  OwnedLedger* owned = FindOwnedLedger(request.engine());
  if (owned == nullptr) return;
  const BackEndId engine(request.engine());
  for (const std::string& id : request.requests()) {
    owned->pending_replies.erase(RequestId(id));
    SendReplies(engine, owned,
                owned->ledger->Release(RequestId(id), loop_->Now()));
  }
}

wire::RenewReply LedgerServer::Renew(const wire::RenewRequest& request) {
  wire::RenewReply reply;
  OwnedLedger* owned = FindOwnedLedger(request.engine());
  if (owned == nullptr) {
    reply.set_not_owner(true);
    return reply;
  }
  const MonoTime now = loop_->Now();
  for (const wire::ReserveRequest& held : request.held()) {
    const LedgerRequest renewed = FromWire(held, now);
    owned->ledger->RenewOrRestore(renewed, now);
    owned->adopted_requests.erase(renewed.queued.request);
    owned->pending_replies.erase(renewed.queued.request);
  }
  *reply.mutable_summary() = SummaryOf(BackEndId(request.engine()), *owned);
  return reply;
}

const EngineLedger* LedgerServer::FindLedger(const BackEndId& engine) const {
  auto it = ledgers_.find(engine);
  return it == ledgers_.end() ? nullptr : it->second.ledger.get();
}

// Follows changes of members and catalogue. Costs one rendezvous hash over the
// members per engine of the catalogue; both change rarely.
void LedgerServer::SyncLedgers() {
  DropUnownedLedgers();
  DropEndedMembers();
  const std::shared_ptr<const CatalogueSnapshot> snapshot =
      catalogue_->current();
  std::map<BackEndId, Endpoint> polled;
  for (const wire::BackEnd& engine : snapshot->catalogue().back_ends()) {
    const BackEndId id(engine.id());
    Endpoint address;
    if (!IsEngine(engine) || fleet_->LedgerOwner(id) != fleet_->self() ||
        !Endpoint::Parse(engine.address(), &address)) {
      continue;
    }
    polled[id] = address;
    auto [it, inserted] = ledgers_.try_emplace(id);
    OwnedLedger& owned = it->second;
    const Units capacity = CapacityOf(engine);
    if (inserted) {
      owned.decode = engine.role() == wire::DECODE_ENGINE;
      owned.ledger = std::make_unique<EngineLedger>(
          capacity, owned.decode ? kInitialDecodeHold : kInitialPrefillHold,
          // Fairness is applied once, in the prefill queue, which comes first:
          // a request that has its prefill reservation and waits for decode
          // memory keeps a prefill engine idle.
          MakeRequestQueue(owned.decode ? QueueKind::kFifo : options_.queue),
          MakeSheddingPolicy(options_.shedding));
      owned.ledger->Pause();
      owned.owned_since = loop_->Now();
    } else if (owned.capacity != capacity) {
      SendReplies(id, &owned,
                  owned.ledger->SetCapacity(capacity, loop_->Now()));
    }
    owned.capacity = capacity;
    owned.draining = options_.is_draining(engine);
    UpdateOpenState(id, &owned);
  }
  load_poller_.SetEngines(polled);
}

void LedgerServer::DropUnownedLedgers() {
  const std::shared_ptr<const CatalogueSnapshot> snapshot =
      catalogue_->current();
  for (auto it = ledgers_.begin(); it != ledgers_.end();) {
    if (fleet_->LedgerOwner(it->first) == fleet_->self() &&
        snapshot->FindBackEnd(it->first) != nullptr) {
      ++it;
      continue;
    }
    wire::ReserveReply result;
    result.set_not_owner(true);
    for (auto& [request, reply] : it->second.pending_replies) {
      loop_->Post([reply = std::move(reply), result] { reply(result); });
    }
    it = ledgers_.erase(it);
  }
}

// Drops the reservations of members that have left the fleet. A member that was
// never in the fleet's list may just have joined, so only members that were
// listed before count.
void LedgerServer::DropEndedMembers() {
  std::set<MemberId> members;
  for (const FleetMember& member : fleet_->members()) {
    members.insert(member.id);
  }
  const MonoTime now = loop_->Now();
  for (const MemberId& former : known_members_) {
    if (members.count(former) > 0) continue;
    for (auto& [engine, owned] : ledgers_) {
      SendReplies(engine, &owned, owned.ledger->DropMember(former, now));
    }
  }
  known_members_ = std::move(members);
}

LedgerServer::OwnedLedger* LedgerServer::FindOwnedLedger(
    const std::string& engine) {
  auto it = ledgers_.find(BackEndId(engine));
  return it == ledgers_.end() ? nullptr : &it->second;
}

void LedgerServer::UpdateOpenState(const BackEndId& engine,
                                   OwnedLedger* owned) {
  const bool usable = !owned->down && !owned->draining;
  if (!usable) {
    owned->opened = false;
    if (!owned->ledger->closed())
      SendReplies(engine, owned, owned->ledger->Close());
    return;
  }
  if (owned->opened) return;
  const MonoTime now = loop_->Now();
  const bool alone = fleet_->members().size() <= 1;
  if (!owned->load_known) return;
  if (!alone && now < owned->owned_since + options_.rebuild_period) return;
  owned->opened = true;
  SendReplies(engine, owned, owned->ledger->Open(now));
}

void LedgerServer::OnLoadReport(const BackEndId& engine,
                                const EngineLoadReport* report) {
  OwnedLedger* owned = FindOwnedLedger(engine.value());
  if (owned == nullptr) return;
  owned->load_known = true;
  owned->down = report == nullptr;
  // Only decode engines are checked. Results that a prefill engine still holds
  // occupy none of its units, and its reservations are short.
  if (report != nullptr && owned->decode) {
    AdoptUnaccounted(engine, *report, owned);
  }
  UpdateOpenState(engine, owned);
  if (report != nullptr && load_observer_) load_observer_(engine, *report);
}

// Adopts requests that the engine holds and no member has renewed, and releases
// adopted ones that the engine doesn't hold any more.
void LedgerServer::AdoptUnaccounted(const BackEndId& engine,
                                    const EngineLoadReport& report,
                                    OwnedLedger* owned) {
  const MonoTime now = loop_->Now();
  std::set<RequestId> unaccounted;
  for (const HeldRequest& held : report.held) {
    const bool adopted = owned->adopted_requests.count(held.request) > 0;
    if (owned->ledger->HasReservation(held.request) && !adopted) continue;
    unaccounted.insert(held.request);
    const bool listed_before =
        owned->unaccounted_requests.count(held.request) > 0;
    if (!adopted && !listed_before && owned->opened) continue;
    LedgerRequest entry;
    entry.queued.request = held.request;
    entry.queued.units = Units(std::max<int64_t>(held.pieces.count(), 1));
    entry.lease_duration = kAdoptedLeaseDuration;
    owned->ledger->RenewOrRestore(entry, now);
    owned->adopted_requests.insert(held.request);
  }
  for (auto it = owned->adopted_requests.begin();
       it != owned->adopted_requests.end();) {
    if (unaccounted.count(*it) > 0) {
      ++it;
      continue;
    }
    SendReplies(engine, owned, owned->ledger->Release(*it, now));
    it = owned->adopted_requests.erase(it);
  }
  owned->unaccounted_requests = std::move(unaccounted);
}

// Replies are posted to the loop, because a reply may call back into this
// object.
void LedgerServer::SendReplies(const BackEndId& engine, OwnedLedger* owned,
                               const LedgerReplies& replies) {
  for (const LedgerReply& ledger_reply : replies) {
    auto it = owned->pending_replies.find(ledger_reply.request);
    if (it == owned->pending_replies.end()) continue;
    wire::ReserveReply result;
    result.set_granted(ledger_reply.result == LedgerResult::kGranted);
    result.set_refusal(RefusalOf(ledger_reply.result));
    result.set_retry_after_ms(ToMillis(ledger_reply.retry_after));
    *result.mutable_summary() = SummaryOf(engine, *owned);
    loop_->Post([reply = std::move(it->second), result] { reply(result); });
    owned->pending_replies.erase(it);
  }
}

wire::EngineSummary LedgerServer::SummaryOf(const BackEndId& engine,
                                            const OwnedLedger& owned) const {
  const LedgerSummary ledger_summary = owned.ledger->Summary();
  wire::EngineSummary summary;
  summary.set_engine(engine.value());
  summary.set_free_pieces(ledger_summary.free.count());
  summary.set_waiting(ledger_summary.waiting);
  summary.set_running(ledger_summary.running);
  summary.set_queue_ms(ToMillis(ledger_summary.queue_wait));
  return summary;
}

void LedgerServer::Tick() {
  const MonoTime now = loop_->Now();
  for (auto& [engine, owned] : ledgers_) {
    UpdateOpenState(engine, &owned);
    SendReplies(engine, &owned, owned.ledger->ExpireOverdue(now));
  }
  tick_timer_ = loop_->After(kTickPeriod, [this] { Tick(); });
}

}  // namespace mimosa
