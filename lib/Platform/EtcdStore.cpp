#include "heatherchute/Platform.h"

namespace heatherchute {

/// The store answers in milliseconds; a call that takes this long is taken for an outage.
static constexpr Milliseconds storeTimeout { 2000 };
static constexpr std::size_t maxAnswerBytes = 64U << 20;

/// The protocol writes 64-bit numbers as strings.
static std::uint64_t numberOf(const Json& object, const char* field)
{
    const auto text = object.value(field, std::string("0"));
    return std::strtoull(text.c_str(), nullptr, 10);
}

/// First key after all keys that start with `prefix`.
static std::string endOfPrefix(std::string prefix)
{
    prefix.back() = static_cast<char>(prefix.back() + 1);
    return prefix;
}

static StoreEntry entryOf(const Json& kv)
{
    return { decodeBase64(kv.value("key", "")), decodeBase64(kv.value("value", "")), numberOf(kv, "mod_revision") };
}

EtcdStore::EtcdStore(HttpClient& client, Address address)
    : m_client(client)
    , m_address(std::move(address))
{
}

Result<EtcdStore::Answer> EtcdStore::call(const char* path, const Json& body)
{
    HttpRequest request { "POST", path, { { "Content-Type", "application/json" } }, body.dump() };
    const auto response = m_client.call(m_address, request, { storeTimeout, maxAnswerBytes });
    if (!response)
        return response.error() == ErrorKind::NoEndpoint ? ErrorKind::StoreUnavailable : ErrorKind::OutcomeUnknown;
    if (response.value().status != 200)
        return ErrorKind::StoreUnavailable;
    auto answer = Json::parse(response.value().body, nullptr, false);
    if (!answer.is_object())
        return ErrorKind::OutcomeUnknown;
    return Answer { std::move(answer) };
}

/// Reads an answer; OutcomeUnknown when it has fields of the wrong types.
template <typename Value, typename Read>
static Result<Value> readAnswer(Read read)
{
    try {
        return read();
    } catch (const Json::exception&) {
        return ErrorKind::OutcomeUnknown;
    }
}

Result<std::optional<StoreEntry>> EtcdStore::get(const std::string& key)
{
    const auto answer = call("/v3/kv/range", { { "key", encodeBase64(key) } });
    if (!answer)
        return answer.error();
    return readAnswer<std::optional<StoreEntry>>([&answer]() -> std::optional<StoreEntry> {
        const auto kvs = answer.value().body.value("kvs", Json::array());
        if (kvs.empty())
            return std::nullopt;
        return entryOf(kvs.front());
    });
}

Result<std::vector<StoreEntry>> EtcdStore::list(const std::string& prefix)
{
    const auto answer = call("/v3/kv/range", { { "key", encodeBase64(prefix) }, { "range_end", encodeBase64(endOfPrefix(prefix)) } });
    if (!answer)
        return answer.error();
    return readAnswer<std::vector<StoreEntry>>([&answer] {
        std::vector<StoreEntry> entries;
        for (const auto& kv : answer.value().body.value("kvs", Json::array()))
            entries.push_back(entryOf(kv));
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
    const auto answer = call("/v3/kv/txn", { { "compare", compare }, { "success", success } });
    if (!answer)
        return answer.error();
    return readAnswer<bool>([&answer] { return answer.value().body.value("succeeded", false); });
}

} // namespace heatherchute
