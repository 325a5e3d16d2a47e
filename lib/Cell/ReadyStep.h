/// State of one step during a placement pass; shared by placement and advice requests.
#pragma once

#include "heatherchute/Cell.h"

namespace heatherchute::cell {

/// A step with tasks that are ready to run.
struct CellDesk::ReadyStep {
    Job* job = nullptr;
    TaskId id;
    Step* step = nullptr;
    const StepSpec* spec = nullptr;
    const QueuePolicy* queue = nullptr;
    std::vector<std::uint32_t> waitingTasks;
    /// The job is so late that completing it no longer has any value.
    bool hasNoValue = false;
    TimePoint deadline;

    /// The tasks may use the capacity that is kept free for the queues of the highest priority.
    bool mayUseReserve() const { return !queue || queue->priority == 0; }
    /// Returns true if that many tasks leave the reserve of the queues of the highest priority free.
    bool keepsReserve(const ServiceCapacity& service, std::size_t tasks) const
    {
        if (mayUseReserve())
            return true;
        const auto left = service.free - spec->needOnVm() * tasks;
        return spec->usesIdleRoom ? left.memoryMb >= service.reservedMemoryMb : left.cpuMilli >= service.reservedCpuMilli;
    }
    /// Service on whose VMs the tasks run.
    const std::string& service() const { return queue ? queue->service : job->service; }
};

} // namespace heatherchute::cell
