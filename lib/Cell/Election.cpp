#include "heatherchute/Election.h"

namespace heatherchute::cell {

std::string_view tenureName(Tenure tenure)
{
    static constexpr NamedValue<Tenure> names[] {
        { Tenure::Follower, "follower" },
        { Tenure::Claiming, "claiming" },
        { Tenure::Owner, "owner" },
        { Tenure::Unconfirmed, "doubtful" },
    };
    return nameOf(names, tenure);
}

RenewalOutcome confirmRenewal(RenewalOutcome lease, std::optional<std::uint64_t> recordRevision, std::uint64_t fencingToken)
{
    if (lease == RenewalOutcome::Ended)
        return lease;
    if (recordRevision && *recordRevision != fencingToken)
        return RenewalOutcome::Replaced;
    return recordRevision ? lease : RenewalOutcome::Unknown;
}

ElectionDesk::ElectionDesk(ElectionSettings settings, std::uint64_t seed)
    : m_settings(std::move(settings))
    , m_random(seed | 1U)
{
}

void ElectionDesk::scheduleClaim(TimePoint now, bool isOwnRecord)
{
    if (m_claimAt)
        return;
    m_random = m_random * 6364136223846793005ULL + 1442695040888963407ULL;
    const auto maxJitterMs = static_cast<std::uint64_t>(m_settings.maxClaimJitter.count());
    const auto delay = isOwnRecord ? Milliseconds(0) : m_settings.claimDelay + Milliseconds(maxJitterMs == 0 ? 0 : (m_random >> 33U) % maxJitterMs);
    m_claimAt = std::max(now + delay, m_noClaimBefore);
}

void ElectionDesk::onRecord(const std::optional<OwnerRecord>& record, TimePoint now)
{
    if (record && m_record && record->revision < m_record->revision)
        return;
    m_record = record;
    m_isRecordKnown = true;
    const bool isFromThisClaim = record && record->nonce == m_nonce && !m_nonce.empty();
    if (isOwner() && !isFromThisClaim) {
        // A read that preceded this daemon's claim may arrive late, so an older record is ignored.
        if (record && record->revision > m_fencingToken)
            endOwnership("the store has a newer owner record of another claim", now);
        return;
    }
    if (m_ownershipState != Tenure::Follower)
        return;
    const bool isOwnRecord = record && record->daemon == m_settings.daemon;
    if (!record || isOwnRecord) {
        m_isSuspecting = false;
        scheduleClaim(now, isOwnRecord);
    } else if (!m_isSuspecting || record->revision != m_suspectedRevision) {
        m_isSuspecting = false;
        m_claimAt.reset();
    }
}

void ElectionDesk::onClaim(const std::string& nonce, ClaimOutcome outcome, std::uint64_t lease, std::uint64_t revision, TimePoint sentAt, TimePoint now)
{
    if (m_ownershipState != Tenure::Claiming || nonce != m_nonce)
        return;
    if (outcome != ClaimOutcome::Won) {
        m_ownershipState = Tenure::Follower;
        // Delay before the next claim after the store did not respond or another daemon's claim won.
        constexpr Milliseconds claimRetryDelay { 150 };
        m_noClaimBefore = std::max(m_noClaimBefore, now + claimRetryDelay);
        const bool isFree = m_isRecordKnown && (!m_record || m_record->daemon == m_settings.daemon);
        if (isFree)
            scheduleClaim(now, false);
        return;
    }
    m_ownershipState = Tenure::Owner;
    m_lease = lease;
    m_fencingToken = revision;
    m_validUntil = sentAt + m_settings.lease - m_settings.leaseMargin;
    // A claim replaces the record of an owner whose lease may have been renewed a moment before, as when its
    // link was closed. It acts on that renewal as long as this owner does on its own.
    m_predecessorsEnd = now + m_settings.lease - m_settings.leaseMargin;
    m_renewAt = now + m_settings.renewInterval;
    m_isRenewing = false;
    m_actions.emplace_back(OwnershipBegan { revision });
}

void ElectionDesk::onRenewal(std::uint64_t lease, RenewalOutcome outcome, TimePoint sentAt, TimePoint now)
{
    if (!isOwner() || lease != m_lease)
        return;
    m_isRenewing = false;
    if (outcome == RenewalOutcome::Ended)
        return endOwnership("the lease of the owner record has ended", now);
    if (outcome == RenewalOutcome::Replaced)
        return endOwnership("the store has the owner record of another claim", now);
    if (outcome == RenewalOutcome::Unknown) {
        // A renewal without a response is retried soon, while the lease may still be valid.
        constexpr Milliseconds renewalRetryDelay { 100 };
        m_renewAt = now + renewalRetryDelay;
        return;
    }
    m_validUntil = std::max(m_validUntil, sentAt + m_settings.lease - m_settings.leaseMargin);
    m_renewAt = now + m_settings.renewInterval;
    m_ownershipState = now < m_validUntil ? Tenure::Owner : Tenure::Unconfirmed;
}

void ElectionDesk::endOwnership(const std::string& why, TimePoint now)
{
    m_ownershipState = Tenure::Follower;
    m_nonce.clear();
    m_actions.emplace_back(OwnershipEnded { why });
    m_claimAt.reset();
    const bool isFree = m_isRecordKnown && (!m_record || m_record->daemon == m_settings.daemon);
    if (isFree)
        scheduleClaim(now, false);
}

void ElectionDesk::suspectOwner(TimePoint now)
{
    const bool isOwnedByOther = m_ownershipState == Tenure::Follower && m_record && m_record->daemon != m_settings.daemon;
    if (!isOwnedByOther || m_isSuspecting || now < m_noSuspicionBefore)
        return;
    m_isSuspecting = true;
    m_suspectedRevision = m_record->revision;
    m_claimAt.reset();
    scheduleClaim(now + m_settings.suspicionTimeout, false);
}

void ElectionDesk::trustOwner()
{
    if (!m_isSuspecting)
        return;
    m_isSuspecting = false;
    m_claimAt.reset();
}

void ElectionDesk::depose(const std::string& why, TimePoint now)
{
    if (isOwner())
        endOwnership(why, now);
}

void ElectionDesk::abstain(TimePoint until)
{
    m_noClaimBefore = std::max(m_noClaimBefore, until);
    if (m_claimAt)
        m_claimAt = std::max(*m_claimAt, until);
}

void ElectionDesk::stepDown(const std::string& why, TimePoint now, TimePoint until)
{
    abstain(until);
    if (!isOwner())
        return;
    m_actions.emplace_back(ReleaseClaim { m_lease });
    endOwnership(why, now);
}

void ElectionDesk::tick(TimePoint now)
{
    if (isOwner()) {
        if (now >= m_validUntil)
            m_ownershipState = Tenure::Unconfirmed;
        if (now >= m_renewAt && !m_isRenewing) {
            m_isRenewing = true;
            m_actions.emplace_back(RenewClaim { m_lease });
        }
        return;
    }
    if (m_ownershipState != Tenure::Follower || !m_claimAt || now < *m_claimAt)
        return;
    if (now < m_noClaimBefore) {
        m_claimAt = m_noClaimBefore;
        return;
    }
    m_claimAt.reset();
    m_ownershipState = Tenure::Claiming;
    m_nonce = randomToken(8);
    m_actions.emplace_back(ClaimCell { m_record ? m_record->revision : 0, m_nonce, m_record ? m_record->lease : 0 });
    if (m_isSuspecting)
        m_noSuspicionBefore = now + m_settings.suspicionCooldown;
    m_isSuspecting = false;
}

} // namespace heatherchute::cell
