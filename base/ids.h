// Identifiers and units that all modules share.
#ifndef BASE_IDS_H_
#define BASE_IDS_H_

#include "base/strong.h"

namespace mimosa {

// docs/GLOSSARY.md explains customer, engine, back end and failure domain in
// the common terms of the field.
using CustomerId = StrongId<struct CustomerIdTag>;
using RouteId = StrongId<struct RouteIdTag>;
using BackEndId = StrongId<struct BackEndIdTag>;  // an engine or plain service
using FailureDomain = StrongId<struct FailureDomainTag>;
using Region = StrongId<struct RegionTag>;  // one or more failure domains
using ModelId = StrongId<struct ModelIdTag>;
// A part of prompts that several requests may share, as callers name it.
using PromptPartId = StrongId<struct PromptPartIdTag>;
// Digest of what repetitions of a request have in common.
using RequestFingerprint = StrongId<struct RequestFingerprintTag>;
// What may have crashed an engine; see decide/crash_suspects.h.
using CrashSuspectId = StrongId<struct CrashSuspectIdTag>;

// Identifies one run of one daemon: "<daemon name>#<incarnation>". A restarted
// process is a new member. Only members hold member leases, slots and
// reservations.
using MemberId = StrongId<struct MemberIdTag>;

// Unique among all members and incarnations: "<member>/<serial>".
using RequestId = StrongId<struct RequestIdTag>;

// Unique for each write to the platform. A writer whose reply was lost reads
// the record back and finds out from the id whether the write took effect.
using ChangeId = StrongId<struct ChangeIdTag>;

using Tokens = Quantity<struct TokensTag>;  // prompt or output tokens
using Pieces = Quantity<struct PiecesTag>;  // KV memory; see kTokensPerPiece
using Bytes = Quantity<struct BytesTag>;

// Revision of a record in the platform's key-value service; 0 means absent.
using Revision = Quantity<struct RevisionTag>;
// Era of that service, which rises by one each time that it comes back from an
// older copy of its records; 0 if it names none.
using StoreEra = Quantity<struct StoreEraTag>;

// Version of the catalogue, incremented with each accepted change.
using CatalogueVersion = Quantity<struct CatalogueVersionTag>;

// Number of tokens in one piece, the unit in which an engine's KV memory is
// allocated.
inline constexpr int64_t kTokensPerPiece = 2048;

// Returns the number of pieces that hold `tokens` (>= 0), rounded up.
constexpr Pieces PiecesFor(Tokens tokens) {
  return Pieces((tokens.count() + kTokensPerPiece - 1) / kTokensPerPiece);
}

}  // namespace mimosa

#endif  // BASE_IDS_H_
