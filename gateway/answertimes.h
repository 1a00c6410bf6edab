// How long requests of each route took lately, from their dispatch to the end of the answer.
//
//   auto times = AnswerTimes { {}, clock };
//   times.onEnd("r-orders", took);
//   if (const auto longest = times.longest("r-orders")) ...
//
// What is older than two windows does not count. Not thread-safe.

#ifndef FIGRACK_GATEWAY_ANSWERTIMES_H
#define FIGRACK_GATEWAY_ANSWERTIMES_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

#include "core/clock.h"

namespace figrack::gateway {

struct AnswerTimesOptions
{
    Duration window = std::chrono::seconds { 30 };
    /// Further routes are not recorded until others have had no request for two windows.
    std::size_t maxRoutes = 4096;
};

class AnswerTimes
{
public:
    /// @param clock must outlive this object
    AnswerTimes(AnswerTimesOptions options, const Clock &clock);
    /// @param took time from the dispatch to the end of the answer, or to the request's deadline
    auto onEnd(const std::string &route, Duration took) -> void;
    /// @return the longest time within one to two windows; nullopt if no request has ended
    auto longest(const std::string &route) const -> std::optional<Duration>;
    /// @return the mean time within one to two windows; nullopt if no request has ended
    auto mean(const std::string &route) const -> std::optional<Duration>;

private:
    struct Window
    {
        Duration longest {};
        Duration sum {};
        std::int64_t count = 0;
    };
    struct Record
    {
        Instant begin {}; ///< Of the current window.
        Window current;
        Window before;
    };

    /// Begins a new window if the current one is over.
    auto advance(Record &record) const -> void;
    /// @return both windows as one; nullopt if no request has ended in them
    auto recent(const std::string &route) const -> std::optional<Window>;
    auto makeRoom() -> bool;

    AnswerTimesOptions options_;
    const Clock &clock_;
    std::unordered_map<std::string, Record> records_;
};

} // namespace figrack::gateway

#endif // FIGRACK_GATEWAY_ANSWERTIMES_H
