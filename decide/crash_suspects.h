// The suspects of a request: what would be at fault if it crashed an engine.
//
// A suspect is a part of the prompt that several requests share, or all of the
// request that an engine gets to see, by its fingerprint. The caller, the
// target and the body are in the fingerprint, the id and the deadline are not,
// since they differ in each repetition. A customer can't choose a request with
// the fingerprint of another customer's request: the digest resists collisions,
// and the customer is in it.
#ifndef DECIDE_CRASH_SUSPECTS_H_
#define DECIDE_CRASH_SUSPECTS_H_

#include <string_view>

#include "base/ids.h"

namespace mimosa {

// What repetitions of a request have in common.
struct RequestIdentity {
  std::string_view method;
  std::string_view host;
  std::string_view target;  // Path and query.
  CustomerId customer;      // Empty on a route without authentication.
  std::string_view body;
};

// Returns a digest of the identity, as hex digits.
RequestFingerprint FingerprintOf(const RequestIdentity& identity);

// Returns the suspect for a part that prompts share.
CrashSuspectId SuspectPromptPart(const PromptPartId& part);
// Returns the suspect for a whole request. It differs from those of all prompt
// parts, whose ids are hexadecimal.
CrashSuspectId SuspectRequest(const RequestFingerprint& fingerprint);
// Returns whether the suspect is a whole request.
bool IsRequest(const CrashSuspectId& suspect);

}  // namespace mimosa

#endif  // DECIDE_CRASH_SUSPECTS_H_
