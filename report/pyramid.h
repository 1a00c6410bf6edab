// Counts by time, finer for the near past: the slots behind the windows 5 min, 1 h, 6 h, 3 d.
//
//   pyramid.advance(now);
//   pyramid.at(now).add(...);
//   pyramid.forEach(window, [](SlotTime time, const Slot &slot) { ... });
//
// Four levels: slots of 25 s, 5 min, 30 min and 6 h. What has left a level's window is
// merged into the next level's slot, so each count is in one slot only and a window is
// the sum of the slots that reach into it. Its far edge is sharp to one slot of its
// level: a twelfth of the window. Where a time lies depends on the time and on now alone,
// so two pyramids that were told the same, in whatever steps, are equal.
//
// Slot is a value with merge(const Slot &); new ones are copies of an empty one that the
// constructor is given. Not thread-safe.

#ifndef FIGRACK_REPORT_PYRAMID_H
#define FIGRACK_REPORT_PYRAMID_H

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <utility>

namespace figrack::report {

using Millis = std::int64_t;

struct SlotTime
{
    Millis start = 0;
    Millis end = 0; ///< Exclusive.
};

/// Which slot of which level.
struct SlotId
{
    std::uint8_t level = 0;
    std::int64_t number = 0;
    // NOLINTNEXTLINE(modernize-use-nullptr): version 14 mistakes a defaulted <=>.
    auto operator<=>(const SlotId &) const = default;
};

struct PyramidLevel
{
    Millis slot = 0;
    Millis window = 0;
};

constexpr auto millisOf(std::chrono::milliseconds time) -> Millis
{
    return time.count();
}

constexpr auto pyramidLevels = std::array<PyramidLevel, 4> { {
        { millisOf(std::chrono::seconds { 25 }), millisOf(std::chrono::minutes { 5 }) },
        { millisOf(std::chrono::minutes { 5 }), millisOf(std::chrono::hours { 1 }) },
        { millisOf(std::chrono::minutes { 30 }), millisOf(std::chrono::hours { 6 }) },
        { millisOf(std::chrono::hours { 6 }), millisOf(std::chrono::hours { 72 }) },
} };

/// The longest window kept.
constexpr auto longestWindow = pyramidLevels.back().window;

/// @return the times that a slot covers
constexpr auto slotTime(SlotId id) -> SlotTime
{
    const auto length = pyramidLevels[id.level].slot;
    return { id.number * length, (id.number + 1) * length };
}

/// @return the slot that holds a time once it is `now`; false when it has left the pyramid
constexpr auto slotOf(Millis time, Millis now) -> std::pair<SlotId, bool>
{
    for (auto level = std::size_t { 0 }; level < pyramidLevels.size(); ++level) {
        const auto &spec = pyramidLevels[level];
        const auto isLast = level + 1 == pyramidLevels.size();
        const auto group = isLast ? spec.slot : pyramidLevels[level + 1].slot;
        const auto groupEnd = (time / group + 1) * group;
        if (groupEnd > now - spec.window)
            return { { static_cast<std::uint8_t>(level), time / spec.slot }, true };
    }
    return { {}, false };
}

template<typename Slot>
class Pyramid
{
public:
    explicit Pyramid(Slot empty = Slot {})
        : empty_(std::move(empty))
    { }

    /// Moves on to a time; a time before the last is taken as the last.
    auto advance(Millis now) -> void
    {
        now_ = std::max(now_, now);
        for (auto next = nextToMove(); next != slots_.end(); next = nextToMove())
            move(next);
    }

    auto now() const -> Millis { return now_; }

    /// @param time from 0 to now(), within the longest window
    /// @return the slot of a time, made when it is not there; null when the time has left
    auto at(Millis time) -> Slot *
    {
        const auto [id, inside] = slotOf(std::clamp<Millis>(time, 0, now_), now_);
        return inside ? &slotAt(id) : nullptr;
    }

    auto find(SlotId id) const -> const Slot *
    {
        const auto found = slots_.find(id);
        return found == slots_.end() ? nullptr : &found->second;
    }

    /// Puts a slot in place of what is there. @param id where slotOf() has it at now()
    auto replace(SlotId id, Slot slot) -> void { slots_.insert_or_assign(id, std::move(slot)); }

    auto clear() -> void { slots_.clear(); }

    /// Calls visitor(SlotTime, const Slot &, SlotId) for each slot that reaches into the window.
    template<typename Visitor>
    auto forEach(Millis window, Visitor &&visitor) const -> void
    {
        forEachAfter(now_ - window, std::forward<Visitor>(visitor));
    }

    /// The same for the slots that end after a time.
    template<typename Visitor>
    auto forEachAfter(Millis time, Visitor &&visitor) const -> void
    {
        for (const auto &[id, slot] : slots_) {
            if (slotTime(id).end > time)
                visitor(slotTime(id), slot, id);
        }
    }

    auto size() const -> std::size_t { return slots_.size(); }

private:
    using Slots = std::map<SlotId, Slot>;

    auto hasLeft(SlotId id) const -> bool
    {
        const auto [at, inside] = slotOf(slotTime(id).start, now_);
        return !inside || at != id;
    }

    /// @return the oldest slot of the finest level that has one to move, else end()
    auto nextToMove() -> typename Slots::iterator
    {
        for (auto level = std::size_t { 0 }; level < pyramidLevels.size(); ++level) {
            const auto first = SlotId { static_cast<std::uint8_t>(level), 0 };
            const auto oldest = slots_.lower_bound(first);
            if (oldest != slots_.end() && oldest->first.level == level && hasLeft(oldest->first))
                return oldest;
        }
        return slots_.end();
    }

    auto move(typename Slots::iterator from) -> void
    {
        auto node = slots_.extract(from);
        const auto [to, inside] = slotOf(slotTime(node.key()).start, now_);
        if (inside)
            slotAt(to).merge(node.mapped());
    }

    auto slotAt(SlotId id) -> Slot & { return slots_.try_emplace(id, empty_).first->second; }

    Slot empty_;
    Millis now_ = 0;
    Slots slots_;
};

} // namespace figrack::report

#endif // FIGRACK_REPORT_PYRAMID_H
