/// What a pass over the waiting work knows of one step; shared by placing and advice.
#pragma once

#include "heatherchute/Cell.h"

namespace heatherchute::cell {

/// A step with tasks that could run now.
struct CellDesk::ReadyStep {
    Job* job = nullptr;
    TaskId id;
    Step* step = nullptr;
    const StepSpec* spec = nullptr;
    const QueuePolicy* queue = nullptr;
    std::vector<std::uint32_t> waiting;
    /// Its objective can no longer earn anything.
    bool isHopeless = false;
    TimePoint deadline;
};

} // namespace heatherchute::cell
