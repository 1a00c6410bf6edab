// Whether a caller is still there, and what to stop when it goes.
//
// Lives as long as its request. All calls run on the request's strand, as does
// the server's notice that the peer is gone; no locks.

#ifndef FIGRACK_ROUTER_CALLERSTATE_H
#define FIGRACK_ROUTER_CALLERSTATE_H

#include <functional>
#include <utility>

namespace figrack::router {

class CallerState
{
public:
    /// @param keepsRunning true for work that goes on without its caller: claimed requests, whose
    /// answer is stored for the resend
    explicit CallerState(bool keepsRunning)
        : keepsRunning_(keepsRunning)
    { }
    /// @param stop ends what the request now waits for
    auto setStop(std::function<void()> stop) -> void { stop_ = std::move(stop); }
    auto clearStop() -> void { stop_ = {}; }
    /// The caller's connection closed.
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
