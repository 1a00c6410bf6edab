// The software versions of each service that may have begun a stream which a caller still takes up.
//
//   auto history = VersionHistory { options, clock };
//   history.onUpdate(control, update);      // of any control
//   history.onControlClosed(control);
//   if (history.versionsOf(service).size() == 1 && history.isComplete()) ...
//
// A version counts as long as an endpoint of it is known, and for the resumption window after that.
// Not thread-safe.

#ifndef FIGRACK_GATEWAY_VERSIONHISTORY_H
#define FIGRACK_GATEWAY_VERSIONHISTORY_H

#include <functional>
#include <map>
#include <set>
#include <string>

#include "catalogue/endpointrow.h"
#include "core/clock.h"
#include "core/ids.h"
#include "core/settings.h"
#include "proto/servingmessages.h"

namespace figrack::gateway {

struct VersionHistoryOptions
{
    /// Longest time between the last event of a stream and its resumption.
    Duration window = std::chrono::seconds { 60 };
};

class VersionHistory
{
public:
    /// @param clock must outlive this object
    VersionHistory(VersionHistoryOptions options, const Clock &clock);
    auto onUpdate(const Address &control, const proto::ServingUpdate &update) -> void;
    auto onRows(const std::vector<catalogue::EndpointRow> &rows) -> void;
    auto onControlClosed(const Address &control) -> void;
    /// @return the versions of the service that have served within the window, as far as is known
    auto versionsOf(const ServiceId &service) const -> std::set<std::string>;
    /// @return true if no version that has served within the window can be missing: a control that
    /// is in touch with its group says so, or this gateway has been in touch for the whole window
    auto isComplete() const -> bool;
    /// Sets the function that is called when a service has got a second version.
    auto setOnSecondVersion(std::function<void(const ServiceId &)> listener) -> void;
};

} // namespace figrack::gateway

#endif // FIGRACK_GATEWAY_VERSIONHISTORY_H
