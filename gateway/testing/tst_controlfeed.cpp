// Which control a gateway asks for picks, over loopback channels.

#include <doctest/doctest.h>

#include <map>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/error.h"
#include "gateway/controlfeed.h"

using namespace figrack;
using namespace figrack::gateway;
using namespace std::chrono_literals;

namespace {

constexpr auto patience = 20s;

auto channelOf(const std::string &name) -> proto::ChannelOptions
{
    auto options = proto::ChannelOptions {};
    options.self = NodeId { name };
    options.keys = *proto::PeerKeys::fromText(std::string(64, 'a'));
    return options;
}

/// A control that names a leader and answers picks with its own name, unless it is silent.
struct FakeControl
{
    FakeControl(boost::asio::io_context &context, std::string itsName, const std::string &leader)
        : name(std::move(itsName))
        , documentTimer(context)
    {
        auto handler = proto::PeerHandler {};
        handler.onMessage
                = [this, leader](const proto::PeerPointer &peer, const proto::Envelope &envelope) {
                      if (std::holds_alternative<proto::Subscribe>(envelope.payload)) {
                          auto update = proto::ServingUpdate {};
                          update.leader = NodeId { leader };
                          update.term = Term { 1 };
                          update.document = document;
                          peer->send({ 0, update });
                      } else if (std::holds_alternative<proto::PickRequest>(envelope.payload)) {
                          ++asked;
                          if (!isSilent)
                              peer->send({ envelope.correlation,
                                           proto::PickReply { EndpointId { name }, 0, 0, 0, {} } });
                      } else if (std::holds_alternative<proto::PickEnd>(envelope.payload)) {
                          ++ended;
                      } else if (std::holds_alternative<proto::DocumentRequest>(envelope.payload)) {
                          sendDocument(peer, envelope.correlation);
                      }
                  };
        server = std::make_unique<proto::PeerServer>(context, channelOf(name), std::move(handler));
        REQUIRE(server->start({ "127.0.0.1", 0 }).ok());
    }
    auto address() const -> Address { return { "127.0.0.1", server->port() }; }
    auto sendDocument(const proto::PeerPointer &peer, std::uint64_t correlation) -> void
    {
        documentTimer.expires_after(documentDelay);
        documentTimer.async_wait([this, peer, correlation](const boost::system::error_code &error) {
            if (!error)
                peer->send({ correlation, proto::DocumentReply { document, "text" } });
        });
    }

    std::string name;
    Revision document;            ///< That it announces; 0: none.
    Duration documentDelay { 0 }; ///< What its document takes on a slow link.
    boost::asio::steady_timer documentTimer;
    bool isSilent = false;
    int asked = 0;
    int ended = 0;
    std::unique_ptr<proto::PeerServer> server;
};

struct FeedRig
{
    explicit FeedRig(const std::string &leader)
    {
        for (const auto *name : { "n1", "n2", "n3" })
            controls[name] = std::make_unique<FakeControl>(context, name, leader);
    }
    ~FeedRig()
    {
        for (auto &[name, control] : controls)
            control->server->stop();
        for (auto &feed : feeds)
            feed->stop();
        context.restart();
        context.run_for(20ms);
    }

    auto addFeed(const std::string &name, ControlFeedOptions options = {}) -> ControlFeed &
    {
        options.channel = channelOf(name);
        for (const auto &[itsName, control] : controls)
            options.seeds.push_back(control->address());
        auto updates = std::make_shared<std::size_t>(0);
        auto hooks = ControlFeedHooks {};
        hooks.onUpdate = [updates](const proto::ServingUpdate &) { ++*updates; };
        hooks.onDocument = [this](Revision version, const std::string &) {
            documents.push_back(version);
            return true;
        };
        feeds.push_back(std::make_unique<ControlFeed>(context, options, clock, std::move(hooks)));
        feeds.back()->start();
        runUntil([&] { return *updates == controls.size(); });
        return *feeds.back();
    }

    /// @return the name of the control that picked; empty when none did in time
    auto pick(ControlFeed &feed) -> std::string
    {
        auto result = std::optional<std::string> {};
        const auto link = feed.balancerLink();
        const auto asked = link.ask({}, 200ms, [&](const auto &reply) {
            result = reply ? reply->endpoint.value() : "";
        });
        if (!asked)
            return {};
        runUntil([&] { return result.has_value(); });
        return result.value_or("");
    }

    auto runUntil(const std::function<bool()> &condition) -> void
    {
        const auto end = std::chrono::steady_clock::now() + patience;
        while (!condition() && std::chrono::steady_clock::now() < end) {
            context.restart();
            context.run_one_for(10ms);
        }
        REQUIRE(condition());
    }

    boost::asio::io_context context { 1 };
    ManualClock clock;
    std::map<std::string, std::unique_ptr<FakeControl>> controls;
    std::vector<std::unique_ptr<ControlFeed>> feeds;
    std::vector<Revision> documents; ///< That came.
};

} // namespace

TEST_CASE("All gateways ask the same control, and never the leader while there is another")
{
    for (const auto *leader : { "n1", "n2", "n3" }) {
        auto rig = FeedRig { leader };
        const auto first = rig.pick(rig.addFeed("g1"));
        CHECK_FALSE(first.empty());
        CHECK(first != leader);
        CHECK(rig.pick(rig.addFeed("g2")) == first);
    }
}

TEST_CASE("A control that does not answer is left out for a pause, and its booking is ended")
{
    auto rig = FeedRig { "n3" };
    auto &feed = rig.addFeed("g1");
    const auto first = rig.pick(feed);
    auto &silent = *rig.controls.at(first);
    silent.isSilent = true;
    CHECK(rig.pick(feed).empty());
    rig.runUntil([&] { return silent.ended == 1; });
    const auto second = rig.pick(feed);
    CHECK_FALSE(second.empty());
    CHECK(second != first);
    silent.isSilent = false;
    rig.clock.advance(ControlFeedOptions {}.balancerPause);
    CHECK(rig.pick(feed) == first);
}

TEST_CASE("The leader balances when it alone is connected; without a control nobody does")
{
    auto rig = FeedRig { "n3" };
    auto &feed = rig.addFeed("g1");
    rig.controls.at("n1")->server->stop();
    rig.controls.at("n2")->server->stop();
    rig.runUntil([&] { return feed.connected() == 1; });
    CHECK(rig.pick(feed) == "n3");
    rig.controls.at("n3")->server->stop();
    rig.runUntil([&] { return feed.connected() == 0; });
    CHECK_FALSE(feed.balancerLink().ask({}, 200ms, [](const auto &) {}));
    CHECK_FALSE(feed.balancerLink().tell({}));
}

TEST_CASE("A document that takes longer than the first timeout comes all the same")
{
    auto rig = FeedRig { "n3" };
    for (auto &[name, control] : rig.controls) {
        control->document = Revision { 5 };
        control->documentDelay = 60ms;
    }
    auto options = ControlFeedOptions {};
    options.documentTimeout = 10ms;
    options.longestDocumentTimeout = 10s;
    rig.addFeed("g1", options);
    rig.runUntil([&] { return rig.documents == std::vector { Revision { 5 } }; });
    CHECK(rig.documents.size() == 1);
}
