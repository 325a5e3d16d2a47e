#include "World.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace heatherchute {

static const std::vector<Fault> allFaults { Fault::None, Fault::PauseDaemon, Fault::KillDaemon, Fault::PartitionDaemons, Fault::StoreDown,
    Fault::StoreLosesReplies, Fault::FreezeVm, Fault::RestartVm, Fault::CancelJob };

static rc::Gen<FaultStep> faultStep()
{
    return rc::gen::build<FaultStep>(rc::gen::set(&FaultStep::fault, rc::gen::elementOf(allFaults)), rc::gen::set(&FaultStep::target, rc::gen::inRange<std::uint32_t>(0, 6)),
        rc::gen::set(&FaultStep::seconds, rc::gen::inRange<std::uint32_t>(1, 45)));
}

std::ostream& operator<<(std::ostream& out, const FaultStep& step)
{
    return out << "fault " << int(step.fault) << " target " << step.target << " for " << step.seconds << " s";
}

TEST_CASE("all jobs end if no fault occurs", "[jobs]")
{
    World world(1);
    CHECK(world.run({}, Seconds(1)) == "");
}

TEST_CASE("invariants hold under random interleavings of faults", "[jobs]")
{
    const bool holds = rc::check("invariants hold", [] {
        const auto seed = *rc::gen::arbitrary<std::uint32_t>();
        const auto gap = *rc::gen::inRange(200, 12'000);
        const auto faults = *rc::gen::resize(8, rc::gen::container<std::vector<FaultStep>>(faultStep()));
        World world(seed);
        const auto broken = world.run(faults, Milliseconds(gap));
        RC_LOG() << broken << std::endl;
        RC_ASSERT(broken.empty());
    });
    CHECK(holds);
}

TEST_CASE("a violation is detected if VMs do not check fencing tokens", "[jobs]")
{
    // Tries seeds until one leads to a violation. With the check enabled no seed does; see the test
    // case above.
    bool isDetected = false;
    for (std::uint32_t seed = 0; seed < 3000 && !isDetected; ++seed) {
        World world(seed);
        world.ignoreFencingTokens();
        const std::vector<FaultStep> faults { { Fault::PauseDaemon, 0, 30 }, { Fault::PauseDaemon, 1, 20 }, { Fault::PartitionDaemons, 0, 15 }, { Fault::PauseDaemon, 1, 12 } };
        const auto broken = world.run(faults, Milliseconds(200 + seed * 3 % 9000));
        isDetected = broken.find("two places") != std::string::npos || broken.find("overcommitted") != std::string::npos;
    }
    CHECK(isDetected);
}

} // namespace heatherchute
