// Measures how much reading of prompts the requests for each model cause.
//
//   loads.add({ service, model }, row, now);       // from a gateway's demand report
//   for (const auto &[model, load] : loads.of(service, now)) ...
//
// The rates are averaged over an exponential window and corrected for the time since the first
// report: a model that has just become busy would otherwise look idle for the length of a window.
//
// Pure: no clock, no I/O. Memory is bounded by the models that were asked for recently.

#ifndef FIGRACK_FLEET_READLOAD_H
#define FIGRACK_FLEET_READLOAD_H

#include <cstdint>
#include <map>
#include <utility>

#include "core/clock.h"
#include "core/ids.h"
#include "proto/servingmessages.h"

namespace figrack::fleet {

/// Reading work that requests bring for one model.
struct ReadLoad
{
    double requestsPerSecond = 0;
    double tokensPerSecond = 0; ///< Prompt tokens that a replica has to read.
    Duration startTarget {};    ///< Shortest of the recent requests.
};

class ReadLoads
{
public:
    using Key = std::pair<ServiceId, ModelId>;
    /// @param window of the averages
    explicit ReadLoads(Duration window);
    /// @param row a report's row whose readTokens is not 0
    auto add(const Key &key, const proto::WantedRow &row, Instant now) -> void;
    /// @return the loads of all models of the service
    auto of(const ServiceId &service, Instant now) const -> std::map<ModelId, ReadLoad>;
    auto forgetOld(Instant now) -> void;
    auto clear() -> void { entries_.clear(); }

private:
    struct Entry
    {
        double requests = 0; ///< Decayed to at.
        double tokens = 0;   ///< Likewise.
        Instant since {};    ///< First report.
        Instant at {};       ///< Latest report.
        Duration startTarget {};
        Instant targetAt {}; ///< Latest report of a request with this start target.
    };
    auto decay(Duration age) const -> double;

    Duration window_;
    std::map<Key, Entry> entries_;
};

} // namespace figrack::fleet

#endif // FIGRACK_FLEET_READLOAD_H
