// How much of its limit each client account has used, over all gateways.
//
//   if (const auto roomIn = limits.admit(charge, work, now)) refuse(*roomIn);
//   limits.giveBack(account, cost, now);               // admitted, and did not run
//   for (row : limits.takeNews(now)) tell(row);        // to the others that count
//   limits.onNews(node, life, rows, now);
//
// The load it answers: accounts whose requests cost from 200 to 40,000 units, seen
// by tens to thousands of gateways of which each carries one request in a hundred,
// and an account that asks for six times its limit. Parts of a limit for each
// gateway are too small for one such request. So whoever books requests for all
// gateways counts them, and tells the others that may take its place.
//
// A limit allows rate * window + burst in any window, and a tolerance beyond. Each
// account has a bucket that fills by what a window allows, spread evenly over it, and
// holds a part of the tolerance: an account that asks for too much gets all of its
// limit, evenly. Counting the windows themselves admits a whole one at once, which
// takes the room of all others for seconds, and then nothing until it is over; and
// a counter that takes another's place would need the other's whole window.
//
// Who is refused is told when the bucket will have room for it, behind all who were
// told before. When it comes, known again by its work, it goes before all others; its
// room is kept from its time on, and not longer than a caller needs to come.
//
// Every counter holds all buckets: what others have admitted is taken from its own
// as it hears of it, so that when gateways turn to it the buckets are as its
// predecessor left them, but for what was admitted in the last instants. Of those it
// takes as much for admitted as was usual. A counter that starts, or was cut off, does not
// know what others have admitted: its buckets begin near empty, until another tells
// how full its own are.
//
// Guarantees: with one counter at a time no window sees more admitted than its limit
// and what a full bucket holds; each change of counters adds at most startPart of it
// and what was admitted within the time that news takes. Pure: no I/O, no clock.
// Bounded by maxAccounts: what is full makes room. Not thread-safe.

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
    /// What a window may see beyond its limit: a part of the limit, and units.
    double overage = 0.1;
    double slack = 0;
    /// Parts of that tolerance: the one that a full bucket holds, for requests that come together
    /// by chance, and the one with which a counter begins that does not know what others have
    /// admitted. The rest is for what is admitted before news of it has come, and where no counter
    /// could be asked.
    double heldPart = 0.7;
    double startPart = 0.1;
    /// How long a gateway that no counter reaches goes on admitting by itself.
    Millis aloneFor = 4000;
    /// A counter whose news of an account have ceased may have gone on unheard for so long, but for
    /// the time that news takes.
    Millis unheardFor = 1500;
    Millis newsTake = 300;
    /// From this part of a limit on an account is near it.
    double nearPart = 0.75;
    /// Nobody is told to come back later than this; for who would have to be no room is kept.
    Millis latestReturn = 4000;
    /// Room is kept for so long from the time on that was told: a caller's timer, and its way.
    Millis keptFor = 250;
    std::size_t maxReturns = 256; ///< Of one account.
    std::size_t maxAccounts = 16'384;
};

/// An account as a counter sees it, for people.
struct AccountStanding
{
    AccountId account;
    catalogue::RateLimit limit;
    double room = 0;           ///< Units that may be asked for at once.
    double perSecond = 0;      ///< Units admitted of late, over all counters.
    std::uint64_t refused = 0; ///< Requests beyond the limit, by this counter.
};

class AccountLimits
{
public:
    AccountLimits(AccountLimitsOptions options, Millis now);
    /// This counter cannot hear what others admit, or hears it again: all its buckets begin anew.
    auto resetBuckets(Millis now) -> void;
    /// @param work the same when the request comes back
    /// @return nullopt when the charge is admitted, and counted; else after how long the account
    /// has room for it, later for each one that is refused
    auto admit(const catalogue::AccountCharge &charge, std::uint64_t work, Millis now)
            -> std::optional<Millis>;
    /// As admit(), but counts nothing.
    auto roomIn(const catalogue::AccountCharge &charge, std::uint64_t work, Millis now)
            -> std::optional<Millis>;
    auto giveBack(const AccountId &account, std::uint64_t cost, Millis now) -> void;
    /// A gateway of so many cannot be reached any more: it may go on by itself for aloneFor.
    auto onGatewayLost(std::uint32_t gateways, Millis now) -> void;
    /// @return true when the account has used most of its limit of late
    auto isNearLimit(const AccountId &account) const -> bool;

    /// @return what was admitted here and was not told yet
    auto takeNews(Millis now) -> std::vector<catalogue::AccountUse>;
    /// @param life of the other counter: its sums begin anew with each
    auto onNews(const NodeId &counter, Incarnation life,
                const std::vector<catalogue::AccountUse> &rows, Millis now) -> void;

    /// @return at most so many accounts, those with the least room for their rate first
    auto standings(std::size_t most, Millis now) const -> std::vector<AccountStanding>;
    auto size() const -> std::size_t { return buckets_.size(); }

private:
    /// Room that is kept for a request that was refused.
    struct Return
    {
        Millis at = 0;
        double cost = 0;
    };
    struct Bucket
    {
        catalogue::RateLimit limit;
        Revision version;
        double level = 0; ///< At filledAt; below zero when others have admitted too much.
        Millis filledAt = 0;
        double used = 0;       ///< Units of late, decayed to filledAt.
        double admitted = 0;   ///< By this counter.
        double told = 0;       ///< Of that, what news has told.
        Millis admittedAt = 0; ///< Here, the last time.
        Millis heardAt = 0;    ///< Of others, the last time.
        bool isKnown = false;  ///< Another told it, or this counter has been counting for a window.
        Millis begunAt = 0;
        double admittedBefore = 0;               ///< By this counter, before it began anew.
        std::map<std::uint64_t, Return> returns; ///< By work.
        double kept = 0;                         ///< Sum of their costs.
        std::uint64_t refused = 0;
    };
    struct Counter
    {
        Incarnation life;
        std::map<AccountId, double> admitted; ///< As told last.
    };

    /// @return units that come in a second
    auto fillRate(const catalogue::RateLimit &limit) const -> double;
    /// @return units that a window may see beyond its limit
    auto tolerance(const catalogue::RateLimit &limit) const -> double;
    auto capacity(const catalogue::RateLimit &limit) const -> double;
    auto timeFor(const catalogue::RateLimit &limit, double units) const -> Millis;
    auto bucketOf(const AccountId &account, const catalogue::RateLimit &limit, Revision version,
                  Millis now) -> Bucket &;
    auto fill(Bucket &bucket, Millis now) const -> void;
    auto take(Bucket &bucket, double cost) const -> void;
    auto takeUnheard(Bucket &bucket, Millis now) const -> void;
    auto refuse(Bucket &bucket, double cost, std::uint64_t work, Millis now) const
            -> std::optional<Millis>;
    static auto dropReturn(Bucket &bucket, std::map<std::uint64_t, Return>::iterator item)
            -> std::map<std::uint64_t, Return>::iterator;
    auto countAlone(Bucket &bucket, const catalogue::AccountCharge &charge) -> void;
    auto makeRoom(Millis now) -> void;

    AccountLimitsOptions options_;
    Millis since_; ///< Since when this counter hears what others admit.
    std::map<AccountId, Bucket> buckets_;
    std::map<NodeId, Counter> counters_;
    std::set<AccountId> changed_; ///< For takeNews().
};

} // namespace figrack::policy

#endif // FIGRACK_POLICY_ACCOUNTLIMITS_H
