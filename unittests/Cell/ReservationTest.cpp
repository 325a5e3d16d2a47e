#include "TestCell.h"

#include <catch2/catch.hpp>

using namespace heatherchute;
using namespace heatherchute::cell;

namespace {

JobSpec makeGang(std::uint32_t tasks, std::int64_t cpuMilli)
{
    auto spec = makeJob(tasks, cpuMilli);
    spec.steps[0].gang = true;
    return spec;
}

JobSpec makeLongRunningJob(std::int64_t cpuMilli)
{
    auto spec = makeJob(1, cpuMilli);
    spec.steps[0].longRunning = true;
    return spec;
}

CellPolicyPointer makeReservationPolicy()
{
    auto queue = makeQueue("queue", 2);
    // Short tasks of the highest priority may use reserved VMs.
    queue.priority = 1;
    // No job becomes so late that it ranks behind later ones.
    queue.stretch = 1000;
    return makePolicy(1, { queue });
}

/// A cell of one VM with 64 cores on which a job runs that does not end.
struct ReservationCell : TestCell {
    explicit ReservationCell(JobSpec spec)
        : TestCell(makeReservationPolicy())
    {
        submit("running", "queue", "team", std::move(spec));
        TestCell::run(Milliseconds(200));
        REQUIRE(starts.size() == 1);
        answerStart(starts[0], StartAnswer::Started);
        running = { { starts[0].task, starts[0].run, {}, 0 } };
    }

    bool hasStarted(const std::string& job) const
    {
        return std::any_of(starts.begin(), starts.end(), [&](const StartRun& start) { return start.task.job == job; });
    }

    /// Submits a small job, lets its task start and end, and returns its waiting time.
    Milliseconds runSmallJob(const std::string& id, Milliseconds longestWait)
    {
        submit(id, "queue", "team", makeJob(1, 2000));
        const auto submittedAt = now.steady;
        while (!hasStarted(id) && now.steady - submittedAt < longestWait)
            TestCell::run(Milliseconds(10));
        const auto waited = std::chrono::duration_cast<Milliseconds>(now.steady - submittedAt);
        if (!hasStarted(id))
            return waited;
        answerStart(starts.back(), StartAnswer::Started);
        endRun(starts.back(), RunEnd::Done);
        TestCell::run(Milliseconds(100));
        return waited;
    }

    bool hasExpiredReservation(const std::string& job) const
    {
        return desk->findJob(job)->occurrences.at(0).steps[0].reservation.nextRound > 0;
    }
};

} // namespace

// Guards against jobs that never start behind a gang that fits on the empty VMs, but not beside the
// long-running tasks there.
TEST_CASE("A gang that does not fit beside long-running tasks does not hold back other jobs")
{
    ReservationCell cell(makeLongRunningJob(20'000));
    cell.submit("gang", "queue", "team", makeGang(2, 30'000));
    cell.run(Milliseconds(4000));
    if (GENERATE(false, true))
        cell.changeOwner(makeReservationPolicy());
    for (int i = 0; i < 20; ++i)
        REQUIRE(cell.runSmallJob("small-" + std::to_string(i), Milliseconds(3000)) < Milliseconds(500));
    CHECK_FALSE(cell.hasStarted("gang"));
}

// Guards against jobs that stand still beside free capacity while a gang waits for a run that takes longer
// than its estimate.
TEST_CASE("A reservation does not hold back other jobs for longer than 3 s while the service is half idle")
{
    ReservationCell cell(makeJob(1, 20'000));
    cell.submit("gang", "queue", "team", makeGang(2, 30'000));
    cell.run(Milliseconds(2600));
    for (int i = 0; i < 100; ++i) {
        REQUIRE(cell.runSmallJob("small-" + std::to_string(i), Milliseconds(3100)) < Milliseconds(3000));
        cell.run(Milliseconds(300));
    }
    CHECK(cell.hasExpiredReservation("gang"));
    // The capacity is reserved at times, or the gang would never start beside a steady load.
    cell.running.clear();
    cell.endRun(cell.starts[0], RunEnd::Done);
    cell.run(Milliseconds(500));
    CHECK(cell.hasStarted("gang"));
}

// Guards against the same while the service is busier, where a reservation may last longer.
TEST_CASE("A reservation does not hold back other jobs forever while the service is busy")
{
    ReservationCell cell(makeJob(1, 40'000));
    cell.submit("gang", "queue", "team", makeGang(2, 30'000));
    cell.run(Milliseconds(2600));
    for (int i = 0; i < 40; ++i) {
        REQUIRE(cell.runSmallJob("small-" + std::to_string(i), Milliseconds(12'000)) < Milliseconds(11'000));
        cell.run(Milliseconds(1000));
    }
    CHECK(cell.hasExpiredReservation("gang"));
}

// Guards against a gang that never gets a reservation because one of better rank takes them all.
TEST_CASE("Gangs that wait for capacity are given reservations in turn")
{
    ReservationCell cell(makeJob(1, 20'000));
    for (int i = 0; i < 6; ++i)
        cell.submit("gang-" + std::to_string(i), "queue", "team", makeGang(2, 30'000));
    cell.run(Milliseconds(60'000));
    for (int i = 0; i < 6; ++i)
        CHECK(cell.hasExpiredReservation("gang-" + std::to_string(i)));
}

// Guards against a service without its long-running tasks because they wait behind a gang.
TEST_CASE("A long-running task is started on reserved VMs")
{
    ReservationCell cell(makeJob(1, 40'000));
    cell.submit("gang", "queue", "team", makeGang(2, 30'000));
    cell.run(Milliseconds(2600));
    REQUIRE(std::count(cell.events.begin(), cell.events.end(), "gang_reservation_begun") == 1);
    cell.submit("small", "queue", "team", makeJob(1));
    cell.submit("long-running", "queue", "team", makeLongRunningJob(1000));
    cell.run(Milliseconds(500));
    CHECK(cell.hasStarted("long-running"));
    CHECK_FALSE(cell.hasStarted("small"));
}

// Guards against steps that request no advice because a gang that can't be placed has tickets.
TEST_CASE("A gang that does not fit does not keep other steps from requesting advice")
{
    auto queue = makeQueue("queue", 2);
    queue.stretch = 1000;
    queue.advice = AdvicePolicy { Milliseconds(10), 1, Milliseconds(60'000) };
    TestCell cell(makePolicy(1, { queue }));
    cell.desk->setAdvisers({ 0 });
    cell.submit("gang", "queue", "team", makeGang(4, 30'000));
    cell.run(Milliseconds(100));
    REQUIRE(cell.adviceRequests.size() == 1);
    const auto request = cell.adviceRequests[0];
    const std::vector<std::pair<std::string, std::string>> allowed { { "vm-0", "ticket" } };
    cell.desk->onAdvice({ 0, request.step, request.vms, allowed, Milliseconds(60'000), cell.now.steady, AdviceResult::Answered, request.request }, cell.now);
    cell.submit("small", "queue", "team", makeJob(1));
    cell.run(Milliseconds(200));
    REQUIRE(cell.adviceRequests.size() == 2);
    CHECK(cell.adviceRequests[1].step.job == "small");
}
