// Tracks whether a caller is still connected, and what to stop when it disconnects.
//
// The object lives as long as its request. All calls, including the server's
// notification that the peer disconnected, run on the request's strand, so there
// are no locks.

#ifndef FIGRACK_ROUTER_CALLERSTATE_H
#define FIGRACK_ROUTER_CALLERSTATE_H

#include <functional>
#include <utility>

namespace figrack::router {

class CallerState
{
public:
    /// @param keepsRunning true for work that continues after the caller has disconnected: claimed
    /// requests, whose answer is stored for a resend
    explicit CallerState(bool keepsRunning)
        : keepsRunning_(keepsRunning)
    { }
    /// @param stop cancels the operation that the request is waiting for
    auto setStop(std::function<void()> stop) -> void { stop_ = std::move(stop); }
    auto clearStop() -> void { stop_ = {}; }
    /// Call when the caller's connection has closed.
    auto onGone() -> void
    {
        gone_ = true;
        if (!keepsRunning_ && stop_)
            std::exchange(stop_, {})();
    }
    auto isGone() const -> bool { return gone_; }
    /// @return true when the work should stop
    auto mustStop() const -> bool { return gone_ && !keepsRunning_; }

private:
    bool keepsRunning_;
    bool gone_ = false;
    std::function<void()> stop_;
};

} // namespace figrack::router

#endif // FIGRACK_ROUTER_CALLERSTATE_H
