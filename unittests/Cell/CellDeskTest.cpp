#include "TestCell.h"

#include <catch2/catch.hpp>

using namespace heatherchute;
using namespace heatherchute::cell;

// Guards against two runs of a task at the same time: a start command without a response that is executed
// late, after its VM has refused to stop the run.
TEST_CASE("A run is not lost while its VM refuses the stop command")
{
    TestCell cell(makePolicy(1, { makeQueue("queue", 2) }));
    cell.submit(jobId, "queue", "team", makeJob(1));
    cell.run(Milliseconds(200));
    REQUIRE(cell.starts.size() == 1);
    const auto first = cell.starts[0];
    cell.answerStart(first, StartAnswer::Unknown);
    cell.run(Milliseconds(200));
    REQUIRE(cell.starts.size() == 2);
    cell.answerStart(first, StartAnswer::Unhealthy);
    for (std::size_t refused = 0; refused < 5; ++refused) {
        cell.run(Milliseconds(1100));
        // The VM doesn't list the run, but may still start it.
        REQUIRE(cell.starts.size() == 2);
        REQUIRE(cell.stops.size() == refused + 1);
        cell.desk->onStop(first.vm, first.task, first.run, StopAnswer::Refused, cell.now);
    }
    cell.run(Milliseconds(1100));
    REQUIRE(cell.stops.size() == 6);
    cell.desk->onStop(first.vm, first.task, first.run, StopAnswer::Stopped, cell.now);
    cell.run(Milliseconds(3000));
    REQUIRE(cell.starts.size() == 3);
    CHECK(cell.starts[2].run == first.run + 1);
}

