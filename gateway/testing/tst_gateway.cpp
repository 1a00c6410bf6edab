// A whole gateway between fake controls, a fake endpoint and a caller, over loopback sockets.

#include <doctest/doctest.h>

#include <array>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "gateway/gateway.h"
#include "gateway/testing/feedrig.h"
#include "gateway/testing/rig.h"

using namespace figrack;
using namespace figrack::gateway;
using namespace figrack::gateway::testing;

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/// A gateway with two controls that queue every pick, and one endpoint of a plain service.
struct GatewayWorld
{
    GatewayWorld()
    {
        endpoint.handler = answering("one");
        dialect.readDocument = [](std::string_view) { return orderedCatalogue(false); };
        auto options = GatewayOptions {};
        options.name = NodeId { "g1" };
        options.keys = channelOf("g1").keys;
        options.callers = callers;
        // A slow machine must not turn a queued request into a choice of the gateway.
        options.picker.askTimeout = patience;
        for (auto &control : controls) {
            control.document = Revision { 1 };
            control.isQueueing = true;
            control.endpoints = { rig.view.find(endpoint.id)->row };
            options.seeds.push_back(control.address());
        }
        gateway = std::make_unique<Gateway>(rig.context, options, rig.clock, dialect, 1, [] {});
        REQUIRE(gateway->start().ok());
        REQUIRE(rig.runUntil([&] { return gateway->ready(); }));
    }
    ~GatewayWorld()
    {
        // The coroutine of a request refers to its gateway, which must outlive it.
        caller.close();
        rig.runUntil([&] { return hasOnPage("in_progress\"} 0"); });
        gateway.reset();
        for (auto &control : controls)
            control.server->stop();
    }
    auto hasOnPage(const std::string &text) -> bool
    {
        return gateway->metricsPage().find(text) != std::string::npos;
    }
    auto send() -> void
    {
        caller.connect({ asio::ip::make_address("127.0.0.1"), callers.port });
        const auto text = std::string { "GET /once/1 HTTP/1.1\r\nHost: t\r\nX-Id: id-1\r\n\r\n" };
        asio::write(caller, asio::buffer(text));
    }
    /// @return what the caller has received
    auto answer() -> std::string
    {
        REQUIRE(rig.runUntil([&] { return caller.available() > 0; }));
        auto text = std::string(4096, 0);
        text.resize(caller.read_some(asio::buffer(text)));
        return text;
    }
    static auto freeAddress(asio::io_context &context) -> Address
    {
        const auto acceptor = tcp::acceptor { context, { tcp::v4(), 0 } };
        return { "127.0.0.1", acceptor.local_endpoint().port() };
    }

    Rig rig;
    FakeEndpoint &endpoint { rig.addEndpoint("i-1") };
    Dialect dialect { rig.dialect };
    Address callers { freeAddress(rig.context) };
    std::array<FakeControl, 2> controls { FakeControl { rig.context, "n1", "n3" },
                                          FakeControl { rig.context, "n2", "n3" } };
    tcp::socket caller { rig.context };
    std::unique_ptr<Gateway> gateway;
};

auto grantOfFirst() -> proto::PickGrant
{
    auto grant = proto::PickGrant {};
    grant.ticket = 1;
    grant.reply.endpoint = EndpointId { "i-1" };
    return grant;
}

} // namespace

TEST_CASE("A grant that a balancer sends reaches the request that waits for it")
{
    auto world = GatewayWorld {};
    world.send();
    auto *asked = static_cast<FakeControl *>(nullptr);
    REQUIRE(world.rig.runUntil([&] {
        for (auto &control : world.controls)
            asked = control.asked > 0 ? &control : asked;
        return asked != nullptr;
    }));
    REQUIRE(world.rig.runUntil([&] { return world.hasOnPage("queued\"} 1"); }));
    asked->asker->send({ 0, grantOfFirst() });
    CHECK(world.answer().find("one") != std::string::npos);
    REQUIRE(world.rig.runUntil([&] { return asked->ended == 1; }));
    CHECK(world.hasOnPage("place_wait_seconds_count{end=\"granted\"} 1"));
    CHECK(world.hasOnPage("place_prediction_error_seconds_count 1"));
}

TEST_CASE("If the balancer of a queued request goes down, the request waits at the next one")
{
    auto world = GatewayWorld {};
    world.send();
    auto &controls = world.controls;
    REQUIRE(world.rig.runUntil([&] { return controls[0].asked + controls[1].asked > 0; }));
    auto &former = controls[0].asked > 0 ? controls[0] : controls[1];
    auto &next = controls[0].asked > 0 ? controls[1] : controls[0];
    former.server->stop();
    REQUIRE(world.rig.runUntil([&] { return next.asked == 1; }));
    auto grant = grantOfFirst();
    grant.ticket = 2;
    next.asker->send({ 0, grant });
    CHECK(world.answer().find("one") != std::string::npos);
}

TEST_CASE("A grant that no request waits for is answered, so that its place does not stay booked")
{
    auto world = GatewayWorld {};
    world.send();
    auto &controls = world.controls;
    REQUIRE(world.rig.runUntil([&] { return controls[0].asked + controls[1].asked > 0; }));
    auto &control = controls[0].asked > 0 ? controls[0] : controls[1];
    auto grant = grantOfFirst();
    grant.ticket = 99;
    control.asker->send({ 0, grant });
    REQUIRE(world.rig.runUntil([&] { return control.ended == 1; }));
    CHECK(world.endpoint.seen.empty());
}
