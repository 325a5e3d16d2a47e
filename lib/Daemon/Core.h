/// The duty where everything is decided: it owns the desks, takes events one by one, and turns
/// what the desks want into orders for the other duties. It never blocks.
#pragma once

#include "CoreState.h"
#include "Events.h"
#include "heatherchute/Membership.h"
#include "heatherchute/Metrics.h"

#include <deque>
#include <future>

namespace heatherchute {

/// How the core reaches the other duties. Each returns false when the ring is full, and leaves
/// the message as it was.
struct CorePorts {
    std::function<bool(FrontAnswer&)> toFront;
    std::function<bool(PeerOrder&)> toPeers;
    std::function<bool(OutsideOrder&)> toOutside;
    /// Requests that the front has read and not answered in full.
    std::function<std::size_t()> frontInProgress;
    /// Ends the process.
    std::function<void(int)> exit;
};

class Core {
public:
    Core(DaemonSettings settings, CorePorts ports);
    Core(const Core&) = delete;
    Core& operator=(const Core&) = delete;

    /// Starts the tick. Call it once, before the first event.
    void start();
    /// False when the ring is full; the event is then as it was.
    bool post(CoreEvent& event) { return m_inbox.push(event); }

private:
    // Core.cpp: events, ticks and the desks' actions.
    void handle(CoreEvent&& event);
    void on(CallArrived& event);
    void on(PeerOpened& event);
    void on(PeerReceived& event);
    void on(PeerClosed& event);
    void on(PeerDialled& event);
    void on(JournalRead& event);
    void on(JournalAppended& event);
    void on(AllotmentChanged& event);
    void on(FleetPolled& event);
    void on(FleetFetched& event);
    void on(FleetWritten& event);
    void on(HistoryRead& event);
    void on(VmListFetched& event);
    void on(HoldersListed& event);
    void on(LeaseEnded& event);
    void on(StartEnded& event);
    void on(DispatchEnded& event);
    void on(StopSignal& event);
    void noticePause(TimePoint now);
    void tick();
    void tickMembership(TimePoint now);
    void tickPolls(TimePoint now);
    void tickShutdown(TimePoint now);
    void expireCalls(TimePoint now);
    void order(OutsideOrder order);
    void flushBacklog();
    void run(OwnershipActions&& actions);
    void run(JobActions&& actions);
    void run(RoutingActions&& actions);

    // CorePeers.cpp: messages between daemons.
    void receive(const Member& from, LinkId link, PeerMessage&& message);
    void receiveHello(LinkId link, const Hello& hello);
    void receiveHeartbeat(const Member& from, LinkId link, const Heartbeat& heartbeat);
    void receiveCall(const Member& from, CallAsk&& ask);
    void receiveReply(const Member& from, CallReply&& reply);
    void receiveOwnerMessage(const std::string& from, PeerMessage&& message);
    void send(const std::string& daemon, PeerMessage message);
    void sendToDomain(const PeerMessage& message);
    void deliverToSelf();
    void sendOnLink(LinkId link, PeerMessage message);
    void sendHeartbeats(TimePoint now, bool toAll);
    void resendRelays(const std::string& daemon);
    void failRelaysOf(const std::string& daemon, const std::string& boot);
    void expireRelays(TimePoint now);
    void endRelay(std::uint64_t call, Result<HttpResponse>&& result);
    /// Passes a call to another daemon; false when there is no link to it.
    bool relay(std::uint64_t call, RelayKind kind, const std::string& daemon, CallTarget target, const std::string& name, const std::string& team, const HttpRequest& request, TimePoint deadline);
    void refreshMembers();
    bool isCut(const std::string& daemon) const { return m_cutDaemons.contains(daemon); }

    // CoreCalls.cpp: what callers and operators ask.
    void dispatch(std::uint64_t call, const HttpRequest& request);
    void dispatchJobs(std::uint64_t call, const HttpRequest& request, const Target& target);
    void dispatchOperator(std::uint64_t call, const HttpRequest& request, const Target& target);
    void dispatchTest(std::uint64_t call, const HttpRequest& request, const Target& target);
    void answer(std::uint64_t call, HttpResponse response);
    void fail(std::uint64_t call, ErrorKind kind, std::string_view detail = {});
    /// Team of the key that came with the request. An open queue's or service's work counts for
    /// `openFor`.
    Result<Caller> authenticate(const HttpRequest& request, const std::string& openFor, TimePoint now) const;
    bool keysConfirmed(TimePoint now) const;
    std::uint64_t openCall(Origin origin, std::string team, TimePoint deadline);

    // CoreServices.cpp: requests to services.
    void dispatchService(std::uint64_t call, const HttpRequest& request, const Target& target);
    void startService(std::uint64_t call, const Service& service, const std::string& team, std::shared_ptr<const HttpRequest> request, std::optional<CallTarget> relayedTo, TimePoint deadline);
    void startKeyed(std::uint64_t call, const std::string& shard, const Service& service, const std::string& team, const HttpRequest& request, TimePoint deadline);
    void endKeyed(const KeyOrigin& origin, ErrorKind error, const HttpResponse& response);
    /// Gives up on keyed requests whose record the store does not take.
    void expireKeyed(TimePoint now);
    std::string shardOfKey(const std::string& key) const;

