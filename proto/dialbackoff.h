// How long a client waits for a connection to be made, and before the next try.
//
//   auto backoff = DialBackoff { options };
//   dial(backoff.patience()); ... backoff.onFailed(); wait(backoff.pause());
//
// An opening packet to a VM that is still starting is lost without a word, and
// the system sends it again after a second. So the first tries are short: a peer
// that comes back is reached some 0.1 s later. When gateways and controls were
// started together after a loss of power, gateways had their first document 1.1 s
// after their start with one patience of 1 s, and 0.5 s with this one.
//
// Pure. Not thread-safe.

#ifndef FIGRACK_PROTO_DIALBACKOFF_H
#define FIGRACK_PROTO_DIALBACKOFF_H

#include <algorithm>

#include "core/clock.h"

namespace figrack::proto {

struct DialBackoffOptions
{
    /// For the first try: ten round trips between failure domains of one region. Doubles.
    Duration firstPatience = std::chrono::milliseconds { 100 };
    Duration longestPatience = std::chrono::seconds { 1 };
    Duration firstPause = std::chrono::milliseconds { 50 }; ///< Doubles, too.
    Duration longestPause = std::chrono::seconds { 2 };
};

class DialBackoff
{
public:
    explicit DialBackoff(const DialBackoffOptions &options)
        : options_(options)
        , patience_(options.firstPatience)
        , pause_(options.firstPause)
    { }
    /// @return for how long the next connection is waited for
    auto patience() const -> Duration { return patience_; }
    /// @return the pause before the next try, before jitter
    auto pause() const -> Duration { return pause_; }
    auto onFailed() -> void
    {
        patience_ = std::min(patience_ * 2, options_.longestPatience);
        pause_ = std::min(pause_ * 2, options_.longestPause);
    }
    /// The connection stood: the peer is there, or was a moment ago.
    auto onOpened() -> void
    {
        patience_ = options_.firstPatience;
        pause_ = options_.firstPause;
    }

private:
    DialBackoffOptions options_;
    Duration patience_;
    Duration pause_;
};

} // namespace figrack::proto

#endif // FIGRACK_PROTO_DIALBACKOFF_H
