/// A thread for each duty: each runs an event loop with fibers inside and takes typed messages
/// from other duties through bounded rings.
#pragma once

#include "heatherchute/Support.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/future.hpp>
#include <boost/system/error_code.hpp>
#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>

namespace heatherchute {

/// Bounded ring for many producers and consumers. A full ring refuses; it never waits for room or
/// grows. The lock is held only while one message is moved.
template <typename T>
class Ring {
public:
    explicit Ring(std::size_t capacity)
        : m_capacity(capacity)
    {
    }
    Ring(const Ring&) = delete;
    Ring& operator=(const Ring&) = delete;

    /// False when the ring is full; `message` is then as it was.
    bool tryPush(T& message)
    {
        const std::lock_guard lock(m_mutex);
        if (m_messages.size() == m_capacity)
            return false;
        m_messages.push_back(std::move(message));
        return true;
    }

    std::optional<T> tryPop()
    {
        const std::lock_guard lock(m_mutex);
        if (m_messages.empty())
            return std::nullopt;
        std::optional<T> message(std::move(m_messages.front()));
        m_messages.pop_front();
        return message;
    }

private:
    const std::size_t m_capacity;
    std::mutex m_mutex;
    /// Takes memory as it fills: most rings of a daemon stay near empty.
    std::deque<T> m_messages;
};

/// One thread with an event loop. Handlers run on the loop; fibers run between them.
class Duty {
public:
    explicit Duty(std::string name);
    Duty(const Duty&) = delete;
    Duty& operator=(const Duty&) = delete;
    ~Duty();

    boost::asio::io_context& io() { return m_io; }
    /// Processor time that the duty's thread has used; zero where the system does not tell.
    Duration processorTime() const;
    /// Runs `body` as a new fiber on this duty. Call it from any thread.
    void spawn(std::function<void()> body);
    /// Ends the loop and joins the thread. Fibers still waiting are dropped with the process.
    void stop();

private:
    void run();

    std::string m_name;
    boost::asio::io_context m_io;
    std::thread m_thread;
    std::atomic<bool> m_stopping { false };
};

/// Bounded ring whose messages are handled one by one on a duty's thread, outside any fiber.
template <typename Message>
class Mailbox {
public:
    Mailbox(Duty& duty, std::size_t capacity, std::function<void(Message&&)> handler)
        : m_duty(duty)
        , m_ring(capacity)
        , m_handler(std::move(handler))
    {
    }

    /// False when the ring is full; `message` is then as it was.
    bool push(Message& message)
    {
        if (!m_ring.tryPush(message))
            return false;
        if (!m_scheduled.exchange(true))
            boost::asio::post(m_duty.io(), [this] { drain(); });
        return true;
    }
    bool push(Message&& message) { return push(message); }

private:
    /// Messages handled before the loop gets another turn.
    static constexpr int batchSize = 256;

    void drain()
    {
        m_scheduled.store(false);
        for (int i = 0; i < batchSize; ++i) {
            auto message = m_ring.tryPop();
            if (!message)
                return;
            m_handler(std::move(*message));
        }
        if (!m_scheduled.exchange(true))
            boost::asio::post(m_duty.io(), [this] { drain(); });
    }

    Duty& m_duty;
    Ring<Message> m_ring;
    std::function<void(Message&&)> m_handler;
    std::atomic<bool> m_scheduled { false };
};

/// Writes log lines on a thread of its own, so that a reader of standard output that lags holds up
/// nothing else. Lines beyond its ring are left out and counted in a line of their own.
class LogWriter {
public:
    /// Gets one or more whole lines, and may wait.
    using Output = std::function<void(const std::string&)>;

    explicit LogWriter(Output output);
    LogWriter(const LogWriter&) = delete;
    LogWriter& operator=(const LogWriter&) = delete;
    /// Writes what is left, however long the reader takes.
    ~LogWriter();

    /// Never waits.
    void push(std::string line);
    /// Waits until all lines are written, at most so long; false when some were not.
    bool flush(Milliseconds longest);

private:
    void run();
    void writeAll();

    Output m_output;
    Ring<std::string> m_lines;
    std::atomic<std::uint64_t> m_pushed { 0 };
    std::atomic<std::uint64_t> m_dropped { 0 };
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_hasLines = false;
    bool m_isUrgent = false;
    bool m_isStopping = false;
    std::uint64_t m_written = 0;
    std::thread m_thread;
};

/// Result of one asynchronous operation.
struct IoResult {
    boost::system::error_code error;
    std::size_t bytes = 0;
};

/// Starts an asynchronous operation and suspends the calling fiber until it ends. `start` gets
/// the completion handler to pass on. Only for fibers of a duty.
template <typename Start>
IoResult awaitIo(Start&& start)
{
    boost::fibers::promise<IoResult> promise;
    auto future = promise.get_future();
    start([&promise](const boost::system::error_code& error, std::size_t bytes = 0) {
        promise.set_value({ error, bytes });
    });
    return future.get();
}

/// Suspends the calling fiber.
void sleepFiber(boost::asio::io_context& io, Duration duration);

/// Waits for SIGTERM and SIGINT with a fiber on `duty`; calls `onSignal(count)` for each.
void handleStopSignals(Duty& duty, std::function<void(int)> onSignal);
/// Waits for SIGHUP in the same way.
void handleReloadSignals(Duty& duty, std::function<void()> onSignal);

} // namespace heatherchute
