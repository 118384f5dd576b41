// The fleet's members, and which member acts as witness or watcher for others.
//
// FleetView is a daemon's copy of the records under "<deployment>/fleet/",
// complete up to a revision of the platform's store. A few members watch the
// platform and update their views from it; the others take deltas from a peer
// whose view is newer. All other functions here compute their results from a
// view.
#ifndef DECIDE_MEMBERSHIP_H_
#define DECIDE_MEMBERSHIP_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "base/random.h"
#include "decide/member_lease.h"
#include "decide/rendezvous.h"
#include "wire/fleet.pb.h"

namespace mimosa {

// Maximum number of witnesses of a member, and of members that watch the
// platform.
inline constexpr size_t kMaxWitnesses = 5;
// With fewer peers available as witnesses, a member's lease depends on a
// platform lease.
inline constexpr size_t kMinWitnesses = 2;

// Returns an id that no other writer uses, for a change, a hand-over or an
// incarnation.
std::string NewUniqueId(RandomSource* random);

// One record under the fleet's prefix, as it is sent between members.
struct FleetRecord {
  std::string key;
  std::string value;
  Revision revision;
};

// The changes after a revision, or a snapshot of all records.
struct FleetDelta {
  Revision revision;  // The delta is complete up to this revision.
  bool is_snapshot = false;
  std::vector<FleetRecord> records;
  std::vector<std::string> deleted_keys;
};

// A member's record with its revision.
struct MemberEntry {
  wire::MemberRecord record;
  Revision revision;
};

class FleetView {
 public:
  // The keys are `prefix` + "members/<member>" and `prefix` + "slots".
  explicit FleetView(std::string prefix) : prefix_(std::move(prefix)) {}

  std::string MemberKey(const MemberId& id) const;
  std::string SlotsKey() const { return prefix_ + "slots"; }

  // Applies a listing, a response to a watch or a peer's delta. `after` is the
  // revision from which the changes were requested. Returns false and changes
  // nothing if the view is not complete up to `after`.
  bool ApplyDelta(Revision after, const FleetDelta& delta);
  // Applies one record that was read or written outside the listing and the
  // watch. Returns false if the view has this or a newer revision of it.
  bool ApplyRecord(const FleetRecord& record);
  // Applies a deletion that is known at `revision`.
  void ApplyDeleted(const std::string& key, Revision revision);

  // Returns the changes for a peer that is complete up to `after`.
  FleetDelta DeltaSince(Revision after) const;

  // The view is complete up to this revision; 0 before the first listing.
  Revision revision() const { return revision_; }

  const std::map<MemberId, MemberEntry>& members() const { return members_; }
  const MemberEntry* FindMember(const MemberId& id) const;
  // Returns true if the member has ended or its record is gone. `since` is a
  // revision at which the record is known to have existed, or 0.
  bool HasEnded(const MemberId& id, Revision since) const;

  const wire::SlotTable& slots() const { return slots_; }
  Revision slots_revision() const { return slots_revision_; }

  // Members that have not ended and are not leaving, ordered by id.
  std::vector<MemberId> ActiveMembers() const;

 private:
  struct StoredRecord {
    std::string value;  // Empty if deleted.
    Revision revision;
  };

  bool StoreRecord(const std::string& key, const std::string& value,
                   Revision revision);
  void ParseRecord(const std::string& key, const StoredRecord& stored);

  const std::string prefix_;
  std::map<std::string, StoredRecord> records_;  // Includes deleted records.
  std::map<MemberId, MemberEntry> members_;      // Parsed from records_.
  wire::SlotTable slots_;                        // Parsed from records_.
  Revision slots_revision_;
  Revision revision_;
};

// Returns true if `id` is one of the `count` members that watch the platform:
// the first ones in rendezvous order.
bool IsWatcher(const FleetView& view, const MemberId& id, size_t count);

// Chooses the witnesses of `self` among the members that are active and
// `usable`. Prefers members in the region of `self` if at least kMinWitnesses
// are there, and sets without an end quorum in one failure domain. Returns an
// empty set if a platform lease must be used instead.
WitnessSet ChooseWitnesses(const FleetView& view,
                           const wire::MemberRecord& self,
                           const std::function<bool(const MemberId&)>& usable);

// How long a witness waits after a member's last request before it proposes to
// evict that member. `rank` is the witness' position among the member's
// witnesses; different ranks give different delays, so that one witness
// proposes first.
Duration EndProposalDelay(Duration lease_duration, size_t rank);

}  // namespace mimosa

#endif  // DECIDE_MEMBERSHIP_H_
