#include "gateway/foundorigin.h"

#include <array>
#include <utility>

namespace figrack::gateway {
namespace {

constexpr auto originSourceNames
        = std::array<std::string_view, 6> { "unknown", "foreign", "here",
                                            "owner",   "control", "only_version" };

} // namespace

auto originSourceName(OriginSource source) -> std::string_view
{
    return originSourceNames[static_cast<std::size_t>(source) % originSourceNames.size()];
}

OriginEvidence::OriginEvidence(std::set<std::string> versions)
    : versions_(std::move(versions))
{ }

auto OriginEvidence::add(const OriginAnswer &answer) -> void
{
    if (const auto *failure = std::get_if<OriginFailure>(&answer)) {
        ++(*failure == OriginFailure::Refused ? refused_ : silent_);
        return;
    }
    const auto &reply = std::get<proto::StreamOriginReply>(answer);
    ++replied_;
    versions_.insert(reply.versions.begin(), reply.versions.end());
    if (reply.origin)
        setOrigin(*reply.origin, OriginSource::Owner);
}

auto OriginEvidence::add(const ControlAnswer &answer) -> void
{
    mayControlKnow_ = mayControlKnow_ || answer.mayBeKnown;
    versions_.insert(answer.versions.begin(), answer.versions.end());
    isConfirmed_ = isConfirmed_ || answer.isComplete;
    if (answer.origin)
        setOrigin(*answer.origin, OriginSource::Control);
}

auto OriginEvidence::setOrigin(proto::StreamOrigin origin, OriginSource source) -> void
{
    if (origin_)
        return;
    origin_ = std::move(origin);
    source_ = source;
}

auto OriginEvidence::isOnlyVersionSure() const -> bool
{
    const auto isInTouch = replied_ > 0 || silent_ == 0;
    return versions_.size() == 1 && isConfirmed_ && isInTouch;
}

auto OriginEvidence::retryAfter(const OriginWaits &waits) const -> Duration
{
    const auto mayBeTold
            = silent_ > 0 || mayControlKnow_ || (versions_.size() <= 1 && !isConfirmed_);
    return mayBeTold ? waits.reachedAgain : waits.window;
}

auto OriginEvidence::found(const AccountId &account, const OriginWaits &waits) const -> FoundOrigin
{
    if (origin_ && origin_->account != account)
        return { OriginSource::Foreign, std::nullopt, retryAfter(waits) };
    if (origin_)
        return { source_, origin_->softwareVersion, {} };
    if (isOnlyVersionSure())
        return { OriginSource::OnlyVersion, *versions_.begin(), {} };
    return { OriginSource::Unknown, std::nullopt, retryAfter(waits) };
}

} // namespace figrack::gateway
