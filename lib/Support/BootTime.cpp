#include "heatherchute/Support.h"

#include <ctime>

namespace heatherchute {

std::int64_t bootTimeMs()
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return static_cast<std::int64_t>(time.tv_sec) * 1000 + time.tv_nsec / 1'000'000;
}

} // namespace heatherchute
