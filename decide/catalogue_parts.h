// The catalogue as it is stored in the platform: one head record, written with
// compare-and-swap, that names content-addressed parts.
//
// Model: customers, routes and back ends are hashed by id into buckets. The
// entries of a bucket, sorted by id, form one part. The number of buckets
// depends on the number of entries: a small site has three parts, and with
// thousands of entries a change of one entry rewrites the head and one part of
// some ten kilobytes. Parts are written before the head that names them. A part
// contains the id of the change that wrote it, so that two writers never write
// the same digest, and a part that no head refers to can be deleted safely.
//
// This code only computes; mimosactl and the daemons do the reading and
// writing.
#ifndef DECIDE_CATALOGUE_PARTS_H_
#define DECIDE_CATALOGUE_PARTS_H_

#include <map>
#include <string>
#include <vector>

#include "base/errors.h"
#include "base/ids.h"
#include "wire/catalogue.pb.h"

namespace mimosa {

// The text (JSON) of each part by its digest.
using PartTexts = std::map<std::string, std::string>;

// A catalogue as it is stored.
struct StoredCatalogue {
  wire::CatalogueHead head;
  PartTexts parts;
};

// Reasons why a head and its parts don't form a catalogue.
enum class PartsErrorKind {
  kMissingPart,  // A part that the head names is missing.
  kWrongDigest,  // A part's text doesn't match its digest.
  kMalformed,    // A part can't be parsed as a CataloguePart.
};
struct PartsError {
  PartsErrorKind kind;
  std::string bucket;
  std::string digest;
};

// The writes of one change.
struct CatalogueWrite {
  wire::CatalogueHead head;
  PartTexts new_parts;  // To be written before the head.
  // Digests to delete once the head is written.
  std::vector<std::string> deletable;
};

// Larger parts and heads are rejected, because a record holds a megabyte.
inline constexpr size_t kMaxPartBytes = 1'000'000;
// Number of changes that the head lists. Parts that the head no longer names
// are kept for this many versions.
inline constexpr int kHistoryLength = 20;

// Computes the writes that turn `previous` (empty if there is none) into
// `catalogue`. The new version is the previous one plus one; `change` provides
// id, author, summary and time. Parts whose entries are unchanged are not
// rewritten. Fails if a part or the head would be too large.
leaf::result<CatalogueWrite> PlanCatalogueWrite(
    const StoredCatalogue& previous, const wire::Catalogue& catalogue,
    wire::CatalogueChange change);

// Returns the catalogue that `head` names, with entries sorted by id. Verifies
// every digest. Fails with PartsError.
leaf::result<wire::Catalogue> JoinCatalogue(const wire::CatalogueHead& head,
                                            const PartTexts& parts);

// Returns the digests that `head` names and `have` lacks, which a reader must
// fetch.
std::vector<std::string> MissingParts(const wire::CatalogueHead& head,
                                      const PartTexts& have);
// Removes the texts that `head` doesn't name.
void DropUnreferencedParts(const wire::CatalogueHead& head, PartTexts* parts);

// Keys in the platform. Daemons watch the key of the head. Parts are stored
// under another prefix, so that writing them triggers no watch.
std::string CatalogueHeadKey(const std::string& deployment);
std::string CataloguePartKey(const std::string& deployment,
                             const std::string& digest);

}  // namespace mimosa

#endif  // DECIDE_CATALOGUE_PARTS_H_
