// Splits a stream of bytes into server-sent events, wherever the chunks end.
//
//   auto splitter = SseSplitter {};
//   auto events = splitter.feed(chunk);      // whole events only
//   if (!events.ok()) ...                    // TooLarge: an event past the bound
//   splitter.dataEvents(); splitter.done();
//
// An event is everything up to and with its blank line, passed on byte for
// byte. It is a data event when it has a "data:" line; the one whose data is
// [DONE] ends the stream and is not counted. Lines end in LF, CRLF or CR as
// the standard has it. An event ends with the CR of its blank line; an LF that
// follows in a later chunk comes out by itself as the rest of that line end.
// Guarantee: memory is bounded by maxEventBytes.

#ifndef FIGRACK_ENDPOINT_SSESTREAM_H
#define FIGRACK_ENDPOINT_SSESTREAM_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

namespace figrack::endpoint {

struct SseEvent
{
    std::string raw;  ///< All its bytes, the blank line included.
    std::string name; ///< Of the "event:" line; empty for the default.
    std::string data; ///< Its "data:" lines joined by LF.
    bool hasData = false;
    bool hasMark = false;    ///< It is the first one, and begins with a byte order mark.
    bool isLineFeed = false; ///< No event, but the LF of the latest event's final CRLF.
    auto isDone() const -> bool { return hasData && data == "[DONE]"; }
};

/// The byte order mark that a stream may begin with, and only there.
constexpr auto byteOrderMark = std::string_view { "\xEF\xBB\xBF" };

/// @param raw the bytes of a stream up to the end of an event
/// @return true if they end within a CRLF: an LF may be added without a change of meaning
auto endsWithinLineEnd(std::string_view raw) -> bool;

class SseSplitter
{
public:
    explicit SseSplitter(std::size_t maxEventBytes = 1U << 20)
        : maxEventBytes_(maxEventBytes)
    { }
    /// @param chunk the next bytes
    /// @return the events that it completed, or TooLarge
    auto feed(std::string_view chunk) -> absl::StatusOr<std::vector<SseEvent>>;
    /// @return data events seen so far, [DONE] not among them
    auto dataEvents() const -> std::uint64_t { return dataEvents_; }
    /// @return true once [DONE] was seen
    auto done() const -> bool { return done_; }
    /// @return bytes of an event that has not ended yet
    auto pending() const -> std::size_t { return pending_.size(); }

private:
    auto addLineFeed(std::vector<SseEvent> &events) -> void;
    auto endLine(std::vector<SseEvent> &events) -> void;
    auto endEvent(std::vector<SseEvent> &events) -> void;

    std::size_t maxEventBytes_;
    std::string pending_;
    std::size_t lineStart_ = 0; ///< In pending_.
    bool afterReturn_ = false;  ///< The last byte was CR: an LF belongs to it.
    bool isFirst_ = true;       ///< No event has ended yet.
    SseEvent event_;
    std::uint64_t dataEvents_ = 0;
    bool done_ = false;
};

} // namespace figrack::endpoint

#endif // FIGRACK_ENDPOINT_SSESTREAM_H
