/// The fleet document and the limits of teams in the store.
#include "Outside.h"

namespace heatherchute {

static const std::string fleetKey = "heatherchute/fleet";
static const std::string versionKey = "heatherchute/version";
static const std::string historyPrefix = "heatherchute/history/";
static const std::string limitPrefix = "heatherchute/limits/";
/// Versions kept for `config history`.
static constexpr std::uint64_t historyLength = 100;
/// A lower limit is refused when what is held does not come down to it in this time.
static constexpr Seconds lowerLimitWait { 8 };
static constexpr Milliseconds limitPoll { 250 };
static constexpr int maxWriteTries = 20;

/// Reads a document of ours; BadJson when somebody else wrote there.
template <typename Document>
static Result<Document> parseStored(const std::string& text)
{
    try {
        return Json::parse(text).get<Document>();
    } catch (const Json::exception&) {
        return ErrorKind::BadJson;
    }
}

static std::string historyKey(std::uint64_t version)
{
    // Fixed width, so that the order of keys is the order of versions.
    const auto digits = std::to_string(version);
    return historyPrefix + std::string(20 - digits.size(), '0') + digits;
}

void Outside::run(const PollFleet&)
{
    const auto asked = Clock::now();
    if (const auto reached = reachStore(); !reached)
        return report(FleetPolled { asked, reached.error() });
    const auto entry = m_store.get(versionKey);
    if (!entry)
        return report(FleetPolled { asked, entry.error() });
    const auto version = entry.value() ? std::strtoull(entry.value()->value.c_str(), nullptr, 10) : 0;
    report(FleetPolled { asked, std::uint64_t(version) });
}

Result<FleetDocument> Outside::readFleet()
{
    if (const auto reached = reachStore(); !reached)
        return reached.error();
    const auto entry = m_store.get(fleetKey);
    if (!entry)
        return entry.error();
    if (!entry.value())
        return FleetDocument {};
    return parseStored<FleetDocument>(entry.value()->value);
}

void Outside::run(const FetchFleet&)
{
    const auto asked = Clock::now();
    report(FleetFetched { asked, readFleet() });
}

void Outside::run(const ReadHistory& order)
{
    if (const auto reached = reachStore(); !reached)
        return report(HistoryRead { order.call, reached.error() });
    const auto entries = m_store.list(historyPrefix);
    if (!entries)
        return report(HistoryRead { order.call, entries.error() });
    std::vector<FleetDocument> documents;
    for (const auto& entry : entries.value()) {
        if (auto document = parseStored<FleetDocument>(entry.value))
            documents.push_back(std::move(document.value()));
    }
    report(HistoryRead { order.call, std::move(documents) });
}

Result<LimitRecord> Outside::changeLimit(const std::string& team, const std::function<void(LimitRecord&)>& change, const std::function<bool(const LimitRecord&)>& isDone)
{
    const auto key = limitPrefix + team;
    for (int tries = 0; tries < maxWriteTries; ++tries) {
        if (const auto reached = reachStore(); !reached)
            return reached.error();
        const auto entry = m_store.get(key);
        if (!entry)
            return entry.error();
        LimitRecord record;
        if (entry.value()) {
            auto parsed = parseStored<LimitRecord>(entry.value()->value);
            if (!parsed)
                return parsed.error();
            record = std::move(parsed.value());
        }
        // After a lost answer this tells that the write took effect after all.
        if (tries > 0 && isDone(record))
            return record;
        const auto before = Json(record);
        change(record);
        if (Json(record) == before)
            return record;
        const auto written = m_store.compareAndPut({ { key, Json(record).dump(), entry.value() ? entry.value()->revision : 0 } });
        if (written && written.value())
            return record;
        if (!written && written.error() != ErrorKind::OutcomeUnknown)
            return written.error();
    }
    return ErrorKind::Conflict;
}

void Outside::run(const AllotmentChange& order)
{
    const auto record = changeLimit(
        order.team, [&order](LimitRecord& current) { applyAllotment(current, order); },
        [&order](const LimitRecord& current) {
            const auto held = current.held.find(order.holder);
            return held != current.held.end() && held->second.change == order.change;
        });
    if (!record)
        return report(AllotmentChanged { order, record.error() });
    const auto held = record.value().held.find(order.holder);
    const std::uint32_t count = held == record.value().held.end() ? 0 : held->second.count;
    report(AllotmentChanged { order, count });
}

Result<void> Outside::lowerLimits(const WriteFleet& order, std::string& detail)
{
    for (const auto& [team, limit] : order.loweredLimits) {
        const auto version = order.document.version;
        const auto setCap = [limit = limit, version](LimitRecord& record) {
            record.cap = limit;
            record.capVersion = version;
        };
        const auto isSet = [version](const LimitRecord& record) { return record.capVersion == version; };
        const auto until = Clock::now() + lowerLimitWait;
        for (;;) {
            const auto record = changeLimit(team, setCap, isSet);
            if (!record)
                return record.error();
            if (record.value().total() <= limit)
                break;
            if (Clock::now() >= until) {
                detail = "team " + team + " still has " + std::to_string(record.value().total()) + " running or allotted, more than the new limit "
                    + std::to_string(limit) + "; cancel work, or wait for domains that are cut off";
                (void)changeLimit(
                    team, [](LimitRecord& current) { current.cap = 0, current.capVersion = 0; }, [](const LimitRecord& current) { return current.capVersion == 0; });
                return ErrorKind::BadConfiguration;
            }
            sleepFiber(m_duty.io(), limitPoll);
        }
    }
    return boost::outcome_v2::success();
}

FleetWritten Outside::writeFleet(const WriteFleet& order)
{
    FleetWritten result { order.call, order.document, ErrorKind::None, {} };
    const auto failWith = [&result](ErrorKind kind) {
        result.error = kind;
        return result;
    };
    if (!reachStore())
        return failWith(ErrorKind::StoreUnavailable);
    const auto current = m_store.get(fleetKey);
    if (!current)
        return failWith(ErrorKind::StoreUnavailable);
    const auto version = m_store.get(versionKey);
    if (!version)
        return failWith(ErrorKind::StoreUnavailable);
    const auto& next = order.document;
    const auto newest = version.value() ? std::strtoull(version.value()->value.c_str(), nullptr, 10) : 0;
    if (newest + 1 != next.version)
        return failWith(ErrorKind::Conflict);
    if (const auto lowered = lowerLimits(order, result.detail); !lowered)
        return failWith(errorKind(lowered.error()) == ErrorKind::BadConfiguration ? ErrorKind::BadConfiguration : ErrorKind::StoreUnavailable);

    const auto revisionOf = [](const std::optional<StoreEntry>& entry) { return entry ? entry->revision : 0; };
    const auto text = Json(next).dump();
    const auto written = m_store.compareAndPut({ { fleetKey, text, revisionOf(current.value()) },
        { versionKey, std::to_string(next.version), revisionOf(version.value()) }, { historyKey(next.version), text, 0 } });
    if (written)
        return written.value() ? result : failWith(ErrorKind::Conflict);
    if (written.error() != ErrorKind::OutcomeUnknown)
        return failWith(ErrorKind::StoreUnavailable);
    // The answer was lost: what the history holds under our version tells whose write it was.
    const auto stored = m_store.get(historyKey(next.version));
    if (!stored)
        return failWith(ErrorKind::OutcomeUnknown);
    if (stored.value())
        return stored.value()->value == text ? result : failWith(ErrorKind::Conflict);
    return failWith(ErrorKind::OutcomeUnknown);
}

void Outside::run(const WriteFleet& order)
{
    auto result = writeFleet(order);
    const bool succeeded = result.error == ErrorKind::None;
    report(std::move(result));
    if (!succeeded || order.document.version <= historyLength)
        return;
    const auto old = m_store.get(historyKey(order.document.version - historyLength));
    if (old && old.value())
        (void)m_store.compareAndPut({ { old.value()->key, std::nullopt, old.value()->revision } });
}

void Outside::run(const ListHolders&)
{
    if (const auto reached = reachStore(); !reached)
        return report(HoldersListed { reached.error() });
    const auto entries = m_store.list(limitPrefix);
    if (!entries)
        return report(HoldersListed { entries.error() });
    std::set<std::string> holders;
    for (const auto& entry : entries.value()) {
        const auto record = parseStored<LimitRecord>(entry.value);
        if (!record)
            continue;
        for (const auto& [holder, allotment] : record.value().held)
            holders.insert(holder);
    }
    report(HoldersListed { std::vector<std::string>(holders.begin(), holders.end()) });
}

void Outside::run(const ReclaimAllotments& order)
{
    const auto entries = m_store.list(limitPrefix);
    if (!entries)
        return;
    for (const auto& entry : entries.value()) {
        const auto team = entry.key.substr(limitPrefix.size());
        (void)changeLimit(
            team, [&order](LimitRecord& record) {
                for (const auto& holder : order.holders)
                    record.held.erase(holder); },
            [](const LimitRecord&) { return false; });
    }
}

} // namespace heatherchute
