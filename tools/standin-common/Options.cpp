#include "Options.h"

#include "heatherchute/Runtime.h"

#include <iostream>

namespace heatherchute {

void parseOptions(int argc, char** argv, boost::program_options::options_description description)
{
    namespace options = boost::program_options;
    description.add_options()("help", "shows this");
    try {
        options::variables_map values;
        options::store(options::parse_command_line(argc, argv, description), values);
        if (values.count("help")) {
            std::cout << description;
            std::exit(0);
        }
        options::notify(values);
    } catch (const options::error& error) {
        std::cerr << argv[0] << ": " << error.what() << '\n';
        std::exit(2);
    }
}

void serveForEver(Duty& duty)
{
    handleStopSignals(duty, [](int) { std::_Exit(0); });
    boost::fibers::promise<void> never;
    never.get_future().wait();
    std::abort();
}

} // namespace heatherchute
