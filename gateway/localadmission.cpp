// Each account has a leaky bucket whose level rises at the account's recent average rate up to
// zero. A charge is admitted if the level is zero, and lowers it by its cost. So the first request
// is always admitted, whatever it costs, unless the account was near its limit: then the level
// starts at a random negative value.

#include "gateway/localadmission.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "core/duration.h"

namespace figrack::gateway {
LocalAdmission::LocalAdmission(LocalAdmissionOptions options, const Clock &clock, Random &random)
    : options_(options)
    , clock_(clock)
    , random_(random)
{ }

auto LocalAdmission::rowOf(const AccountId &account) -> Row &
{
    forgetOld();
    const auto now = clock_.now();
    auto &row = rows_[account];
    row.averageUse *= std::exp(-inSeconds(now - row.averagedAt) / inSeconds(options_.window));
    row.averagedAt = now;
    return row;
}

/// Removes accounts that have not been used recently. Accounts with unreported units are kept until
/// these have been reported.
auto LocalAdmission::forgetOld() -> void
{
    const auto now = clock_.now();
    if (now < nextForget_)
        return;
    nextForget_ = now + options_.forgetAfter / 4;
    std::erase_if(rows_, [&](const auto &item) {
        return item.second.unreported == 0 && now - item.second.averagedAt > options_.forgetAfter;
    });
}

auto LocalAdmission::onCounted(const AccountId &account, std::uint64_t cost, bool isNearLimit)
        -> void
{
    unansweredSince_.reset();
    auto &row = rowOf(account);
    row.isNearLimit = isNearLimit;
    row.isLocal = false;
    row.averageUse += static_cast<double>(cost);
}

/// Sets the initial level for the first charge since the last answer of a balancer.
auto LocalAdmission::begin(Row &row, std::uint64_t cost) -> void
{
    if (std::exchange(row.isLocal, true))
        return;
    row.level = row.isNearLimit ? -random_.unit() * static_cast<double>(cost) : 0;
    row.levelAt = clock_.now();
}

auto LocalAdmission::admit(const catalogue::AccountCharge &charge) -> std::optional<Duration>
{
    const auto now = clock_.now();
    if (!unansweredSince_)
        unansweredSince_ = now;
    if (now - *unansweredSince_ >= options_.aloneFor)
        return options_.maxRetryAfter;
    auto &row = rowOf(charge.account);
    begin(row, charge.cost);
    const auto rate = std::min(row.averageUse / inSeconds(options_.window), charge.limit.perSecond);
    row.level = std::min(row.level + rate * inSeconds(now - row.levelAt), 0.0);
    row.levelAt = now;
    if (row.level < 0) {
        const auto wait = rate > 0 ? fromSeconds(std::min(-row.level / rate, 3600.0))
                                   : options_.maxRetryAfter;
        return std::clamp(wait, options_.minRetryAfter, options_.maxRetryAfter);
    }
    row.level -= static_cast<double>(charge.cost);
    row.unreported += charge.cost;
    return std::nullopt;
}

auto LocalAdmission::giveBack(const AccountId &account, std::uint64_t cost) -> void
{
    auto &row = rows_[account];
    row.level += static_cast<double>(cost);
    row.unreported -= std::min(row.unreported, cost);
}

auto LocalAdmission::takeUnreported(const AccountId &account) -> std::uint64_t
{
    const auto found = rows_.find(account);
    return found == rows_.end() ? 0 : std::exchange(found->second.unreported, 0);
}

auto LocalAdmission::restoreUnreported(const AccountId &account, std::uint64_t cost) -> void
{
    rows_[account].unreported += cost;
}

} // namespace figrack::gateway
