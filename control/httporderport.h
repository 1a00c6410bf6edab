// HttpOrderPort implements OrderPort over HTTP with endpoint::OrderSender. It delivers answers on
// the control's strand.

#ifndef FIGRACK_CONTROL_HTTPORDERPORT_H
#define FIGRACK_CONTROL_HTTPORDERPORT_H

#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>

#include "control/orderport.h"
#include "endpoint/orders.h"

namespace figrack::control {

class HttpOrderPort final : public OrderPort
{
public:
    using Strand = boost::asio::strand<boost::asio::io_context::executor_type>;

    HttpOrderPort(boost::asio::io_context &context, Strand strand, endpoint::OrderOptions options);

    auto send(const Address &endpoint, const endpoint::Order &order, std::function<bool()> mayStart,
              OrderDone done) -> void override;
    auto fetchStatus(const Address &endpoint, StatusDone done) -> void override;
    auto abortAll() -> void override;

private:
    boost::asio::io_context &context_;
    Strand strand_;
    endpoint::OrderSender sender_;
};

} // namespace figrack::control

#endif // FIGRACK_CONTROL_HTTPORDERPORT_H
