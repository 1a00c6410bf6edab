// The software version that began each stream which a caller may take up again.
//
//   origins.onBegun({ service, request }, { version, account });     // with the first event
//   const auto found = co_await origins.find({ service, resumed }, account);
//
// While a service has several software versions, the gateway at which a stream begins tells its
// origin to the owners of the stream: two gateways in different failure domains that every gateway
// finds by rendezvous hashing (gateway/originowners.h). A gateway that does not know a stream asks
// them, so that the origins are known while no control can be reached, and after the gateway that
// began the stream has ended. Controls keep them as well, in case all gateways end at once. A
// version is never guessed: where several may have begun the stream and no one knows which, the
// answer is unknown.
//
// Origins are kept for the resumption window, in tables of bounded size. Not thread-safe.

#ifndef FIGRACK_GATEWAY_STREAMORIGINS_H
#define FIGRACK_GATEWAY_STREAMORIGINS_H

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "core/clock.h"
#include "core/random.h"
#include "gateway/foundorigin.h"
#include "gateway/metrics.h"
#include "gateway/originowners.h"
#include "gateway/originteller.h"
#include "gateway/origintransport.h"
#include "proto/origintable.h"
#include "proto/streamorigin.h"

namespace figrack::gateway {

struct StreamOriginsOptions
{
    NodeId self;
    proto::OriginTableOptions table;
    OriginTellerOptions teller;
    OriginWaits waits;
    /// Until other gateways have answered. A caller waits for it.
    Duration askTimeout = std::chrono::milliseconds { 150 };
    /// Until they are asked once more: the first gateway's message may be on its way to them.
    Duration askAgainAfter = std::chrono::milliseconds { 100 };
};

/// How origins are kept at controls (gateway/controlorigins.h).
struct OriginControls
{
    using Done = std::function<void(const ControlAnswer &)>;
    std::function<void(const proto::BegunStream &)> tell = [](const auto &) {};
    /// @param done called once, within about the timeout
    std::function<void(const proto::StreamKey &, Duration timeout, Done done)> ask
            = [](const auto &, Duration, const Done &done) { done({}); };
};

/// Dependencies of StreamOrigins. The references must outlive it.
struct StreamOriginsParts
{
    boost::asio::io_context &context;
    const Clock &clock;
    Random &random;
    Metrics &metrics;
    /// Software versions of a service that have served within the window, as far as is known.
    std::function<std::set<std::string>(const ServiceId &)> versionsOf;
    /// Whether no version that has served within the window can be missing, of any service.
    std::function<bool()> isComplete;
    /// All gateways that are known, this one among them or not.
    std::function<std::vector<OriginOwner>()> gateways;
    OriginTransport transport;
    OriginControls controls;
};

class StreamOrigins
{
public:
    StreamOrigins(StreamOriginsOptions options, StreamOriginsParts parts);
    ~StreamOrigins();
    StreamOrigins(const StreamOrigins &) = delete;
    auto operator=(const StreamOrigins &) -> StreamOrigins & = delete;
    /// A stream has begun here, was resumed here or is still in progress here. Keeps its origin for
    /// another window, and tells the owners if the service has several versions.
    auto onBegun(const proto::StreamKey &key, proto::StreamOrigin origin) -> void;
    /// A service has got a second version. Tells the owners of the streams that have begun here.
    auto onSecondVersion(const ServiceId &service) -> void;
    /// This gateway is going to end. Tells the origins that it keeps to those that own them after
    /// it.
    auto onLeaving() -> void;
    /// Finds out the version that began a stream.
    /// @param account of the caller; empty if there is none
    auto find(const proto::StreamKey &key, const AccountId &account) const
            -> boost::asio::awaitable<FoundOrigin>;
    /// Handles a message of another gateway.
    auto onMessage(const proto::StreamOriginMessage &message) -> proto::StreamOriginReply;
    /// @return the number of origins that are kept
    auto size() const -> std::size_t;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace figrack::gateway

#endif // FIGRACK_GATEWAY_STREAMORIGINS_H
