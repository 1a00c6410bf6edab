// Bytes are copied once, into the event they belong to; lines are looked at in
// place. A CR ends its line at once, and an LF right after it belongs to it, even
// when it comes as the first byte of the next chunk.

#include "endpoint/ssestream.h"

#include <utility>

#include <fmt/format.h>

#include "core/error.h"

namespace figrack::endpoint {
namespace {

constexpr auto lineEnds = std::string_view { "\r\n" };

/// @return the value of a line "field: value", one space after the colon dropped
auto fieldValue(std::string_view line, std::size_t colon) -> std::string_view
{
    auto value = line.substr(colon + 1);
    if (!value.empty() && value.front() == ' ')
        value.remove_prefix(1);
    return value;
}

} // namespace

auto endsWithinLineEnd(std::string_view raw) -> bool
{
    return raw == "\r" || raw.ends_with("\n\r");
}

auto SseSplitter::feed(std::string_view chunk) -> absl::StatusOr<std::vector<SseEvent>>
{
    auto events = std::vector<SseEvent> {};
    while (!chunk.empty()) {
        if (std::exchange(afterReturn_, false) && chunk.front() == '\n') {
            addLineFeed(events);
            chunk.remove_prefix(1);
            continue;
        }
        const auto end = chunk.find_first_of(lineEnds);
        const auto isWhole = end != std::string_view::npos;
        const auto part = chunk.substr(0, isWhole ? end + 1 : chunk.size());
        if (pending_.size() + part.size() > maxEventBytes_)
            return makeError(ErrorKind::TooLarge, fmt::format("event bytes>{}", maxEventBytes_));
        pending_ += part;
        chunk.remove_prefix(part.size());
        if (!isWhole)
            break;
        afterReturn_ = part.back() == '\r';
        endLine(events);
    }
    return events;
}

auto SseSplitter::addLineFeed(std::vector<SseEvent> &events) -> void
{
    if (!pending_.empty()) {
        pending_ += '\n';
        lineStart_ = pending_.size();
        return;
    }
    // The CR ended an event, which may have been passed on with an earlier chunk.
    if (events.empty())
        events.emplace_back().isLineFeed = true;
    events.back().raw += '\n';
}

auto SseSplitter::endLine(std::vector<SseEvent> &events) -> void
{
    const auto whole = std::string_view { pending_ };
    auto line = whole.substr(lineStart_, whole.size() - 1 - lineStart_);
    if (isFirst_ && lineStart_ == 0 && line.starts_with(byteOrderMark)) {
        line.remove_prefix(byteOrderMark.size());
        event_.hasMark = true;
    }
    lineStart_ = pending_.size();
    if (line.empty())
        return endEvent(events);
    const auto colon = std::min(line.find(':'), line.size());
    const auto field = line.substr(0, colon);
    const auto value = colon == line.size() ? std::string_view {} : fieldValue(line, colon);
    if (field == "event")
        event_.name = value;
    if (field != "data")
        return;
    if (event_.hasData)
        event_.data += '\n';
    event_.data += value;
    event_.hasData = true;
}

auto SseSplitter::endEvent(std::vector<SseEvent> &events) -> void
{
    event_.raw = std::exchange(pending_, {});
    lineStart_ = 0;
    isFirst_ = false;
    if (event_.isDone())
        done_ = true;
    else if (event_.hasData)
        ++dataEvents_;
    events.push_back(std::exchange(event_, {}));
}

} // namespace figrack::endpoint
