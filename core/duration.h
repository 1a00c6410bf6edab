// Durations as plain numbers, and back.

#ifndef FIGRACK_CORE_DURATION_H
#define FIGRACK_CORE_DURATION_H

#include <chrono>
#include <cstdint>

#include "core/clock.h"

namespace figrack {

/// @return the duration in seconds
inline auto inSeconds(Duration duration) -> double
{
    return std::chrono::duration<double> { duration }.count();
}

/// @param value seconds @return the duration, cut to nanoseconds
inline auto fromSeconds(double value) -> Duration
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double> { value });
}

/// @return the duration in milliseconds
inline auto inMillis(Duration duration) -> double
{
    return std::chrono::duration<double, std::milli> { duration }.count();
}

/// @param value milliseconds @return the duration, cut to nanoseconds
inline auto fromMillis(double value) -> Duration
{
    return std::chrono::duration_cast<Duration>(
            std::chrono::duration<double, std::milli> { value });
}

/// @return the duration in milliseconds, cut towards zero
inline auto wholeMillis(Duration duration) -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace figrack

#endif // FIGRACK_CORE_DURATION_H
