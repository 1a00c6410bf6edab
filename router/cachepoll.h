// Polls the prefix-cache events of the engines that this router dispatches to.
//
// Only engines used within the last minute are polled, and at most maxPolls of
// them per round, so that the cost depends on this router's own traffic and not on
// the size of the fleet.
//
// Guarantees: an engine has at most one poll in progress. Answers are bounded in
// size. An engine that answers with an error is not polled until it is used again.

#ifndef FIGRACK_ROUTER_CACHEPOLL_H
#define FIGRACK_ROUTER_CACHEPOLL_H

#include <functional>
#include <map>
#include <string_view>

#include <absl/status/statusor.h>
#include <boost/asio/awaitable.hpp>

#include "core/clock.h"
#include "http/client.h"
#include "policy/choice.h"
#include "router/scheduler.h"

namespace figrack::router {

/// @param endpoint the endpoint that sent the answer
/// @param json the body of GET /figrack/cache-events
/// @return the events, or Malformed if the JSON does not follow docs/API.md
auto parseCacheEvents(const EndpointId &endpoint, std::string_view json)
        -> absl::StatusOr<policy::CacheEvents>;

class CachePoller
{
public:
    CachePoller(const Clock &clock, Scheduler &scheduler, http::Client &client);
    /// Polls the next engines, one after another. Must not run concurrently with itself.
    auto round() -> boost::asio::awaitable<void>;

private:
    struct Engine
    {
        Address address;
        Instant lastUsed;
        std::uint64_t next = 0; ///< Sequence number of the first event not received yet.
    };
    auto pollOne(const EndpointId &id, Engine &engine) -> boost::asio::awaitable<bool>;

    const Clock &clock_;
    Scheduler &scheduler_;
    http::Client &client_;
    std::map<EndpointId, Engine> engines_;
    EndpointId cursor_; ///< The engine polled last; the next round continues after it.
};

} // namespace figrack::router

#endif // FIGRACK_ROUTER_CACHEPOLL_H
