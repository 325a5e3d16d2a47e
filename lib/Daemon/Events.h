/// Typed messages between the duties of a daemon.
#pragma once

#include "heatherchute/Jobs.h"
#include "heatherchute/Peer.h"
#include "heatherchute/Routing.h"
#include "heatherchute/Runtime.h"

namespace heatherchute {

// From the front duty to the core.

/// A whole request of a caller.
struct CallArrived {
    std::uint64_t front = 0;
    HttpRequest request;
    TimePoint arrived;
};

/// The core's answer to it.
struct FrontAnswer {
    std::uint64_t front = 0;
    HttpResponse response;
};

// From the core to the peer duty.

struct DialPeer {
    Address address;
};
struct SendPeer {
    LinkId link = 0;
    PeerMessage message;
};
struct DropPeer {
    LinkId link = 0;
};
using PeerOrder = std::variant<DialPeer, SendPeer, DropPeer>;

// From the peer duty to the core.

struct PeerOpened {
    LinkId link = 0;
    bool outgoing = false;
};
struct PeerReceived {
    LinkId link = 0;
    PeerMessage message;
};
struct PeerClosed {
    LinkId link = 0;
};
struct PeerDialled {
    Address address;
    LinkId link = 0;
};

// From the core to the outside duty.

/// Reads the version of the fleet document.
struct PollFleet { };
/// Reads the fleet document.
struct FetchFleet { };
/// Writes the next fleet document, if the version before it is still the newest.
struct WriteFleet {
    std::uint64_t call = 0;
    FleetDocument document;
    /// Teams whose limit goes down, with the new limit.
    std::map<std::string, std::uint32_t> loweredLimits;
};
struct ReadHistory {
    std::uint64_t call = 0;
};
struct FetchVmList { };
/// Takes allotments of holders that are gone out of the store.
struct ReclaimAllotments {
    std::vector<std::string> holders;
};
/// Lists all holders of allotments.
struct ListHolders { };
/// Test point: the store and the VM list cannot be reached while `cut` is set.
struct CutPlatform {
    bool cut = false;
};
using OutsideOrder = std::variant<ReadJournal, AppendJournal, TrimJournal, AllotmentChange, PollFleet, FetchFleet, WriteFleet, ReadHistory,
    FetchVmList, ReclaimAllotments, ListHolders, CutPlatform, LeaseCall, StartCall, OrderCall, DispatchCall>;

// From the outside duty to the core.

struct JournalRead {
    std::string shard;
    Result<std::vector<JournalEntry>> entries;
};
struct JournalAppended {
    std::string shard;
    std::uint64_t sequence = 0;
    AppendOutcome outcome = AppendOutcome::Unknown;
};
struct AllotmentChanged {
    AllotmentChange change;
    Result<std::uint32_t> held;
};
struct FleetPolled {
    /// Before the call was sent.
    TimePoint asked;
    Result<std::uint64_t> version;
};
struct FleetFetched {
    TimePoint asked;
    Result<FleetDocument> document;
};
struct FleetWritten {
    std::uint64_t call = 0;
    FleetDocument document;
    ErrorKind error = ErrorKind::None;
    std::string detail;
};
struct HistoryRead {
    std::uint64_t call = 0;
    Result<std::vector<FleetDocument>> documents;
};
struct VmListFetched {
    Result<std::vector<VmInfo>> vms;
};
struct HoldersListed {
    Result<std::vector<std::string>> holders;
};
struct LeaseEnded {
    std::string vm;
    OwnerLeaseAsk ask;
    TimePoint sentAt;
    Result<OwnerLeaseAnswer> answer;
};
struct StartEnded {
    std::string vm;
    std::string task;
    std::error_code error;
};
struct DispatchEnded {
    std::uint64_t call = 0;
    std::string vm;
    Result<HttpResponse> result;
    Duration serviceTime;
};

struct StopSignal {
    int count = 0;
};

using CoreEvent = std::variant<CallArrived, PeerOpened, PeerReceived, PeerClosed, PeerDialled, JournalRead, JournalAppended, AllotmentChanged,
    FleetPolled, FleetFetched, FleetWritten, HistoryRead, VmListFetched, HoldersListed, LeaseEnded, StartEnded, DispatchEnded, StopSignal>;

/// Lets `std::visit` take one lambda for each kind of message.
template <typename... Handlers>
struct Overloaded : Handlers... {
    using Handlers::operator()...;
};
template <typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

} // namespace heatherchute
