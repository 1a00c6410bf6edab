// Only requests that the system should have served count against the targets. A request that
// the caller cancelled, or that could not be served because of what the caller sent, misses
// no target. Every other refusal misses both targets, however quickly it was sent.

#include "report/counts.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace figrack::report {
namespace {

const auto otherName = std::string { "(other)" };

auto isCallersFault(ErrorKind kind) -> bool
{
    switch (kind) {
    case ErrorKind::BadRequest:
    case ErrorKind::BadToken:
    case ErrorKind::UnknownClass:
    case ErrorKind::UnknownModel:
    case ErrorKind::UnknownService:
    case ErrorKind::TooLarge:
    case ErrorKind::InProgress:
    case ErrorKind::KeyReused:
        return true;
    default:
        return false;
    }
}

auto endCounter(RequestEnd end) -> Counter
{
    switch (end) {
    case RequestEnd::Answered:
        return Counter::Answered;
    case RequestEnd::Refused:
        return Counter::Refused;
    case RequestEnd::Failed:
        return Counter::Failed;
    case RequestEnd::Cancelled:
        return Counter::Cancelled;
    }
    return Counter::Failed;
}

/// @return the length in bytes of the UTF-8 sequence that starts with the byte, or 0 if no
///         sequence starts with it
auto sequenceLength(unsigned char first) -> std::size_t
{
    if (first < 0x80)
        return 1;
    if (first >= 0xC2 && first < 0xE0)
        return 2;
    if (first >= 0xE0 && first < 0xF0)
        return 3;
    return first >= 0xF0 && first < 0xF5 ? 4 : 0;
}

auto isUtf8(std::string_view text) -> bool
{
    while (!text.empty()) {
        const auto length = sequenceLength(static_cast<unsigned char>(text.front()));
        if (length == 0 || length > text.size())
            return false;
        for (const auto byte : text.substr(1, length - 1)) {
            if ((static_cast<unsigned char>(byte) & 0xC0) != 0x80)
                return false;
        }
        text.remove_prefix(length);
    }
    return true;
}

/// Truncates a name and replaces unprintable characters. The names are untrusted, because
/// refused requests are counted under the names that their callers sent.
auto sanitizeName(std::string name, std::size_t most) -> std::string
{
    name.resize(std::min(name.size(), most));
    const auto valid = isUtf8(name);
    for (auto &character : name) {
        const auto byte = static_cast<unsigned char>(character);
        if (byte < ' ' || byte == 0x7F || (byte >= 0x80 && !valid))
            character = '?';
    }
    return name;
}

auto positive(std::int64_t value) -> std::uint64_t
{
    return static_cast<std::uint64_t>(std::max<std::int64_t>(value, 0));
}

} // namespace

auto coldPartName(ColdPart part) -> const char *
{
    constexpr auto names = std::array<const char *, coldPartCount> { "queue", "decision", "store",
                                                                     "load", "first_token" };
    return names[static_cast<std::size_t>(part)];
}

auto Row::add(const RequestRecord &record) -> void
{
    const auto count = [this](Counter counter, bool is = true) {
        counters[static_cast<std::size_t>(counter)] += is ? 1 : 0;
    };
    if (record.end == RequestEnd::Refused && isCallersFault(record.refusal)) {
        count(Counter::CallerFault);
        ++reasons[record.refusal];
        return;
    }
    count(endCounter(record.end));
    if (record.end == RequestEnd::Cancelled)
        return;
    count(Counter::Eligible);
    if (record.end != RequestEnd::Answered)
        ++reasons[record.refusal];
    count(Counter::MetStart, record.metStart);
    count(Counter::MetFinish, record.metFinish);
    if (record.end != RequestEnd::Answered)
        return;
    start.add(record.startMs);
    finish.add(record.finishMs);
    if (!record.cold)
        return;
    count(Counter::Cold);
    coldStart.add(record.startMs);
    const auto &parts = record.parts;
    const auto times
            = std::array { parts.queue, parts.decision, parts.store, parts.load, parts.firstToken };
    for (auto i = std::size_t { 0 }; i < coldPartCount; ++i)
        coldMs[i] += positive(times[i]);
}

auto Row::merge(const Row &other) -> void
{
    for (auto i = std::size_t { 0 }; i < counterCount; ++i)
        counters[i] += other.counters[i];
    for (const auto &[kind, count] : other.reasons)
        reasons[kind] += count;
    start.merge(other.start);
    finish.merge(other.finish);
    coldStart.merge(other.coldStart);
    for (auto i = std::size_t { 0 }; i < coldPartCount; ++i)
        coldMs[i] += other.coldMs[i];
}

auto CountSlot::rowOf(RowKey key) -> Row &
{
    key.classId = sanitizeName(std::move(key.classId), bounds_.maxName);
    key.target = sanitizeName(std::move(key.target), bounds_.maxName);
    if (rows_.size() >= bounds_.maxRows && !rows_.contains(key))
        key.target = otherName;
    if (rows_.size() >= bounds_.maxRows + bounds_.maxOthers && !rows_.contains(key))
        key.classId = otherName;
    return rows_[std::move(key)];
}

auto CountSlot::add(const RequestRecord &record) -> void
{
    rowOf({ record.classId.value(), record.target }).add(record);
}

auto CountSlot::merge(const CountSlot &other) -> void
{
    for (const auto &[key, row] : other.rows_)
        rowOf(key).merge(row);
}

} // namespace figrack::report
