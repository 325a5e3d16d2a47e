/// Stand-in for the platform's key-value service. Counts every call; POST /standin/mode makes
/// it slow, down, or lose the answers of writes that have taken effect.
#include "StoreModel.h"

#include "../standin-common/Options.h"
#include "../standin-common/Record.h"
#include "heatherchute/Http.h"

namespace heatherchute {

namespace {

    /// How the stand-in misbehaves at present.
    struct Mode {
        bool down = false;
        /// Down without a word: calls are taken and never answered.
        bool silent = false;
        bool loseAnswers = false;
        std::uint64_t slowMs = 0;
    };
    NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Mode, down, silent, loseAnswers, slowMs)

    /// Longer than any client waits.
    constexpr Seconds silence { 30 };

    class StandinStore {
    public:
        StandinStore(Duty& duty, const std::string& recordPath)
            : m_duty(duty)
            , m_record(recordPath)
        {
        }

        HttpResponse handle(const HttpRequest& request);

    private:
        HttpResponse setMode(const Json& body);
        HttpResponse answer(const std::string& target, const Json& body);
        HttpResponse watch(const Json& body);

        Duty& m_duty;
        Record m_record;
        StoreModel m_model;
        Mode m_mode;
        std::map<std::string, std::uint64_t> m_counts;
        std::uint64_t m_openWatches = 0;
    };

    HttpResponse StandinStore::setMode(const Json& body)
    {
        m_mode = body.get<Mode>();
        m_record.add("mode", body);
        m_model.interrupt();
        return jsonResponse(200, body);
    }

    HttpResponse StandinStore::watch(const Json& body)
    {
        const auto create = body.value("create_request", Json::object());
        HttpResponse response;
        auto after = std::make_shared<std::uint64_t>(m_model.revision());
        auto created = std::make_shared<bool>(false);
        ++m_openWatches;
        response.nextChunk = [this, create, after, created]() -> std::optional<std::string> {
            if (!*created) {
                *created = true;
                return Json { { "result", { { "created", true }, { "header", { { "revision", std::to_string(*after) } } } } } }.dump() + "\n";
            }
            const auto message = m_model.waitForEvents(create, *after);
            *after = m_model.revision();
            if (m_mode.down) {
                --m_openWatches;
                return std::nullopt;
            }
            return message.dump() + "\n";
        };
        return response;
    }

    HttpResponse StandinStore::answer(const std::string& target, const Json& body)
    {
        if (target == "/v3/kv/range")
            return jsonResponse(200, m_model.range(body));
        if (target == "/v3/watch")
            return watch(body);
        if (target != "/v3/kv/txn")
            return errorResponse(ErrorKind::NotFound);
        const auto result = m_model.transaction(body);
        Json keys = Json::array();
        for (const auto& comparison : body.value("compare", Json::array()))
            keys.push_back(decodeBase64(comparison.value("key", "")));
        m_record.add("txn", { { "succeeded", result["succeeded"] }, { "keys", keys }, { "bytes", body.dump().size() } });
        if (m_mode.loseAnswers)
            return { 0, {}, {}, {} };
        return jsonResponse(200, result);
    }

    HttpResponse StandinStore::handle(const HttpRequest& request)
    {
        const auto body = Json::parse(request.body.empty() ? "{}" : request.body, nullptr, false);
        if (body.is_discarded())
            return errorResponse(ErrorKind::BadJson);
        if (request.target == "/standin/mode")
            return setMode(body);
        if (request.target == "/standin/counts")
            return jsonResponse(200, m_counts);
        ++m_counts[request.target];
        if (m_mode.slowMs > 0)
            sleepFiber(m_duty.io(), Milliseconds(m_mode.slowMs));
        if (m_mode.silent)
            sleepFiber(m_duty.io(), silence);
        if (m_mode.down || m_mode.silent)
            return { 0, {}, {}, {} };
        return answer(request.target, body);
    }

} // namespace

} // namespace heatherchute

int main(int argc, char** argv)
{
    using namespace heatherchute;
    namespace options = boost::program_options;
    options::options_description description("heatherchute-standin-store");
    std::string listen;
    std::string record;
    description.add_options()("listen", options::value(&listen)->required(), "ip:port")("record", options::value(&record)->required(), "file that the record is appended to");
    parseOptions(argc, argv, std::move(description));
    startLogging(argv[0]);
    Duty duty("store");
    StandinStore store(duty, record);
    HttpServerSettings settings;
    settings.listen = parseAddress(listen).value();
    settings.maxBodyBytes = 8U << 20;
    const HttpServer server(duty, settings, [&store](HttpRequest&& request) { return store.handle(request); });
    serveForEver(duty);
}
