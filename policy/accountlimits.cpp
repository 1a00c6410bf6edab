#include "policy/accountlimits.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace figrack::policy {
namespace {

constexpr auto millisPerSecond = 1000.0;
/// Time constant over which an account's use is averaged, in milliseconds.
constexpr auto useWindow = 4000.0;

auto seconds(Millis span) -> double
{
    return static_cast<double>(span) / millisPerSecond;
}

} // namespace

AccountLimits::AccountLimits(AccountLimitsOptions options, Millis now)
    : options_(options)
    , connectedSince_(now)
{ }

auto AccountLimits::fillRate(const catalogue::RateLimit &limit) const -> double
{
    return limit.perSecond + limit.burst / seconds(options_.window);
}

auto AccountLimits::tolerance(const catalogue::RateLimit &limit) const -> double
{
    return options_.overage * (limit.perSecond * seconds(options_.window) + limit.burst)
            + options_.slack;
}

auto AccountLimits::capacity(const catalogue::RateLimit &limit) const -> double
{
    return tolerance(limit) * options_.burstFraction;
}

/// @return whole milliseconds, rounded up, until the bucket has gained the units
auto AccountLimits::timeFor(const catalogue::RateLimit &limit, double units) const -> Millis
{
    return static_cast<Millis>(std::ceil(std::max(units, 0.0) * millisPerSecond / fillRate(limit)));
}

auto AccountLimits::resetBuckets(Millis now) -> void
{
    connectedSince_ = now;
    for (auto &[account, bucket] : buckets_) {
        fill(bucket, now);
        bucket.level = std::min(bucket.level, tolerance(bucket.limit) * options_.initialFraction);
        bucket.isKnown = false;
        bucket.startedAt = now;
        bucket.admittedBeforeReset = bucket.admitted;
    }
}

auto AccountLimits::bucketOf(const AccountId &account, const catalogue::RateLimit &limit,
                             Revision version, Millis now) -> Bucket &
{
    auto found = buckets_.find(account);
    if (found == buckets_.end()) {
        makeRoom(now);
        const auto start = tolerance(limit) * options_.initialFraction;
        found = buckets_.emplace(account, Bucket { limit, version, start, connectedSince_ }).first;
        found->second.startedAt = connectedSince_;
    }
    auto &bucket = found->second;
    fill(bucket, now);
    if (version > bucket.version) {
        bucket.limit = limit;
        bucket.version = version;
        bucket.level = std::min(bucket.level, capacity(limit));
    }
    return bucket;
}

auto AccountLimits::fill(Bucket &bucket, Millis now) const -> void
{
    const auto passed = std::max<Millis>(now - bucket.filledAt, 0);
    const auto level = bucket.level + fillRate(bucket.limit) * seconds(passed);
    bucket.level = std::min(level, capacity(bucket.limit));
    bucket.used *= std::exp(-static_cast<double>(passed) / useWindow);
    bucket.filledAt = std::max(now, bucket.filledAt);
    bucket.isKnown = bucket.isKnown || now - bucket.startedAt >= options_.window;
}

auto AccountLimits::take(Bucket &bucket, double cost) const -> void
{
    bucket.level = std::min(bucket.level - cost, capacity(bucket.limit));
    bucket.used = std::max(bucket.used + cost, 0.0);
}

/// Called when gateways may have switched to this counter. The counter that they asked before may
/// be cut off from this one and may have gone on admitting, so this deducts the account's recent
/// rate for the time without updates.
auto AccountLimits::deductUnreported(Bucket &bucket, Millis now) const -> void
{
    if (bucket.lastUpdateAt <= bucket.admittedAt)
        return;
    const auto silent = std::min(now - bucket.lastUpdateAt, options_.maxUnreportedTime)
            - options_.updateDelay;
    if (silent > 0)
        bucket.level -= bucket.used * static_cast<double>(silent) / useWindow;
}

