// Writes a stream to a caller, and buffers what a slow caller has not taken.
//
//   if (!co_await stream.write(std::move(events))) ...   // the caller has gone
//   co_await stream.drain();                             // before the object ends
//
// An endpoint cuts off an answer that stays unread for some seconds, so a caller that stalls must
// not stop the reading of the endpoint's answer. HeldBytes bounds what is buffered; beyond that,
// and where no memory limit is set, write() returns only when the caller has taken the bytes. Not
// thread-safe.

#ifndef FIGRACK_GATEWAY_CALLERSTREAM_H
#define FIGRACK_GATEWAY_CALLERSTREAM_H

#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "core/boottimer.h"
#include "gateway/heldbytes.h"
#include "http/server.h"

namespace figrack::gateway {

class CallerStream
{
public:
    /// @param responder its stream must have been started before the first write
    CallerStream(boost::asio::io_context &context, http::Responder &responder,
                 HeldBytes &heldBytes);
    CallerStream(const CallerStream &) = delete;
    auto operator=(const CallerStream &) -> CallerStream & = delete;
    /// Buffers the bytes, or waits until the caller has taken enough.
    /// @return false if the caller has gone
    auto write(std::string bytes) -> boost::asio::awaitable<bool>;
    /// Waits until nothing is buffered or being written any more; must be called before the object
    /// is destroyed. @return false if the caller has gone
    auto drain() -> boost::asio::awaitable<bool>;
    /// Drops what is buffered, as the caller has gone.
    auto drop() -> void;
    /// @return true while the caller has not taken all bytes
    auto isWriting() const -> bool { return isWriting_; }

private:
    auto startWriting(const boost::asio::any_io_executor &executor) -> void;
    auto writeBuffered() -> boost::asio::awaitable<void>;
    auto waitForWriter() -> boost::asio::awaitable<void>;

    http::Responder &responder_;
    HeldBytes &heldBytes_;
    BootTimer progress_; ///< Cancelled when the writer has made progress.
    std::string buffered_;
    HeldBytes::Share share_; ///< Of the buffered bytes, and of those being written.
    bool isWriting_ = false;
    bool isGone_ = false;
};

} // namespace figrack::gateway

#endif // FIGRACK_GATEWAY_CALLERSTREAM_H
