// Streams that callers take up again.

#include "gateway/answers.h"
#include "gateway/forwarderrun.h"

namespace figrack::gateway {

auto Forwarder::Run::isResumption() const -> bool
{
    return route_ != nullptr && route_->resumable
            && !(caller_.resumes.empty() && caller_.resumeAfter.empty());
}

auto Forwarder::Run::countResumption() -> void
{
    if (handoffTerms_ != nullptr || !isResumption())
        return;
    // No refusal has the status of a success.
    const auto hasGoneOn = isSuccess(finalStatus_);
    parts_.metrics.onResumption(hasGoneOn ? ResumptionOutcome::WentOn : ResumptionOutcome::Other);
}

} // namespace figrack::gateway
