#include "heatherchute/Runtime.h"

#include <catch2/catch.hpp>
#include <future>

namespace heatherchute {

namespace {

    /// Standard output whose reader has stopped reading until it is told to go on.
    class StuckReader {
    public:
        void take(const std::string& lines)
        {
            m_entered.set_value();
            m_goOn.get_future().wait();
            text += lines + '\n';
        }
        void waitUntilStuck() { m_entered.get_future().wait(); }
        void goOn() { m_goOn.set_value(); }

        std::string text;

    private:
        std::promise<void> m_entered;
        std::promise<void> m_goOn;
    };

} // namespace

TEST_CASE("a log whose reader has stopped holds up nobody, and says what it left out", "[log]")
{
    constexpr int lines = 20'000;
    StuckReader reader;
    std::string later;
    bool isFirst = true;
    {
        LogWriter writer([&](const std::string& text) {
            if (std::exchange(isFirst, false))
                reader.take(text);
            else
                later += text + '\n';
        });
        writer.push("first");
        reader.waitUntilStuck();
        // The reader takes nothing now, and far more comes than the writer keeps.
        for (int i = 0; i < lines; ++i)
            writer.push("line " + std::to_string(i));
        CHECK_FALSE(writer.flush(Milliseconds(1)));
        reader.goOn();
    }
    CHECK(reader.text == "first\n");
    const auto written = std::count(later.begin(), later.end(), '\n') - 1;
    CHECK(later.find("line 0\nline 1\n") == 0);
    const auto dropped = "\"lines\":" + std::to_string(lines - written);
    CHECK(later.find("log_lines_dropped") != std::string::npos);
    CHECK(later.find(dropped) != std::string::npos);
}

TEST_CASE("a flushed log has written all lines in order", "[log]")
{
    std::string text;
    LogWriter writer([&text](const std::string& lines) { text += lines + '\n'; });
    std::string expected;
    for (int i = 0; i < 3000; ++i) {
        const auto line = "a line with the number " + std::to_string(i);
        writer.push(line);
        expected += line + '\n';
    }
    REQUIRE(writer.flush(Milliseconds(60'000)));
    CHECK(text == expected);
}

} // namespace heatherchute
