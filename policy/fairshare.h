// Decides whose requests yield when there is not room for all: those of accounts that recently got
// more than their share.
//
//   shares.onAsked(account, perSecond, now);              // for each request
//   if (isContended && shares.isOver(account)) ...        // it goes behind the others
//   shares.onGranted(account, cost, now);                 // it got a place
//   shares.onReturned(account, cost, grantedAt, now);     // but did not run
//   for (change : shares.takeChanges(now)) log(change);
//
// Addressed load: an account asks for 6 times its usual rate while endpoints are full. Its limit
// allows 1.8 times, and until it is reached the account takes places from all others, whose
// requests are refused in turn.
//
// An account's use is the cost that it was granted recently, divided by its limit. It is over its
// share while this is more than overFactor times the mean use of the active accounts, weighted by
// their limits. Limits are 1.8 times the usual rates, so the usual use is near 0.55, and that of an
// account at its limit is 1. An account that is active alone is the mean and never over it.
//
// A new account starts at the mean. Starting at 0, it could take places for seconds before it
// counted as over its share.
//
// Uses decay exponentially. They are stored as of a common time in the past: as all decay alike,
// nothing has to be updated as time passes, and comparisons need no time.
//
// Guarantee: bounded by maxAccounts; the accounts that were not heard of for longest are evicted.
// Pure: no I/O, no clock. Not thread-safe.

#ifndef FIGRACK_POLICY_FAIRSHARE_H
#define FIGRACK_POLICY_FAIRSHARE_H

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"

namespace figrack::policy {

struct FairShareOptions
{
    /// Time constant of the decay. An account that asks for this long is active.
    Duration window = std::chrono::seconds { 4 };
    /// An account at its limit has 1.8 times the usual use, and random arrivals move the use of an
    /// account with 16 requests a second by some 10%. This lies between the two.
    double overFactor = 1.25;
    /// A use is remembered for this time without a request: after four windows 2% of it are left.
    Duration rememberFor = std::chrono::seconds { 16 };
    /// Changes of an account are reported at most once in this interval.
    Duration reportInterval = std::chrono::seconds { 1 };
    std::size_t maxAccounts = 16'384;
};

/// An account came over its share, or is not over it any more.
struct ShareChange
{
    AccountId account;
    bool isOver = false;
    double use = 0;  ///< Of the account, as a fraction of its limit.
    double mean = 0; ///< Of all active accounts.
};

class FairShare
{
public:
    explicit FairShare(const FairShareOptions &options);
    /// Call for each request of an account with a limit.
    /// @param perSecond the account's limit, in units of cost; above 0
    auto onAsked(const AccountId &account, double perSecond, Instant now) -> void;
    /// Counts a request that got a place. Its account must have asked.
    auto onGranted(const AccountId &account, double cost, Instant now) -> void;
    /// Takes a grant back whose request did not run. @param grantedAt time of onGranted()
    auto onReturned(const AccountId &account, double cost, Instant grantedAt, Instant now) -> void;
    /// @return true when the account got more than its share; false for unknown accounts
    auto isOver(const AccountId &account) const -> bool;
    /// @return the account's use as a fraction of its limit; 0 for unknown accounts
    auto useOf(const AccountId &account, Instant now) const -> double;
    /// @return the mean use of the active accounts, weighted by their limits
    auto mean(Instant now) const -> double;
    /// @return the accounts that changed since their last report
    auto takeChanges(Instant now) -> std::vector<ShareChange>;
    /// @return the number of accounts over their share that asked within the window
    auto countOver(Instant now) const -> std::size_t;
    /// @return the number of remembered accounts
    auto size() const -> std::size_t { return accounts_.size(); }

private:
    struct Account;
    using Accounts = std::map<AccountId, Account>;
    using Order = std::list<Accounts::iterator>; ///< The most recently heard of is last.
    struct Account
    {
        double perSecond = 0;
        double cost = 0; ///< As of decayedFrom_.
        Instant askedAt {};
        bool isActive = false;
        bool isReportedOver = false;
        Instant reportedAt {};
        Order::iterator place; ///< In active_ or idle_.
    };

    auto decaySince(Instant then, Instant now) const -> double;
    auto isOver(const Account &account) const -> bool;
    auto useOf(const Account &account, Instant now) const -> double;
    auto activate(Accounts::iterator item) -> void;
    auto deactivate(Accounts::iterator item) -> void;
    auto setCost(Account &account, double cost) -> void;
    auto recordChange(const AccountId &id, Account &account, Instant now) -> void;
    auto expire(Instant now) -> void;
    auto evict() -> void;
    auto moveReference(Instant now) -> void;

    FairShareOptions options_;
    Accounts accounts_;
    Order active_; ///< Asked within the window.
    Order idle_;
    double activeCost_ = 0;      ///< Sum over the active accounts.
    double activePerSecond_ = 0; ///< Sum over the active accounts.
    Instant decayedFrom_ {};     ///< Costs are stored as of this time.
    std::vector<ShareChange> changes_;
};

} // namespace figrack::policy

#endif // FIGRACK_POLICY_FAIRSHARE_H
