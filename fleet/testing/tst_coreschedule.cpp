// Tests that a leading control sends its load schedule to gateways, over a loopback channel.

#include <doctest/doctest.h>

#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <unistd.h>

#include "fleet/core.h"
#include "proto/channel.h"

using namespace figrack;
using namespace figrack::fleet;
using namespace std::chrono_literals;

namespace {

constexpr auto testTimeout = 20s;

auto makeCatalogue(std::uint32_t ranks) -> catalogue::Catalogue
{
    auto model = catalogue::ModelSpec {};
    model.id = ModelId { "m" };
    model.weightsMb = 10;
    model.loadFromStore = model.loadFromDisk = model.loadFromMemory = 60s;
    auto engine = catalogue::EngineSpec {};
    engine.weightsMb = 100;
    engine.models = { model };
    auto result = catalogue::Catalogue {};
    result.version = Revision { 1 };
    result.services = { { ServiceId { "s" }, 100, engine } };
    for (auto rank = 0U; rank < ranks; ++rank) {
        auto &route = result.routes.emplace_back();
        route.rank = rank;
        route.startTarget = 125s; // Two loads fit into it, so that it is deferrable.
        route.split = { { ServiceId { "s" }, 1 } };
    }
    return result;
}

auto channelOf(const std::string &name) -> proto::ChannelOptions
{
    auto options = proto::ChannelOptions {};
    options.self = NodeId { name };
    options.keys = *proto::PeerKeys::fromText(std::string(64, 'a'));
    return options;
}

/// A port that nothing listens on.
auto freePort(boost::asio::io_context &context) -> std::uint16_t
{
    auto server = proto::PeerServer { context, channelOf("x"), {} };
    REQUIRE(server.start({ "127.0.0.1", 0 }).ok());
    const auto port = server.port();
    server.stop();
    context.run_for(20ms); // It closes its socket.
    return port;
}

/// A control that is the only one of its group, an endpoint that accepts every order and never
/// completes it, and a gateway.
class CoreRig
{
public:
    explicit CoreRig(std::uint32_t ranks)
        : address_ { "127.0.0.1", freePort(context_) }
        , folder_(std::filesystem::temp_directory_path()
                  / ("figrack-core-" + std::to_string(::getpid()) + "-"
                     + std::to_string(address_.port)))
    {
        std::filesystem::create_directories(folder_);
        port_.send = [this](const catalogue::EndpointRow &,
                            const ModelOrder &) -> boost::asio::awaitable<OrderReply> {
            ++orders;
            co_return OrderReply::Accepted;
        };
        port_.readReport = [](const catalogue::EndpointRow &)
                -> boost::asio::awaitable<absl::StatusOr<EngineReport>> {
            co_return EngineReport {};
        };
        auto options = CoreOptions {};
        options.name = NodeId { "n" + address_.text() };
        options.peers = address_;
        options.seeds = { address_ };
        options.bootstrap = true;
        options.dataFolder = folder_.string();
        options.keys = *proto::PeerKeys::fromText(std::string(64, 'a'));
        options.orderQuarantine = Duration {};
        core_ = std::make_unique<Core>(
                context_, options, clock_, port_,
                [ranks](std::string_view) -> absl::StatusOr<catalogue::Catalogue> {
                    return makeCatalogue(ranks);
                },
                1);
        REQUIRE(core_->start().ok());
        runUntil([this] { return core_->mayOrder(); });
        auto isDone = false;
        core_->propose({ Revision { 1 }, "text" },
                       [&isDone](const absl::Status &) { isDone = true; });
        runUntil([&] { return isDone; });
        auto row = catalogue::EndpointRow {};
        row.id = EndpointId { "e1" };
        row.service = ServiceId { "s" };
        row.sequence = 1;
        row.onDisk = { ModelId { "m" } };
        core_->registry().onAnnouncement(row);
    }

    ~CoreRig()
    {
        if (gateway_)
            gateway_->stop();
        auto isStopped = false;
        core_->requestStop([&isStopped] { isStopped = true; });
        runUntil([&] { return isStopped; });
        std::filesystem::remove_all(folder_);
    }
    CoreRig(const CoreRig &) = delete;
    auto operator=(const CoreRig &) -> CoreRig & = delete;

    /// A gateway subscribes, and reports a request that waits for the model.
    auto want() -> void
    {
        auto handler = proto::PeerHandler {};
        handler.onOpen = [](const proto::PeerPointer &peer) {
            auto subscribe = proto::Subscribe {};
            subscribe.callers = { "127.0.0.1", 1 };
            peer->send({ 0, subscribe });
            auto wanted = proto::ModelWanted {};
            wanted.rows = { { ServiceId { "s" }, ModelId { "m" }, {}, 1, 1, 0, 0, 0, {} } };
            peer->send({ 0, wanted });
        };
        handler.onMessage = [this](const proto::PeerPointer &, const proto::Envelope &envelope) {
            if (const auto *schedule = std::get_if<proto::LoadSchedule>(&envelope.payload))
                schedules.push_back(*schedule);
        };
        handler.onClose = [](const proto::PeerPointer &, const absl::Status &) {};
        gateway_ = std::make_unique<proto::PeerClient>(context_, channelOf("g1"), address_,
                                                       std::move(handler));
        gateway_->start();
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

    auto metricsPage() -> std::string { return core_->metricsPage(); }

    int orders = 0;
    std::vector<proto::LoadSchedule> schedules;

private:
    boost::asio::io_context context_ { 1 };
    SystemClock clock_;
    Address address_;
    std::filesystem::path folder_;
    OrderPort port_;
    std::unique_ptr<Core> core_;
    std::unique_ptr<proto::PeerClient> gateway_;
};

auto isOrdered(const proto::LoadSchedule &schedule) -> bool
{
    return schedule.rows.size() == 1 && schedule.rows[0].model == ModelId { "m" }
    && schedule.rows[0].state == proto::ScheduledLoadState::Ordered;
}

} // namespace

// Guards against schedules that are computed and never sent, and against rows that are dropped with
// the acceptance of their order: the leader counts a load as held from then on.
TEST_CASE("A leader tells its gateways of a load that was accepted, again while it has rows")
{
    auto rig = CoreRig { 3 };
    rig.want();
    rig.runUntil([&] { return !rig.schedules.empty() && isOrdered(rig.schedules.back()); });
    const auto first = rig.schedules.size();
    rig.runUntil([&] { return rig.schedules.size() >= first + 2; });
    REQUIRE(rig.schedules.size() >= first + 2);
    CHECK(rig.schedules.back().number > rig.schedules.front().number);
    CHECK(rig.schedules.back().rows.at(0).readyInMs < 60'100);
    CHECK(rig.metricsPage().find("figrack_core_scheduled_loads{state=\"ordered\"} 1")
          != std::string::npos);
}

TEST_CASE("A leader sends no schedule where the configuration does not ask for ordered admission")
{
    auto rig = CoreRig { 2 };
    rig.want();
    rig.runUntil([&] { return rig.orders == 1; });
    const auto until = std::chrono::steady_clock::now() + 700ms;
    rig.runUntil([&] { return std::chrono::steady_clock::now() >= until; });
    CHECK(rig.schedules.empty());
}
