/// Decisions about the contact between daemons and the owner of the cell: where the owner is, when
/// callers stop waiting for it, and when an owner itself is cut off. Pure; the load that they answer is
/// that of callers at daemons which are cut off from the store, from the owner or from the others.
#pragma once

#include "heatherchute/Election.h"
#include "heatherchute/Peer.h"

#include <algorithm>

namespace heatherchute {

/// Address of the owner, by the newest record that was read from the store or that another daemon has
/// told of. Only an address to connect to: whether the daemon there owns the cell is its own word.
class OwnerDirectory {
public:
    void onRecord(const std::optional<cell::OwnerRecord>& record);
    void onHeard(std::uint64_t revision, const std::string& address);
    /// Empty if there is no owner or none is known.
    const std::string& address() const;
    /// Revision of that record, or of a later one that has ended; zero if none was known yet.
    std::uint64_t newestRevision() const { return std::max(m_readRevision, m_heardRevision); }

private:
    std::uint64_t m_readRevision = 0;
    std::string m_readAddress;
    std::uint64_t m_heardRevision = 0;
    std::string m_heardAddress;
};

/// Which owner a caller's request was sent to last.
struct OwnerDispatch {
    /// That owner has the request and has not answered yet.
    bool awaitsAnswer = false;
    /// Link to that owner; zero for this daemon itself.
    LinkId sentTo = 0;
};

/// A caller's request that the owner has not answered.
struct UnansweredRequest {
    TimePoint arrivedAt;
    TimePoint deadline;
    /// The request was sent to an owner at least once, so it may have taken effect.
    bool wasSentToOwner = false;
};

/// Returns true if the request must be sent to the owner behind `owner`: it was not sent yet, or to an
/// earlier owner, whose answer will not come or no longer counts. Requests are idempotent by the job's id.
/// After its deadline nobody waits for the answer, and a process that was paused may hold it for any time.
bool isDue(const UnansweredRequest& request, const OwnerDispatch& dispatch, LinkId owner, TimePoint now);

/// Returns true if an answer over the link `from` is the answer to this request. An earlier owner may say
/// that a job was not accepted which its successor has accepted meanwhile.
bool isAnswered(const OwnerDispatch& dispatch, LinkId from);

/// What becomes of an unanswered request.
enum class RequestExpiry : std::uint8_t {
    Wait,
    /// Ends now; the request has certainly not taken effect.
    NotRun,
    /// Ends now; the request may have taken effect.
    Unknown,
};

/// Returns true if the owner, last reached at `ownerReachedAt`, has been away for longer than its
/// replacement takes, so that this daemon alone is probably cut off from it.
bool isCutOffFromOwner(TimePoint ownerReachedAt, TimePoint now);

/// Contact of an owner with the other daemons.
struct OwnerContact {
    /// The lease of the owner's record is certainly valid.
    bool isConfirmed = false;
    /// Number of daemons that were heard from recently.
    std::size_t peers = 0;
    /// The same number when the lease was last renewed.
    std::size_t peersAtRenewal = 0;
};

/// Returns true if an owner is probably cut off with the minority of the daemons, so that a successor
/// serves the others. While the store is away for all daemons, its owner still answers queries.
bool isOwnerIsolated(const OwnerContact& contact);

/// Returns when callers should try again while no daemon can serve: the absence so far, as a replacement
/// that has not come yet is expected to take about as long again. Varies with the job, so that callers do not
/// return at the same moment.
Seconds retryAfterAbsence(Duration absence, const std::string& job);

RequestExpiry expiryOf(const UnansweredRequest& request, bool isCutOff, TimePoint now);

} // namespace heatherchute
