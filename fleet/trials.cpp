#include "fleet/trials.h"

#include <algorithm>
#include <limits>

#include "core/log.h"

namespace figrack::fleet {
namespace {

auto replyIn(policy::Millis retryAfter) -> proto::PickReply
{
    constexpr auto longest = policy::Millis { std::numeric_limits<std::uint32_t>::max() };
    auto reply = proto::PickReply {};
    reply.comeBackMs
            = static_cast<std::uint32_t>(std::clamp<policy::Millis>(retryAfter, 1, longest));
    reply.refusal = proto::PickRefusal::Suspect;
    return reply;
}

} // namespace

Trials::Trials(TrialOptions options, const policy::Quarantine &quarantine, const Clock &clock)
    : options_(options)
    , quarantine_(quarantine)
    , clock_(clock)
{ }

auto Trials::refuse(const NodeId &gateway, const proto::PickRequest &request)
        -> std::optional<proto::PickReply>
{
    const auto verdict = standing(request);
    if (verdict.standing == policy::Standing::Clear)
        return std::nullopt;
    if (verdict.standing == policy::Standing::Quarantined)
        return replyIn(verdict.releaseIn);
    for (const auto &work : suspectsOf(request)) {
        const auto found = trials_.find(work);
        const auto isOwn = found != trials_.end() && found->second.gateway == gateway
                && found->second.ticket == request.ticket;
        if (found == trials_.end() || isOwn || found->second.expiresAt <= clock_.now())
            continue;
        LogEvent(LogLevel::Info, "suspect_waits")
                .with("work", work.text())
                .with("gateway", gateway)
                .with("ends", std::uint64_t { verdict.ends })
                .with("runs_for", found->second.gateway);
        return replyIn(
                std::chrono::duration_cast<std::chrono::milliseconds>(options_.retryAfter).count());
    }
    return std::nullopt;
}

auto Trials::narrow(proto::PickRequest &request,
                    const std::function<std::uint32_t(const EndpointId &)> &runningAt) const -> void
{
    if (standing(request).standing == policy::Standing::Clear)
        return;
    auto fewest = std::numeric_limits<std::uint32_t>::max();
    for (const auto &id : request.candidates)
        fewest = std::min(fewest, runningAt(id));
    std::erase_if(request.candidates, [&](const EndpointId &id) { return runningAt(id) > fewest; });
}

auto Trials::begin(const NodeId &gateway, const proto::PickRequest &request) -> void
{
    const auto verdict = standing(request);
    if (verdict.standing == policy::Standing::Clear)
        return;
    const auto limit = std::chrono::milliseconds { request.limitMs };
    std::erase_if(trials_,
                  [now = clock_.now()](const auto &item) { return item.second.expiresAt <= now; });
    for (const auto &work : suspectsOf(request)) {
        trials_[work] = { gateway, request.ticket, clock_.now() + limit };
        LogEvent(LogLevel::Info, "suspect_runs")
                .with("work", work.text())
                .with("gateway", gateway)
                .with("ends", std::uint64_t { verdict.ends });
    }
}

auto Trials::onEnd(const NodeId &gateway, std::uint64_t ticket) -> void
{
    const auto settled = clock_.now() + options_.outcomeWait;
    for (auto &[work, trial] : trials_) {
        if (trial.gateway == gateway && trial.ticket == ticket)
            trial.expiresAt = std::min(trial.expiresAt, settled);
    }
}

auto Trials::onGatewayLost(const NodeId &gateway) -> void
{
    const auto settled = clock_.now() + options_.outcomeWait;
    for (auto &[work, trial] : trials_) {
        if (trial.gateway == gateway)
            trial.expiresAt = std::min(trial.expiresAt, settled);
    }
}

auto Trials::standing(const proto::PickRequest &request) const -> policy::Verdict
{
    return quarantine_.verdict(request.works, request.parts, policy::millisOf(clock_.now()));
}

auto Trials::suspectsOf(const proto::PickRequest &request) const -> std::vector<catalogue::WorkId>
{
    const auto now = policy::millisOf(clock_.now());
    auto result = std::vector<catalogue::WorkId> {};
    if (quarantine_.verdict(request.works, now).standing == policy::Standing::Suspect)
        result.push_back(request.works.ofAnyone);
    for (const auto &part : request.parts) {
        if (quarantine_.verdict(part, now).standing == policy::Standing::Suspect)
            result.push_back(part);
    }
    return result;
}

} // namespace figrack::fleet
