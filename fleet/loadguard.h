// Keeps a model away from endpoint after endpoint that end while they load it.
//
//   guard.onEnded(model, endpoint);    // the endpoint ended with the load in progress
//   guard.onLoaded(model);
//   if (guard.isBarred(model)) ...     // it is not planned
//
// A plan that fails is made again elsewhere: a model whose load ends what loads it would end one
// endpoint after the other, as a request does that ends what runs it. The same table counts both,
// so that the count outlives a change of leader.
//
// Many endpoints may load a busy model as they end for a reason of their own, and a model that is
// barred serves nobody: ends within one series count once. Not thread-safe.

#ifndef FIGRACK_FLEET_LOADGUARD_H
#define FIGRACK_FLEET_LOADGUARD_H

#include <functional>
#include <map>

#include "core/clock.h"
#include "core/ids.h"
#include "policy/quarantine.h"

namespace figrack::fleet {

struct LoadGuardOptions
{
    /// Ends of one model's loads that are no further apart count once: the loss of a rack takes
    /// less.
    Duration series = std::chrono::seconds { 2 };
};

class LoadGuard
{
public:
    /// @param quarantine outlives this object @param onSuspects called when its table has changed
    LoadGuard(LoadGuardOptions options, policy::Quarantine &quarantine, const Clock &clock,
              std::function<void()> onSuspects);
    auto onEnded(const ModelId &model, const EndpointId &endpoint) -> void;
    auto onLoaded(const ModelId &model) -> void;
    /// @return true while the model is not to be loaded anywhere
    auto isBarred(const ModelId &model) const -> bool;

private:
    LoadGuardOptions options_;
    policy::Quarantine &quarantine_;
    const Clock &clock_;
    std::function<void()> onSuspects_;
    std::map<ModelId, Instant> lastEnds_; ///< Models of the configuration at most.
};

} // namespace figrack::fleet

#endif // FIGRACK_FLEET_LOADGUARD_H
