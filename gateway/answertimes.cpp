#include "gateway/answertimes.h"

#include <algorithm>

namespace figrack::gateway {

AnswerTimes::AnswerTimes(AnswerTimesOptions options, const Clock &clock)
    : options_(options)
    , clock_(clock)
{ }

auto AnswerTimes::onEnd(const std::string &route, Duration took) -> void
{
    auto found = records_.find(route);
    if (found == records_.end()) {
        if (!makeRoom())
            return;
        found = records_.emplace(route, Record { clock_.now(), {}, {} }).first;
    }
    auto &record = found->second;
    advance(record);
    record.current.longest = std::max(record.current.longest, took);
    record.current.sum += took;
    ++record.current.count;
}

auto AnswerTimes::longest(const std::string &route) const -> std::optional<Duration>
{
    const auto window = recent(route);
    return window ? std::optional { window->longest } : std::nullopt;
}

auto AnswerTimes::mean(const std::string &route) const -> std::optional<Duration>
{
    const auto window = recent(route);
    return window ? std::optional { window->sum / window->count } : std::nullopt;
}

auto AnswerTimes::advance(Record &record) const -> void
{
    const auto now = clock_.now();
    const auto age = now - record.begin;
    if (age < options_.window)
        return;
    record.before = age < 2 * options_.window ? record.current : Window {};
    record.current = {};
    record.begin = now;
}

auto AnswerTimes::recent(const std::string &route) const -> std::optional<Window>
{
    const auto found = records_.find(route);
    if (found == records_.end())
        return std::nullopt;
    auto record = found->second;
    advance(record);
    const auto count = record.current.count + record.before.count;
    if (count == 0)
        return std::nullopt;
    return Window { std::max(record.current.longest, record.before.longest),
                    record.current.sum + record.before.sum, count };
}

auto AnswerTimes::makeRoom() -> bool
{
    if (records_.size() < options_.maxRoutes)
        return true;
    const auto now = clock_.now();
    std::erase_if(records_,
                  [&](const auto &item) { return now - item.second.begin >= 2 * options_.window; });
    return records_.size() < options_.maxRoutes;
}

} // namespace figrack::gateway
