/// Who owns the cell. The owner's record in the store is held under a lease; its revision is the
/// fencing token of every order and the condition of every write. Pure: events in, actions out.
#pragma once

#include "heatherchute/Support.h"
#include "heatherchute/Work.h"

namespace heatherchute::cell {

/// The owner's record as the store has it.
struct OwnerRecord {
    std::string daemon;
    /// New for every claim.
    std::string nonce;
    std::string peerAddress;
    std::uint64_t lease = 0;
    /// Store revision of the record; set when it is read.
    std::uint64_t revision = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(OwnerRecord, daemon, nonce, peerAddress, lease)

enum class Tenure : std::uint8_t {
    Follower,
    Claiming,
    /// Owns the cell; the lease holds.
    Owner,
    /// The lease could not be renewed in time. Nothing shows that another daemon owns the cell.
    Doubtful,
};
std::string_view tenureName(Tenure tenure);

/// Writes a record of ours under a new lease if the present one's revision is `expected`.
struct ClaimCell {
    std::uint64_t expected = 0;
    std::string nonce;
    /// Lease of the record that is replaced, to be ended after the claim was won; zero: none.
    std::uint64_t replacedLease = 0;
};
struct RenewClaim {
    std::uint64_t lease = 0;
};
/// Ends the lease, so that a successor need not wait for it.
struct ReleaseClaim {
    std::uint64_t lease = 0;
};
struct OwnershipBegan {
    std::uint64_t fencingToken = 0;
};
struct OwnershipEnded {
    std::string why;
};
using ElectionAction = std::variant<ClaimCell, RenewClaim, ReleaseClaim, OwnershipBegan, OwnershipEnded>;

enum class ClaimOutcome : std::uint8_t {
    Won,
    Lost,
    /// The store did not say; its record tells once it can be read.
    Unknown,
};

enum class RenewalOutcome : std::uint8_t {
    Renewed,
    Ended,
    Unknown,
};

struct ElectionSettings {
    std::string daemon;
    /// Lease of the record.
    Milliseconds lease { 1600 };
    Milliseconds renewInterval { 300 };
    /// Taken off the lease on our side, for the call's way and the timers' lateness.
    Milliseconds leaseMargin { 200 };
    /// How long an owner whose process seems to have ended has to show itself.
    Milliseconds suspicionTimeout { 250 };
    /// Between two claims on suspicion, so that a daemon which alone is cut from the owner does
    /// not take the cell again and again.
    Milliseconds suspicionCooldown { 10'000 };
    /// Claims of several daemons are spread over this time.
    Milliseconds maxClaimJitter { 120 };
    /// Added for a daemon that had better not be the owner.
    Milliseconds claimDelay { 0 };
};

class ElectionDesk {
public:
    ElectionDesk(ElectionSettings settings, std::uint64_t seed);

    /// The record as the store has it now; none when there is no owner.
    void onRecord(const std::optional<OwnerRecord>& record, TimePoint now);
    /// `sentAt`: when the lease was asked for.
    void onClaim(const std::string& nonce, ClaimOutcome outcome, std::uint64_t lease, std::uint64_t revision, TimePoint sentAt, TimePoint now);
    void onRenewal(std::uint64_t lease, RenewalOutcome outcome, TimePoint sentAt, TimePoint now);
    /// The connection to the owner was closed, as when its process ends.
    void suspectOwner(TimePoint now);
    /// The owner has answered after all.
    void trustOwner();
    /// Something else proved that another daemon owns the cell.
    void depose(const std::string& why, TimePoint now);
    /// Gives the ownership up and claims no more until `until`.
    void stepDown(const std::string& why, TimePoint now, TimePoint until);
    /// Claims nothing until `until`, unless it owns the cell already.
    void abstain(TimePoint until);
    void tick(TimePoint now);

    Tenure tenure() const { return m_ownershipState; }
    bool isOwner() const { return m_ownershipState == Tenure::Owner || m_ownershipState == Tenure::Doubtful; }
    std::uint64_t fencingToken() const { return m_fencingToken; }
    /// The newest record known; none when the store has none.
    const std::optional<OwnerRecord>& record() const { return m_record; }
    std::vector<ElectionAction> takeActions() { return std::exchange(m_actions, {}); }

private:
    void endOwnership(const std::string& why, TimePoint now);
    void scheduleClaim(TimePoint now, bool isOwnOld);

    ElectionSettings m_settings;
    std::uint64_t m_random;
    Tenure m_ownershipState = Tenure::Follower;
    std::optional<OwnerRecord> m_record;
    bool m_isRecordKnown = false;
    bool m_isSuspecting = false;
    /// Revision of the suspected owner's record.
    std::uint64_t m_suspectedRevision = 0;
    TimePoint m_noSuspicionBefore;
    std::optional<TimePoint> m_claimAt;
    TimePoint m_noClaimBefore;
    std::string m_nonce;
    std::uint64_t m_lease = 0;
    std::uint64_t m_fencingToken = 0;
    TimePoint m_validUntil;
    TimePoint m_renewAt;
    bool m_isRenewing = false;
    std::vector<ElectionAction> m_actions;
};

} // namespace heatherchute::cell