// Guards against jobs that wait on an idle cell, because more steps of better rank than a placement pass
// considers are held back by their team's quota.
TEST_CASE("Steps that a quota holds back do not keep other teams' jobs from being placed")
{
    const TeamPolicy held { "held", { "key" }, 1000, { 500, 0, 0 } };
    const TeamPolicy other { "other", { "key" }, 1, { 48'000, 0, 0 } };
    auto queue = makeQueue("queue", 2);
    // The backlog is within the jobs' objective, so that none is refused.
    queue.stretch = 10;
    TestCell cell(makePolicy(1, { queue }, { held, other }));
    for (int i = 0; i < 400; ++i)
        cell.submit("held-" + std::to_string(i), "queue", "held", makeJob(1));
    // The jobs after the first are above the team's rate, which ranks them last.
    for (int i = 0; i < 12; ++i)
        cell.submit("other-" + std::to_string(i), "queue", "other", makeJob(1));
    cell.run(Milliseconds(500));
    CHECK(cell.starts.size() == 12);
}

// Guards against the same for steps that no VM can run.
TEST_CASE("Steps that no VM can run do not keep other jobs from being placed")
{
    TestCell cell(makePolicy(1, { makeQueue("queue", 2) }, { { "team", { "key" }, 1000, {} } }));
    auto hopeless = makeJob(1);
    hopeless.steps[0].requiredLabel = "absent";
    for (int i = 0; i < 400; ++i)
        cell.submit("hopeless-" + std::to_string(i), "queue", "team", hopeless);
    for (int i = 0; i < 12; ++i)
        cell.submit("other-" + std::to_string(i), "queue", "team", makeJob(1));
    cell.run(Milliseconds(3000));
    CHECK(cell.starts.size() == 12);
}

// Guards against jobs that fail for good at their first failed run, because their queue was removed while
// they ran.
TEST_CASE("A job keeps its attempts while its queue is removed")
{
    const auto queue = makeQueue("queue", 3);
    TestCell cell(makePolicy(1, { queue }));
    cell.submit(jobId, "queue", "team", makeJob(1));
    cell.run(Milliseconds(200));
    REQUIRE(cell.starts.size() == 1);
    cell.desk->setPolicy(makePolicy(2, {}));
    const bool isOwnerChanged = GENERATE(false, true);
    for (std::size_t attempt = 1; attempt < queue.maxAttempts; ++attempt) {
        const auto& start = cell.starts.back();
        cell.answerStart(start, StartAnswer::Started);
        cell.running = { { start.task, start.run, {}, 0 } };
        cell.run(Milliseconds(100));
        // The next owner knows of no policy that has the queue.
        if (isOwnerChanged)
            cell.changeOwner(makePolicy(2, {}));
        cell.run(Milliseconds(100));
        cell.running.clear();
        cell.endRun(start, RunEnd::Failed);
        cell.run(Milliseconds(200));
        CHECK(cell.phase(jobId) == "running");
        REQUIRE(cell.starts.size() == attempt + 1);
    }
    cell.endRun(cell.starts.back(), RunEnd::Failed);
    cell.run(Milliseconds(200));
    CHECK(cell.phase(jobId) == "failed");
}

// Guards against the same for an owner that takes over jobs before it has read any policy.
TEST_CASE("An owner without a policy does not fail a job at its first failed run")
{
    TestCell cell(makePolicy(1, { makeQueue("queue", 2) }));
    cell.submit(jobId, "queue", "team", makeJob(1));
    cell.run(Milliseconds(200));
    REQUIRE(cell.starts.size() == 1);
    const auto start = cell.starts.back();
    cell.answerStart(start, StartAnswer::Started);
    cell.running = { { start.task, start.run, {}, 0 } };
    cell.changeOwner(nullptr);
    cell.run(Milliseconds(100));
    cell.running.clear();
    cell.endRun(start, RunEnd::Failed);
    cell.run(Milliseconds(200));
    CHECK(cell.phase(jobId) == "running");
    cell.desk->setPolicy(makePolicy(2, { makeQueue("queue", 2) }));
    cell.run(Milliseconds(200));
    CHECK(cell.starts.size() == 2);
}

// Guards against starts without a ticket, at the wrong priority or beyond a quota, for jobs whose queue or
// team was removed.
TEST_CASE("Jobs of a removed queue and team keep their quota")
{
    auto queue = makeQueue("queue", 2);
    const TeamPolicy team { "team", { "key" }, 100, { 1000, 0, 0 } };
    TestCell cell(makePolicy(1, { queue }, { team }));
    cell.submit(jobId, "queue", "team", makeJob(3));
    cell.run(Milliseconds(200));
    REQUIRE(cell.starts.size() == 1);
    cell.running = { { cell.starts[0].task, cell.starts[0].run, {}, 0 } };
    cell.answerStart(cell.starts[0], StartAnswer::Started);
    cell.desk->setPolicy(makePolicy(2, {}, {}));
    cell.run(Milliseconds(500));
    CHECK(cell.starts.size() == 1);
    cell.changeOwner(makePolicy(2, {}, {}));
    cell.run(Milliseconds(500));
    CHECK(cell.starts.size() == 1);
}

TEST_CASE("A job that was cancelled before its submission arrived never starts")
{
    TestCell cell(makePolicy(1, { makeQueue("queue", 2) }));
    const auto cancelled = cell.cancel(jobId);
    // The acknowledgement waits until no later owner can accept the submission.
    CHECK_FALSE(cell.answer(cancelled));
    cell.run(Milliseconds(50));
    CHECK(cell.answer(cancelled) == ErrorKind::NotFound);
    CHECK(cell.phase(jobId) == "unknown");
    const bool isOwnerChanged = GENERATE(false, true);
    if (isOwnerChanged)
        cell.changeOwner(makePolicy(1, { makeQueue("queue", 2) }));
    const auto submitted = cell.submit(jobId, "queue", "team", makeJob(1));
    cell.run(Milliseconds(500));
    CHECK(cell.answer(submitted) == ErrorKind::None);
    CHECK(cell.phase(jobId) == "cancelled");
    const auto again = cell.cancel(jobId);
    if (isOwnerChanged)
        cell.changeOwner(makePolicy(1, { makeQueue("queue", 2) }));
    cell.run(Milliseconds(500));
    CHECK(cell.answer(again).value_or(ErrorKind::None) == ErrorKind::None);
    CHECK(cell.phase(jobId) == "cancelled");
    CHECK(cell.starts.empty());
}

TEST_CASE("A cancelled job without a submission is forgotten after the retention time")
{
    TestCell cell(makePolicy(1, { makeQueue("queue", 2) }));
    cell.cancel(jobId);
    cell.run(CellLimits().jobRetention + Seconds(2));
    cell.changeOwner(makePolicy(1, { makeQueue("queue", 2) }));
    cell.submit(jobId, "queue", "team", makeJob(1));
    cell.run(Milliseconds(200));
    CHECK(cell.starts.size() == 1);
}

TEST_CASE("A cancellation that cannot be kept is not acknowledged")
{
    TestCell cell(makePolicy(1, { makeQueue("queue", 2) }));
    SECTION("while the store is silent")
    {
        cell.isStoreSilent = true;
        cell.submit("another", "queue", "team", makeJob(1));
        cell.run(Seconds(2));
        const auto cancelled = cell.cancel(jobId);
        cell.run(Milliseconds(50));
        CHECK(cell.answer(cancelled) == ErrorKind::StoreUnavailable);
    }
    SECTION("of a job whose record cannot be read")
    {
        cell.submit(jobId, "queue", "team", makeJob(1));
        cell.run(Milliseconds(200));
        cell.damageProgress(jobId);
        cell.changeOwner(makePolicy(1, { makeQueue("queue", 2) }));
        const auto cancelled = cell.cancel(jobId);
        cell.run(Milliseconds(50));
        CHECK(cell.answer(cancelled) == ErrorKind::StoreUnavailable);
    }
    SECTION("beyond the number of jobs that are kept")
    {
        std::vector<CallId> calls;
        for (int i = 0; i < 10'001; ++i)
            calls.push_back(cell.cancel("unknown-" + std::to_string(i)));
        cell.run(Milliseconds(100));
        CHECK(cell.answer(calls.front()) == ErrorKind::NotFound);
        CHECK(cell.answer(calls.back()) == ErrorKind::Overloaded);
    }
}

TEST_CASE("A submission does not replace a stored job that cannot be read")
{
    TestCell cell(makePolicy(1, { makeQueue("queue", 2) }));
    cell.submit(jobId, "queue", "team", makeJob(1));
    cell.run(Milliseconds(200));
    REQUIRE(cell.starts.size() == 1);
    cell.damageProgress(jobId);
    cell.changeOwner(makePolicy(1, { makeQueue("queue", 2) }));
    const auto submitted = cell.submit(jobId, "queue", "team", makeJob(1));
    cell.run(Milliseconds(500));
    CHECK(cell.answer(submitted) == ErrorKind::StoreUnavailable);
    CHECK(cell.starts.size() == 1);
}

TEST_CASE("Ended runs that the VM has not listed yet are not taken for lost")
{
    TestCell cell(makePolicy(1, { makeQueue("queue", 2) }));
    cell.submit(jobId, "queue", "team", makeJob(8));
    cell.run(Milliseconds(200));
    REQUIRE(cell.starts.size() == 8);
    for (const auto& start : cell.starts)
        cell.answerStart(start, StartAnswer::Started);
    cell.maxListedEnds = 3;
    const auto starts = cell.starts;
    for (const auto& start : starts)
        cell.endRun(start, RunEnd::Done);
    cell.run(Milliseconds(5000));
    CHECK(cell.phase(jobId) == "completed");
    CHECK(cell.starts.size() == 8);
}

TEST_CASE("A cancellation is kept while the removal of the same id waits for a commit")
{
    TestCell cell(makePolicy(1, { makeQueue("queue", 2) }));
    cell.cancel(jobId);
    cell.run(CellLimits().jobRetention - Milliseconds(100));
    cell.isStoreSilent = true;
    cell.submit("another", "queue", "team", makeJob(1));
    cell.run(Milliseconds(900));
    cell.cancel(jobId);
    cell.isStoreSilent = false;
    cell.desk->onCommitted(cell.now);
    cell.run(Milliseconds(100));
    cell.changeOwner(makePolicy(1, { makeQueue("queue", 2) }));
    cell.submit(jobId, "queue", "team", makeJob(1));
    cell.run(Milliseconds(500));
    CHECK(cell.phase(jobId) == "cancelled");
}

TEST_CASE("A repeated submission of a cancelled job is answered once the first is durable")
{
    TestCell cell(makePolicy(1, { makeQueue("queue", 2) }));
    cell.isStoreSilent = true;
    cell.cancel(jobId);
    cell.run(Milliseconds(50));
    cell.submit(jobId, "queue", "team", makeJob(1));
    // The commit has the cancellation, but not the submission.
    cell.desk->onCommitted(cell.now);
    const auto repeated = cell.submit(jobId, "queue", "team", makeJob(1));
    cell.run(Milliseconds(50));
    CHECK_FALSE(cell.answer(repeated));
    cell.desk->onCommitted(cell.now);
    cell.run(Milliseconds(50));
    CHECK(cell.answer(repeated) == ErrorKind::None);
}

// Guards against capacity that is kept free for queues of the highest priority which do not use it.
TEST_CASE("Runs of the highest priority that an earlier owner started count until they end, and no longer")
{
    auto urgent = makeQueue("urgent", 2);
    urgent.priority = 0;
    auto other = makeQueue("other", 2);
    other.priority = 1;
    const auto policy = makePolicy(1, { urgent, other });
    TestCell cell(policy);
    cell.submit(jobId, "urgent", "team", makeJob(1, 30'000));
    cell.run(Milliseconds(200));
    REQUIRE(cell.starts.size() == 1);
    cell.answerStart(cell.starts[0], StartAnswer::Started);
    cell.running = { { cell.starts[0].task, cell.starts[0].run, {}, 0 } };
    cell.run(Milliseconds(200));
    cell.changeOwner(policy);
    cell.run(Milliseconds(200));
    cell.running.clear();
    cell.endRun(cell.starts[0], RunEnd::Done);
    // The demand of the past has no effect any more after this time.
    cell.run(Milliseconds(60'000));
    cell.submit("0000000000000002", "other", "team", makeJob(1, 60'000));
    cell.run(Milliseconds(200));
    CHECK(cell.starts.size() == 2);
}
