// Fake controls that a test drives, and control feeds connected to them over loopback channels.

#ifndef FIGRACK_GATEWAY_TESTING_FEEDRIG_H
#define FIGRACK_GATEWAY_TESTING_FEEDRIG_H

#include <doctest/doctest.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "catalogue/documentblocks.h"
#include "gateway/controlfeed.h"

namespace figrack::gateway::testing {

constexpr auto patience = std::chrono::seconds { 20 };
constexpr auto idleStep = std::chrono::milliseconds { 10 };

inline auto channelOf(const std::string &name) -> proto::ChannelOptions
{
    auto options = proto::ChannelOptions {};
    options.self = NodeId { name };
    options.keys = *proto::PeerKeys::fromText(std::string(64, 'a'));
    return options;
}

/// A control that announces a leader and answers picks with its own name, unless it is silent.
struct FakeControl
{
    FakeControl(boost::asio::io_context &itsContext, std::string itsName, const std::string &leader)
        : context(itsContext)
        , name(std::move(itsName))
    {
        auto handler = proto::PeerHandler {};
        handler.onMessage = [this, leader](const proto::PeerPointer &peer,
                                           const proto::Envelope &envelope) {
            if (const auto *subscribe = std::get_if<proto::Subscribe>(&envelope.payload)) {
                capacity = subscribe->capacity;
                subscriptions[peer->peer()] = *subscribe;
                auto update = proto::ServingUpdate {};
                update.leader = NodeId { leader };
                update.term = Term { 1 };
                update.document = document;
                update.endpoints = endpointsFor ? endpointsFor(*subscribe) : endpoints;
                peer->send({ 0, update });
                if (!suspects.empty())
                    peer->send({ 0, proto::SuspectNews { suspects } });
                if (schedule)
                    peer->send({ 0, *schedule });
            } else if (const auto *news = std::get_if<proto::SuspectNews>(&envelope.payload)) {
                suspectsHeard += news->rows.size();
            } else if (std::holds_alternative<proto::PickRequest>(envelope.payload)) {
                ++asked;
                asker = peer;
                auto reply = proto::PickReply { EndpointId { name }, 0, 0, 0, {} };
                if (isQueueing) {
                    reply = {};
                    reply.isQueued = true;
                }
                if (isIsolated) {
                    reply = {};
                    reply.refusal = proto::PickRefusal::CannotCount;
                }
                if (!isSilent)
                    peer->send({ envelope.correlation, reply });
            } else if (std::holds_alternative<proto::PickEnd>(envelope.payload)) {
                ++ended;
            } else if (std::holds_alternative<proto::RetryGrantRequest>(envelope.payload)) {
                ++askedForRetries;
                peer->send({ envelope.correlation, proto::RetryGrantReply { true, 0 } });
            } else if (std::holds_alternative<proto::HandoffTargetsRequest>(envelope.payload)) {
                ++askedForTargets;
                peer->send({ envelope.correlation, targetsFor(peer->peer()) });
            } else if (std::holds_alternative<proto::ManifestRequest>(envelope.payload)) {
                answerLater(peer, envelope.correlation,
                            proto::ManifestReply { document, catalogue::manifestOf(text) });
            } else if (std::holds_alternative<proto::BlocksRequest>(envelope.payload)) {
                answerLater(peer, envelope.correlation, proto::BlocksReply { { text } });
            }
        };
        server = std::make_unique<proto::PeerServer>(context, channelOf(name), std::move(handler));
        REQUIRE(server->start({ "127.0.0.1", 0 }).ok());
    }
    auto address() const -> Address { return { "127.0.0.1", server->port() }; }
    auto targetsFor(const NodeId &asker) const -> proto::HandoffTargetsReply
    {
        auto reply = proto::HandoffTargetsReply {};
        for (const auto &[node, subscribe] : subscriptions) {
            if (node == asker || !subscribe.ready || subscribe.reachesNone)
                continue;
            reply.targets.push_back({ node, subscribe.handoffs, subscribe.domain,
                                      subscribe.capacity, subscribe.unreached });
        }
        return reply;
    }
    auto answerLater(const proto::PeerPointer &peer, std::uint64_t correlation,
                     proto::Payload answer) -> void
    {
        if (holdsBackDocuments)
            return;
        auto timer = std::make_shared<boost::asio::steady_timer>(context, documentDelay);
        timer->async_wait([timer, peer, correlation,
                           answer = std::move(answer)](const boost::system::error_code &error) {
            if (!error)
                peer->send({ correlation, answer });
        });
    }

