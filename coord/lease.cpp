// With rates that differ by at most d, a leader's clock that runs slow by d
// against a voter's still counts E * (1 - d) before the voter counts E.

#include "coord/lease.h"

#include <algorithm>

namespace figrack::coord {

namespace {

constexpr auto maxRounds = std::size_t { 64 };

} // namespace

auto leaseLength(Duration electionTimeout, double maxClockDrift) -> Duration
{
    const auto nanos = static_cast<double>(electionTimeout.count()) * (1.0 - maxClockDrift);
    return Duration { static_cast<Duration::rep>(nanos) };
}

LeaderLease::LeaderLease(Duration length)
    : length_(length)
{ }

auto LeaderLease::beginRound(Instant now) -> std::uint64_t
{
    ++newest_;
    rounds_.push_back({ newest_, now });
    if (rounds_.size() > maxRounds)
        rounds_.pop_front();
    return newest_;
}

auto LeaderLease::onQuorum(std::uint64_t round) -> void
{
    while (!rounds_.empty() && rounds_.front().number <= round) {
        if (rounds_.front().number == round)
            quorumSentAt_ = std::max(quorumSentAt_, rounds_.front().sentAt);
        rounds_.pop_front();
    }
}

auto LeaderLease::end() const -> Instant
{
    if (givenUp_ || quorumSentAt_ == Instant {})
        return Instant {};
    return quorumSentAt_ + length_;
}

} // namespace figrack::coord
