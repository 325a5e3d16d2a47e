#include "TestCell.h"

#include <catch2/catch.hpp>

using namespace heatherchute;
using namespace heatherchute::cell;

namespace {

/// A cell with two VMs and one waiting task that needs advice.
struct AdviceCell : TestCell {
    explicit AdviceCell(std::vector<std::uint64_t> advisers)
        : TestCell(makeAdvicePolicy(), 2)
        , m_advisers(std::move(advisers))
    {
        desk->setAdvisers(m_advisers);
        submit("job", "queue", "team", makeJob(1));
        TestCell::run(Milliseconds(50));
        REQUIRE(adviceRequests.size() == 1);
    }

    static CellPolicyPointer makeAdvicePolicy()
    {
        auto queue = makeQueue("queue", 2);
        queue.advice = AdvicePolicy { Milliseconds(10), 1, Milliseconds(60'000) };
        return makePolicy(1, { queue });
    }

    void changeOwner()
    {
        TestCell::changeOwner(makeAdvicePolicy());
        desk->setAdvisers(m_advisers);
        adviceRequests.clear();
    }

    void respond(const AskAdvice& request, AdviceResult result, std::uint64_t number, Milliseconds wait = Milliseconds(0))
    {
        AdviceAnswer answer { request.daemon, request.step, request.vms, {}, Milliseconds(60'000), now.steady, result, number, wait };
        if (result == AdviceResult::Answered)
            answer.allowed = { { request.vms.at(0), "ticket" } };
        desk->onAdvice(answer, now);
    }

private:
    std::vector<std::uint64_t> m_advisers;
};

} // namespace

TEST_CASE("A step whose request was not sent asks another daemon at once")
{
    AdviceCell cell({ 0, 1 });
    cell.respond(cell.adviceRequests[0], AdviceResult::Busy, cell.adviceRequests[0].request, Milliseconds(1500));
    cell.run(Milliseconds(20));
    REQUIRE(cell.adviceRequests.size() == 2);
    CHECK(cell.adviceRequests[1].daemon != cell.adviceRequests[0].daemon);
}

TEST_CASE("A daemon that refuses a request gets the next one when its queue is shorter")
{
    AdviceCell cell({ 0 });
    cell.respond(cell.adviceRequests[0], AdviceResult::Busy, cell.adviceRequests[0].request, Milliseconds(1500));
    cell.run(Milliseconds(1000));
    CHECK(cell.adviceRequests.size() == 1);
    cell.run(Milliseconds(300));
    CHECK(cell.adviceRequests.size() == 2);
}

TEST_CASE("Tickets of an overdue response are used")
{
    AdviceCell cell({ 0, 1 });
    const auto first = cell.adviceRequests[0];
    cell.run(Milliseconds(2000));
    cell.respond(first, AdviceResult::Overdue, first.request);
    cell.run(Milliseconds(20));
    CHECK(cell.starts.empty());
    cell.respond(first, AdviceResult::Answered, 0);
    cell.run(Milliseconds(50));
    REQUIRE(cell.starts.size() == 1);
    CHECK(cell.starts[0].ticket == "ticket");
}

TEST_CASE("Tickets that an earlier owner requested are used")
{
    AdviceCell cell({ 0, 1 });
    const auto first = cell.adviceRequests[0];
    cell.changeOwner();
    cell.run(Milliseconds(500));
    REQUIRE(cell.adviceRequests.size() == 1);
    cell.respond(first, AdviceResult::Answered, 0);
    cell.run(Milliseconds(50));
    REQUIRE(cell.starts.size() == 1);
    CHECK(cell.starts[0].ticket == "ticket");
    // The request of this owner still has its place in the daemon's queue.
    cell.respond(cell.adviceRequests[0], AdviceResult::Answered, cell.adviceRequests[0].request);
    cell.run(Milliseconds(50));
    CHECK(cell.starts.size() == 1);
}

// The response to a request that is overdue must not end the one that followed it.
TEST_CASE("Only the response to its pending request lets a step ask again")
{
    AdviceCell cell({ 0, 1 });
    const auto first = cell.adviceRequests[0];
    cell.run(Milliseconds(500));
    cell.respond(first, AdviceResult::Overdue, first.request);
    cell.run(Milliseconds(500));
    REQUIRE(cell.adviceRequests.size() == 2);
    cell.respond(first, AdviceResult::Failed, 0);
    cell.run(Milliseconds(1000));
    CHECK(cell.adviceRequests.size() == 2);
}
