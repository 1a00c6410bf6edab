// A leader's lease: the time in which no other replica can be elected.
//
//   auto lease = LeaderLease { length };
//   auto round = lease.beginRound(now);   // heartbeats of a round carry its number
//   lease.onQuorum(round);                // a majority of voters has answered it
//   now < lease.end()
//
// The lease runs from the sending time of the newest round that a majority has
// answered, since each of them refuses its vote for an election timeout from
// the later moment at which it heard. The length is the election timeout
// shortened by the clock-rate bound, so it ends first on any two such clocks.
//
// Guarantees: once given up it is never held again; memory is 64 rounds.

#ifndef FIGRACK_COORD_LEASE_H
#define FIGRACK_COORD_LEASE_H

#include <cstdint>
#include <deque>

#include "core/clock.h"

namespace figrack::coord {

/// @return the lease length that ends before an election timeout on any clock within the bound
auto leaseLength(Duration electionTimeout, double maxClockDrift) -> Duration;

class LeaderLease
{
public:
    explicit LeaderLease(Duration length);
    /// Starts a round of heartbeats. @return its number, from 1
    auto beginRound(Instant now) -> std::uint64_t;
    /// @return the newest round
    auto round() const -> std::uint64_t { return newest_; }
    /// A majority answered a round. @param round of this leader
    auto onQuorum(std::uint64_t round) -> void;
    /// Ends the lease for the rest of the term.
    auto giveUp() -> void { givenUp_ = true; }
    auto isGivenUp() const -> bool { return givenUp_; }
    /// @return when it ends; a time long past when it is not held
    auto end() const -> Instant;
    /// @return when the newest round was sent that a majority answered
    auto quorumSentAt() const -> Instant { return quorumSentAt_; }

private:
    struct Round
    {
        std::uint64_t number;
        Instant sentAt;
    };
    Duration length_;
    std::uint64_t newest_ = 0;
    std::deque<Round> rounds_;
    Instant quorumSentAt_;
    bool givenUp_ = false;
};

} // namespace figrack::coord

#endif // FIGRACK_COORD_LEASE_H
