// How the leader reaches endpoints: the boundary that tests put a fake at.

#ifndef FIGRACK_CONTROL_ORDERPORT_H
#define FIGRACK_CONTROL_ORDERPORT_H

#include <functional>

#include <absl/status/statusor.h>

#include "core/settings.h"
#include "endpoint/orders.h"
#include "proto/messages.h"

namespace figrack::control {

/// Sends orders and asks for states. Callbacks come on the control's strand, once each.
class OrderPort
{
public:
    using OrderDone = std::function<void(const endpoint::OrderAnswer &)>;
    using StatusDone = std::function<void(const absl::StatusOr<proto::EndpointReport> &)>;

    virtual ~OrderPort() = default;
    /// @param mayStart asked right before the first byte, on any thread
    virtual auto send(const Address &endpoint, const endpoint::Order &order,
                      std::function<bool()> mayStart, OrderDone done) -> void
            = 0;
    virtual auto fetchStatus(const Address &endpoint, StatusDone done) -> void = 0;
    /// Aborts every connection that carries an order.
    virtual auto abortAll() -> void = 0;
};

} // namespace figrack::control

#endif // FIGRACK_CONTROL_ORDERPORT_H
