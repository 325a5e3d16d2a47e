/// What daemons tell each other, as CBOR over their links.
#pragma once

#include "heatherchute/Support.h"
#include "heatherchute/Work.h"

namespace heatherchute {

/// First on every link, and then at every heartbeat.
struct PeerHello {
    std::string daemon;
    std::string failureDomain;
    /// New for every start of the process.
    std::string incarnation;
    std::uint64_t policyVersion = 0;
    bool ownsCell = false;
    /// Where the sender takes links.
    std::string peerAddress;
    std::uint64_t fencingToken = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(PeerHello, daemon, failureDomain, incarnation, policyVersion, ownsCell, peerAddress, fencingToken)

/// The operator's document, for a daemon that cannot read it from the store.
struct PeerPolicy {
    std::string text;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(PeerPolicy, text)

enum class OwnerCallKind : std::uint8_t {
    Submit,
    Query,
    Cancel,
    CountPending,
};

/// A caller's call on its way to the owner. Safe to repeat: the job's id makes it one.
struct OwnerCall {
    std::uint64_t id = 0;
    OwnerCallKind kind = OwnerCallKind::Query;
    std::string queue;
    std::string team;
    std::string job;
    cell::JobSpec spec;
    std::uint64_t policyVersion = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(OwnerCall, id, kind, queue, team, job, spec, policyVersion)

/// Answer to an OwnerCall. `error` is none for success.
struct OwnerAnswer {
    std::uint64_t id = 0;
    ErrorKind error = ErrorKind::None;
    cell::JobPhase phase = cell::JobPhase::Queued;
    std::uint64_t pending = 0;
    /// The daemon asked does not own the cell: ask its owner.
    bool notOwner = false;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(OwnerAnswer, id, error, phase, pending, notOwner)

/// The owner has another daemon ask for advice, because the service serves each one by turns.
struct AdviceOrder {
    std::uint64_t id = 0;
    std::string step;
    std::vector<std::string> vms;
    std::uint64_t timeoutMs = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(AdviceOrder, id, step, vms, timeoutMs)

struct AdviceReport {
    std::uint64_t id = 0;
    bool answered = false;
    std::vector<std::pair<std::string, std::string>> allowed;
    std::uint64_t validityMs = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(AdviceReport, id, answered, allowed, validityMs)

using PeerMessage = std::variant<PeerHello, PeerPolicy, OwnerCall, OwnerAnswer, AdviceOrder, AdviceReport>;

std::string encodePeerMessage(const PeerMessage& message);
Result<PeerMessage> decodePeerMessage(const std::string& bytes);

} // namespace heatherchute
