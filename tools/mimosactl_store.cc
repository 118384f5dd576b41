// Reading and writing head and parts.
#include "tools/mimosactl_store.h"

#include <optional>
#include <utility>

#include "base/json.h"

namespace mimosa {
namespace {

// Between two tries to settle a lost reply or to write a part.
constexpr Duration kRetryPause = std::chrono::milliseconds(200);
// A head is read again if its parts vanish under the reader: they are kept for
// many versions, so this only meets a reader that was stopped for long.
constexpr int kReadTries = 3;

leaf::error_id Fail(StoreErrorKind kind, std::string detail) {
  return leaf::new_error(StoreError{kind, std::move(detail)});
}

leaf::error_id Unreadable(const std::string& what, KvStatus status) {
  return Fail(StoreErrorKind::kUnavailable,
              "reading " + what + ": " + KvStatusName(status));
}

// The change that made `version`, or nullptr if the history is past it.
const wire::CatalogueChange* ChangeOf(const wire::CatalogueHead& head,
                                      uint64_t version) {
  for (const wire::CatalogueChange& change : head.history())
    if (change.version() == version) return &change;
  return nullptr;
}

}  // namespace

const char* StoreErrorKindName(StoreErrorKind kind) {
  switch (kind) {
    case StoreErrorKind::kUnavailable:
      return "unavailable";
    case StoreErrorKind::kUnknownOutcome:
      return "unknown_outcome";
    case StoreErrorKind::kConflict:
      return "lost_race";
    case StoreErrorKind::kCorrupt:
      return "corrupt";
  }
  return "?";
}

CatalogueStore::CatalogueStore(EventLoop* loop, KvStore* kv,
                               std::string deployment, Duration settle_for)
    : loop_(loop),
      kv_(kv),
      deployment_(std::move(deployment)),
      settle_timeout_(settle_for) {}

KvResult CatalogueStore::AwaitCall(const StartCall& start) {
  std::optional<KvResult> got;
  const KvStore::CallPtr call = start([this, &got](KvResult result) {
    got = std::move(result);
    loop_->Stop();
  });
  while (!got) loop_->Run();
  return *std::move(got);
}

KvResult CatalogueStore::GetRecord(const std::string& key) {
  return AwaitCall([this, &key](KvStore::DoneCallback done) {
    return kv_->Get(key, std::move(done));
  });
}

void CatalogueStore::SleepFor(Duration duration) {
  bool over = false;
  const TimerHandle timer = loop_->After(duration, [this, &over] {
    over = true;
    loop_->Stop();
  });
  while (!over) loop_->Run();
}

leaf::result<VersionedCatalogue> CatalogueStore::Read() {
  VersionedCatalogue read;
  for (int tries = 1;; ++tries) {
    const KvResult head = GetRecord(CatalogueHeadKey(deployment_));
    if (head.status == KvStatus::kNotFound) return VersionedCatalogue();
    if (head.status != KvStatus::kOk)
      return Unreadable("the catalogue's head", head.status);
    read.head_revision = head.record.revision;
    read.stored.head.Clear();
    if (!FromJson(head.record.value, /*strict=*/false, &read.stored.head))
      return Fail(StoreErrorKind::kCorrupt, "the catalogue's head");
    bool complete = true;
    for (const std::string& digest :
         MissingParts(read.stored.head, read.stored.parts)) {
      KvResult part = GetRecord(CataloguePartKey(deployment_, digest));
      if (part.status == KvStatus::kOk)
        read.stored.parts[digest] = std::move(part.record.value);
      else if (part.status == KvStatus::kNotFound)
        complete = false;
      else
        return Unreadable("part " + digest, part.status);
    }
    if (complete) break;
    if (tries == kReadTries)
      return Fail(StoreErrorKind::kCorrupt, "a part of the catalogue is gone");
  }
  const auto joined = JoinCatalogue(read.stored.head, read.stored.parts);
  if (!joined) return Fail(StoreErrorKind::kCorrupt, "a part of the catalogue");
  read.catalogue = *joined;
  return read;
}

leaf::result<uint64_t> CatalogueStore::Write(
    const VersionedCatalogue& read, const wire::Catalogue& catalogue,
    const wire::CatalogueChange& change) {
  BOOST_LEAF_AUTO(plan, PlanCatalogueWrite(read.stored, catalogue, change));
  BOOST_LEAF_CHECK(WriteParts(plan.new_parts));
  bool lost = false;
  auto written = leaf::try_handle_some(
      [&] { return WriteHead(plan.head, read.head_revision); },
      [&](const StoreError& fault,
          const leaf::error_info& info) -> leaf::result<void> {
        // Nobody can refer to our parts: their digests
        // hold our change id.
        lost = fault.kind == StoreErrorKind::kConflict ||
               fault.kind == StoreErrorKind::kUnavailable;
        return info.error();
      });
  if (lost)
    for (const auto& [digest, text] : plan.new_parts) DeletePart(digest);
  if (!written) return written.error();
  for (const std::string& digest : plan.deletable) DeletePart(digest);
  return plan.head.version();
}

leaf::result<void> CatalogueStore::WriteParts(const PartTexts& parts) {
  for (const auto& [digest, text] : parts)
    BOOST_LEAF_CHECK(WritePart(digest, text));
  return {};
}

// Only this change writes this digest: that the part is there already means
// that an earlier try came in.
leaf::result<void> CatalogueStore::WritePart(const std::string& digest,
                                             const std::string& text) {
  const MonoTime end = loop_->Now() + settle_timeout_;
  for (;;) {
    const KvResult put = AwaitCall([&](KvStore::DoneCallback done) {
      return kv_->Put(CataloguePartKey(deployment_, digest), text, Revision(0),
                      /*lease=*/"", std::move(done));
    });
    if (put.status == KvStatus::kOk || put.status == KvStatus::kConflict)
      return {};
    if (loop_->Now() >= end)
      return Fail(StoreErrorKind::kUnavailable,
                  std::string("writing a part: ") + KvStatusName(put.status));
    SleepFor(kRetryPause);
  }
}

leaf::result<void> CatalogueStore::WriteHead(const wire::CatalogueHead& head,
                                             Revision expect) {
  const KvResult put = AwaitCall([&](KvStore::DoneCallback done) {
    return kv_->Put(CatalogueHeadKey(deployment_), ToJson(head), expect,
                    /*lease=*/"", std::move(done));
  });
  switch (put.status) {
    case KvStatus::kOk:
      return {};
    case KvStatus::kNoReply:
      return SettleHeadWrite(head.history(0), expect);
    case KvStatus::kConflict:
    case KvStatus::kNotFound:
      return Fail(StoreErrorKind::kConflict, "another change came in first");
    default:
      return Fail(StoreErrorKind::kUnavailable,
                  std::string("writing the head: ") + KvStatusName(put.status));
  }
}

// The write may have come in, and may still: an unchanged head proves nothing.
// Reading on for the whole time is the price of a lost reply that had no
// effect. Which change made our version decides it, if the history still says.
leaf::result<void> CatalogueStore::SettleHeadWrite(
    const wire::CatalogueChange& change, Revision expect) {
  const MonoTime end = loop_->Now() + settle_timeout_;
  for (;;) {
    const KvResult got = GetRecord(CatalogueHeadKey(deployment_));
    if (got.status == KvStatus::kOk && got.record.revision != expect) {
      wire::CatalogueHead now;
      if (!FromJson(got.record.value, /*strict=*/false, &now))
        return Fail(StoreErrorKind::kCorrupt, "the catalogue's head");
      const wire::CatalogueChange* made = ChangeOf(now, change.version());
      if (made != nullptr && made->change_id() == change.change_id()) return {};
      if (made != nullptr)
        return Fail(StoreErrorKind::kConflict, "another change came in first");
      return Fail(StoreErrorKind::kUnknownOutcome,
                  "the history is past this change");
    }
    if (loop_->Now() >= end)
      return Fail(StoreErrorKind::kUnknownOutcome,
                  "the reply to the write was lost; look for change " +
                      change.change_id() + " in the history");
    SleepFor(kRetryPause);
  }
}

// Best effort: a part that stays costs room, nothing else.
void CatalogueStore::DeletePart(const std::string& digest) {
  const std::string key = CataloguePartKey(deployment_, digest);
  const KvResult part = GetRecord(key);
  if (part.status != KvStatus::kOk) return;
  (void)AwaitCall([&](KvStore::DoneCallback done) {
    return kv_->Delete(key, part.record.revision, std::move(done));
  });
}

}  // namespace mimosa
