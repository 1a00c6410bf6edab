// The counts of one time slot: one row for each pair of class and target.
//
//   auto slot = CountSlot { bounds };
//   slot.add(record);
//   slot.merge(other);
//
// The size of a slot is bounded. Once a slot has maxRows rows, records with a new key are
// counted under the target "(other)", so that the sums of each class remain correct. Once
// it has a further maxOthers rows, they are also counted under the class "(other)".

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

/// The counters of a row. The values are sent between processes, so new ones must be added at
/// the end.
enum class Counter : std::uint8_t {
    Eligible, ///< Counted against the targets: not cancelled and not the caller's fault.
    Answered,
    Refused,
    Failed,
    Cancelled,
    CallerFault, ///< Refused because of what the caller sent.
    MetStart,    ///< Met the start target.
    MetFinish,   ///< Met the finish target.
    Cold,        ///< Answered after a cold start.
};
constexpr auto counterCount = std::size_t { 9 };

/// The phases of a cold start; see ColdParts. The values are sent between processes, so new ones
/// must be added at the end.
enum class ColdPart : std::uint8_t { Queue, Decision, Store, Load, FirstToken };
constexpr auto coldPartCount = std::size_t { 5 };
/// @return "queue", "decision", "store", "load" or "first_token"
auto coldPartName(ColdPart part) -> const char *;

struct RowKey
{
    std::string classId;
    std::string target;
    // NOLINTNEXTLINE(modernize-use-nullptr): version 14 reports a defaulted <=> by mistake.
    auto operator<=>(const RowKey &) const = default;
};

struct Row
{
    std::array<std::uint64_t, counterCount> counters {};
    std::map<ErrorKind, std::uint64_t> reasons; ///< Refusals and failures by reason.
    Histogram start;                            ///< Start times of answered requests, ms.
    Histogram finish;                           ///< Finish times of answered requests, ms.
    Histogram coldStart; ///< Start times of answered requests with a cold start, ms.
    std::array<std::uint64_t, coldPartCount> coldMs {}; ///< Sums over these requests, ms.

    auto add(const RequestRecord &record) -> void;
    auto merge(const Row &other) -> void;
    auto operator[](Counter counter) const -> std::uint64_t
    {
        return counters[static_cast<std::size_t>(counter)];
    }
};

struct RowBounds
{
    std::size_t maxRows = 1024;  ///< Rows of one slot before "(other)" is used as the target.
    std::size_t maxOthers = 128; ///< Further rows before "(other)" is also used as the class.
    std::size_t maxName = 128;   ///< Bytes; longer names are truncated.
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
    /// @return the row for a key, or that of "(other)" if the slot has too many rows
    auto rowOf(RowKey key) -> Row &;

private:
    RowBounds bounds_;
    std::map<RowKey, Row> rows_;
};

} // namespace figrack::report

#endif // FIGRACK_REPORT_COUNTS_H
