#include "Outside.h"

namespace heatherchute {

static constexpr std::size_t inboxCapacity = 16'384;
static constexpr Milliseconds endpointTimeout { 2000 };

Outside::Outside(const DaemonSettings& settings, std::function<bool(CoreEvent&)> toCore)
    : m_duty("outside")
    , m_client(m_duty)
    , m_store(m_client, settings.store)
    , m_vmList(m_client, settings.vmList)
    , m_endpoint(m_client)
    , m_toCore(std::move(toCore))
    , m_inbox(m_duty, inboxCapacity, [this](OutsideOrder&& order) { handle(std::move(order)); })
{
}

void Outside::handle(OutsideOrder&& order)
{
    boost::fibers::fiber([this, order = std::move(order)] {
        std::visit([this](const auto& typed) { run(typed); }, order);
    }).detach();
}

void Outside::report(CoreEvent event)
{
    while (!m_toCore(event))
        sleepFiber(m_duty.io(), Milliseconds(1));
}

Result<void> Outside::reachStore() const
{
    if (m_isCut)
        return ErrorKind::StoreUnavailable;
    return boost::outcome_v2::success();
}

void Outside::run(const CutPlatform& order)
{
    m_isCut = order.cut;
}

void Outside::run(const ReadJournal& order)
{
    if (const auto reached = reachStore(); !reached)
        return report(JournalRead { order.shard, reached.error() });
    const auto entries = m_store.list(journalPrefix(order.shard));
    if (!entries)
        return report(JournalRead { order.shard, entries.error() });
    std::vector<JournalEntry> decoded;
    for (const auto& stored : entries.value()) {
        auto entry = decodeEntry(stored.value);
        if (!entry) {
            logEvent(LogLevel::Error, "journal_unreadable", { { "key", stored.key } });
            return report(JournalRead { order.shard, entry.error() });
        }
        decoded.push_back(std::move(entry.value()));
    }
    report(JournalRead { order.shard, std::move(decoded) });
}

void Outside::run(const AppendJournal& order)
{
    const auto key = journalKey(order.shard, order.entry.sequence);
    auto outcome = AppendOutcome::Unknown;
    if (reachStore()) {
        const auto written = m_store.compareAndPut({ { key, encodeEntry(order.entry), 0 } });
        if (written && written.value())
            outcome = AppendOutcome::Written;
        else if (written || written.error() == ErrorKind::OutcomeUnknown) {
            // Either an earlier try of ours took effect, or another home was first.
            const auto stored = m_store.get(key);
            if (stored && stored.value()) {
                const auto entry = decodeEntry(stored.value()->value);
                outcome = entry && entry.value().nonce == order.entry.nonce ? AppendOutcome::Written : AppendOutcome::Taken;
            }
        }
    }
    report(JournalAppended { order.shard, order.entry.sequence, outcome });
}

void Outside::run(const TrimJournal& order)
{
    const auto entries = m_store.list(journalPrefix(order.shard));
    if (!entries)
        return;
    const auto end = journalKey(order.shard, order.below);
    constexpr std::size_t deletesAtOnce = 64;
    std::vector<StoreWrite> deletes;
    for (const auto& entry : entries.value()) {
        if (entry.key >= end)
            break;
        deletes.push_back({ entry.key, std::nullopt, entry.revision });
        if (deletes.size() < deletesAtOnce)
            continue;
        if (!m_store.compareAndPut(deletes))
            return;
        deletes.clear();
    }
    if (!deletes.empty())
        (void)m_store.compareAndPut(deletes);
}

void Outside::run(const FetchVmList&)
{
    if (const auto reached = reachStore(); !reached)
        return report(VmListFetched { reached.error() });
    report(VmListFetched { m_vmList.fetch() });
}

void Outside::run(const LeaseCall& order)
{
    const auto sentAt = Clock::now();
    auto answer = m_endpoint.lease(order.address, order.ask, endpointTimeout);
    report(LeaseEnded { order.vm, order.ask, sentAt, std::move(answer) });
}

void Outside::run(const StartCall& order)
{
    // A daemon that was paused must not act on what it owned before.
    if (Clock::now() >= order.sendBefore)
        return report(StartEnded { order.vm, order.start.task.id, ErrorKind::NoEndpoint });
    const auto started = m_endpoint.start(order.address, order.start, endpointTimeout);
    report(StartEnded { order.vm, order.start.task.id, started ? std::error_code() : started.error() });
}

void Outside::run(const OrderCall& order)
{
    // Not repeated here: the owner asks again while the task goes on.
    (void)m_endpoint.order(order.address, order.task, order.ownerEpoch, order.order, endpointTimeout);
}

void Outside::run(const DispatchCall& order)
{
    const auto start = Clock::now();
    if (start >= order.slot.sendBefore)
        return report(DispatchEnded { order.call, order.slot.vm, ErrorKind::Fenced, {} });
    if (start >= order.deadline)
        return report(DispatchEnded { order.call, order.slot.vm, ErrorKind::DeadlineBeforeRun, {} });
    auto request = *order.request;
    request.headers.push_back({ "Heatherchute-Epoch", std::to_string(order.slot.ownerEpoch) });
    request.headers.push_back({ "Heatherchute-Boot", order.slot.boot });
    request.headers.push_back({ "Heatherchute-Request", std::to_string(order.call) });
    auto result = m_endpoint.request(order.slot.address, request, std::chrono::duration_cast<Milliseconds>(order.deadline - start));
    const bool isFenced = result && result.value().status == errorAnswer(ErrorKind::Fenced).httpStatus
        && result.value().body.find("\"fenced\"") != std::string::npos
        && findHeader(result.value().headers, "Heatherchute-Outcome") == outcomeName(Outcome::NotRun);
    if (isFenced)
        result = ErrorKind::Fenced;
    report(DispatchEnded { order.call, order.slot.vm, std::move(result), Clock::now() - start });
}

} // namespace heatherchute
