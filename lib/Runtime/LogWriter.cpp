#include "heatherchute/Runtime.h"

#include <pthread.h>

namespace heatherchute {

/// Lines kept for a reader that lags: some seconds of a busy owner, in a few megabytes.
static constexpr std::size_t maxLines = 8192;
/// Lines that come this close together are written at once; what a killed process loses.
static constexpr Milliseconds gatherTime { 20 };
/// Most that is written at once: a pipe takes so much whole, and longer writes may be cut.
static constexpr std::size_t maxBatchBytes = 4096 - 1;

LogWriter::LogWriter(Output output)
    : m_output(std::move(output))
    , m_lines(maxLines)
    , m_thread([this] { run(); })
{
}

LogWriter::~LogWriter()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_changed.notify_all();
    m_thread.join();
}

void LogWriter::push(std::string line)
{
    if (!m_lines.tryPush(line)) {
        ++m_dropped;
        return;
    }
    ++m_pushed;
    {
        const std::lock_guard lock(m_mutex);
        if (std::exchange(m_hasLines, true))
            return;
    }
    m_changed.notify_all();
}

bool LogWriter::flush(Milliseconds longest)
{
    std::unique_lock lock(m_mutex);
    const auto wanted = m_pushed.load();
    m_isUrgent = true;
    m_changed.notify_all();
    return m_changed.wait_for(lock, longest, [&] { return m_written >= wanted; });
}

void LogWriter::run()
{
    pthread_setname_np(pthread_self(), "log");
    std::unique_lock lock(m_mutex);
    while (true) {
        m_changed.wait(lock, [this] { return m_hasLines || m_isStopping; });
        if (!m_hasLines)
            return;
        m_changed.wait_for(lock, gatherTime, [this] { return m_isUrgent || m_isStopping; });
        m_hasLines = m_isUrgent = false;
        lock.unlock();
        writeAll();
        lock.lock();
    }
}

void LogWriter::writeAll()
{
    std::string batch;
    std::uint64_t count = 0;
    const auto write = [&] {
        if (batch.empty())
            return;
        m_output(batch);
        batch.clear();
        const std::lock_guard lock(m_mutex);
        m_written += std::exchange(count, 0);
        m_changed.notify_all();
    };
    auto line = m_lines.tryPop();
    while (line) {
        if (batch.size() + line->size() > maxBatchBytes)
            write();
        if (!batch.empty())
            batch += '\n';
        batch += *line;
        ++count;
        line = m_lines.tryPop();
        // While the last lines were written, more may have come: they are older than what was left out.
        if (!line) {
            write();
            line = m_lines.tryPop();
        }
    }
    if (const auto dropped = m_dropped.exchange(0))
        m_output(logLine(LogLevel::Warning, "log_lines_dropped", { { "lines", dropped } }));
}

} // namespace heatherchute
