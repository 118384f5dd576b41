// Fetches, checks and activates catalogues.
#include "router/catalogue_sync.h"

#include <utility>

#include "base/json.h"
#include "base/logging.h"

namespace mimosa {
namespace {

constexpr char kFetchMethod[] = "catalogue.fetch";
const Endpoint kPlatform{};  // stands for the platform as the source

}  // namespace

CatalogueSync::CatalogueSync(EventLoop* loop, KvStore* kv, PeerBus* bus,
                             FleetManager* fleet, std::string deployment,
                             bool ask_peers)
    : loop_(loop),
      kv_(kv),
      bus_(bus),
      fleet_(fleet),
      deployment_(std::move(deployment)),
      current_(CatalogueSnapshot::Empty()) {
  RegisterFetchMethod();
  fleet_->SetCatalogueHeadObserver(
      [this](const KvRecord& record) { OnHeadText(record.value, kPlatform); });
  if (!ask_peers) return;
  fleet_->SetNewerCatalogueObserver(
      [this](const MemberId& peer, uint64_t version) {
        if (version > current_->catalogue().version() &&
            version > rejected_version_)
          FetchHeadFromPeer(peer);
      });
}

CatalogueSync::~CatalogueSync() = default;

void CatalogueSync::Start() { ReadHead(); }

void CatalogueSync::RegisterFetchMethod() {
  bus_->RegisterMethod(kFetchMethod, wire::CatalogueFetch::default_instance(),
                       [this](const google::protobuf::Message& params,
                              const std::shared_ptr<PeerReply>& reply) {
                         ServeFetch(
                             static_cast<const wire::CatalogueFetch&>(params),
                             reply.get());
                       });
}

void CatalogueSync::ServeFetch(const wire::CatalogueFetch& fetch,
                               PeerReply* reply) const {
  wire::CatalogueFetchReply reply_message;
  reply_message.set_version(current_->catalogue().version());
  if (fetch.head()) reply_message.set_head(active_head_text_);
  for (const std::string& digest : fetch.digests()) {
    const auto it = parts_.find(digest);
    if (it == parts_.end()) continue;
    wire::CatalogueRecord* part = reply_message.add_parts();
    part->set_digest(digest);
    part->set_value(it->second);
  }
  reply->Reply(reply_message);
}

void CatalogueSync::ReadHead() {
  if (candidate_) return;  // kv_call_ may be fetching the candidate's parts
  kv_call_ = kv_->Get(CatalogueHeadKey(deployment_), [this](const KvResult& r) {
    const auto call = std::move(kv_call_);
    if (r.status == KvStatus::kOk) OnHeadText(r.record.value, kPlatform);
    if (current_->version() > CatalogueVersion(0) || candidate_) return;
    retry_timer_ = loop_->After(kRetryDelay, [this] { ReadHead(); });
  });
}

void CatalogueSync::FetchHeadFromPeer(const MemberId& peer) {
  const FleetMember* member = fleet_->FindMember(peer);
  if (candidate_ || peer_call_ || member == nullptr) return;
  const Endpoint address = member->peer_address;
  wire::CatalogueFetch fetch;
  fetch.set_head(true);
  peer_reply_.Clear();
  peer_call_ = bus_->Call(address, kFetchMethod, fetch, &peer_reply_,
                          kPeerTimeout, [this, address](PeerStatus status) {
                            const auto call = std::move(peer_call_);
                            const std::string head = peer_reply_.head();
                            if (status == PeerStatus::kOk && !head.empty())
                              OnHeadText(head, address);
                          });
}

void CatalogueSync::OnHeadText(const std::string& text, const Endpoint& peer) {
  auto candidate = std::make_unique<Candidate>();
  if (!FromJson(text, /*strict=*/false, &candidate->head)) return;
  const uint64_t version = candidate->head.version();
  const uint64_t candidate_version =
      candidate_ ? candidate_->head.version() : 0;
  if (version <= current_->catalogue().version() ||
      version <= candidate_version || version <= rejected_version_)
    return;
  candidate->head_text = text;
  candidate->peer = peer;
  candidate_ = std::move(candidate);
  FetchMissingParts();
}

void CatalogueSync::FetchMissingParts() {
  const auto missing = MissingParts(candidate_->head, parts_);
  if (missing.empty()) {
    ActivateCandidate();
  } else if (candidate_->peer.port != 0) {
    FetchFromPeer(missing);
  } else {
    FetchFromPlatform(missing.front());
  }
}

void CatalogueSync::FetchFromPeer(const std::vector<std::string>& digests) {
  wire::CatalogueFetch fetch;
  for (const std::string& digest : digests) fetch.add_digests(digest);
  peer_reply_.Clear();
  peer_call_ = bus_->Call(
      candidate_->peer, kFetchMethod, fetch, &peer_reply_, kPeerTimeout,
      [this](PeerStatus status) {
        const auto call = std::move(peer_call_);
        if (!candidate_) return;
        if (status == PeerStatus::kOk) {
          for (const wire::CatalogueRecord& part : peer_reply_.parts())
            parts_[part.digest()] = part.value();
        }
        // The platform is the source of the parts that the peer lacks.
        candidate_->peer = kPlatform;
        FetchMissingParts();
      });
}

void CatalogueSync::FetchFromPlatform(const std::string& digest) {
  kv_call_ = kv_->Get(CataloguePartKey(deployment_, digest),
                      [this, digest](const KvResult& result) {
                        const auto call = std::move(kv_call_);
                        if (!candidate_) return;
                        if (result.status == KvStatus::kOk) {
                          parts_[digest] = result.record.value;
                          FetchMissingParts();
                        } else {
                          RestartFetch();
                        }
                      });
}

// Gives up the candidate and reads the head again after a delay: the platform
// is down, or this head was superseded and its parts were deleted.
void CatalogueSync::RestartFetch() {
  candidate_.reset();
  DropUnreferencedParts(active_head_, &parts_);
  retry_timer_ = loop_->After(kRetryDelay, [this] { ReadHead(); });
}

void CatalogueSync::ActivateCandidate() {
  const auto candidate = std::move(candidate_);
  const uint64_t version = candidate->head.version();
  auto snapshot = leaf::try_handle_all(
      [&]() -> leaf::result<std::shared_ptr<const CatalogueSnapshot>> {
        BOOST_LEAF_AUTO(catalogue, JoinCatalogue(candidate->head, parts_));
        return CatalogueSnapshot::Make(std::move(catalogue));
      },
      [] { return std::shared_ptr<const CatalogueSnapshot>(); });
  if (!snapshot) {
    ++rejected_count_;
    rejected_version_ = version;
    LogEvent(LogLevel::kError, "catalogue_refused",
             {{"version", Json::UInt64(version)}});
    return;
  }
  active_head_ = candidate->head;
  DropUnreferencedParts(active_head_, &parts_);
  active_head_text_ = candidate->head_text;
  current_ = std::move(snapshot);
  LogEvent(LogLevel::kInfo, "catalogue_in_force",
           {{"version", Json::UInt64(version)}});
  fleet_->SetCatalogueVersion(version);
  for (const auto& observer : observers_) observer();
}

}  // namespace mimosa
