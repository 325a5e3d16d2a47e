#include "Messages.h"

namespace heatherchute {

// Commands and results are most of the traffic between daemons, so they are encoded as arrays without
// field names.

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
    command.kind = static_cast<VmCommandKind>(json.at(1).get<int>());
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
    return Json::array({ state.clockMs, state.incarnation, std::move(running), std::move(finished) });
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
        state.finished.push_back({ row.at(0), decodeTask(row.at(1)), row.at(2), static_cast<cell::RunEnd>(row.at(3).get<int>()), row.at(4) });
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
    result.outcome = static_cast<platform::OrderOutcome>(json.at(1).get<int>());
    result.answer = static_cast<cell::StartAnswer>(json.at(2).get<int>());
    if (json.size() > 3)
        result.state = decodeState(json.at(3));
}

std::string encodePeerMessage(const PeerMessage& message)
{
    std::string bytes;
    Json::to_cbor(toTagged(message), bytes);
    return bytes;
}

Result<PeerMessage> decodePeerMessage(const std::string& bytes)
{
    const auto json = Json::from_cbor(bytes, true, false);
    return json.is_discarded() ? Result<PeerMessage>(ErrorKind::BadJson) : fromTagged<PeerMessage>(json);
}

} // namespace heatherchute
