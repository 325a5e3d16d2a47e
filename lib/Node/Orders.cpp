#include "Core.h"
#include "DelegatedCommands.h"

#include <set>

namespace heatherchute {

/// A single daemon can send the commands for about this many VMs. In a larger fleet the owner
/// delegates them to daemons in the failure domains of the VMs.
static constexpr std::size_t vmsWithoutDelegates = 100;

void NodeCore::run(const cell::StartRun& start)
{
    m_metrics.count("orders", "start");
    VmCommand command;
    command.kind = VmCommandKind::Start;
    command.vm = start.vm;
    command.address = addressText(start.address);
    command.task = cell::taskText(start.task);
    command.run = start.run;
    command.payload = start.spec->payload;
    command.deadlineMs = start.deadlineMs;
    command.checkpoint = start.checkpoint;
    command.ticket = start.ticket;
    dispatchCommand(std::move(command), start.task, platform::orderTimeout);
}

void NodeCore::run(const cell::StopRun& stop)
{
    m_metrics.count("orders", "stop");
    VmCommand command;
    command.kind = VmCommandKind::Stop;
    command.vm = stop.vm;
    command.address = addressText(stop.address);
    command.task = cell::taskText(stop.task);
    command.run = stop.run;
    dispatchCommand(std::move(command), stop.task, platform::orderTimeout);
}

void NodeCore::run(const cell::BeatVm& heartbeat)
{
    m_metrics.count("orders", "heartbeat");
    VmCommand command;
    command.vm = heartbeat.vm;
    command.address = addressText(heartbeat.address);
    command.deadlineMs = heartbeat.deadlineMs;
    command.acknowledged = heartbeat.acknowledged;
    command.waitMs = static_cast<std::uint64_t>(heartbeat.wait.count());
    dispatchCommand(std::move(command), {}, heartbeat.wait + platform::orderTimeout);
}

void NodeCore::run(const cell::WithdrawCommands& withdrawal)
{
    // Also where no command is in progress, for the idle connections.
    std::set<LinkId> senders { 0, delegateFor(withdrawal.vm) };
    for (const auto& [id, command] : m_commands) {
        if (command.vm != withdrawal.vm)
            continue;
        m_metrics.count("orders", "withdrawn");
        senders.insert(command.link);
    }
    for (const auto link : senders) {
        if (link == 0)
            m_components.outbound->cancelVmRequests(withdrawal.address);
        else
            m_delegatedCommands[link].withdrawn.push_back(addressText(withdrawal.address));
    }
}

LinkId NodeCore::delegateFor(const std::string& vm) const
{
    if (m_registry.size() <= vmsWithoutDelegates)
        return 0;
    const auto report = m_registry.find(vm);
    if (report == m_registry.end())
        return 0;
    // A VM keeps the same delegate while that daemon is connected, which limits connections to VMs.
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

void NodeCore::dispatchCommand(VmCommand command, const cell::TaskId& task, Milliseconds timeout)
{
    command.id = m_nextCommand++;
    const auto link = delegateFor(command.vm);
    const auto time = Clock::now();
    m_commands.emplace(command.id, PendingCommand { command.kind, command.vm, task, command.run, link, time, time + timeout + delegateSlack });
    if (link != 0) {
        m_delegatedCommands[link].orders.push_back(std::move(command));
        return;
    }
    executeCommand(std::move(command), { m_election.fencingToken(), bootTimeMs(), m_ownershipEnded }, [this](const VmResult& result) { onVmResult(result); });
}

void NodeCore::sendDelegatedCommands()
{
    for (auto& [link, commands] : std::exchange(m_delegatedCommands, {})) {
        commands.fencingToken = m_election.fencingToken();
        if (const auto peer = m_peers.find(link); peer != m_peers.end())
            commands.issuedAtMs = issueTimeFor(peer->second.hello, peer->second.helloAtMs, bootTimeMs());
        m_components.links->send(link, std::move(commands));
    }
}

/// Result of a command that was certainly not sent.
static VmResult notSent(std::uint64_t id)
{
    return { id, platform::OrderOutcome::NotSent, cell::StartAnswer::NotSent, std::nullopt, 0 };
}

static VmResult sendCommand(platform::VmClient& vms, const VmCommand& command, std::uint64_t fencingToken)
{
    const auto address = parseAddress(command.address);
    const auto task = cell::parseTaskId(command.task);
    if (!address || (!task && command.kind != VmCommandKind::Heartbeat)) {
        logEvent(LogLevel::Error, "vm_order_unreadable", { { "vm", command.vm }, { "address", command.address }, { "task", command.task } });
        return notSent(command.id);
    }
    VmResult result;
    result.id = command.id;
    switch (command.kind) {
    case VmCommandKind::Start: {
        const auto response = vms.start({ address.value(), command.vm, *task, command.run, command.payload, command.deadlineMs, fencingToken, command.checkpoint, command.ticket });
        result.answer = response.answer;
        result.clockMs = response.clockMs;
        break;
    }
    case VmCommandKind::Stop:
        result.outcome = vms.stop({ address.value(), command.vm, *task, command.run, fencingToken });
        break;
    case VmCommandKind::Heartbeat: {
        auto response = vms.heartbeat({ address.value(), command.vm, command.deadlineMs, fencingToken, command.acknowledged, Milliseconds(command.waitMs) });
        result.outcome = response.outcome;
        if (response.outcome == platform::OrderOutcome::Done)
            result.state = std::move(response.state);
        break;
    }
    }
    return result;
}

void NodeCore::executeCommand(VmCommand command, CommandOrigin origin, std::function<void(VmResult)> onResult)
{
    m_components.outbound->runFiber([this, ended = std::move(origin.ended), command = std::move(command), fencingToken = origin.fencingToken, issuedAtMs = origin.issuedAtMs, onResult = std::move(onResult)]() mutable {
        if (ended && ended->load())
            return;
        // The VM may have forgotten what would make it refuse a late command: a VM that has started anew knows
        // no stop, no end and no fencing token, and its clock is behind the command's deadline.
        auto result = isTooOld(issuedAtMs, bootTimeMs()) ? notSent(command.id) : sendCommand(m_components.outbound->vms(), command, fencingToken);
        m_components.outbound->postToCore([ended = std::move(ended), result = std::move(result), onResult = std::move(onResult)]() mutable {
            if (!ended || !ended->load())
                onResult(std::move(result));
        });
    });
}

void NodeCore::handle(LinkId link, const VmCommands& commands)
{
    const auto time = bootTimeMs();
    const auto validity = validityOf(commands, m_ownerDirectory.newestRevision(), time);
    m_metrics.count("delegated_commands", std::string(commandValidityName(validity)), commands.orders.size());
    if (validity != CommandValidity::Valid)
        logEvent(LogLevel::Warning, "delegated_commands_invalid", { { "why", commandValidityName(validity) }, { "peer", m_peers.at(link).hello.daemon }, { "fencing_token", commands.fencingToken }, { "newest_owner", m_ownerDirectory.newestRevision() }, { "age_ms", commands.issuedAtMs == 0 ? -1 : time - commands.issuedAtMs }, { "first_task", commands.orders.empty() ? std::string() : commands.orders.front().task }, { "commands", commands.orders.size() } });
    for (const auto& text : validity == CommandValidity::Superseded ? std::vector<std::string>() : commands.withdrawn) {
        if (const auto address = parseAddress(text))
            m_components.outbound->cancelVmRequests(address.value());
        else
            logEvent(LogLevel::Error, "withdrawal_unreadable", { { "address", text }, { "peer", m_peers.at(link).hello.daemon } });
    }
    if (validity == CommandValidity::Valid) {
        for (const auto& command : commands.orders) {
            executeCommand(command, { commands.fencingToken, commands.issuedAtMs, nullptr }, [this, link](VmResult result) {
                m_delegateResults[link].results.push_back(std::move(result));
                schedulePass();
            });
        }
        return;
    }
    for (const auto& command : commands.orders) {
        auto result = notSent(command.id);
        // Ends the ownership of an owner that has been replaced, as the VM's own answer would.
        if (validity == CommandValidity::Superseded) {
            result.outcome = platform::OrderOutcome::Fenced;
            result.answer = cell::StartAnswer::Fenced;
        }
        m_delegateResults[link].results.push_back(std::move(result));
    }
    schedulePass();
}

void NodeCore::sendResults()
{
    for (auto& [link, results] : std::exchange(m_delegateResults, {}))
        m_components.links->send(link, std::move(results));
}

void NodeCore::handle(LinkId, const VmResults& results)
{
    for (const auto& result : results.results)
        onVmResult(result);
}

static cell::StopAnswer stopAnswerOf(platform::OrderOutcome outcome)
{
    switch (outcome) {
    case platform::OrderOutcome::Done:
        return cell::StopAnswer::Stopped;
    case platform::OrderOutcome::Fenced:
        return cell::StopAnswer::Fenced;
    case platform::OrderOutcome::WrongVm:
        return cell::StopAnswer::WrongVm;
    case platform::OrderOutcome::Refused:
        return cell::StopAnswer::Refused;
    case platform::OrderOutcome::NotSent:
        return cell::StopAnswer::NotSent;
    case platform::OrderOutcome::Unknown:
        break;
    }
    return cell::StopAnswer::Unknown;
}

void NodeCore::onVmResult(const VmResult& result)
{
    const auto found = m_commands.find(result.id);
    if (found == m_commands.end() || !m_scheduler)
        return;
    const auto command = found->second;
    m_commands.erase(found);
    switch (command.kind) {
    case VmCommandKind::Start:
        m_metrics.count("starts", std::string(cell::startAnswerName(result.answer)));
        if (const auto* const job = m_scheduler->findJob(command.task.job); job && result.answer == cell::StartAnswer::Started)
            m_metrics.observe(Measure::Waiting, job->queue, job->team, Clock::now() - job->acceptedAt);
        m_scheduler->onStart({ command.vm, command.task, command.run, result.answer, command.sentAt, result.clockMs }, now());
        break;
    case VmCommandKind::Stop: {
        logEvent(LogLevel::Info, "stop_answered", { { "task", cell::taskText(command.task) }, { "run", command.run }, { "vm", command.vm }, { "outcome", platform::orderOutcomeName(result.outcome) } });
        m_scheduler->onStop(command.vm, command.task, command.run, stopAnswerOf(result.outcome), now());
        break;
    }
    case VmCommandKind::Heartbeat:
        m_scheduler->onBeat({ command.vm, command.sentAt, result.outcome == platform::OrderOutcome::Fenced, result.state }, now());
        break;
    }
    schedulePass();
}

void NodeCore::expireCommands()
{
    const auto time = Clock::now();
    std::vector<VmResult> lost;
    for (const auto& [id, command] : m_commands) {
        // A command that this daemon sends itself always returns within its own timeout.
        if (command.link != 0 && time >= command.deadline)
            lost.push_back({ id, platform::OrderOutcome::Unknown, cell::StartAnswer::Unknown, std::nullopt, 0 });
    }
    for (const auto& result : lost)
        onVmResult(result);
}

} // namespace heatherchute
