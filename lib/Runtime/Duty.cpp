#include "heatherchute/Runtime.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/fiber/algo/round_robin.hpp>
#include <boost/fiber/operations.hpp>
#include <pthread.h>

namespace heatherchute {

namespace {

    /// Lets the event loop run whenever no fiber is ready, so that one thread serves both
    /// without polling.
    class EventLoopScheduler final : public boost::fibers::algo::round_robin {
    public:
        explicit EventLoopScheduler(boost::asio::io_context& io)
            : m_io(io)
        {
        }

        void suspend_until(const std::chrono::steady_clock::time_point& until) noexcept override
        {
            if (until == std::chrono::steady_clock::time_point::max())
                m_io.run_one();
            else
                m_io.run_one_until(until);
            // Takes what else is due now, so that a burst costs one wake-up.
            m_io.poll();
        }

        void notify() noexcept override
        {
            boost::asio::post(m_io, [] {});
        }

    private:
        boost::asio::io_context& m_io;
    };

} // namespace

Duty::Duty(std::string name)
    : m_name(std::move(name))
{
    m_thread = std::thread([this] { run(); });
}

Duty::~Duty()
{
    stop();
}

void Duty::run()
{
    pthread_setname_np(pthread_self(), m_name.substr(0, 15).c_str());
    boost::fibers::use_scheduling_algorithm<EventLoopScheduler>(m_io);
    const auto work = boost::asio::make_work_guard(m_io);
    boost::fibers::promise<void> ended;
    auto wait = ended.get_future();
    boost::asio::post(m_io, [this, &ended] {
        // A fiber cannot outlive the loop, so the thread ends only when stop() asks for it.
        boost::fibers::fiber([this, &ended] {
            while (!m_stopping.load())
                sleepFiber(m_io, Milliseconds(100));
            ended.set_value();
        }).detach();
    });
    wait.get();
}

Duration Duty::processorTime() const
{
    clockid_t clock {};
    timespec time {};
    const bool isKnown = m_thread.joinable() && pthread_getcpuclockid(const_cast<std::thread&>(m_thread).native_handle(), &clock) == 0 && clock_gettime(clock, &time) == 0;
    return isKnown ? Seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec) : Duration(0);
}

void Duty::spawn(std::function<void()> body)
{
    boost::asio::post(m_io, [body = std::move(body)]() mutable {
        boost::fibers::fiber(std::move(body)).detach();
    });
}

void Duty::stop()
{
    if (m_stopping.exchange(true) || !m_thread.joinable())
        return;
    m_thread.join();
}

void sleepFiber(boost::asio::io_context& io, Duration duration)
{
    boost::asio::steady_timer timer(io, duration);
    awaitIo([&timer](auto handler) { timer.async_wait(std::move(handler)); });
}

template <typename... Signals>
static void spawnSignalLoop(Duty& duty, std::function<void(int)> onSignal, Signals... numbers)
{
    duty.spawn([&duty, onSignal = std::move(onSignal), numbers...] {
        boost::asio::signal_set signals(duty.io(), numbers...);
        for (int count = 1;; ++count) {
            awaitIo([&signals](auto handler) {
                signals.async_wait([handler = std::move(handler)](const boost::system::error_code& error, int) mutable {
                    handler(error);
                });
            });
            onSignal(count);
        }
    });
}

void handleStopSignals(Duty& duty, std::function<void(int)> onSignal)
{
    spawnSignalLoop(duty, std::move(onSignal), SIGTERM, SIGINT);
}

void handleReloadSignals(Duty& duty, std::function<void()> onSignal)
{
    spawnSignalLoop(
        duty, [onSignal = std::move(onSignal)](int) { onSignal(); }, SIGHUP);
}

} // namespace heatherchute
