// Reads and writes the head and the parts of the catalogue.
#include "tools/mimosactl_store.h"

#include <optional>
#include <utility>

#include "base/json.h"

namespace mimosa {
namespace {

// The delay between attempts to write a part, or to read back a write whose
// reply was lost.
constexpr Duration kRetryDelay = std::chrono::milliseconds(200);
// The head is read again if one of its parts is deleted before the reader gets
// it. Parts are kept for many versions, so this only happens to a reader that
// was suspended for a long time.
constexpr int kMaxReadAttempts = 3;

leaf::error_id MakeError(StoreErrorKind kind, std::string detail) {
  return leaf::new_error(StoreError{kind, std::move(detail)});
}

leaf::error_id MakeReadError(const std::string& what, KvStatus status) {
  return MakeError(StoreErrorKind::kUnavailable,
                   "reading " + what + ": " + KvStatusName(status));
}

// Returns the change that created `version`, or nullptr if the history no
// longer includes it.
const wire::CatalogueChange* FindChange(const wire::CatalogueHead& head,
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
                               std::string deployment, Duration settle_timeout)
    : loop_(loop),
      kv_(kv),
      deployment_(std::move(deployment)),
      settle_timeout_(settle_timeout) {}

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
  bool elapsed = false;
  const TimerHandle timer = loop_->After(duration, [this, &elapsed] {
    elapsed = true;
    loop_->Stop();
  });
  while (!elapsed) loop_->Run();
}

leaf::result<VersionedCatalogue> CatalogueStore::Read() {
  VersionedCatalogue read;
  for (int attempt = 1;; ++attempt) {
    const KvResult head = GetRecord(CatalogueHeadKey(deployment_));
    if (head.status == KvStatus::kNotFound) return VersionedCatalogue();
    if (head.status != KvStatus::kOk)
      return MakeReadError("the catalogue's head", head.status);
    read.head_revision = head.record.revision;
    read.stored.head.Clear();
    if (!FromJson(head.record.value, /*strict=*/false, &read.stored.head))
      return MakeError(StoreErrorKind::kCorrupt, "the catalogue's head");
    bool complete = true;
    for (const std::string& digest :
         MissingParts(read.stored.head, read.stored.parts)) {
      KvResult part = GetRecord(CataloguePartKey(deployment_, digest));
      if (part.status == KvStatus::kOk)
        read.stored.parts[digest] = std::move(part.record.value);
      else if (part.status == KvStatus::kNotFound)
        complete = false;
      else
        return MakeReadError("part " + digest, part.status);
    }
    if (complete) break;
    if (attempt == kMaxReadAttempts)
      return MakeError(StoreErrorKind::kCorrupt,
                       "a part of the catalogue is missing");
  }
  const auto joined = JoinCatalogue(read.stored.head, read.stored.parts);
  if (!joined)
    return MakeError(StoreErrorKind::kCorrupt, "a part of the catalogue");
  read.catalogue = *joined;
  return read;
}

leaf::result<uint64_t> CatalogueStore::Write(
    const VersionedCatalogue& read, const wire::Catalogue& catalogue,
    const wire::CatalogueChange& change) {
  BOOST_LEAF_AUTO(plan, PlanCatalogueWrite(read.stored, catalogue, change));
  BOOST_LEAF_CHECK(WriteParts(plan.new_parts));
  bool not_written = false;
  auto written = leaf::try_handle_some(
      [&] { return WriteHead(plan.head, read.head_revision); },
      [&](const StoreError& error,
          const leaf::error_info& info) -> leaf::result<void> {
        // No other writer's head can refer to these parts, because their
        // digests include our change id.
        not_written = error.kind == StoreErrorKind::kConflict ||
                      error.kind == StoreErrorKind::kUnavailable;
        return info.error();
      });
  if (not_written)
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

// Only this change writes a part with this digest, so a conflict means that an
// earlier attempt has already written it.
leaf::result<void> CatalogueStore::WritePart(const std::string& digest,
                                             const std::string& text) {
  const MonoTime deadline = loop_->Now() + settle_timeout_;
  for (;;) {
    const KvResult put = AwaitCall([&](KvStore::DoneCallback done) {
      return kv_->Put(CataloguePartKey(deployment_, digest), text, Revision(0),
                      /*lease=*/"", std::move(done));
    });
    if (put.status == KvStatus::kOk || put.status == KvStatus::kConflict)
      return {};
    if (loop_->Now() >= deadline)
      return MakeError(
          StoreErrorKind::kUnavailable,
          std::string("writing a part: ") + KvStatusName(put.status));
    SleepFor(kRetryDelay);
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
      return MakeError(StoreErrorKind::kConflict,
                       "a concurrent change was written first");
    default:
      return MakeError(
          StoreErrorKind::kUnavailable,
          std::string("writing the head: ") + KvStatusName(put.status));
  }
}

// A write whose reply was lost may have taken effect, or may still do so later,
// so an unchanged head proves nothing. A write without effect is therefore
// polled until the timeout. Once the head changes, the history tells which
// change created our version, if it still includes it.
leaf::result<void> CatalogueStore::SettleHeadWrite(
    const wire::CatalogueChange& change, Revision expect) {
  const MonoTime deadline = loop_->Now() + settle_timeout_;
  for (;;) {
    const KvResult got = GetRecord(CatalogueHeadKey(deployment_));
    if (got.status == KvStatus::kOk && got.record.revision != expect) {
      wire::CatalogueHead head;
      if (!FromJson(got.record.value, /*strict=*/false, &head))
        return MakeError(StoreErrorKind::kCorrupt, "the catalogue's head");
      const wire::CatalogueChange* winner = FindChange(head, change.version());
      if (winner != nullptr && winner->change_id() == change.change_id())
        return {};
      if (winner != nullptr)
        return MakeError(StoreErrorKind::kConflict,
                         "a concurrent change was written first");
      return MakeError(StoreErrorKind::kUnknownOutcome,
                       "the history no longer includes this change");
    }
    if (loop_->Now() >= deadline)
      return MakeError(StoreErrorKind::kUnknownOutcome,
                       "the reply to the write was lost; look for change " +
                           change.change_id() + " in the history");
    SleepFor(kRetryDelay);
  }
}

// Deletes a part if possible. A part that remains only takes up space.
void CatalogueStore::DeletePart(const std::string& digest) {
  const std::string key = CataloguePartKey(deployment_, digest);
  const KvResult part = GetRecord(key);
  if (part.status != KvStatus::kOk) return;
  (void)AwaitCall([&](KvStore::DoneCallback done) {
    return kv_->Delete(key, part.record.revision, std::move(done));
  });
}

}  // namespace mimosa
