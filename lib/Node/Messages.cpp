#include "Messages.h"

#include <algorithm>
#include <stdexcept>

namespace heatherchute {

// Commands and results are most of the traffic between daemons, so they are encoded as arrays without
// field names.

/// Decodes an enumerator that was sent as a number. Throws std::range_error if it is past `last`.
template <typename Enum>
static Enum decodeEnum(const Json& json, Enum last)
{
    const auto number = json.get<std::int64_t>();
    if (number < 0 || number > static_cast<std::int64_t>(last))
        throw std::range_error("enumerator out of range");
    return static_cast<Enum>(number);
}

void to_json(Json& json, const VmCommand& command)
{
    json = Json::array({ command.id, static_cast<int>(command.kind), command.vm, command.address });
    switch (command.kind) {
    case VmCommandKind::Start:
        json.insert(json.end(), { command.task, command.run, command.payload, command.deadlineMs, command.checkpoint, command.ticket });
        return;
    case VmCommandKind::Stop:
        json.insert(json.end(), { command.task, command.run });
        return;
    case VmCommandKind::Heartbeat:
        json.insert(json.end(), { command.deadlineMs, command.acknowledged, command.waitMs });
        return;
    }
}

void from_json(const Json& json, VmCommand& command)
{
    command.id = json.at(0);
    command.kind = decodeEnum(json.at(1), VmCommandKind::Heartbeat);
    command.vm = json.at(2);
    command.address = json.at(3);
    if (command.kind == VmCommandKind::Heartbeat) {
        command.deadlineMs = json.at(4);
        command.acknowledged = json.at(5);
        command.waitMs = json.at(6);
        return;
    }
    command.task = json.at(4);
    command.run = json.at(5);
    if (command.kind == VmCommandKind::Stop)
        return;
    command.payload = json.at(6);
    command.deadlineMs = json.at(7);
    command.checkpoint = json.at(8);
    command.ticket = json.at(9);
}

static Json encodeState(const cell::VmState& state)
{
    auto running = Json::array();
    for (const auto& row : state.running)
        running.push_back({ cell::taskText(row.task), row.run, row.checkpoint });
    auto finished = Json::array();
    for (const auto& row : state.finished)
        finished.push_back({ row.number, cell::taskText(row.task), row.run, static_cast<int>(row.end), row.checkpoint });
    return Json::array({ state.clockMs, state.incarnation, std::move(running), std::move(finished), state.areAllEndsListed });
}

static cell::TaskId decodeTask(const Json& json)
{
    return cell::parseTaskId(json.get_ref<const std::string&>()).value_or(cell::TaskId());
}

static cell::VmState decodeState(const Json& json)
{
    cell::VmState state;
    state.clockMs = json.at(0);
    state.incarnation = json.at(1);
    for (const auto& row : json.at(2))
        state.running.push_back({ decodeTask(row.at(0)), row.at(1), row.at(2), 0 });
    for (const auto& row : json.at(3))
        state.finished.push_back({ row.at(0), decodeTask(row.at(1)), row.at(2), decodeEnum(row.at(3), cell::RunEnd::Alone), row.at(4) });
    // Earlier versions of this software don't send it.
    state.areAllEndsListed = json.size() <= 4 || json.at(4).get<bool>();
    return state;
}

void to_json(Json& json, const VmResult& result)
{
    json = Json::array({ result.id, static_cast<int>(result.outcome), static_cast<int>(result.answer) });
    if (result.state)
        json.push_back(encodeState(*result.state));
}

void from_json(const Json& json, VmResult& result)
{
    result.id = json.at(0);
    result.outcome = decodeEnum(json.at(1), platform::OrderOutcome::Unknown);
    result.answer = decodeEnum(json.at(2), cell::StartAnswer::Unknown);
    if (json.size() > 3)
        result.state = decodeState(json.at(3));
}

void to_json(Json& json, const VmResults& results)
{
    // Apart from the results, as earlier versions of this software read a fourth element as the VM's state.
    auto clocks = Json::array();
    for (const auto& result : results.results) {
        if (result.clockMs > 0)
            clocks.push_back({ result.id, result.clockMs });
    }
    json = { { "results", results.results }, { "clocks", std::move(clocks) } };
}

void from_json(const Json& json, VmResults& results)
{
    results.results = json.value("results", std::vector<VmResult>());
    std::map<std::uint64_t, std::int64_t> clocks;
    for (const auto& row : json.value("clocks", Json::array()))
        clocks.emplace(row.at(0), row.at(1));
    for (auto& result : results.results) {
        if (const auto clock = clocks.find(result.id); clock != clocks.end())
            result.clockMs = clock->second;
    }
}

std::string encodePeerMessage(const PeerMessage& message)
{
    return encodeCbor(toTagged(message));
}

/// Longest time-out that a peer may ask for, in milliseconds.
static constexpr std::uint64_t maxTimeoutMs = 60'000;
/// Latest time on a daemon's clock, in milliseconds since its machine's start: 30,000 years.
static constexpr std::int64_t maxClockMs = 1'000'000'000'000'000;
/// Longest validity of a ticket, in milliseconds: four months, as for durations of the configuration.
static constexpr std::uint64_t maxValidityMs = 10'000'000'000;

// Each overload returns true if the values of a decoded message lie within their bounds.

template <typename Message>
static bool isInBounds(const Message&)
{
    return true;
}

static bool isInBounds(const OwnerRequest& request)
{
    return request.kind <= OwnerRequestKind::CountPending && cell::hasValidOrder(request.spec);
}

static bool isInBounds(const OwnerResponse& response)
{
    return response.error <= ErrorKind::Internal && response.phase <= cell::JobPhase::Cancelled;
}

static bool isInBounds(const AdviceRequest& request)
{
    return request.timeoutMs <= maxTimeoutMs && request.costMs <= maxTimeoutMs;
}

static bool isInBounds(const AdviceResponse& response)
{
    return response.validityMs <= maxValidityMs && response.waitMs <= maxTimeoutMs;
}

static bool isInBounds(const PeerHello& hello)
{
    return hello.clockMs >= 0 && hello.clockMs <= maxClockMs;
}

static bool isInBounds(const VmCommands& commands)
{
    return commands.issuedAtMs >= 0 && commands.issuedAtMs <= maxClockMs && std::all_of(commands.orders.begin(), commands.orders.end(), [](const VmCommand& command) { return command.waitMs <= maxTimeoutMs; });
}

static bool isInBounds(const VmResults& results)
{
    return std::all_of(results.results.begin(), results.results.end(), [](const VmResult& result) { return result.clockMs >= 0 && result.clockMs <= maxClockMs; });
}

Result<PeerMessage> decodePeerMessage(const std::string& bytes)
{
    const auto document = decodeCbor(bytes);
    if (!document)
        return ErrorKind::BadJson;
    auto message = fromTagged<PeerMessage>(*document);
    if (message && !std::visit([](const auto& typed) { return isInBounds(typed); }, message.value()))
        return ErrorKind::BadJson;
    return message;
}

} // namespace heatherchute
