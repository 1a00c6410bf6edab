#include "gateway/heldbytes.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace figrack::gateway {

namespace {

constexpr auto kindCount = std::size_t { 4 };

auto indexOf(HeldBytes::Kind kind) -> std::size_t
{
    return static_cast<std::size_t>(kind);
}

auto partOf(std::uint64_t bytes, double share) -> std::uint64_t
{
    return static_cast<std::uint64_t>(static_cast<double>(bytes) * share);
}

} // namespace

/// Shared with the shares, which may outlive the HeldBytes.
struct HeldBytes::Counts
{
    const Clock *clock = nullptr;       ///< Null once the HeldBytes has ended.
    std::shared_ptr<PeerBudget> budget; ///< May be empty.
    Duration recent {};
    std::array<std::uint64_t, kindCount> bytes {};
    std::map<EndpointId, std::uint64_t> atEndpoint; ///< Only those with bytes.
    std::uint64_t callersBufferedFor = 0;
    /// Of released bodies, decaying with time.
    double releasedBytes = 0;
    double releasedByteSeconds = 0;
    Instant releasedAt {};

    /// @return true if the bytes are not in the account of a caller's connection already
    auto isBudgeted(Kind kind) const -> bool
    {
        return budget && (kind == Kind::Answer || kind == Kind::Buffered);
    }

    auto noteRelease(std::uint64_t released, Instant since) -> void
    {
        if (clock == nullptr || released == 0)
            return;
        const auto now = clock->now();
        using Seconds = std::chrono::duration<double>;
        const auto age = Seconds { now - std::exchange(releasedAt, now) } / Seconds { recent };
        const auto weight = std::exp(-age);
        const auto amount = static_cast<double>(released);
        releasedBytes = releasedBytes * weight + amount;
        releasedByteSeconds
                = releasedByteSeconds * weight + amount * Seconds { now - since }.count();
    }
};

HeldBytes::Share::Share(std::shared_ptr<Counts> counts, Kind kind, EndpointId endpoint)
    : counts_(std::move(counts))
    , kind_(kind)
    , endpoint_(std::move(endpoint))
    , since_(counts_->clock->now())
{ }

HeldBytes::Share::Share(Share &&other) noexcept
{
    *this = std::move(other);
}

auto HeldBytes::Share::operator=(Share &&other) noexcept -> Share &
{
    if (this == &other)
        return *this;
    release();
    counts_ = std::move(other.counts_);
    kind_ = other.kind_;
    endpoint_ = std::move(other.endpoint_);
    bytes_ = std::exchange(other.bytes_, 0);
    since_ = other.since_;
    return *this;
}

auto HeldBytes::Share::add(std::uint64_t bytes) -> void
{
    if (!counts_ || bytes == 0)
        return;
    if (kind_ == Kind::Buffered && bytes_ == 0)
        ++counts_->callersBufferedFor;
    if (kind_ == Kind::Sent)
        counts_->atEndpoint[endpoint_] += bytes;
    if (counts_->isBudgeted(kind_))
        counts_->budget->add(bytes);
    counts_->bytes[indexOf(kind_)] += bytes;
    bytes_ += bytes;
}

auto HeldBytes::Share::remove(std::uint64_t bytes) -> void
{
    bytes = std::min(bytes, bytes_);
    if (!counts_ || bytes == 0)
        return;
    bytes_ -= bytes;
    if (counts_->isBudgeted(kind_))
        counts_->budget->remove(bytes);
    counts_->bytes[indexOf(kind_)] -= bytes;
    if (kind_ == Kind::Buffered && bytes_ == 0)
        --counts_->callersBufferedFor;
    if (kind_ == Kind::Body)
        counts_->noteRelease(bytes, since_);
    if (kind_ != Kind::Sent)
        return;
    const auto found = counts_->atEndpoint.find(endpoint_);
    found->second -= bytes;
    if (found->second == 0)
        counts_->atEndpoint.erase(found);
}

auto HeldBytes::Share::release() -> void
{
    remove(bytes_);
    counts_.reset();
}

HeldBytes::HeldBytes(HeldBytesOptions options, const Clock &clock,
                     std::shared_ptr<PeerBudget> budget)
    : options_(options)
    , counts_(std::make_shared<Counts>())
{
    counts_->clock = &clock;
    counts_->budget = std::move(budget);
    counts_->recent = options_.recent;
}

HeldBytes::~HeldBytes()
{
    counts_->clock = nullptr;
}

auto HeldBytes::admit(std::uint64_t bodyBytes) -> std::optional<Share>
{
    const auto limit = partOf(options_.memoryLimit, options_.bodyShare);
    if (isLimited() && bodyBytes > 0 && sum() + bodyBytes > limit)
        return std::nullopt;
    largestBody_ = std::max(largestBody_, bodyBytes);
    auto share = hold(Kind::Body);
    share.add(bodyBytes);
    return share;
}

auto HeldBytes::hold(Kind kind) -> Share
{
    return Share { counts_, kind, {} };
}

auto HeldBytes::sendTo(const EndpointId &endpoint, std::uint64_t bodyBytes) -> Share
{
    auto share = Share { counts_, Kind::Sent, endpoint };
    share.add(bodyBytes);
    return share;
}

auto HeldBytes::hasRoomAt(const EndpointId &endpoint) const -> bool
{
    const auto limit = std::max(options_.minAtEndpoint, options_.largeBodies * largestBody_);
    return !isLimited() || at(endpoint) <= limit;
}

auto HeldBytes::mayBuffer(std::uint64_t buffered, std::uint64_t more) const -> bool
{
    const auto limit = partOf(options_.memoryLimit, options_.bufferShare);
    return buffered + more <= options_.maxBuffered && of(Kind::Buffered) + more <= limit;
}

auto HeldBytes::releaseTime() const -> std::optional<Duration>
{
    if (counts_->releasedBytes <= 0)
        return std::nullopt;
    using Seconds = std::chrono::duration<double>;
    return std::chrono::duration_cast<Duration>(
            Seconds { counts_->releasedByteSeconds / counts_->releasedBytes });
}

auto HeldBytes::sum() const -> std::uint64_t
{
    return of(Kind::Body) + of(Kind::Answer) + of(Kind::Buffered);
}

auto HeldBytes::of(Kind kind) const -> std::uint64_t
{
    return counts_->bytes[indexOf(kind)];
}

auto HeldBytes::at(const EndpointId &endpoint) const -> std::uint64_t
{
    const auto found = counts_->atEndpoint.find(endpoint);
    return found != counts_->atEndpoint.end() ? found->second : 0;
}

auto HeldBytes::callersBufferedFor() const -> std::uint64_t
{
    return counts_->callersBufferedFor;
}

} // namespace figrack::gateway
