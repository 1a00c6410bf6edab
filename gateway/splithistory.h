// Since when each route has split its requests over services as it does now.
//
//   history.onCatalogue(catalogue, now);     // of each configuration that comes into force
//   if (history.isSettled(route, now, duration)) ...

#ifndef FIGRACK_GATEWAY_SPLITHISTORY_H
#define FIGRACK_GATEWAY_SPLITHISTORY_H

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "catalogue/catalogue.h"
#include "core/clock.h"
#include "core/ids.h"

namespace figrack::gateway {

class SplitHistory
{
public:
    /// Notes the splits of a configuration. Those of routes that it does not contain are dropped.
    auto onCatalogue(const catalogue::Catalogue &catalogue, Instant now) -> void;
    /// @return true if this gateway knows that the route's split has been the same for that long;
    /// false also if it has started later
    auto isSettled(const catalogue::Route &route, Instant now, Duration duration) const -> bool;

private:
    using Key = std::pair<std::string, std::string>; ///< Host and prefix of a route.
    using Split = std::vector<std::pair<ServiceId, std::uint32_t>>;
    struct Entry
    {
        Split split;
        Instant since {};
    };
    std::map<Key, Entry> entries_;
};

} // namespace figrack::gateway

#endif // FIGRACK_GATEWAY_SPLITHISTORY_H
