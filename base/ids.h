// The identifiers and units that all modules share.
#ifndef BASE_IDS_H_
#define BASE_IDS_H_

#include "base/strong.h"

namespace mimosa {

// Who and what. Customer, engine, back end and failure domain are the words of
// the brief; docs/GLOSSARY.md maps them to the field's.
using CustomerId = StrongId<struct CustomerIdTag>;
using RouteId = StrongId<struct RouteIdTag>;
using BackEndId = StrongId<struct BackEndIdTag>;  // an engine or plain service
using FailureDomain = StrongId<struct FailureDomainTag>;
using ModelId = StrongId<struct ModelIdTag>;

// One run of one daemon: "<daemon name>#<incarnation>". A restarted process is
// another member. Only a member holds terms, slots and reservations.
using MemberId = StrongId<struct MemberIdTag>;

// Unique over all members and incarnations: "<member>/<serial>".
using RequestId = StrongId<struct RequestIdTag>;

// Unique per write to the platform; settles a lost reply by reading it back.
using ChangeId = StrongId<struct ChangeIdTag>;

using Tokens = Quantity<struct TokensTag>;  // prompt or output tokens
using Pieces = Quantity<struct PiecesTag>;  // KV memory, kTokensPerPiece each
using Bytes = Quantity<struct BytesTag>;

// Revision of a record in the platform's key-value service; 0 means absent.
using Revision = Quantity<struct RevisionTag>;

// Version of the catalogue; grows by one with each accepted change.
using CatalogueVersion = Quantity<struct CatalogueVersionTag>;

// Tokens in one piece of an engine's KV memory.
inline constexpr int64_t kTokensPerPiece = 2048;

// The whole pieces that hold `tokens` (>= 0).
constexpr Pieces PiecesFor(Tokens tokens) {
  return Pieces((tokens.count() + kTokensPerPiece - 1) / kTokensPerPiece);
}

}  // namespace mimosa

#endif  // BASE_IDS_H_
