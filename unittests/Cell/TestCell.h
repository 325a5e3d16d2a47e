/// A scheduler with a store, VMs and callers that a test controls.
#pragma once

#include "heatherchute/Cell.h"

namespace heatherchute::cell {

inline QueuePolicy makeQueue(const std::string& name, std::uint32_t maxAttempts)
{
    QueuePolicy queue;
    queue.name = name;
    queue.service = "workers";
    queue.maxAttempts = maxAttempts;
    return queue;
}

inline CellPolicyPointer makePolicy(std::uint64_t version, std::vector<QueuePolicy> queues, std::vector<TeamPolicy> teams = { { "team", { "key" }, 100, {} } })
{
    CellPolicy policy;
    policy.version = version;
    policy.queues = std::move(queues);
    policy.teams = std::move(teams);
    return std::make_shared<const CellPolicy>(std::move(policy));
}

inline JobSpec makeJob(std::uint32_t tasks, std::int64_t cpuMilli = 1000)
{
    JobSpec spec;
    spec.steps.resize(1);
    spec.steps[0].tasks = tasks;
    spec.steps[0].need = { cpuMilli, 100, 0 };
    spec.steps[0].estimateMs = 1000;
    return spec;
}

/// A scheduler whose commits succeed at once and whose VMs respond to every heartbeat with the lists in
/// `running` and `finished`. Start and stop commands are recorded and left to the test.
class TestCell {
public:
    explicit TestCell(CellPolicyPointer policy, std::size_t vms = 1, CellLimits cellLimits = {})
        : limits(cellLimits)
        , m_vms(vms)
    {
        begin(std::move(policy));
    }

    /// Replaces the scheduler by that of the next owner, which has the state in the store.
    void changeOwner(CellPolicyPointer policy)
    {
        begin(std::move(policy));
    }

    void run(Milliseconds time)
    {
        for (const auto end = now.steady + time; now.steady < end; now.steady += Milliseconds(10))
            pass();
    }

    /// Lets "vm-0" start anew under its id. The registry doesn't show it yet.
    void restartVm()
    {
        running.clear();
        finished.clear();
        m_lastEnd = 0;
        m_bornAt = now.steady;
        ++m_incarnation;
    }

    /// Registers this many VMs, with their incarnations.
    void registerVms(std::size_t vms)
    {
        m_vms = vms;
        updateRegistry();
    }

    /// Lets the VM respond to a start command.
    void answerStart(const StartRun& start, StartAnswer answer)
    {
        desk->onStart({ start.vm, start.task, start.run, answer, now.steady, vmClockMs() }, now);
    }

    /// Ends a run that the VM has been told to start.
    void endRun(const StartRun& start, RunEnd end) { finished.push_back({ ++m_lastEnd, start.task, start.run, end, {} }); }

    CallId submit(const std::string& id, const std::string& queue, const std::string& team, JobSpec spec)
    {
        desk->submit(m_nextCall, id, queue, team, std::move(spec), now);
        return m_nextCall++;
    }

    CallId cancel(const std::string& id)
    {
        desk->cancel(m_nextCall, id, now);
        return m_nextCall++;
    }

    /// Result of a call; nullopt while there is none.
    std::optional<ErrorKind> answer(CallId call) const
    {
        const auto found = m_answers.find(call);
        return found == m_answers.end() ? std::nullopt : std::optional(found->second);
    }

    /// Replaces what the store has of the job's progress by bytes that can't be decoded.
    void damageProgress(const std::string& id) { m_store[progressPrefix + id] = "?"; }

    std::string phase(const std::string& id) const
    {
        const auto phase = desk->query(id);
        return phase ? std::string(jobPhaseName(*phase)) : "unknown";
    }

    CellLimits limits;
    std::unique_ptr<CellDesk> desk;
    /// Time for which the registry shows the VM as cold, by id; updateRegistry() reports it.
    std::map<std::string, Milliseconds> warmup;
    Now now { TimePoint(Seconds(100)), 1'700'000'000'000 };
    std::vector<RunningTask> running;
    std::vector<FinishedTask> finished;
    /// Largest number of ended runs that a VM lists at once.
    std::size_t maxListedEnds = 500;
    std::vector<StartRun> starts;
    std::vector<StopRun> stops;
    /// Left to the test to answer.
    std::vector<AskAdvice> adviceRequests;
    /// Names of the log events so far.
    std::vector<std::string> events;
    /// While set, heartbeats to "vm-0" get no response.
    bool isVmSilent = false;
    /// While set, commits get no response.
    bool isStoreSilent = false;

private:
    std::int64_t vmClockMs() const { return std::chrono::duration_cast<Milliseconds>(now.steady - m_bornAt).count(); }

