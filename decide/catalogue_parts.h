// The catalogue as the platform keeps it: one head record, written with
// compare-and-swap, that names content-addressed parts.
//
// Model: customers, routes and back ends are hashed by id into buckets; a
// bucket's entries, sorted by id, are one part. The number of buckets follows
// from the number of entries, so a small site has three parts and a change of
// one entry at the letter's size rewrites one part of some ten kilobytes and
// the head. Parts are written before the head that names them. A part holds
// the id of the change that wrote it, hence two writers never write the same
// digest, and a part that nobody refers to can be deleted for good.
//
// This module computes; reading and writing is mimosactl's and the daemons'.
#ifndef DECIDE_CATALOGUE_PARTS_H_
#define DECIDE_CATALOGUE_PARTS_H_

#include <map>
#include <string>
#include <vector>

#include "base/errors.h"
#include "base/ids.h"
#include "wire/catalogue.pb.h"

namespace mimosa {

// A part's text (JSON) by its digest.
using PartTexts = std::map<std::string, std::string>;

// A catalogue as it is kept.
struct StoredCatalogue {
  wire::CatalogueHead head;
  PartTexts parts;
};

// Why a head and its parts aren't a catalogue.
enum class PartsFaultKind {
  kMissingPart,  // the head names a part that isn't there
  kWrongDigest,  // a part's text isn't what the head names
  kMalformed,    // a part isn't a CataloguePart
};
struct PartsError {
  PartsFaultKind kind;
  std::string bucket;
  std::string digest;
};

// One change to be written.
struct CatalogueWrite {
  wire::CatalogueHead head;
  PartTexts new_parts;                 // to be written before the head
  std::vector<std::string> deletable;  // digests, once the head is written
};

// Larger parts and heads are refused: a record holds a megabyte.
inline constexpr size_t kMaxPartBytes = 1'000'000;
// Changes that the head remembers, and versions for which parts that it no
// longer names are kept.
inline constexpr int kHistoryLength = 20;

// What has to be written to turn `previous` (an empty one: none) into
// `catalogue`. The new version is the previous one plus one; `change` gives id,
// author, summary and time. Parts whose entries are the same stay as they are.
// Fails with CatalogueFaults if a part or the head would be too large.
leaf::result<CatalogueWrite> PlanCatalogueWrite(
    const StoredCatalogue& previous, const wire::Catalogue& catalogue,
    wire::CatalogueChange change);

// The catalogue that `head` names, entries sorted by id. Verifies every digest.
// Fails with PartsFault.
leaf::result<wire::Catalogue> JoinCatalogue(const wire::CatalogueHead& head,
                                            const PartTexts& parts);

// The digests that `head` names and `have` lacks: what a reader must fetch.
std::vector<std::string> MissingParts(const wire::CatalogueHead& head,
                                      const PartTexts& have);
// Drops the texts that `head` doesn't name.
void DropUnreferencedParts(const wire::CatalogueHead& head, PartTexts* parts);

// Keys in the platform. The head's key is what daemons watch; parts lie under
// another prefix, so that writing them wakes nobody.
std::string CatalogueHeadKey(const std::string& deployment);
std::string CataloguePartKey(const std::string& deployment,
                             const std::string& digest);

}  // namespace mimosa

#endif  // DECIDE_CATALOGUE_PARTS_H_
