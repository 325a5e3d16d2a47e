#include "heatherchute/Platform.h"

namespace heatherchute {

/// The store normally responds within milliseconds; a request that takes this long counts as an
/// outage.
static constexpr Milliseconds storeRequestTimeout { 2000 };
static constexpr std::size_t maxResponseBytes = 64U << 20;

/// Value of a 64-bit number, which the protocol encodes as a string.
static std::uint64_t uint64Field(const Json& object, const char* field)
{
    const auto text = object.value(field, std::string("0"));
    return std::strtoull(text.c_str(), nullptr, 10);
}

/// Exclusive end of the key range with the given prefix.
static std::string endOfPrefix(std::string prefix)
{
    prefix.back() = static_cast<char>(prefix.back() + 1);
    return prefix;
}

static StoreEntry parseEntry(const Json& kv)
{
    return { decodeBase64(kv.value("key", "")), decodeBase64(kv.value("value", "")), uint64Field(kv, "mod_revision") };
}

EtcdStore::EtcdStore(HttpClient& client, Address address)
    : m_client(client)
    , m_address(std::move(address))
{
}

Result<EtcdStore::Response> EtcdStore::call(const char* path, const Json& body)
{
    HttpRequest request { "POST", path, { { "Content-Type", "application/json" } }, body.dump() };
    const auto response = m_client.call(m_address, request, { storeRequestTimeout, maxResponseBytes });
    if (!response)
        return response.error() == ErrorKind::NoEndpoint ? ErrorKind::StoreUnavailable : ErrorKind::OutcomeUnknown;
    if (response.value().status != 200)
        return ErrorKind::StoreUnavailable;
    auto responseBody = Json::parse(response.value().body, nullptr, false);
    if (!responseBody.is_object())
        return ErrorKind::OutcomeUnknown;
    return Response { std::move(responseBody) };
}

/// Decodes a response; OutcomeUnknown if a field has the wrong type.
template <typename Value, typename Read>
static Result<Value> decodeResponse(Read read)
{
    try {
        return read();
    } catch (const Json::exception&) {
        return ErrorKind::OutcomeUnknown;
    }
}

Result<std::optional<StoreEntry>> EtcdStore::get(const std::string& key)
{
    const auto response = call("/v3/kv/range", { { "key", encodeBase64(key) } });
    if (!response)
        return response.error();
    return decodeResponse<std::optional<StoreEntry>>([&response]() -> std::optional<StoreEntry> {
        const auto kvs = response.value().body.value("kvs", Json::array());
        if (kvs.empty())
            return std::nullopt;
        return parseEntry(kvs.front());
    });
}

Result<std::vector<StoreEntry>> EtcdStore::list(const std::string& prefix)
{
    const auto response = call("/v3/kv/range", { { "key", encodeBase64(prefix) }, { "range_end", encodeBase64(endOfPrefix(prefix)) } });
    if (!response)
        return response.error();
    return decodeResponse<std::vector<StoreEntry>>([&response] {
        std::vector<StoreEntry> entries;
        for (const auto& kv : response.value().body.value("kvs", Json::array()))
            entries.push_back(parseEntry(kv));
        return entries;
    });
}

Result<bool> EtcdStore::compareAndPut(const std::vector<StoreWrite>& writes)
{
    Json compare = Json::array();
    Json success = Json::array();
    for (const auto& write : writes) {
        const auto key = encodeBase64(write.key);
        compare.push_back({ { "key", key }, { "target", "MOD" }, { "result", "EQUAL" }, { "mod_revision", std::to_string(write.expected) } });
        if (write.value)
            success.push_back({ { "request_put", { { "key", key }, { "value", encodeBase64(*write.value) } } } });
        else
            success.push_back({ { "request_delete_range", { { "key", key } } } });
    }
    const auto response = call("/v3/kv/txn", { { "compare", compare }, { "success", success } });
    if (!response)
        return response.error();
    return decodeResponse<bool>([&response] { return response.value().body.value("succeeded", false); });
}

} // namespace heatherchute
