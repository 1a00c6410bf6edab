#include "gateway/streamposition.h"

#include <charconv>
#include <utility>

namespace figrack::gateway {
namespace {

/// @return nullopt unless the text is a decimal number
auto readNumber(const std::string &text) -> std::optional<std::uint64_t>
{
    auto number = std::uint64_t { 0 };
    const auto *end = text.data() + text.size();
    const auto [rest, code] = std::from_chars(text.data(), end, number);
    if (code != std::errc {} || rest != end)
        return std::nullopt;
    return number;
}

} // namespace

StreamPosition::StreamPosition(std::string given)
    : lastId_(std::move(given))
    , number_(readNumber(lastId_))
{ }

auto StreamPosition::handedOver(std::string last) -> StreamPosition
{
    auto position = StreamPosition { std::move(last) };
    position.hasSent_ = true;
    position.isConsecutive_ = false;
    return position;
}

auto StreamPosition::onEvent(const std::string &id, bool hasData) -> EventVerdict
{
    if (id.empty() && !hasData)
        return EventVerdict::Send;
    if (id.empty()) {
        if (hasSent_ && !hasPlace_)
            return EventVerdict::Break;
        hasSent_ = true;
        hasPlace_ = true;
        isExact_ = false;
        return EventVerdict::Send;
    }
    const auto number = readNumber(id);
    const auto verdict = judge(id, number);
    if (verdict == EventVerdict::Send)
        note(id, number);
    return verdict;
}

auto StreamPosition::judge(const std::string &id, std::optional<std::uint64_t> number) const
        -> EventVerdict
{
    if (!number || !number_) {
        if (hasPlace_ || lastId_.empty())
            return EventVerdict::Send;
        if (id == lastId_)
            return EventVerdict::Drop;
        return hasSent_ ? EventVerdict::Break : EventVerdict::Send;
    }
    // A run that begins earlier than it was asked to has ignored that, or answers another dispatch.
    if (*number < *number_)
        return hasPlace_ || hasSent_ ? EventVerdict::Break : EventVerdict::Drop;
    if (*number == *number_)
        return hasPlace_ ? EventVerdict::Break : EventVerdict::Drop;
    // Numbers need not be consecutive. A caller that names the last ID of an earlier answer does
    // not tell whether they were, and after the run's next event it is too late to hold back this
    // one.
    const auto isGap = hasSent_ && !hasPlace_ && isConsecutive_ && *number - *number_ > 1;
    return isGap ? EventVerdict::Break : EventVerdict::Send;
}

auto StreamPosition::note(const std::string &id, std::optional<std::uint64_t> number) -> void
{
    const auto isNext = number && number_ && *number - *number_ == 1;
    isConsecutive_ = isConsecutive_ && (isNext || !hasSent_);
    lastId_ = id;
    number_ = number;
    hasSent_ = true;
    hasPlace_ = true;
    isExact_ = true;
}

} // namespace figrack::gateway
