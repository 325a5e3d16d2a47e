#include "Core.h"

namespace heatherchute {

static const std::string ownerKey = "heatherchute/cell/owner";
/// Changed by every commit, so that a commit whose answer was lost is told from one not done.
static const std::string headKey = "heatherchute/head";

/// Longest wait of a watch: what a connection that fell silent may cost in freshness.
static constexpr Milliseconds watchWait { 900 };
/// After a store call that failed; doubled up to the longest.
static constexpr Milliseconds shortestRetry { 50 };
static constexpr Milliseconds longestRetry { 400 };

namespace {

    /// Pause before the next try, doubled with each failure in a row.
    class Backoff {
    public:
        Milliseconds next()
        {
            const auto pause = m_next;
            m_next = std::min(m_next * 2, longestRetry);
            return pause;
        }
        void reset() { m_next = shortestRetry; }

    private:
        Milliseconds m_next = shortestRetry;
    };

} // namespace

/// Follows a prefix of the store until `isOver`: `onItems` gets all its items after each change.
static void followPrefix(NodeOutbound& outbound, const std::string& prefix, const std::string& what, const std::function<bool()>& isOver,
    const std::function<void(const std::map<std::string, platform::StoreItem>&)>& onItems)
{
    Backoff backoff;
    bool isLost = false;
    const auto note = [&](bool lost) {
        if (lost != isLost)
            logEvent(lost ? LogLevel::Warning : LogLevel::Info, lost ? "store_lost" : "store_regained", { { "reading", what } });
        isLost = lost;
    };
    while (!isOver()) {
        const auto list = outbound.store().list(prefix);
        note(!list);
        if (!list) {
            outbound.sleep(backoff.next());
            continue;
        }
        backoff.reset();
        std::map<std::string, platform::StoreItem> items;
        for (const auto& item : list.value().items)
            items[item.key] = item;
        auto revision = list.value().revision;
        onItems(items);
        while (!isOver()) {
            const auto watched = outbound.store().watch(prefix, revision, watchWait);
            if (watched.outcome != platform::WatchOutcome::Events)
                break;
            for (const auto& item : watched.items) {
                if (item.deleted)
                    items.erase(item.key);
                else
                    items[item.key] = item;
            }
            revision = std::max(revision, watched.revision);
            if (!watched.items.empty())
                onItems(items);
        }
    }
}

void NodeCore::watchPolicy()
{
    m_ports.outbound->run([this] {
        followPrefix(
            *m_ports.outbound, platform::operatorConfigurationKey, "policy", [] { return false; }, [this](const auto& items) {
                const auto found = items.find(platform::operatorConfigurationKey);
                if (found == items.end())
                    return;
                auto policy = platform::parseCellPolicy(found->second.value);
                if (!policy)
                    return;
                m_ports.outbound->report([this, text = found->second.value, policy = std::move(policy.value())]() mutable { adoptPolicy(std::move(text), std::move(policy), "store"); }); });
    });
}

static std::optional<cell::OwnerRecord> parseRecord(const platform::StoreItem& item)
{
    const auto json = Json::parse(item.value, nullptr, false);
    if (!json.is_object()) {
        logEvent(LogLevel::Error, "owner_record_unreadable", { { "key", item.key } });
        return std::nullopt;
    }
    auto record = json.get<cell::OwnerRecord>();
    record.revision = item.revision;
    return record;
}

void NodeCore::watchOwner()
{
    m_ports.outbound->run([this] {
        followPrefix(
            *m_ports.outbound, ownerKey, "owner", [] { return false; }, [this](const auto& items) {
                const auto found = items.find(ownerKey);
                auto record = found == items.end() ? std::nullopt : parseRecord(found->second);
                m_ports.outbound->report([this, record = std::move(record)] {
                    m_election.onRecord(record, Clock::now());
                    m_nextDial = TimePoint();
                    schedulePump();
                }); });
    });
}

void NodeCore::runElection()
{
    for (const auto& action : m_election.takeActions())
        std::visit([this](const auto& typed) { run(typed); }, action);
}

void NodeCore::run(const cell::ClaimCell& claim)
{
    cell::OwnerRecord record { m_settings.name, claim.nonce, addressText(m_settings.advertisePeers), 0, 0 };
    const auto ttl = electionLease(m_settings);
    m_ports.outbound->run([this, claim, record, ttl]() mutable {
        const auto sentAt = Clock::now();
        auto outcome = cell::ClaimOutcome::Unknown;
        std::uint64_t revision = 0;
        const auto lease = m_ports.outbound->store().grantLease(ttl);
        if (lease) {
            record.lease = lease.value();
            platform::StoreTransaction transaction;
            transaction.conditions.push_back({ ownerKey, claim.expected });
            transaction.writes.push_back({ ownerKey, Json(record).dump(), record.lease });
            const auto result = m_ports.outbound->store().commit(transaction);
            revision = result.revision;
            if (result.outcome == platform::TransactionOutcome::Done)
                outcome = cell::ClaimOutcome::Won;
            else if (result.outcome == platform::TransactionOutcome::Refused)
                outcome = cell::ClaimOutcome::Lost;
            // Leases of records that nobody stands behind any more are not left to run out.
            const auto ended = outcome == cell::ClaimOutcome::Won ? claim.replacedLease : outcome == cell::ClaimOutcome::Lost ? record.lease
                                                                                                                              : 0;
            if (ended != 0)
                m_ports.outbound->run([this, ended] { m_ports.outbound->store().endLease(ended); });
        }
        m_ports.outbound->report([this, nonce = record.nonce, outcome, lease = record.lease, revision, sentAt] {
            logEvent(LogLevel::Info, "claim_ended", { { "won", outcome == cell::ClaimOutcome::Won }, { "known", outcome != cell::ClaimOutcome::Unknown }, { "revision", revision } });
            m_claimSentAt = sentAt;
            m_election.onClaim(nonce, outcome, lease, revision, sentAt, Clock::now());
            schedulePump();
        });
    });
}

void NodeCore::run(const cell::RenewClaim& renew)
{
    m_ports.outbound->run([this, lease = renew.lease] {
        const auto sentAt = Clock::now();
        const auto renewed = m_ports.outbound->store().renewLease(lease);
        auto outcome = cell::RenewalOutcome::Unknown;
        if (renewed == platform::RenewOutcome::Renewed)
            outcome = cell::RenewalOutcome::Renewed;
        else if (renewed == platform::RenewOutcome::Ended)
            outcome = cell::RenewalOutcome::Ended;
        m_ports.outbound->report([this, lease, outcome, sentAt] {
            const auto before = m_election.tenure();
            m_election.onRenewal(lease, outcome, sentAt, Clock::now());
            if (m_election.tenure() != before)
                logEvent(LogLevel::Info, "tenure_changed", { { "from", cell::tenureName(before) }, { "to", cell::tenureName(m_election.tenure()) } });
            schedulePump();
        });
    });
}

void NodeCore::run(const cell::ReleaseClaim& release)
{
    m_ports.outbound->run([this, lease = release.lease] { m_ports.outbound->store().endLease(lease); });
}

void NodeCore::run(const cell::OwnershipBegan& began)
{
    logEvent(LogLevel::Info, "ownership_began", { { "fencing_token", began.fencingToken } });
    ++m_tenureNumber;
    m_tenureOver = std::make_shared<std::atomic<bool>>(false);
    m_registry.clear();
    m_isRegistryKnown = false;
    loadCell();
    watchRegistry();
}

void NodeCore::run(const cell::OwnershipEnded& ended)
{
    logEvent(LogLevel::Warning, "ownership_ended", { { "why", ended.why }, { "fencing_token", m_election.fencingToken() } });
    if (m_tenureOver)
        m_tenureOver->store(true);
    m_desk.reset();
    m_ports.outbound->run([this] { m_ports.outbound->forgetVms(); });
    m_advice.clear();
    m_orders.clear();
    m_delegated.clear();
    for (const auto& [call, origin] : std::exchange(m_origins, {})) {
        OwnerAnswer answer;
        answer.notOwner = true;
        replyTo(origin, answer);
    }
    withdrawCalls();
    for (auto& [link, peer] : m_peers) {
        if (peer.isOpen)
            sendHello(link, peer);
    }
}

/// Entries of one transaction beside the two conditions and the head.
static constexpr std::size_t writesAtOnce = platform::StoreTransaction::maxEntries - 3;

/// Pairs the two halves of each job that the state holds.
static std::vector<cell::StoredJob> pairJobs(const std::map<std::string, std::string>& state)
{
    std::map<std::string, cell::StoredJob> jobs;
    for (const auto& [key, value] : state) {
        const bool isSubmission = key.starts_with(cell::submissionPrefix);
        const auto id = key.substr(isSubmission ? cell::submissionPrefix.size() : cell::progressPrefix.size());
        auto& job = jobs[id];
        job.id = id;
        (isSubmission ? job.submission : job.progress) = value;
    }
    std::vector<cell::StoredJob> result;
    result.reserve(jobs.size());
    for (auto& [id, job] : jobs)
        result.push_back(std::move(job));
    return result;
}

/// What the store holds under a prefix, added to `values`; false when it could not be read.
static bool readPrefix(platform::StoreClient& store, const std::string& prefix, std::map<std::string, std::string>& values)
{
    auto list = store.list(prefix);
    if (!list)
        return false;
    for (auto& item : list.value().items)
        values[item.key] = std::move(item.value);
    return true;
}

void NodeCore::loadCell()
{
    m_ports.outbound->run([this, over = m_tenureOver, began = Clock::now()] {
        Backoff backoff;
        while (!over->load()) {
            auto& store = m_ports.outbound->store();
            const auto head = store.get(headKey);
            std::map<std::string, std::string> state;
            std::map<std::string, std::string> records;
            const bool isRead = head && readPrefix(store, cell::submissionPrefix, state) && readPrefix(store, cell::progressPrefix, state) && readPrefix(store, cell::stateLogPrefix, records);
            if (!isRead) {
                m_ports.outbound->sleep(backoff.next());
                continue;
            }
            const auto headRevision = head.value() ? head.value()->revision : 0;
            cell::StateLog log({ writesAtOnce });
            for (const auto& key : log.load(state, records))
                logEvent(LogLevel::Error, "state_record_unreadable", { { "key", key } });
            auto jobs = pairJobs(state);
            m_ports.outbound->report([this, over, headRevision, began, log = std::move(log), jobs = std::move(jobs)]() mutable {
                if (over->load())
                    return;
                m_stateLog = std::move(log);
                m_headRevision = headRevision;
                cell::CellLimits limits;
                limits.vmLease = vmLease(m_settings);
                limits.jobRetention = m_settings.jobRetention + Seconds(10);
                limits.spreadFactor = m_settings.spreadFactor;
                // No earlier owner extends a lease after the moment at which its record could be replaced.
                const auto inherited = m_claimSentAt + inheritedLease(m_settings);
                m_desk = std::make_unique<cell::CellDesk>(limits, inherited);
                if (m_policy)
                    m_desk->setPolicy(m_policy);
                nameAdvisers();
                m_desk->load(jobs, now());
                if (m_isRegistryKnown)
                    applyRegistry();
                logEvent(LogLevel::Info, "cell_loaded", { { "jobs", jobs.size() }, { "log_records", m_stateLog.records() }, { "took_ms", std::chrono::duration_cast<Milliseconds>(Clock::now() - began).count() } });
                m_ownedSince = Clock::now();
                for (auto& [link, peer] : m_peers) {
                    if (peer.isOpen)
                        sendHello(link, peer);
                }
                schedulePump();
            });
            return;
        }
    });
}

void NodeCore::applyRegistry()
{
    std::vector<cell::VmReport> reports;
    reports.reserve(m_registry.size());
    for (const auto& [id, report] : m_registry)
        reports.push_back(report);
    m_desk->setVms(reports, now());
}

void NodeCore::watchRegistry()
{
    m_ports.outbound->run([this, over = m_tenureOver] {
        followPrefix(
            *m_ports.outbound, platform::vmRegistryPrefix, "registry", [over] { return over->load(); }, [this, over](const auto& items) {
                std::map<std::string, cell::VmReport> reports;
                for (const auto& [key, item] : items) {
                    std::string reason;
                    const auto id = platform::vmIdOfKey(key);
                    if (auto report = platform::parseVmReport(id, item.value, reason))
                        reports.emplace(id, std::move(*report));
                    else
                        logEvent(LogLevel::Warning, "vm_report_unreadable", { { "vm", id }, { "reason", reason }, { "revision", item.revision } });
                }
                m_ports.outbound->report([this, over, reports = std::move(reports)]() mutable {
                    if (over->load())
                        return;
                    m_registry = std::move(reports);
                    m_isRegistryKnown = true;
                    if (m_desk)
                        applyRegistry();
                    schedulePump();
                }); });
    });
}

/// Writes one part of a commit until it is known to be done; nothing when the ownership is lost.
static std::optional<std::uint64_t> commitPart(NodeOutbound& outbound, const platform::StoreTransaction& transaction, const std::string& nonce, const std::atomic<bool>& over)
{
    Backoff backoff;
    for (;;) {
        const auto result = outbound.store().commit(transaction);
        if (over.load())
            return std::nullopt;
        if (result.outcome == platform::TransactionOutcome::Done)
            return result.revision;
        if (result.outcome == platform::TransactionOutcome::Refused) {
            // An earlier try whose answer was lost has taken effect if the head is ours.
            for (const auto& item : result.items) {
                if (item.key == headKey && item.value == nonce)
                    return item.revision;
            }
            return std::nullopt;
        }
        outbound.sleep(backoff.next());
    }
}

void NodeCore::run(const cell::CommitState& commit)
{
    m_metrics.count("commits", "all");
    m_ports.outbound->run([this, over = m_tenureOver, batches = m_stateLog.append(commit.writes), head = m_headRevision, fence = m_election.fencingToken()]() mutable {
        bool isDone = true;
        for (auto batch = batches.begin(); batch != batches.end() && isDone; ++batch) {
            const auto nonce = randomToken(8);
            platform::StoreTransaction transaction;
            transaction.conditions = { { ownerKey, fence }, { headKey, head } };
            transaction.writes.push_back({ headKey, nonce, 0 });
            for (auto& write : batch->writes)
                transaction.writes.push_back({ std::move(write.key), std::move(write.value), 0 });
            transaction.removals = std::move(batch->removals);
            const auto revision = commitPart(*m_ports.outbound, transaction, nonce, *over);
            isDone = revision.has_value();
            head = revision.value_or(head);
        }
        m_ports.outbound->report([this, over, isDone, head] {
            if (over->load() || !m_desk)
                return;
            if (!isDone) {
                m_election.depose("a commit was refused", Clock::now());
            } else {
                m_headRevision = head;
                m_desk->onCommitted(now());
            }
            schedulePump();
        });
    });
}

} // namespace heatherchute
