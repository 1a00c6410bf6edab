// Keeps the origins of streams at controls, beside the gateways that own them: when all gateways
// end at once, no gateway knows them.
//
//   origins.tell(stream);                                 // nobody waits for it
//   origins.ask(key, timeout, [](const ControlAnswer &answer) { ... });
//
// Each stream is kept by two controls, by rendezvous hashing of its key over those that are known.
// Streams are told in batches. Not thread-safe.

#ifndef FIGRACK_GATEWAY_CONTROLORIGINS_H
#define FIGRACK_GATEWAY_CONTROLORIGINS_H

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include <absl/status/statusor.h>
#include <boost/asio/io_context.hpp>

#include "core/boottimer.h"
#include "core/clock.h"
#include "core/random.h"
#include "gateway/foundorigin.h"
#include "gateway/metrics.h"
#include "proto/messages.h"

namespace figrack::gateway {

struct ControlOriginsOptions
{
    /// Minimum time between two batches.
    Duration batchEvery = std::chrono::milliseconds { 100 };
    /// The same for each gateway that a control serves, which bounds the messages that controls get
    /// to a few thousand a second.
    Duration batchSpacing = std::chrono::microseconds { 500 };
    /// Streams that wait for the next batch, over all controls.
    std::size_t maxWaiting = 16'384;
};

/// Dependencies of ControlOrigins. The references must outlive it.
struct ControlOriginsParts
{
    using OnReply = std::function<void(const absl::StatusOr<proto::Payload> &)>;
    boost::asio::io_context &context;
    Random &random;
    Metrics &metrics;
    std::function<std::vector<NodeId>()> controls; ///< Those that are known.
    std::function<bool()> areAllConnected;
    std::function<std::size_t()> gateways; ///< Number of gateways, as far as is known.
    /// @return false if the control is not connected or its queue is full
    std::function<bool(const NodeId &control, proto::Payload message)> push;
    /// @return false if the control is not connected; then the callback is not called
    std::function<bool(const NodeId &control, proto::Payload message, Duration timeout,
                       OnReply onReply)>
            call;
};

class ControlOrigins
{
public:
    using Done = std::function<void(const ControlAnswer &)>;
    ControlOrigins(ControlOriginsOptions options, ControlOriginsParts parts);
    auto tell(const proto::BegunStream &stream) -> void;
    /// Asks the controls that keep the stream, and the next one in case another has joined since,
    /// for its origin and for the versions that have served.
    /// @param done called once, with the first origin that is found, or when all have answered or
    /// the timeout has passed
    auto ask(const proto::StreamKey &key, Duration timeout, Done done) -> void;
    auto stop() -> void { timer_.cancel(); }

private:
    /// @return the first controls of the stream's ranking
    auto controlsOf(const proto::StreamKey &key, std::size_t count) const -> std::vector<NodeId>;
    auto scheduleFlush() -> void;
    auto flush() -> void;

    ControlOriginsOptions options_;
    ControlOriginsParts parts_;
    BootTimer timer_;
    std::shared_ptr<const char> life_; ///< A handler of the timer that outlives this object ends.
    bool isScheduled_ = false;
    std::size_t waiting_ = 0;
    std::map<NodeId, std::vector<proto::BegunStream>> outboxes_; ///< By control.
};

} // namespace figrack::gateway

#endif // FIGRACK_GATEWAY_CONTROLORIGINS_H
