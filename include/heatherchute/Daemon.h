/// The daemon: its duties, wired together. The same role on every entry VM.
#pragma once

#include "heatherchute/Config.h"

namespace heatherchute {

/// Runs until a signal ends it; returns the exit code. Throws std::system_error when an
/// address cannot be listened on.
int runDaemon(const DaemonSettings& settings);

} // namespace heatherchute
