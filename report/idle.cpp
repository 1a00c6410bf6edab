// Hours go to the slot of the time they are added, which is at most one pass of the
// planner late.

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

auto IdleMeter::IdleSlot::add(const std::string &model, const std::string &reason, double more)
        -> void
{
    const auto key = std::pair { model, reason };
    if (hours.size() >= maxRows && !hours.contains(key))
        hours[{ otherName, otherName }] += more;
    else
        hours[key] += more;
}

auto IdleMeter::IdleSlot::merge(const IdleSlot &other) -> void
{
    for (const auto &[key, more] : other.hours)
        add(key.first, key.second, more);
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
                    Duration lasted) -> void
{
    advance();
    const auto hours = std::chrono::duration<double, std::ratio<3600>> { lasted }.count();
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
