#include "TestCell.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace heatherchute;
using namespace heatherchute::cell;

namespace {

/// VM "vm-N" is in failure domain "domain-N".
TestCell makeCell(std::size_t vms)
{
    CellLimits limits;
    limits.hasEvacuations = true;
    return TestCell(makePolicy(1, { makeQueue("queue", 2) }), vms, limits);
}

std::size_t startsOn(const TestCell& cell, const std::string& vm)
{
    return static_cast<std::size_t>(std::count_if(cell.starts.begin(), cell.starts.end(), [&](const auto& start) { return start.vm == vm; }));
}

std::size_t countOf(const TestCell& cell, const std::string& event)
{
    return static_cast<std::size_t>(std::count(cell.events.begin(), cell.events.end(), event));
}

} // namespace

TEST_CASE("No run starts in an evacuated failure domain until it is taken back")
{
    auto cell = makeCell(3);
    cell.desk->setEvacuatedDomains({ "domain-0", "domain-2", "unknown", "" }, cell.now);
    for (int i = 0; i < 40; ++i)
        cell.submit("job-" + std::to_string(i), "queue", "team", makeJob(1));
    cell.run(Milliseconds(1000));
    CHECK(startsOn(cell, "vm-1") == 40);
    CHECK(cell.starts.size() == 40);
    cell.desk->setEvacuatedDomains({ "domain-1" }, cell.now);
    cell.submit(jobId, "queue", "team", makeJob(1));
    cell.run(Milliseconds(1000));
    CHECK(startsOn(cell, "vm-1") == 40);
    CHECK(cell.starts.size() == 41);
}

TEST_CASE("Jobs wait while every failure domain is evacuated, and start when one is taken back")
{
    auto cell = makeCell(2);
    cell.desk->setEvacuatedDomains({ "domain-0", "domain-1" }, cell.now);
    cell.submit(jobId, "queue", "team", makeJob(2));
    cell.run(Milliseconds(3000));
    CHECK(cell.starts.empty());
    // Taken back and asked for again within a second.
    cell.desk->setEvacuatedDomains({}, cell.now);
    cell.desk->setEvacuatedDomains({ "domain-0" }, cell.now);
    cell.run(Milliseconds(500));
    CHECK(startsOn(cell, "vm-1") == 2);
    CHECK(cell.starts.size() == 2);
}

// Guards against starts by a successor that has loaded the cell and not yet the evacuations.
TEST_CASE("An owner places nothing before it knows which failure domains are evacuated")
{
    auto cell = makeCell(1);
    cell.submit(jobId, "queue", "team", makeJob(1));
    cell.run(Milliseconds(1000));
    CHECK(cell.starts.empty());
    cell.desk->setEvacuatedDomains({ "domain-0" }, cell.now);
    cell.run(Milliseconds(1000));
    cell.changeOwner(makePolicy(1, { makeQueue("queue", 2) }));
    cell.run(Milliseconds(1000));
    CHECK(cell.starts.empty());
    cell.desk->setEvacuatedDomains({}, cell.now);
    cell.run(Milliseconds(1000));
    CHECK(cell.starts.size() == 1);
}

// Guards against starts after the bound that repeat a command without a response, and against a second run
// beside the one that the VM may have started.
TEST_CASE("A start without a response is not repeated in an evacuated failure domain, but stopped")
{
    auto cell = makeCell(2);
    cell.desk->setEvacuatedDomains({ "domain-1" }, cell.now);
    cell.submit(jobId, "queue", "team", makeJob(1));
    cell.run(Milliseconds(200));
    REQUIRE(startsOn(cell, "vm-0") == 1);
    const auto first = cell.starts[0];
    cell.desk->setEvacuatedDomains({ "domain-0" }, cell.now);
    cell.answerStart(first, StartAnswer::Unknown);
    cell.run(Milliseconds(1500));
    CHECK(cell.starts.size() == 1);
    REQUIRE_FALSE(cell.stops.empty());
    cell.desk->onStop(first.vm, first.task, first.run, StopAnswer::Stopped, cell.now);
    cell.run(Milliseconds(1500));
    CHECK(startsOn(cell, "vm-0") == 1);
    CHECK(startsOn(cell, "vm-1") == 1);
}

TEST_CASE("What runs in an evacuated failure domain ends there, and the operator sees when it is empty")
{
    auto cell = makeCell(1);
    cell.desk->setEvacuatedDomains({}, cell.now);
    cell.submit(jobId, "queue", "team", makeJob(1));
    cell.run(Milliseconds(200));
    REQUIRE(cell.starts.size() == 1);
    const auto start = cell.starts[0];
    cell.answerStart(start, StartAnswer::Started);
    cell.running = { { start.task, start.run, {}, 0 } };
    cell.desk->setEvacuatedDomains({ "domain-0" }, cell.now);
    cell.run(Milliseconds(3000));
    CHECK(cell.stops.empty());
    CHECK(countOf(cell, "evacuation_in_force") == 1);
    CHECK(countOf(cell, "domain_emptied") == 0);
    CHECK(cell.desk->figures().evacuatedDomains == 1);
    CHECK(cell.desk->figures().placementsInEvacuatedDomains == 1);
    cell.running.clear();
    cell.endRun(start, RunEnd::Done);
    cell.run(Milliseconds(2000));
    CHECK(cell.phase(jobId) == "completed");
    CHECK(countOf(cell, "domain_emptied") == 1);
    cell.desk->setEvacuatedDomains({}, cell.now);
    cell.run(Milliseconds(100));
    CHECK(countOf(cell, "evacuation_ended") == 1);
}

TEST_CASE("A gang starts outside of the evacuated failure domains or waits as a whole")
{
    auto cell = makeCell(3);
    cell.desk->setEvacuatedDomains({ "domain-0" }, cell.now);
    auto gang = makeJob(3, 40'000);
    gang.steps[0].gang = true;
    cell.submit(jobId, "queue", "team", gang);
    cell.run(Milliseconds(5000));
    CHECK(cell.starts.empty());
    cell.desk->setEvacuatedDomains({}, cell.now);
    cell.run(Milliseconds(500));
    CHECK(cell.starts.size() == 3);
}

// Guards against gangs that run at the pace of one cold member, and against all waiting work on cold VMs.
TEST_CASE("Cold VMs get work when no others have free capacity")
{
    auto cell = makeCell(2);
    cell.desk->setEvacuatedDomains({}, cell.now);
    cell.warmup["vm-0"] = Milliseconds(4000);
    cell.registerVms(2);
    cell.submit("first", "queue", "team", makeJob(2, 30'000));
    cell.run(Milliseconds(300));
    CHECK(startsOn(cell, "vm-1") == 2);
    cell.submit("second", "queue", "team", makeJob(1, 30'000));
    cell.run(Milliseconds(300));
    CHECK(startsOn(cell, "vm-0") == 1);
}

TEST_CASE("A deployment without evacuations does not wait for them")
{
    TestCell cell(makePolicy(1, { makeQueue("queue", 2) }));
    cell.submit(jobId, "queue", "team", makeJob(1));
    cell.run(Milliseconds(300));
    CHECK(cell.starts.size() == 1);
    CHECK(cell.desk->figures().evacuatedDomains == 0);
}
