// Parses one HTTP/1.1 request out of bytes that come in any pieces.
//
//   auto parser = RequestParser { limits };
//   consumed = parser.put(bytes);          // leave the rest for the next call
//   if (parser.state() == ParseState::Done) use(parser.take());
//
// No sockets and no clock, so that tests feed it anything. Guarantees: it never
// takes more than the limits, never throws, and after Failed says why by an
// error whose kind is BadRequest or TooLarge.

#ifndef FIGRACK_HTTP_REQUESTPARSER_H
#define FIGRACK_HTTP_REQUESTPARSER_H

#include <cstddef>
#include <memory>
#include <string_view>

#include <absl/status/status.h>

#include "http/message.h"

namespace figrack::http {

struct ParseLimits
{
    std::size_t maxHeaderBytes = 16U << 10;
    std::size_t maxBodyBytes = 4U << 20;
};

enum class ParseState : std::uint8_t { NeedsMore, Done, Failed };

class RequestParser
{
public:
    explicit RequestParser(ParseLimits limits);
    ~RequestParser();
    RequestParser(const RequestParser &) = delete;
    auto operator=(const RequestParser &) -> RequestParser & = delete;

    /// Parses on.
    /// @param bytes all bytes not consumed so far, old ones first
    /// @return how many were consumed; the caller keeps the rest
    auto put(std::string_view bytes) -> std::size_t;
    auto state() const -> ParseState { return state_; }
    /// @return the error after Failed
    auto error() const -> const absl::Status & { return error_; }
    /// @return true once the header is whole
    auto hasHeader() const -> bool;
    /// @return true when the peer waits for "100 Continue" before it sends the body
    auto expectsContinue() const -> bool;
    /// @return memory of the body so far, which may be larger than the body
    auto bodyCapacity() const -> std::size_t;
    /// @return true for HTTP/1.0, which knows no chunks
    auto isHttp10() const -> bool;
    /// @return whether the connection may carry another request after this one
    auto keepAlive() const -> bool;
    /// @return the request after Done; remoteIp is left empty. Once.
    auto take() -> Request;

private:
    class Impl;
    auto fail(absl::Status error) -> void;
    auto finish() -> void;

    ParseLimits limits_;
    std::unique_ptr<Impl> impl_;
    ParseState state_ = ParseState::NeedsMore;
    absl::Status error_;
    Request request_;
};

/// Decodes %XX. @param decoded receives the text @return false on a malformed escape
auto percentDecode(std::string_view text, std::string &decoded) -> bool;

} // namespace figrack::http

#endif // FIGRACK_HTTP_REQUESTPARSER_H
