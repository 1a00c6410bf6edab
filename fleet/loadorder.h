// In which order models are loaded, and which loads may wait.
//
//   std::sort(loads.begin(), loads.end(), precedes);
//   const auto fresh = freshLoads.onPass(input.models, held, now);
//
// Loads used to be ordered by the number of waiting requests alone. A model with a single request
// that had to start within a second then waited behind models whose many requests had several
// seconds left. Pure: times are parameters.

#ifndef FIGRACK_FLEET_LOADORDER_H
#define FIGRACK_FLEET_LOADORDER_H

#include <map>
#include <optional>
#include <set>

#include "core/clock.h"
#include "fleet/placement.h"

namespace figrack::fleet {

/// A replica of a model that is wanted.
struct LoadWish
{
    ModelId model;
    /// Seconds until the load has to begin, so that a waiting request starts on time; absent: none
    /// would, or the configuration does not ask for this order.
    std::optional<double> spareSeconds;
    double score = 0; ///< By the number of requests.
};

/// @return true when the load comes first: those whose requests can still start on time by the time
/// that they have to spare, then the others by their score
auto precedes(const LoadWish &one, const LoadWish &other) -> bool;

/// @param startWithin seconds within which a request has to be dispatched; absent: not known
/// @param readySeconds until the model is held, if it is ordered now
/// @return the seconds to spare; nullopt when the request cannot start on time
auto spareFor(std::optional<double> startWithin, double readySeconds) -> std::optional<double>;

/// @return true when the requests still start on time if the load is ordered with the next pass
auto canWaitForNextPass(std::optional<double> spareSeconds, double passSeconds) -> bool;

/// @return the shorter of two times within which requests have to be dispatched. Zero says that all
/// of them are late, so it counts only where nothing else is known
auto shorterStart(std::optional<Duration> one, std::optional<Duration> other)
        -> std::optional<Duration>;

/// The models of one service that were loaded for requests which may not be dispatched yet: between
/// the end of a load and the next reports, nothing shows that the model is needed.
class FreshLoads
{
public:
    /// Call before each planning pass. @param held those of the models that an endpoint holds
    /// @return the models that must not be evicted in it
    auto onPass(const std::map<ModelId, RequestDemand> &models, const std::set<ModelId> &held,
                Instant now) -> std::set<ModelId>;

private:
    std::set<ModelId> lacked_; ///< In the previous pass: wanted and held nowhere.
    std::map<ModelId, Instant> loadedAt_;
};

} // namespace figrack::fleet

#endif // FIGRACK_FLEET_LOADORDER_H