    void begin(CellPolicyPointer policy)
    {
        desk = std::make_unique<CellDesk>(limits, now.steady + Seconds(9));
        if (policy)
            desk->setPolicy(std::move(policy));
        std::map<std::string, StoredJob> jobs;
        for (const auto& [key, value] : m_store) {
            const bool isSubmission = key.starts_with(submissionPrefix);
            const auto id = key.substr(isSubmission ? submissionPrefix.size() : progressPrefix.size());
            jobs[id].id = id;
            (isSubmission ? jobs[id].submission : jobs[id].progress) = value;
        }
        std::vector<StoredJob> stored;
        for (const auto& [id, job] : jobs)
            stored.push_back(job);
        desk->load(stored, now);
        updateRegistry();
    }

    void updateRegistry()
    {
        std::vector<VmReport> reports;
        for (std::size_t i = 0; i < m_vms; ++i) {
            VmReport report;
            report.id = "vm-" + std::to_string(i);
            report.service = "workers";
            report.address = { "127.0.0.1", 1 };
            report.failureDomain = "domain-" + std::to_string(i);
            report.warmup = warmup.contains(report.id) ? warmup.at(report.id) : Milliseconds(0);
            report.capacity = { 64'000, 262'144, 0 };
            report.incarnation = i == 0 ? m_incarnation : 1;
            reports.push_back(report);
        }
        desk->setVms(reports, now);
    }

    void answerHeartbeat(const BeatVm& beat)
    {
        BeatAnswer answer { beat.vm, now.steady, false, VmState { vmClockMs(), 1, {}, {} } };
        if (beat.vm != "vm-0") {
            desk->onBeat(answer, now);
            return;
        }
        if (isVmSilent) {
            answer.state.reset();
            m_unanswered.emplace_back(now.steady + beat.wait + Milliseconds(700), answer);
            return;
        }
        std::erase_if(finished, [&](const auto& end) { return end.number <= beat.acknowledged; });
        answer.state->incarnation = m_incarnation;
        answer.state->running = running;
        answer.state->finished.assign(finished.begin(), finished.begin() + static_cast<std::ptrdiff_t>(std::min(finished.size(), maxListedEnds)));
        answer.state->areAllEndsListed = finished.size() < maxListedEnds;
        desk->onBeat(answer, now);
    }

    void pass()
    {
        std::erase_if(m_unanswered, [this](const auto& heartbeat) {
            if (now.steady < heartbeat.first)
                return false;
            desk->onBeat(heartbeat.second, now);
            return true;
        });
        desk->advance(now);
        bool isCommitted = false;
        for (const auto& action : desk->takeActions()) {
            if (const auto* const response = std::get_if<AnswerCall>(&action)) {
                m_answers[response->call] = response->error;
            } else if (const auto* const commit = std::get_if<CommitState>(&action)) {
                if (isStoreSilent)
                    continue;
                isCommitted = true;
                for (const auto& write : commit->writes)
                    m_store[write.key] = write.value;
                std::erase_if(m_store, [](const auto& entry) { return entry.second.empty(); });
            } else if (const auto* const start = std::get_if<StartRun>(&action)) {
                starts.push_back(*start);
            } else if (const auto* const stop = std::get_if<StopRun>(&action)) {
                stops.push_back(*stop);
            } else if (const auto* const request = std::get_if<AskAdvice>(&action)) {
                adviceRequests.push_back(*request);
            } else if (const auto* const decision = std::get_if<Decision>(&action)) {
                events.emplace_back(decision->event);
            } else if (const auto* const beat = std::get_if<BeatVm>(&action)) {
                answerHeartbeat(*beat);
            }
        }
        if (isCommitted)
            desk->onCommitted(now);
    }

    std::size_t m_vms;
    TimePoint m_bornAt;
    std::int64_t m_incarnation = 1;
    /// Heartbeats without a response, with the end of their timeout.
    std::vector<std::pair<TimePoint, BeatAnswer>> m_unanswered;
    std::map<std::string, std::string> m_store;
    std::uint64_t m_lastEnd = 0;
    CallId m_nextCall = 1;
    std::map<CallId, ErrorKind> m_answers;
};

inline const std::string jobId = "0000000000000001";

} // namespace heatherchute::cell
