#include "policy/fairshare.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "core/duration.h"

namespace figrack::policy {
namespace {

/// Stored costs grow by the exponential of the time since decayedFrom_, in windows. It is moved
/// before they lose precision.
constexpr auto maxWindowsFromReference = 20;

} // namespace

FairShare::FairShare(const FairShareOptions &options)
    : options_(options)
{ }

auto FairShare::decaySince(Instant then, Instant now) const -> double
{
    return std::exp(inSeconds(then - now) / inSeconds(options_.window));
}

auto FairShare::onAsked(const AccountId &account, double perSecond, Instant now) -> void
{
    expire(now);
    const auto [item, isNew] = accounts_.try_emplace(account);
    auto &entry = item->second;
    if (!isNew) {
        const auto wasActive = entry.isActive;
        if (wasActive)
            activePerSecond_ += perSecond - entry.perSecond;
        entry.perSecond = perSecond;
        auto &from = wasActive ? active_ : idle_;
        active_.splice(active_.end(), from, entry.place);
        if (!wasActive)
            activate(item);
    } else {
        entry.perSecond = perSecond;
        entry.cost = active_.empty() ? 0 : activeCost_ / activePerSecond_ * perSecond;
        entry.place = active_.insert(active_.end(), item);
        activate(item);
    }
    entry.askedAt = now;
    recordChange(account, entry, now);
    evict();
}

auto FairShare::onGranted(const AccountId &account, double cost, Instant now) -> void
{
    expire(now);
    const auto found = accounts_.find(account);
    if (found == accounts_.end())
        return;
    auto &entry = found->second;
    setCost(entry, entry.cost + cost / decaySince(decayedFrom_, now));
    recordChange(account, entry, now);
}

auto FairShare::onReturned(const AccountId &account, double cost, Instant grantedAt, Instant now)
        -> void
{
    expire(now);
    const auto found = accounts_.find(account);
    if (found == accounts_.end())
        return;
    auto &entry = found->second;
    const auto stored = cost * decaySince(grantedAt, now) / decaySince(decayedFrom_, now);
    // Part of the grant may be forgotten, if the account was evicted in between.
    setCost(entry, std::max(0.0, entry.cost - stored));
    recordChange(account, entry, now);
}

auto FairShare::isOver(const AccountId &account) const -> bool
{
    const auto found = accounts_.find(account);
    return found != accounts_.end() && isOver(found->second);
}

auto FairShare::isOver(const Account &account) const -> bool
{
    return account.isActive
            && account.cost * activePerSecond_
            > options_.overFactor * activeCost_ * account.perSecond;
}

auto FairShare::useOf(const AccountId &account, Instant now) const -> double
{
    const auto found = accounts_.find(account);
    return found == accounts_.end() ? 0 : useOf(found->second, now);
}

auto FairShare::useOf(const Account &account, Instant now) const -> double
{
    return account.cost * decaySince(decayedFrom_, now)
            / (account.perSecond * inSeconds(options_.window));
}

auto FairShare::mean(Instant now) const -> double
{
    if (active_.empty())
        return 0;
    return activeCost_ * decaySince(decayedFrom_, now)
            / (activePerSecond_ * inSeconds(options_.window));
}

auto FairShare::takeChanges(Instant now) -> std::vector<ShareChange>
{
    expire(now);
    return std::exchange(changes_, {});
}

auto FairShare::countOver(Instant now) const -> std::size_t
{
    // Accounts are deactivated only when another one asks, so the window is checked here, too.
    const auto count = std::count_if(active_.begin(), active_.end(), [&](auto item) {
        return isOver(item->second) && now - item->second.askedAt <= options_.window;
    });
    return static_cast<std::size_t>(count);
}

auto FairShare::activate(Accounts::iterator item) -> void
{
    auto &account = item->second;
    account.isActive = true;
    activeCost_ += account.cost;
    activePerSecond_ += account.perSecond;
}

auto FairShare::deactivate(Accounts::iterator item) -> void
{
    auto &account = item->second;
    account.isActive = false;
    activeCost_ -= account.cost;
    activePerSecond_ -= account.perSecond;
    idle_.splice(idle_.end(), active_, account.place);
    if (active_.empty())
        activeCost_ = activePerSecond_ = 0; // Removes rounding errors.
}

auto FairShare::setCost(Account &account, double cost) -> void
{
    if (account.isActive)
        activeCost_ += cost - account.cost;
    account.cost = cost;
}

auto FairShare::recordChange(const AccountId &id, Account &account, Instant now) -> void
{
    const auto isOverNow = isOver(account);
    if (isOverNow == account.isReportedOver || changes_.size() >= options_.maxAccounts
        || (account.isActive && now - account.reportedAt < options_.reportInterval))
        return;
    account.isReportedOver = isOverNow;
    account.reportedAt = now;
    changes_.push_back({ id, isOverNow, useOf(account, now), mean(now) });
}

auto FairShare::expire(Instant now) -> void
{
    if (now - decayedFrom_ > maxWindowsFromReference * options_.window)
        moveReference(now);
    while (!active_.empty() && now - active_.front()->second.askedAt > options_.window) {
        const auto item = active_.front();
        deactivate(item);
        recordChange(item->first, item->second, now);
    }
    while (!idle_.empty() && now - idle_.front()->second.askedAt > options_.rememberFor) {
        accounts_.erase(idle_.front());
        idle_.pop_front();
    }
}

auto FairShare::evict() -> void
{
    while (accounts_.size() > options_.maxAccounts) {
        if (idle_.empty())
            deactivate(active_.front());
        accounts_.erase(idle_.front());
        idle_.pop_front();
    }
}

/// Also sums up again, so that rounding errors do not accumulate.
auto FairShare::moveReference(Instant now) -> void
{
    const auto decay = decaySince(decayedFrom_, now);
    activeCost_ = activePerSecond_ = 0;
    for (auto &[id, account] : accounts_) {
        account.cost *= decay;
        if (!account.isActive)
            continue;
        activeCost_ += account.cost;
        activePerSecond_ += account.perSecond;
    }
    decayedFrom_ = now;
}

} // namespace figrack::policy
