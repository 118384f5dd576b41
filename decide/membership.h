// Who the members are, and who looks after whom.
//
// FleetView is a daemon's copy of the records under "<deployment>/fleet/",
// complete up to a revision of the platform's store. The platform's watch
// carries it forward at the few members that watch; the others take deltas
// from a peer that is further. Everything else here is a function of a view.
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

// At most so many witnesses for a member, and members on the platform's watch.
inline constexpr size_t kMaxWitnesses = 5;
// With fewer peers to witness it, a member's term rests on a platform lease.
inline constexpr size_t kMinWitnesses = 2;

// An id that no other writer has: of a change, a hand-over, an incarnation.
std::string NewUniqueId(RandomSource* random);

// One record under the fleet's prefix as it travels.
struct FleetRecord {
  std::string key;
  std::string value;
  Revision revision;
};

// What changed after a revision.
struct FleetDelta {
  Revision revision;  // complete up to here
  bool is_snapshot = false;
  std::vector<FleetRecord> records;
  std::vector<std::string> deleted;
};

// A member's record with its revision.
struct MemberEntry {
  wire::MemberRecord record;
  Revision revision;
};

class FleetView {
 public:
  // Keys are `prefix` + "members/<member>" and `prefix` + "slots".
  explicit FleetView(std::string prefix) : prefix_(std::move(prefix)) {}

  std::string MemberKey(const MemberId& id) const;
  std::string SlotsKey() const { return prefix_ + "slots"; }

  // Takes in a list, an answer to a watch (`after`: the revision it was asked
  // with) or a peer's delta. Returns false, changing nothing, if the view has
  // not all up to `after`.
  bool ApplyDelta(Revision after, const FleetDelta& delta);
  // One record that was read or written apart from that.
  bool ApplyRecord(const FleetRecord& record);
  void ApplyDeleted(const std::string& key, Revision at);

  // For a peer that is complete up to `after`.
  FleetDelta DeltaSince(Revision after) const;

  // All records up to here are known; 0: nothing yet.
  Revision revision() const { return revision_; }

  const std::map<MemberId, MemberEntry>& members() const { return members_; }
  const MemberEntry* FindMember(const MemberId& id) const;
  // True if the member has ended, or its record is gone (`since`: a revision at
  // which it was known to exist; 0 if none).
  bool HasEnded(const MemberId& id, Revision since) const;

  const wire::SlotTable& slots() const { return slots_; }
  Revision slots_revision() const { return slots_revision_; }

  // Members that have not ended and are not leaving, by id.
  std::vector<MemberId> ActiveMembers() const;

 private:
  struct StoredRecord {
    std::string value;  // empty: deleted
    Revision revision;
  };

  bool StoreRecord(const std::string& key, const std::string& value,
                   Revision at);
  void ParseRecord(const std::string& key, const StoredRecord& stored);

  const std::string prefix_;
  std::map<std::string, StoredRecord> records_;  // deleted ones included
  std::map<MemberId, MemberEntry> members_;      // parsed from stored_
  wire::SlotTable slots_;                        // parsed from stored_
  Revision slots_revision_;
  Revision revision_;
};

// The members that watch the platform: the first `count` in rendezvous order.
bool IsWatcher(const FleetView& view, const MemberId& id, size_t count);

// A witness set for `self`: members that stay and are `usable`, of the region
// of `self` while there are kMinWitnesses of them, no failure domain with an
// end quorum where the others suffice. Empty: a platform lease must do.
WitnessSet ChooseWitnesses(const FleetView& view,
                           const wire::MemberRecord& self,
                           const std::function<bool(const MemberId&)>& usable);

// For how long a witness that is not asked by a member waits before it proposes
// to end it: `rank` is its place among the witnesses, so that one goes first.
Duration EndProposalDelay(Duration grant, size_t rank);

}  // namespace mimosa

#endif  // DECIDE_MEMBERSHIP_H_
