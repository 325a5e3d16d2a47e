/// Experiments with the decisions of a cell's owner in virtual time: plays a deployment's load
/// with faults and prints what callers got.
#include "../cell-model/CellModel.h"

#include <algorithm>
#include <boost/program_options.hpp>
#include <iomanip>
#include <iostream>

namespace {

namespace options = boost::program_options;
using namespace heatherchute::cell;

double quantile(std::vector<double> values, double part)
{
    if (values.empty())
        return 0;
    const auto index = static_cast<std::size_t>(part * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index), values.end());
    return values[index];
}

void print(const std::string& name, std::uint64_t seed, const ModelResult& result)
{
    std::cout << name << ", seed " << seed << ": " << result.starts << " starts, " << result.commits << " commits, " << result.adviceCalls << " advice calls, "
              << result.overdueAdvice << " of them overdue, longest wait " << result.longestAdviceWait.count() << " ms, "
              << result.wastedRuns << " runs not done, "
              << result.startsOnLaterIncarnations << " started on later incarnations; pass mean " << std::fixed << std::setprecision(0) << result.meanPassUs << " us, p99 " << result.passP99Us << " us, longest " << result.longestPassUs << " us\n";
    for (const auto& [queue, row] : result.queues) {
        std::cout << "  " << std::left << std::setw(10) << queue << std::right << " jobs " << std::setw(6) << row.jobs << "  in objective " << std::setprecision(3)
                  << (row.jobs ? static_cast<double>(row.inObjective) / static_cast<double>(row.jobs) : 0) << "  worth " << (row.worthOwed > 0 ? row.worthEarned / row.worthOwed : 0)
                  << "  wait p50 " << std::setprecision(0) << quantile(row.waitMs, 0.5) << " ms, p99 " << quantile(row.waitMs, 0.99) << " ms\n";
    }
    for (const auto& text : result.broken)
        std::cout << "  BROKEN " << text << '\n';
}

} // namespace

int main(int argc, char** argv)
{
    options::options_description description("heatherchute-lab: plays a deployment against the owner's decisions, in virtual time");
    std::string deployment;
    std::uint64_t seed = 0;
    std::uint64_t seeds = 0;
    auto add = description.add_options();
    add("help", "shows this");
    add("deployment", options::value(&deployment)->default_value("workshop"), "name of the deployment, or \"all\"");
    add("seed", options::value(&seed)->default_value(1), "first seed");
    add("seeds", options::value(&seeds)->default_value(1), "number of seeds");
    std::string trace;
    add("trace", options::value(&trace), "prints the decisions that name this text, such as a job's id");
    add("first-fit", "plays the same load first come first served with first fit as well, without faults");
    add("faults", "crashes, cuts, new owners, outages, late orders and lost answers");
    add("restarts", "VMs that start anew under their ids and take commands for their earlier incarnations");
    add("kind-changes", "VMs that start anew under their ids as another kind, which the registry shows later");
    add("evacuations", "failure domains that are evacuated and taken back, beside new owners, crashes and drains");
    add("owner-changes", "quick changes of the owner, each with the restart of a daemon, and many gangs");
    add("long-running", "long-running tasks on all VMs, and gangs that do not fit beside these");
    add("held-links", "VMs that start anew as another kind behind a link that holds up commands and delivers them later");
    add("idle-room", "many tasks that run on idle processor time and need much memory, beside new owners");
    add("late-commands", "VMs that execute commands late, also after a restart");
    options::variables_map values;
    try {
        options::store(options::parse_command_line(argc, argv, description), values);
        options::notify(values);
    } catch (const options::error& error) {
        std::cerr << "heatherchute-lab: " << error.what() << '\n';
        return 2;
    }
    if (values.count("help")) {
        std::cout << description;
        return 0;
    }
    const auto known = modelDeployments();
    if (deployment != "all" && std::find(known.begin(), known.end(), deployment) == known.end()) {
        std::cerr << "heatherchute-lab: no deployment \"" << deployment << "\"\n";
        return 2;
    }
    bool isSound = true;
    for (const auto& name : deployment == "all" ? known : std::vector<std::string> { deployment }) {
        for (std::uint64_t i = 0; i < seeds; ++i) {
            auto settings = modelDeployment(name);
            settings.seed = seed + i;
            settings.trace = trace;
            if (values.count("faults"))
                settings.faults = { 0.02, 0.03, 4, 5, 8, 9, 12, 0.03, 0.05 };
            if (values.count("restarts"))
                addRestarts(settings);
            if (values.count("kind-changes"))
                addKindChanges(settings);
            if (values.count("evacuations"))
                addEvacuations(settings);
            if (values.count("owner-changes"))
                addOwnerChanges(settings);
            if (values.count("long-running"))
                addLongRunning(settings);
            if (values.count("held-links"))
                addHeldLinks(settings);
            if (values.count("idle-room"))
                addIdleRoom(settings);
            if (values.count("late-commands"))
                addLateCommands(settings);
            const auto result = playModel(settings);
            isSound = isSound && result.broken.empty();
            print(name, settings.seed, result);
            if (values.count("first-fit"))
                print(name + " by first fit", settings.seed, playFirstFit(settings));
        }
    }
    return isSound ? 0 : 1;
}
