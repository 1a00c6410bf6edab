// A message body for Beast's parsers that takes memory only for the bytes that have arrived.
//
// Beast's own string_body reserves what Content-Length states, so that a peer can make the process
// allocate any amount by a header alone. The capacity is always a power of two, so that a body of
// the largest size does not end in a buffer of almost twice that size.

#ifndef FIGRACK_HTTP_GROWINGBODY_H
#define FIGRACK_HTTP_GROWINGBODY_H

#include <bit>
#include <cstddef>
#include <cstdint>
#include <string>

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffer_traits.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional/optional.hpp>

namespace figrack::http {

struct GrowingBody
{
    using value_type = std::string; // NOLINT(readability-identifier-naming): Beast's concept.

    class reader // NOLINT(readability-identifier-naming): Beast's concept.
    {
    public:
        template<bool isRequest, typename Fields>
        explicit reader(boost::beast::http::header<isRequest, Fields> & /*header*/,
                        std::string &body)
            : body_(body)
        { }

        auto init(const boost::optional<std::uint64_t> & /*statedLength*/,
                  boost::beast::error_code &code) -> void
        {
            code = {};
        }

        template<typename Buffers>
        auto put(const Buffers &buffers, boost::beast::error_code &code) -> std::size_t
        {
            auto bytes = boost::beast::buffer_bytes(buffers);
            const auto needed = body_.size() + bytes;
            if (needed > body_.capacity())
                body_.reserve(std::bit_ceil(needed));
            bytes = 0;
            for (const auto buffer : boost::beast::buffers_range_ref(buffers)) {
                body_.append(static_cast<const char *>(buffer.data()), buffer.size());
                bytes += buffer.size();
            }
            code = {};
            return bytes;
        }

        auto finish(boost::beast::error_code &code) -> void { code = {}; }

    private:
        std::string &body_;
    };
};

} // namespace figrack::http

#endif // FIGRACK_HTTP_GROWINGBODY_H
