// Two gateways, one control and a few endpoints in two failure domains, over loopback sockets. The
// first gateway reaches each endpoint over a link that a test can cut; the second one directly.

#ifndef FIGRACK_GATEWAY_TESTING_CUTWORLD_H
#define FIGRACK_GATEWAY_TESTING_CUTWORLD_H

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/ip/tcp.hpp>

#include "gateway/gateway.h"
#include "gateway/testing/endpointlink.h"
#include "gateway/testing/feedrig.h"
#include "gateway/testing/rig.h"

namespace figrack::gateway::testing {

constexpr auto endpointCount = 4;

/// The two gateways.
enum class At : std::uint8_t { Cut, Other };

class CutWorld
{
public:
    CutWorld();
    ~CutWorld();
    CutWorld(const CutWorld &) = delete;
    auto operator=(const CutWorld &) -> CutWorld & = delete;
    auto cut(Cut how) -> void;
    auto heal() -> void;
    /// Starts a call at one of the gateways.
    auto begin(At at, const std::string &path) -> std::shared_ptr<std::optional<Got>>;
    /// @return the number of complete answers with success, of requests of different kinds that are
    /// sent at the same time
    auto countServed(At at, int requests) -> int;
    /// Sends requests at the cut gateway, one after another, until one is served.
    /// @return false if none is within the limit
    auto isServedAgain() -> bool;
    /// @return the bytes that have reached endpoints over the links
    auto delivered() const -> std::size_t;
    auto gateway(At at) -> Gateway & { return *gateways_.at(static_cast<std::size_t>(at)); }
    auto endpoint(std::size_t index) -> FakeEndpoint & { return *endpoints_.at(index); }

    Rig rig;

private:
    auto rowsFor(const Address &callers) const -> std::vector<catalogue::EndpointRow>;
    auto addGateway(const std::string &name) -> void;
    auto freeAddress() -> Address;

    Dialect dialect_;
    FakeControl control_;
    std::vector<FakeEndpoint *> endpoints_;
    std::vector<std::unique_ptr<EndpointLink>> links_;
    std::vector<Address> callers_;
    std::vector<std::unique_ptr<Gateway>> gateways_;
    int lastRequest_ = 0;
};

} // namespace figrack::gateway::testing

#endif // FIGRACK_GATEWAY_TESTING_CUTWORLD_H
