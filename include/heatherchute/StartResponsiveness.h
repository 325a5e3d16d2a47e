/// Detects from unanswered start commands that a VM has stopped responding.
#pragma once

#include "heatherchute/Support.h"

#include <optional>

namespace heatherchute::cell {

/// Compares the time for which a VM's start commands have had no response with its usual response time. A heartbeat
/// may wait for seconds at the VM, so a start command without a response is the earliest sign of a VM that is
/// cut off or has ended.
///
/// The bound follows the retransmission timeout of RFC 6298: the smoothed response time and four times its mean
/// deviation. A slow VM, a slow link or an owner short of processor time raises it. Uses no clock or network.
class StartResponsiveness {
public:
    /// Lower limit of the bound: TCP repeats a lost segment after 200 ms at the earliest.
    static constexpr Milliseconds shortestBound { 250 };
    /// Number of start commands without a response that tell a VM that does not respond from a lost response.
    static constexpr unsigned fewestUnanswered = 2;
    /// Upper limit of the bound, and its value before the first response.
    static constexpr Milliseconds longestBound { 700 };

    /// A start command is sent.
    void onSent(TimePoint now);
    /// The VM responded to the start command that was sent at `sentAt`.
    void onAnswered(TimePoint sentAt, TimePoint now);
    /// The VM responded to any command.
    void onResponse() { m_unanswered = 0; }
    /// Returns true if several start commands have had no response, the first of them for longer than the bound, and the
    /// VM has not responded to anything else since then.
    bool isOverdue(TimePoint now) const { return m_unanswered >= fewestUnanswered && now - m_firstUnansweredAt > bound(); }
    Milliseconds bound() const;

private:
    /// Number of start commands since the latest response, and when the first of them was sent.
    unsigned m_unanswered = 0;
    TimePoint m_firstUnansweredAt;
    /// Unset before the first response.
    std::optional<Duration> m_smoothed;
    Duration m_deviation { 0 };
};

} // namespace heatherchute::cell
