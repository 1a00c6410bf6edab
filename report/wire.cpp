// All numbers of a row are encoded as one list of (identifier, number) pairs, so that a new
// number needs no new field. Identifiers from 0 are counters, those from 32 are the sums of
// the cold start phases, and those from 64 are the reasons by error kind. An unknown
// identifier is an error, because connections to peers of another version are closed before
// they send counts.

#include "report/wire.h"

#include <algorithm>
#include <unordered_map>

#include "core/serial.h"

namespace figrack::report {
namespace {

constexpr auto formatNumber = std::uint8_t { 1 };
constexpr auto firstColdPart = std::size_t { 32 };
constexpr auto firstReason = std::size_t { 64 };
constexpr auto maxNames = std::size_t { 65536 };

enum class WireHistogram : std::uint8_t { Start, Finish, ColdStart };

struct WireNumber
{
    std::uint8_t id = 0;
    std::uint64_t value = 0;
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(id, value);
    }
};

struct WireBin
{
    WireHistogram histogram = WireHistogram::Start;
    std::uint16_t bin = 0;
    std::uint32_t count = 0; ///< Larger counts are split into several entries.
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(histogram, bin, count);
    }
};

struct WireRow
{
    std::uint32_t classId = 0; ///< Index into the table of names, as is target.
    std::uint32_t target = 0;
    std::vector<WireNumber> numbers;
    std::vector<WireBin> bins;
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(classId, target, numbers, bins);
    }
};

struct WireSlot
{
    std::uint8_t level = 0;
    std::int64_t number = 0;
    std::vector<WireRow> rows;
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(level, number, rows);
    }
};

struct WireCounts
{
    std::uint8_t format = formatNumber;
    std::uint64_t instanceId = 0;
    std::int64_t now = 0;
    std::int64_t window = 0;
    std::vector<std::string> names;
    std::vector<WireSlot> slots;
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(format, instanceId, now, window, names, slots);
    }
};

class NameTable
{
public:
    auto indexOf(const std::string &name) -> std::uint32_t
    {
        const auto [found, added]
                = indices_.try_emplace(name, static_cast<std::uint32_t>(names_.size()));
        if (added)
            names_.push_back(name);
        return found->second;
    }
    auto take() -> std::vector<std::string> { return std::move(names_); }

private:
    std::unordered_map<std::string, std::uint32_t> indices_;
    std::vector<std::string> names_;
};

auto appendNumber(std::vector<WireNumber> &numbers, std::size_t id, std::uint64_t value) -> void
{
    if (value != 0)
        numbers.push_back({ static_cast<std::uint8_t>(id), value });
}

auto appendBins(std::vector<WireBin> &bins, WireHistogram which, const Histogram &histogram) -> void
{
    constexpr auto most = std::uint64_t { UINT32_MAX };
    for (const auto &filled : histogram.bins()) {
        auto left = filled.count;
        while (left > 0) {
            const auto piece = std::min(left, most);
            bins.push_back({ which, filled.bin, static_cast<std::uint32_t>(piece) });
            left -= piece;
        }
    }
}

auto toWire(const RowKey &key, const Row &row, NameTable &names) -> WireRow
{
    auto wire = WireRow { names.indexOf(key.classId), names.indexOf(key.target), {}, {} };
    for (auto i = std::size_t { 0 }; i < counterCount; ++i)
        appendNumber(wire.numbers, i, row.counters[i]);
    for (auto i = std::size_t { 0 }; i < coldPartCount; ++i)
        appendNumber(wire.numbers, firstColdPart + i, row.coldMs[i]);
    for (const auto &[kind, count] : row.reasons)
        appendNumber(wire.numbers, firstReason + static_cast<std::size_t>(kind), count);
    appendBins(wire.bins, WireHistogram::Start, row.start);
    appendBins(wire.bins, WireHistogram::Finish, row.finish);
    appendBins(wire.bins, WireHistogram::ColdStart, row.coldStart);
    return wire;
}

