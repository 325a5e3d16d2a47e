#include "OwnerContact.h"

namespace heatherchute {

/// A successor claims and loads the cell in half of this time after the owner's record expires.
static constexpr Milliseconds maxOwnerWait { 1500 };

void OwnerDirectory::onRecord(const std::optional<cell::OwnerRecord>& record)
{
    if (record && record->revision < m_readRevision)
        return;
    m_readAddress = record ? record->peerAddress : std::string();
    if (record)
        m_readRevision = record->revision;
}

void OwnerDirectory::onHeard(std::uint64_t revision, const std::string& address)
{
    if (revision <= m_heardRevision)
        return;
    m_heardRevision = revision;
    m_heardAddress = address;
}

const std::string& OwnerDirectory::address() const
{
    return m_heardRevision > m_readRevision ? m_heardAddress : m_readAddress;
}

bool isDue(const UnansweredRequest& request, const OwnerDispatch& dispatch, LinkId owner, TimePoint now)
{
    return now < request.deadline && (!dispatch.awaitsAnswer || dispatch.sentTo != owner);
}

bool isAnswered(const OwnerDispatch& dispatch, LinkId from)
{
    return dispatch.awaitsAnswer && dispatch.sentTo == from;
}

bool isCutOffFromOwner(TimePoint ownerReachedAt, TimePoint now)
{
    return now - ownerReachedAt > maxOwnerWait;
}

bool isOwnerIsolated(const OwnerContact& contact)
{
    return !contact.isConfirmed && contact.peers * 2 < contact.peersAtRenewal;
}

Seconds retryAfterAbsence(Duration absence, const std::string& job)
{
    constexpr Seconds shortest { 1 };
    constexpr Seconds longest { 5 };
    constexpr std::uint64_t spread = 2;
    return std::clamp(std::chrono::ceil<Seconds>(absence), shortest, longest) + Seconds(stableHash(job) % spread);
}

RequestExpiry expiryOf(const UnansweredRequest& request, bool isCutOff, TimePoint now)
{
    const bool isOwnerWaitOver = !request.wasSentToOwner && now >= request.arrivedAt + maxOwnerWait;
    if (now < request.deadline && !isOwnerWaitOver && !isCutOff)
        return RequestExpiry::Wait;
    return request.wasSentToOwner ? RequestExpiry::Unknown : RequestExpiry::NotRun;
}

} // namespace heatherchute
