// The router process, put together.
//
//   auto router = Router { context, options, clock, keys, seed };
//   auto status = router.start();
//   ... context runs on a pool of threads ...
//   router.requestStop();            // SIGTERM; onStopped follows once all is finished
//
// Lock order over the package: Scheduler::mutex_ (1), View::mutex_ (2); all
// others are leaves, under which nothing is called.

#ifndef FIGRACK_ROUTER_ROUTER_H
#define FIGRACK_ROUTER_ROUTER_H

#include <functional>
#include <memory>

#include <absl/status/status.h>
#include <boost/asio/io_context.hpp>

#include "core/clock.h"
#include "proto/channel.h"
#include "router/drain.h"
#include "router/settings.h"

namespace figrack::router {

class Router
{
public:
    /// @param seed of every random choice; also makes this life's incarnation unique
    /// @param onStopped called once after a planned stop has finished
    Router(boost::asio::io_context &context, const RouterOptions &options, const Clock &clock,
           std::shared_ptr<proto::PeerKeys> keys, std::uint64_t seed,
           std::function<void()> onStopped);
    ~Router();
    /// @return BadSettings when the caller address cannot be bound
    auto start() -> absl::Status;
    /// @return the port that callers connect to
    auto port() const -> std::uint16_t;
    /// Begins the planned stop; see router/drain.h.
    auto requestStop() -> void;
    /// @return true while new work may be taken
    auto isCurrent() const -> bool;
    auto phase() const -> DrainPhase;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace figrack::router

#endif // FIGRACK_ROUTER_ROUTER_H
