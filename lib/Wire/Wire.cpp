#include "heatherchute/Wire.h"

namespace heatherchute {

std::string encodeMessage(const PeerMessage& message)
{
    return encodeCbor(toTagged(message));
}

Result<PeerMessage> decodeMessage(std::string_view bytes)
{
    const auto document = decodeCbor(bytes);
    return document ? fromTagged<PeerMessage>(*document) : Result<PeerMessage>(ErrorKind::BadRequest);
}

/// Headers travel as name, value, name, value.
static std::vector<std::string> packHeaders(const std::vector<HttpHeader>& headers)
{
    std::vector<std::string> packed;
    for (const auto& header : headers) {
        packed.push_back(header.name);
        packed.push_back(header.value);
    }
    return packed;
}

static std::vector<HttpHeader> unpackHeaders(std::vector<std::string>&& packed)
{
    std::vector<HttpHeader> headers;
    for (std::size_t i = 0; i + 1 < packed.size(); i += 2)
        headers.push_back({ std::move(packed[i]), std::move(packed[i + 1]) });
    return headers;
}

void packRequest(const HttpRequest& request, CallAsk& ask)
{
    ask.method = request.method;
    ask.path = request.target;
    ask.headers = packHeaders(request.headers);
    ask.body = request.body;
}

HttpRequest unpackRequest(CallAsk&& ask)
{
    return { std::move(ask.method), std::move(ask.path), unpackHeaders(std::move(ask.headers)), std::move(ask.body) };
}

void packResponse(const HttpResponse& response, CallReply& reply)
{
    reply.status = response.status;
    reply.headers = packHeaders(response.headers);
    reply.body = response.body;
}

HttpResponse unpackResponse(CallReply&& reply)
{
    return { reply.status, unpackHeaders(std::move(reply.headers)), std::move(reply.body), {} };
}

} // namespace heatherchute
