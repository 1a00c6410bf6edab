// What a dispatch takes while it is in progress: its place in the forwarder's table, its weight in
// the endpoint's load, and its share in the counts of the path and of the model's demand.
//
//   auto active = Forwarder::ActiveDispatch { forwarder, run, entry, target, weight, canceller };
//
// Everything is released with the object, whatever ends the dispatch. Internal to the forwarder.

#ifndef FIGRACK_GATEWAY_ACTIVEDISPATCH_H
#define FIGRACK_GATEWAY_ACTIVEDISPATCH_H

#include <memory>

#include "gateway/forwarder.h"

namespace figrack::gateway {

class Forwarder::ActiveDispatch
{
public:
    /// @param target model of the request; the model is empty if the request needs none
    /// @param weight of the request in the endpoint's load
    /// @param run must outlive this object
    ActiveDispatch(Forwarder &owner, Run &run, EndpointEntry &entry, DemandTarget target,
                   std::uint32_t weight, std::shared_ptr<http::Canceller> canceller);
    ~ActiveDispatch();
    ActiveDispatch(const ActiveDispatch &) = delete;
    auto operator=(const ActiveDispatch &) -> ActiveDispatch & = delete;

private:
    Forwarder &owner_;
    /// A coroutine that was never resumed is destroyed with its context, after the forwarder.
    std::weak_ptr<const bool> ownerAlive_;
    EndpointId endpoint_;
    EndpointGroup group_;
    DemandTarget target_;
    std::uint32_t weight_;
    std::multimap<EndpointId, Dispatch>::iterator dispatch_;
};

} // namespace figrack::gateway

#endif // FIGRACK_GATEWAY_ACTIVEDISPATCH_H
