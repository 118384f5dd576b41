// Books in line with fleet and catalogue, and the calls that they answer.
#include "router/book_server.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace mimosa {
namespace {

constexpr Duration kTickPeriod = std::chrono::milliseconds(100);
// Expected holds until some were seen.
constexpr Duration kFirstDecodeHold = std::chrono::seconds(10);
constexpr Duration kFirstPrefillHold = std::chrono::milliseconds(500);
// What an engine reports and no holder told of is held so long after the
// report.
constexpr Duration kAdoptedHold = std::chrono::seconds(5);

Duration Millis(int64_t ms) { return std::chrono::milliseconds(ms); }

wire::Refusal RefusalOf(BookVerdict verdict) {
  switch (verdict) {
    case BookVerdict::kGranted:
      return wire::REFUSAL_UNSPECIFIED;
    case BookVerdict::kFull:
      return wire::FULL;
    case BookVerdict::kShed:
    case BookVerdict::kExpired:
      return wire::SHED;
    case BookVerdict::kTooLarge:
      return wire::TOO_LARGE;
    case BookVerdict::kClosed:
      return wire::CLOSED;
  }
  return wire::REFUSAL_UNSPECIFIED;
}

// A decode engine's memory counts prompt and output, a prefill engine's work
// the prompt alone.
BookRequest FromWire(const wire::ReserveRequest& request, MonoTime now) {
  BookRequest out;
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
    out.queued.target = now + Millis(request.target_ms());
  }
  out.member = MemberId(request.member());
  out.hold = Millis(request.hold_ms());
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

BookServer::BookServer(EventLoop* loop, PeerBus* bus, Fleet* fleet,
                       CatalogueView* catalogue, HttpClient* client,
                       const BookServerOptions& options)
    : loop_(loop),
      bus_(bus),
      fleet_(fleet),
      catalogue_(catalogue),
      options_(options),
      poller_(loop, client, options.load_period) {
  RegisterMethods();
  poller_.SetObserver(
      [this](const BackEndId& engine, const EngineLoadReport* report) {
        OnLoad(engine, report);
      });
  fleet_->Observe([this] { Sync(); });
  catalogue_->Observe([this] { Sync(); });
  Sync();
  Tick();
}

void BookServer::RegisterMethods() {
  bus_->Register(kReserveMethod, wire::ReserveRequest::default_instance(),
                 [this](const google::protobuf::Message& params,
                        const std::shared_ptr<PeerReply>& reply) {
                   ServeReserve(
                       static_cast<const wire::ReserveRequest&>(params), reply);
                 });
  bus_->Register(kReleaseMethod, wire::ReleaseRequest::default_instance(),
                 [this](const google::protobuf::Message& params,
                        const std::shared_ptr<PeerReply>& reply) {
                   Release(static_cast<const wire::ReleaseRequest&>(params));
                   reply->Reply(wire::ReserveReply());
                 });
  bus_->Register(
      kRenewMethod, wire::RenewRequest::default_instance(),
      [this](const google::protobuf::Message& params,
             const std::shared_ptr<PeerReply>& reply) {
        reply->Reply(Renew(static_cast<const wire::RenewRequest&>(params)));
      });
}

// A caller that goes away before the answer gives up its reservation.
void BookServer::ServeReserve(const wire::ReserveRequest& request,
                              const std::shared_ptr<PeerReply>& reply) {
  wire::ReleaseRequest give_up;
  give_up.set_member(request.member());
  give_up.set_engine(request.engine());
  give_up.add_requests(request.request());
  reply->OnCallerGone([this, give_up] { Release(give_up); });
  Reserve(request, [this, reply, give_up](const wire::ReserveReply& result) {
    if (reply->over()) {
      Release(give_up);
      return;
    }
    reply->Reply(result);
  });
}

void BookServer::Reserve(const wire::ReserveRequest& request, Reply reply) {
  OwnedBook* owned = FindOwned(request.engine());
  if (owned == nullptr) {
    wire::ReserveReply result;
    result.set_not_owner(true);
    loop_->Post([reply = std::move(reply), result] { reply(result); });
    return;
  }
  const BackEndId engine(request.engine());
  owned->replies[RequestId(request.request())] = std::move(reply);
  const MonoTime now = loop_->Now();
  BookRequest asked = FromWire(request, now);
  const wire::Customer* customer =
      catalogue_->current()->FindCustomer(asked.queued.customer);
  if (customer != nullptr && customer->rate_tokens_per_second() > 0) {
    asked.queued.rate = Tokens(customer->rate_tokens_per_second());
  }
  Answer(engine, owned, owned->book->Reserve(asked, now));
}

void BookServer::Release(const wire::ReleaseRequest& request) {
  OwnedBook* owned = FindOwned(request.engine());
  if (owned == nullptr) return;
  const BackEndId engine(request.engine());
  for (const std::string& id : request.requests()) {
    owned->replies.erase(RequestId(id));
    Answer(engine, owned, owned->book->Release(RequestId(id), loop_->Now()));
  }
}

wire::RenewReply BookServer::Renew(const wire::RenewRequest& request) {
  wire::RenewReply reply;
  OwnedBook* owned = FindOwned(request.engine());
  if (owned == nullptr) {
    reply.set_not_owner(true);
    return reply;
  }
  const MonoTime now = loop_->Now();
  for (const wire::ReserveRequest& held : request.held()) {
    const BookRequest renewed = FromWire(held, now);
    owned->book->Renew(renewed, now);
    owned->adopted.erase(renewed.queued.request);
    owned->replies.erase(renewed.queued.request);
  }
  *reply.mutable_summary() = SummaryOf(BackEndId(request.engine()), *owned);
  return reply;
}

const EngineBook* BookServer::Find(const BackEndId& engine) const {
  auto it = books_.find(engine);
  return it == books_.end() ? nullptr : it->second.book.get();
}

// Follows the members and the catalogue. Costs one rendezvous hash over the
// members for each engine of the catalogue; changes of either are rare.
void BookServer::Sync() {
  DropLostBooks();
  FreeLeftovers();
  const std::shared_ptr<const CatalogueSnapshot> snapshot =
      catalogue_->current();
  std::map<BackEndId, Endpoint> polled;
  for (const wire::BackEnd& engine : snapshot->catalogue().back_ends()) {
    const BackEndId id(engine.id());
    Endpoint address;
    if (!IsEngine(engine) || fleet_->BookOwner(id) != fleet_->self() ||
        !Endpoint::Parse(engine.address(), &address)) {
      continue;
    }
    polled[id] = address;
    auto [it, inserted] = books_.try_emplace(id);
    OwnedBook& owned = it->second;
    const Units capacity = CapacityOf(engine);
    if (inserted) {
      owned.decode = engine.role() == wire::DECODE_ENGINE;
      owned.book = std::make_unique<EngineBook>(
          capacity, owned.decode ? kFirstDecodeHold : kFirstPrefillHold,
          // Fairness is decided once, for the prefill turn, which comes first:
          // who has that and waits for memory keeps a prefill engine idle.
          MakeRequestQueue(owned.decode ? QueueKind::kFifo : options_.queue),
          MakeSheddingPolicy(options_.shedding));
      owned.book->Pause();
      owned.owned_since = loop_->Now();
    } else if (owned.capacity != capacity) {
      Answer(id, &owned, owned.book->SetCapacity(capacity, loop_->Now()));
    }
    owned.capacity = capacity;
    owned.draining = options_.draining(engine);
    OpenIfReady(id, &owned);
  }
  poller_.SetEngines(polled);
}

void BookServer::DropLostBooks() {
  const std::shared_ptr<const CatalogueSnapshot> snapshot =
      catalogue_->current();
  for (auto it = books_.begin(); it != books_.end();) {
    if (fleet_->BookOwner(it->first) == fleet_->self() &&
        snapshot->FindBackEnd(it->first) != nullptr) {
      ++it;
      continue;
    }
    wire::ReserveReply result;
    result.set_not_owner(true);
    for (auto& [request, reply] : it->second.replies) {
      loop_->Post([reply = std::move(reply), result] { reply(result); });
    }
    it = books_.erase(it);
  }
}

// A member that was never seen may just have joined; only one that was seen
// and is no more has ended.
void BookServer::FreeLeftovers() {
  std::set<MemberId> members;
  for (const FleetMember& member : fleet_->members()) {
    members.insert(member.id);
  }
  const MonoTime now = loop_->Now();
  for (const MemberId& former : members_) {
    if (members.count(former) > 0) continue;
    for (auto& [engine, owned] : books_) {
      Answer(engine, &owned, owned.book->DropMember(former, now));
    }
  }
  members_ = std::move(members);
}

BookServer::OwnedBook* BookServer::FindOwned(const std::string& engine) {
  auto it = books_.find(BackEndId(engine));
  return it == books_.end() ? nullptr : &it->second;
}

void BookServer::OpenIfReady(const BackEndId& engine, OwnedBook* owned) {
  const bool usable = !owned->down && !owned->draining;
  if (!usable) {
    owned->opened = false;
    if (!owned->book->closed()) Answer(engine, owned, owned->book->Close());
    return;
  }
  if (owned->opened) return;
  const MonoTime now = loop_->Now();
  const bool alone = fleet_->members().size() <= 1;
  if (!owned->reported) return;
  if (!alone && now < owned->owned_since + options_.rebuild) return;
  owned->opened = true;
  Answer(engine, owned, owned->book->Open(now));
}

void BookServer::OnLoad(const BackEndId& engine,
                        const EngineLoadReport* report) {
  OwnedBook* owned = FindOwned(engine.value());
  if (owned == nullptr) return;
  owned->reported = true;
  owned->down = report == nullptr;
  // A prefill engine's held results take no turn, and turns are short.
  if (report != nullptr && owned->decode) {
    AdoptUnexplained(engine, *report, owned);
  }
  OpenIfReady(engine, owned);
  if (report != nullptr && load_observer_) load_observer_(engine, *report);
}

// Enters what the engine holds and no holder told of, and drops what was
// entered so and is not held any more.
void BookServer::AdoptUnexplained(const BackEndId& engine,
                                  const EngineLoadReport& report,
                                  OwnedBook* owned) {
  const MonoTime now = loop_->Now();
  std::set<RequestId> unexplained;
  for (const HeldRequest& held : report.held) {
    const bool adopted = owned->adopted.count(held.request) > 0;
    if (owned->book->Holds(held.request) && !adopted) continue;
    unexplained.insert(held.request);
    const bool again = owned->unexplained.count(held.request) > 0;
    if (!adopted && !again && owned->opened) continue;
    BookRequest entry;
    entry.queued.request = held.request;
    entry.queued.units = Units(std::max<int64_t>(held.pieces.count(), 1));
    entry.hold = kAdoptedHold;
    owned->book->Renew(entry, now);
    owned->adopted.insert(held.request);
  }
  for (auto it = owned->adopted.begin(); it != owned->adopted.end();) {
    if (unexplained.count(*it) > 0) {
      ++it;
      continue;
    }
    Answer(engine, owned, owned->book->Release(*it, now));
    it = owned->adopted.erase(it);
  }
  owned->unexplained = std::move(unexplained);
}

// Answers go out from the loop: a reply may call back into this object.
void BookServer::Answer(const BackEndId& engine, OwnedBook* owned,
                        const BookAnswers& answers) {
  for (const BookAnswer& answer : answers) {
    auto it = owned->replies.find(answer.request);
    if (it == owned->replies.end()) continue;
    wire::ReserveReply result;
    result.set_granted(answer.verdict == BookVerdict::kGranted);
    result.set_refusal(RefusalOf(answer.verdict));
    result.set_retry_after_ms(ToMillis(answer.retry_after));
    *result.mutable_summary() = SummaryOf(engine, *owned);
    loop_->Post([reply = std::move(it->second), result] { reply(result); });
    owned->replies.erase(it);
  }
}

wire::EngineSummary BookServer::SummaryOf(const BackEndId& engine,
                                          const OwnedBook& owned) const {
  const BookSummary book = owned.book->Summary();
  wire::EngineSummary summary;
  summary.set_engine(engine.value());
  summary.set_free_pieces(book.free.count());
  summary.set_waiting(book.waiting);
  summary.set_running(book.running);
  summary.set_queue_ms(ToMillis(book.queue_wait));
  return summary;
}

void BookServer::Tick() {
  const MonoTime now = loop_->Now();
  for (auto& [engine, owned] : books_) {
    OpenIfReady(engine, &owned);
    Answer(engine, &owned, owned.book->Tick(now));
  }
  tick_ = loop_->After(kTickPeriod, [this] { Tick(); });
}

}  // namespace mimosa
