#include "heatherchute/StartResponsiveness.h"

#include <algorithm>

namespace heatherchute::cell {

void StartResponsiveness::onSent(TimePoint now)
{
    if (m_unanswered++ == 0)
        m_firstUnansweredAt = now;
}

void StartResponsiveness::onAnswered(TimePoint sentAt, TimePoint now)
{
    // The weights of RFC 6298, section 2.3.
    constexpr int smoothedParts = 8;
    constexpr int deviationParts = 4;
    const auto sample = now - sentAt;
    if (!m_smoothed) {
        m_smoothed = sample;
        m_deviation = sample / 2;
    } else {
        m_deviation += (std::chrono::abs(*m_smoothed - sample) - m_deviation) / deviationParts;
        *m_smoothed += (sample - *m_smoothed) / smoothedParts;
    }
    onResponse();
}

Milliseconds StartResponsiveness::bound() const
{
    constexpr int deviations = 4;
    if (!m_smoothed)
        return longestBound;
    const auto bound = std::chrono::duration_cast<Milliseconds>(*m_smoothed + deviations * m_deviation);
    return std::clamp(bound, shortestBound, longestBound);
}

} // namespace heatherchute::cell
