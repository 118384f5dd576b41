// The stored catalogue as mimosactl reads and writes it.
//
// Model: a write plans against the head that was read, writes the new parts,
// then replaces the head by compare-and-swap on that head's revision. Whoever
// loses the race is told so and has changed nothing. If the reply to the head's
// write is lost, the head is read back: its history holds our change id or the
// change never came in. Parts of a write that came in nowhere are deleted.
//
// The tool has nothing to do while a call is under way, so each call here runs
// the loop until it has ended.
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

// Why a read or write of the stored catalogue failed.
enum class StoreErrorKind {
  kUnavailable,     // the platform did not do it
  kUnknownOutcome,  // the write may have come in; it could not be settled
  kConflict,        // another change came in first; nothing was changed
  kCorrupt,         // the head or a part isn't what it should be
};
const char* StoreErrorKindName(StoreErrorKind kind);
struct StoreError {
  StoreErrorKind kind;
  std::string detail;
};

// A catalogue that was read, with the revision that a write must name.
struct VersionedCatalogue {
  StoredCatalogue stored;
  wire::Catalogue catalogue;
  Revision head_revision;  // of the head; 0: there is none yet
};

class CatalogueStore {
 public:
  // `settle_for`: how long a lost reply is asked after.
  CatalogueStore(EventLoop* loop, KvStore* kv, std::string deployment,
                 Duration settle_for);

  // Fails with StoreFault.
  leaf::result<VersionedCatalogue> Read();

  // Writes `catalogue` in place of what was read. Returns the new version.
  // Fails with StoreFault or CatalogueFaults; the catalogue must have been
  // checked.
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
