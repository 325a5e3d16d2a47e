/// Decides whether commands that the owner has delegated to this daemon are still valid. Pure.
#pragma once

#include "Messages.h"

namespace heatherchute {

/// Time for a delegate's response in addition to the command's own timeout.
inline constexpr Milliseconds delegateSlack { 400 };
/// The owner has given up every command that is older than this and was not sent to its VM yet.
inline constexpr Milliseconds maxCommandAge = platform::orderTimeout + delegateSlack;

enum class CommandValidity : std::uint8_t {
    Valid,
    /// The owner counts the command as one without a response, and has acted on that.
    TooOld,
    /// This daemon knows of a later owner.
    Superseded,
};
/// Name of a validity in log events and metrics.
std::string_view commandValidityName(CommandValidity validity);

/// Returns true if a command that was issued at `issuedAtMs` must not be sent at `nowMs` any more, both in the
/// time of this daemon's bootTimeMs(). Zero for `issuedAtMs` is unknown and never too old.
bool isTooOld(std::int64_t issuedAtMs, std::int64_t nowMs);

/// `newestOwner` is the highest revision of an owner record that this daemon has read or heard of.
CommandValidity validityOf(const VmCommands& commands, std::uint64_t newestOwner, std::int64_t nowMs);

/// When a message that is sent at `nowMs` was issued on the clock of its recipient, whose latest hello carried
/// `hello.clockMs` and arrived at `helloAtMs`. Early by the time that the hello took, never late. Zero if the
/// recipient doesn't tell its clock.
std::int64_t issueTimeFor(const PeerHello& hello, std::int64_t helloAtMs, std::int64_t nowMs);

} // namespace heatherchute
