// The origins of streams that gateways have told a control, so that they are known after all
// gateways have started anew.
//
//   store.keep(begun);
//   peer->send({ correlation, store.answer(query) });
//
// Gateways tell them only while a service has several software versions. Kept in memory, bounded by
// number and time. Not thread-safe.

#ifndef FIGRACK_FLEET_ORIGINSTORE_H
#define FIGRACK_FLEET_ORIGINSTORE_H

#include "core/clock.h"
#include "fleet/metrics.h"
#include "proto/origintable.h"

namespace figrack::fleet {

class OriginStore
{
public:
    /// @param clock and metrics must outlive this object
    OriginStore(proto::OriginTableOptions options, const Clock &clock, Metrics &metrics);
    /// Keeps the origins for a window. Those that exceed a bound are dropped.
    auto keep(const proto::BegunStreams &begun) -> void;
    auto answer(const proto::StreamOriginQuery &query) const -> proto::StreamOriginReply;

private:
    Metrics &metrics_;
    proto::OriginTable table_;
};

} // namespace figrack::fleet

#endif // FIGRACK_FLEET_ORIGINSTORE_H
