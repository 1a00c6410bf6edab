// Idle hours are counted in the slot of the time at which they are added, which is at most one
// planner pass late.

#include "report/idle.h"

namespace figrack::report {
namespace {

constexpr auto maxRows = std::size_t { 8192 };
constexpr auto otherName = "(other)";

} // namespace

IdleMeter::IdleMeter(const Clock &clock)
    : clock_(clock)
    , started_(clock.now())
{ }

auto IdleMeter::IdleSlot::add(const std::string &model, const std::string &reason, double added)
        -> void
{
    const auto key = std::pair { model, reason };
    if (hours.size() >= maxRows && !hours.contains(key))
        hours[{ otherName, otherName }] += added;
    else
        hours[key] += added;
}

auto IdleMeter::IdleSlot::merge(const IdleSlot &other) -> void
{
    for (const auto &[key, added] : other.hours)
        add(key.first, key.second, added);
}

auto IdleMeter::since() const -> Duration
{
    return clock_.now() - started_;
}

auto IdleMeter::advance() -> void
{
    slots_.advance(std::chrono::duration_cast<std::chrono::milliseconds>(since()).count());
}

auto IdleMeter::add(const ModelId &model, const std::string &reason, std::uint32_t accelerators,
                    Duration idleTime) -> void
{
    advance();
    const auto hours = std::chrono::duration<double, std::ratio<3600>> { idleTime }.count();
    slots_.at(slots_.now())->add(model.value(), reason, hours * accelerators);
}

auto IdleMeter::rows(Duration window) -> std::vector<IdleRow>
{
    advance();
    auto sum = IdleSlot {};
    const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(window).count();
    slots_.forEach(millis, [&](SlotTime, const IdleSlot &slot, SlotId) { sum.merge(slot); });
    auto rows = std::vector<IdleRow> {};
    for (const auto &[key, hours] : sum.hours)
        rows.push_back({ ModelId { key.first }, key.second, hours });
    return rows;
}

} // namespace figrack::report
