// Reads and writes the catalogue in the platform's store, for mimosactl.
//
// A write is planned against the head record that was read. It writes the new
// parts, then replaces the head by compare-and-swap on that head's revision. A
// writer that loses this race gets a conflict error and has changed nothing. If
// the reply to the head's write is lost, the head is read back: either its
// history contains our change id, or the change did not take effect. The parts
// of a write that did not take effect are deleted.
//
// All calls block: each runs the event loop until it is complete, since the
// tool has nothing else to do meanwhile.
#ifndef TOOLS_MIMOSACTL_STORE_H_
#define TOOLS_MIMOSACTL_STORE_H_

#include <functional>
#include <string>

#include "base/clock.h"
#include "base/errors.h"
#include "base/kv_store.h"
#include "decide/catalogue_parts.h"
#include "net/event_loop.h"

namespace mimosa {

// Describes why a read or write of the stored catalogue failed.
enum class StoreErrorKind {
  kUnavailable,  // the platform did not perform the operation
  // The write may have taken effect; its outcome couldn't be determined.
  kUnknownOutcome,
  kConflict,  // a concurrent change was written first; nothing was changed
  kCorrupt,   // the head or a part is invalid or missing
};
const char* StoreErrorKindName(StoreErrorKind kind);
struct StoreError {
  StoreErrorKind kind;
  std::string detail;
};

// Holds a catalogue as it was read, and the revision of its head that a write
// must expect.
struct VersionedCatalogue {
  StoredCatalogue stored;
  wire::Catalogue catalogue;
  Revision head_revision;  // 0 if there is no head yet
};

class CatalogueStore {
 public:
  // `settle_timeout` bounds how long a write whose reply was lost is retried or
  // read back.
  CatalogueStore(EventLoop* loop, KvStore* kv, std::string deployment,
                 Duration settle_timeout);

  // Returns the stored catalogue; an empty one with revision 0 if nothing is
  // stored. Fails with StoreError.
  leaf::result<VersionedCatalogue> Read();

  // Replaces the catalogue that was read by `catalogue`, which must be valid.
  // Returns the new version. Fails with StoreError, or with CatalogueErrors if
  // a part would be too large.
  leaf::result<uint64_t> Write(const VersionedCatalogue& read,
                               const wire::Catalogue& catalogue,
                               const wire::CatalogueChange& change);

 private:
  using StartCall = std::function<KvStore::CallPtr(KvStore::DoneCallback)>;

  KvResult AwaitCall(const StartCall& start);
  KvResult GetRecord(const std::string& key);
  void SleepFor(Duration duration);

  leaf::result<void> WriteParts(const PartTexts& parts);
  leaf::result<void> WritePart(const std::string& digest,
                               const std::string& text);
  leaf::result<void> WriteHead(const wire::CatalogueHead& head,
                               Revision expect);
  leaf::result<void> SettleHeadWrite(const wire::CatalogueChange& change,
                                     Revision expect);
  void DeletePart(const std::string& digest);

  EventLoop* const loop_;
  KvStore* const kv_;
  const std::string deployment_;
  const Duration settle_timeout_;
};

}  // namespace mimosa

#endif  // TOOLS_MIMOSACTL_STORE_H_
