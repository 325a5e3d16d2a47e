#include "TestCell.h"

#include <catch2/catch.hpp>

using namespace heatherchute;
using namespace heatherchute::cell;

namespace {

/// A scheduler with one VM, each of whose responses a test gives by hand.
struct ScriptedCell {
    ScriptedCell()
    {
        desk.setPolicy(makePolicy(1, { makeQueue("queue", 2) }));
        desk.load({}, now);
        registerVm(1);
        step(1);
    }

    void registerVm(std::int64_t incarnation, const std::string& kind = "a")
    {
        VmReport report;
        report.id = "vm-0";
        report.service = "workers";
        report.address = { "127.0.0.1", 1 };
        report.capacity = { 64'000, 262'144, 0 };
        report.labels = { kind };
        report.incarnation = incarnation;
        desk.setVms({ report }, now);
    }

    void step(int passes)
    {
        for (int i = 0; i < passes; ++i) {
            now.steady += Milliseconds(10);
            desk.advance(now);
            bool isCommitted = false;
            for (const auto& action : desk.takeActions()) {
                if (const auto* const start = std::get_if<StartRun>(&action))
                    starts.push_back(*start);
                else if (const auto* const stop = std::get_if<StopRun>(&action))
                    stops.push_back(*stop);
                else if (const auto* const heartbeat = std::get_if<BeatVm>(&action))
                    heartbeats.push_back(*heartbeat);
                else if (const auto* const decision = std::get_if<Decision>(&action))
                    events.insert(std::string(decision->event));
                else if (std::holds_alternative<WithdrawCommands>(action))
                    ++withdrawals;
                isCommitted = isCommitted || std::holds_alternative<CommitState>(action);
            }
            if (isCommitted && !isStoreSilent)
                desk.onCommitted(now);
        }
    }

    /// Submits a job whose task requires a VM of this kind.
    void submitForKind(const std::string& id, const std::string& kind)
    {
        auto spec = makeJob(1);
        spec.steps[0].requiredLabel = kind;
        desk.submit(1, id, "queue", "team", spec, now);
    }

    void answerHeartbeat(TimePoint sentAt, std::int64_t clockMs, std::int64_t incarnation, std::vector<FinishedTask> finished = {})
    {
        desk.onBeat({ "vm-0", sentAt, false, VmState { clockMs, incarnation, {}, std::move(finished) } }, now);
    }

    void submitUntilStarted()
    {
        desk.submit(1, jobId, "queue", "team", makeJob(1), now);
        for (int i = 0; i < 20 && starts.empty(); ++i)
            step(1);
        REQUIRE(starts.size() == 1);
    }

    Now now { TimePoint(Seconds(100)), 1'700'000'000'000 };
    CellDesk desk { CellLimits(), TimePoint(Seconds(100)) };
    std::vector<StartRun> starts;
    std::vector<StopRun> stops;
    std::vector<BeatVm> heartbeats;
    int withdrawals = 0;
    /// While set, commits get no response.
    bool isStoreSilent = false;
    std::set<std::string> events;
};

} // namespace

