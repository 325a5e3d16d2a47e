/// The commands of the tool and the table that names them.
#pragma once

#include "Client.h"

namespace heatherchute::cli {

/// Words of the command line after the command's own.
using Words = std::vector<std::string>;

struct Command {
    /// One or two words, such as "config put".
    std::string_view name;
    std::string_view arguments;
    std::string_view help;
    std::size_t leastWords = 0;
    Exit (*run)(Client& client, const Words& words) = nullptr;
};

std::span<const Command> commands();

} // namespace heatherchute::cli
