#include "Worker.h"

#include <algorithm>

namespace heatherchute {

/// How often a held call looks whether the VM has thawed.
static constexpr Milliseconds thawPoll { 20 };

Worker::Worker(Duty& duty, VmInfo info, Record& record)
    : m_duty(duty)
    , m_info(std::move(info))
    , m_record(record)
    , m_boot(randomToken(4))
{
}

void Worker::note(std::string_view event, Json fields)
{
    fields["vm"] = m_info.id;
    fields["boot"] = m_boot;
    m_record.add(event, std::move(fields));
}

bool Worker::holdBack(const HttpRequest& request)
{
    m_newestConnection = std::max(m_newestConnection, request.connection);
    while (m_mode.frozen)
        sleepFiber(m_duty.io(), thawPoll);
    if (m_mode.slowMs > 0)
        sleepFiber(m_duty.io(), Milliseconds(m_mode.slowMs));
    return request.connection <= m_silentUpTo;
}

Resources Worker::used() const
{
    Resources sum;
    for (const auto& [id, task] : m_tasks) {
        if (!isFinal(task.state))
            sum += task.attempt.size;
    }
    return sum;
}

void Worker::endTask(Task& task, TaskState state, std::string_view why)
{
    task.state = state;
    task.report = ++m_report;
    note("task_end", { { "task", task.attempt.id }, { "job", task.attempt.job }, { "state", taskStateName(state) }, { "why", why } });
}

void Worker::tick()
{
    // Leases lapse and tasks end also while the VM answers nobody.
    const auto now = Clock::now();
    for (auto& [id, task] : m_tasks) {
        if (isFinal(task.state))
            continue;
        if (now >= m_tasksUntil)
            endTask(task, TaskState::Stopped, "lease lapsed");
        else if (now >= task.endsAt)
            endTask(task, task.work.fail || m_mode.failAll ? TaskState::Failed : TaskState::Succeeded, "done");
    }
}

std::vector<TaskChange> Worker::changesAfter(std::uint64_t report)
{
    std::vector<TaskChange> changes;
    for (auto& [id, task] : m_tasks) {
        if (task.report <= report)
            continue;
        if (isFinal(task.state) && !task.isReported)
            note("task_reported", { { "task", id }, { "state", taskStateName(task.state) } });
        task.isReported = isFinal(task.state);
        TaskChange change { id, std::string(taskStateName(task.state)), task.attempt.shardEpoch, task.attempt.size, task.attempt.size, {} };
        change.used.memoryMb = std::max(change.used.memoryMb, task.work.usesMemoryMb);
        changes.push_back(std::move(change));
    }
    return changes;
}

void Worker::grantLease(const OwnerLeaseAsk& ask)
{
    const auto now = Clock::now();
    if (ask.epoch != m_ownerEpoch || ask.owner != m_owner || now >= m_ownerUntil) {
        ++m_ownerEpoch;
        m_settled = 0;
        note("owner", { { "owner", ask.owner }, { "epoch", m_ownerEpoch } });
    }
    m_settled = std::max(m_settled, ask.settled);
    m_owner = ask.owner;
    m_ownerUntil = ask.release ? now : now + Milliseconds(ask.ownerLeaseMs);
    m_tasksUntil = now + Milliseconds(ask.taskLeaseMs);
    for (const auto& floor : ask.floors)
        m_floors[floor.shard] = std::max(m_floors[floor.shard], floor.epoch);
    for (const auto& id : ask.forget) {
        const auto found = m_tasks.find(id);
        if (found != m_tasks.end() && isFinal(found->second.state))
            m_tasks.erase(found);
    }
}

HttpResponse Worker::takeLease(const OwnerLeaseAsk& ask)
{
    const auto now = Clock::now();
    OwnerLeaseAnswer answer;
    answer.boot = m_boot;
    answer.leaving = m_mode.leaving;
    const bool heldByOther = now < m_ownerUntil && m_owner != ask.owner;
    const bool isStale = ask.epoch != 0 && ask.epoch != m_ownerEpoch;
    if (heldByOther || isStale) {
        answer.remainingMs = heldByOther ? static_cast<std::uint64_t>(std::chrono::duration_cast<Milliseconds>(m_ownerUntil - now).count()) : 0;
        return jsonResponse(200, withoutDefaults(answer));
    }
    grantLease(ask);
    answer.granted = true;
    answer.epoch = m_ownerEpoch;
    answer.seen = m_report;
    answer.slotsInUse = m_slotsInUse;
    answer.changes = changesAfter(ask.epoch == m_ownerEpoch ? ask.seen : 0);
    if (ask.epoch == 0) {
        for (const auto& [shard, epoch] : m_floors)
            answer.floors.push_back({ shard, epoch });
    }
    return jsonResponse(200, withoutDefaults(answer));
}

HttpResponse Worker::startTask(const std::string& id, const TaskStart& start)
{
    const auto& attempt = start.task;
    if (m_tasks.contains(id))
        return jsonResponse(200, Json::object());
    const Json what { { "task", id }, { "job", attempt.job }, { "index", attempt.index }, { "size", attempt.size }, { "shard_epoch", attempt.shardEpoch }, { "owner_epoch", start.ownerEpoch } };
    const bool isFenced = start.boot != m_boot || start.ownerEpoch != m_ownerEpoch || Clock::now() >= m_ownerUntil || start.sequence < m_settled
        || attempt.shardEpoch < m_floors[attempt.shard];
    if (isFenced) {
        note("start_fenced", what);
        return errorResponse(ErrorKind::Fenced);
    }
    auto total = used();
    total += attempt.size;
    if (!total.fitsIn(m_info.capacity)) {
        note("overcommit_refused", what);
        return jsonResponse(507, Json::object());
    }
    m_floors[attempt.shard] = std::max(m_floors[attempt.shard], attempt.shardEpoch);
    Task task;
    task.attempt = attempt;
    const auto work = Json::parse(attempt.work.empty() ? "{}" : attempt.work, nullptr, false);
    if (work.is_object())
        task.work = work.get<SimulatedWork>();
    task.endsAt = Clock::now() + Milliseconds(m_mode.failAll ? 5 : task.work.runMs);
    task.report = ++m_report;
    m_tasks[id] = task;
    m_tasksUntil = std::max(m_tasksUntil, Clock::now() + Milliseconds(start.taskLeaseMs));
    note("task_start", what);
    return jsonResponse(201, Json::object());
}

HttpResponse Worker::orderTask(const std::string& id, const std::string& order, const Json& body)
{
    const auto found = m_tasks.find(id);
    if (body.value("ownerEpoch", std::uint64_t(0)) != m_ownerEpoch)
        return errorResponse(ErrorKind::Fenced);
    if (found == m_tasks.end())
        return errorResponse(ErrorKind::NotFound);
    if (order == "stop" && !isFinal(found->second.state))
        endTask(found->second, TaskState::Stopped, "asked");
    else
        note(order, { { "task", id } });
    return jsonResponse(200, Json::object());
}

HttpResponse Worker::setMode(const Json& body)
{
    const auto before = m_mode;
    m_mode = body.get<WorkerMode>();
    if (m_mode.silentConnections && !before.silentConnections)
        m_silentUpTo = m_newestConnection;
    note("mode", body);
    return jsonResponse(200, Json::object());
}

HttpResponse Worker::restart()
{
    for (auto& [id, task] : m_tasks) {
        if (!isFinal(task.state))
            endTask(task, TaskState::Lost, "VM replaced");
    }
    m_tasks.clear();
    m_floors.clear();
    m_owner.clear();
    m_ownerEpoch = 0;
    m_ownerUntil = {};
    m_report = 0;
    m_boot = randomToken(4);
    note("boot", Json::object());
    return jsonResponse(200, Json::object());
}

HttpResponse Worker::dispatch(const HttpRequest& request, const Json& body)
{
    const auto target = parseTarget(request.target);
    const auto& path = target.path;
    if (request.target == "/v1/owner")
        return takeLease(body.get<OwnerLeaseAsk>());
    if (path.size() == 3 && path[1] == "tasks")
        return startTask(path[2], body.get<TaskStart>());
    if (path.size() == 4 && path[1] == "tasks")
        return orderTask(path[2], path[3], body);
    return errorResponse(ErrorKind::NotFound);
}

HttpResponse Worker::handleControl(const HttpRequest& request)
{
    const auto body = Json::parse(request.body.empty() ? "{}" : request.body, nullptr, false);
    if (body.is_discarded())
        return errorResponse(ErrorKind::BadJson);
    if (request.target == "/standin/mode")
        return setMode(body);
    if (request.target == "/standin/restart")
        return restart();
    if (holdBack(request)) {
        sleepFiber(m_duty.io(), Seconds(30));
        return { 0, {}, {}, {} };
    }
    tick();
    try {
        return dispatch(request, body);
    } catch (const Json::exception&) {
        return errorResponse(ErrorKind::BadJson);
    }
}

HttpResponse Worker::handleService(const HttpRequest& request)
{
    const auto target = parseTarget(request.target);
    const auto query = [&target](std::string_view name) { return std::string(findHeader(target.query, name)); };
    const auto epoch = std::strtoull(std::string(findHeader(request.headers, "Heatherchute-Epoch")).c_str(), nullptr, 10);
    if (epoch != 0 && (epoch != m_ownerEpoch || findHeader(request.headers, "Heatherchute-Boot") != m_boot)) {
        note("request_fenced", { { "target", request.target } });
        return errorResponse(ErrorKind::Fenced);
    }
    const Json what { { "request", std::string(findHeader(request.headers, "Heatherchute-Request")) }, { "target", request.target }, { "slots_in_use", m_slotsInUse + 1 } };
    note("request_begin", what);
    if (++m_slotsInUse > m_info.slots)
        note("slots_exceeded", what);
    const bool isSilent = holdBack(request);
    const auto delay = std::strtoull(query("ms").c_str(), nullptr, 10);
    if (delay > 0)
        sleepFiber(m_duty.io(), Milliseconds(delay));
    --m_slotsInUse;
    note("request_end", what);
    if (isSilent || !query("reset").empty()) {
        if (isSilent)
            sleepFiber(m_duty.io(), Seconds(30));
        return { 0, {}, {}, {} };
    }
    if (m_mode.failAll)
        return jsonResponse(500, { { "vm", m_info.id } });
    return jsonResponse(200, { { "vm", m_info.id }, { "method", request.method }, { "target", request.target }, { "body", request.body } });
}

} // namespace heatherchute
