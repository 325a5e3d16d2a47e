/// Stand-in for the platform's VM list. It serves a file of VMs; POST /standin/leaving names a
/// VM that begins to leave, which the list shows only after the lag.
#include "../standin-common/Options.h"
#include "../standin-common/Record.h"
#include "heatherchute/Http.h"
#include "heatherchute/Model.h"

namespace heatherchute {

namespace {

    /// A change that the list does not show yet.
    struct PendingChange {
        TimePoint due;
        std::vector<VmInfo> vms;
    };

    class StandinVmList {
    public:
        StandinVmList(std::vector<VmInfo> vms, Milliseconds lag, const std::string& recordPath)
            : m_shown(vms)
            , m_actual(std::move(vms))
            , m_lag(lag)
            , m_record(recordPath)
        {
        }

        HttpResponse handle(const HttpRequest& request);

    private:
        void change();
        HttpResponse show(const HttpRequest& request) const;

        std::vector<VmInfo> m_shown;
        std::vector<VmInfo> m_actual;
        std::vector<PendingChange> m_pending;
        Milliseconds m_lag;
        Record m_record;
    };

    void StandinVmList::change()
    {
        m_pending.push_back({ Clock::now() + m_lag, m_actual });
    }

    HttpResponse StandinVmList::show(const HttpRequest& request) const
    {
        auto response = jsonResponse(200, m_shown);
        const auto tag = "\"" + std::to_string(stableHash(response.body)) + "\"";
        if (findHeader(request.headers, "If-None-Match") == tag)
            return { 304, { { "ETag", tag } }, {}, {} };
        response.headers.push_back({ "ETag", tag });
        return response;
    }

    HttpResponse StandinVmList::handle(const HttpRequest& request)
    {
        for (const auto& pending : m_pending) {
            if (pending.due <= Clock::now())
                m_shown = pending.vms;
        }
        if (request.target == "/v1/vms")
            return show(request);
        const auto body = Json::parse(request.body, nullptr, false);
        if (body.is_discarded())
            return errorResponse(ErrorKind::BadJson);
        if (request.target == "/standin/vms") {
            m_actual = body.get<std::vector<VmInfo>>();
        } else if (request.target == "/standin/leaving") {
            for (auto& vm : m_actual) {
                if (vm.id == body.value("vm", ""))
                    vm.leaving = true;
            }
        } else {
            return errorResponse(ErrorKind::NotFound);
        }
        m_record.add("change", { { "target", request.target } });
        change();
        return jsonResponse(200, Json::object());
    }

} // namespace

} // namespace heatherchute

int main(int argc, char** argv)
{
    using namespace heatherchute;
    namespace options = boost::program_options;
    options::options_description description("heatherchute-standin-vmlist");
    std::string listen;
    std::string record;
    std::string file;
    std::uint64_t lagMs = 0;
    description.add_options()("listen", options::value(&listen)->required(), "ip:port")("record", options::value(&record)->required(), "file that the record is appended to")("vms", options::value(&file)->required(), "JSON file with the VMs")("lag-ms", options::value(&lagMs)->default_value(1000), "age of what the list shows");
    parseOptions(argc, argv, std::move(description));
    startLogging(argv[0]);
    Duty duty("vmlist");
    StandinVmList list(Json::parse(readFile(file).value()).get<std::vector<VmInfo>>(), Milliseconds(lagMs), record);
    HttpServerSettings settings;
    settings.listen = parseAddress(listen).value();
    settings.maxBodyBytes = 8U << 20;
    const HttpServer server(duty, settings, [&list](HttpRequest&& request) { return list.handle(request); });
    serveForEver(duty);
}
