#include "heatherchute/Daemon.h"

#include "Core.h"
#include "Front.h"
#include "Links.h"
#include "Outside.h"

namespace heatherchute {

int runDaemon(const DaemonSettings& settings)
{
    std::unique_ptr<Core> core;
    const auto toCore = [&core](CoreEvent& event) { return core->post(event); };
    std::unique_ptr<Outside> outside;
    std::unique_ptr<Links> links;
    std::unique_ptr<Front> front;
    std::promise<int> exitCode;
    std::atomic<bool> exiting { false };
    CorePorts ports;
    ports.toFront = [&front](FrontAnswer& answer) { return front->answer(answer); };
    ports.toPeers = [&links](PeerOrder& order) { return links->order(order); };
    ports.toOutside = [&outside](OutsideOrder& order) { return outside->order(order); };
    ports.frontInProgress = [&front] { return front->requestsInProgress(); };
    ports.exit = [&](int code) {
        if (!exiting.exchange(true))
            exitCode.set_value(code);
    };
    core = std::make_unique<Core>(settings, std::move(ports));
    outside = std::make_unique<Outside>(settings, toCore);
    links = std::make_unique<Links>(toCore);
    front = std::make_unique<Front>(toCore);
    // Nothing may arrive before all duties stand: the core answers through every one of them.
    links->open(settings.listenPeer);
    front->open(settings.listenHttp);
    core->start();
    handleStopSignals(front->duty(), [&front, toCore](int count) {
        front->beginDrain();
        CoreEvent stop = StopSignal { count };
        toCore(stop);
    });
    logEvent(LogLevel::Info, "started", { { "daemon", settings.name }, { "failure_domain", settings.failureDomain }, { "http", addressText(settings.listenHttp) }, { "peer", addressText(settings.listenPeer) } });
    const auto code = exitCode.get_future().get();
    // Threads and fibers are left as they are: all that had to be answered or kept has been.
    std::_Exit(code);
}

} // namespace heatherchute
