#include "../../lib/Node/Messages.h"

#include "SmallStack.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace heatherchute;

namespace {

/// One message of each kind that has fields with bounds.
std::vector<PeerMessage> someMessages()
{
    OwnerRequest submission;
    submission.kind = OwnerRequestKind::Submit;
    submission.job = "0123456789abcdef";
    submission.spec.steps.resize(2);
    submission.spec.steps[1].after = { 0 };
    VmCommand start;
    start.kind = VmCommandKind::Start;
    start.vm = "i-1";
    start.address = "10.0.0.9:80";
    start.task = "0123456789abcdef.0.0.0";
    start.run = 1;
    VmResult beat;
    beat.outcome = platform::OrderOutcome::Done;
    beat.state = cell::VmState { 5, 7, { { { "j", 0, 0, 1 }, 2, "c", 0 } }, { { 3, { "j", 0, 0, 2 }, 1, cell::RunEnd::Done, "" } } };
    const VmResult started { 4, platform::OrderOutcome::Unknown, cell::StartAnswer::Started, std::nullopt, 72'000 };
    return { PeerHello { "a", "z", "i", 4, true, "10.0.0.1:7", 9, 0.5, "10.0.0.2:7", 12, 70'000 }, submission, VmCommands { 9, { start }, 71'000, { "10.0.0.8:80" } }, VmResults { { beat, started } }, AdviceRequest { 1, "j.0.0", { "i-1" }, 500, 120 }, AdviceResponse { 1, true, { { "i-1", "ticket" } }, 1500, false, 250, "j.0.0", { "i-1", "i-2" } } };
}

/// Encodes a message of the kind with this number.
std::string encodeTagged(std::size_t kind, Json payload)
{
    return encodeCbor(Json::array({ kind, std::move(payload) }));
}

} // namespace

TEST_CASE("Messages between daemons are decoded as they were encoded")
{
    for (const auto& message : someMessages()) {
        const auto decoded = decodePeerMessage(encodePeerMessage(message));
        REQUIRE(decoded);
        CHECK(encodePeerMessage(decoded.value()) == encodePeerMessage(message));
    }
}

TEST_CASE("Commands of a version that withdraws none are decoded")
{
    Json payload = std::get<VmCommands>(someMessages()[2]);
    payload.erase("withdrawn");
    const auto decoded = decodePeerMessage(encodeTagged(6, payload));
    REQUIRE(decoded);
    CHECK(std::get<VmCommands>(decoded.value()).withdrawn.empty());
    CHECK(std::get<VmCommands>(decoded.value()).orders.size() == 1);
}

TEST_CASE("Messages with values out of their bounds are refused")
{
    const auto request = [](const Json& changes) {
        Json payload = std::get<OwnerRequest>(someMessages()[1]);
        payload.update(changes);
        return encodeTagged(2, payload);
    };
    REQUIRE(decodePeerMessage(request(Json::object())));
    CHECK_FALSE(decodePeerMessage(request({ { "kind", 9 } })));
    auto spec = Json(std::get<OwnerRequest>(someMessages()[1]).spec);
    spec["steps"][1]["after"] = { 70 };
    CHECK_FALSE(decodePeerMessage(request({ { "spec", spec } })));
    CHECK_FALSE(decodePeerMessage(encodeTagged(3, { { "error", 200 } })));
    CHECK_FALSE(decodePeerMessage(encodeTagged(3, { { "phase", 200 } })));
    CHECK_FALSE(decodePeerMessage(encodeTagged(4, { { "timeoutMs", std::numeric_limits<std::uint64_t>::max() } })));
    CHECK_FALSE(decodePeerMessage(encodeTagged(4, { { "costMs", std::numeric_limits<std::uint64_t>::max() } })));
    CHECK_FALSE(decodePeerMessage(encodeTagged(5, { { "waitMs", std::numeric_limits<std::uint64_t>::max() } })));
    CHECK_FALSE(decodePeerMessage(encodeTagged(5, { { "validityMs", std::numeric_limits<std::uint64_t>::max() } })));
    CHECK(decodePeerMessage(encodeTagged(5, { { "validityMs", 600'000 } })));
    // A start whose answer is out of range must not be taken for one that was refused.
    CHECK_FALSE(decodePeerMessage(encodeTagged(7, { { "results", { { 1, 0, 99 } } } })));
    CHECK_FALSE(decodePeerMessage(encodeTagged(7, { { "results", { { 1, 99, 0 } } } })));
    CHECK_FALSE(decodePeerMessage(encodeTagged(6, { { "orders", { { 1, 99, "i-1", "10.0.0.9:80" } } } })));
    for (const auto time : { std::int64_t(-1), std::numeric_limits<std::int64_t>::min(), std::numeric_limits<std::int64_t>::max() }) {
        CHECK_FALSE(decodePeerMessage(encodeTagged(0, { { "clockMs", time } })));
        CHECK_FALSE(decodePeerMessage(encodeTagged(6, { { "issuedAtMs", time } })));
        CHECK_FALSE(decodePeerMessage(encodeTagged(7, { { "results", { { 1, 0, 0 } } }, { "clocks", { { 1, time } } } })));
    }
    CHECK_FALSE(decodePeerMessage(encodeTagged(99, Json::object())));
}

TEST_CASE("Bytes that are no message are refused, however deep they nest or long they claim to be")
{
    runOnSmallStack([] {
        for (const unsigned char head : { 0x81, 0x9F, 0xBF, 0xC1 })
            CHECK_FALSE(decodePeerMessage(std::string(100'000, static_cast<char>(head))));
        CHECK_FALSE(decodePeerMessage(std::string("\x82\x00\x9b\xff\xff\xff\xff\xff\xff\xff\xff", 11)));
        CHECK_FALSE(decodePeerMessage(std::string("\x82\x00\xbb\x7f\xff\xff\xff\xff\xff\xff\xff", 11)));
        CHECK_FALSE(decodePeerMessage(std::string("\x82\x00\x7b\x7f\xff\xff\xff\xff\xff\xff\xff", 11)));
        CHECK(rc::check("a changed or shortened message is refused or decoded", [] {
            auto bytes = encodePeerMessage(*rc::gen::elementOf(someMessages()));
            bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
            bytes.resize(*rc::gen::inRange<std::size_t>(1, bytes.size() + 1));
            (void)decodePeerMessage(bytes);
        }));
    });
}
