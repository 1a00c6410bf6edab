// The network path between one gateway and one endpoint, as a TCP proxy on loopback that a test
// can cut.
//
//   auto link = EndpointLink { context, endpointPort };
//   announce link.port() to the gateway as the endpoint's address
//   link.cut(Cut::Hang);
//   link.heal();
//
// Not thread-safe: runs on one thread.

#ifndef FIGRACK_GATEWAY_TESTING_ENDPOINTLINK_H
#define FIGRACK_GATEWAY_TESTING_ENDPOINTLINK_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace figrack::gateway::testing {

/// What a cut does to connections.
enum class Cut : std::uint8_t {
    Hang,      ///< Bytes are lost in both directions, and new connections hang.
    OneWay,    ///< The endpoint's bytes are lost, and new connections hang.
    Reset,     ///< Connections are reset, and new ones are refused.
    RefuseNew, ///< Connections live on, and new ones are refused.
};
constexpr auto cutNames
        = std::array<std::string_view, 4> { "hang", "one_way", "reset", "refuse_new" };

class EndpointLink
{
public:
    EndpointLink(boost::asio::io_context &context, std::uint16_t endpointPort);
    ~EndpointLink();
    EndpointLink(const EndpointLink &) = delete;
    auto operator=(const EndpointLink &) -> EndpointLink & = delete;
    auto port() const -> std::uint16_t;
    auto cut(Cut how) -> void;
    auto heal() -> void;
    /// @return bytes that have reached the endpoint
    auto delivered() const -> std::size_t;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace figrack::gateway::testing

#endif // FIGRACK_GATEWAY_TESTING_ENDPOINTLINK_H