auto AccountLimits::dropReservation(Bucket &bucket,
                                    std::map<std::uint64_t, Reservation>::iterator item)
        -> std::map<std::uint64_t, Reservation>::iterator
{
    bucket.reserved -= item->second.cost;
    return bucket.reservations.erase(item);
}

/// Admits the request or reserves room for it.
/// @return time in ms until there is room for a request of this cost; nullopt: there is room now
auto AccountLimits::refuse(Bucket &bucket, double cost, std::uint64_t work, Millis now) const
        -> std::optional<Millis>
{
    auto dueCost = 0.0;
    for (auto item = bucket.reservations.begin(); item != bucket.reservations.end();) {
        const auto isExpired = now >= item->second.at + options_.reservationTtl;
        dueCost += !isExpired && now >= item->second.at ? item->second.cost : 0;
        item = isExpired ? dropReservation(bucket, item) : std::next(item);
    }
    // A request that costs more than a full bucket holds is admitted when the bucket is full.
    const auto shortfall = std::min(cost, capacity(bucket.limit)) - bucket.level;
    const auto own = bucket.reservations.find(work);
    const auto comesBack = own != bucket.reservations.end() && now >= own->second.at;
    const auto isAdmitted = comesBack ? shortfall <= 0 : shortfall + dueCost <= 0;
    if (own != bucket.reservations.end())
        dropReservation(bucket, own);
    if (isAdmitted)
        return std::nullopt;
    ++bucket.refused;
    const auto roomIn = std::max<Millis>(timeFor(bucket.limit, shortfall + bucket.reserved), 1);
    if (roomIn >= options_.maxRetryAfter || bucket.reservations.size() >= options_.maxReservations)
        return options_.maxRetryAfter;
    bucket.reservations[work] = { now + roomIn, cost };
    bucket.reserved += cost;
    return roomIn;
}

auto AccountLimits::countSelfAdmitted(Bucket &bucket, const catalogue::AccountCharge &charge)
        -> void
{
    if (charge.admittedAlone == 0)
        return;
    const auto alone = static_cast<double>(charge.admittedAlone);
    take(bucket, alone);
    bucket.admitted += alone;
    changed_.insert(charge.account);
}

auto AccountLimits::roomIn(const catalogue::AccountCharge &charge, std::uint64_t work, Millis now)
        -> std::optional<Millis>
{
    auto &bucket = bucketOf(charge.account, charge.limit, charge.version, now);
    deductUnreported(bucket, now);
    bucket.admittedAt = std::max(bucket.admittedAt, bucket.lastUpdateAt);
    countSelfAdmitted(bucket, charge);
    return refuse(bucket, static_cast<double>(charge.cost), work, now);
}

auto AccountLimits::admit(const catalogue::AccountCharge &charge, std::uint64_t work, Millis now)
        -> std::optional<Millis>
{
    if (auto room = roomIn(charge, work, now))
        return room;
    auto &bucket = buckets_.at(charge.account);
    const auto cost = static_cast<double>(charge.cost);
    take(bucket, cost);
    bucket.admitted += cost;
    bucket.admittedAt = now;
    changed_.insert(charge.account);
    return std::nullopt;
}

auto AccountLimits::giveBack(const AccountId &account, std::uint64_t cost, Millis now) -> void
{
    const auto found = buckets_.find(account);
    if (found == buckets_.end())
        return;
    auto &bucket = found->second;
    fill(bucket, now);
    take(bucket, -static_cast<double>(cost));
    bucket.admitted -= static_cast<double>(cost);
    changed_.insert(account);
}

auto AccountLimits::onGatewayLost(std::uint32_t gateways, Millis now) -> void
{
    const auto part = static_cast<double>(options_.aloneFor) / useWindow
            / static_cast<double>(std::max(gateways, 1U));
    for (auto &[account, bucket] : buckets_) {
        fill(bucket, now);
        bucket.level -= bucket.used * part;
    }
}

