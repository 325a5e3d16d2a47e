/// Messages between daemons: typed, versioned, encoded as CBOR.
#pragma once

#include "heatherchute/Config.h"
#include "heatherchute/Http.h"
#include "heatherchute/Model.h"

#include <variant>

namespace heatherchute {

/// First message of a link, from both sides.
struct Hello {
    std::uint32_t protocol = 1;
    std::string daemon;
    /// New with every start of the process.
    std::string boot;
    std::string failureDomain;
    std::string peerAddress;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Hello, protocol, daemon, boot, failureDomain, peerAddress)

/// A shard of durable jobs with the epoch of its home.
struct ShardHome {
    std::string shard;
    std::uint64_t epoch = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ShardHome, shard, epoch)

/// What a daemon's own VMs can still take for one service.
struct ServiceRoom {
    std::string service;
    std::uint32_t slots = 0;
    std::uint32_t free = 0;
    std::uint32_t waiting = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ServiceRoom, service, slots, free, waiting)

/// Sent on every link at a fixed interval.
struct Heartbeat {
    std::uint64_t sequence = 0;
    /// Sequence of the last heartbeat that came the other way.
    std::uint64_t echo = 0;
    std::uint64_t fleetVersion = 0;
    /// Time since the store last confirmed that version, as far as the sender knows.
    std::uint64_t confirmedAgeMs = 0;
    /// The sender itself reached the store lately.
    bool hearsStore = false;
    bool leaving = false;
    std::vector<ShardHome> homes;
    std::vector<ServiceRoom> services;
    /// Free on the sender's VMs, and the most that one of them has free.
    Resources free;
    Resources largestFree;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Heartbeat, sequence, echo, fleetVersion, confirmedAgeMs, hearsStore, leaving, homes, services, free, largestFree)

/// Peer addresses that the sender knows.
struct Members {
    std::vector<std::string> addresses;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Members, addresses)

/// A newer fleet document.
struct FleetUpdate {
    FleetDocument document;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(FleetUpdate, document)

/// Where a relayed call is to be answered.
enum class CallTarget : std::uint8_t {
    /// By an endpoint of a service on one of the receiver's VMs.
    Endpoint,
    /// By the home of a shard.
    Home,
    /// By any endpoint, as if the call had arrived at the receiver.
    Entry,
};

/// A caller's request passed on to the daemon that can answer it. The same id sent again, over
/// another link, is the same call.
struct CallAsk {
    std::uint64_t call = 0;
    std::uint8_t target = 0;
    /// Service or shard.
    std::string name;
    std::string team;
    std::uint64_t remainingMs = 0;
    std::string method;
    std::string path;
    std::vector<std::string> headers;
    std::string body;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(CallAsk, call, target, name, team, remainingMs, method, path, headers, body)

struct CallReply {
    std::uint64_t call = 0;
    /// Name of an error of the closed list, or empty when an endpoint or home answered.
    std::string error;
    std::uint32_t status = 0;
    std::vector<std::string> headers;
    std::string body;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(CallReply, call, error, status, headers, body)

/// Asks a VM owner for room for tasks of one job; nothing starts yet.
struct ReserveAsk {
    std::uint64_t ask = 0;
    std::string shard;
    std::uint64_t shardEpoch = 0;
    std::string job;
    Resources size;
    std::uint32_t count = 0;
    bool spreadRacks = false;
    /// VMs where this job has failed.
    std::vector<std::string> avoid;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ReserveAsk, ask, shard, shardEpoch, job, size, count, spreadRacks, avoid)

/// One VM for each task that has room. The reservation lapses by itself.
struct ReserveReply {
    std::uint64_t ask = 0;
    std::vector<std::string> vms;
    bool fenced = false;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ReserveReply, ask, vms, fenced)

/// Starts tasks in a reservation, or gives the room back when there are none.
struct CommitAsk {
    std::uint64_t ask = 0;
    std::string shard;
    std::uint64_t shardEpoch = 0;
    std::vector<TaskAttempt> tasks;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(CommitAsk, ask, shard, shardEpoch, tasks)

/// What became of a task, from the owner of its VM to the home of its job. Repeated until it
/// is acknowledged.
struct TaskReport {
    std::string task;
    std::string vm;
    std::string state;
    std::string detail;
    Resources used;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(TaskReport, task, vm, state, detail, used)

struct TaskReports {
    std::string shard;
    std::vector<TaskReport> reports;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(TaskReports, shard, reports)

/// Acknowledges one report. The state tells a late acknowledgement of "running" from one of
/// the task's end.
struct TaskAck {
    std::string task;
    std::string state;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(TaskAck, task, state)

struct TaskAcks {
    std::vector<TaskAck> tasks;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(TaskAcks, tasks)

/// Asks the owner of a VM for the state of tasks that the home has heard nothing of.
struct TaskQuery {
    std::string shard;
    std::uint64_t shardEpoch = 0;
    std::string vm;
    std::vector<std::string> tasks;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(TaskQuery, shard, shardEpoch, vm, tasks)

/// Stops running tasks.
struct StopTasks {
    std::string shard;
    std::uint64_t shardEpoch = 0;
    std::vector<std::string> tasks;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(StopTasks, shard, shardEpoch, tasks)

/// A new home of a shard: from now on nothing of a lower epoch may start.
struct HomeClaim {
    std::string shard;
    std::uint64_t epoch = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(HomeClaim, shard, epoch)

/// Answer to a claim: the VMs that the sender owns, and all tasks of the shard on them.
struct HomeClaimReply {
    std::string shard;
    std::uint64_t epoch = 0;
    std::vector<std::string> ownedVms;
    /// VMs of the failure domain that the sender knows but does not own.
    std::vector<std::string> otherVms;
    std::vector<TaskReport> tasks;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(HomeClaimReply, shard, epoch, ownedVms, otherVms, tasks)

/// The sender has become owner of a VM, and has all tasks that are on it.
struct VmOwned {
    std::string vm;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(VmOwned, vm)

/// A VM has been silent for so long that all its task leases have lapsed.
struct VmLost {
    std::string vm;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(VmLost, vm)

using PeerMessage = std::variant<Hello, Heartbeat, Members, FleetUpdate, CallAsk, CallReply, ReserveAsk, ReserveReply, CommitAsk,
    TaskReports, TaskAcks, TaskQuery, StopTasks, HomeClaim, HomeClaimReply, VmOwned, VmLost>;

/// Newest protocol that this build speaks.
inline constexpr std::uint32_t protocolVersion = 1;

std::string encodeMessage(const PeerMessage& message);
/// BadRequest for bytes that are no message of this protocol.
Result<PeerMessage> decodeMessage(std::string_view bytes);

/// A relayed call's request and answer in their wire form.
void packRequest(const HttpRequest& request, CallAsk& ask);
HttpRequest unpackRequest(CallAsk&& ask);
void packResponse(const HttpResponse& response, CallReply& reply);
HttpResponse unpackResponse(CallReply&& reply);

} // namespace heatherchute
