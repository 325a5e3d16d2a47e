/// What daemons tell each other, as CBOR over their links.
#pragma once

#include "heatherchute/Support.h"
#include "heatherchute/Work.h"
#include "platform/Adapter.h"

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
    /// Part of a core that the daemon may use.
    double processorShare = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(PeerHello, daemon, failureDomain, incarnation, policyVersion, ownsCell, peerAddress, fencingToken, processorShare)

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
    /// When a refused caller should come back, in seconds; zero: as the error says.
    std::uint64_t retryAfter = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(OwnerAnswer, id, error, phase, pending, notOwner, retryAfter)

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

enum class VmOrderKind : std::uint8_t {
    Start,
    Stop,
    Heartbeat,
};

/// One order to a VM that the owner has another daemon carry out, one near the VM. The fields
/// that a kind has no use for stay at their defaults.
struct VmOrder {
    std::uint64_t id = 0;
    VmOrderKind kind = VmOrderKind::Heartbeat;
    std::string vm;
    std::string address;
    std::string task;
    std::uint32_t run = 0;
    std::string payload;
    std::int64_t deadlineMs = 0;
    std::string checkpoint;
    std::string ticket;
    std::uint64_t acknowledged = 0;
    std::uint64_t waitMs = 0;
};
void to_json(Json& json, const VmOrder& order);
void from_json(const Json& json, VmOrder& order);

struct VmOrders {
    std::uint64_t fencingToken = 0;
    std::vector<VmOrder> orders;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(VmOrders, fencingToken, orders)

/// What became of a VmOrder.
struct VmResult {
    std::uint64_t id = 0;
    platform::OrderOutcome outcome = platform::OrderOutcome::Unknown;
    cell::StartAnswer answer = cell::StartAnswer::Unknown;
    /// Set for a heartbeat that was answered.
    std::optional<cell::VmState> state;
};
void to_json(Json& json, const VmResult& result);
void from_json(const Json& json, VmResult& result);

struct VmResults {
    std::vector<VmResult> results;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(VmResults, results)

/// The owner gives the cell up because it reaches too few VMs; who hears it shares its view.
struct OwnerYields { };
inline void to_json(Json& json, const OwnerYields&) { json = Json::object(); }
inline void from_json(const Json&, OwnerYields&) { }

using PeerMessage = std::variant<PeerHello, PeerPolicy, OwnerCall, OwnerAnswer, AdviceOrder, AdviceReport, VmOrders, VmResults, OwnerYields>;

std::string encodePeerMessage(const PeerMessage& message);
Result<PeerMessage> decodePeerMessage(const std::string& bytes);

} // namespace heatherchute
