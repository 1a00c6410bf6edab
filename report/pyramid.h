// A multi-resolution time series of counts: the more recent the counts, the shorter the time
// slots. It provides the sums over the windows 5 min, 1 h, 6 h and 3 days.
//
//   pyramid.advance(now);
//   pyramid.at(now).add(...);
//   pyramid.forEach(window, [](SlotTime time, const Slot &slot) { ... });
//
// There are four levels, with slots of 25 s, 5 min, 30 min and 6 h. Slots that are older than
// the window of their level are merged into the slots of the next level, so each count is in
// exactly one slot, and a window is the sum of the slots that overlap it. The old edge of a
// window has the resolution of one slot of its level, a twelfth of the window. The slot of a
// time depends only on that time and on now(), so two pyramids that received the same counts
// are equal, regardless of the steps in which they were advanced.
//
// Slot is a value type with merge(const Slot &). New slots are copies of the empty slot that
// is passed to the constructor. Not thread-safe.

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

/// Identifies a slot by its level and its number in that level.
struct SlotId
{
    std::uint8_t level = 0;
    std::int64_t number = 0;
    // NOLINTNEXTLINE(modernize-use-nullptr): version 14 reports a defaulted <=> by mistake.
    auto operator<=>(const SlotId &) const = default;
};

struct PyramidLevel
{
    Millis slot = 0;   ///< Length of a slot, ms.
    Millis window = 0; ///< ms
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

/// The longest window for which counts are kept, ms.
constexpr auto longestWindow = pyramidLevels.back().window;

/// @return the time interval that a slot covers
constexpr auto slotTime(SlotId id) -> SlotTime
{
    const auto length = pyramidLevels[id.level].slot;
    return { id.number * length, (id.number + 1) * length };
}

/// @return the slot that contains a time when the current time is `now`, and true; or false if
///         the time is older than the longest window
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

    /// Advances the current time and merges old slots into coarser levels. A time before now() has
    /// no effect.
    auto advance(Millis now) -> void
    {
        now_ = std::max(now_, now);
        for (auto next = nextToMove(); next != slots_.end(); next = nextToMove())
            move(next);
    }

    auto now() const -> Millis { return now_; }

    /// @param time from 0 to now(), within the longest window
    /// @return the slot of a time, created if necessary; null if the time is too old
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

    /// Inserts a slot or replaces the existing one.
    /// @param id a slot that slotOf() can return for the current now()
    auto replace(SlotId id, Slot slot) -> void { slots_.insert_or_assign(id, std::move(slot)); }

    auto clear() -> void { slots_.clear(); }

    /// Calls visitor(SlotTime, const Slot &, SlotId) for each slot that overlaps the window.
    template<typename Visitor>
    auto forEach(Millis window, Visitor &&visitor) const -> void
    {
        forEachAfter(now_ - window, std::forward<Visitor>(visitor));
    }

    /// Calls the visitor, as forEach() does, for each slot that ends after a time.
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

    /// @return the oldest slot that must move to a coarser level, from the finest level that has
    ///         such a slot; end() if there is none
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
