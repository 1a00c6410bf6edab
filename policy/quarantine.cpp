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
using catalogue::WorkKind;

namespace {

/// @return the worse of two verdicts
auto worseOf(const Verdict &one, const Verdict &other) -> Verdict
{
    const auto rank = [](const Verdict &verdict) {
        return std::tuple { verdict.standing, verdict.releaseIn, verdict.ends };
    };
    return rank(one) > rank(other) ? one : other;
}

} // namespace

auto standingName(Standing standing) -> std::string_view
{
    constexpr auto names = std::array<std::string_view, 3> { "clear", "suspect", "quarantined" };
    return names[static_cast<std::size_t>(standing) % names.size()];
}

Quarantine::Quarantine(QuarantineOptions options)
    : options_(options)
{ }

auto Quarantine::SuspectEntry::open() const -> std::uint32_t
{
    return static_cast<std::uint32_t>(ended.size() - acquitted.size());
}

auto Quarantine::onEnd(const WorkIds &works, std::uint64_t account, const EndpointId &endpoint,
                       Millis now) -> bool
{
    const auto isNew = recordEnd(works.ofCaller, WorkKind::Request, account, endpoint, now);
    return recordEnd(works.ofAnyone, WorkKind::Request, account, endpoint, now) || isNew;
}

auto Quarantine::onPartEnd(const WorkId &part, const ServiceId &service, const EndpointId &endpoint,
                           Millis now) -> bool
{
    // The rows of a service's parts are bounded together, since callers share parts.
    const auto account = std::hash<std::string> {}(service.value());
    return recordEnd(part, WorkKind::PromptPart, account, endpoint, now);
}

auto Quarantine::onPartsGoOn(const std::vector<WorkId> &parts, Millis now) -> bool
{
    auto clears = false;
    for (const auto &part : parts) {
        const auto noted = completedAt_.find(part);
        const auto isFresh
                = noted != completedAt_.end() && now - noted->second < options_.partNoteInterval;
        if (!isFresh || isSuspected(part))
            clears = recordCompleted(part, now) || clears;
    }
    return clears;
}

auto Quarantine::openEnds(const WorkId &work) const -> std::uint32_t
{
    const auto found = rows_.find(work);
    return found == rows_.end() ? 0 : found->second.open();
}

auto Quarantine::recordEnd(const WorkId &work, WorkKind kind, std::uint64_t account,
                           const EndpointId &endpoint, Millis now) -> bool
{
    auto row = SuspectRow {};
    row.work = work;
    row.kind = kind;
    row.account = account;
    row.ended.push_back(endpoint);
    row.endedMs.push_back(0);
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
        fresh.kind = row.kind;
        fresh.account = row.account;
        fresh.lastEndAt = now - sinceLastEnd;
        makeRoom(row.account, now);
        found = rows_.emplace(row.work, std::move(fresh)).first;
        ++rowsOfAccount_[row.account];
    }
    auto &known = found->second;
    auto changed = false;
    auto hasNewEnds = false;
    for (std::size_t i = 0; i < row.ended.size(); ++i) {
        const auto since = i < row.endedMs.size() ? row.endedMs[i] : row.quietMs;
        const auto at = now
                - static_cast<Millis>(std::min(since,
                                               static_cast<std::uint64_t>(options_.longestPeriod)));
        if (const auto end = known.ended.find(row.ended[i]); end != known.ended.end())
            end->second = std::min(end->second, at);
        else if (known.ended.size() < options_.maxEndsPerRow)
            hasNewEnds = known.ended.emplace(row.ended[i], at).second;
    }
    if (hasNewEnds)
        known.lastEndAt = std::max(known.lastEndAt, now - sinceLastEnd);
    for (const auto &endpoint : row.acquitted) {
        if (known.ended.contains(endpoint))
            changed = known.acquitted.insert(endpoint).second || changed;
    }
    if (hasNewEnds && completedRecently(row.work, known.kind, now) && acquit(known))
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
    const auto ends = endsOf(found->second, now);
    if (ends < suspectFrom(found->second.kind))
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
    return worseOf(verdict(works.ofCaller, now), verdict(works.ofAnyone, now));
}

auto Quarantine::verdict(const WorkIds &works, const std::vector<WorkId> &parts, Millis now) const
        -> Verdict
{
    auto result = verdict(works, now);
    for (const auto &part : parts)
        result = worseOf(result, verdict(part, now));
    return result;
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
        if (known.open() >= leastEnds && !isExpired(known, now))
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
    const auto isQuarantined = endsOf(known, now) >= options_.endsUntilQuarantine;
    return now - known.lastEndAt
            >= (isQuarantined ? options_.longestPeriod : options_.forgetSuspectAfter);
}

auto Quarantine::completedRecently(const WorkId &work, WorkKind kind, Millis now) const -> bool
{
    const auto ttl = kind == WorkKind::PromptPart ? options_.partGoesOnTtl : options_.completionTtl;
    const auto found = completedAt_.find(work);
    return found != completedAt_.end() && now - found->second < ttl;
}

auto Quarantine::suspectFrom(WorkKind kind) const -> std::uint32_t
{
    return kind == WorkKind::PromptPart ? options_.partEndsUntilSuspect : 1;
}

auto Quarantine::endsOf(const SuspectEntry &known, Millis now) const -> std::uint32_t
{
    return known.kind == WorkKind::Request ? known.open() : endsOfPart(known, now);
}

auto Quarantine::endsOfPart(const SuspectEntry &known, Millis now) const -> std::uint32_t
{
    auto times = std::vector<Millis> {};
    for (const auto &[endpoint, at] : known.ended) {
        if (!known.acquitted.contains(endpoint) && at + options_.partEndDelay <= now)
            times.push_back(at);
    }
    std::sort(times.begin(), times.end());
    auto counted = std::vector<Millis> {}; ///< First ends of those that count as one.
    for (const auto at : times) {
        if (counted.empty() || at - counted.back() >= options_.endsTogether)
            counted.push_back(at);
    }
    const auto ends = static_cast<std::uint32_t>(counted.size());
    const auto suspectFrom = options_.partEndsUntilSuspect;
    if (ends <= suspectFrom)
        return ends;
    const auto isMany
            = ends >= options_.partEndsApart && times.size() >= options_.partEndsUntilQuarantine;
    const auto ranAlone = counted.back() - counted[suspectFrom - 1] >= options_.partRunsAloneAfter;
    return isMany || ranAlone ? ends : suspectFrom;
}

auto Quarantine::acquit(SuspectEntry &known) -> bool
{
    const auto changed = known.acquitted.size() < known.ended.size();
    for (const auto &[endpoint, at] : known.ended)
        known.acquitted.insert(endpoint);
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
                || std::pair { known.open(), known.lastEndAt }
                        < std::pair { least->second.open(), least->second.lastEndAt };
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
    row.kind = known.kind;
    row.account = known.account;
    for (const auto &[endpoint, at] : known.ended) {
        row.ended.push_back(endpoint);
        row.endedMs.push_back(static_cast<std::uint64_t>(std::max<Millis>(now - at, 0)));
    }
    row.acquitted.assign(known.acquitted.begin(), known.acquitted.end());
    row.quietMs = static_cast<std::uint64_t>(std::max<Millis>(now - known.lastEndAt, 0));
    return row;
}

} // namespace figrack::policy
