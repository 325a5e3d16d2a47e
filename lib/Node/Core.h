/// The core of the daemon: an event loop that makes all decisions and never blocks.
#pragma once

#include "CellLoad.h"
#include "Duties.h"
#include "OwnerContact.h"
#include "heatherchute/AdviceQueue.h"
#include "heatherchute/Cell.h"
#include "heatherchute/Election.h"
#include "heatherchute/Metrics.h"
#include "heatherchute/Node.h"
#include "heatherchute/StateLog.h"

namespace heatherchute {

/// Duration of the store lease that holds the owner's record.
Milliseconds electionLease(const NodeSettings& settings);
/// Limits of the leases that the owner grants to VMs.
cell::LeaseLimits leaseLimits(const NodeSettings& settings);

/// The other components of the daemon.
struct NodeComponents {
    NodeOutbound* outbound = nullptr;
    NodeLinks* links = nullptr;
    NodeFront* front = nullptr;
    std::function<void(int code)> exit;
};

class NodeCore {
public:
    explicit NodeCore(NodeSettings settings);
    NodeCore(const NodeCore&) = delete;
    NodeCore& operator=(const NodeCore&) = delete;

    bool post(Closure& closure) { return m_inbox.push(closure); }
    /// Sets the other components. Must precede start() and every event that they post.
    void connect(NodeComponents components) { m_components = std::move(components); }
    void start();

    // Called by NodeFront.
    void onRequest(std::uint64_t id, platform::CallerCall request, const std::string& body);
    void onMetrics(std::uint64_t id);
    // Called by NodeLinks.
    void onLinkOpen(LinkId link, bool outgoing);
    void onLinkMessage(LinkId link, PeerMessage message);
    void onLinkClosed(LinkId link);
    void onDialled(const Address& address, LinkId link);
    // Called by the signal handler.
    void onStopSignal(int count);

private:
    /// A client request without a response yet.
    struct PendingRequest : UnansweredRequest {
        /// Id by which NodeFront knows the request.
        std::uint64_t frontRequestId = 0;
        OwnerRequest request;
        OwnerDispatch dispatch;
    };

    struct Peer {
        bool isOpen = false;
        bool isOutgoing = false;
        Address dialled;
        PeerHello hello;
        TimePoint lastHeard;
        TimePoint lastHello;
        /// bootTimeMs() at which `hello` arrived.
        std::int64_t helloAtMs = 0;
        /// Since when the peer is known to have an older policy; unset if it has the same or a newer one.
        std::optional<TimePoint> policyLagsSince;
    };

    /// Where the scheduler's response to a request goes: over `link`, or to a client of this daemon
    /// when `link` is zero.
    struct RequestOrigin {
        LinkId link = 0;
        std::uint64_t id = 0;
    };

    struct PendingAdviceRequest {
        cell::AskAdvice request;
        TimePoint sentAt;
        TimePoint deadline;
    };

    /// Who issued a command, and when.
    struct CommandOrigin {
        std::uint64_t fencingToken = 0;
        /// In the time of this daemon's bootTimeMs(); zero if unknown.
        std::int64_t issuedAtMs = 0;
        /// Once this is set, the command is not sent and a late result is dropped; null for commands of
        /// another daemon.
        std::shared_ptr<std::atomic<bool>> ended;
    };

    struct PendingCommand {
        VmCommandKind kind = VmCommandKind::Heartbeat;
        std::string vm;
        cell::TaskId task;
        std::uint32_t run = 0;
        LinkId link = 0;
        TimePoint sentAt;
        TimePoint deadline;
    };

    // Core.cpp
    void tick();
    void runPass();
    /// Checks the lease against the current time. After a pause of the process, queued events come before the
    /// timer's, so this must precede everything that acts on the lease.
    void checkLease();
    void schedulePass();
    cell::Now now() const;
    void updateReadiness();
    /// Periodically logs the load of the daemon.
    void logStatistics();
    /// Gives up the cell when a connected daemon is a better owner.
    void stepDownForBetterOwner();
    /// Gives up the cell when it has not been loaded in time.
    void stepDownIfLoadOverdue();
    void continueStop();
    void adoptPolicy(std::string text, cell::CellPolicyPointer policy, std::string_view source);