auto AccountLimits::isNearLimit(const AccountId &account) const -> bool
{
    const auto found = buckets_.find(account);
    if (found == buckets_.end())
        return false;
    const auto &bucket = found->second;
    const auto most = fillRate(bucket.limit) * useWindow / millisPerSecond;
    return bucket.used >= most * options_.nearLimitFraction;
}

auto AccountLimits::takeNews(Millis now) -> std::vector<catalogue::AccountUse>
{
    auto rows = std::vector<catalogue::AccountUse> {};
    for (const auto &account : std::exchange(changed_, {})) {
        const auto found = buckets_.find(account);
        if (found == buckets_.end())
            continue;
        auto &bucket = found->second;
        fill(bucket, now);
        const auto latest = bucket.admitted - std::exchange(bucket.reported, bucket.admitted);
        rows.push_back({ account, bucket.admitted, latest, bucket.level, bucket.isKnown,
                         bucket.limit, bucket.version });
    }
    return rows;
}

auto AccountLimits::onNews(const NodeId &counter, Incarnation incarnation,
                           const std::vector<catalogue::AccountUse> &rows, Millis now) -> void
{
    auto &reported = counters_[counter];
    if (reported.incarnation != incarnation)
        reported = Counter { incarnation, {} };
    for (const auto &row : rows) {
        const auto isUsable = row.limit.isSet() && std::isfinite(row.admitted)
                && std::isfinite(row.latest) && std::isfinite(row.room);
        if (!isUsable)
            continue;
        // For a sum received for the first time, only its latest part counts: the initial level of
        // a new bucket already accounts for what was admitted before.
        const auto [item, isFirst] = reported.admitted.try_emplace(row.account, row.admitted);
        const auto before = std::exchange(item->second, row.admitted);
        auto &bucket = bucketOf(row.account, row.limit, row.version, now);
        take(bucket, isFirst ? row.latest : row.admitted - before);
        bucket.lastUpdateAt = now;
        if (bucket.isKnown || !row.isKnown)
            continue;
        // The other counter knows what was admitted before this one started.
        bucket.isKnown = true;
        bucket.level = std::min(row.room - (bucket.admitted - bucket.admittedBeforeReset),
                                capacity(bucket.limit));
    }
}

auto AccountLimits::makeRoom(Millis now) -> void
{
    if (buckets_.size() < options_.maxAccounts)
        return;
    // A full bucket that has nothing left to report holds no information that a new bucket lacks.
    std::erase_if(buckets_, [&](const auto &item) {
        auto bucket = item.second;
        fill(bucket, now);
        return bucket.level >= capacity(bucket.limit) && !changed_.contains(item.first);
    });
    // A new bucket starts nearly empty, so erasing the fullest one loses the least.
    if (buckets_.size() >= options_.maxAccounts) {
        const auto fullness = [&](const auto &item) {
            auto bucket = item.second;
            fill(bucket, now);
            return bucket.level / capacity(bucket.limit);
        };
        buckets_.erase(std::max_element(buckets_.begin(), buckets_.end(),
                                        [&](const auto &one, const auto &other) {
                                            return fullness(one) < fullness(other);
                                        }));
    }
    for (auto &[node, counter] : counters_) {
        std::erase_if(counter.admitted,
                      [&](const auto &item) { return !buckets_.contains(item.first); });
    }
}

auto AccountLimits::accountStatuses(std::size_t most, Millis now) const
        -> std::vector<AccountStatus>
{
    auto result = std::vector<AccountStatus> {};
    for (const auto &[account, known] : buckets_) {
        auto bucket = known;
        fill(bucket, now);
        result.push_back({ account, bucket.limit, bucket.level,
                           bucket.used * millisPerSecond / useWindow, bucket.refused });
    }
    const auto kept = std::min(most, result.size());
    std::partial_sort(result.begin(), result.begin() + static_cast<std::ptrdiff_t>(kept),
                      result.end(), [](const auto &one, const auto &other) {
                          return one.room / one.limit.perSecond
                                  < other.room / other.limit.perSecond;
                      });
    result.resize(kept);
    return result;
}

} // namespace figrack::policy
