#include "fleet/loadguard.h"

#include <utility>

#include "core/log.h"

namespace figrack::fleet {
namespace {

auto worksOf(const ModelId &model) -> catalogue::WorkIds
{
    return catalogue::workIdsOf({ "load", "", model.value(), "", "", "" });
}

} // namespace

LoadGuard::LoadGuard(LoadGuardOptions options, policy::Quarantine &quarantine, const Clock &clock,
                     std::function<void()> onSuspects)
    : options_(options)
    , quarantine_(quarantine)
    , clock_(clock)
    , onSuspects_(std::move(onSuspects))
{ }

auto LoadGuard::onEnded(const ModelId &model, const EndpointId &endpoint) -> void
{
    const auto at = clock_.now();
    const auto last = lastEnds_.find(model);
    const auto isSameSeries = last != lastEnds_.end() && at - last->second < options_.seriesWindow;
    lastEnds_[model] = at;
    if (isSameSeries
        || !quarantine_.onEnd(worksOf(model), 0, endpoint, policy::millisOf(clock_.now())))
        return;
    const auto verdict = quarantine_.verdict(worksOf(model), policy::millisOf(clock_.now()));
    LogEvent(LogLevel::Warning, "load_suspected")
            .with("model", model)
            .with("endpoint", endpoint)
            .with("ends", std::uint64_t { verdict.ends })
            .with("standing", policy::standingName(verdict.standing))
            .with("release_ms", verdict.releaseIn);
    onSuspects_();
}

auto LoadGuard::onLoaded(const ModelId &model) -> void
{
    if (!quarantine_.onCompleted(worksOf(model), policy::millisOf(clock_.now())))
        return;
    LogEvent(LogLevel::Info, "load_acquitted").with("model", model);
    onSuspects_();
}

auto LoadGuard::isBarred(const ModelId &model) const -> bool
{
    return quarantine_.verdict(worksOf(model), policy::millisOf(clock_.now())).standing
            == policy::Standing::Quarantined;
}

} // namespace figrack::fleet
