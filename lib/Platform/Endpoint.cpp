#include "heatherchute/Platform.h"

namespace heatherchute {

/// Largest service response that is forwarded, in bytes.
static constexpr std::size_t maxServiceResponseBytes = 4U << 20;

HttpVmList::HttpVmList(HttpClient& client, Address address)
    : m_client(client)
    , m_address(std::move(address))
{
}

/// Parses a JSON message, whose absent fields get their defaults; BadJson if it is malformed or a
/// field has the wrong type.
template <typename Message>
static Result<Message> parseMessage(const std::string& body)
{
    const auto json = Json::parse(body, nullptr, false);
    if (json.is_discarded())
        return ErrorKind::BadJson;
    try {
        return json.get<Message>();
    } catch (const Json::exception&) {
        return ErrorKind::BadJson;
    }
}

Result<std::vector<VmInfo>> HttpVmList::fetch()
{
    HttpRequest request { "GET", "/v1/vms", {}, {} };
    if (!m_entityTag.empty())
        request.headers.push_back({ "If-None-Match", m_entityTag });
    const auto response = m_client.call(m_address, request, {});
    if (!response)
        return response.error();
    constexpr unsigned notModified = 304;
    if (response.value().status == notModified)
        return m_cachedVms;
    if (response.value().status != 200)
        return ErrorKind::StoreUnavailable;
    auto vms = parseMessage<std::vector<VmInfo>>(response.value().body);
    if (vms) {
        m_cachedVms = vms.value();
        m_entityTag = std::string(findHeader(response.value().headers, "ETag"));
    }
    return vms;
}

HttpEndpoint::HttpEndpoint(HttpClient& client)
    : m_client(client)
{
}

Result<OwnerLeaseAnswer> HttpEndpoint::lease(const Address& address, const OwnerLeaseAsk& request, Milliseconds timeout)
{
    const auto response = m_client.call(address, { "PUT", "/v1/owner", {}, withoutDefaults(request).dump() }, { timeout, 4U << 20 });
    if (!response)
        return response.error();
    if (response.value().status != 200)
        return ErrorKind::NoEndpoint;
    return parseMessage<OwnerLeaseAnswer>(response.value().body);
}

Result<void> HttpEndpoint::start(const Address& address, const TaskStart& start, Milliseconds timeout)
{
    const HttpRequest request { "PUT", "/v1/tasks/" + start.task.id, {}, Json(start).dump() };
    const auto response = m_client.call(address, request, { timeout, 64U << 10 });
    if (!response)
        return response.error();
    switch (response.value().status) {
    case 200:
    case 201:
        return boost::outcome_v2::success();
    case 409:
        return ErrorKind::Fenced;
    case 507:
        return ErrorKind::NeverRunnable;
    default:
        return ErrorKind::OutcomeUnknown;
    }
}

static const char* commandPath(TaskOrder command)
{
    switch (command) {
    case TaskOrder::Stop:
        return "/stop";
    case TaskOrder::Checkpoint:
        return "/checkpoint";
    case TaskOrder::Throttle:
        return "/throttle";
    }
    return "/";
}

Result<void> HttpEndpoint::order(const Address& address, const std::string& task, std::uint64_t ownerEpoch, TaskOrder command, Milliseconds timeout)
{
    const Json body { { "ownerEpoch", ownerEpoch } };
    const HttpRequest request { "POST", "/v1/tasks/" + task + commandPath(command), {}, body.dump() };
    const auto response = m_client.call(address, request, { timeout, 64U << 10 });
    if (!response)
        return response.error();
    if (response.value().status == 200)
        return boost::outcome_v2::success();
    return ErrorKind::Fenced;
}

Result<HttpResponse> HttpEndpoint::request(const Address& address, const HttpRequest& request, Milliseconds timeout)
{
    return m_client.call(address, request, { timeout, maxServiceResponseBytes });
}

} // namespace heatherchute
