/// Command lines of the stand-ins.
#pragma once

#include <boost/program_options.hpp>

namespace heatherchute {

/// Parses a stand-in's command line into the variables that `description` names. Ends the
/// process with 0 after --help and with 2 when the line is wrong.
void parseOptions(int argc, char** argv, boost::program_options::options_description description);

/// Serves until a signal ends the process.
[[noreturn]] void serveForEver(class Duty& duty);

} // namespace heatherchute
