#include "heatherchute/Support.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <set>

namespace heatherchute {

TEST_CASE("every error has a row, a name and an answer", "[support]")
{
    std::set<std::string_view> names;
    for (int value = 0; value <= static_cast<int>(ErrorKind::Internal); ++value) {
        const auto kind = static_cast<ErrorKind>(value);
        const auto& answer = errorAnswer(kind);
        CHECK(answer.kind == kind);
        CHECK(names.insert(answer.name).second);
        CHECK(errorKindFromName(answer.name) == kind);
        CHECK(errorKind(make_error_code(kind)) == kind);
    }
    CHECK(errorKindFromName("no such error") == ErrorKind::Internal);
}

TEST_CASE("a retry is only offered where it can help", "[support]")
{
    for (int value = 0; value <= static_cast<int>(ErrorKind::Internal); ++value) {
        const auto& answer = errorAnswer(static_cast<ErrorKind>(value));
        if (answer.retryAfterSeconds > 0)
            CHECK(answer.outcome == Outcome::NotRun);
    }
}

TEST_CASE("removing a candidate moves only its own keys", "[support]")
{
    CHECK(rc::check("rendezvous choice is stable", [] {
        const auto count = *rc::gen::inRange<std::size_t>(2, 12);
        const auto removed = *rc::gen::inRange<std::size_t>(0, count);
        const auto key = *rc::gen::arbitrary<std::string>();
        std::vector<std::string> all;
        for (std::size_t i = 0; i < count; ++i)
            all.push_back("daemon-" + std::to_string(i));
        auto fewer = all;
        fewer.erase(fewer.begin() + static_cast<std::ptrdiff_t>(removed));
        const auto before = all[rendezvousChoice(key, all)];
        if (before != all[removed])
            RC_ASSERT(fewer[rendezvousChoice(key, fewer)] == before);
    }));
}

TEST_CASE("rendezvous choice spreads keys evenly", "[support]")
{
    const std::vector<std::string> candidates { "a-0", "a-1", "a-2", "a-3" };
    std::vector<int> counts(candidates.size());
    for (int i = 0; i < 4000; ++i)
        ++counts[rendezvousChoice("vm" + std::to_string(i), candidates)];
    for (const int count : counts) {
        CHECK(count > 800);
        CHECK(count < 1200);
    }
}

TEST_CASE("base64 gives back what went in", "[support]")
{
    CHECK(rc::check("round trip", [](const std::string& text) { RC_ASSERT(decodeBase64(encodeBase64(text)) == text); }));
    CHECK(decodeBase64("!!!!").empty());
}

TEST_CASE("secrets are compared by digest", "[support]")
{
    const auto token = randomToken(24);
    CHECK(token.size() == 48);
    CHECK(token != randomToken(24));
    CHECK(sameDigest(secretDigest(token), secretDigest(token)));
    CHECK_FALSE(sameDigest(secretDigest(token), secretDigest(token + "x")));
    CHECK_FALSE(sameDigest("", secretDigest(token)));
}

TEST_CASE("JSON may have comments, and faults are told", "[support]")
{
    CHECK(parseJsonWithComments("// c\n{\"a\": /* d */ 1}").value["a"] == 1);
    CHECK_FALSE(parseJsonWithComments("{\"a\": ").error.empty());
}

} // namespace heatherchute
