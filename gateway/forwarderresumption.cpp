// Streams that callers take up again: finds out which software version began a stream, and tells
// the other gateways of streams that begin here.
//
// A split route chooses its service by the ID of the attempt that brought the first event, so that
// a resumption goes to the service that began the stream. After a change of the split it may not,
// and the services of the split are asked in turn. What no other version can have begun at one of
// them may then have begun at another, so that only a known origin counts.

#include <algorithm>
#include <utility>

#include "core/hash.h"
#include "gateway/answers.h"
#include "gateway/forwarderrun.h"
#include "gateway/streamorigins.h"

namespace figrack::gateway {

namespace asio = boost::asio;

namespace {

/// @return a number in [0, 1) that is the same for an ID at all gateways
auto drawOf(std::string_view id) -> double
{
    constexpr auto unusedBits = 11; // A double holds 53 bits.
    constexpr auto unit = 1.0 / static_cast<double>(std::uint64_t { 1 } << 53U);
    return static_cast<double>(rendezvousWeight(0, id) >> unusedBits) * unit;
}

/// @return true if the origin is known of this very stream
auto isKnown(const FoundOrigin &found) -> bool
{
    return found.source == OriginSource::Here || found.source == OriginSource::Owner
            || found.source == OriginSource::Control;
}

} // namespace

auto Forwarder::Run::isResumption() const -> bool
{
    if (route_ == nullptr || route_->repeat != catalogue::Repeat::Stream)
        return false;
    return !caller_.resumes.empty() || (route_->resumable && !caller_.resumeAfter.empty());
}

auto Forwarder::Run::chooseService() -> ServiceId
{
    const auto isInSplit = [this](const ServiceId &id) {
        return std::any_of(route_->split.begin(), route_->split.end(),
                           [&](const auto &part) { return part.service == id; });
    };
    if (handoffTerms_ != nullptr && isInSplit(handoffTerms_->service))
        return handoffTerms_->service;
    if (route_->repeat != catalogue::Repeat::Stream)
        return catalogue::pickService(*route_, parts_.random.unit());
    const auto &first = caller_.resumes.empty() ? caller_.id.value() : caller_.resumes;
    return catalogue::pickService(*route_, drawOf(first));
}

auto Forwarder::Run::bindOrigin() -> asio::awaitable<bool>
{
    // The first gateway has asked for a request that is handed over.
    if (parts_.origins == nullptr || handoffTerms_ != nullptr || !isResumption())
        co_return true;
    const auto found = co_await findOrigin();
    originSource_ = found.source;
    streamVersion_ = found.softwareVersion;
    if (streamVersion_)
        co_return true;
    blockedBy_ = BlockedBy::Origin;
    retryAfter_ = found.retryAfter;
    auto error = blockedError(BlockedBy::Origin);
    co_await giveUp(std::move(error));
    co_return false;
}

auto Forwarder::Run::findOrigin() -> asio::awaitable<FoundOrigin>
{
    const auto account = account_ != nullptr ? account_->id : AccountId {};
    const auto services = servicesOfStream();
    auto result = FoundOrigin {};
    result.retryAfter = owner_.options_.resumptionWindow;
    for (const auto &service : services) {
        const auto key = proto::StreamKey { service, caller_.resumes };
        auto found = co_await parts_.origins->find(key, account);
        if (isKnown(found) && service != service_)
            setService(service);
        if (isKnown(found) || services.size() == 1)
            co_return found;
        if (found.source == OriginSource::Foreign || result.source != OriginSource::Foreign)
            result.source = found.source;
        if (!found.softwareVersion)
            result.retryAfter = std::min(result.retryAfter, found.retryAfter);
    }
    if (result.source != OriginSource::Foreign)
        result.source = OriginSource::Unknown;
    co_return result;
}

auto Forwarder::Run::servicesOfStream() const -> std::vector<ServiceId>
{
    auto result = std::vector<ServiceId> { service_ };
    const auto isNamed = !caller_.resumes.empty();
    const auto &options = owner_.options_;
    const auto duration = options.resumptionWindow + options.configurationDelay;
    if (isNamed && owner_.splits_.isSettled(*route_, parts_.clock.now(), duration))
        return result;
    for (const auto &part : route_->split) {
        if (std::find(result.begin(), result.end(), part.service) == result.end())
            result.push_back(part.service);
    }
    return result;
}

auto Forwarder::Run::noteStreamBegun() -> void
{
    // The gateway to which the caller is connected tells it. Comments alone begin no stream.
    if (!hasStreamBegun_ || parts_.origins == nullptr || handoffTerms_ != nullptr
        || route_->repeat != catalogue::Repeat::Stream)
        return;
    const auto now = parts_.clock.now();
    if (originToldAt_ && now - *originToldAt_ < owner_.options_.resumptionWindow / 2)
        return;
    originToldAt_ = now;
    const auto account = account_ != nullptr ? account_->id : AccountId {};
    const auto origin = proto::StreamOrigin { softwareVersion_, account };
    const auto &first = caller_.resumes.empty() ? caller_.id.value() : caller_.resumes;
    parts_.origins->onBegun({ service_, first }, origin);
}

auto Forwarder::Run::hasEndpointLeft(const EndpointId &left) const -> bool
{
    if (!streamVersion_)
        return true;
    const auto entries = candidates();
    const auto mayHandOver = parts_.handoffs != nullptr && handoffTerms_ == nullptr;
    return std::any_of(entries.begin(), entries.end(), [&](const auto *entry) {
        const auto &id = entry->row.id;
        return isReached(*entry) ? id != left && !criteria_.avoided.contains(id) : mayHandOver;
    });
}

auto Forwarder::Run::resumptionOutcome() const -> ResumptionOutcome
{
    // No refusal has the status of a success.
    if (isSuccess(finalStatus_))
        return ResumptionOutcome::WentOn;
    if (blockedBy_ == BlockedBy::Version)
        return ResumptionOutcome::NoEndpoint;
    if (blockedBy_ != BlockedBy::Origin)
        return ResumptionOutcome::Other;
    return originSource_ == OriginSource::Foreign ? ResumptionOutcome::Foreign
                                                  : ResumptionOutcome::Unknown;
}

auto Forwarder::Run::countResumption() -> void
{
    if (handoffTerms_ == nullptr && isResumption())
        parts_.metrics.onResumption(resumptionOutcome());
}

} // namespace figrack::gateway
