/// The command-line tool for operators and callers.
#include "Commands.h"

#include <iostream>

namespace heatherchute::cli {

namespace options = boost::program_options;

static options::options_description describeOptions()
{
    options::options_description description("options");
    auto add = description.add_options();
    add("help", "shows help, also for one command");
    add("server", options::value<std::vector<std::string>>()->composing(), "ip:port of an entry VM; may be given several times (or HEATHERCHUTE_SERVER)");
    add("key", options::value<std::string>(), "file that holds the key (or the key itself in HEATHERCHUTE_KEY)");
    add("output", options::value<std::string>()->default_value("text"), "text or json");
    add("timeout-ms", options::value<std::uint64_t>()->default_value(20'000), "time for one call");
    return description;
}

static const Command* findCommand(Words& words)
{
    for (const auto& command : commands()) {
        const auto space = command.name.find(' ');
        const std::size_t count = space == std::string_view::npos ? 1 : 2;
        if (words.size() < count)
            continue;
        const auto said = count == 1 ? words[0] : words[0] + " " + words[1];
        if (said != command.name)
            continue;
        words.erase(words.begin(), words.begin() + static_cast<std::ptrdiff_t>(count));
        return &command;
    }
    return nullptr;
}

static void printHelp(const Command* command)
{
    if (command) {
        std::cout << "heatherchute " << command->name << ' ' << command->arguments << "\n  " << command->help << "\n\n";
    } else {
        std::cout << "heatherchute COMMAND\n\n";
        for (const auto& each : commands())
            std::cout << "  " << each.name << ' ' << each.arguments << "\n      " << each.help << '\n';
        std::cout << "\nexit codes: 0 done, 1 refused and not run, 2 wrong usage, 3 may have run, 4 no entry VM, 5 job did not succeed\n\n";
    }
    std::cout << describeOptions();
}

static std::string environment(const char* name)
{
    const auto* const value = std::getenv(name);
    return value ? value : "";
}

/// Fills the options; returns what is wrong with them, or nothing.
static std::string readOptions(const options::variables_map& values, CommonOptions& common)
{
    std::vector<std::string> servers;
    if (values.count("server"))
        servers = values["server"].as<std::vector<std::string>>();
    else if (const auto server = environment("HEATHERCHUTE_SERVER"); !server.empty())
        servers.push_back(server);
    for (const auto& server : servers) {
        const auto address = parseAddress(server);
        if (!address)
            return server + " is no IP address with a port";
        common.servers.push_back(address.value());
    }
    common.key = environment("HEATHERCHUTE_KEY");
    if (values.count("key")) {
        const auto text = readFile(values["key"].as<std::string>());
        if (!text)
            return "cannot read the key file";
        common.key = text.value().substr(0, text.value().find_first_of("\r\n"));
    }
    const auto output = values["output"].as<std::string>();
    common.json = output == "json";
    if (!common.json && output != "text")
        return "--output is text or json";
    common.timeout = Milliseconds(values["timeout-ms"].as<std::uint64_t>());
    return {};
}

static int run(int argc, char** argv)
{
    options::options_description all = describeOptions();
    all.add_options()("words", options::value<Words>());
    options::positional_options_description positional;
    positional.add("words", -1);
    options::variables_map values;
    const auto parsed = options::command_line_parser(argc, argv).options(all).positional(positional).allow_unregistered().run();
    options::store(parsed, values);
    auto words = options::collect_unrecognized(parsed.options, options::include_positional);
    const auto* const command = findCommand(words);
    if (values.count("help")) {
        printHelp(command);
        return static_cast<int>(Exit::Done);
    }
    if (!command)
        return static_cast<int>(refuse("no such command; see heatherchute --help"));
    if (words.size() < command->leastWords)
        return static_cast<int>(refuse("usage: heatherchute " + std::string(command->name) + " " + std::string(command->arguments)));
    CommonOptions common;
    const auto fault = readOptions(values, common);
    if (!fault.empty())
        return static_cast<int>(refuse(fault));
    Client client(std::move(common));
    return static_cast<int>(command->run(client, words));
}

} // namespace heatherchute::cli

int main(int argc, char** argv)
{
    try {
        return heatherchute::cli::run(argc, argv);
    } catch (const boost::program_options::error& error) {
        return static_cast<int>(heatherchute::cli::refuse(error.what()));
    }
}
