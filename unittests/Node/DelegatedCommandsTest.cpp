#include "../../lib/Node/DelegatedCommands.h"

#include <catch2/catch.hpp>

using namespace heatherchute;

TEST_CASE("A delegate refuses commands that their owner has given up")
{
    constexpr std::int64_t issuedAt = 50'000;
    const VmCommands commands { 9, {}, issuedAt, {} };
    CHECK(validityOf(commands, 9, issuedAt) == CommandValidity::Valid);
    CHECK(validityOf(commands, 9, issuedAt + maxCommandAge.count()) == CommandValidity::Valid);
    CHECK(validityOf(commands, 9, issuedAt + maxCommandAge.count() + 1) == CommandValidity::TooOld);
    // An owner of an earlier version doesn't tell when it issued them.
    CHECK(validityOf({ 9, {}, 0, {} }, 9, issuedAt) == CommandValidity::Valid);
}

TEST_CASE("A delegate refuses commands of an owner that has been replaced")
{
    const VmCommands commands { 9, {}, 50'000, {} };
    CHECK(validityOf(commands, 10, 50'000) == CommandValidity::Superseded);
    // This daemon may hear of a new owner from its commands first.
    CHECK(validityOf(commands, 8, 50'000) == CommandValidity::Valid);
}

TEST_CASE("The age of a delegated command is never underestimated")
{
    PeerHello hello;
    hello.clockMs = 70'000;
    // The hello took 30 ms to the owner, which issues a command 200 ms after it arrived.
    constexpr std::int64_t helloAt = 1'000;
    constexpr std::int64_t delay = 30;
    const auto issuedAt = issueTimeFor(hello, helloAt, helloAt + 200);
    const auto trueIssue = hello.clockMs + delay + 200;
    CHECK(issuedAt <= trueIssue);
    CHECK(issuedAt == trueIssue - delay);
    CHECK(issueTimeFor(PeerHello {}, helloAt, helloAt + 200) == 0);
}
