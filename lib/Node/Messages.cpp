#include "Messages.h"

namespace heatherchute {

// Orders and results are the bulk of what daemons say, so they travel as rows without names.

void to_json(Json& json, const VmOrder& order)
{
    json = Json::array({ order.id, static_cast<int>(order.kind), order.vm, order.address });
    switch (order.kind) {
    case VmOrderKind::Start:
        json.insert(json.end(), { order.task, order.run, order.payload, order.deadlineMs, order.checkpoint, order.ticket });
        return;
    case VmOrderKind::Stop:
        json.insert(json.end(), { order.task, order.run });
        return;
    case VmOrderKind::Heartbeat:
        json.insert(json.end(), { order.deadlineMs, order.acknowledged, order.waitMs });
        return;
    }
}

void from_json(const Json& json, VmOrder& order)
{
    order.id = json.at(0);
    order.kind = static_cast<VmOrderKind>(json.at(1).get<int>());
    order.vm = json.at(2);
    order.address = json.at(3);
    if (order.kind == VmOrderKind::Heartbeat) {
        order.deadlineMs = json.at(4);
        order.acknowledged = json.at(5);
        order.waitMs = json.at(6);
        return;
    }
    order.task = json.at(4);
    order.run = json.at(5);
    if (order.kind == VmOrderKind::Stop)
        return;
    order.payload = json.at(6);
    order.deadlineMs = json.at(7);
    order.checkpoint = json.at(8);
    order.ticket = json.at(9);
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
