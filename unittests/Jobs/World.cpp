#include "World.h"

#include <algorithm>

namespace heatherchute {

static const std::string domain = "d";
static const std::string team = "t";
static constexpr std::uint32_t teamLimit = 5;
static constexpr std::uint32_t jobCount = 10;
static constexpr Milliseconds stepTime { 50 };
static constexpr Milliseconds suspectAfter { 2500 };
static constexpr Seconds deadAfter { 5 };
static constexpr Seconds maxSimulatedTime { 240 };

World::World(std::uint32_t seed)
    : m_random(seed)
    , m_now(Seconds(1000))
{
    for (const auto* const name : { "x", "y" }) {
        auto daemon = std::make_unique<Daemon>();
        daemon->name = name;
        restart(*daemon);
        m_daemons.push_back(std::move(daemon));
    }
    for (int i = 0; i < 3; ++i) {
        VmInfo info;
        info.id = "vm" + std::to_string(i);
        info.address = "127.0.0.1:" + std::to_string(i + 1);
        info.failureDomain = domain;
        info.rack = info.id;
        info.capacity = { 2, 1000, 0 };
        m_vms.emplace(info.id, ModelVm(info));
    }
}

void World::restart(Daemon& daemon)
{
    ++daemon.incarnation;
    daemon.inbox.clear();
    daemon.limits = std::make_unique<LimitDesk>();
    daemon.limits->setLimits({ { team, teamLimit } }, 1);
    daemon.vms = std::make_unique<VmDesk>(daemon.name, domain);
    daemon.jobs = std::make_unique<JobDesk>(daemon.name, domain, *daemon.limits);
}

void World::ignoreFencingTokens()
{
    for (auto& [id, vm] : m_vms)
        vm.ignoreFencingTokens();
}

Duration World::delay()
{
    return Milliseconds(std::uniform_int_distribution<int>(1, 120)(m_random));
}

void World::schedule(Duration after, std::function<void()> body)
{
    m_events.push_back({ m_now + after, m_nextEventOrder++, std::move(body) });
    std::push_heap(m_events.begin(), m_events.end());
}

void World::scheduleAtDaemon(Daemon& daemon, Duration after, std::function<void()> body)
{
    schedule(after, [this, &daemon, incarnation = daemon.incarnation, body = std::move(body)] {
        if (daemon.incarnation != incarnation || m_now < daemon.deadUntil)
            return;
        // Messages that arrived during a pause are processed first.
        if (m_now < daemon.pausedUntil || !daemon.inbox.empty())
            daemon.inbox.push_back(body);
        else
            body();
    });
}

World::Daemon& World::daemonNamed(const std::string& name)
{
    return *m_daemons[name == "x" ? 0 : 1];
}

bool World::isSilent(const Daemon& daemon, const Daemon& other, Duration since) const
{
    const bool isDown = !isUp(other) && m_now - other.downSince >= since;
    const bool isPartitioned = m_now < m_partitionedUntil && m_now - m_partitionedSince >= since;
    return &daemon != &other && (isDown || isPartitioned);
}

void World::send(Daemon& from, const std::string& to, const PeerMessage& message)
{
    for (auto& target : m_daemons) {
        const bool isRecipient = to.empty() || to == target->name;
        if (!isRecipient || (target.get() != &from && m_now < m_partitionedUntil))
            continue;
        // Messages on the same link are delivered in order.
        auto& last = m_lastDelivery[{ from.name, target->name }];
        last = std::max(last, m_now + (target.get() == &from ? Duration {} : delay()));
        scheduleAtDaemon(*target, last - m_now, [this, &daemon = *target, name = from.name, message] { receive(daemon, name, message); });
    }
}

void World::receive(Daemon& daemon, const std::string& from, const PeerMessage& message)
{
    if (getenv("TRACE"))
        fprintf(stderr, "%ld %s->%s %s\n", long(m_now.time_since_epoch().count() / 1000000), from.c_str(), daemon.name.c_str(), toTagged(message).dump().substr(0, 600).c_str());
    OwnershipActions vmActions;
    JobActions jobActions;
    auto& vms = *daemon.vms;
    auto& jobs = *daemon.jobs;
    if (const auto* request = std::get_if<ReserveAsk>(&message))
        send(daemon, from, vms.reserve(*request, m_now));
    else if (const auto* reply = std::get_if<ReserveReply>(&message))
        jobs.onReserveReply(from, *reply, m_now, jobActions);
    else if (const auto* commit = std::get_if<CommitAsk>(&message))
        vms.commit(*commit, m_now, vmActions);
    else if (const auto* reports = std::get_if<TaskReports>(&message))
        send(daemon, from, jobs.onReports(from, *reports, m_now, jobActions));
    else if (const auto* acks = std::get_if<TaskAcks>(&message))
        vms.acknowledge(*acks);
    else if (const auto* query = std::get_if<TaskQuery>(&message))
        send(daemon, from, vms.query(*query, m_now));
    else if (const auto* stop = std::get_if<StopTasks>(&message))
        vms.stop(*stop, vmActions);
    else if (const auto* claim = std::get_if<HomeClaim>(&message))
        send(daemon, from, vms.claim(*claim));
    else if (const auto* claimed = std::get_if<HomeClaimReply>(&message))
        jobs.onClaimReply(from, *claimed, m_now, jobActions);
    else if (const auto* owned = std::get_if<VmOwned>(&message)) {
        if (from != daemon.name)
            vms.onOwnedElsewhere(*owned);
        jobs.onVmOwned(from, *owned, m_now, jobActions);
    } else if (const auto* lost = std::get_if<VmLost>(&message)) {
        if (from != daemon.name)
            vms.onLostElsewhere(*lost);
        jobs.onVmLost(*lost, m_now, jobActions);
    }
    perform(daemon, std::move(vmActions));
    perform(daemon, std::move(jobActions));
}

void World::sendLease(Daemon& daemon, const LeaseCall& call)
{
    const auto sentAt = m_now;
    schedule(delay(), [this, &daemon, call, sentAt] {
        Result<OwnerLeaseAnswer> response = ErrorKind::OutcomeUnknown;
        const bool isFrozen = m_now < m_frozenUntil[call.vm];
        if (!isFrozen)
            response = m_vms.at(call.vm).lease(call.ask, m_now);
        scheduleAtDaemon(daemon, isFrozen ? Duration(Seconds(2)) : delay(), [this, &daemon, call, sentAt, response] {
            OwnershipActions actions;
            daemon.vms->onLease(call.vm, call.ask, sentAt, response, m_now, actions);
            perform(daemon, std::move(actions));
        });
    });
}

void World::sendStart(Daemon& daemon, const StartCall& call)
{
    const auto runTime = Milliseconds(std::uniform_int_distribution<int>(100, 8000)(m_random));
    // The deadline check and the send are separate steps: the process may be paused between them.
    const bool isLate = m_now >= call.sendBefore;
    const bool isPaused = std::uniform_int_distribution<int>(0, 49)(m_random) == 0;
    const auto pauseBeforeSend = Seconds(isPaused ? std::uniform_int_distribution<int>(5, 40)(m_random) : 0);
    schedule(delay() + pauseBeforeSend, [this, &daemon, call, runTime, isLate] {
        auto kind = ErrorKind::NoEndpoint;
        const bool isFrozen = m_now < m_frozenUntil[call.vm];
        if (!isLate && !isFrozen) {
            kind = m_vms.at(call.vm).start(call.start, m_now, runTime);
            if (std::uniform_int_distribution<int>(0, 9)(m_random) == 0)
                kind = ErrorKind::OutcomeUnknown;
        }
        scheduleAtDaemon(daemon, delay(), [this, &daemon, call, kind] {
            OwnershipActions actions;
            daemon.vms->onStarted(call.vm, call.start.task.id, kind == ErrorKind::None ? std::error_code() : make_error_code(kind), m_now, actions);
            perform(daemon, std::move(actions));
        });
    });
}

void World::sendAppend(Daemon& daemon, const AppendJournal& append)
{
    schedule(delay(), [this, &daemon, append] {
        auto outcome = AppendOutcome::Unknown;
        if (m_now >= m_storeDownUntil) {
            const auto key = journalKey(append.shard, append.entry.sequence);
            const auto [stored, isNew] = m_store.try_emplace(key, append.entry);
            if (isNew)
                noteRecordedSuccesses(append.entry);
            outcome = stored->second.nonce == append.entry.nonce ? AppendOutcome::Written : AppendOutcome::Taken;
            if (m_now < m_repliesLostUntil)
                outcome = AppendOutcome::Unknown;
        }
        scheduleAtDaemon(daemon, delay(), [this, &daemon, append, outcome] {
            JobActions actions;
            daemon.jobs->onAppended(append.shard, append.entry.sequence, outcome, m_now, actions);
            perform(daemon, std::move(actions));
        });
    });
}

void World::noteRecordedSuccesses(const JournalEntry& entry)
{
    for (const auto& record : entry.records) {
        const auto* const done = std::get_if<TaskDoneRecord>(&record);
        if (!done)
            continue;
        const auto taskName = done->job + "#" + std::to_string(done->index);
        auto& attempts = m_recordedSuccesses[taskName];
        for (const auto& [name, vm] : m_vms) {
            for (const auto& [id, task] : vm.tasks()) {
                if (task.attempt.job == done->job && task.attempt.index == done->index)
                    attempts.insert(id);
            }
        }
    }
}

void World::sendAllotmentChange(Daemon& daemon, const AllotmentChange& change)
{
    schedule(delay(), [this, &daemon, change] {
        Result<std::uint32_t> allocation = ErrorKind::StoreUnavailable;
        if (m_now >= m_storeDownUntil) {
            allocation = applyAllotment(m_limit, change);
            if (m_now < m_repliesLostUntil)
                allocation = ErrorKind::OutcomeUnknown;
        }
        scheduleAtDaemon(daemon, delay(), [this, &daemon, change, allocation] { daemon.limits->onChanged(change, allocation, m_now); });
    });
}

void World::perform(Daemon& daemon, OwnershipActions&& actions)
{
    for (const auto& action : actions) {
        if (const auto* lease = std::get_if<LeaseCall>(&action))
            sendLease(daemon, *lease);
        else if (const auto* start = std::get_if<StartCall>(&action))
            sendStart(daemon, *start);
        else if (const auto* command = std::get_if<OrderCall>(&action)) {
            if (command->order == TaskOrder::Stop && m_now >= m_frozenUntil[command->vm])
                m_vms.at(command->vm).stop(command->task, command->ownerEpoch);
        } else if (const auto* notice = std::get_if<DomainNotice>(&action))
            std::visit([&](const auto& typed) { send(daemon, {}, typed); }, notice->notice);
    }
}

void World::perform(Daemon& daemon, JobActions&& actions)
{
    for (const auto& action : actions) {
        if (const auto* read = std::get_if<ReadJournal>(&action)) {
            schedule(delay(), [this, &daemon, shard = read->shard] {
                Result<std::vector<JournalEntry>> entries = ErrorKind::StoreUnavailable;
                if (m_now >= m_storeDownUntil) {
                    std::vector<JournalEntry> found;
                    for (const auto& [key, entry] : m_store) {
                        if (key.starts_with(journalPrefix(shard)))
                            found.push_back(entry);
                    }
                    entries = std::move(found);
                }
                scheduleAtDaemon(daemon, delay(), [this, &daemon, shard, entries] {
                    JobActions next;
                    daemon.jobs->onJournalRead(shard, entries, m_now, next);
                    perform(daemon, std::move(next));
                });
            });
        } else if (const auto* append = std::get_if<AppendJournal>(&action))
            sendAppend(daemon, *append);
        else if (const auto* message = std::get_if<SendToOwner>(&action))
            send(daemon, message->daemon, message->message);
        else if (const auto* durable = std::get_if<Durable>(&action); durable && durable->token != 0)
            m_accepted.insert(durable->token);
    }
}

void World::submit(Daemon& daemon)
{
    const auto shard = daemon.jobs->shardForNewJob();
    if (shard.empty() || m_submitted >= jobCount)
        return;
    JobSpec spec;
    spec.team = team;
    spec.queue = "q";
    spec.className = "c";
    spec.perTask = { 1, 100, 0 };
    spec.tasks = 1 + m_submitted % 3;
    spec.gang = m_submitted % 2 == 0;
    JobActions actions;
    const auto accepted = daemon.jobs->submit(shard, spec, m_submitted + 1, m_now, actions);
    if (accepted)
        ++m_submitted;
    perform(daemon, std::move(actions));
}

void World::tickDaemon(Daemon& daemon)
{
    if (m_now - daemon.lastTick >= Seconds(2) && daemon.lastTick != TimePoint {})
        daemon.jobs->revalidate();
    daemon.lastTick = m_now;
    auto waiting = std::move(daemon.inbox);
    daemon.inbox.clear();
    for (const auto& body : waiting)
        body();
    std::vector<std::string> peers { daemon.name };
    std::map<std::string, ShardHome> otherLeaders;
    std::vector<OwnerRoom> freeCapacity { { daemon.name, daemon.vms->totalFree(m_now), daemon.vms->largestFree(m_now) } };
    for (const auto& other : m_daemons) {
        if (other.get() == &daemon || isSilent(daemon, *other, deadAfter))
            continue;
        peers.push_back(other->name);
        freeCapacity.push_back({ other->name, other->vms->totalFree(m_now), other->vms->largestFree(m_now) });
        for (const auto& home : other->jobs->homes())
            otherLeaders[home.shard] = home;
    }
    std::sort(peers.begin(), peers.end());
    daemon.vms->setOwners(peers);
    std::vector<VmInfo> list;
    for (const auto& [id, vm] : m_vms)
        list.push_back(vm.info());
    daemon.vms->setVmList(list, m_now);
    daemon.jobs->setSomeoneSilent(std::any_of(m_daemons.begin(), m_daemons.end(), [&](const auto& other) { return isSilent(daemon, *other, suspectAfter); }));
    daemon.jobs->setPeers(peers, otherLeaders, m_now);
    daemon.jobs->setRoom(std::move(freeCapacity));
    OwnershipActions vmActions;
    daemon.vms->tick(m_now, vmActions);
    perform(daemon, std::move(vmActions));
    for (const auto& reports : daemon.vms->dueReports(m_now))
        send(daemon, {}, reports);
    JobActions jobActions;
    daemon.jobs->tick(m_now, jobActions);
    perform(daemon, std::move(jobActions));
    for (const auto& change : daemon.limits->tick(m_now))
        sendAllotmentChange(daemon, change);
    submit(daemon);
}

void World::injectFault(const FaultStep& step)
{
    auto& daemon = *m_daemons[step.target % m_daemons.size()];
    const auto until = m_now + Seconds(step.seconds);
    const auto vm = "vm" + std::to_string(step.target % m_vms.size());
    switch (step.fault) {
    case Fault::None:
        return;
    case Fault::PauseDaemon:
        daemon.downSince = isUp(daemon) ? m_now : daemon.downSince;
        daemon.pausedUntil = std::max(daemon.pausedUntil, until);
        return;
    case Fault::KillDaemon:
        daemon.downSince = isUp(daemon) ? m_now : daemon.downSince;
        daemon.deadUntil = std::max(daemon.deadUntil, until);
        daemon.pausedUntil = {};
        restart(daemon);
        return;
    case Fault::PartitionDaemons:
        m_partitionedSince = m_now < m_partitionedUntil ? m_partitionedSince : m_now;
        m_partitionedUntil = std::max(m_partitionedUntil, until);
        return;
    case Fault::StoreDown:
        m_storeDownUntil = std::max(m_storeDownUntil, until);
        return;
    case Fault::StoreLosesReplies:
        m_repliesLostUntil = std::max(m_repliesLostUntil, until);
        return;
    case Fault::FreezeVm:
        m_frozenUntil[vm] = std::max(m_frozenUntil[vm], until);
        return;
    case Fault::RestartVm:
        m_vms.at(vm).restart();
        return;
    case Fault::CancelJob:
        for (const auto& job : daemon.jobs->list({}, {}, 1)) {
            JobActions actions;
            (void)daemon.jobs->cancel(job->spec.id, 0, m_now, actions);
            perform(daemon, std::move(actions));
        }
        return;
    }
}

void World::step()
{
    m_now += stepTime;
    while (!m_events.empty() && m_events.front().due <= m_now) {
        std::pop_heap(m_events.begin(), m_events.end());
        const auto event = std::move(m_events.back());
        m_events.pop_back();
        event.run();
    }
    for (auto& [id, vm] : m_vms)
        vm.tick(m_now);
    for (auto& daemon : m_daemons) {
        if (isUp(*daemon))
            tickDaemon(*daemon);
    }
}

std::string World::findViolation()
{
    std::map<std::string, std::string> runningOn;
    std::uint32_t running = 0;
    for (const auto& [name, vm] : m_vms) {
        Resources used;
        for (const auto& [id, task] : vm.tasks()) {
            const auto taskName = task.attempt.job + "#" + std::to_string(task.attempt.index);
            if (isFinal(task.state))
                continue;
            ++running;
            used += task.attempt.size;
            if (!runningOn.try_emplace(taskName, name).second)
                return taskName + " runs in two places: " + runningOn[taskName] + " and " + name;
            // A success known only to a lost VM or a partitioned daemon may be lost with it. A
            // success in the write-ahead log must not be lost.
            const auto recorded = m_recordedSuccesses.find(taskName);
            if (recorded != m_recordedSuccesses.end() && !recorded->second.contains(id))
                return taskName + " runs again after its success was recorded";
        }
        if (!used.fitsIn(vm.info().capacity))
            return name + " is overcommitted";
    }
    if (running > teamLimit)
        return "the team has " + std::to_string(running) + " running tasks, more than its quota";
    return {};
}

bool World::allJobsEnded() const
{
    std::size_t known = 0;
    for (const auto& daemon : m_daemons) {
        for (const auto* const job : daemon->jobs->list({}, {}, 1000)) {
            ++known;
            if (!isFinal(job->state))
                return false;
        }
    }
    // A job whose submission was not acknowledged may be lost when its daemon crashes.
    return m_submitted == jobCount && known >= m_accepted.size();
}

void traceFault(const FaultStep& step, TimePoint now)
{
    if (getenv("TRACE"))
        fprintf(stderr, "%ld FAULT %d target %d sec %d\n", long(now.time_since_epoch().count() / 1000000), int(step.fault), int(step.target), int(step.seconds));
}
std::string World::describeUnfinished() const
{
    std::string text = std::to_string(m_submitted) + " submitted, " + std::to_string(m_accepted.size()) + " accepted;";
    text += " quota " + Json(m_limit).dump() + ";";
    for (const auto& daemon : m_daemons) {
        for (const auto& home : daemon->jobs->homes())
            text += " " + daemon->name + " leads " + home.shard + " with fencing token " + std::to_string(home.epoch) + ";";
        for (const auto* const job : daemon->jobs->list({}, {}, 1000)) {
            if (!isFinal(job->state))
                text += " " + job->spec.id + " at " + daemon->name + ": " + job->reason + ", " + std::to_string(job->pending()) + " pending, " + std::to_string(job->active()) + " active;";
        }
    }
    return text;
}

std::string World::run(const std::vector<FaultStep>& faults, Milliseconds gap)
{
    std::size_t next = 0;
    auto nextFault = m_now + Seconds(8);
    const auto end = m_now + maxSimulatedTime;
    while (m_now < end) {
        if (next < faults.size() && m_now >= nextFault) {
            traceFault(faults[next], m_now);
            injectFault(faults[next++]);
            nextFault = m_now + gap;
        }
        step();
        auto broken = findViolation();
        if (!broken.empty())
            return broken + " at " + std::to_string(std::chrono::duration_cast<Milliseconds>(m_now.time_since_epoch()).count()) + " ms";
        if (next == faults.size() && allJobsEnded())
            return {};
    }
    return "not all jobs have ended: " + describeUnfinished();
}

} // namespace heatherchute
