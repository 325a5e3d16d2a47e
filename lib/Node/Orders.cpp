#include "Core.h"

namespace heatherchute {

/// One daemon carries the calls of about this many VMs itself; beyond, daemons near the VMs do.
static constexpr std::size_t vmsWithoutDelegates = 100;
/// What a delegate's answer may take beyond the call itself.
static constexpr Milliseconds delegateSlack { 400 };

void NodeCore::run(const cell::StartRun& start)
{
    m_metrics.count("orders", "start");
    VmOrder order;
    order.kind = VmOrderKind::Start;
    order.vm = start.vm;
    order.address = addressText(start.address);
    order.task = cell::taskText(start.task);
    order.run = start.run;
    order.payload = start.spec->payload;
    order.deadlineMs = start.deadlineMs;
    order.checkpoint = start.checkpoint;
    order.ticket = start.ticket;
    dispatchOrder(std::move(order), start.task, platform::orderTimeout);
}

void NodeCore::run(const cell::StopRun& stop)
{
    m_metrics.count("orders", "stop");
    VmOrder order;
    order.kind = VmOrderKind::Stop;
    order.vm = stop.vm;
    order.address = addressText(stop.address);
    order.task = cell::taskText(stop.task);
    order.run = stop.run;
    dispatchOrder(std::move(order), stop.task, platform::orderTimeout);
}

void NodeCore::run(const cell::BeatVm& beat)
{
    m_metrics.count("orders", "heartbeat");
    VmOrder order;
    order.vm = beat.vm;
    order.address = addressText(beat.address);
    order.deadlineMs = beat.deadlineMs;
    order.acknowledged = beat.acknowledged;
    order.waitMs = static_cast<std::uint64_t>(beat.wait.count());
    dispatchOrder(std::move(order), {}, beat.wait + platform::orderTimeout);
}

LinkId NodeCore::delegateFor(const std::string& vm) const
{
    if (m_registry.size() <= vmsWithoutDelegates)
        return 0;
    const auto report = m_registry.find(vm);
    if (report == m_registry.end())
        return 0;
    // The same daemon as long as it lives, so that connections to VMs are few.
    std::vector<std::string> names;
    std::vector<LinkId> links;
    for (const auto& [link, peer] : m_peers) {
        if (peer.isOpen && peer.hello.failureDomain == report->second.failureDomain) {
            names.push_back(peer.hello.daemon);
            links.push_back(link);
        }
    }
    return names.empty() ? 0 : links[rendezvousChoice(vm, names)];
}

void NodeCore::dispatchOrder(VmOrder order, const cell::TaskId& task, Milliseconds timeout)
{
    order.id = m_nextOrder++;
    const auto link = delegateFor(order.vm);
    const auto time = Clock::now();
    m_orders.emplace(order.id, PendingOrder { order.kind, order.vm, task, order.run, link, time, time + timeout + delegateSlack });
    if (link != 0) {
        m_delegated[link].orders.push_back(std::move(order));
        return;
    }
    carryOut(std::move(order), m_election.fencingToken(), m_tenureOver, [this](const VmResult& result) { onVmResult(result); });
}

void NodeCore::sendOrders()
{
    for (auto& [link, orders] : std::exchange(m_delegated, {})) {
        orders.fencingToken = m_election.fencingToken();
        m_ports.links->send(link, std::move(orders));
    }
}

static VmResult callVm(platform::VmClient& vms, const VmOrder& order, std::uint64_t fencingToken)
{
    VmResult result;
    result.id = order.id;
    const auto address = parseAddress(order.address);
    const auto task = cell::parseTaskId(order.task);
    if (!address || (!task && order.kind != VmOrderKind::Heartbeat)) {
        logEvent(LogLevel::Error, "vm_order_unreadable", { { "vm", order.vm }, { "address", order.address }, { "task", order.task } });
        result.outcome = platform::OrderOutcome::NotSent;
        result.answer = cell::StartAnswer::NotSent;
        return result;
    }
    switch (order.kind) {
    case VmOrderKind::Start:
        result.answer = vms.start({ address.value(), order.vm, *task, order.run, order.payload, order.deadlineMs, fencingToken, order.checkpoint, order.ticket }).answer;
        break;
    case VmOrderKind::Stop:
        result.outcome = vms.stop({ address.value(), order.vm, *task, order.run, fencingToken });
        break;
    case VmOrderKind::Heartbeat: {
        auto answer = vms.heartbeat({ address.value(), order.vm, order.deadlineMs, fencingToken, order.acknowledged, Milliseconds(order.waitMs) });
        result.outcome = answer.outcome;
        if (answer.outcome == platform::OrderOutcome::Done)
            result.state = std::move(answer.state);
        break;
    }
    }
    return result;
}

void NodeCore::carryOut(VmOrder order, std::uint64_t fencingToken, std::shared_ptr<std::atomic<bool>> over, std::function<void(VmResult)> onResult)
{
    m_ports.outbound->run([this, over = std::move(over), order = std::move(order), fencingToken, onResult = std::move(onResult)]() mutable {
        if (over && over->load())
            return;
        auto result = callVm(m_ports.outbound->vms(), order, fencingToken);
        m_ports.outbound->report([over = std::move(over), result = std::move(result), onResult = std::move(onResult)]() mutable {
            if (!over || !over->load())
                onResult(std::move(result));
        });
    });
}

void NodeCore::handle(LinkId link, const VmOrders& orders)
{
    for (const auto& order : orders.orders) {
        carryOut(order, orders.fencingToken, nullptr, [this, link](VmResult result) {
            m_delegateResults[link].results.push_back(std::move(result));
            schedulePump();
        });
    }
}

void NodeCore::sendResults()
{
    for (auto& [link, results] : std::exchange(m_delegateResults, {}))
        m_ports.links->send(link, std::move(results));
}

void NodeCore::handle(LinkId, const VmResults& results)
{
    for (const auto& result : results.results)
        onVmResult(result);
}

void NodeCore::onVmResult(const VmResult& result)
{
    const auto found = m_orders.find(result.id);
    if (found == m_orders.end() || !m_desk)
        return;
    const auto order = found->second;
    m_orders.erase(found);
    switch (order.kind) {
    case VmOrderKind::Start:
        m_metrics.count("starts", std::string(cell::startAnswerName(result.answer)));
        if (const auto* const job = m_desk->findJob(order.task.job); job && result.answer == cell::StartAnswer::Started)
            m_metrics.observe(Measure::Waiting, job->queue, job->team, Clock::now() - job->acceptedAt);
        m_desk->onStart(order.vm, order.task, order.run, result.answer, now());
        break;
    case VmOrderKind::Stop: {
        logEvent(LogLevel::Info, "stop_answered", { { "task", cell::taskText(order.task) }, { "run", order.run }, { "vm", order.vm }, { "outcome", platform::orderOutcomeName(result.outcome) } });
        // Another life of the VM does not have the run, and takes no stop for it.
        const bool isAnswered = result.outcome == platform::OrderOutcome::Done || result.outcome == platform::OrderOutcome::Refused || result.outcome == platform::OrderOutcome::WrongVm;
        m_desk->onStop(order.vm, order.task, order.run, isAnswered, result.outcome == platform::OrderOutcome::Fenced, now());
        break;
    }
    case VmOrderKind::Heartbeat:
        m_desk->onBeat({ order.vm, order.sentAt, result.outcome == platform::OrderOutcome::Fenced, result.state }, now());
        break;
    }
    schedulePump();
}

void NodeCore::expireOrders()
{
    const auto time = Clock::now();
    std::vector<VmResult> lost;
    for (const auto& [id, order] : m_orders) {
        // What this daemon carries out itself always comes back by its own time-outs.
        if (order.link != 0 && time >= order.deadline)
            lost.push_back({ id, platform::OrderOutcome::Unknown, cell::StartAnswer::Unknown, std::nullopt });
    }
    for (const auto& result : lost)
        onVmResult(result);
}

} // namespace heatherchute
