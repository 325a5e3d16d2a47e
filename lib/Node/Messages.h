/// Messages between daemons, encoded as CBOR.
#pragma once

#include "heatherchute/Support.h"
#include "heatherchute/Work.h"
#include "platform/Adapter.h"

namespace heatherchute {

/// The first message on every link, then repeated as a heartbeat.
struct PeerHello {
    std::string daemon;
    std::string failureDomain;
    /// Random id, new for every start of the process.
    std::string incarnation;
    std::uint64_t policyVersion = 0;
    bool ownsCell = false;
    /// Address at which the sender accepts links.
    std::string peerAddress;
    std::uint64_t fencingToken = 0;
    /// Number of processor cores that the daemon may use; may be a fraction.
    double processorShare = 0;
    /// Address and store revision of the latest owner record that the sender knows, for daemons that
    /// cannot read it from the store. Empty and zero if there is none.
    std::string ownerAddress;
    std::uint64_t ownerRevision = 0;
    /// The sender's bootTimeMs(); zero from versions that don't send it.
    std::int64_t clockMs = 0;
    /// Bandwidth of the daemon's link; zero if unknown.
    double linkMbps = 0;
    /// The daemon holds the owner record and has not loaded the cell yet.
    bool isLoadingCell = false;
    /// Suitability as an owner of the best daemon that is connected to the sender; zero if there is none. Tells
    /// followers, which know no other daemons, whether a better one may claim when the owner is lost.
    double bestSuccessor = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(PeerHello, daemon, failureDomain, incarnation, policyVersion, ownsCell, peerAddress, fencingToken, processorShare, ownerAddress, ownerRevision, clockMs, linkMbps, isLoadingCell, bestSuccessor)

/// The operator's configuration document, for a daemon that cannot read it from the store.
struct PeerPolicy {
    std::string text;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(PeerPolicy, text)

/// Sent as a number, so the order of the enumerators is part of the protocol.
enum class OwnerRequestKind : std::uint8_t {
    Submit,
    Query,
    Cancel,
    CountPending,
};

/// A caller's request, forwarded to the owner. Idempotent, because it is identified by the job's id.
struct OwnerRequest {
    std::uint64_t id = 0;
    OwnerRequestKind kind = OwnerRequestKind::Query;
    std::string queue;
    std::string team;
    std::string job;
    cell::JobSpec spec;
    std::uint64_t policyVersion = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(OwnerRequest, id, kind, queue, team, job, spec, policyVersion)

/// Response to an OwnerRequest. `error` is ErrorKind::None on success.
struct OwnerResponse {
    std::uint64_t id = 0;
    ErrorKind error = ErrorKind::None;
    cell::JobPhase phase = cell::JobPhase::Queued;
    std::uint64_t pending = 0;
    /// The recipient does not own the cell; the request must go to the owner.
    bool notOwner = false;
    /// Seconds after which a rejected caller should retry; zero selects the error's default.
    std::uint64_t retryAfter = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(OwnerResponse, id, error, phase, pending, notOwner, retryAfter)

/// Asks another daemon to query the advice service for the owner, because the service handles the
/// requests of one daemon sequentially.
struct AdviceRequest {
    std::uint64_t id = 0;
    std::string step;
    std::vector<std::string> vms;
    /// Time after which the owner does not wait any more.
    std::uint64_t timeoutMs = 0;
    /// Expected processing time at the service; zero from versions that don't send it.
    std::uint64_t costMs = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(AdviceRequest, id, step, vms, timeoutMs, costMs)

/// Response to an AdviceRequest. If another daemon owns the cell by then, that one gets it.
struct AdviceResponse {
    /// Id of the request; zero if another owner sent it.
    std::uint64_t id = 0;
    bool answered = false;
    std::vector<std::pair<std::string, std::string>> allowed;
    std::uint64_t validityMs = 0;
    /// The request was not sent, as too many others wait at the service.
    bool isBusy = false;
    /// Time that the sender's next request would wait at the service.
    std::uint64_t waitMs = 0;
    /// Step and VMs of the request; empty from versions that don't send them.
    std::string step;
    std::vector<std::string> vms;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(AdviceResponse, id, answered, allowed, validityMs, isBusy, waitMs, step, vms)

/// Sent as a number, so the order of the enumerators is part of the protocol.
enum class VmCommandKind : std::uint8_t {
    Start,
    Stop,
    Heartbeat,
};

/// A command to a VM; the owner may delegate it to a daemon near the VM. Fields that a kind does not
/// use keep their defaults.
struct VmCommand {
    std::uint64_t id = 0;
    VmCommandKind kind = VmCommandKind::Heartbeat;
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
void to_json(Json& json, const VmCommand& command);
void from_json(const Json& json, VmCommand& command);

/// Commands that the owner delegates to the recipient.
struct VmCommands {
    std::uint64_t fencingToken = 0;
    std::vector<VmCommand> orders;
    /// When the owner sent them, on the recipient's clock as in its latest hello; not later than the real time.
    /// Zero if unknown.
    std::int64_t issuedAtMs = 0;
    /// Addresses of VMs whose earlier commands are withdrawn, before `orders` are executed. Earlier versions of this
    /// software ignore it.
    std::vector<std::string> withdrawn;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(VmCommands, fencingToken, orders, issuedAtMs, withdrawn)

/// Result of a VmCommand.
struct VmResult {
    std::uint64_t id = 0;
    platform::OrderOutcome outcome = platform::OrderOutcome::Unknown;
    cell::StartAnswer answer = cell::StartAnswer::Unknown;
    /// Set for a successful heartbeat.
    std::optional<cell::VmState> state;
    /// The VM's clock in its response to a start command; zero if there is none.
    std::int64_t clockMs = 0;
};
void to_json(Json& json, const VmResult& result);
void from_json(const Json& json, VmResult& result);

struct VmResults {
    std::vector<VmResult> results;
};
void to_json(Json& json, const VmResults& results);
void from_json(const Json& json, VmResults& results);

/// The owner gives up the cell because it reaches too few VMs. A daemon that receives this is most
/// likely on the same side of the network partition.
struct OwnerStepDown { };
inline void to_json(Json& json, const OwnerStepDown&) { json = Json::object(); }
inline void from_json(const Json&, OwnerStepDown&) { }

using PeerMessage = std::variant<PeerHello, PeerPolicy, OwnerRequest, OwnerResponse, AdviceRequest, AdviceResponse, VmCommands, VmResults, OwnerStepDown>;

std::string encodePeerMessage(const PeerMessage& message);
Result<PeerMessage> decodePeerMessage(const std::string& bytes);

} // namespace heatherchute
