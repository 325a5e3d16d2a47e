/// One VM of the stand-in: tasks under leases, an owner under an epoch, and the slots of its
/// service. It refuses what a real worker refuses and records what really happened.
#pragma once

#include "../standin-common/Record.h"
#include "heatherchute/Http.h"
#include "heatherchute/Platform.h"

#include <map>

namespace heatherchute {

/// How the VM misbehaves at present.
struct WorkerMode {
    bool failAll = false;
    /// Calls are taken and not answered until this is cleared.
    bool frozen = false;
    bool leaving = false;
    /// Connections open now are never answered again, while new ones are.
    bool silentConnections = false;
    std::uint64_t slowMs = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(WorkerMode, failAll, frozen, leaving, silentConnections, slowMs)

/// What a task does, as the submitter wrote it.
struct SimulatedWork {
    std::uint64_t runMs = 100;
    bool fail = false;
    double usesMemoryMb = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(SimulatedWork, runMs, fail, usesMemoryMb)

class Worker {
public:
    Worker(Duty& duty, VmInfo info, Record& record);
    Worker(const Worker&) = delete;
    Worker& operator=(const Worker&) = delete;

    /// Leases, tasks and the stand-in's own switches.
    HttpResponse handleControl(const HttpRequest& request);
    /// Requests to the service that runs on the VM.
    HttpResponse handleService(const HttpRequest& request);
    /// Ends tasks that are done and tasks whose lease has lapsed.
    void tick();

private:
    struct Task {
        TaskAttempt attempt;
        TaskState state = TaskState::Running;
        SimulatedWork work;
        TimePoint endsAt;
        /// Report number of its last change.
        std::uint64_t report = 0;
        /// An owner has been told of its end.
        bool isReported = false;
    };

    HttpResponse takeLease(const OwnerLeaseAsk& ask);
    void grantLease(const OwnerLeaseAsk& ask);
    HttpResponse startTask(const std::string& id, const TaskStart& start);
    HttpResponse orderTask(const std::string& id, const std::string& order, const Json& body);
    HttpResponse setMode(const Json& body);
    HttpResponse restart();
    HttpResponse dispatch(const HttpRequest& request, const Json& body);
    std::vector<TaskChange> changesAfter(std::uint64_t report);
    Resources used() const;
    void endTask(Task& task, TaskState state, std::string_view why);
    void note(std::string_view event, Json fields);
    bool holdBack(const HttpRequest& request);

    Duty& m_duty;
    VmInfo m_info;
    Record& m_record;
    WorkerMode m_mode;
    std::string m_boot;
    std::string m_owner;
    std::uint64_t m_ownerEpoch = 0;
    TimePoint m_ownerUntil;
    std::uint64_t m_settled = 0;
    TimePoint m_tasksUntil;
    std::map<std::string, Task> m_tasks;
    std::map<std::string, std::uint64_t> m_floors;
    std::uint64_t m_report = 0;
    std::uint32_t m_slotsInUse = 0;
    std::uint64_t m_newestConnection = 0;
    std::uint64_t m_silentUpTo = 0;
};

} // namespace heatherchute
