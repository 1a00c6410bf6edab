// OrderPort is the interface through which the leader reaches endpoints. Tests replace it with a
// fake.

#ifndef FIGRACK_CONTROL_ORDERPORT_H
#define FIGRACK_CONTROL_ORDERPORT_H

#include <functional>

#include <absl/status/statusor.h>

#include "core/settings.h"
#include "endpoint/orders.h"
#include "proto/messages.h"

namespace figrack::control {

/// Sends orders and requests endpoint states. Each callback runs exactly once, on the control's
/// strand.
class OrderPort
{
public:
    using OrderDone = std::function<void(const endpoint::OrderAnswer &)>;
    using StatusDone = std::function<void(const absl::StatusOr<proto::EndpointReport> &)>;

    virtual ~OrderPort() = default;
    /// @param mayStart called on any thread right before the first byte is sent; if it returns
    ///        false, the order is not sent
    virtual auto send(const Address &endpoint, const endpoint::Order &order,
                      std::function<bool()> mayStart, OrderDone done) -> void
            = 0;
    virtual auto fetchStatus(const Address &endpoint, StatusDone done) -> void = 0;
    /// Aborts every connection that carries an order.
    virtual auto abortAll() -> void = 0;
};

} // namespace figrack::control

#endif // FIGRACK_CONTROL_ORDERPORT_H
