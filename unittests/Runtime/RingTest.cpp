#include "heatherchute/Runtime.h"

#include <catch2/catch.hpp>
#include <numeric>

namespace heatherchute {

TEST_CASE("a full ring refuses and leaves the message as it was", "[ring]")
{
    Ring<std::string> ring(2);
    std::string first = "first";
    std::string second = "second";
    std::string third = "third";
    CHECK(ring.tryPush(first));
    CHECK(ring.tryPush(second));
    CHECK_FALSE(ring.tryPush(third));
    CHECK(third == "third");
    CHECK(ring.tryPop() == "first");
    CHECK(ring.tryPush(third));
    CHECK(ring.tryPop() == "second");
    CHECK(ring.tryPop() == "third");
    CHECK_FALSE(ring.tryPop());
}

TEST_CASE("nothing is lost or doubled between threads", "[ring]")
{
    constexpr int producers = 4;
    constexpr std::uint64_t each = 5000;
    Ring<std::uint64_t> ring(64);
    std::vector<std::thread> threads;
    for (int i = 0; i < producers; ++i) {
        threads.emplace_back([&ring] {
            for (std::uint64_t value = 1; value <= each; ++value) {
                auto message = value;
                while (!ring.tryPush(message))
                    std::this_thread::yield();
            }
        });
    }
    std::uint64_t sum = 0;
    for (std::uint64_t taken = 0; taken < producers * each;) {
        if (const auto value = ring.tryPop()) {
            sum += *value;
            ++taken;
        }
    }
    for (auto& thread : threads)
        thread.join();
    CHECK(sum == producers * each * (each + 1) / 2);
    CHECK_FALSE(ring.tryPop());
}

} // namespace heatherchute
