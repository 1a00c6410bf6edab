#include "fleet/endpointtable.h"

#include <algorithm>
#include <utility>

#include "core/log.h"

namespace figrack::fleet {

using catalogue::EndpointRow;
using catalogue::EndpointState;

namespace {

/// Announcements are delayed by different times, so the ends of a cold time that they state differ
/// slightly.
constexpr auto coldTolerance = std::chrono::milliseconds { 500 };

} // namespace

EndpointTable::EndpointTable(EndpointTableOptions options, const Clock &clock)
    : options_(options)
    , clock_(clock)
{ }

auto EndpointTable::setOnChanged(OnChanged listener) -> void
{
    onChanged_ = std::move(listener);
}

auto EndpointTable::setOnForgotten(std::function<void(const EndpointId &)> listener) -> void
{
    onForgotten_ = std::move(listener);
}

auto EndpointTable::recall(std::vector<EndpointRow> endpoints) -> void
{
    // Set the time so that the endpoint is considered lost after recallFor.
    const auto heardAt = clock_.now() - options_.forgetSilentAfter + options_.recallFor;
    for (auto &row : endpoints) {
        if (row.state == EndpointState::Gone)
            continue;
        auto &known = known_[row.id];
        known.row = std::move(row);
        known.heardAt = heardAt;
        known.silentFrom = clock_.now() + options_.recallFor;
        noteCold(known);
        notify(known, Change::Row);
    }
}

auto EndpointTable::isIgnored(const EndpointRow &row) -> bool
{
    if (known_.contains(row.id))
        return false;
    return row.state == EndpointState::Ready ? !acceptsIncarnation(row.id)
                                             : newerHeardAt(row.id).has_value();
}

auto EndpointTable::announce(const EndpointRow &row) -> bool
{
    const auto changed = merge(row);
    auto &known = known_[row.id];
    known.beaten = true;
    noteHeard(known);
    return changed;
}

auto EndpointTable::merge(const EndpointRow &row) -> bool
{
    if (!known_.contains(row.id) && isSuperseded(row.id))
        return false;
    auto [item, isNew] = known_.try_emplace(row.id);
    auto &known = item->second;
    if (isNew) {
        known.heardAt = clock_.now();
        known.silentFrom = known.heardAt + options_.silentAfter;
    } else if (!catalogue::isNewer(row, known.row)) {
        return false;
    }
    auto changed = isNew || !row.sameAs(known.row);
    if (isNew)
        known.row = row;
    else
        catalogue::applyNewer(row, known.row);
    changed = noteCold(known) || changed;
    if (!changed)
        return false;
    LogEvent(LogLevel::Info, "endpoint_changed")
            .with("endpoint", row.id)
            .with("service", row.service)
            .with("address", row.address.text())
            .with("state", catalogue::endpointStateName(row.state))
            .with("sequence", row.sequence)
            .with("models", static_cast<std::uint64_t>(row.models.size()));
    if (isNew && row.state != EndpointState::Gone)
        supersedeOthers(row.id);
    notify(known, Change::Row);
    return true;
}

auto EndpointTable::hear(const catalogue::EndpointBeat &beat) -> void
{
    const auto found = known_.find(beat.id);
    if (found != known_.end() && beat.sequence >= found->second.row.sequence)
        noteHeard(found->second);
}

auto EndpointTable::noteHeard(Known &known) -> void
{
    known.heardAt = clock_.now();
    known.silentFrom = known.heardAt + options_.silentAfter;
    if (std::exchange(known.isSilent, false))
        notify(known, Change::Silence);
}

auto EndpointTable::amend(const EndpointId &id, const std::function<void(EndpointRow &)> &change)
        -> bool
{
    const auto found = known_.find(id);
    if (found == known_.end())
        return false;
    auto row = rowToSend(found->second);
    change(row);
    ++row.orderVersion;
    return merge(row);
}

auto EndpointTable::tick() -> void
{
    const auto now = clock_.now();
    std::erase_if(olderIncarnations_, [&](const auto &item) {
        return now - item.second >= options_.forgetSilentAfter;
    });
    for (auto item = known_.begin(); item != known_.end();) {
        auto &known = item->second;
        const auto isGone = known.row.state == EndpointState::Gone;
        const auto limit = isGone ? options_.forgetGoneAfter : options_.forgetSilentAfter;
        if (!known.isSilent && now >= known.silentFrom) {
            known.isSilent = true;
            notify(known, Change::Silence);
        }
        if (now - known.heardAt < limit) {
            ++item;
            continue;
        }
        const auto id = item->first;
        item = known_.erase(item);
        if (onForgotten_)
            onForgotten_(id);
    }
}

auto EndpointTable::find(const EndpointId &id) const -> const EndpointRow *
{
    const auto found = known_.find(id);
    return found == known_.end() ? nullptr : &found->second.row;
}

auto EndpointTable::inUse(const EndpointId &id) const -> const EndpointRow *
{
    const EndpointRow *newest = nullptr;
    catalogue::forEachIncarnation(known_, id, [&](const auto &item) {
        const auto &row = item.second.row;
        const auto isNewest = newest == nullptr || row.id.incarnation() > newest->id.incarnation();
        if (row.state != EndpointState::Gone && isNewest)
            newest = &row;
    });
    return newest;
}

auto EndpointTable::isSuperseded(const EndpointId &id) const -> bool
{
    const auto rowOf = [](const Known &known) -> const EndpointRow & { return known.row; };
    return catalogue::newerIncarnation(known_, id, rowOf) != nullptr;
}

auto EndpointTable::isSilent(const EndpointId &id) const -> bool
{
    const auto found = known_.find(id);
    return found != known_.end() && found->second.isSilent;
}

auto EndpointTable::knowsDomain(const DomainId &domain) const -> bool
{
    return std::any_of(known_.begin(), known_.end(),
                       [&](const auto &item) { return item.second.row.domain == domain; });
}

auto EndpointTable::rows() const -> std::vector<const EndpointRow *>
{
    auto result = std::vector<const EndpointRow *> {};
    result.reserve(known_.size());
    for (const auto &[id, known] : known_)
        result.push_back(&known.row);
    return result;
}

auto EndpointTable::toSend(const EndpointId &id) const -> std::optional<EndpointRow>
{
    const auto found = known_.find(id);
    return found == known_.end() ? std::nullopt : std::optional { rowToSend(found->second) };
}

auto EndpointTable::allToSend() const -> std::vector<EndpointRow>
{
    auto sorted = std::vector<const Known *> {};
    for (const auto &[id, known] : known_)
        sorted.push_back(&known);
    std::sort(sorted.begin(), sorted.end(),
              [](const Known *one, const Known *other) { return one->heardAt < other->heardAt; });
    auto result = std::vector<EndpointRow> {};
    for (const auto *known : sorted)
        result.push_back(rowToSend(*known));
    return result;
}

auto EndpointTable::takeBeats() -> std::vector<catalogue::EndpointBeat>
{
    auto beats = std::vector<catalogue::EndpointBeat> {};
    for (auto &[id, known] : known_) {
        if (std::exchange(known.beaten, false))
            beats.push_back({ id, known.row.sequence });
    }
    return beats;
}

/// @return when a newer incarnation of the endpoint was last heard from; nullopt: none is known
auto EndpointTable::newerHeardAt(const EndpointId &id) const -> std::optional<Instant>
{
    auto result = std::optional<Instant> {};
    catalogue::forEachIncarnation(known_, id, [&](const auto &item) {
        if (item.first.incarnation() > id.incarnation())
            result = std::max(result.value_or(Instant::min()), item.second.heardAt);
    });
    return result;
}

/// @return true when this yet unknown incarnation is not superseded by a known one
auto EndpointTable::acceptsIncarnation(const EndpointId &id) -> bool
{
    const auto newer = newerHeardAt(id);
    if (!newer)
        return true;
    const auto now = clock_.now();
    auto &since = olderIncarnations_.try_emplace(id, now).first->second;
    if (*newer >= since)
        since = now;
    if (now - since < options_.olderIncarnationAfter)
        return false;
    LogEvent(LogLevel::Warning, "incarnation_falls").with("endpoint", id);
    olderIncarnations_.erase(id);
    supersedeOthers(id);
    return true;
}

/// Marks all other incarnations of the endpoint as gone, since this one is in use.
auto EndpointTable::supersedeOthers(const EndpointId &id) -> void
{
    catalogue::forEachIncarnation(known_, id, [&](auto &item) {
        auto &row = item.second.row;
        if (item.first == id || row.state == EndpointState::Gone)
            return;
        row.state = EndpointState::Gone;
        LogEvent(LogLevel::Info, "incarnation_over").with("endpoint", item.first).with("by", id);
        notify(item.second, Change::Superseded);
    });
}

/// Call when the row has been set. @return true when subscribers must be told: each announcement of
/// a cold endpoint states less time, but nearly the same end
auto EndpointTable::noteCold(Known &known) const -> bool
{
    const auto now = clock_.now();
    const auto before = std::max(known.coldUntil, now);
    known.coldUntil = now + std::chrono::milliseconds { known.row.coldMs };
    return std::chrono::abs(known.coldUntil - before) > coldTolerance;
}

auto EndpointTable::rowToSend(const Known &known) const -> EndpointRow
{
    using std::chrono::milliseconds;
    auto row = known.row;
    const auto left = std::chrono::ceil<milliseconds>(known.coldUntil - clock_.now());
    row.coldMs = static_cast<std::uint32_t>(std::max<milliseconds::rep>(left.count(), 0));
    return row;
}

auto EndpointTable::notify(const Known &known, Change change) const -> void
{
    if (onChanged_)
        onChanged_(known.row, change);
}

} // namespace figrack::fleet
