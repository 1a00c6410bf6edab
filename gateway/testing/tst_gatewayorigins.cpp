// Gateways as wholes answer messages about the origins of streams.

#include <doctest/doctest.h>

#include <optional>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "gateway/originexchange.h"
#include "gateway/testing/cutworld.h"

using namespace figrack;
using namespace figrack::gateway;
using namespace figrack::gateway::testing;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

auto exchangeIn(CutWorld &world, const OriginExchange &exchange, const NodeId &node,
                proto::StreamOriginMessage message) -> OriginAnswer
{
    auto result = std::optional<OriginAnswer> {};
    auto work = [](OriginTransport transport, OriginOwner owner, proto::StreamOriginMessage sent,
                   std::optional<OriginAnswer> *out) -> asio::awaitable<void> {
        *out = co_await transport.send(std::move(owner), std::move(sent), 2s);
    };
    auto owner = OriginOwner { node, world.control().subscriptions.at(node).handoffs, {} };
    asio::co_spawn(world.rig.context,
                   work(exchange.transport(), std::move(owner), std::move(message), &result),
                   asio::detached);
    REQUIRE(world.rig.runUntil([&] { return result.has_value(); }));
    return *result;
}

} // namespace

TEST_CASE("A gateway keeps what another one tells it of a stream, beside the versions that serve")
{
    auto options = CutWorldOptions {};
    options.softwareVersions = { "v1", "v2" };
    auto world = CutWorld { options };
    auto exchange = OriginExchange { { channelOf("g2").keys }, world.rig.context, world.rig.clock };
    const auto key = proto::StreamKey { ServiceId { "s" }, "id-told" };
    const auto origin = proto::StreamOrigin { "v2", AccountId { "a1" } };
    const auto told = exchangeIn(world, exchange, NodeId { "g1" },
                                 proto::BegunStreams { { { key, origin } } });
    CHECK(std::holds_alternative<proto::StreamOriginReply>(told));
    const auto answer
            = exchangeIn(world, exchange, NodeId { "g1" }, proto::StreamOriginQuery { key, 1 });
    const auto *reply = std::get_if<proto::StreamOriginReply>(&answer);
    REQUIRE(reply != nullptr);
    CHECK(reply->origin == origin);
    CHECK(reply->versions == std::vector<std::string> { "v1", "v2" });
}
