// Tests that a control tells gateways of software versions over its lives, over a loopback channel.

#include <doctest/doctest.h>

#include <filesystem>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <unistd.h>

#include "fleet/core.h"
#include "proto/channel.h"

using namespace figrack;
using namespace figrack::fleet;
using namespace std::chrono_literals;

namespace {

constexpr auto testTimeout = 20s;
const auto service = ServiceId { "s" };

auto channelOf(const std::string &name) -> proto::ChannelOptions
{
    auto options = proto::ChannelOptions {};
    options.self = NodeId { name };
    options.keys = *proto::PeerKeys::fromText(std::string(64, 'a'));
    return options;
}

auto freePort() -> std::uint16_t
{
    auto context = boost::asio::io_context { 1 };
    auto server = proto::PeerServer { context, channelOf("x"), {} };
    REQUIRE(server.start({ "127.0.0.1", 0 }).ok());
    const auto port = server.port();
    server.stop();
    context.run_for(20ms); // It closes its socket.
    return port;
}

/// One life of a control that is the only one of its group, and a gateway.
class Life
{
public:
    Life(const Address &address, const std::string &folder, bool bootstrap)
    {
        auto options = CoreOptions {};
        options.name = NodeId { "n" + address.text() };
        options.peers = address;
        options.seeds = { address };
        options.bootstrap = bootstrap;
        options.dataFolder = folder;
        options.keys = channelOf("").keys;
        options.versions.settleAfterBreak = 100ms;
        core_ = std::make_unique<Core>(
                context_, options, clock_, port_,
                [](std::string_view) { return catalogue::Catalogue {}; }, 1);
        REQUIRE(core_->start().ok());
        auto handler = proto::PeerHandler {};
        handler.onOpen = [address](const proto::PeerPointer &peer) {
            auto subscribe = proto::Subscribe {};
            subscribe.callers = address;
            subscribe.ready = true;
            subscribe.handoffs = { "127.0.0.1", 7 };
            peer->send({ 0, subscribe });
        };
        handler.onMessage = [this](const proto::PeerPointer &, const proto::Envelope &envelope) {
            if (const auto *update = std::get_if<proto::ServingUpdate>(&envelope.payload))
                onUpdate(*update);
        };
        handler.onClose = [](const proto::PeerPointer &, const absl::Status &) {};
        gateway_ = std::make_unique<proto::PeerClient>(context_, channelOf("g1"), address,
                                                       std::move(handler));
        gateway_->start();
    }
    ~Life()
    {
        gateway_->stop();
        auto isStopped = false;
        core_->requestStop([&isStopped] { isStopped = true; });
        runUntil([&] { return isStopped; });
    }
    Life(const Life &) = delete;
    auto operator=(const Life &) -> Life & = delete;

    auto announce(const std::string &version) -> void
    {
        auto row = catalogue::EndpointRow {};
        row.id = EndpointId { "e1" };
        row.service = service;
        row.sequence = ++sequence_;
        row.softwareVersion = version;
        core_->registry().onAnnouncement(row);
    }
    template<typename Condition>
    auto runUntil(const Condition &condition) -> void
    {
        const auto limit = clock_.now() + testTimeout;
        while (!condition() && clock_.now() < limit) {
            context_.restart();
            context_.run_one_for(10ms);
        }
        CHECK(condition());
    }

    std::vector<std::string> versions; ///< Of the service.
    std::vector<proto::OriginOwner> owners;
    bool isComplete = false;
    int told = 0; ///< Number of messages on software versions.

private:
    auto onUpdate(const proto::ServingUpdate &update) -> void
    {
        if (update.originOwners)
            owners = *update.originOwners;
        if (!update.softwareVersions)
            return;
        ++told;
        isComplete = update.softwareVersions->isComplete;
        for (const auto &row : update.softwareVersions->services) {
            if (row.service == service)
                versions = row.versions;
        }
    }

    boost::asio::io_context context_ { 1 };
    SystemClock clock_;
    OrderPort port_;
    std::uint64_t sequence_ = 0;
    std::unique_ptr<Core> core_;
    std::unique_ptr<proto::PeerClient> gateway_;
};

} // namespace

TEST_CASE("A gateway is told of versions by a new fleet's control, and by the same one after a "
          "restart")
{
    using Names = std::vector<std::string>;
    const auto address = Address { "127.0.0.1", freePort() };
    const auto folder = std::filesystem::temp_directory_path()
            / ("figrack-versions-" + std::to_string(::getpid()));
    std::filesystem::create_directories(folder);
    {
        auto life = Life { address, folder.string(), true };
        life.runUntil([&] { return life.isComplete; });
        CHECK(life.owners.size() == 1);
        life.announce("v1");
        life.runUntil([&] { return life.versions == Names { "v1" }; });
        life.announce("v2");
        life.runUntil([&] { return life.versions == Names { "v1", "v2" }; });
        CHECK(life.isComplete);
        const auto told = life.told;
        const auto until = std::chrono::steady_clock::now() + 700ms;
        life.runUntil([&] { return std::chrono::steady_clock::now() >= until; });
        CHECK(life.told == told);
    }
    {
        auto life = Life { address, folder.string(), false };
        life.runUntil([&] { return life.isComplete; });
        CHECK(life.versions == Names { "v1", "v2" });
    }
    std::filesystem::remove_all(folder);
}