    boost::asio::io_context &context;
    std::string name;
    Revision document;            ///< Version that it announces; 0 if none.
    std::string text = "text";    ///< Text of the document, in one block.
    Duration documentDelay { 0 }; ///< Delay of document answers, as on a slow link.
    bool isQueueing = false;      ///< If true, it queues all picks.
    bool isIsolated = false;      ///< If true, it cannot count for accounts.
    std::vector<catalogue::EndpointRow> endpoints; ///< Rows that it sends to its subscribers.
    /// Rows for one subscriber, instead of endpoints; may be empty.
    std::function<std::vector<catalogue::EndpointRow>(const proto::Subscribe &)> endpointsFor;
    bool isSilent = false;           ///< If true, it does not answer picks.
    bool holdsBackDocuments = false; ///< If true, it does not answer document requests.
    int asked = 0;
    int ended = 0;
    int askedForTargets = 0;
    int askedForRetries = 0;
    std::uint32_t capacity = 0;                       ///< Of the latest subscription.
    std::map<NodeId, proto::Subscribe> subscriptions; ///< The latest ones.
    proto::PeerPointer asker;                         ///< Connection of the latest pick.
    std::vector<catalogue::SuspectRow> suspects;      ///< Rows that it sends to its subscribers.
    std::size_t suspectsHeard = 0;                    ///< Number of rows received.
    std::optional<proto::LoadSchedule> schedule;      ///< Sent to its subscribers.
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
        context.run_for(std::chrono::milliseconds { 20 });
    }

    auto addFeed(const std::string &name, ControlFeedOptions options = {}) -> ControlFeed &
    {
        options.channel = channelOf(name);
        for (const auto &[itsName, control] : controls)
            options.seeds.push_back(control->address());
        auto updates = std::make_shared<std::size_t>(0);
        auto hooks = ControlFeedHooks {};
        hooks.onUpdate = [updates](const Address &, const proto::ServingUpdate &) { ++*updates; };
        hooks.onDocument = [this](const FetchedDocument &document) {
            documents.push_back(document.version);
            return true;
        };
        hooks.onSuspects
                = [this](const proto::SuspectNews &news) { suspectsTold += news.rows.size(); };
        hooks.suspects = [this] { return suspects; };
        hooks.onGrant = [this](const Address &, const proto::PickGrant &grant) {
            grants.push_back(grant.ticket);
        };
        hooks.onControlClosed = [this](const Address &control) { closed.push_back(control); };
        hooks.onBalancer = [this](const auto &now) { balancers.push_back(now); };
        hooks.onLoadSchedule = [this](const proto::LoadSchedule &) { ++schedules; };
        feeds.push_back(std::make_unique<ControlFeed>(context, options, clock, std::move(hooks)));
        feeds.back()->start();
        runUntil([&] { return *updates == controls.size(); });
        return *feeds.back();
    }

    /// @return the name of the control that picked; empty if none did in time
    auto pick(ControlFeed &feed) -> std::string
    {
        auto result = std::optional<std::string> {};
        const auto link = feed.balancerLink();
        const auto asked = link.ask({}, std::chrono::milliseconds { 200 }, [&](const auto &reply) {
            result = reply ? reply->endpoint.value() : "";
        });
        if (!asked)
            return {};
        runUntil([&] { return result.has_value(); });
        return result.value_or("");
    }

    auto runUntil(const std::function<bool()> &condition) -> void
    {
        auto now = std::chrono::steady_clock::now();
        const auto end = now + patience;
        while (!condition() && now < end) {
            context.restart();
            context.run_one_for(idleStep);
            // Advance the feeds' clock together with their timers.
            const auto before = std::exchange(now, std::chrono::steady_clock::now());
            clock.advance(now - before);
        }
        REQUIRE(condition());
    }

    boost::asio::io_context context { 1 };
    ManualClock clock;
    std::map<std::string, std::unique_ptr<FakeControl>> controls;
    std::vector<std::unique_ptr<ControlFeed>> feeds;
    std::vector<Revision> documents;               ///< Versions received.
    std::vector<catalogue::SuspectRow> suspects;   ///< Rows that the feeds' gateways know.
    std::size_t suspectsTold = 0;                  ///< Number of rows received.
    std::vector<std::uint64_t> grants;             ///< Tickets of grants received.
    std::vector<Address> closed;                   ///< Controls whose connections closed.
    std::vector<std::optional<Address>> balancers; ///< Balancers reported by the feeds.
    std::size_t schedules = 0;                     ///< Number of load schedules received.
};

} // namespace figrack::gateway::testing

#endif // FIGRACK_GATEWAY_TESTING_FEEDRIG_H
