#include "DelegatedCommands.h"

namespace heatherchute {

std::string_view commandValidityName(CommandValidity validity)
{
    static constexpr NamedValue<CommandValidity> names[] {
        { CommandValidity::Valid, "valid" },
        { CommandValidity::TooOld, "too_old" },
        { CommandValidity::Superseded, "superseded" },
    };
    return nameOf(names, validity);
}

bool isTooOld(std::int64_t issuedAtMs, std::int64_t nowMs)
{
    return issuedAtMs != 0 && nowMs - issuedAtMs > maxCommandAge.count();
}

CommandValidity validityOf(const VmCommands& commands, std::uint64_t newestOwner, std::int64_t nowMs)
{
    if (commands.fencingToken < newestOwner)
        return CommandValidity::Superseded;
    return isTooOld(commands.issuedAtMs, nowMs) ? CommandValidity::TooOld : CommandValidity::Valid;
}

std::int64_t issueTimeFor(const PeerHello& hello, std::int64_t helloAtMs, std::int64_t nowMs)
{
    return hello.clockMs == 0 ? 0 : hello.clockMs + (nowMs - helloAtMs);
}

} // namespace heatherchute
