// Rate limits of client accounts, counted over all gateways.
//
//   if (const auto roomIn = limits.admit(charge, work, now)) refuse(*roomIn);
//   limits.giveBack(account, cost, now);               // admitted, but did not run
//   for (row : limits.takeNews(now)) send(row);        // to the other counters
//   limits.onNews(node, incarnation, rows, now);       // received from another counter
//
// Expected load: accounts whose requests cost from 200 to 40,000 units, tens to thousands of
// gateways of which each carries one request in a hundred, and an account that asks for six
// times its limit. Splitting a limit among the gateways would leave each a part that is too
// small for one such request. So the process that books requests for all gateways (the
// counter) counts them, and sends its counts to the others that may take over from it.
//
// A limit allows rate * window + burst in any window, and a tolerance beyond that. Each
// account has a token bucket that fills evenly with what a window allows and holds a part of
// the tolerance, so an account that asks for too much gets all of its limit, evenly. Counting
// windows directly would admit a whole window's units at once, which takes the capacity of
// all other accounts for seconds, and then nothing until the window is over. A counter that
// takes over would also need the whole window of its predecessor.
//
// A refused request is told when the bucket will have room for it, after all requests that
// were told before. When it returns, recognized by its work id, it takes precedence over all
// others. Its room is reserved from that time on, for no longer than a caller needs to return.
//
// Every counter holds all buckets and deducts what the others report as admitted. So when
// gateways switch to another counter, its buckets are as its predecessor left them, except
// for what was admitted in the last moments, for which it deducts the account's recent rate.
// A counter that starts, or was cut off, does not know what the others have admitted: its
// buckets start nearly empty until another counter reports how full its own are.
//
// Guarantees: with one counter at a time, no window admits more than the limit plus the
// capacity of a bucket. Each change of counters adds at most initialFraction of the tolerance
// and what was admitted within the propagation time of updates. Pure: no I/O, no clock.
// Bounded by maxAccounts: full buckets are evicted first. Not thread-safe.

#ifndef FIGRACK_POLICY_ACCOUNTLIMITS_H
#define FIGRACK_POLICY_ACCOUNTLIMITS_H

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "catalogue/account.h"
#include "policy/tables.h"

namespace figrack::policy {

struct AccountLimitsOptions
{
    Millis window = 8000;
    /// Tolerance of a window beyond its limit: a fraction of the limit, and units.
    double overage = 0.1;
    double slack = 0;
    /// Fractions of that tolerance: the capacity of a bucket, for requests that arrive together by
    /// chance, and the initial level at a counter that does not know what others have admitted.
    /// The rest covers what is admitted before its update arrives or while no counter can be
    /// reached.
    double burstFraction = 0.7;
    double initialFraction = 0.1;
    /// How long a gateway that cannot reach any counter goes on admitting by itself.
    Millis aloneFor = 4000;
    /// After updates about an account stop, the other counter may have gone on admitting for up to
    /// maxUnreportedTime, of which updateDelay is the usual propagation time of an update.
    Millis maxUnreportedTime = 1500;
    Millis updateDelay = 300;
    /// An account that uses at least this fraction of its limit is near it.
    double nearLimitFraction = 0.75;
    /// Longest retry time returned. No room is reserved for requests that would need a longer one.
    Millis maxRetryAfter = 4000;
    /// How long room is reserved after the retry time: covers the caller's timer and latency.
    Millis reservationTtl = 250;
    std::size_t maxReservations = 256; ///< Per account.
    std::size_t maxAccounts = 16'384;
};

/// State of an account at one counter, for display to operators.
struct AccountStatus
{
    AccountId account;
    catalogue::RateLimit limit;
    double room = 0;           ///< Units that would be admitted at once.
    double perSecond = 0;      ///< Units admitted recently, over all counters.
    std::uint64_t refused = 0; ///< Requests over the limit refused by this counter.
};

class AccountLimits
{
public:
    AccountLimits(AccountLimitsOptions options, Millis now);
    /// Resets all buckets to at most their initial level. Called when this counter loses or regains
    /// the updates of the other counters.
    auto resetBuckets(Millis now) -> void;
    /// Admits and counts a charge, or refuses it.
    /// @param work id of the request, the same when it is retried
    /// @return nullopt when the charge was admitted and counted; otherwise the time in ms until the
    /// account has room for it, which grows with each refused request
    auto admit(const catalogue::AccountCharge &charge, std::uint64_t work, Millis now)
            -> std::optional<Millis>;
    /// As admit(), but does not count the charge.
    auto roomIn(const catalogue::AccountCharge &charge, std::uint64_t work, Millis now)
            -> std::optional<Millis>;
    auto giveBack(const AccountId &account, std::uint64_t cost, Millis now) -> void;
    /// Deducts what a gateway that became unreachable may admit by itself during aloneFor.
    /// @param gateways number of gateways, over which the usage is assumed to be spread evenly
    auto onGatewayLost(std::uint32_t gateways, Millis now) -> void;
    /// @return true when the account recently used at least nearLimitFraction of its limit
    auto isNearLimit(const AccountId &account) const -> bool;

