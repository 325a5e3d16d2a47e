/// Interfaces to external systems: the platform's key-value service, its VM list, and the endpoints.
/// Each has one small adapter, the first two behind a concept; docs/PLATFORM.md lists the
/// assumptions. Call the adapters only from fibers on their HTTP client's event loop.
#pragma once

#include "heatherchute/Http.h"
#include "heatherchute/Model.h"

#include <concepts>
#include <functional>

namespace heatherchute {

/// A key with its value and the store revision of its last change.
struct StoreEntry {
    std::string key;
    std::string value;
    std::uint64_t revision = 0;
};

/// One write of a transaction, conditional on the key's revision being `expected` (zero: the key
/// must not exist). Without a value, it deletes the key.
struct StoreWrite {
    std::string key;
    std::optional<std::string> value;
    std::uint64_t expected = 0;
};

/// Operations that a daemon needs from the platform's key-value service. `compareAndPut` returns
/// true if all writes were applied and false if a comparison failed. It fails with OutcomeUnknown if
/// the response was lost; the caller must then read the keys to learn the outcome.
template <typename Store>
concept KeyValueStore = requires(Store& store, const std::string& key, const std::vector<StoreWrite>& writes)
{
    {
        store.get(key)
        } -> std::same_as<Result<std::optional<StoreEntry>>>;
    {
        store.list(key)
        } -> std::same_as<Result<std::vector<StoreEntry>>>;
    {
        store.compareAndPut(writes)
        } -> std::same_as<Result<bool>>;
};

/// Client of the key-value service, through the JSON form of etcd's version 3 protocol.
class EtcdStore {
public:
    EtcdStore(HttpClient& client, Address address);

    Result<std::optional<StoreEntry>> get(const std::string& key);
    /// All entries whose keys start with `prefix`, sorted by key.
    Result<std::vector<StoreEntry>> list(const std::string& prefix);
    Result<bool> compareAndPut(const std::vector<StoreWrite>& writes);

private:
    struct Response {
        Json body;
    };
    Result<Response> call(const char* path, const Json& body);

    HttpClient& m_client;
    Address m_address;
};
static_assert(KeyValueStore<EtcdStore>);

/// The platform's list of live and leaving VMs. It may be out of date.
template <typename List>
concept VmLister = requires(List& list)
{
    {
        list.fetch()
        } -> std::same_as<Result<std::vector<VmInfo>>>;
};

/// Reads the VM list over HTTP. If the platform sends entity tags, an unchanged list costs only a
/// small response.
class HttpVmList {
public:
    HttpVmList(HttpClient& client, Address address);
    /// The current list. Fails with StoreUnavailable, BadJson or the error of the HTTP request.
    Result<std::vector<VmInfo>> fetch();

private:
    HttpClient& m_client;
    Address m_address;
    std::string m_entityTag;
    std::vector<VmInfo> m_cachedVms;
};
static_assert(VmLister<HttpVmList>);

/// A change of a task's state, as the VM that runs it reports it.
struct TaskChange {
    std::string id;
    std::string state;
    std::uint64_t shardEpoch = 0;
    Resources size;
    Resources used;
    std::string detail;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(TaskChange, id, state, shardEpoch, size, used, detail)

/// Lowest accepted fencing token (`epoch`) of a shard. Starts with a lower token are rejected.
struct LowestAcceptedToken {
    std::string shard;
    std::uint64_t epoch = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LowestAcceptedToken, shard, epoch)

/// Request to acquire, renew or release the ownership of a VM. Renewal extends the leases of all
/// tasks on the VM.
struct OwnerLeaseAsk {
    std::string owner;
    /// Fencing token that the VM granted; zero to acquire the ownership.
    std::uint64_t epoch = 0;
    std::uint64_t ownerLeaseMs = 0;
    std::uint64_t taskLeaseMs = 0;
    /// Number of the last report that the owner has received; the VM sends the later ones.
    std::uint64_t seen = 0;
    /// Ended tasks whose results are stored elsewhere, so that the VM may drop its records of them.
    std::vector<std::string> forget;
    std::vector<LowestAcceptedToken> floors;
    /// Starts with this fencing token and a lower sequence have a known outcome. The VM rejects one
    /// that arrives late, even after it has dropped the record of its task.
    std::uint64_t settled = 0;
    /// Releases the ownership.
    bool release = false;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(OwnerLeaseAsk, owner, epoch, ownerLeaseMs, taskLeaseMs, seen, forget, floors, settled, release)

/// The VM's response to an ownership request. If `granted` is false, another owner has the VM for
/// `remainingMs` more milliseconds. If `epoch` differs from the request's, `changes` lists every
/// task of the VM; otherwise, it lists only the tasks that changed after the request's `seen`.
struct OwnerLeaseAnswer {
    bool granted = false;
    std::uint64_t remainingMs = 0;
    /// Identifies the VM's incarnation: it changes when the VM is restarted or replaced.
    std::string boot;
    std::uint64_t epoch = 0;
    bool leaving = false;
    /// Number of service requests that the VM is processing, from all senders.
    std::uint32_t slotsInUse = 0;
    std::uint64_t seen = 0;
    std::vector<TaskChange> changes;
    std::vector<LowestAcceptedToken> floors;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(OwnerLeaseAnswer, granted, remainingMs, boot, epoch, leaving, slotsInUse, seen, changes, floors)

/// Request to start one task, fenced by the owner's and the shard's tokens.
struct TaskStart {
    std::string boot;
    std::uint64_t ownerEpoch = 0;
    std::uint64_t taskLeaseMs = 0;
    /// Increases with every task that the owner starts on the VM; a repeated start keeps its number.
    std::uint64_t sequence = 0;
    TaskAttempt task;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(TaskStart, boot, ownerEpoch, taskLeaseMs, sequence, task)

/// Command of an owner to a running task.
enum class TaskOrder : std::uint8_t {
    Stop,
    Checkpoint,
    Throttle,
};

/// Client of the endpoints, over HTTP.
class HttpEndpoint {
public:
    explicit HttpEndpoint(HttpClient& client);

    /// Acquires, renews or releases the ownership of a VM.
    Result<OwnerLeaseAnswer> lease(const Address& address, const OwnerLeaseAsk& request, Milliseconds timeout);
    /// Starts a task. Idempotent: repeating it with the same id starts the task only once. Fenced and
    /// NeverRunnable mean that the VM has not started it.
    Result<void> start(const Address& address, const TaskStart& start, Milliseconds timeout);
    /// Sends a command to a running task. Fenced if the VM rejects it.
    Result<void> order(const Address& address, const std::string& task, std::uint64_t ownerEpoch, TaskOrder command, Milliseconds timeout);
    /// Forwards a request unchanged. NoEndpoint means that the request was not executed.
    Result<HttpResponse> request(const Address& address, const HttpRequest& request, Milliseconds timeout);

private:
    HttpClient& m_client;
};

} // namespace heatherchute
