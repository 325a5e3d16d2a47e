/// What the core remembers of calls, relays and waiters.
#pragma once

#include "Events.h"

namespace heatherchute {

/// Age in a heartbeat of a daemon that never had the store's word.
inline constexpr std::uint64_t unconfirmedAge = ~std::uint64_t(0);

/// Team of callers that show no key and know a job of an open queue by its id.
inline constexpr std::string_view anonymousTeam = "(anonymous)";

/// Who waits for a call's answer.
struct FrontOrigin {
    std::uint64_t front = 0;
};
struct PeerOrigin {
    std::string daemon;
    std::string boot;
    std::uint64_t call = 0;
};
/// A request with an idempotency key runs under its key; callers wait for the key.
struct KeyOrigin {
    std::string shard;
    std::string key;
};
using Origin = std::variant<FrontOrigin, PeerOrigin, KeyOrigin>;

struct OpenCall {
    Origin origin;
    TimePoint arrived;
    TimePoint deadline;
    std::string team;
};

/// Why a call was sent to another daemon.
enum class RelayKind : std::uint8_t {
    Service,
    Home,
    Gather,
};
struct Relay {
    RelayKind kind = RelayKind::Service;
    std::string daemon;
    std::string boot;
    CallAsk ask;
    TimePoint deadline;
};

/// Names a call that another daemon passed on.
struct PeerCallName {
    std::string daemon;
    std::string boot;
    std::uint64_t call = 0;

    auto operator<=>(const PeerCallName&) const = default;
};
struct PeerCall {
    std::optional<CallReply> reply;
    TimePoint since;
};

struct JobWaiter {
    std::uint64_t call = 0;
    std::string job;
    std::uint64_t version = 0;
    TimePoint until;
};

/// Callers that wait for the end of a request with an idempotency key.
struct KeyedRun {
    std::string service;
    std::string team;
    std::vector<std::uint64_t> waiters;
    std::shared_ptr<const HttpRequest> request;
    TimePoint deadline;
    std::string shard;
    /// Journal write that it waits for; zero once it has been sent on.
    std::uint64_t token = 0;
    TimePoint begun;
};
struct KeyedAnswer {
    HttpResponse response;
    TimePoint until;
};

/// A call for a home that nobody can reach at present. It is tried again until its time is up.
struct ParkedCall {
    std::uint64_t call = 0;
    std::string shard;
    std::string team;
    HttpRequest request;
    TimePoint until;
    TimePoint nextTry;
};

/// Something that goes on once a journal record is durable.
struct DurableStep {
    std::function<void(bool durable)> run;
};

/// One list gathered from all daemons.
struct Gathering {
    std::uint64_t call = 0;
    Json items = Json::array();
    Json missing = Json::array();
    std::size_t outstanding = 0;
    TimePoint until;
};

/// Team of a caller, and whether it is an operator.
struct Caller {
    std::string team;
    bool isOperator = false;
};

} // namespace heatherchute