TEST_CASE("A late response of an earlier incarnation does not end the doubt about the present one")
{
    ScriptedCell cell;
    cell.answerHeartbeat(cell.now.steady, 50'000, 1);
    cell.step(5);
    REQUIRE(cell.heartbeats.size() == 2);
    const auto sentAt = cell.now.steady;
    cell.now.steady += Milliseconds(900);
    cell.registerVm(2);
    cell.step(1);
    cell.answerHeartbeat(sentAt, 50'300, 1);
    cell.desk.submit(1, jobId, "queue", "team", makeJob(1), cell.now);
    cell.step(20);
    CHECK(cell.starts.empty());
    REQUIRE(cell.heartbeats.size() == 3);
    CHECK(cell.heartbeats[2].deadlineMs == 0);
    CHECK(cell.heartbeats[2].acknowledged == 0);
    cell.answerHeartbeat(cell.now.steady, 900, 2);
    cell.step(20);
    CHECK(cell.starts.size() == 1);
}

TEST_CASE("Ends are acknowledged only while their VM lists them")
{
    ScriptedCell cell;
    cell.answerHeartbeat(cell.now.steady, 50'000, 1, { { 57, { jobId, 0, 0, 0 }, 1, RunEnd::Done, {} } });
    cell.step(10);
    REQUIRE(cell.heartbeats.size() == 2);
    CHECK(cell.heartbeats[1].acknowledged == 57);
    cell.answerHeartbeat(cell.now.steady, 50'100, 1);
    cell.step(5);
    REQUIRE(cell.heartbeats.size() == 3);
    CHECK(cell.heartbeats[2].acknowledged == 0);
}

TEST_CASE("A start's response that a heartbeat's has overtaken is not of a later incarnation")
{
    ScriptedCell cell;
    cell.answerHeartbeat(cell.now.steady, 50'000, 1);
    const auto readAt = cell.now.steady;
    cell.submitUntilStarted();
    const auto sentAt = cell.now.steady;
    const auto clockAt = [readAt](TimePoint time) { return 50'000 + std::chrono::duration_cast<Milliseconds>(time - readAt).count(); };
    cell.now.steady = sentAt + Milliseconds(200);
    cell.answerHeartbeat(sentAt - Milliseconds(10), clockAt(cell.now.steady), 1);
    cell.desk.onStart({ "vm-0", cell.starts[0].task, cell.starts[0].run, StartAnswer::Started, sentAt, clockAt(sentAt) }, cell.now);
    cell.step(1);
    CHECK_FALSE(cell.events.contains("vm_clock_behind"));
}

TEST_CASE("A late response of an earlier incarnation to a start does not confirm its run in the present one")
{
    ScriptedCell cell;
    cell.answerHeartbeat(cell.now.steady, 50'000, 1);
    cell.submitUntilStarted();
    const auto sentAt = cell.now.steady;
    cell.now.steady += Milliseconds(600);
    cell.answerHeartbeat(cell.now.steady, 40, 2);
    cell.now.steady += Milliseconds(20);
    cell.desk.onStart({ "vm-0", cell.starts[0].task, cell.starts[0].run, StartAnswer::Started, sentAt, 50'200 }, cell.now);
    REQUIRE(cell.desk.placements().size() == 1);
    CHECK_FALSE(cell.desk.placements().begin()->second.isIncarnationConfirmed);
}

// Guards against starts by the labels, service or capacity of the earlier incarnation.
TEST_CASE("A restarted VM gets no runs before the registry shows its incarnation")
{
    ScriptedCell cell;
    cell.answerHeartbeat(cell.now.steady, 50'000, 1);
    cell.step(5);
    cell.answerHeartbeat(cell.now.steady, 500, 2);
    cell.submitForKind("a-job", "a");
    cell.submitForKind("b-job", "b");
    cell.step(50);
    CHECK(cell.starts.empty());
    cell.registerVm(2, "b");
    cell.step(20);
    REQUIRE(cell.starts.size() == 1);
    CHECK(cell.starts[0].task.job == "b-job");
}

TEST_CASE("A restarted VM gets no runs by an older registry entry that comes after a newer one")
{
    ScriptedCell cell;
    cell.answerHeartbeat(cell.now.steady, 50'000, 1);
    cell.registerVm(2, "b");
    cell.step(1);
    cell.answerHeartbeat(cell.now.steady, 500, 2);
    cell.registerVm(1, "a");
    cell.step(1);
    cell.answerHeartbeat(cell.now.steady, 520, 2);
    cell.submitForKind("a-job", "a");
    cell.step(20);
    CHECK(cell.starts.empty());
}

TEST_CASE("A VM whose registry entry is ahead of its responses gets no runs by it")
{
    ScriptedCell cell;
    cell.answerHeartbeat(cell.now.steady, 50'000, 1);
    cell.registerVm(2, "b");
    cell.step(1);
    cell.answerHeartbeat(cell.now.steady, 50'030, 1);
    cell.submitForKind("a-job", "a");
    cell.submitForKind("b-job", "b");
    cell.step(20);
    CHECK(cell.starts.empty());
}

// The VM may have executed the first command, so a command that stops the run is needed.
TEST_CASE("A start without a response is not repeated at the next incarnation")
{
    ScriptedCell cell;
    cell.answerHeartbeat(cell.now.steady, 50'000, 1);
    cell.submitForKind(jobId, "a");
    cell.step(20);
    REQUIRE(cell.starts.size() == 1);
    const auto start = cell.starts[0];
    cell.desk.onStart({ start.vm, start.task, start.run, StartAnswer::Unknown, cell.now.steady, 0 }, cell.now);
    cell.registerVm(2, "b");
    cell.step(1);
    cell.answerHeartbeat(cell.now.steady, 500, 2);
    cell.step(20);
    CHECK(cell.starts.size() == 1);
    CHECK_FALSE(cell.stops.empty());
}

TEST_CASE("A run that was placed before its VM restarted is not started there")
{
    ScriptedCell cell;
    cell.answerHeartbeat(cell.now.steady, 50'000, 1);
    cell.submitForKind(jobId, "a");
    // The placement is not durable yet.
    cell.isStoreSilent = true;
    cell.step(20);
    REQUIRE(cell.events.contains("run_placed"));
    REQUIRE(cell.starts.empty());
    cell.registerVm(2, "b");
    cell.step(1);
    cell.answerHeartbeat(cell.now.steady, 500, 2);
    cell.isStoreSilent = false;
    cell.desk.onCommitted(cell.now);
    cell.step(50);
    CHECK(cell.starts.empty());
}

// Guards against commands that a cut link holds up and delivers to the next incarnation of their VM.
TEST_CASE("Commands without a response are withdrawn as soon as another incarnation of their VM is known")
{
    ScriptedCell cell;
    cell.answerHeartbeat(cell.now.steady, 50'000, 1);
    cell.submitForKind(jobId, "a");
    cell.step(20);
    REQUIRE(cell.starts.size() == 1);
    REQUIRE(cell.withdrawals == 0);
    SECTION("from the registry")
    {
        const auto heartbeats = cell.heartbeats.size();
        const auto sentAt = cell.now.steady - Milliseconds(10);
        cell.registerVm(2, "b");
        cell.step(1);
        CHECK(cell.withdrawals == 1);
        REQUIRE(cell.heartbeats.size() == heartbeats);
        // The withdrawn heartbeat is not a missed one, and the next is sent at once.
        cell.desk.onBeat({ "vm-0", sentAt, false, std::nullopt }, cell.now);
        cell.step(1);
        REQUIRE(cell.heartbeats.size() == heartbeats + 1);
        CHECK(cell.heartbeats.back().acknowledged == 0);
        cell.registerVm(2, "b");
        cell.step(1);
        CHECK(cell.withdrawals == 1);
    }
    SECTION("from a heartbeat")
    {
        cell.answerHeartbeat(cell.now.steady, 500, 2);
        cell.step(1);
        CHECK(cell.withdrawals == 1);
        // The registry lags behind, and shows what is known then.
        cell.registerVm(2, "b");
        cell.step(1);
        CHECK(cell.withdrawals == 1);
    }
    SECTION("from the clock in the response to a start")
    {
        cell.desk.onStart({ "vm-0", cell.starts[0].task, cell.starts[0].run, StartAnswer::Started, cell.now.steady, 30 }, cell.now);
        cell.step(1);
        CHECK(cell.withdrawals == 1);
    }
}

TEST_CASE("An entry of the known incarnation, or of the first one, withdraws no commands")
{
    ScriptedCell cell;
    cell.registerVm(1);
    cell.answerHeartbeat(cell.now.steady, 50'000, 1);
    cell.submitForKind(jobId, "a");
    cell.step(20);
    REQUIRE(cell.starts.size() == 1);
    cell.registerVm(1);
    cell.step(1);
    CHECK(cell.withdrawals == 0);
}

// Guards against starts that pile up at a VM that responds to none.
TEST_CASE("A VM whose start commands are overdue gets no further runs until it responds")
{
    ScriptedCell cell;
    cell.answerHeartbeat(cell.now.steady, 50'000, 1);
    const auto answer = [&cell](const StartRun& start) {
        cell.desk.onStart({ "vm-0", start.task, start.run, StartAnswer::Started, cell.now.steady, 0 }, cell.now);
    };
    cell.submitForKind("first", "a");
    cell.step(6);
    REQUIRE(cell.starts.size() == 1);
    answer(cell.starts[0]);
    // One start command without a response is no reason to avoid a VM: the response may be lost.
    cell.submitForKind("second", "a");
    cell.step(40);
    cell.submitForKind("third", "a");
    cell.step(6);
    REQUIRE(cell.starts.size() == 3);
    CHECK(cell.events.contains("vm_starts_overdue"));
    cell.submitForKind("fourth", "a");
    cell.step(20);
    CHECK(cell.starts.size() == 3);
    answer(cell.starts[2]);
    cell.step(10);
    REQUIRE(cell.starts.size() == 4);
    CHECK(cell.starts[3].task.job == "fourth");
}

TEST_CASE("At a VM whose start commands are overdue, one command is repeated at a time")
{
    ScriptedCell cell;
    cell.answerHeartbeat(cell.now.steady, 50'000, 1);
    cell.desk.submit(1, jobId, "queue", "team", makeJob(4), cell.now);
    cell.step(10);
    REQUIRE(cell.starts.size() == 4);
    cell.step(75);
    for (const auto& start : std::vector<StartRun>(cell.starts))
        cell.desk.onStart({ "vm-0", start.task, start.run, StartAnswer::Unknown, cell.now.steady, 0 }, cell.now);
    cell.step(30);
    CHECK(cell.starts.size() == 5);
    cell.desk.onStart({ "vm-0", cell.starts[4].task, cell.starts[4].run, StartAnswer::Started, cell.now.steady, 0 }, cell.now);
    cell.step(2);
    CHECK(cell.starts.size() == 8);
}

TEST_CASE("Start commands at a slow VM are overdue only beyond its usual response time")
{
    StartResponsiveness starts;
    TimePoint now { Seconds(100) };
    CHECK(starts.bound() == StartResponsiveness::longestBound);
    for (int i = 0; i < 30; ++i) {
        starts.onSent(now);
        starts.onSent(now);
        now += Milliseconds(400);
        CHECK_FALSE(starts.isOverdue(now));
        starts.onAnswered(now - Milliseconds(400), now);
    }
    CHECK(starts.bound() >= Milliseconds(400));
    for (int i = 0; i < 60; ++i) {
        starts.onSent(now);
        now += Milliseconds(5);
        starts.onAnswered(now - Milliseconds(5), now);
    }
    CHECK(starts.bound() == StartResponsiveness::shortestBound);
    starts.onSent(now);
    // Later start commands do not extend the wait for the first one.
    starts.onSent(now + Milliseconds(200));
    CHECK_FALSE(starts.isOverdue(now + Milliseconds(250)));
    CHECK(starts.isOverdue(now + Milliseconds(251)));
    starts.onResponse();
    CHECK_FALSE(starts.isOverdue(now + Milliseconds(251)));
}