    // Calls.cpp
    void respond(const PendingRequest& pending, HttpResponse response);
    void dispatchRequests();
    void expireRequests();
    /// Handles an owner's response that arrived over `from`; zero for the scheduler of this daemon.
    void onOwnerResponse(LinkId from, const OwnerResponse& reply);
    /// Applies a request to the scheduler of this daemon.
    void serveRequest(const OwnerRequest& request, RequestOrigin origin);
    void respondTo(const RequestOrigin& origin, OwnerResponse reply);
    /// Marks all pending requests for dispatch to the next owner.
    void requeueRequests();

    // Peers.cpp
    void maintainLinks();
    void sendHello(LinkId link, Peer& peer);
    void sendHelloToAll();
    void handle(LinkId link, const PeerHello& hello);
    /// Sends the policy to a peer that still has an older one after the time that the store takes.
    void sendPolicyIfLagging(LinkId link, Peer& peer);
    void handle(LinkId link, const PeerPolicy& policy);
    void handle(LinkId link, const OwnerRequest& request);
    void handle(LinkId link, const OwnerResponse& reply);
    void handle(LinkId link, const AdviceRequest& request);
    void handle(LinkId link, const AdviceResponse& response);
    void handle(LinkId link, const VmCommands& commands);
    void handle(LinkId link, const VmResults& results);
    void handle(LinkId link, const OwnerStepDown& stepDown);
    /// Gives up the cell when most VMs are unreachable from this daemon.
    void stepDownIfVmsUnreachable(TimePoint time);
    /// Open link to the owner of the cell; zero when there is none.
    LinkId ownerLink() const;
    /// Returns true if this daemon owns the cell or has heard from its owner recently.
    bool isOwnerReachable() const;
    /// Returns true if the peer is connected and was heard from recently.
    static bool isHeard(const Peer& peer);
    /// Number of connected daemons that were heard from recently.
    std::size_t peersHeard() const;
    /// Returns true if this daemon owned the cell when it was cut off from most other daemons.
    bool isIsolatedOwner() const;
    /// Address of the owner by the newest record that this daemon has read or heard of; none if it is
    /// this daemon or unknown.
    std::optional<Address> ownerAddress() const;

    // Owner.cpp
    void runElection();
    void run(const cell::ClaimCell& claim);
    void run(const cell::RenewClaim& renew);
    void run(const cell::ReleaseClaim& release);
    void run(const cell::OwnershipBegan& began);
    void run(const cell::OwnershipEnded& ended);
    void loadCell();
    /// Starts the scheduler with the cell that was read. `load` has the figures of the load for the log.
    void adoptCell(cell::StateLog log, const std::vector<cell::StoredJob>& jobs, Json load);
    /// Updates m_bestSuccessor, once for the heartbeats to all peers.
    void updateBestSuccessor(TimePoint time);
    bool isLoadingCell() const { return m_election.isOwner() && !m_scheduler; }
    DaemonCapacity capacity() const { return { m_settings.processorShare, m_settings.linkMbps }; }
    /// Returns true if, by the store and the other daemons, no daemon can serve calls now.
    bool isOwnerAbsentForAll() const;
    void watchRegistry();
    /// Follows the operator's evacuations during this ownership term.
    void watchEvacuations();
    void applyRegistry();
    void watchPolicy();
    void watchOwner();

    // Actions.cpp
    void runSchedulerActions();
    void run(const cell::CommitState& commit);
    void run(const cell::StartRun& start);
    void run(const cell::StopRun& stop);
    void run(const cell::BeatVm& heartbeat);
    void run(const cell::WithdrawCommands& withdrawal);
    void run(const cell::AskAdvice& request);
    void run(const cell::AnswerCall& result);
    void run(const cell::Decision& decision);
    void run(const cell::LostOwnership& lost);
    void sendDelegatedCommands();
    // Orders.cpp
    /// Open link to the delegate that sends commands to this VM for the owner; zero when this
    /// daemon sends them itself.
    LinkId delegateFor(const std::string& vm) const;
    void dispatchCommand(VmCommand command, const cell::TaskId& task, Milliseconds timeout);
    /// Sends a command to its VM, unless it is too old by then; its result is NotSent in that case.
    void executeCommand(VmCommand command, CommandOrigin origin, std::function<void(VmResult)> onResult);
    void sendResults();
    void onVmResult(const VmResult& result);
    void expireCommands();

