/// The parts of the model: its clock, its VMs and its judge.
#pragma once

#include "CellModel.h"

#include <queue>

namespace heatherchute::cell {

/// Virtual time and what happens in it.
class ModelClock {
public:
    TimePoint now() const { return m_now; }
    std::int64_t milliseconds() const { return std::chrono::duration_cast<Milliseconds>(m_now.time_since_epoch()).count(); }
    Now deskTime() const { return { m_now, unixStartMs + milliseconds() }; }
    void at(TimePoint time, std::function<void()> action);
    void after(Milliseconds delay, std::function<void()> action) { at(m_now + delay, std::move(action)); }
    /// False when nothing is left before `end`.
    bool step(TimePoint end);

private:
    static constexpr std::int64_t unixStartMs = 1'700'000'000'000;

    struct Event {
        TimePoint time;
        std::uint64_t number;
        std::shared_ptr<std::function<void()>> action;
        bool operator<(const Event& other) const { return std::tie(other.time, other.number) < std::tie(time, number); }
    };
    std::priority_queue<Event> m_events;
    std::uint64_t m_number = 0;
    TimePoint m_now { Seconds(1000) };
};

/// One run on a model VM.
struct ModelRun {
    std::uint32_t run = 0;
    Room need;
    TimePoint endsAt;
    std::uint64_t life = 0;
    std::string checkpoint;
};

/// One run of a gang: its members work only together and end together.
struct ModelGang {
    /// Members that are present, and the VM of each.
    std::map<TaskId, std::string> members;
    bool isWorking = false;
};

/// A VM, as the platform's pages describe one; naive and separate from the desk's idea of it.
struct ModelVm {
    VmReport report;
    double speed = 1;
    bool isUp = true;
    TimePoint cutUntil;
    TimePoint bornAt;
    std::uint64_t life = 1;
    std::uint64_t fence = 0;
    TimePoint leaseUntil;
    std::map<TaskId, ModelRun> running;
    std::map<TaskId, std::uint32_t> forbidden;
    std::vector<FinishedTask> finished;
    std::uint64_t nextEnd = 1;
    /// Ends up to this number were listed before its lease lapsed.
    std::uint64_t lapsedThrough = 0;
    std::vector<std::function<void()>> waiters;

    std::int64_t clockMs(TimePoint now) const { return 1000 + std::chrono::duration_cast<Milliseconds>(now - bornAt).count(); }
    Room used() const;
};

/// What the model knows of a task that the desk does not.
struct ModelTask {
    double runMs = 0;
    std::uint32_t failuresNoted = 0;
    bool doneNoted = false;
    bool isDone = false;
};

struct ModelJob {
    std::string id;
    const ModelQueue* queue = nullptr;
    std::string team;
    JobSpec spec;
    TimePoint handedIn;
    std::optional<TimePoint> cancelAcknowledged;
    bool isAccepted = false;
    bool isOver = false;
    bool hasStarted = false;
    double chainMs = 0;
    double coreSeconds = 0;
    std::map<TaskId, ModelTask> tasks;
};

} // namespace heatherchute::cell
