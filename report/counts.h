// The counts of one slot of time: a row for each class and target.
//
//   auto slot = CountSlot { bounds };
//   slot.add(record);
//   slot.merge(other);
//
// Bounded: past maxRows a record is counted under the target "(other)", so that the
// sums of a class stay right; past a further bound also under the class "(other)".

#ifndef FIGRACK_REPORT_COUNTS_H
#define FIGRACK_REPORT_COUNTS_H

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include "core/error.h"
#include "report/histogram.h"
#include "report/recorder.h"

namespace figrack::report {

/// What a row counts. Values travel between processes: add at the end.
enum class Counter : std::uint8_t {
    Eligible, ///< Counts towards the share: all but what is the caller's own doing.
    Answered,
    Refused,
    Failed,
    Cancelled,
    CallerFault, ///< Refused for what the caller sent.
    MetStart,
    MetFinish,
    Cold,
};
constexpr auto counterCount = std::size_t { 9 };

/// Parts of a cold start, in the order they happen.
enum class ColdPart : std::uint8_t { Queue, Decision, Store, Load, FirstToken };
constexpr auto coldPartCount = std::size_t { 5 };
/// @return "queue", "decision", "store", "load" or "first_token"
auto coldPartName(ColdPart part) -> const char *;

struct RowKey
{
    std::string classId;
    std::string target;
    // NOLINTNEXTLINE(modernize-use-nullptr): version 14 mistakes a defaulted <=>.
    auto operator<=>(const RowKey &) const = default;
};

struct Row
{
    std::array<std::uint64_t, counterCount> counters {};
    std::map<ErrorKind, std::uint64_t> reasons; ///< Of refusals and failures.
    Histogram start;                            ///< Of answered requests, ms.
    Histogram finish;
    Histogram coldStart;                                ///< Start times of the cold ones.
    std::array<std::uint64_t, coldPartCount> coldMs {}; ///< Sums over the cold ones, ms.

    auto add(const RequestRecord &record) -> void;
    auto merge(const Row &other) -> void;
    auto operator[](Counter counter) const -> std::uint64_t
    {
        return counters[static_cast<std::size_t>(counter)];
    }
};

struct RowBounds
{
    std::size_t maxRows = 1024;  ///< Of one slot.
    std::size_t maxOthers = 128; ///< Classes that "(other)" is kept apart for.
    std::size_t maxName = 128;   ///< Longer names are cut, bytes.
};

class CountSlot
{
public:
    explicit CountSlot(RowBounds bounds = {})
        : bounds_(bounds)
    { }

    auto add(const RequestRecord &record) -> void;
    auto merge(const CountSlot &other) -> void;
    auto rows() const -> const std::map<RowKey, Row> & { return rows_; }
    /// @return the row of a key, or that of "(other)" when there are too many
    auto rowOf(RowKey key) -> Row &;

private:
    RowBounds bounds_;
    std::map<RowKey, Row> rows_;
};

} // namespace figrack::report

#endif // FIGRACK_REPORT_COUNTS_H
