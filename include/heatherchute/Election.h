/// Election of the cell's owner. The owner holds a record in the store under a lease. The store
/// revision of this record is the fencing token of every start and stop command and the
/// precondition of every write. The class does no I/O and reads no clock: events are passed in,
/// and actions are returned.
#pragma once

#include "heatherchute/Support.h"
#include "heatherchute/Work.h"

namespace heatherchute::cell {

/// The owner record in the store.
struct OwnerRecord {
    std::string daemon;
    /// Unique for each claim.
    std::string nonce;
    std::string peerAddress;
    std::uint64_t lease = 0;
    /// Store revision of the record; not part of the stored value, set when the record is read.
    std::uint64_t revision = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(OwnerRecord, daemon, nonce, peerAddress, lease)

/// Ownership state of this daemon.
enum class Tenure : std::uint8_t {
    Follower,
    /// A claim has been sent to the store; its result is pending.
    Claiming,
    /// Owns the cell under a valid lease.
    Owner,
    /// Ownership is unconfirmed: the lease was not renewed in time, but there is no evidence that
    /// another daemon owns the cell.
    Unconfirmed,
};
/// Name of an ownership state in log events.
std::string_view tenureName(Tenure tenure);

/// Writes this daemon's record under a new lease if the current record has revision `expected`.
struct ClaimCell {
    /// Revision of the current record; zero if there is none.
    std::uint64_t expected = 0;
    std::string nonce;
    /// Lease of the replaced record, to be revoked after the claim succeeds; zero for none.
    std::uint64_t replacedLease = 0;
};
/// Renews the lease of the owner record.
struct RenewClaim {
    std::uint64_t lease = 0;
};
/// Revokes the lease, so that a successor need not wait until it expires.
struct ReleaseClaim {
    std::uint64_t lease = 0;
};
/// This daemon has become the owner.
struct OwnershipBegan {
    std::uint64_t fencingToken = 0;
};
/// This daemon is no longer the owner.
struct OwnershipEnded {
    std::string why;
};
using ElectionAction = std::variant<ClaimCell, RenewClaim, ReleaseClaim, OwnershipBegan, OwnershipEnded>;

/// Result of a ClaimCell action.
enum class ClaimOutcome : std::uint8_t {
    Won,
    Lost,
    /// The store did not respond; the outcome is known once the record can be read.
    Unknown,
};

/// Result of a RenewClaim action.
enum class RenewalOutcome : std::uint8_t {
    Renewed,
    /// The store reports that the lease has expired or was revoked.
    Ended,
    /// The lease goes on, but the store has the record of another claim.
    Replaced,
    /// The store did not respond.
    Unknown,
};

/// Combines the result of renewing the lease with the revision of the owner record that was read together
/// with it; nullopt if the store did not respond, zero if it has no record. A lease outlives a record that
/// was replaced, so that it alone proves nothing.
RenewalOutcome confirmRenewal(RenewalOutcome lease, std::optional<std::uint64_t> recordRevision, std::uint64_t fencingToken);

struct ElectionSettings {
    /// Name of this daemon.
    std::string daemon;
    /// Lease duration of the owner record.
    Milliseconds lease { 1600 };
    Milliseconds renewInterval { 300 };
    /// Subtracted from the lease duration on this side, to allow for network delay and late timers.
    Milliseconds leaseMargin { 200 };
    /// Time for a suspected owner to respond before this daemon claims the cell.
    Milliseconds suspicionTimeout { 250 };
    /// Minimum time between two claims on suspicion. Prevents a daemon that alone has lost the
    /// connection to the owners from deposing one after another.
    Milliseconds suspicionCooldown { 10'000 };
    /// Upper bound of the random delay before a claim, so that daemons do not claim all at once.
    Milliseconds maxClaimJitter { 120 };
    /// Additional delay for a daemon that is a less suitable owner.
    Milliseconds claimDelay { 0 };
};

/// Claims, renews and releases the ownership of the cell for one daemon.
class ElectionDesk {
public:
    ElectionDesk(ElectionSettings settings, std::uint64_t seed);

    /// Handles the current record of the store; none when there is no owner.
    void onRecord(const std::optional<OwnerRecord>& record, TimePoint now);
    /// Handles the result of a claim. `sentAt` is the time at which the lease was requested.
    void onClaim(const std::string& nonce, ClaimOutcome outcome, std::uint64_t lease, std::uint64_t revision, TimePoint sentAt, TimePoint now);
    /// Handles the result of a renewal that was sent at `sentAt`.
    void onRenewal(std::uint64_t lease, RenewalOutcome outcome, TimePoint sentAt, TimePoint now);
    /// Starts to suspect the owner, whose connection was closed as if its process had ended.
    void suspectOwner(TimePoint now);
    /// Clears the suspicion: the owner has responded.
    void trustOwner();
    /// Ends this daemon's ownership because another source proved that another daemon owns the cell.
    void depose(const std::string& why, TimePoint now);
    /// Releases the ownership and makes no claim before `until`.
    void stepDown(const std::string& why, TimePoint now, TimePoint until);
    /// Makes no claim before `until`. Does not end a current ownership.
    void abstain(TimePoint until);
    /// Sets the additional delay of later claims; see ElectionSettings.
    void setClaimDelay(Milliseconds delay) { m_settings.claimDelay = delay; }
    /// Issues claims and renewals that are due.
    void tick(TimePoint now);

    Tenure tenure() const { return m_ownershipState; }
    bool isOwner() const { return m_ownershipState == Tenure::Owner || m_ownershipState == Tenure::Unconfirmed; }
    std::uint64_t fencingToken() const { return m_fencingToken; }
    /// Returns the time by which no earlier owner considers its ownership confirmed any more. Meaningful while
    /// isOwner().
    TimePoint predecessorsEnd() const { return m_predecessorsEnd; }
    /// Latest known record; none when the store has none.
    const std::optional<OwnerRecord>& record() const { return m_record; }
    /// Returns the pending actions and clears them.
    std::vector<ElectionAction> takeActions() { return std::exchange(m_actions, {}); }

private:
    void endOwnership(const std::string& why, TimePoint now);
    /// Schedules a claim unless one is scheduled. `isOwnRecord`: the record in the store is from an
    /// earlier incarnation of this daemon, so the claim need not be delayed.
    void scheduleClaim(TimePoint now, bool isOwnRecord);

    ElectionSettings m_settings;
    std::uint64_t m_random;
    Tenure m_ownershipState = Tenure::Follower;
    std::optional<OwnerRecord> m_record;
    bool m_isRecordKnown = false;
    bool m_isSuspecting = false;
    /// Revision of the record of the suspected owner.
    std::uint64_t m_suspectedRevision = 0;
    TimePoint m_noSuspicionBefore;
    std::optional<TimePoint> m_claimAt;
    TimePoint m_noClaimBefore;
    std::string m_nonce;
    std::uint64_t m_lease = 0;
    std::uint64_t m_fencingToken = 0;
    TimePoint m_validUntil;
    TimePoint m_predecessorsEnd;
    TimePoint m_renewAt;
    bool m_isRenewing = false;
    std::vector<ElectionAction> m_actions;
};

} // namespace heatherchute::cell
