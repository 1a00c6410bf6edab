// Stops loading a model that makes endpoint after endpoint end.
//
//   guard.onEnded(model, endpoint);    // the endpoint ended while it loaded the model
//   guard.onLoaded(model);
//   if (guard.isBarred(model)) ...     // do not plan a load
//
// A failed plan is repeated on another endpoint. A model whose load ends the
// endpoint's process would therefore end one endpoint after the other, like a
// request that ends the process that runs it. The same quarantine table counts
// both, so that the count survives a change of leader.
//
// Many endpoints that load a busy model may end at once for another reason, and a
// barred model is not served. So ends within one window count once. Not
// thread-safe.

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
    /// Ends during loads of one model that are no further apart than this count once. The loss of
    /// a rack takes less time.
    Duration seriesWindow = std::chrono::seconds { 2 };
};

class LoadGuard
{
public:
    /// @param quarantine must outlive this object
    /// @param onSuspects called when its table has changed
    LoadGuard(LoadGuardOptions options, policy::Quarantine &quarantine, const Clock &clock,
              std::function<void()> onSuspects);
    auto onEnded(const ModelId &model, const EndpointId &endpoint) -> void;
    auto onLoaded(const ModelId &model) -> void;
    /// @return true while the model must not be loaded anywhere
    auto isBarred(const ModelId &model) const -> bool;

private:
    LoadGuardOptions options_;
    policy::Quarantine &quarantine_;
    const Clock &clock_;
    std::function<void()> onSuspects_;
    std::map<ModelId, Instant> lastEnds_; ///< At most one entry per configured model.
};

} // namespace figrack::fleet

#endif // FIGRACK_FLEET_LOADGUARD_H
