// Keeps an assertion of Beast's parser from failing on the last chunk of a body.
//
//   if (!guard.mayPut(bytes)) ...      // wait for more
//   const auto used = parser.put(bytes);
//   guard.onLeft(bytes.size() - used);
//
// The parser looks at a last chunk line that is not whole again, and asserts that at least five
// bytes of it are there by then. They come in any pieces, so a peer decides how many there are.

#ifndef FIGRACK_HTTP_LASTCHUNK_H
#define FIGRACK_HTTP_LASTCHUNK_H

#include <cstddef>
#include <string_view>

namespace figrack::http {

class LastChunkGuard
{
public:
    /// @param bytes what follows the head of a chunked message and has not been consumed
    /// @return false if the parser must get more bytes than these
    auto mayPut(std::string_view bytes) const -> bool
    {
        return left_ == 0 || bytes.size() >= minBytes || bytes.front() != '0';
    }
    /// @param bytes what the parser has not consumed
    auto onLeft(std::size_t bytes) -> void { left_ = bytes; }

private:
    static constexpr auto minBytes = std::string_view { "0\r\n\r\n" }.size();
    std::size_t left_ = 0; ///< More than 0 after the head: they belong to a chunk line.
};

} // namespace figrack::http

#endif // FIGRACK_HTTP_LASTCHUNK_H
