#include "Core.h"
#include "StoreReads.h"
#include "VmRegistry.h"

#include <algorithm>

namespace heatherchute {

static const std::string ownerKey = "heatherchute/cell/owner";
/// Set to a new nonce by every commit, so that a commit whose response was lost can be told from one
/// that was not applied.
static const std::string headKey = "heatherchute/head";

/// Returns the latest of the items with this key; null if there is none.
static const platform::StoreItem* findLatest(const std::vector<platform::StoreItem>& items, const std::string& key)
{
    const auto found = std::find_if(items.rbegin(), items.rend(), [&](const auto& item) { return item.key == key; });
    return found == items.rend() ? nullptr : &*found;
}

void NodeCore::watchPolicy()
{
    m_components.outbound->runFiber([this] {
        PrefixWatch watch { platform::operatorConfigurationKey, "policy", {}, {} };
        watch.onItems = [this](const auto& items, bool) {
            const auto* const item = findLatest(items, platform::operatorConfigurationKey);
            if (!item || item->deleted)
                return;
            auto policy = platform::parseCellPolicy(item->value);
            if (!policy)
                return;
            m_components.outbound->postToCore([this, text = item->value, policy = std::move(policy.value())]() mutable { adoptPolicy(std::move(text), std::move(policy), "store"); });
        };
        followPrefix(*m_components.outbound, watch);
    });
}

/// A record that cannot be decoded still has an owner, though an unknown one: its lease must end before
/// another daemon may claim the cell.
static cell::OwnerRecord parseRecord(const platform::StoreItem& item)
{
    cell::OwnerRecord record;
    try {
        record = Json::parse(item.value).get<cell::OwnerRecord>();
    } catch (const Json::exception& exception) {
        logEvent(LogLevel::Error, "owner_record_unreadable", { { "key", item.key }, { "reason", exception.what() } });
    }
    record.revision = item.revision;
    return record;
}

void NodeCore::watchOwner()
{
    m_components.outbound->runFiber([this] {
        PrefixWatch watch { ownerKey, "owner", {}, {} };
        watch.onItems = [this](const auto& items, bool isComplete) {
            const auto* const item = findLatest(items, ownerKey);
            if (!item && !isComplete)
                return;
            auto record = item && !item->deleted ? std::optional(parseRecord(*item)) : std::nullopt;
            m_components.outbound->postToCore([this, record = std::move(record)] {
                m_ownerDirectory.onRecord(record);
                m_election.onRecord(record, Clock::now());
                m_nextDial = TimePoint();
                schedulePass();
            });
        };
        watch.onContact = [this] { m_components.outbound->postToCore([this] { m_ownerReadAt = Clock::now(); }); };
        followPrefix(*m_components.outbound, watch);
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
    m_components.outbound->runFiber([this, claim, record, ttl]() mutable {
        const auto sentAt = Clock::now();
        auto outcome = cell::ClaimOutcome::Unknown;
        std::uint64_t revision = 0;
        const auto lease = m_components.outbound->store().grantLease(ttl);
        if (lease) {
            record.lease = lease.value();
            platform::StoreTransaction transaction;
            transaction.conditions.push_back({ ownerKey, claim.expected });
            transaction.writes.push_back({ ownerKey, Json(record).dump(), record.lease });
            const auto result = m_components.outbound->store().commit(transaction);
            revision = result.revision;
            if (result.outcome == platform::TransactionOutcome::Done)
                outcome = cell::ClaimOutcome::Won;
            else if (result.outcome == platform::TransactionOutcome::Refused)
                outcome = cell::ClaimOutcome::Lost;
            // Ends the lease of a replaced or rejected record at once instead of letting it expire.
            const auto unusedLease = outcome == cell::ClaimOutcome::Won ? claim.replacedLease : outcome == cell::ClaimOutcome::Lost ? record.lease
                                                                                                                                    : 0;
            if (unusedLease != 0)
                m_components.outbound->runFiber([this, unusedLease] { m_components.outbound->store().endLease(unusedLease); });
        }
        m_components.outbound->postToCore([this, nonce = record.nonce, outcome, lease = record.lease, revision, sentAt] {
            logEvent(LogLevel::Info, "claim_ended", { { "won", outcome == cell::ClaimOutcome::Won }, { "known", outcome != cell::ClaimOutcome::Unknown }, { "revision", revision } });
            m_election.onClaim(nonce, outcome, lease, revision, sentAt, Clock::now());
            schedulePass();
        });
    });
}

static cell::RenewalOutcome renewClaim(platform::StoreClient& store, std::uint64_t lease, std::uint64_t fencingToken)
{
    auto outcome = cell::RenewalOutcome::Unknown;
    switch (store.renewLease(lease)) {
    case platform::RenewOutcome::Renewed:
        outcome = cell::RenewalOutcome::Renewed;
        break;
    case platform::RenewOutcome::Ended:
        return cell::RenewalOutcome::Ended;
    case platform::RenewOutcome::Unknown:
        return outcome;
    }
    const auto record = store.get(ownerKey);
    std::optional<std::uint64_t> revision;
    if (record)
        revision = record.value() ? record.value()->revision : 0;
    return cell::confirmRenewal(outcome, revision, fencingToken);
}

void NodeCore::run(const cell::RenewClaim& renew)
{
    m_components.outbound->runFiber([this, lease = renew.lease, fencingToken = m_election.fencingToken()] {
        const auto sentAt = Clock::now();
        const auto outcome = renewClaim(m_components.outbound->store(), lease, fencingToken);
        m_components.outbound->postToCore([this, lease, outcome, sentAt] {
            const auto before = m_election.tenure();
            m_election.onRenewal(lease, outcome, sentAt, Clock::now());
            if (outcome == cell::RenewalOutcome::Renewed)
                m_peersAtRenewal = peersHeard();
            if (m_election.tenure() != before)
                logEvent(LogLevel::Info, "tenure_changed", { { "from", cell::tenureName(before) }, { "to", cell::tenureName(m_election.tenure()) } });
            schedulePass();
        });
    });
}

void NodeCore::run(const cell::ReleaseClaim& release)
{
    m_components.outbound->runFiber([this, lease = release.lease] { m_components.outbound->store().endLease(lease); });
}

void NodeCore::run(const cell::OwnershipBegan& began)
{
    logEvent(LogLevel::Info, "ownership_began", { { "fencing_token", began.fencingToken } });
    ++m_ownershipNumber;
    m_ownedSince = Clock::now();
    m_ownershipEnded = std::make_shared<std::atomic<bool>>(false);
    m_registry.clear();
    m_isRegistryKnown = false;
    m_evacuatedDomains.reset();
    loadCell();
    watchRegistry();
    if (m_settings.evacuationBound.count() > 0)
        watchEvacuations();
}

void NodeCore::run(const cell::OwnershipEnded& ended)
{
    logEvent(LogLevel::Warning, "ownership_ended", { { "why", ended.why }, { "fencing_token", m_election.fencingToken() } });
    if (!m_scheduler) {
        logEvent(LogLevel::Warning, "cell_load_ended", { { "why", ended.why }, { "elapsed_ms", m_loadDeadline.elapsed().count() } });
        m_metrics.count("cell_loads", "given_up");
    }
    if (m_ownershipEnded)
        m_ownershipEnded->store(true);
    m_scheduler.reset();
    m_components.outbound->runFiber([this] { m_components.outbound->closeIdleVmConnections(); });
    m_adviceRequests.clear();
    m_commands.clear();
    m_delegatedCommands.clear();
    for (const auto& [call, origin] : std::exchange(m_requestOrigins, {})) {
        OwnerResponse reply;
        reply.notOwner = true;
        respondTo(origin, reply);
    }
    requeueRequests();
    sendHelloToAll();
}

/// Entries of a transaction that remain for state writes, after its two conditions and the head key.
static constexpr std::size_t maxStateWrites = platform::StoreTransaction::maxEntries - 3;

/// Combines the stored submission and the stored progress of each job.
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

/// Reads what is missing of the cell, all listings at the same time; returns false if the ownership ends before.
/// The claim of this daemon has fenced off all earlier owners, so that the cell does not change meanwhile.
static bool readCell(NodeOutbound& outbound, CellReading& reading, const std::atomic<bool>& ended, const std::function<void()>& onPage)
{
    Backoff backoff;
    auto head = outbound.store().get(headKey);
    while (!head && !ended.load()) {
        outbound.sleep(backoff.next());
        head = outbound.store().get(headKey);
    }
    // In a later ownership term the reading belongs to another fiber.
    if (ended.load())
        return false;
    reading.begin(head.value() ? head.value()->revision : 0);
    const auto readListing = [&](CellReading::Listing listing) {
        const auto& prefix = CellReading::prefixOf(listing);
        readPages(
            outbound, prefix, reading.positionOf(listing), [&ended] { return ended.load(); }, [&](Result<platform::StorePage>&& page) {
            if (ended.load())
                return;
            const bool isRead = static_cast<bool>(page);
            logEvent(isRead ? LogLevel::Info : LogLevel::Warning, "cell_load_page", { { "prefix", prefix }, { "read", isRead }, { "bytes", isRead ? page.value().bytes : 0 }, { "items", isRead ? page.value().items.size() : 0 }, { "reason", isRead ? "" : page.error().message() } });
            if (!isRead)
                return;
            reading.addPage(listing, std::move(page.value()));
            onPage(); });
    };
    std::vector<boost::fibers::future<void>> listings;
    for (const auto listing : CellReading::allListings) {
        if (!reading.isComplete(listing))
            listings.push_back(boost::fibers::async([&readListing, listing] { readListing(listing); }));
    }
    for (auto& listing : listings)
        listing.get();
    return !ended.load();
}

void NodeCore::loadCell()
{
    m_loadDeadline.begin(Clock::now());
    logEvent(LogLevel::Info, "cell_load_began", { { "fencing_token", m_election.fencingToken() }, { "processor_share", m_settings.processorShare }, { "link_mbps", m_settings.linkMbps } });
    m_components.outbound->runFiber([this, ended = m_ownershipEnded, reading = m_reading, began = Clock::now()] {
        const auto onPage = [this] { m_components.outbound->postToCore([this] { m_loadDeadline.onPage(); }); };
        if (!readCell(*m_components.outbound, *reading, *ended, onPage))
            return;
        const auto readAt = Clock::now();
        cell::StateLog log({ maxStateWrites });
        for (const auto& key : log.load(reading->state(), reading->records()))
            logEvent(LogLevel::Error, "state_record_unreadable", { { "key", key } });
        auto jobs = pairJobs(reading->state());
        const auto milliseconds = [](Duration time) { return std::chrono::duration_cast<Milliseconds>(time).count(); };
        Json load { { "jobs", jobs.size() }, { "log_records", log.records() }, { "pages", reading->pages() }, { "bytes", reading->bytes() }, { "read_ms", milliseconds(readAt - began) }, { "decode_ms", milliseconds(Clock::now() - readAt) } };
        const auto headRevision = reading->headRevision();
        *reading = {};
        m_components.outbound->postToCore([this, ended, headRevision, log = std::move(log), jobs = std::move(jobs), load = std::move(load)]() mutable {
            if (ended->load())
                return;
            m_headRevision = headRevision;
            adoptCell(std::move(log), jobs, std::move(load));
        });
    });
}

void NodeCore::adoptCell(cell::StateLog log, const std::vector<cell::StoredJob>& jobs, Json load)
{
    m_stateLog = std::move(log);
    cell::CellLimits limits;
    limits.leases = leaseLimits(m_settings);
    limits.jobRetention = m_settings.jobRetention + Seconds(10);
    limits.spreadFactor = m_settings.spreadFactor;
    limits.hasEvacuations = m_settings.evacuationBound.count() > 0;
    const auto inheritedLeaseEnd = m_election.predecessorsEnd() + cell::inheritedLease(limits.leases);
    const auto began = Clock::now();
    m_scheduler = std::make_unique<cell::CellDesk>(limits, inheritedLeaseEnd);
    if (m_policy)
        m_scheduler->setPolicy(m_policy);
    updateAdvisers();
    m_scheduler->load(jobs, now());
    if (m_isRegistryKnown)
        applyRegistry();
    if (m_evacuatedDomains)
        m_scheduler->setEvacuatedDomains(*m_evacuatedDomains, now());
    m_loadDeadline.onLoaded();
    load["apply_ms"] = std::chrono::duration_cast<Milliseconds>(Clock::now() - began).count();
    load["took_ms"] = std::chrono::duration_cast<Milliseconds>(Clock::now() - m_ownedSince).count();
    logEvent(LogLevel::Info, "cell_loaded", std::move(load));
    m_metrics.count("cell_loads", "loaded");
    m_ownedSince = Clock::now();
    sendHelloToAll();
    schedulePass();
}

void NodeCore::applyRegistry()
{
    std::vector<cell::VmReport> reports;
    reports.reserve(m_registry.size());
    for (const auto& [id, report] : m_registry)
        reports.push_back(report);
    m_scheduler->setVms(reports, now());
}

void NodeCore::watchRegistry()
{
    /// A large fleet reports many times a second; a draining VM may get new runs for this time longer.
    constexpr Milliseconds registryPause { 100 };
    m_components.outbound->runFiber([this, ended = m_ownershipEnded, registryPause] {
        VmRegistry registry;
        PrefixWatch watch { platform::vmRegistryPrefix, "registry", {}, {}, registryPause, [ended] { return ended->load(); } };
        watch.onItems = [this, ended, &registry](const auto& items, bool isComplete) {
            if (!registry.apply(items, isComplete) && !isComplete)
                return;
            m_components.outbound->postToCore([this, ended, reports = registry.reports()]() mutable {
                if (ended->load())
                    return;
                m_registry = std::move(reports);
                m_isRegistryKnown = true;
                if (m_scheduler)
                    applyRegistry();
                schedulePass();
            });
        };
        followPrefix(*m_components.outbound, watch);
    });
}

void NodeCore::watchEvacuations()
{
    m_components.outbound->runFiber([this, ended = m_ownershipEnded] {
        std::set<std::string> domains;
        PrefixWatch watch { platform::evacuationPrefix, "evacuations", {}, {}, Milliseconds(0), [ended] { return ended->load(); } };
        // While the store does not respond, the domains that it told of last remain evacuated.
        watch.onItems = [this, ended, &domains](const auto& items, bool isComplete) {
            const auto before = domains;
            if (isComplete)
                domains.clear();
            for (const auto& item : items) {
                auto domain = platform::evacuatedDomainOfKey(item.key);
                if (item.deleted)
                    domains.erase(domain);
                else
                    domains.insert(std::move(domain));
            }
            for (const auto& domain : domains) {
                if (!before.contains(domain))
                    logEvent(LogLevel::Info, "evacuation_asked", { { "failure_domain", domain } });
            }
            m_components.outbound->postToCore([this, ended, domains] {
                if (ended->load())
                    return;
                m_evacuatedDomains = domains;
                if (m_scheduler)
                    m_scheduler->setEvacuatedDomains(domains, now());
                schedulePass();
            });
        };
        followPrefix(*m_components.outbound, watch);
    });
}

/// Retries one transaction of a commit until the store confirms it, and returns its revision;
/// nullopt when the ownership is lost.
static std::optional<std::uint64_t> commitPart(NodeOutbound& outbound, const platform::StoreTransaction& transaction, const std::string& nonce, const std::atomic<bool>& ended)
{
    Backoff backoff;
    for (;;) {
        const auto result = outbound.store().commit(transaction);
        if (ended.load())
            return std::nullopt;
        if (result.outcome == platform::TransactionOutcome::Done)
            return result.revision;
        if (result.outcome == platform::TransactionOutcome::Refused) {
            // The head key holds this nonce if an earlier attempt was applied and its response lost.
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
    m_components.outbound->runFiber([this, ended = m_ownershipEnded, batches = m_stateLog.append(commit.writes), head = m_headRevision, fencingToken = m_election.fencingToken()]() mutable {
        bool isDone = true;
        for (auto batch = batches.begin(); batch != batches.end() && isDone; ++batch) {
            const auto nonce = randomToken(8);
            platform::StoreTransaction transaction;
            transaction.conditions = { { ownerKey, fencingToken }, { headKey, head } };
            transaction.writes.push_back({ headKey, nonce, 0 });
            for (auto& write : batch->writes)
                transaction.writes.push_back({ std::move(write.key), std::move(write.value), 0 });
            transaction.removals = std::move(batch->removals);
            const auto revision = commitPart(*m_components.outbound, transaction, nonce, *ended);
            isDone = revision.has_value();
            head = revision.value_or(head);
        }
        m_components.outbound->postToCore([this, ended, isDone, head] {
            if (ended->load() || !m_scheduler)
                return;
            if (!isDone) {
                m_election.depose("the store refused a commit", Clock::now());
            } else {
                m_headRevision = head;
                m_scheduler->onCommitted(now());
            }
            schedulePass();
        });
    });
}

} // namespace heatherchute
