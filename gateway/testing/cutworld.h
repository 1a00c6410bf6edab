// Two gateways, one control and a few endpoints in two failure domains, over loopback sockets. Each
// gateway reaches each endpoint over a link that a test can cut.

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

struct CutWorldOptions
{
    DomainId otherDomain { "d1" };    ///< Of the gateway At::Other.
    catalogue::RegionMap regions;     ///< Of the failure domains.
    std::vector<RegionId> homes = {}; ///< Of all routes.
    /// Of the endpoints' software, in turn by pairs of endpoints; none: they name no version.
    std::vector<std::string> softwareVersions = {};
    std::uint32_t maxAttempts = 2; ///< Of all routes.
};

/// The two gateways.
enum class At : std::uint8_t { Cut, Other };

class CutWorld
{
public:
    explicit CutWorld(CutWorldOptions options = {});
    ~CutWorld();
    CutWorld(const CutWorld &) = delete;
    auto operator=(const CutWorld &) -> CutWorld & = delete;
    /// Cuts a gateway off from the endpoints of a failure domain, or of all.
    auto cut(Cut how, At at = At::Cut, const std::string &domain = {}) -> void;
    /// Heals all links of all gateways.
    auto heal() -> void;
    auto heal(At at) -> void;
    /// Starts a call at one of the gateways.
    auto begin(At at, const std::string &path) -> std::shared_ptr<std::optional<Got>>;
    /// @return the number of complete answers with success, of requests of different kinds that are
    /// sent at the same time
    auto countServed(At at, int requests) -> int;
    /// Sends requests at the cut gateway, one after another, until one is served.
    /// @return false if none is within the limit
    auto isServedAgain() -> bool;
    /// Runs until the gateway knows that it does not reach so many failure domains, while requests
    /// arrive there.
    auto awaitLoss(At at, int domains = 2) -> bool;
    /// @return true if the gateway's page of metrics has the text
    auto hasOnPage(At at, const std::string &text) -> bool;
    /// @return requests that the endpoints have received with this ID
    auto arrivals(const std::string &id) const -> int;
    /// @return the bytes that have reached endpoints over the links of a gateway
    auto delivered(At at) const -> std::size_t;
    /// @return the ID of the request that begin() sent last
    auto lastId() const -> std::string { return "id-" + std::to_string(lastRequest_); }
    auto control() -> FakeControl & { return control_; }
    auto gateway(At at) -> Gateway & { return *gateways_.at(static_cast<std::size_t>(at)); }
    auto endpoint(std::size_t index) -> FakeEndpoint & { return *endpoints_.at(index); }

    Rig rig;

private:
    using Links = std::vector<std::unique_ptr<EndpointLink>>;
    auto linksOf(At at) const -> const Links & { return links_.at(static_cast<std::size_t>(at)); }
    auto rowsFor(const Address &callers) const -> std::vector<catalogue::EndpointRow>;
    auto addGateway(const std::string &name, const DomainId &domain) -> void;
    auto freeAddress() -> Address;

    CutWorldOptions options_;
    Dialect dialect_;
    FakeControl control_;
    std::vector<FakeEndpoint *> endpoints_;
    std::vector<Links> links_; ///< By gateway.
    std::vector<Address> callers_;
    std::vector<std::unique_ptr<Gateway>> gateways_;
    int lastRequest_ = 0;
};

} // namespace figrack::gateway::testing

#endif // FIGRACK_GATEWAY_TESTING_CUTWORLD_H
