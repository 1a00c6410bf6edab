#include "gateway/loneadmission.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "core/duration.h"

namespace figrack::gateway {
LoneAdmission::LoneAdmission(LoneAdmissionOptions options, const Clock &clock, Random &random)
    : options_(options)
    , clock_(clock)
    , random_(random)
{ }

auto LoneAdmission::rowOf(const AccountId &account) -> Row &
{
    forgetOld();
    const auto now = clock_.now();
    auto &row = rows_[account];
    row.usual *= std::exp(-inSeconds(now - row.usualAt) / inSeconds(options_.window));
    row.usualAt = now;
    return row;
}

/// What was admitted here and nobody was told of is kept until it is.
auto LoneAdmission::forgetOld() -> void
{
    const auto now = clock_.now();
    if (now < nextForget_)
        return;
    nextForget_ = now + options_.forgetAfter / 4;
    std::erase_if(rows_, [&](const auto &item) {
        return item.second.untold == 0 && now - item.second.usualAt > options_.forgetAfter;
    });
}

auto LoneAdmission::onCounted(const AccountId &account, std::uint64_t cost, bool isNearLimit)
        -> void
{
    aloneSince_.reset();
    auto &row = rowOf(account);
    row.isNearLimit = isNearLimit;
    row.isAlone = false;
    row.usual += static_cast<double>(cost);
}

/// The first charge since somebody counted.
auto LoneAdmission::begin(Row &row, std::uint64_t cost) -> void
{
    if (std::exchange(row.isAlone, true))
        return;
    row.level = row.isNearLimit ? -random_.unit() * static_cast<double>(cost) : 0;
    row.levelAt = clock_.now();
}

auto LoneAdmission::admit(const catalogue::AccountCharge &charge) -> std::optional<Duration>
{
    const auto now = clock_.now();
    if (!aloneSince_)
        aloneSince_ = now;
    if (now - *aloneSince_ >= options_.aloneFor)
        return options_.latestReturn;
    auto &row = rowOf(charge.account);
    begin(row, charge.cost);
    const auto rate = std::min(row.usual / inSeconds(options_.window), charge.limit.perSecond);
    row.level = std::min(row.level + rate * inSeconds(now - row.levelAt), 0.0);
    row.levelAt = now;
    if (row.level < 0) {
        const auto wait = rate > 0 ? fromSeconds(std::min(-row.level / rate, 3600.0))
                                   : options_.latestReturn;
        return std::clamp(wait, options_.soonestReturn, options_.latestReturn);
    }
    row.level -= static_cast<double>(charge.cost);
    row.untold += charge.cost;
    return std::nullopt;
}

auto LoneAdmission::giveBack(const AccountId &account, std::uint64_t cost) -> void
{
    auto &row = rows_[account];
    row.level += static_cast<double>(cost);
    row.untold -= std::min(row.untold, cost);
}

auto LoneAdmission::takeUntold(const AccountId &account) -> std::uint64_t
{
    const auto found = rows_.find(account);
    return found == rows_.end() ? 0 : std::exchange(found->second.untold, 0);
}

auto LoneAdmission::putBackUntold(const AccountId &account, std::uint64_t cost) -> void
{
    rows_[account].untold += cost;
}

} // namespace figrack::gateway
