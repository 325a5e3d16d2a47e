#include "TestCell.h"

#include <catch2/catch.hpp>

using namespace heatherchute;
using namespace heatherchute::cell;

namespace {

/// The longest lease that a VM grants, on a clock that is 2% slow.
constexpr Milliseconds longestLease { 10'205 };

/// A cell whose only VM has started anew without a sign, and has been told to start a run.
struct RestartedVm {
    RestartedVm()
    {
        cell.run(Milliseconds(5000));
        cell.isVmSilent = true;
        cell.run(Milliseconds(100));
        cell.restartVm();
        cell.run(Milliseconds(50));
        cell.submit(jobId, "queue", "team", makeJob(1));
        cell.run(Milliseconds(50));
    }

    std::ptrdiff_t startsElsewhere() const
    {
        return std::count_if(cell.starts.begin(), cell.starts.end(), [](const StartRun& start) { return start.vm != "vm-0"; });
    }

    TestCell cell { makePolicy(1, { makeQueue("queue", 2) }) };
};

} // namespace

TEST_CASE("A run that a restarted VM took does not run elsewhere while the VM's lease may last")
{
    RestartedVm restarted;
    auto& cell = restarted.cell;
    REQUIRE(cell.starts.size() == 1);
    cell.answerStart(cell.starts[0], GENERATE(StartAnswer::Started, StartAnswer::Unknown));
    cell.registerVms(2);
    cell.run(longestLease);
    CHECK(restarted.startsElsewhere() == 0);
    cell.run(Milliseconds(6000));
    CHECK(restarted.startsElsewhere() == 1);
}

TEST_CASE("A restarted VM gets no starts before a heartbeat has shown its incarnation")
{
    RestartedVm restarted;
    auto& cell = restarted.cell;
    REQUIRE(cell.starts.size() == 1);
    const auto answer = GENERATE(StartAnswer::Started, StartAnswer::BadTicket);
    cell.answerStart(cell.starts[0], answer);
    cell.submit("0000000000000002", "queue", "team", makeJob(1));
    cell.run(Milliseconds(1000));
    CHECK(cell.starts.size() == 1);
    if (answer == StartAnswer::Started)
        cell.running = { { cell.starts[0].task, cell.starts[0].run, {}, 0 } };
    cell.isVmSilent = false;
    cell.run(Milliseconds(1500));
    CHECK(cell.starts.size() == 1);
    cell.registerVms(1);
    cell.run(Milliseconds(1500));
    REQUIRE(cell.starts.size() >= 2);
    CHECK(cell.starts[1].deadlineMs < 20'000);
}

TEST_CASE("A run of a restarted VM waits for the lease that commands for its earlier incarnation may have granted")
{
    RestartedVm restarted;
    auto& cell = restarted.cell;
    REQUIRE(cell.starts.size() == 1);
    cell.answerStart(cell.starts[0], StartAnswer::Started);
    const auto granted = cell.now.steady;
    cell.running = { { cell.starts[0].task, cell.starts[0].run, {}, 0 } };
    cell.isVmSilent = false;
    cell.registerVms(2);
    cell.run(Milliseconds(2500));
    cell.isVmSilent = true;
    while (cell.now.steady < granted + longestLease)
        cell.run(Milliseconds(100));
    CHECK(restarted.startsElsewhere() == 0);
    cell.run(Milliseconds(20'000));
    CHECK(restarted.startsElsewhere() == 1);
}

TEST_CASE("The runs of a VM that is lost for good wait no longer than the lease that was granted")
{
    TestCell cell(makePolicy(1, { makeQueue("queue", 2) }));
    cell.run(Milliseconds(5000));
    cell.submit(jobId, "queue", "team", makeJob(1));
    cell.run(Milliseconds(100));
    REQUIRE(cell.starts.size() == 1);
    cell.answerStart(cell.starts[0], StartAnswer::Started);
    cell.registerVms(2);
    cell.isVmSilent = true;
    cell.run(Milliseconds(8400));
    CHECK(cell.starts.size() == 1);
    cell.run(Milliseconds(400));
    CHECK(cell.starts.size() == 2);
}

TEST_CASE("A start without a response is forbidden to a restarted VM before its task runs elsewhere")
{
    TestCell cell(makePolicy(1, { makeQueue("queue", 2) }));
    cell.submit(jobId, "queue", "team", makeJob(1));
    cell.run(Milliseconds(200));
    REQUIRE(cell.starts.size() == 1);
    const auto first = cell.starts[0];
    cell.answerStart(first, StartAnswer::Unknown);
    cell.run(Milliseconds(200));
    REQUIRE(cell.starts.size() == 2);
    cell.answerStart(first, StartAnswer::Started);
    cell.running = { { first.task, first.run, {}, 0 } };
    cell.run(Milliseconds(200));
    const bool isDone = GENERATE(false, true);
    if (isDone) {
        cell.running.clear();
        cell.endRun(first, RunEnd::Done);
        cell.run(Milliseconds(200));
        REQUIRE(cell.phase(jobId) == "completed");
    }
    CHECK(cell.stops.empty());
    cell.restartVm();
    cell.registerVms(2);
    cell.run(Milliseconds(200));
    REQUIRE(cell.stops.size() == 1);
    CHECK(cell.stops[0].run == first.run);
    CHECK(cell.starts.size() == 2);
    cell.desk->onStop(first.vm, first.task, first.run, StopAnswer::Stopped, cell.now);
    cell.run(Milliseconds(1000));
    CHECK(cell.starts.size() == (isDone ? 2 : 3));
}

TEST_CASE("A run that has been listed for long waits no longer because its first start got no response")
{
    TestCell cell(makePolicy(1, { makeQueue("queue", 2) }));
    cell.run(Milliseconds(5000));
    cell.submit(jobId, "queue", "team", makeJob(1));
    cell.run(Milliseconds(100));
    REQUIRE(cell.starts.size() == 1);
    cell.answerStart(cell.starts[0], StartAnswer::Unknown);
    cell.running = { { cell.starts[0].task, cell.starts[0].run, {}, 0 } };
    cell.run(Milliseconds(13'000));
    cell.registerVms(2);
    cell.isVmSilent = true;
    cell.run(Milliseconds(8800));
    CHECK(cell.starts.size() == 2);
}