    // CoreJobs.cpp: jobs, at the entry and at their home.
    void submitJob(std::uint64_t call, const HttpRequest& request, const Queue& queue, const std::string& team);
    void toHome(std::uint64_t call, const std::string& shard, const std::string& team, const HttpRequest& request);
    void park(std::uint64_t call, const std::string& shard, const std::string& team, const HttpRequest& request);
    void retryParked(TimePoint now);
    void serveAtHome(std::uint64_t call, const std::string& shard, const std::string& team, const HttpRequest& request);
    void acceptJob(std::uint64_t call, const std::string& shard, const std::string& team, const HttpRequest& request);
    void showJob(std::uint64_t call, const Target& target, const std::string& team);
    void cancelJob(std::uint64_t call, const std::string& id, const std::string& team);
    void wakeJobWaiters(const std::string& job, TimePoint now);
    std::string chooseShard(const JobSpec& spec) const;
    std::string shardInDomain(const std::string& failureDomain) const;
    bool domainCouldRun(const std::string& failureDomain, const JobSpec& spec) const;
    std::uint64_t afterDurable(std::function<void(bool)> run);

    // CoreFleet.cpp: configuration, keys, drained VMs.
    void adoptFleet(FleetDocument&& document, TimePoint confirmed);
    void applyFleet();
    void putConfiguration(std::uint64_t call, const HttpRequest& request);
    void grantKey(std::uint64_t call, const HttpRequest& request);
    void withdrawKey(std::uint64_t call, const std::string& name);
    void drainVm(std::uint64_t call, const std::string& vm, bool drain);
    void writeFleet(std::uint64_t call, FleetDocument next, std::map<std::string, std::uint32_t> lowered);
    bool isReader() const;
    /// Knows the configuration and the VMs, and is not stopping.
    bool isReady() const;
    /// This daemon itself reached the store lately.
    bool hearsStore(TimePoint now) const;
    /// Names this process's parts of the teams' limits.
    std::string holderName() const;

    // CoreViews.cpp: status, lists and metrics.
    void gather(std::uint64_t call, const HttpRequest& request, const std::string& team);
    Json localItems(const HttpRequest& request, const std::string& team) const;
    void onGathered(std::uint64_t call, const std::string& daemon, const Result<HttpResponse>& result);
    void endGather(const Gathering& gathering);
    Json status() const;
    std::string metricsText();
    Json describeJob(const Job& job) const;
    Json explainJob(const Job& job) const;

    DaemonSettings m_settings;
    CorePorts m_ports;
    Hello m_self;
    Membership m_membership;
    LimitDesk m_limits;
    VmDesk m_vms;
    JobDesk m_jobs;
    RequestDesk m_requests;
    Metrics m_metrics;

    FleetPointer m_fleet;
    /// Up to when the store is known to have held no newer version than ours.
    TimePoint m_confirmedAt;
    bool m_everConfirmed = false;
    TimePoint m_heardStoreAt;
    bool m_everHeardStore = false;
    TimePoint m_nextPoll;
    bool m_pollInFlight = false;
    bool m_fetchInFlight = false;
    TimePoint m_nextVmList;
    bool m_vmListInFlight = false;
    bool m_hasVmList = false;
    std::vector<VmInfo> m_vmList;
    TimePoint m_nextHolderList;
    TimePoint m_nextExpiry;
    TimePoint m_lastTick;
    std::map<std::string, TimePoint> m_absentHolders;

    std::uint64_t m_heartbeatSequence = 0;
    std::map<std::uint64_t, TimePoint> m_heartbeatSentAt;
    std::size_t m_homesAnnounced = 0;
    std::map<LinkId, bool> m_outgoingLinks;
    std::map<std::string, std::string> m_lastBoot;
    std::set<std::string> m_cutDaemons;

    std::uint64_t m_nextCall = 1;
    std::map<std::uint64_t, OpenCall> m_calls;
    std::map<std::uint64_t, Relay> m_relays;
    std::map<PeerCallName, PeerCall> m_peerCalls;
    std::vector<JobWaiter> m_jobWaiters;
    std::vector<ParkedCall> m_parked;
    std::map<std::string, KeyedRun> m_keyedRuns;
    std::map<std::string, KeyedAnswer> m_keyedAnswers;
    std::map<std::uint64_t, Gathering> m_gatherings;
    std::map<std::uint64_t, std::uint64_t> m_gatherCalls;
    std::map<std::uint64_t, DurableStep> m_durableSteps;
    std::map<std::uint64_t, std::string> m_grantedTokens;
    std::map<std::string, ShardHome> m_othersHomes;
    std::map<std::string, std::string> m_homeDaemons;

    std::deque<PeerMessage> m_toSelf;
    bool m_deliveringToSelf = false;
    std::deque<OutsideOrder> m_backlog;

    bool m_stopping = false;
    TimePoint m_stopSince;
    TimePoint m_quietSince;

    Duty m_duty;
    Mailbox<CoreEvent> m_inbox;
};

} // namespace heatherchute
