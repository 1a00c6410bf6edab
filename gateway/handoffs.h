// Hands requests to other gateways (proto/handoff.h), and finds out which ones can take them.
//
//   handoffs.prepare();                                       // a path is suspected
//   auto target = co_await handoffs.choose(groups, tried, homes);
//   auto opened = co_await handoffs.client().open(handoffs.requestTo(*target, request), left);
//
// Controls are asked for other gateways only while a path is not open. Not thread-safe.

#ifndef FIGRACK_GATEWAY_HANDOFFS_H
#define FIGRACK_GATEWAY_HANDOFFS_H

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "core/clock.h"
#include "core/random.h"
#include "gateway/handofftargets.h"
#include "gateway/waiters.h"
#include "http/client.h"
#include "proto/handoff.h"

namespace figrack::gateway {

/// Path at which a gateway takes requests of others.
constexpr auto handoffPath = std::string_view { "/handoff" };
/// Header with the seal of a request's body.
constexpr auto handoffSealHeader = std::string_view { "Figrack-Seal" };
/// Header of an answer that the second gateway made itself: the request's outcome there, and what
/// it lacked (chooser.h), separated by a space.
constexpr auto handoffOutcomeHeader = std::string_view { "Figrack-Outcome" };
/// Header of a stream that the second gateway relays: the version of the software of the endpoint
/// that began it.
constexpr auto handoffVersionHeader = std::string_view { "Figrack-Software-Version" };
/// Outcome of a request that the second gateway could not take, but another one may.
constexpr auto handoffDeclined = std::string_view { "declined" };

struct HandoffsOptions
{
    HandoffTargetsOptions targets;
    std::shared_ptr<proto::PeerKeys> keys;
    /// How long a request waits for the first answer of a control. It comes within milliseconds.
    Duration awaitTargets = std::chrono::milliseconds { 400 };
    http::ClientOptions client = {};
};

/// Dependencies of Handoffs. All of them must outlive it.
struct HandoffsParts
{
    boost::asio::io_context &context;
    const Clock &clock;
    Random &random;
    Waiters &waiters;
    using Done = std::function<void(std::vector<proto::HandoffTarget>)>;
    /// Asks a control for other gateways. @param done called if one answers
    std::function<void(Done done)> askControls;
};

class Handoffs
{
public:
    Handoffs(HandoffsOptions options, HandoffsParts parts);
    /// Asks a control for other gateways, unless a recent answer is known.
    auto prepare() -> void;
    /// @param groups of the endpoints that could serve the request; empty: any
    /// @param tried gateways that could not take it
    /// @param homes where the request may be sent
    /// @return a gateway to hand the request to; nullopt if none is known in time
    auto choose(std::set<catalogue::EndpointGroup> groups, std::set<NodeId> tried,
                catalogue::HomeRule homes)
            -> boost::asio::awaitable<std::optional<proto::HandoffTarget>>;
    auto requestTo(const proto::HandoffTarget &target, const proto::HandedRequest &request) const
            -> http::ClientRequest;
    auto client() -> http::Client & { return client_; }
    auto targets() -> HandoffTargets & { return targets_; }

private:
    HandoffsOptions options_;
    HandoffsParts parts_;
    HandoffTargets targets_;
    http::Client client_;
    std::optional<Instant> askedAt_;
    /// Lets answers that come after the end of this object be ignored.
    std::shared_ptr<Handoffs *> self_;
};

} // namespace figrack::gateway

#endif // FIGRACK_GATEWAY_HANDOFFS_H
