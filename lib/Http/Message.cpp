#include "heatherchute/Http.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <cctype>
#include <charconv>

namespace heatherchute {

static bool equalsIgnoreCase(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](unsigned char a, unsigned char b) {
        return std::tolower(a) == std::tolower(b);
    });
}

std::string_view findHeader(const std::vector<HttpHeader>& headers, std::string_view name)
{
    for (const auto& header : headers) {
        if (equalsIgnoreCase(header.name, name))
            return header.value;
    }
    return {};
}

bool isHopHeader(std::string_view name)
{
    static constexpr std::string_view hopHeaders[] { "connection", "keep-alive", "transfer-encoding", "content-length",
        "te", "trailer", "upgrade", "proxy-connection", "host", "expect" };
    return std::any_of(std::begin(hopHeaders), std::end(hopHeaders), [name](std::string_view hopHeader) {
        return equalsIgnoreCase(hopHeader, name);
    });
}

HttpResponse jsonResponse(unsigned status, const Json& body)
{
    HttpResponse response;
    response.status = status;
    response.headers.push_back({ "Content-Type", "application/json" });
    response.body = body.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
    return response;
}

HttpResponse errorResponse(ErrorKind kind, std::string_view detail)
{
    const auto& errorInfo = errorAnswer(kind);
    Json body { { "error", errorInfo.name }, { "outcome", outcomeName(errorInfo.outcome) }, { "message", errorInfo.text } };
    if (!detail.empty())
        body["detail"] = detail;
    auto response = jsonResponse(errorInfo.httpStatus, body);
    response.headers.push_back({ "Heatherchute-Outcome", std::string(outcomeName(errorInfo.outcome)) });
    if (errorInfo.retryAfterSeconds)
        response.headers.push_back({ "Retry-After", std::to_string(errorInfo.retryAfterSeconds) });
    return response;
}

std::string percentDecode(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        unsigned value = 0;
        if (text[i] == '%' && i + 2 < text.size()) {
            const auto* const first = text.data() + i + 1;
            const auto parsed = std::from_chars(first, first + 2, value, 16);
            if (parsed.ec == std::errc() && parsed.ptr == first + 2) {
                decoded.push_back(static_cast<char>(value));
                i += 2;
                continue;
            }
        }
        decoded.push_back(text[i]);
    }
    return decoded;
}

Target parseTarget(std::string_view target)
{
    Target result;
    const auto question = target.find('?');
    auto path = target.substr(0, question);
    while (!path.empty()) {
        path.remove_prefix(path.front() == '/' ? 1 : 0);
        const auto slash = std::min(path.find('/'), path.size());
        if (slash > 0)
            result.path.push_back(percentDecode(path.substr(0, slash)));
        path.remove_prefix(slash);
    }
    if (question == std::string_view::npos)
        return result;
    auto query = target.substr(question + 1);
    while (!query.empty()) {
        const auto end = std::min(query.find('&'), query.size());
        const auto pair = query.substr(0, end);
        const auto equals = std::min(pair.find('='), pair.size());
        const auto value = equals < pair.size() ? pair.substr(equals + 1) : std::string_view();
        result.query.push_back({ percentDecode(pair.substr(0, equals)), percentDecode(value) });
        query.remove_prefix(std::min(end + 1, query.size()));
    }
    return result;
}

std::string addressText(const Address& address)
{
    return address.host + ":" + std::to_string(address.port);
}

Result<Address> parseAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return ErrorKind::BadRequest;
    Address address;
    address.host = std::string(text.substr(0, colon));
    boost::system::error_code error;
    boost::asio::ip::make_address(address.host, error);
    const auto* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, address.port);
    if (error || parsed.ec != std::errc() || parsed.ptr != end)
        return ErrorKind::BadRequest;
    return address;
}

} // namespace heatherchute
