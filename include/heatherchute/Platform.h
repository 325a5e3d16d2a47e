/// What lies outside: the platform's key-value service, its VM list, and the endpoints. Each is
/// met through one concept and one small adapter; docs/PLATFORM.md lists what they assume.
/// Fibers of one duty only.
#pragma once

#include "heatherchute/Http.h"
#include "heatherchute/Model.h"

#include <concepts>
#include <functional>

namespace heatherchute {

/// One key with its value and the store's revision of its last change.
struct StoreEntry {
    std::string key;
    std::string value;
    std::uint64_t revision = 0;
};

/// One write of a transaction: it takes effect only when the key's revision is `expected`
/// (zero: the key must not exist). An empty optional value deletes the key.
struct StoreWrite {
    std::string key;
    std::optional<std::string> value;
    std::uint64_t expected = 0;
};

/// What a daemon asks of the platform's key-value service.
/// compareAndPut: true when all writes took effect, false when a comparison failed, and
/// OutcomeUnknown when the answer was lost: read back to learn what happened.
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

/// The service by the JSON form of etcd's version 3 protocol.
class EtcdStore {
public:
    EtcdStore(HttpClient& client, Address address);

    Result<std::optional<StoreEntry>> get(const std::string& key);
    /// All keys that start with `prefix`, in order of key.
    Result<std::vector<StoreEntry>> list(const std::string& prefix);
    Result<bool> compareAndPut(const std::vector<StoreWrite>& writes);

private:
    struct Answer {
        Json body;
    };
    Result<Answer> call(const char* path, const Json& body);

    HttpClient& m_client;
    Address m_address;
};
static_assert(KeyValueStore<EtcdStore>);

/// The platform's list of live and leaving VMs, which lags.
template <typename List>
concept VmLister = requires(List& list)
{
    {
        list.fetch()
        } -> std::same_as<Result<std::vector<VmInfo>>>;
};

/// The list by HTTP. Where the platform gives entity tags, an unchanged list costs one small
/// answer.
class HttpVmList {
public:
    HttpVmList(HttpClient& client, Address address);
    Result<std::vector<VmInfo>> fetch();

private:
    HttpClient& m_client;
    Address m_address;
    std::string m_tag;
    std::vector<VmInfo> m_last;
};
static_assert(VmLister<HttpVmList>);

/// One change of a task, as its worker reports it.
struct TaskChange {
    std::string id;
    std::string state;
    std::uint64_t shardEpoch = 0;
    Resources size;
    Resources used;
    std::string detail;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(TaskChange, id, state, shardEpoch, size, used, detail)

/// Floor under the epochs of a shard: starts below it are refused.
struct ShardFloor {
    std::string shard;
    std::uint64_t epoch = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ShardFloor, shard, epoch)

/// Asks for the ownership of a VM or renews it. Renewal keeps every task on the VM alive.
struct OwnerLeaseAsk {
    std::string owner;
    /// Zero asks for ownership; otherwise the epoch that the VM granted.
    std::uint64_t epoch = 0;
    std::uint64_t ownerLeaseMs = 0;
    std::uint64_t taskLeaseMs = 0;
    /// Last report that the owner has; the VM sends what came after.
    std::uint64_t seen = 0;
    /// Ended tasks whose end is kept elsewhere, so that the VM may forget them.
    std::vector<std::string> forget;
    std::vector<ShardFloor> floors;
    /// Starts of this epoch with a lower sequence are settled: one that comes late is refused,
    /// also when its task has been forgotten.
    std::uint64_t settled = 0;
    /// Gives the VM up.
    bool release = false;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(OwnerLeaseAsk, owner, epoch, ownerLeaseMs, taskLeaseMs, seen, forget, floors, settled, release)

/// The VM's answer. When `granted` is false, another owner holds it for `remainingMs`. When
/// `epoch` differs from the one asked with, `changes` lists every task of the VM; otherwise
/// those that changed after `seen`.
struct OwnerLeaseAnswer {
    bool granted = false;
    std::uint64_t remainingMs = 0;
    /// Changes when the VM is restarted or replaced.
    std::string boot;
    std::uint64_t epoch = 0;
    bool leaving = false;
    /// Service requests that the VM is working on, whoever sent them.
    std::uint32_t slotsInUse = 0;
    std::uint64_t seen = 0;
    std::vector<TaskChange> changes;
    std::vector<ShardFloor> floors;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(OwnerLeaseAnswer, granted, remainingMs, boot, epoch, leaving, slotsInUse, seen, changes, floors)

/// A start of one task under the owner's epoch and the shard's.
struct TaskStart {
    std::string boot;
    std::uint64_t ownerEpoch = 0;
    std::uint64_t taskLeaseMs = 0;
    /// Rises with every task that the owner starts on the VM; repeated starts keep theirs.
    std::uint64_t sequence = 0;
    TaskAttempt task;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(TaskStart, boot, ownerEpoch, taskLeaseMs, sequence, task)

/// What an owner may ask of a running task.
enum class TaskOrder : std::uint8_t {
    Stop,
    Checkpoint,
    Throttle,
};

/// Endpoints by HTTP.
class HttpEndpoint {
public:
    explicit HttpEndpoint(HttpClient& client);

    Result<OwnerLeaseAnswer> lease(const Address& address, const OwnerLeaseAsk& ask, Milliseconds timeout);
    /// Starts a task; the same id started again is the same start. Fenced and NeverRunnable are
    /// the VM's word that it did not start it.
    Result<void> start(const Address& address, const TaskStart& start, Milliseconds timeout);
    Result<void> order(const Address& address, const std::string& task, std::uint64_t ownerEpoch, TaskOrder order, Milliseconds timeout);
    /// Passes one request through whole. `NoEndpoint` is sure not to have run.
    Result<HttpResponse> request(const Address& address, const HttpRequest& request, Milliseconds timeout);

private:
    HttpClient& m_client;
};

} // namespace heatherchute
