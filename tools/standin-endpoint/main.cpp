/// Stand-in for the endpoints: hosts every VM of a file that has a given failure domain, or all.
#include "Worker.h"

#include "../standin-common/Options.h"

namespace heatherchute {

namespace {

    /// A VM with its two servers.
    struct HostedVm {
        std::unique_ptr<Worker> worker;
        std::unique_ptr<HttpServer> control;
        std::unique_ptr<HttpServer> service;
    };

    HostedVm host(Duty& duty, const VmInfo& info, Record& record)
    {
        HostedVm vm;
        vm.worker = std::make_unique<Worker>(duty, info, record);
        auto* const worker = vm.worker.get();
        HttpServerSettings settings;
        settings.listen = parseAddress(info.address).value();
        vm.control = std::make_unique<HttpServer>(duty, settings, [worker](HttpRequest&& request) { return worker->handleControl(request); });
        if (info.serviceAddress.empty())
            return vm;
        settings.listen = parseAddress(info.serviceAddress).value();
        vm.service = std::make_unique<HttpServer>(duty, settings, [worker](HttpRequest&& request) { return worker->handleService(request); });
        return vm;
    }

    /// Ends tasks on time even when nobody calls.
    void tickForEver(Duty& duty, const std::vector<HostedVm>& vms)
    {
        for (;;) {
            sleepFiber(duty.io(), Milliseconds(20));
            for (const auto& vm : vms)
                vm.worker->tick();
        }
    }

} // namespace

} // namespace heatherchute

int main(int argc, char** argv)
{
    using namespace heatherchute;
    namespace options = boost::program_options;
    options::options_description description("heatherchute-standin-endpoint");
    std::string record;
    std::string file;
    std::string failureDomain;
    description.add_options()("record", options::value(&record)->required(), "file that the record is appended to")("vms", options::value(&file)->required(), "JSON file with the VMs")("failure-domain", options::value(&failureDomain), "hosts only the VMs of this one");
    parseOptions(argc, argv, std::move(description));
    startLogging(argv[0]);
    Duty duty("endpoint");
    Record recordFile(record);
    std::vector<HostedVm> vms;
    for (const auto& info : Json::parse(readFile(file).value()).get<std::vector<VmInfo>>()) {
        if (failureDomain.empty() || failureDomain == info.failureDomain)
            vms.push_back(host(duty, info, recordFile));
    }
    duty.spawn([&duty, &vms] { tickForEver(duty, vms); });
    serveForEver(duty);
}