    // Advice.cpp
    /// Tells the scheduler which daemons can query the advice service.
    void updateAdvisers();
    /// Queries the advice service from this daemon, unless too many requests wait there, and sends the response to
    /// the owner of the cell.
    void requestAdvice(const AdviceRequest& request, LinkId requester);
    /// Sends the response to the requester, or to the owner of the cell if that is another daemon by now.
    void sendAdvice(AdviceResponse response, LinkId requester);
    void onAdviceOutcome(cell::AdviceQueue::RequestId number, platform::AdviceOutcome outcome);
    void onAdviceResponse(const AdviceResponse& response, LinkId from);
    void expireAdviceRequests();

    NodeSettings m_settings;
    std::string m_incarnation;
    Duty m_eventLoop;
    Mailbox<Closure> m_inbox;
    NodeComponents m_components;
    Metrics m_metrics;
    bool m_isPassScheduled = false;
    bool m_isStopping = false;
    TimePoint m_stopSignalledAt;

    std::string m_policyText;
    cell::CellPolicyPointer m_policy;

    cell::ElectionDesk m_election;
    /// Incremented with each ownership term, to tell results of an earlier term from current ones.
    std::uint64_t m_ownershipNumber = 0;
    /// Shared with the fibers of the current ownership term; set when the term ends.
    std::shared_ptr<std::atomic<bool>> m_ownershipEnded;
    std::unique_ptr<cell::CellDesk> m_scheduler;
    /// Used by the fibers of the outbound duty only.
    std::shared_ptr<CellReading> m_reading = std::make_shared<CellReading>();
    LoadDeadline m_loadDeadline;
    LoopDelayMonitor m_loopDelay;
    std::uint64_t m_headRevision = 0;
    cell::StateLog m_stateLog;
    std::map<std::string, cell::VmReport> m_registry;
    bool m_isRegistryKnown = false;
    /// Failure domains that the operator has evacuated; unset until the store has told them in this term.
    std::optional<std::set<std::string>> m_evacuatedDomains;

    std::map<LinkId, Peer> m_peers;
    /// Suitability of the best connected daemon as an owner; zero if there is none.
    double m_bestSuccessor = 0;
    TimePoint m_nextSuccessorUpdate;
    TimePoint m_nextDial;
    OwnerDirectory m_ownerDirectory;
    /// Time at which the owner was last reachable.
    TimePoint m_ownerReachedAt;
    /// Some owner has been reachable since the process started.
    bool m_wasOwnerReached = false;
    /// When the store last told this daemon who owns the cell.
    TimePoint m_ownerReadAt;
    /// Number of daemons that were heard from when this one's claim was last renewed.
    std::size_t m_peersAtRenewal = 0;
    std::map<std::uint64_t, PendingRequest> m_requests;
    std::uint64_t m_nextRequest = 1;
    std::map<cell::CallId, RequestOrigin> m_requestOrigins;
    cell::CallId m_nextSchedulerRequest = 1;
    /// Requests of this daemon as the owner, by way of any daemon.
    std::map<std::uint64_t, PendingAdviceRequest> m_adviceRequests;
    /// Requests that this daemon has sent to the advice service.
    cell::AdviceQueue m_adviceQueue;
    std::uint64_t m_nextAdviceRequest = 1;
    std::map<std::uint64_t, PendingCommand> m_commands;
    std::uint64_t m_nextCommand = 1;
    /// Commands and results collected during a pass; sent as one message per link.
    std::map<LinkId, VmCommands> m_delegatedCommands;
    std::map<LinkId, VmResults> m_delegateResults;
    TimePoint m_ownedSince;
    TimePoint m_nextStepDownCheck;
    TimePoint m_majorityReachedAt;
    TimePoint m_nextStatisticsLog;
    /// Number of scheduler passes, and their total duration.
    std::uint64_t m_passes = 0;
    Duration m_passTime { 0 };
};

} // namespace heatherchute
