#include "Client.h"

#include <future>
#include <iostream>

namespace heatherchute::cli {

Client::Client(CommonOptions options)
    : m_options(std::move(options))
    , m_duty("client")
    , m_http(std::make_unique<HttpClient>(m_duty))
{
}

Client::~Client()
{
    // Connections belong to the duty's thread.
    std::promise<void> closed;
    m_duty.spawn([this, &closed] {
        m_http.reset();
        closed.set_value();
    });
    closed.get_future().wait();
}

Result<HttpResponse> Client::call(HttpRequest request, Milliseconds timeout)
{
    if (!m_options.key.empty())
        request.headers.push_back({ "Authorization", "Bearer " + m_options.key });
    std::promise<Result<HttpResponse>> answered;
    m_duty.spawn([&] {
        Result<HttpResponse> result = ErrorKind::NoEndpoint;
        for (const auto& server : m_options.servers) {
            result = m_http->call(server, request, { timeout });
            // Only what was surely not sent may be sent to another.
            if (result || result.error() != ErrorKind::NoEndpoint)
                break;
        }
        answered.set_value(std::move(result));
    });
    return answered.get_future().get();
}

Exit refuse(std::string_view reason)
{
    std::cerr << "heatherchute: " << reason << '\n';
    return Exit::Usage;
}

static Exit exitOf(const Json& body)
{
    return body.value("outcome", "") == outcomeName(Outcome::NotRun) ? Exit::NotRun : Exit::Unknown;
}

static Exit showError(const HttpResponse& response)
{
    const auto body = Json::parse(response.body, nullptr, false);
    if (!body.is_object()) {
        std::cerr << "heatherchute: the answer has status " << response.status << '\n';
        return Exit::Unknown;
    }
    std::cerr << "heatherchute: " << body.value("error", "error") << ": " << body.value("message", "") << " (" << body.value("outcome", "unknown") << ")\n";
    if (body.contains("detail"))
        std::cerr << "  " << body["detail"].get<std::string>() << '\n';
    for (const auto& finding : body.value("findings", Json::array()))
        std::cerr << "  " << finding.value("field", "") << ": " << finding.value("reason", "") << '\n';
    return exitOf(body);
}

static std::string cell(const Json& value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

static void printTable(const Json& items)
{
    if (items.empty()) {
        std::cout << "none\n";
        return;
    }
    std::vector<std::string> columns;
    for (const auto& [name, value] : items.front().items())
        columns.push_back(name);
    for (const auto& column : columns)
        std::cout << column << '\t';
    std::cout << '\n';
    for (const auto& item : items) {
        for (const auto& column : columns)
            std::cout << (item.contains(column) ? cell(item[column]) : "-") << '\t';
        std::cout << '\n';
    }
}

void print(const Json& value, bool asJson)
{
    if (asJson || !value.is_object()) {
        std::cout << value.dump(2) << '\n';
        return;
    }
    for (const auto& [name, field] : value.items()) {
        if (name == "items" && field.is_array())
            printTable(field);
        else if (!(name == "missing" && field.empty()))
            std::cout << name << ": " << cell(field) << '\n';
    }
}

Exit show(const Client& client, const Result<HttpResponse>& result)
{
    if (!result) {
        const auto kind = errorKind(result.error());
        std::cerr << "heatherchute: " << (kind == ErrorKind::NoEndpoint ? "no entry VM can be reached" : "no whole answer came: it may have run") << '\n';
        return kind == ErrorKind::NoEndpoint ? Exit::Unreachable : Exit::Unknown;
    }
    const auto& response = result.value();
    if (response.status >= 400)
        return showError(response);
    const auto body = Json::parse(response.body, nullptr, false);
    if (body.is_discarded())
        std::cout << response.body;
    else
        print(body, client.options().json);
    return Exit::Done;
}

} // namespace heatherchute::cli
