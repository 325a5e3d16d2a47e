#include "heatherchute/Node.h"

#include "Core.h"

#include <csignal>
#include <future>
#include <iostream>
#include <sys/resource.h>

namespace heatherchute {

int runNode(const NodeSettings& settings, const std::function<CheckedNodeSettings()>& reload)
{
    /// Maximum time that the end of the process is delayed to write the remaining log lines.
    constexpr Milliseconds flushTimeout { 200 };
    /// Exit status of a daemon that could not start.
    constexpr int startFailureStatus = 2;
    LogWriter log(writeLogLines);
    setLogSink([&log](std::string line) { log.push(std::move(line)); });
    NodeCore core(settings);
    const CorePost toCore = [&core](Closure& closure) { return core.post(closure); };
    NodeOutbound outbound(settings, toCore);
    NodeLinks links({ [&core](LinkId link, bool outgoing) { core.onLinkOpen(link, outgoing); },
                        [&core](LinkId link, PeerMessage message) { core.onLinkMessage(link, std::move(message)); },
                        [&core](LinkId link) { core.onLinkClosed(link); },
                        [&core](const Address& address, LinkId link) { core.onDialled(address, link); } },
        toCore);
    NodeFront front({ [&core](std::uint64_t id, platform::CallerCall request, const std::string& body) { core.onRequest(id, std::move(request), body); },
                        [&core](std::uint64_t id) { core.onMetrics(id); } },
        toCore);
    std::promise<int> exitCode;
    std::atomic<bool> exiting { false };
    NodeComponents components { &outbound, &links, &front, [&](int code) {
                                   if (!exiting.exchange(true))
                                       exitCode.set_value(code);
                               } };
    core.connect(std::move(components));
    try {
        links.open(settings.listenPeers);
        front.open(settings);
    } catch (const std::system_error& failure) {
        logEvent(LogLevel::Error, "start_failed", { { "name", settings.name }, { "reason", failure.what() } });
        std::cerr << "heatherchuted: " << failure.what() << '\n';
        log.flush(flushTimeout);
        // The threads of the components are running already, so the stack is not unwound.
        std::_Exit(startFailureStatus);
    }
    core.start();
    handleStopSignals(front.eventLoop(), [&](int count) {
        Closure closure = [&core, count] { core.onStopSignal(count); };
        toCore(closure);
    });
    handleReloadSignals(front.eventLoop(), [&reload] {
        const auto checked = reload();
        for (const auto& finding : checked.findings)
            logEvent(LogLevel::Warning, "settings_refused", { { "field", finding.field }, { "reason", finding.reason } });
        if (checked.findings.empty())
            logEvent(LogLevel::Info, "settings_read_again", { { "name", checked.settings.name } });
    });
    logEvent(LogLevel::Info, "started", { { "name", settings.name }, { "failure_domain", settings.failureDomain }, { "callers", addressText(settings.listenCallers) }, { "peers", addressText(settings.listenPeers) }, { "store", addressText(settings.store) } });
    const auto code = exitCode.get_future().get();
    log.flush(flushTimeout);
    // Threads and fibers are not joined: everything that must be sent or stored has been.
    std::_Exit(code);
}

} // namespace heatherchute
