// Polls the prefix-cache events of the engines that this router dispatches to.
//
// Only engines used within a minute are asked, and at most maxPolls a round, so
// that the cost follows this router's own traffic and not the size of the fleet.
// Guarantees: one poll of an engine at a time; answers are bounded; an engine
// that answers badly is left alone till it is used again.

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

/// @param endpoint whose answer it is
/// @param json the body of GET /figrack/cache-events
/// @return the events; Malformed when the JSON is not as docs/API.md has it
auto parseCacheEvents(const EndpointId &endpoint, std::string_view json)
        -> absl::StatusOr<policy::CacheEvents>;

class CachePoller
{
public:
    CachePoller(const Clock &clock, Scheduler &scheduler, http::Client &client);
    /// Polls what is due, one engine after another. Never run twice at once.
    auto round() -> boost::asio::awaitable<void>;

private:
    struct Engine
    {
        Address address;
        Instant lastUsed;
        std::uint64_t next = 0; ///< Sequence of the first event not seen.
    };
    auto pollOne(const EndpointId &id, Engine &engine) -> boost::asio::awaitable<bool>;

    const Clock &clock_;
    Scheduler &scheduler_;
    http::Client &client_;
    std::map<EndpointId, Engine> engines_;
    EndpointId cursor_; ///< The last one polled; the next round goes on after it.
};

} // namespace figrack::router

#endif // FIGRACK_ROUTER_CACHEPOLL_H
