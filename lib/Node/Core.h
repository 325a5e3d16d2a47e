/// The core of the daemon: one thread that decides everything and never blocks.
#pragma once

#include "Duties.h"
#include "heatherchute/Cell.h"
#include "heatherchute/Election.h"
#include "heatherchute/Metrics.h"
#include "heatherchute/Node.h"
#include "heatherchute/StateLog.h"

namespace heatherchute {

/// Lease of the owner's record in the store.
Milliseconds electionLease(const NodeSettings& settings);
/// Lease that VMs are given.
Milliseconds vmLease(const NodeSettings& settings);
/// By when after a claim every lease that an earlier owner gave has run out.
Milliseconds inheritedLease(const NodeSettings& settings);

/// The other duties, as the core sees them; set before the first event.
struct NodePorts {
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
    void start(NodePorts ports);

    // From the front.
    void onCall(std::uint64_t id, platform::CallerCall call, const std::string& body);
    void onMetrics(std::uint64_t id);
    // From the links.
    void onLinkOpen(LinkId link, bool outgoing);
    void onLinkMessage(LinkId link, PeerMessage message);
    void onLinkClosed(LinkId link);
    void onDialled(const Address& address, LinkId link);
    // From the signals.
    void onStopSignal(int count);

private:
    /// A call of a client that has not been answered yet.
    struct PendingCall {
        std::uint64_t front = 0;
        OwnerCall message;
        TimePoint arrivedAt;
        TimePoint deadline;
        /// It has been with an owner, so it may have taken effect.
        bool everSent = false;
        /// It waits for an answer of the present owner.
        bool isWithOwner = false;
    };

    struct Peer {
        bool isOpen = false;
        bool isOutgoing = false;
        Address dialled;
        PeerHello hello;
        TimePoint lastHeard;
        TimePoint lastHello;
    };

    /// Where the desk's answer to a call goes: to a client here, or over a link.
    struct CallOrigin {
        LinkId link = 0;
        std::uint64_t id = 0;
    };

    struct PendingAdvice {
        cell::AskAdvice ask;
        TimePoint sentAt;
        TimePoint deadline;
    };

    struct PendingOrder {
        VmOrderKind kind = VmOrderKind::Heartbeat;
        std::string vm;
        cell::TaskId task;
        std::uint32_t run = 0;
        LinkId link = 0;
        TimePoint sentAt;
        TimePoint deadline;
    };

    // Core.cpp
    void tick();
    void pump();
    void schedulePump();
    cell::Now now() const;
    void updateReadiness();
    /// Writes a line with the daemon's load now and then.
    void logFigures();
    /// Hands the cell over when a much stronger daemon is there.
    void yieldToStronger();
    void continueStop();
    void adoptPolicy(std::string text, cell::CellPolicyPointer policy, std::string_view source);

    // Calls.cpp
    void answer(const PendingCall& call, HttpResponse response);
    void dispatchCalls();
    void expireCalls();
    void onOwnerAnswer(const OwnerAnswer& answer);
    /// Applies a call to the desk here.
    void serveCall(const OwnerCall& call, CallOrigin origin);
    void replyTo(const CallOrigin& origin, OwnerAnswer answer);
    void withdrawCalls();

    // Peers.cpp
    void keepLinks();
    void sendHello(LinkId link, Peer& peer);
    void handle(LinkId link, const PeerHello& hello);
    void handle(LinkId link, const PeerPolicy& policy);
    void handle(LinkId link, const OwnerCall& call);
    void handle(LinkId link, const OwnerAnswer& answer);
    void handle(LinkId link, const AdviceOrder& order);
    void handle(LinkId link, const AdviceReport& report);
    void handle(LinkId link, const VmOrders& orders);
    void handle(LinkId link, const VmResults& results);
    void handle(LinkId link, const OwnerYields& yields);
    /// Gives the cell up when most VMs do not answer this daemon.
    void keepReach(TimePoint time);
    /// Open link to the daemon that owns the cell; zero when there is none.
    LinkId ownerLink() const;

    // Owner.cpp
    void runElection();
    void run(const cell::ClaimCell& claim);
    void run(const cell::RenewClaim& renew);
    void run(const cell::ReleaseClaim& release);
    void run(const cell::OwnershipBegan& began);
    void run(const cell::OwnershipEnded& ended);
    void loadCell();
    void watchRegistry();
    void applyRegistry();
    void watchPolicy();
    void watchOwner();

    // Actions.cpp
    void runDesk();
    void run(const cell::CommitState& commit);
    void run(const cell::StartRun& start);
    void run(const cell::StopRun& stop);
    void run(const cell::BeatVm& beat);
    void run(const cell::AskAdvice& ask);
    void run(const cell::AnswerCall& answer);
    void run(const cell::Decision& decision);
    void run(const cell::LostOwnership& lost);
    void sendOrders();
    // Orders.cpp
    /// Open link to the daemon that calls this VM for the owner; zero: this daemon does.
    LinkId delegateFor(const std::string& vm) const;
    void dispatchOrder(VmOrder order, const cell::TaskId& task, Milliseconds timeout);
    void carryOut(VmOrder order, std::uint64_t fencingToken, std::shared_ptr<std::atomic<bool>> over, std::function<void(VmResult)> onResult);
    void sendResults();
    void onVmResult(const VmResult& result);
    void expireOrders();

    /// Tells the desk which daemons can ask for advice.
    void nameAdvisers();
    void askHere(std::uint64_t id, const std::string& step, const std::vector<std::string>& vms, Milliseconds timeout, LinkId replyTo);
    void onAdvice(const AdviceReport& report);
    void expireAdvice();

    NodeSettings m_settings;
    std::string m_incarnation;
    Duty m_duty;
    Mailbox<Closure> m_inbox;
    NodePorts m_ports;
    Metrics m_metrics;
    bool m_pumpScheduled = false;
    bool m_isStopping = false;
    TimePoint m_stopAt;

    std::string m_policyText;
    cell::CellPolicyPointer m_policy;

    cell::ElectionDesk m_election;
    TimePoint m_claimSentAt;
    /// Rises with each ownership, so that results of an earlier one are told from the present's.
    std::uint64_t m_tenureNumber = 0;
    /// Shared with the work of the present ownership; set once it has ended.
    std::shared_ptr<std::atomic<bool>> m_tenureOver;
    std::unique_ptr<cell::CellDesk> m_desk;
    std::uint64_t m_headRevision = 0;
    cell::StateLog m_stateLog;
    std::map<std::string, cell::VmReport> m_registry;
    bool m_isRegistryKnown = false;

    std::map<LinkId, Peer> m_peers;
    TimePoint m_nextDial;
    std::map<std::uint64_t, PendingCall> m_calls;
    std::uint64_t m_nextCall = 1;
    std::map<cell::CallId, CallOrigin> m_origins;
    cell::CallId m_nextDeskCall = 1;
    std::map<std::uint64_t, PendingAdvice> m_advice;
    std::uint64_t m_nextAdvice = 1;
    std::map<std::uint64_t, PendingOrder> m_orders;
    std::uint64_t m_nextOrder = 1;
    /// Collected during a pass, one message a link.
    std::map<LinkId, VmOrders> m_delegated;
    std::map<LinkId, VmResults> m_delegateResults;
    TimePoint m_ownedSince;
    TimePoint m_nextYield;
    TimePoint m_reachedMostAt;
    TimePoint m_nextFigures;
    /// Passes of the desk and the time that they took.
    std::uint64_t m_passes = 0;
    Duration m_passTime { 0 };
};

} // namespace heatherchute
