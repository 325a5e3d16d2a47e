/// Runs code on a small stack, as the daemon's parsers run on those of fibers. A thread instead of a
/// fiber: the address sanitizer does not know the stacks of fibers, and reports a false overflow when
/// an exception is thrown on one.
#pragma once

#include <functional>
#include <pthread.h>
#include <stdexcept>

inline void runOnSmallStack(const std::function<void()>& body)
{
    /// Far less than what recursion takes for each level of the deepest inputs.
    constexpr std::size_t stackBytes = 512U << 10U;
    pthread_attr_t attributes;
    pthread_attr_init(&attributes);
    pthread_attr_setstacksize(&attributes, stackBytes);
    pthread_t thread {};
    const auto run = [](void* argument) -> void* {
        (*static_cast<const std::function<void()>*>(argument))();
        return nullptr;
    };
    const bool isRunning = pthread_create(&thread, &attributes, run, const_cast<std::function<void()>*>(&body)) == 0;
    pthread_attr_destroy(&attributes);
    if (!isRunning)
        throw std::runtime_error("cannot create a thread");
    pthread_join(thread, nullptr);
}
