// The platform's metadata store, as the daemons and mimosactl use it.
//
// Model: records are (key, value, revision). Revisions grow over the whole
// store; a record's revision changes with each write of it. A write names the
// revision that it replaces (0: the record must be absent), so that of two
// racing writers one loses and is told so. A record may hang on a lease and
// disappears with it. A watch is answered when something under its prefix has
// changed, or after a while.
//
// A call that fails with kNoReply may have taken effect. The writer settles
// that by reading the record back and looking for its change id, never by
// writing again blindly.
#ifndef BASE_KV_STORE_H_
#define BASE_KV_STORE_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"

namespace mimosa {

// The largest value that the platform holds.
inline constexpr size_t kMaxValueBytes = 1u << 20;

enum class KvStatus {
  kOk,
  kNotFound,
  kConflict,     // the record's revision is another one
  kUnavailable,  // refused or not reached: certainly no effect
  kNoReply,      // may have taken effect
  kCompacted,    // watch: too old a revision; list again
};
const char* KvStatusName(KvStatus status);

struct KvRecord {
  std::string key;
  std::string value;
  Revision revision;
};

struct KvResult {
  KvStatus status = KvStatus::kUnavailable;
  // kOk: the record read, or the key and new revision of a write.
  // kConflict: the record that is there (revision 0: none).
  KvRecord record;
};

struct KvListResult {
  KvStatus status = KvStatus::kUnavailable;
  Revision revision;                 // of the store, at the time of the answer
  std::vector<KvRecord> records;     // list: all; watch: the changed ones
  std::vector<std::string> deleted;  // watch only
};

// An unanswered call; destroying it drops the answer (the effect may come).
class KvCall {
 public:
  virtual ~KvCall() = default;
};

class KvStore {
 public:
  using DoneCallback = std::function<void(KvResult)>;
  using ListDoneCallback = std::function<void(KvListResult)>;
  using CallPtr = std::unique_ptr<KvCall>;

  virtual ~KvStore() = default;

  // Callbacks come from the loop, once, never from within the call.
  [[nodiscard]] virtual CallPtr Get(const std::string& key,
                                    DoneCallback done) = 0;
  // `lease`: empty, or the id of a lease whose end removes the record.
  [[nodiscard]] virtual CallPtr Put(const std::string& key, std::string value,
                                    Revision expect, const std::string& lease,
                                    DoneCallback done) = 0;
  [[nodiscard]] virtual CallPtr Delete(const std::string& key, Revision expect,
                                       DoneCallback done) = 0;
  [[nodiscard]] virtual CallPtr List(const std::string& prefix,
                                     ListDoneCallback done) = 0;
  // Answered at a change under `prefix` after revision `after`, or empty after
  // `wait`. The platform counts it as one waiting call.
  [[nodiscard]] virtual CallPtr Watch(const std::string& prefix, Revision after,
                                      Duration wait, ListDoneCallback done) = 0;
  // record.value of the result is the lease's id.
  [[nodiscard]] virtual CallPtr CreateLease(Duration ttl,
                                            DoneCallback done) = 0;
  [[nodiscard]] virtual CallPtr RenewLease(const std::string& lease,
                                           DoneCallback done) = 0;
  [[nodiscard]] virtual CallPtr EndLease(const std::string& lease,
                                         DoneCallback done) = 0;
};

}  // namespace mimosa

#endif  // BASE_KV_STORE_H_
