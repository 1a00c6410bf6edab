// Gateways that tell one another the origins of streams, without sockets. Gateways end and are cut
// off as a test says; origins age by a clock that a test moves.

#ifndef FIGRACK_GATEWAY_TESTING_ORIGINWORLD_H
#define FIGRACK_GATEWAY_TESTING_ORIGINWORLD_H

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "core/clock.h"
#include "core/random.h"
#include "gateway/streamorigins.h"

namespace figrack::gateway::testing {

/// How messages to and from a gateway fare.
enum class OriginPath : std::uint8_t { Open, Silent };

struct OriginGateway
{
    OriginOwner row;
    Metrics metrics;
    OriginPath path = OriginPath::Open;
    std::set<std::string> versions;
    bool isComplete = true;
    std::unique_ptr<StreamOrigins> origins;
};

class OriginWorld
{
public:
    explicit OriginWorld(std::size_t maxEntries = 1000);
    /// Adds gateways, in turn in the failure domains "d0", "d1" and "d2", with the versions.
    auto addGateways(int count, const std::set<std::string> &versions) -> void;
    auto end(const NodeId &node) -> void;
    auto gateway(const NodeId &node) -> OriginGateway & { return *gateways_.at(node); }
    auto nodes() const -> std::vector<NodeId>;
    /// Cuts a gateway off from all others.
    auto cut(const NodeId &node) -> void { gateway(node).path = OriginPath::Silent; }
    /// Sets the versions that all gateways know, and tells them if it is the second one.
    auto setVersions(const std::set<std::string> &versions) -> void;
    /// A stream begins, and all messages arrive.
    auto begin(const NodeId &node, const std::string &attempt, const std::string &version = "v1",
               const std::string &account = "a1") -> void;
    auto find(const NodeId &node, const std::string &attempt, const std::string &account = "a1")
            -> FoundOrigin;
    /// @return a gateway that neither began the stream nor owns it
    auto strangerTo(const std::string &attempt, const NodeId &first) const -> NodeId;
    auto ownersOf(const std::string &attempt) const -> std::vector<NodeId>;
    auto run() -> void;
    static auto keyOf(const std::string &attempt) -> proto::StreamKey;

    boost::asio::io_context context { 1 };
    ManualClock clock;
    int tells = 0;
    int queries = 0;
    /// Time that tells take.
    Duration tellDelay {};
    /// What the controls keep; without them nothing is told or asked there.
    proto::OriginTable controls { {}, clock };
    bool hasControls = false;
    std::set<std::string> controlVersions; ///< As the controls know them when they are asked.
    bool areControlsComplete = true;

private:
    static auto send(OriginWorld *world, NodeId from, OriginOwner to,
                     proto::StreamOriginMessage message, Duration timeout)
            -> boost::asio::awaitable<OriginAnswer>;
    auto rows() const -> std::vector<OriginOwner>;
    auto controlsPart() -> OriginControls;
    auto add(const OriginOwner &row, const std::set<std::string> &versions) -> void;

    std::size_t maxEntries_;
    Random random_ { 1 };
    std::map<NodeId, std::unique_ptr<OriginGateway>> gateways_;
    int added_ = 0;
};

} // namespace figrack::gateway::testing

#endif // FIGRACK_GATEWAY_TESTING_ORIGINWORLD_H
