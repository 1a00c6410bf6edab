// Tells other gateways the origins of streams, without anyone waiting for it.
//
//   auto teller = OriginTeller { options, { context, metrics, transport } };
//   teller.tell(owner, stream);
//
// One message at a time is on its way to each gateway; what comes meanwhile goes with the next one.
// Not thread-safe.

#ifndef FIGRACK_GATEWAY_ORIGINTELLER_H
#define FIGRACK_GATEWAY_ORIGINTELLER_H

#include <memory>

#include <boost/asio/io_context.hpp>

#include "gateway/metrics.h"
#include "gateway/origintransport.h"

namespace figrack::gateway {

struct OriginTellerOptions
{
    /// Of each of the two attempts to send a message. Covers a connection to another region.
    Duration timeout = std::chrono::milliseconds { 500 };
    /// Streams that wait, for all gateways together: those of a full table, for two owners each.
    std::size_t maxWaiting = 131'072;
};

/// Dependencies of OriginTeller. The references must outlive it.
struct OriginTellerParts
{
    boost::asio::io_context &context;
    Metrics &metrics;
    OriginTransport transport;
};

class OriginTeller
{
public:
    OriginTeller(OriginTellerOptions options, OriginTellerParts parts);
    ~OriginTeller();
    OriginTeller(const OriginTeller &) = delete;
    auto operator=(const OriginTeller &) -> OriginTeller & = delete;
    auto tell(const OriginOwner &owner, proto::BegunStream stream) -> void;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace figrack::gateway

#endif // FIGRACK_GATEWAY_ORIGINTELLER_H