    /// @return the counts of accounts that changed here since the last call
    auto takeNews(Millis now) -> std::vector<catalogue::AccountUse>;
    /// Applies the counts of another counter.
    /// @param incarnation of the other counter: its sums start from zero in each
    auto onNews(const NodeId &counter, Incarnation incarnation,
                const std::vector<catalogue::AccountUse> &rows, Millis now) -> void;

    /// @return at most `most` accounts, those with the least room relative to their rate first
    auto accountStatuses(std::size_t most, Millis now) const -> std::vector<AccountStatus>;
    auto size() const -> std::size_t { return buckets_.size(); }

private:
    /// Room reserved for a refused request that was told when to retry.
    struct Reservation
    {
        Millis at = 0;
        double cost = 0;
    };
    struct Bucket
    {
        catalogue::RateLimit limit;
        Revision version;
        double level = 0; ///< At filledAt; negative when others have admitted too much.
        Millis filledAt = 0;
        double used = 0;         ///< Units used recently, decayed to filledAt.
        double admitted = 0;     ///< Units, by this counter.
        double reported = 0;     ///< Part of admitted already returned by takeNews().
        Millis admittedAt = 0;   ///< Time of the last admission by this counter.
        Millis lastUpdateAt = 0; ///< Time of the last update from another counter.
        bool isKnown = false;    ///< Reported by a peer, or counted here for a whole window.
        Millis startedAt = 0;
        double admittedBeforeReset = 0; ///< By this counter, before its last reset.
        std::map<std::uint64_t, Reservation> reservations; ///< By work id.
        double reserved = 0; ///< Sum of the costs of the reservations.
        std::uint64_t refused = 0;
    };
    struct Counter
    {
        Incarnation incarnation;
        std::map<AccountId, double> admitted; ///< As last reported.
    };

    /// @return units added per second
    auto fillRate(const catalogue::RateLimit &limit) const -> double;
    /// @return units that a window may admit beyond its limit
    auto tolerance(const catalogue::RateLimit &limit) const -> double;
    auto capacity(const catalogue::RateLimit &limit) const -> double;
    auto timeFor(const catalogue::RateLimit &limit, double units) const -> Millis;
    auto bucketOf(const AccountId &account, const catalogue::RateLimit &limit, Revision version,
                  Millis now) -> Bucket &;
    auto fill(Bucket &bucket, Millis now) const -> void;
    auto take(Bucket &bucket, double cost) const -> void;
    auto deductUnreported(Bucket &bucket, Millis now) const -> void;
    auto refuse(Bucket &bucket, double cost, std::uint64_t work, Millis now) const
            -> std::optional<Millis>;
    static auto dropReservation(Bucket &bucket, std::map<std::uint64_t, Reservation>::iterator item)
            -> std::map<std::uint64_t, Reservation>::iterator;
    auto countSelfAdmitted(Bucket &bucket, const catalogue::AccountCharge &charge) -> void;
    auto makeRoom(Millis now) -> void;

    AccountLimitsOptions options_;
    Millis connectedSince_; ///< Since when this counter gets the updates of others.
    std::map<AccountId, Bucket> buckets_;
    std::map<NodeId, Counter> counters_;
    std::set<AccountId> changed_; ///< For takeNews().
};

} // namespace figrack::policy

#endif // FIGRACK_POLICY_ACCOUNTLIMITS_H
