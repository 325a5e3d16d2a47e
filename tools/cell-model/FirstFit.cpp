/// The baseline of the lab: first come first served with first fit. It knows all VMs at once, needs no
/// store, leases or advice calls, and gives every job its turn in the order of arrival; a task that
/// fits nowhere lets the next one try.
#include "World.h"

namespace heatherchute::cell {

namespace {

    class FirstFit {
    public:
        explicit FirstFit(const ModelSettings& settings)
            : m_settings(settings)
            , m_vms(makeVms(settings, m_clock.now()))
        {
        }
        ModelResult play();

    private:
        struct Waiting {
            std::uint32_t step = 0;
            std::vector<std::uint32_t> tasks;
        };
        struct Row {
            ModelJob job;
            TimePoint handedIn;
            std::optional<Waiting> waiting;
            std::uint32_t left = 0;
            std::uint32_t run = 0;
            bool hasStarted = false;
        };

        void open(Row& row, std::uint32_t step);
        void place();
        void placeStep(Row& row);
        ModelVm* fit(const Row& row, const StepSpec& spec, const std::map<std::string, std::uint32_t>& planned);
        void begin(Row& row, std::uint32_t index, ModelVm& vm, double speed, std::uint32_t run);
        void finish(Row& row, std::uint32_t step);

        ModelSettings m_settings;
        ModelClock m_clock;
        std::map<std::string, ModelVm> m_vms;
        /// Room in use and tasks of each step, by VM.
        std::map<std::string, Room> m_used;
        std::map<std::pair<std::string, std::string>, std::uint32_t> m_together;
        /// In the order of arrival.
        std::deque<Row> m_rows;
        ModelResult m_result;
        bool m_isPlaceWanted = false;
    };

    void FirstFit::open(Row& row, std::uint32_t step)
    {
        const auto& spec = row.job.spec.steps[step];
        row.waiting = Waiting { step, {} };
        for (std::uint32_t i = 0; i < spec.tasks; ++i)
            row.waiting->tasks.push_back(i);
        row.left = spec.tasks;
        m_isPlaceWanted = true;
    }

    ModelVm* FirstFit::fit(const Row& row, const StepSpec& spec, const std::map<std::string, std::uint32_t>& planned)
    {
        const auto name = stepText({ row.job.id, 0, row.waiting->step, 0 });
        for (auto& [id, vm] : m_vms) {
            if (!isAllowed(name, id, row.job.queue->allowedShare))
                continue;
            auto free = vm.report.capacity - m_used[id];
            const auto plan = planned.find(id);
            const auto mine = plan == planned.end() ? 0 : plan->second;
            for (std::uint32_t i = 0; i < mine; ++i)
                free -= spec.need;
            const auto together = mine + (spec.maxTasksPerVm > 0 ? m_together[{ name, id }] : 0);
            if (spec.need.fitsIn(free) && (spec.maxTasksPerVm == 0 || together < spec.maxTasksPerVm))
                return &vm;
        }
        return nullptr;
    }

    void FirstFit::begin(Row& row, std::uint32_t index, ModelVm& vm, double speed, std::uint32_t run)
    {
        const auto step = row.waiting->step;
        const auto& spec = row.job.spec.steps[step];
        const auto name = stepText({ row.job.id, 0, step, 0 });
        const TaskId task { row.job.id, 0, step, index };
        ++m_result.starts;
        if (!std::exchange(row.hasStarted, true))
            m_result.queues[row.job.queue->policy.name].waitMs.push_back(std::chrono::duration<double, std::milli>(m_clock.now() - row.handedIn).count());
        m_used[vm.report.id] += spec.need;
        ++m_together[{ name, vm.report.id }];
        // A gang fails as one, by its first task.
        const TaskId decides = spec.gang ? TaskId { row.job.id, 0, step, 0 } : task;
        const bool isFailing = failsByItself(m_settings, decides, run);
        const auto runMs = row.job.tasks.at(task).runMs * speed * (isFailing ? 0.5 : 1);
        m_clock.after(Milliseconds(std::llround(runMs)), [this, &row, &vm, step, index, name, need = spec.need, isFailing] {
            m_used[vm.report.id] -= need;
            --m_together[{ name, vm.report.id }];
            m_isPlaceWanted = true;
            m_result.wastedRuns += isFailing ? 1 : 0;
            if (!isFailing)
                return finish(row, step);
            if (!row.waiting)
                row.waiting = Waiting { step, {} };
            row.waiting->tasks.push_back(index);
        });
    }

    void FirstFit::finish(Row& row, std::uint32_t step)
    {
        if (--row.left > 0)
            return;
        if (step + 1 < row.job.spec.steps.size())
            return open(row, step + 1);
        countJob(row.job, std::chrono::duration_cast<Milliseconds>(m_clock.now() - row.handedIn), m_result);
    }

    void FirstFit::placeStep(Row& row)
    {
        const auto& spec = row.job.spec.steps[row.waiting->step];
        std::map<std::string, std::uint32_t> planned;
        std::vector<ModelVm*> chosen;
        for (std::size_t i = 0; i < row.waiting->tasks.size(); ++i) {
            auto* const vm = fit(row, spec, planned);
            if (!vm)
                break;
            ++planned[vm->report.id];
            chosen.push_back(vm);
        }
        if (chosen.empty() || (spec.gang && chosen.size() < spec.tasks))
            return;
        // The slowest VM holds up a gang.
        double gangSpeed = 1;
        for (const auto* const vm : chosen)
            gangSpeed = std::max(gangSpeed, vm->speed);
        const auto run = ++row.run;
        for (std::size_t i = 0; i < chosen.size(); ++i)
            begin(row, row.waiting->tasks[i], *chosen[i], spec.gang ? gangSpeed : chosen[i]->speed, run);
        auto& tasks = row.waiting->tasks;
        tasks.erase(tasks.begin(), tasks.begin() + static_cast<std::ptrdiff_t>(chosen.size()));
        if (tasks.empty())
            row.waiting.reset();
    }

    void FirstFit::place()
    {
        m_isPlaceWanted = false;
        for (auto& row : m_rows) {
            if (row.waiting)
                placeStep(row);
        }
    }

    ModelResult FirstFit::play()
    {
        auto jobs = drawJobs(m_settings, m_vms);
        std::sort(jobs.begin(), jobs.end(), [](const auto& left, const auto& right) { return std::tie(left.arrival, left.id) < std::tie(right.arrival, right.id); });
        const auto end = m_clock.now() + m_settings.load + m_settings.longestTail;
        for (auto& job : jobs) {
            m_clock.after(job.arrival, [this, &job] {
                m_rows.push_back({ std::move(job), m_clock.now(), std::nullopt, 0, 0, false });
                open(m_rows.back(), 0);
            });
        }
        while (m_clock.step(end)) {
            if (m_isPlaceWanted)
                place();
        }
        return m_result;
    }

} // namespace

ModelResult playFirstFit(const ModelSettings& settings)
{
    return FirstFit(settings).play();
}

} // namespace heatherchute::cell
