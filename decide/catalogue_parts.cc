// Splits a catalogue into parts and joins them again.
#include "decide/catalogue_parts.h"

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <set>
#include <utility>

#include "base/digest.h"
#include "base/json.h"
#include "decide/catalogue.h"

namespace mimosa {
namespace {

// Approximate number of entries in a part. More buckets make the parts smaller
// and the head larger. With 2,100 customers and 1,100 engines, both are some
// ten kilobytes.
constexpr int kEntriesPerBucket = 64;
constexpr int kMaxBuckets = 64;  // For each kind of entry.

// Returns the smallest power of two that keeps parts at their size.
int BucketsFor(int entries) {
  int buckets = 1;
  while (buckets < kMaxBuckets && buckets * kEntriesPerBucket < entries)
    buckets *= 2;
  return buckets;
}

// FNV-1a, which gives the same result on every machine and in every version.
uint64_t HashId(const std::string& id) {
  uint64_t hash = 14695981039346656037ULL;
  for (const unsigned char c : id) hash = (hash ^ c) * 1099511628211ULL;
  // The low bits of FNV mix badly for ids that differ only in the last digits.
  return hash ^ (hash >> 32U);
}

std::string BucketName(const char* kind, uint64_t bucket) {
  char name[32];
  (void)std::snprintf(name, sizeof(name), "%s/%02u", kind,
                      static_cast<unsigned>(bucket));
  return name;
}

using Buckets = std::map<std::string, wire::CataloguePart>;

// Copies `entries`, ordered by id, into their buckets. `list` returns the list
// of a part that holds this kind of entry.
template <typename List, typename ListOf>
void Distribute(const char* kind, const List& entries, ListOf list,
                Buckets* buckets) {
  std::vector<const typename List::value_type*> sorted;
  sorted.reserve(entries.size());
  for (const auto& entry : entries) sorted.push_back(&entry);
  std::sort(sorted.begin(), sorted.end(),
            [](const auto* a, const auto* b) { return a->id() < b->id(); });
  const int count = BucketsFor(entries.size());
  for (const auto* entry : sorted) {
    const std::string name = BucketName(kind, HashId(entry->id()) % count);
    *list(&(*buckets)[name])->Add() = *entry;
  }
}

Buckets SplitIntoBuckets(const wire::Catalogue& catalogue) {
  Buckets buckets;
  Distribute(
      "customers", catalogue.customers(),
      [](wire::CataloguePart* part) { return part->mutable_customers(); },
      &buckets);
  Distribute(
      "routes", catalogue.routes(),
      [](wire::CataloguePart* part) { return part->mutable_routes(); },
      &buckets);
  Distribute(
      "back_ends", catalogue.back_ends(),
      [](wire::CataloguePart* part) { return part->mutable_back_ends(); },
      &buckets);
  return buckets;
}

// Returns whether the stored part `ref` has the same entries as `part`.
bool HasSameEntries(const StoredCatalogue& stored,
                    const wire::CataloguePartRef& ref,
                    const wire::CataloguePart& part) {
  const auto text = stored.parts.find(ref.digest());
  if (text == stored.parts.end()) return false;
  wire::CataloguePart old;
  if (!FromJson(text->second, /*strict=*/false, &old)) return false;
  old.clear_written_by();
  return old.SerializeAsString() == part.SerializeAsString();
}

const wire::CataloguePartRef* FindPartRef(const wire::CatalogueHead& head,
                                          const std::string& bucket) {
  for (const wire::CataloguePartRef& ref : head.parts())
    if (ref.bucket() == bucket) return &ref;
  return nullptr;
}

// Moves the parts that `write` no longer names to the list of retired parts,
// and the parts retired long enough ago to the deletable ones.
void RetireParts(const wire::CatalogueHead& previous, CatalogueWrite* write) {
  std::set<std::string> named;
  for (const auto& ref : write->head.parts()) named.insert(ref.digest());
  *write->head.mutable_retired() = previous.retired();
  for (const auto& ref : previous.parts()) {
    if (named.count(ref.digest()) != 0) continue;
    wire::RetiredPart* retired = write->head.add_retired();
    retired->set_digest(ref.digest());
    retired->set_version(write->head.version());
  }
  auto* retired_parts = write->head.mutable_retired();
  int expired = 0;
  while (expired < retired_parts->size() &&
         retired_parts->Get(expired).version() + kHistoryLength <=
             write->head.version())
    write->deletable.push_back(retired_parts->Get(expired++).digest());
  retired_parts->DeleteSubrange(0, expired);
}

void AddHistory(const wire::CatalogueHead& previous,
                wire::CatalogueChange change, wire::CatalogueHead* head) {
  change.set_version(head->version());
  *head->add_history() = std::move(change);
  for (const auto& older : previous.history())
    if (head->history_size() < kHistoryLength) *head->add_history() = older;
}

leaf::error_id TooLargeError(const std::string& what, size_t bytes) {
  return leaf::new_error(CatalogueErrors{
      {{CatalogueErrorKind::kTooLarge, what, "",
        std::to_string(bytes) + " bytes; the limit of a record is " +
            std::to_string(kMaxPartBytes)}}});
}

}  // namespace

leaf::result<CatalogueWrite> PlanCatalogueWrite(
    const StoredCatalogue& previous, const wire::Catalogue& catalogue,
    wire::CatalogueChange change) {
  CatalogueWrite write;
  write.head.set_version(previous.head.version() + 1);
  for (auto& [bucket, part] : SplitIntoBuckets(catalogue)) {
    const wire::CataloguePartRef* old = FindPartRef(previous.head, bucket);
    if (old != nullptr && HasSameEntries(previous, *old, part)) {
      *write.head.add_parts() = *old;
      continue;
    }
    part.set_written_by(change.change_id());
    std::string text = ToJson(part);
    if (text.size() > kMaxPartBytes) return TooLargeError(bucket, text.size());
    wire::CataloguePartRef* ref = write.head.add_parts();
    ref->set_bucket(bucket);
    ref->set_digest(Sha256Hex(text));
    write.new_parts[ref->digest()] = std::move(text);
  }
  RetireParts(previous.head, &write);
  AddHistory(previous.head, std::move(change), &write.head);
  const size_t head_bytes = ToJson(write.head).size();
  if (head_bytes > kMaxPartBytes) return TooLargeError("head", head_bytes);
  return write;
}

leaf::result<wire::Catalogue> JoinCatalogue(const wire::CatalogueHead& head,
                                            const PartTexts& parts) {
  wire::Catalogue catalogue;
  catalogue.set_version(head.version());
  for (const wire::CataloguePartRef& ref : head.parts()) {
    const auto error = [&ref](PartsErrorKind kind) {
      return leaf::new_error(PartsError{kind, ref.bucket(), ref.digest()});
    };
    const auto text = parts.find(ref.digest());
    if (text == parts.end()) return error(PartsErrorKind::kMissingPart);
    if (Sha256Hex(text->second) != ref.digest())
      return error(PartsErrorKind::kWrongDigest);
    wire::CataloguePart part;
    if (!FromJson(text->second, /*strict=*/false, &part))
      return error(PartsErrorKind::kMalformed);
    catalogue.mutable_customers()->MergeFrom(part.customers());
    catalogue.mutable_routes()->MergeFrom(part.routes());
    catalogue.mutable_back_ends()->MergeFrom(part.back_ends());
  }
  const auto by_id = [](const auto& a, const auto& b) {
    return a.id() < b.id();
  };
  std::sort(catalogue.mutable_customers()->begin(),
            catalogue.mutable_customers()->end(), by_id);
  std::sort(catalogue.mutable_routes()->begin(),
            catalogue.mutable_routes()->end(), by_id);
  std::sort(catalogue.mutable_back_ends()->begin(),
            catalogue.mutable_back_ends()->end(), by_id);
  return catalogue;
}

std::vector<std::string> MissingParts(const wire::CatalogueHead& head,
                                      const PartTexts& have) {
  std::vector<std::string> missing;
  for (const wire::CataloguePartRef& ref : head.parts())
    if (have.count(ref.digest()) == 0) missing.push_back(ref.digest());
  return missing;
}

void DropUnreferencedParts(const wire::CatalogueHead& head, PartTexts* parts) {
  PartTexts kept;
  for (const wire::CataloguePartRef& ref : head.parts()) {
    auto node = parts->extract(ref.digest());
    if (!node.empty()) kept.insert(std::move(node));
  }
  *parts = std::move(kept);
}

std::string CatalogueHeadKey(const std::string& deployment) {
  return deployment + "/catalogue/head";
}

std::string CataloguePartKey(const std::string& deployment,
                             const std::string& digest) {
  return deployment + "/catalogue-parts/" + digest;
}

}  // namespace mimosa