/// @return an estimate of the encoded length of a row in bytes, as if no other row used its names
auto estimateBytes(const RowKey &key, const WireRow &row) -> std::size_t
{
    constexpr auto fixed = std::size_t { 40 };
    constexpr auto number = std::size_t { 9 };
    constexpr auto bin = std::size_t { 7 };
    return fixed + key.classId.size() + key.target.size() + row.numbers.size() * number
            + row.bins.size() * bin;
}

auto malformed(std::string_view what) -> absl::Status
{
    return makeError(ErrorKind::Malformed, what);
}

auto decodeNumber(const WireNumber &number, Row &row) -> bool
{
    const auto id = std::size_t { number.id };
    if (id < counterCount)
        row.counters[id] += number.value;
    else if (id >= firstColdPart && id < firstColdPart + coldPartCount)
        row.coldMs[id - firstColdPart] += number.value;
    else if (id >= firstReason && id < firstReason + errorKindCount)
        row.reasons[static_cast<ErrorKind>(id - firstReason)] += number.value;
    else
        return false;
    return true;
}

auto histogramOf(WireHistogram which, Row &row) -> Histogram &
{
    switch (which) {
    case WireHistogram::Start:
        return row.start;
    case WireHistogram::Finish:
        return row.finish;
    case WireHistogram::ColdStart:
        return row.coldStart;
    }
    return row.start;
}

auto decodeRow(const WireRow &wire, const std::vector<std::string> &names, CountSlot &slot) -> bool
{
    if (wire.classId >= names.size() || wire.target >= names.size())
        return false;
    auto &row = slot.rowOf({ names[wire.classId], names[wire.target] });
    for (const auto &number : wire.numbers) {
        if (!decodeNumber(number, row))
            return false;
    }
    for (const auto &[which, bin, count] : wire.bins) {
        if (bin >= histogramBins)
            return false;
        histogramOf(which, row).addBin(bin, count);
    }
    return true;
}

/// @return true if a pyramid can contain the slot at the given time
auto isValidSlot(const WireSlot &slot, Millis now) -> bool
{
    if (slot.level >= pyramidLevels.size() || slot.number < 0)
        return false;
    const auto id = SlotId { slot.level, slot.number };
    if (slot.number > now / pyramidLevels[slot.level].slot)
        return false;
    const auto [at, inside] = slotOf(slotTime(id).start, now);
    return inside && at == id;
}

} // namespace

auto encodeCounts(std::uint64_t instanceId, Millis window, const Pyramid<CountSlot> &counts,
                  std::size_t maxBytes) -> std::string
{
    auto wire = WireCounts { formatNumber, instanceId, counts.now(), window, {}, {} };
    auto names = NameTable {};
    auto bytes = std::size_t { 0 };
    counts.forEach(window, [&](SlotTime, const CountSlot &slot, SlotId id) {
        auto to = WireSlot { id.level, id.number, {} };
        for (const auto &[key, row] : slot.rows()) {
            to.rows.push_back(toWire(key, row, names));
            bytes += estimateBytes(key, to.rows.back());
        }
        // Slots are visited from the finest to the coarsest level, so the oldest are dropped.
        if (bytes <= maxBytes)
            wire.slots.push_back(std::move(to));
    });
    wire.names = names.take();
    return serialize(wire);
}

auto decodeCounts(std::string_view bytes, const RowBounds &bounds) -> absl::StatusOr<DecodedCounts>
{
    auto wire = WireCounts {};
    if (auto status = deserialize(bytes, wire); !status.ok())
        return status;
    if (wire.format != formatNumber)
        return malformed("counts of another format");
    constexpr auto maxTime = std::int64_t { 1 } << 52;
    if (wire.now < 0 || wire.now > maxTime || wire.names.size() > maxNames)
        return malformed("counts out of range");
    auto decoded = DecodedCounts { wire.instanceId, wire.now, wire.window, {} };
    for (const auto &slot : wire.slots) {
        if (!isValidSlot(slot, wire.now))
            return malformed("a slot that no recorder holds at that time");
        auto &to = decoded.slots.emplace_back(SlotId { slot.level, slot.number },
                                              CountSlot { bounds });
        for (const auto &row : slot.rows) {
            if (!decodeRow(row, wire.names, to.second))
                return malformed("a row that no recorder makes");
        }
    }
    return decoded;
}

} // namespace figrack::report
