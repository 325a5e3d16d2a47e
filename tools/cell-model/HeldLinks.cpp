#include "World.h"

namespace heatherchute::cell {

void World::holdLink(ModelVm& vm)
{
    if (!vm.isUp || m_clock.now() < vm.heldUntil)
        return;
    trace("hold", vm.report.id);
    // Until the new incarnation has begun; the rest of the time follows then.
    constexpr Milliseconds longestDown { 1000 };
    vm.heldUntil = m_clock.now() + longestDown;
    m_clock.after(uniformMs(20, 400), [this, &vm] {
        if (!vm.isUp)
            return releaseLink(vm);
        goDown(vm);
        vm.isRestarting = true;
        m_clock.after(uniformMs(100, 500), [this, &vm] {
            beginIncarnation(vm);
            const auto rest = uniformMs(50, 1500);
            vm.heldUntil = m_clock.now() + rest;
            m_clock.after(rest, [this, &vm] { releaseLink(vm); });
            m_clock.after(uniformMs(0, 1000), [this, &vm] { registerVm(vm); });
        });
    });
}

void World::holdUp(ModelVm& vm, ModelCommand command)
{
    const auto held = std::make_shared<ModelCommand>(std::move(command));
    vm.heldCommands.push_back(held);
    m_clock.at(held->expiresAt, [&vm, held] {
        if (std::erase(vm.heldCommands, held) > 0)
            held->giveUp();
    });
}

void World::releaseLink(ModelVm& vm)
{
    vm.heldUntil = m_clock.now();
    for (const auto& command : std::exchange(vm.heldCommands, {}))
        m_clock.after(uniformMs(0, 5), [&vm, command] { command->execute(vm); });
}

void World::withdraw(const std::string& vm)
{
    auto& recipient = m_vms.at(vm);
    ++recipient.withdrawals;
    for (const auto& command : std::exchange(recipient.heldCommands, {}))
        command->giveUp();
}

bool World::isKnownTo(std::uint64_t owner, const ModelVm& vm) const
{
    /// Commands that were sent within this time may still arrive.
    constexpr Milliseconds longestTransfer { 50 };
    return vm.shownTo == owner && m_clock.now() - vm.shownAt > longestTransfer;
}

} // namespace heatherchute::cell
