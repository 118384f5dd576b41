// Names of KvStatus values.
#include "base/kv_store.h"

namespace mimosa {

const char* KvStatusName(KvStatus status) {
  switch (status) {
    case KvStatus::kOk:
      return "ok";
    case KvStatus::kNotFound:
      return "not_found";
    case KvStatus::kConflict:
      return "conflict";
    case KvStatus::kUnavailable:
      return "unavailable";
    case KvStatus::kNoReply:
      return "no_reply";
    case KvStatus::kCompacted:
      return "compacted";
  }
  return "?";
}

}  // namespace mimosa
