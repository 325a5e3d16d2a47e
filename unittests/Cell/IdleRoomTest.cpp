#include "TestCell.h"

#include <catch2/catch.hpp>

using namespace heatherchute;
using namespace heatherchute::cell;

namespace {

/// Memory of the VMs of a TestCell.
constexpr std::int64_t vmMemoryMb = 262'144;

/// A job whose tasks run on idle processor time, each with a fourth of a VM's memory.
JobSpec makeIdleRoomJob(std::uint32_t tasks)
{
    auto spec = makeJob(tasks, 16'000);
    spec.steps[0].need.memoryMb = vmMemoryMb / 4;
    spec.steps[0].usesIdleRoom = true;
    return spec;
}

QueuePolicy makeQueueOfPriority(const std::string& name, int priority)
{
    auto queue = makeQueue(name, 2);
    queue.priority = priority;
    return queue;
}

std::vector<TeamPolicy> makeLimitedTeam(const Room& limit)
{
    return { { "team", { "key" }, 100, limit } };
}

} // namespace

// Guards against tasks on idle processor time that overcommit the memory of their VM.
TEST_CASE("Tasks on idle processor time take the memory of their VM, not its processors")
{
    TestCell cell(makePolicy(1, { makeQueue("queue", 2) }));
    // The VM's processors are all in use.
    cell.submit("0000000000000002", "queue", "team", makeJob(4, 16'000));
    cell.run(Milliseconds(200));
    REQUIRE(cell.starts.size() == 4);
    cell.submit(jobId, "queue", "team", makeIdleRoomJob(10));
    cell.run(Milliseconds(500));
    const auto& vm = cell.desk->vms().at("vm-0");
    CHECK(cell.starts.size() == 7);
    CHECK(vm.used.cpuMilli == 64'000);
    CHECK(vm.used.memoryMb <= vmMemoryMb);
}

TEST_CASE("A gang on idle processor time starts only if the memory of all its tasks is free")
{
    TestCell cell(makePolicy(1, { makeQueue("queue", 2) }));
    auto gang = makeIdleRoomJob(5);
    gang.steps[0].gang = true;
    cell.submit(jobId, "queue", "team", gang);
    cell.run(Milliseconds(500));
    CHECK(cell.starts.empty());
}

// Guards against a next owner that does not know the memory of the runs that it takes over.
TEST_CASE("The next owner counts the memory of tasks on idle processor time")
{
    const auto policy = makePolicy(1, { makeQueue("queue", 2) });
    TestCell cell(policy);
    cell.submit(jobId, "queue", "team", makeIdleRoomJob(4));
    cell.run(Milliseconds(200));
    REQUIRE(cell.starts.size() == 4);
    for (const auto& start : cell.starts)
        cell.running.push_back({ start.task, start.run, {}, 100 });
    cell.changeOwner(policy);
    cell.submit("0000000000000002", "queue", "team", makeIdleRoomJob(1));
    cell.run(Milliseconds(500));
    CHECK(cell.starts.size() == 4);
    CHECK(cell.desk->vms().at("vm-0").used == Room { 0, vmMemoryMb, 0 });
}

// Guards against a team that exceeds its limit by tasks on idle processor time.
TEST_CASE("Tasks on idle processor time count in full against the limit of their team")
{
    const auto policy = makePolicy(1, { makeQueue("queue", 2) }, makeLimitedTeam({ 32'000, 0, 0 }));
    TestCell cell(policy, 2);
    cell.submit(jobId, "queue", "team", makeIdleRoomJob(6));
    cell.run(Milliseconds(500));
    CHECK(cell.starts.size() == 2);
    for (const auto& start : cell.starts)
        cell.running.push_back({ start.task, start.run, {}, 100 });
    cell.changeOwner(policy);
    cell.run(Milliseconds(500));
    CHECK(cell.starts.size() == 2);
}

// The number of such tasks is not limited by the reserve of processor capacity.
TEST_CASE("Tasks on idle processor time leave the memory that urgent tasks used lately")
{
    TestCell cell(makePolicy(1, { makeQueueOfPriority("urgent", 0), makeQueueOfPriority("queue", 1) }), 1);
    auto urgent = makeJob(1);
    urgent.steps[0].need.memoryMb = vmMemoryMb / 4;
    cell.submit("0000000000000002", "urgent", "team", urgent);
    cell.run(Milliseconds(200));
    REQUIRE(cell.starts.size() == 1);
    cell.answerStart(cell.starts[0], StartAnswer::Started);
    cell.endRun(cell.starts[0], RunEnd::Done);
    cell.run(Milliseconds(200));
    cell.submit(jobId, "queue", "team", makeIdleRoomJob(8));
    cell.run(Milliseconds(500));
    CHECK(cell.starts.size() == 4);
    cell.submit("0000000000000003", "urgent", "team", urgent);
    cell.run(Milliseconds(200));
    REQUIRE(cell.starts.size() == 5);
    CHECK(cell.starts[4].task.job == "0000000000000003");
}
