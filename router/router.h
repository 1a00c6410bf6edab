// Assembles the parts of the router process.
//
//   auto router = Router { context, options, clock, keys, seed, onStopped };
//   auto status = router.start();
//   ... run context on a pool of threads ...
//   router.requestStop();            // on SIGTERM; onStopped is called when all work is finished
//
// Lock order in this package: Scheduler::mutex_ (1), View::mutex_ (2). All other
// mutexes are leaves: no other lock is taken while one of them is held.

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
    /// @param seed seeds all random choices and makes this process's incarnation unique
    /// @param onStopped called once after a planned stop has finished
    Router(boost::asio::io_context &context, const RouterOptions &options, const Clock &clock,
           std::shared_ptr<proto::PeerKeys> keys, std::uint64_t seed,
           std::function<void()> onStopped);
    ~Router();
    /// @return BadSettings if the address for callers cannot be bound
    auto start() -> absl::Status;
    /// @return the port on which the router listens for callers
    auto port() const -> std::uint16_t;
    /// Starts the planned stop; see router/drain.h.
    auto requestStop() -> void;
    /// @return true while the configuration is known to be current, so that new work may start
    auto isCurrent() const -> bool;
    auto phase() const -> DrainPhase;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace figrack::router

#endif // FIGRACK_ROUTER_ROUTER_H
