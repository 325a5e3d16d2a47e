#include "heatherchute/Cell.h"

#include <catch2/catch.hpp>

using namespace heatherchute;
using namespace heatherchute::cell;

namespace {

/// A desk with VMs of one core each and one queue whose advice costs ten milliseconds.
class AdvisedCell {
public:
    explicit AdvisedCell(int vms)
        : m_desk(CellLimits(), m_now.steady)
    {
        auto policy = std::make_shared<CellPolicy>();
        policy->version = 1;
        policy->queues.push_back({ "queue", "host", "/queue/", "workers", 0, 3, 2, Milliseconds(1000), AdvicePolicy { Milliseconds(10), 0, Milliseconds(2500) }, true });
        m_desk.setPolicy(policy);
        std::vector<VmReport> reports;
        for (int i = 0; i < vms; ++i)
            reports.push_back({ "vm-" + std::to_string(i), "workers", { "127.0.0.1", 80 }, "domain", { 1000, 1000, 0 }, {}, {}, false, 1, Milliseconds(0) });
        m_desk.setVms(reports, m_now);
        for (const auto& report : reports)
            m_desk.onBeat({ report.id, m_now.steady, false, VmState { 5000, 1, {}, {} } }, m_now);
    }

    void submit(std::uint32_t tasks)
    {
        StepSpec step;
        step.tasks = tasks;
        step.need = { 1000, 10, 0 };
        step.estimateMs = 100;
        m_desk.submit(1, "job", "queue", "", { "payload", { step } }, m_now);
    }

    /// Lets so much time pass; the asks that the desk makes meanwhile.
    std::vector<AskAdvice> run(Milliseconds time)
    {
        std::vector<AskAdvice> asks;
        for (const auto end = m_now.steady + time; m_now.steady < end; m_now.steady += Milliseconds(5)) {
            m_desk.advance(m_now);
            for (const auto& action : m_desk.takeActions()) {
                if (const auto* const ask = std::get_if<AskAdvice>(&action))
                    asks.push_back(*ask);
                if (std::holds_alternative<CommitState>(action))
                    m_desk.onCommitted(m_now);
            }
        }
        return asks;
    }

    /// The service allows the first `allowed` of the VMs asked about.
    void answer(const AskAdvice& ask, std::size_t allowed)
    {
        AdviceAnswer answer { ask.step, ask.vms, std::vector<std::pair<std::string, std::string>>(), Milliseconds(2500), m_now.steady };
        for (std::size_t i = 0; i < std::min(allowed, ask.vms.size()); ++i)
            answer.allowed->emplace_back(ask.vms[i], "ticket");
        m_desk.onAdvice(answer, m_now);
    }

    std::size_t placed() const { return m_desk.placements().size(); }

private:
    Now m_now { TimePoint(Seconds(1000)), 1'700'000'000'000 };
    CellDesk m_desk;
};

} // namespace

TEST_CASE("A step that got too few tickets asks about other VMs at once")
{
    AdvisedCell cell(20);
    cell.submit(3);
    const auto first = cell.run(Milliseconds(20));
    REQUIRE(first.size() == 1);
    cell.answer(first[0], 1);
    const auto second = cell.run(Milliseconds(100));
    CHECK(cell.placed() == 1);
    REQUIRE(second.size() == 1);
    for (const auto& vm : second[0].vms)
        CHECK(std::find(first[0].vms.begin(), first[0].vms.end(), vm) == first[0].vms.end());
    cell.answer(second[0], 2);
    (void)cell.run(Milliseconds(50));
    CHECK(cell.placed() == 3);
}

TEST_CASE("A step that is told no by every VM does not ask in vain")
{
    AdvisedCell cell(4);
    cell.submit(3);
    std::size_t asks = 0;
    for (int i = 0; i < 40; ++i) {
        for (const auto& ask : cell.run(Milliseconds(50))) {
            ++asks;
            cell.answer(ask, 0);
        }
    }
    CHECK(asks <= 4);
    CHECK(cell.placed() == 0);
}
