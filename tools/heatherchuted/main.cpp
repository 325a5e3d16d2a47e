/// The daemon program: reads and checks the settings, then runs the daemon.
#include "heatherchute/Daemon.h"
#include "heatherchute/Node.h"

#include <boost/program_options.hpp>
#include <iostream>

namespace {

namespace options = boost::program_options;
using heatherchute::Json;

/// A setting that a command-line option overrides.
struct Override {
    const char* option;
    const char* field;
    const char* help;
};
constexpr Override overrides[] {
    { "name", "name", "name of this daemon" },
    { "failure-domain", "failure_domain", "failure domain of its VM" },
    { "listen-http", "listen_http", "ip:port for callers and operators" },
    { "listen-peer", "listen_peer", "ip:port for other daemons" },
    { "store", "store", "ip:port of the platform's key-value service" },
    { "vm-list", "vm_list", "ip:port of the platform's VM list" },
};

int reportError(const std::string& reason)
{
    std::cerr << "heatherchuted: " << reason << '\n';
    return 2;
}

Json readSettings(const options::variables_map& values, std::string& error)
{
    Json settings = Json::object();
    if (values.count("settings")) {
        const auto path = values["settings"].as<std::string>();
        const auto text = heatherchute::readFile(path);
        if (!text) {
            error = "cannot read " + path;
            return settings;
        }
        auto parsed = heatherchute::parseJsonWithComments(text.value());
        error = parsed.error;
        settings = std::move(parsed.value);
    }
    for (const auto& entry : overrides) {
        if (values.count(entry.option) && settings.is_object())
            settings[entry.field] = values[entry.option].as<std::string>();
    }
    return settings;
}

/// Runs the daemon of a cell, for settings with "mode": "cell".
int runCell(const char* program, const options::variables_map& values, const Json& json)
{
    const auto checked = heatherchute::parseNodeSettings(json);
    for (const auto& finding : checked.findings)
        std::cerr << "heatherchuted: " << finding.field << ": " << finding.reason << '\n';
    if (!checked.findings.empty())
        return 2;
    if (values.count("check"))
        return 0;
    heatherchute::startLogging(program);
    try {
        return heatherchute::runNode(checked.settings, [&values] {
            std::string error;
            const auto reloaded = readSettings(values, error);
            if (error.empty())
                return heatherchute::parseNodeSettings(reloaded);
            heatherchute::CheckedNodeSettings invalid;
            invalid.findings.push_back({ "(file)", error });
            return invalid;
        });
    } catch (const std::system_error& failure) {
        return reportError(failure.what());
    }
}

} // namespace

int main(int argc, char** argv)
{
    options::options_description description("heatherchuted: the cluster scheduler's daemon");
    auto add = description.add_options();
    add("help", "prints this help");
    add("settings", options::value<std::string>(), "settings file, JSON with comments");
    add("check", "checks the settings and exits");
    for (const auto& entry : overrides)
        add(entry.option, options::value<std::string>(), entry.help);
    options::variables_map values;
    try {
        options::store(options::parse_command_line(argc, argv, description), values);
    } catch (const options::error& error) {
        return reportError(error.what());
    }
    if (values.count("help")) {
        std::cout << description;
        return 0;
    }
    std::string error;
    const auto json = readSettings(values, error);
    if (!error.empty())
        return reportError(error);
    if (json.is_object() && json.value("mode", "") == "cell")
        return runCell(argv[0], values, json);
    const auto checked = heatherchute::parseDaemonSettings(json);
    for (const auto& finding : checked.findings)
        std::cerr << "heatherchuted: " << finding.field << ": " << finding.reason << '\n';
    if (!checked.findings.empty())
        return 2;
    if (values.count("check"))
        return 0;
    heatherchute::startLogging(argv[0]);
    try {
        return heatherchute::runDaemon(checked.settings);
    } catch (const std::system_error& failure) {
        return reportError(failure.what());
    }
}
