// An endpoint over a raw socket whose answers never end.
//
//   auto endpoint = EndlessEndpoint::start(rig.context, { refusal, "more " });
//   rig.tell("i-1", endpoint->port(), 1, catalogue::EndpointState::Ready);
//
// Bytes are sent until the peer closes. The object is stopped before its context ends.

#ifndef FIGRACK_GATEWAY_TESTING_ENDLESSENDPOINT_H
#define FIGRACK_GATEWAY_TESTING_ENDLESSENDPOINT_H

#include <memory>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "core/clock.h"

namespace figrack::gateway::testing {

/// What follows each request.
struct EndlessReply
{
    std::string begin; ///< Each "{id}" stands for the request's ID.
    std::string unit;  ///< Sent again and again afterwards.
    Duration pause {}; ///< Before each unit.
};

class EndlessEndpoint : public std::enable_shared_from_this<EndlessEndpoint>
{
public:
    static auto start(boost::asio::io_context &context, EndlessReply reply)
            -> std::shared_ptr<EndlessEndpoint>;
    EndlessEndpoint(boost::asio::io_context &context, EndlessReply reply);
    /// Closes all sockets.
    auto stop() -> void;
    auto port() const -> std::uint16_t { return acceptor_.local_endpoint().port(); }
    /// @return the number of requests received
    auto requests() const -> std::size_t { return requests_; }
    /// @return the number of requests whose connection the peer has not closed
    auto open() const -> std::size_t { return open_; }

private:
    using Socket = boost::asio::ip::tcp::socket;

    static auto accept(std::shared_ptr<EndlessEndpoint> self) -> boost::asio::awaitable<void>;
    static auto serve(std::shared_ptr<EndlessEndpoint> self, std::shared_ptr<Socket> socket)
            -> boost::asio::awaitable<void>;
    static auto readId(Socket &socket) -> boost::asio::awaitable<std::string>;

    boost::asio::ip::tcp::acceptor acceptor_;
    EndlessReply reply_;
    std::vector<std::shared_ptr<Socket>> sockets_;
    std::size_t requests_ = 0;
    std::size_t open_ = 0;
};

} // namespace figrack::gateway::testing

#endif // FIGRACK_GATEWAY_TESTING_ENDLESSENDPOINT_H
