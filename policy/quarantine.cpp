// Each work has two rows: one under the identity of its caller and one under the identity shared
// by all callers. Both record the same ends and completed runs, and the worse verdict applies.

#include "policy/quarantine.h"

#include <algorithm>
#include <array>
#include <tuple>

namespace figrack::policy {

using catalogue::SuspectRow;
using catalogue::WorkId;
using catalogue::WorkIds;

auto standingName(Standing standing) -> std::string_view
{
    constexpr auto names = std::array<std::string_view, 3> { "clear", "suspect", "quarantined" };
    return names[static_cast<std::size_t>(standing) % names.size()];
}

Quarantine::Quarantine(QuarantineOptions options)
    : options_(options)
{ }

auto Quarantine::SuspectEntry::ends() const -> std::uint32_t
{
    return static_cast<std::uint32_t>(ended.size() - acquitted.size());
}

auto Quarantine::onEnd(const WorkIds &works, std::uint64_t account, const EndpointId &endpoint,
                       Millis now) -> bool
{
    const auto isNew = recordEnd(works.ofCaller, account, endpoint, now);
    return recordEnd(works.ofAnyone, account, endpoint, now) || isNew;
}

auto Quarantine::recordEnd(const WorkId &work, std::uint64_t account, const EndpointId &endpoint,
                           Millis now) -> bool
{
    auto row = SuspectRow {};
    row.work = work;
    row.account = account;
    row.ended.push_back(endpoint);
    if (!merge(row, now))
        return false;
    localChanges_.insert(work);
    return true;
}

auto Quarantine::onCompleted(const WorkIds &works, Millis now) -> bool
{
    const auto clears = recordCompleted(works.ofCaller, now);
    return recordCompleted(works.ofAnyone, now) || clears;
}

auto Quarantine::recordCompleted(const WorkId &work, Millis now) -> bool
{
    while (!completions_.empty()
           && (completions_.size() >= options_.maxCompleted
               || now - completions_.front().first >= options_.completionTtl)) {
        const auto found = completedAt_.find(completions_.front().second);
        if (found != completedAt_.end() && found->second == completions_.front().first)
            completedAt_.erase(found);
        completions_.pop_front();
    }
    completedAt_[work] = now;
    completions_.emplace_back(now, work);
    const auto found = rows_.find(work);
    if (found == rows_.end() || !acquit(found->second))
        return false;
    localChanges_.insert(work);
    return true;
}

auto Quarantine::merge(const SuspectRow &row, Millis now) -> bool
{
    const auto sinceLastEnd = static_cast<Millis>(
            std::min(row.quietMs, static_cast<std::uint64_t>(options_.longestPeriod)));
    auto found = rows_.find(row.work);
    if (found == rows_.end()) {
        auto fresh = SuspectEntry {};
        fresh.account = row.account;
        fresh.lastEndAt = now - sinceLastEnd;
        makeRoom(row.account, now);
        found = rows_.emplace(row.work, std::move(fresh)).first;
        ++rowsOfAccount_[row.account];
    }
    auto &known = found->second;
    auto changed = false;
    auto hasNewEnds = false;
    for (const auto &endpoint : row.ended) {
        if (known.ended.size() < options_.maxEndsPerRow)
            hasNewEnds = known.ended.insert(endpoint).second || hasNewEnds;
    }
    if (hasNewEnds)
        known.lastEndAt = std::max(known.lastEndAt, now - sinceLastEnd);
    for (const auto &endpoint : row.acquitted) {
        if (known.ended.contains(endpoint))
            changed = known.acquitted.insert(endpoint).second || changed;
    }
    if (hasNewEnds && completedRecently(row.work, now) && acquit(known))
        localChanges_.insert(row.work); // Peers do not know of that run.
    if (known.ended.empty() || isExpired(known, now)) {
        erase(found);
        return false;
    }
    return changed || hasNewEnds;
}

auto Quarantine::verdict(const WorkId &work, Millis now) const -> Verdict
{
    const auto found = rows_.find(work);
    if (found == rows_.end() || isExpired(found->second, now))
        return {};
    const auto ends = found->second.ends();
    if (ends == 0)
        return {};
    if (ends < options_.endsUntilQuarantine)
        return { Standing::Suspect, ends, 0 };
    const auto releaseIn = found->second.lastEndAt + period(ends) - now;
    if (releaseIn <= 0)
        return { Standing::Suspect, ends, 0 };
    return { Standing::Quarantined, ends, releaseIn };
}

auto Quarantine::verdict(const WorkIds &works, Millis now) const -> Verdict
{
    const auto ofCaller = verdict(works.ofCaller, now);
    const auto ofAnyone = verdict(works.ofAnyone, now);
    const auto rank = [](const Verdict &verdict) {
        return std::tuple { verdict.standing, verdict.releaseIn, verdict.ends };
    };
    return rank(ofCaller) > rank(ofAnyone) ? ofCaller : ofAnyone;
}

auto Quarantine::row(const WorkId &work, Millis now) const -> SuspectRow
{
    const auto found = rows_.find(work);
    return toRow(work, found == rows_.end() ? SuspectEntry {} : found->second, now);
}

auto Quarantine::rows(std::uint32_t leastEnds, Millis now) const -> std::vector<SuspectRow>
{
    auto result = std::vector<SuspectRow> {};
    for (const auto &[work, known] : rows_) {
        if (known.ends() >= leastEnds && !isExpired(known, now))
            result.push_back(toRow(work, known, now));
    }
    return result;
}

auto Quarantine::takeLocalChanges(Millis now) -> std::vector<SuspectRow>
{
    auto result = std::vector<SuspectRow> {};
    for (const auto &work : localChanges_) {
        if (const auto found = rows_.find(work); found != rows_.end())
            result.push_back(toRow(work, found->second, now));
    }
    localChanges_.clear();
    return result;
}

auto Quarantine::quarantined(Millis now) const -> std::size_t
{
    return static_cast<std::size_t>(
            std::count_if(rows_.begin(), rows_.end(), [&](const auto &item) {
                return verdict(item.first, now).standing == Standing::Quarantined;
            }));
}

auto Quarantine::period(std::uint32_t ends) const -> Millis
{
    auto result = options_.firstPeriod;
    for (auto i = options_.endsUntilQuarantine; i < ends && result < options_.longestPeriod; ++i)
        result *= 2;
    return std::min(result, options_.longestPeriod);
}

/// Quarantined work is kept for the longest period. So after its first period it is admitted once,
/// not three times as unknown work would be.
auto Quarantine::isExpired(const SuspectEntry &known, Millis now) const -> bool
{
    const auto isQuarantined = known.ends() >= options_.endsUntilQuarantine;
    return now - known.lastEndAt
            >= (isQuarantined ? options_.longestPeriod : options_.forgetSuspectAfter);
}

auto Quarantine::completedRecently(const WorkId &work, Millis now) const -> bool
{
    const auto found = completedAt_.find(work);
    return found != completedAt_.end() && now - found->second < options_.completionTtl;
}

/// @return true when this clears ends that counted until now
auto Quarantine::acquit(SuspectEntry &known) -> bool
{
    const auto changed = known.acquitted.size() < known.ended.size();
    known.acquitted = known.ended;
    return changed;
}

/// Makes room for one more row of the account: erases expired rows and, if that is not enough, the
/// row with the fewest ends, the oldest of those.
auto Quarantine::makeRoom(std::uint64_t account, Millis now) -> void
{
    const auto isFull = [&] { return rows_.size() >= options_.maxRows; };
    const auto hasMany = [&] {
        const auto found = rowsOfAccount_.find(account);
        return found != rowsOfAccount_.end() && found->second >= options_.maxRowsPerAccount;
    };
    if (!isFull() && !hasMany())
        return;
    eraseExpired(now);
    if (!isFull() && !hasMany())
        return;
    const auto ofAccountOnly = hasMany();
    auto least = rows_.end();
    for (auto item = rows_.begin(); item != rows_.end(); ++item) {
        const auto &known = item->second;
        if (ofAccountOnly && known.account != account)
            continue;
        const auto isLess = least == rows_.end()
                || std::pair { known.ends(), known.lastEndAt }
                        < std::pair { least->second.ends(), least->second.lastEndAt };
        if (isLess)
            least = item;
    }
    erase(least);
}

auto Quarantine::eraseExpired(Millis now) -> void
{
    for (auto item = rows_.begin(); item != rows_.end();)
        item = isExpired(item->second, now) ? erase(item) : std::next(item);
}

auto Quarantine::erase(Rows::iterator item) -> Rows::iterator
{
    const auto count = rowsOfAccount_.find(item->second.account);
    if (count != rowsOfAccount_.end() && --count->second == 0)
        rowsOfAccount_.erase(count);
    return rows_.erase(item);
}

auto Quarantine::toRow(const WorkId &work, const SuspectEntry &known, Millis now) -> SuspectRow
{
    auto row = SuspectRow {};
    row.work = work;
    row.account = known.account;
    row.ended.assign(known.ended.begin(), known.ended.end());
    row.acquitted.assign(known.acquitted.begin(), known.acquitted.end());
    row.quietMs = static_cast<std::uint64_t>(std::max<Millis>(now - known.lastEndAt, 0));
    return row;
}

} // namespace figrack::policy
