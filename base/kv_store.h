// Client interface of the platform's metadata store, which the daemons and
// mimosactl use.
//
// Records are (key, value, revision). Revisions increase across the whole
// store, and each write of a record changes its revision. A write names the
// revision that it replaces (0: the record must be absent), so that of two
// concurrent writers one fails with kConflict. A record may be attached to a
// platform lease and is deleted when the lease ends. A watch completes when a
// record under its prefix has changed, or after a timeout.
//
// The store may come back from an older copy of its records. A new era begins
// then: what was written after the copy is gone, leases too. Every revision of
// an era is greater than all revisions of earlier eras, and no revision or
// lease of an earlier era stands for anything in the new one: a watch from it
// is answered with kCompacted, a write that replaces it with kConflict, and a
// lease of it with kNotFound.
//
// A call that fails with kNoReply may have taken effect. The writer must read
// the record back and look for its change id, and must not write again before
// that.
#ifndef BASE_KV_STORE_H_
#define BASE_KV_STORE_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"

namespace mimosa {

// Largest value that the platform stores.
inline constexpr size_t kMaxValueBytes = 1u << 20;

enum class KvStatus {
  kOk,
  kNotFound,
  kConflict,     // the record has another revision
  kUnavailable,  // refused or unreachable; certainly had no effect
  kNoReply,      // no reply arrived; may have taken effect
  kCompacted,    // watch: the revision is too old; list again
};
const char* KvStatusName(KvStatus status);

struct KvRecord {
  std::string key;
  std::string value;
  Revision revision;
};

struct KvResult {
  KvStatus status = KvStatus::kUnavailable;
  // kOk: the record that was read, or the key and new revision of a write.
  // kConflict: the present record; revision 0: it doesn't exist.
  KvRecord record;
  StoreEra era{};  // Of the store when it replied.
};

struct KvListResult {
  KvStatus status = KvStatus::kUnavailable;
  Revision revision;                 // of the store when it replied
  std::vector<KvRecord> records;     // list: all; watch: the changed ones
  std::vector<std::string> deleted;  // watch only
  StoreEra era{};                    // of the store when it replied
};

// A pending call. Destroying it drops the callback, but the call may still take
// effect.
class KvCall {
 public:
  virtual ~KvCall() = default;
};

// Asynchronous calls to the store.
class KvStore {
 public:
  using DoneCallback = std::function<void(KvResult)>;
  using ListDoneCallback = std::function<void(KvListResult)>;
  using CallPtr = std::unique_ptr<KvCall>;

  virtual ~KvStore() = default;

  // Callbacks run once, from the event loop, never from within these methods.

  // Reads one record.
  [[nodiscard]] virtual CallPtr Get(const std::string& key,
                                    DoneCallback done) = 0;
  // Writes the record if its revision is `expect`. `lease` is empty or the id
  // of a platform lease whose end deletes the record.
  [[nodiscard]] virtual CallPtr Put(const std::string& key, std::string value,
                                    Revision expect, const std::string& lease,
                                    DoneCallback done) = 0;
  // Deletes the record if its revision is `expect`.
  [[nodiscard]] virtual CallPtr Delete(const std::string& key, Revision expect,
                                       DoneCallback done) = 0;
  // Reads all records under `prefix`.
  [[nodiscard]] virtual CallPtr List(const std::string& prefix,
                                     ListDoneCallback done) = 0;
  // Completes when a record under `prefix` changes after revision `after`, or
  // with an empty result after `wait`. The platform counts it as one waiting
  // call.
  [[nodiscard]] virtual CallPtr Watch(const std::string& prefix, Revision after,
                                      Duration wait, ListDoneCallback done) = 0;
  // Creates a platform lease; its id is returned in record.value.
  [[nodiscard]] virtual CallPtr CreateLease(Duration ttl,
                                            DoneCallback done) = 0;
  [[nodiscard]] virtual CallPtr RenewLease(const std::string& lease,
                                           DoneCallback done) = 0;
  [[nodiscard]] virtual CallPtr EndLease(const std::string& lease,
                                         DoneCallback done) = 0;
};

}  // namespace mimosa

#endif  // BASE_KV_STORE_H_
