#include "gateway/activedispatch.h"

#include <utility>

namespace figrack::gateway {

Forwarder::ActiveDispatch::ActiveDispatch(Forwarder &owner, Run &run, EndpointEntry &entry,
                                          DemandTarget target, std::uint32_t weight,
                                          std::shared_ptr<http::Canceller> canceller)
    : owner_(owner)
    , ownerAlive_(owner.alive_)
    , endpoint_(entry.row.id)
    , group_(entry.row.group())
    , target_(std::move(target))
    , weight_(weight)
    , dispatch_(
              owner.dispatches_.emplace(endpoint_, Dispatch { &run, group_, std::move(canceller) }))
{
    entry.running += weight_;
    if (!target_.model.empty())
        owner_.parts_.demand.onStart(target_);
    owner_.parts_.paths.onSent(group_);
}

Forwarder::ActiveDispatch::~ActiveDispatch()
{
    if (ownerAlive_.expired())
        return;
    owner_.dispatches_.erase(dispatch_);
    owner_.parts_.paths.onEnded(group_);
    if (!target_.model.empty())
        owner_.parts_.demand.onEnd(target_);
    if (auto *entry = owner_.parts_.view.find(endpoint_))
        entry->running -= weight_;
}

} // namespace figrack::gateway
