#include "gateway/fleetview.h"

#include <algorithm>
#include <utility>

#include "core/duration.h"
#include "core/log.h"

namespace figrack::gateway {
namespace {

/// Minimum time to load a model, including its order and the unload before it.
constexpr auto shortestLoad = std::chrono::seconds { 1 };

} // namespace

auto EndpointEntry::rateAt(Instant now, double coldPerSecond) const -> std::optional<NamedRate>
{
    if (coldPerSecond <= 0 || coldUntil == Instant {})
        return rate;
    auto result = rate.value_or(NamedRate { std::nullopt, coldSince });
    if (now < coldUntil) {
        result.perSecond = std::min(result.perSecond.value_or(coldPerSecond), coldPerSecond);
        result.heardAt = std::max(result.heardAt, coldSince);
    } else {
        result.heardAt = std::max(result.heardAt, coldUntil);
    }
    return result;
}

FleetView::FleetView(FleetViewOptions options, const Clock &clock)
    : options_(options)
    , clock_(clock)
{ }

auto FleetView::apply(const proto::ServingUpdate &update) -> bool
{
    auto changed = update.evacuations && applyEvacuations(*update.evacuations);
    // Apply rows of endpoints that are gone first, since another incarnation may have replaced
    // them.
    for (const auto isGone : { true, false }) {
        for (const auto &row : update.endpoints) {
            if ((row.state == catalogue::EndpointState::Gone) == isGone)
                changed = applyRow(row) || changed;
        }
    }
    const auto now = clock_.now();
    for (const auto &beat : update.beats) {
        auto *entry = find(beat.id);
        if (entry == nullptr || beat.sequence < entry->row.sequence)
            continue;
        entry->heardAt = now;
        entry->isUnreached = false;
        if (entry->isReplaced) {
            replaceOthersAt(entry->row);
            entry->isReplaced = false;
            changed = true;
        }
    }
    for (const auto &load : update.loads) {
        if (auto *entry = find(load.endpoint))
            entry->othersRunning = load.running - std::min(load.running, entry->reportedRunning);
    }
    for (const auto &id : update.withdrawn) {
        if (auto *entry = find(id); entry != nullptr && !std::exchange(entry->isWithdrawn, true))
            entry->withdrawnAt = now;
    }
    forgetGoneIfDue();
    return changed;
}

auto FleetView::applyWatched(const std::vector<catalogue::EndpointRow> &rows, bool isReset) -> bool
{
    if (isReset)
        withdrawAll();
    auto update = proto::ServingUpdate {};
    update.endpoints = rows;
    onSourceHeard();
    return apply(update);
}

auto FleetView::withdrawAll() -> void
{
    for (auto &[id, entry] : entries_) {
        entry.isWithdrawn = true;
        entry.withdrawnAt = clock_.now();
    }
}

/// A control that lags behind the others announces older evacuations; they are ignored.
auto FleetView::applyEvacuations(const catalogue::Evacuations &evacuations) -> bool
{
    if (evacuations.revision <= evacuations_.revision)
        return false;
    LogEvent(LogLevel::Info, "evacuations_in_force")
            .with("revision", evacuations.revision)
            .with("before", evacuations_.revision)
            .with("domains", static_cast<std::uint64_t>(evacuations.domains.size()))
            .with("last", evacuations.domains.empty() ? DomainId {} : evacuations.domains.back());
    evacuations_ = evacuations;
    return true;
}

auto FleetView::applyRow(const catalogue::EndpointRow &row) -> bool
{
    if (!entries_.contains(row.id) && isSuperseded(row.id))
        return false;
    auto [item, isNew] = entries_.try_emplace(row.id);
    auto &entry = item->second;
    const auto wasWithdrawn = std::exchange(entry.isWithdrawn, false);
    if (!isNew && !catalogue::isNewer(row, entry.row))
        return wasWithdrawn;
    const auto changed = isNew || wasWithdrawn || entry.isReplaced || !row.sameAs(entry.row);
    // A network partition may delay the announcement of a crashed endpoint until another endpoint
    // uses its address.
    const auto isDisplaced = (isNew || entry.isReplaced) && hasYoungerAt(row);
    if ((isNew || entry.isReplaced) && !isDisplaced)
        replaceOthersAt(row);
    entry.isReplaced = isDisplaced;
    entry.isUnreached = false;
    if (isNew && row.state != catalogue::EndpointState::Gone)
        supersedeOthers(row.id);
    const auto before = entry.row.service;
    if (isNew)
        entry.row = row;
    else
        catalogue::applyNewer(row, entry.row);
    byService_.update(row.id, entry.row.service);
    if (!isNew && entry.row.service != before) {
        LogEvent(LogLevel::Warning, "endpoint_service_changed")
                .with("endpoint", row.id)
                .with("service", entry.row.service)
                .with("before", before);
    }
    if (changed) {
        LogEvent(LogLevel::Info, "endpoint_changed")
                .with("endpoint", row.id)
                .with("service", entry.row.service)
                .with("state", catalogue::endpointStateName(row.state))
                .with("sequence", row.sequence)
                .with("order_version", row.orderVersion)
                .with("models", static_cast<std::uint64_t>(row.models.size()));
    }
    entry.heardAt = clock_.now();
    noteCold(entry);
    const auto now = clock_.now();
    std::erase_if(entry.missingUntil, [now](const auto &item) { return item.second <= now; });
    return changed;
}

auto FleetView::noteCold(EndpointEntry &entry) const -> void
{
    const auto now = clock_.now();
    const auto wasCold = now < entry.coldUntil;
    if (entry.row.coldMs == 0) {
        entry.coldUntil = std::min(entry.coldUntil, now);
        return;
    }
    if (!wasCold)
        entry.coldSince = now;
    entry.coldUntil = now + std::chrono::milliseconds { entry.row.coldMs };
}

/// @return true if a newer incarnation of the endpoint is in use
auto FleetView::isSuperseded(const EndpointId &id) const -> bool
{
    const auto rowOf = [](const EndpointEntry &entry) -> const catalogue::EndpointRow & {
        return entry.row;
    };
    return catalogue::newerIncarnation(entries_, id, rowOf) != nullptr;
}

/// Marks all other incarnations of the endpoint as gone, because this one is in use.
auto FleetView::supersedeOthers(const EndpointId &id) -> void
{
    catalogue::forEachIncarnation(entries_, id, [&](auto &item) {
        auto &row = item.second.row;
        if (item.first == id || row.state == catalogue::EndpointState::Gone)
            return;
        const auto announced = std::exchange(row.state, catalogue::EndpointState::Gone);
        const auto before = item.second.isDraining ? catalogue::EndpointState::Draining : announced;
        LogEvent(LogLevel::Info, "incarnation_over")
                .with("endpoint", item.first)
                .with("by", id)
                .with("before", catalogue::endpointStateName(before));
        if (onSuperseded_)
            onSuperseded_(item.first, before);
    });
}

/// Marks all other endpoints at the same address as replaced: an address belongs to the endpoint
/// that was announced last.
auto FleetView::replaceOthersAt(const catalogue::EndpointRow &row) -> void
{
    if (row.state == catalogue::EndpointState::Gone)
        return;
    for (auto &[id, entry] : entries_) {
        if (id != row.id && entry.row.address == row.address)
            entry.isReplaced = true;
    }
}

/// @return true if an endpoint that was started later is known at the row's address
auto FleetView::hasYoungerAt(const catalogue::EndpointRow &row) const -> bool
{
    return std::any_of(entries_.begin(), entries_.end(), [&](const auto &item) {
        const auto &other = item.second.row;
        const auto isLive
                = other.state != catalogue::EndpointState::Gone && !item.second.isReplaced;
        return isLive && other.address == row.address && row.id.incarnation() != Incarnation {}
        && other.id.incarnation() > row.id.incarnation();
    });
}

auto FleetView::of(const ServiceId &service) -> std::vector<EndpointEntry *>
{
    auto result = std::vector<EndpointEntry *> {};
    for (const auto &id : byService_.of(service)) {
        if (auto *entry = find(id); entry != nullptr && takesWork(id))
            result.push_back(entry);
    }
    return result;
}

auto FleetView::takesWork(const EndpointId &id) const -> bool
{
    const auto found = entries_.find(id);
    return found != entries_.end() && !found->second.isLeaving() && !found->second.isReplaced
            && !found->second.isWithdrawn && !evacuations_.contains(found->second.row.domain);
}

auto FleetView::maySend(const EndpointId &id) const -> bool
{
    const auto found = entries_.find(id);
    return found != entries_.end() && takesWork(id) && !isBackedOff(found->second);
}

auto FleetView::find(const EndpointId &id) -> EndpointEntry *
{
    const auto found = entries_.find(id);
    return found == entries_.end() ? nullptr : &found->second;
}

auto FleetView::setOnSuperseded(OnSuperseded listener) -> void
{
    onSuperseded_ = std::move(listener);
}

auto FleetView::isHealthy(const EndpointEntry &entry) const -> bool
{
    return clock_.now() >= entry.avoidUntil && isAnnounced(entry);
}

auto FleetView::isAnnounced(const EndpointEntry &entry) const -> bool
{
    return clock_.now() - std::max(entry.heardAt, sourceHeardAt_) < options_.staleAfter;
}

auto FleetView::onSuccess(const EndpointId &id) -> void
{
    if (auto *entry = find(id)) {
        entry->failures = 0;
        entry->isUnreached = false;
        entry->avoidUntil = Instant {};
    }
}

auto FleetView::onFailure(const EndpointId &id, bool reached) -> void
{
    auto *entry = find(id);
    if (entry == nullptr)
        return;
    entry->isUnreached = !reached;
    auto pause = options_.firstPause;
    for (auto i = 0U; i < entry->failures && pause < options_.longestPause; ++i)
        pause *= 2;
    ++entry->failures;
    entry->avoidUntil = clock_.now() + std::min(pause, options_.longestPause);
}

auto FleetView::onRejected(const EndpointId &id) -> void
{
    if (auto *entry = find(id))
        entry->avoidUntil = std::max(entry->avoidUntil, clock_.now() + options_.rejectedPause);
}

auto FleetView::onReplaced(const EndpointId &id) -> void
{
    auto *entry = find(id);
    if (entry == nullptr)
        return;
    LogEvent(LogLevel::Info, "endpoint_replaced")
            .with("endpoint", id)
            .with("address", entry->row.address.text())
            .with("sequence", entry->row.sequence);
    entry->isReplaced = true;
}

auto FleetView::onMissing(const EndpointId &id, const ModelId &model, const std::string &adapter)
        -> void
{
    if (auto *entry = find(id))
        entry->missingUntil[{ model, adapter }] = clock_.now() + options_.missingFor;
}

auto FleetView::onNotice(const EndpointId &id, const catalogue::EndpointNotice &notice,
                         Instant sentAt) -> void
{
    auto *entry = find(id);
    if (entry == nullptr)
        return;
    noteRate(*entry, notice, sentAt);
    if (notice.backoff)
        noteBackoff(*entry, *notice.backoff);
    if (notice.isDraining && !std::exchange(entry->isDraining, true)) {
        LogEvent(LogLevel::Info, "endpoint_draining")
                .with("endpoint", id)
                .with("state", catalogue::endpointStateName(entry->row.state))
                .with("sequence", entry->row.sequence);
    }
}

auto FleetView::noteRate(EndpointEntry &entry, const catalogue::EndpointNotice &notice,
                         Instant sentAt) -> void
{
    if (notice.isRateMalformed && !notice.ratePerSecond)
        return;
    auto &rate = entry.rate;
    const auto isUnlimited = !notice.ratePerSecond;
    const auto isTelling = !notice.notRun && rate && sentAt >= rate->heardAt;
    if (isUnlimited && (!entry.isRateLimited() || !isTelling))
        return;
    const auto before = entry.isRateLimited() ? rate->perSecond : std::nullopt;
    if (notice.ratePerSecond != before) {
        LogEvent(LogLevel::Info, "endpoint_rate")
                .with("endpoint", entry.row.id)
                .with("per_s", notice.ratePerSecond.value_or(-1))
                .with("before", before.value_or(-1));
    }
    rate = NamedRate { notice.ratePerSecond, clock_.now() };
}

auto FleetView::noteBackoff(EndpointEntry &entry, Duration backoff) -> void
{
    const auto until = clock_.now() + backoff;
    if (until <= entry.backoffUntil)
        return;
    LogEvent(LogLevel::Info, "endpoint_backoff")
            .with("endpoint", entry.row.id)
            .with("for_ms", wholeMillis(backoff))
            .with("extended", isBackedOff(entry));
    entry.backoffUntil = until;
}

auto FleetView::isBackedOff(const EndpointEntry &entry) const -> bool
{
    return clock_.now() < entry.backoffUntil;
}

auto FleetView::backedOff() const -> std::size_t
{
    return static_cast<std::size_t>(
            std::count_if(entries_.begin(), entries_.end(),
                          [this](const auto &item) { return isBackedOff(item.second); }));
}

auto FleetView::rateLimited() const -> std::size_t
{
    return static_cast<std::size_t>(
            std::count_if(entries_.begin(), entries_.end(), [](const auto &item) {
                return item.second.isRateLimited()
                        && item.second.row.state != catalogue::EndpointState::Gone;
            }));
}

auto FleetView::takeLoads() -> std::vector<proto::EndpointLoad>
{
    auto result = std::vector<proto::EndpointLoad> {};
    for (auto &[id, entry] : entries_) {
        entry.reportedRunning = entry.running;
        if (entry.running > 0)
            result.push_back({ id, entry.running });
    }
    return result;
}

auto FleetView::unreachable() const -> std::vector<EndpointId>
{
    auto result = std::vector<EndpointId> {};
    for (const auto &[id, entry] : entries_) {
        if (!entry.isWithdrawn && (entry.isUnreached || isUnavailable(entry)))
            result.push_back(id);
    }
    return result;
}

auto FleetView::unreached() const -> std::vector<EndpointId>
{
    auto result = std::vector<EndpointId> {};
    for (const auto &[id, entry] : entries_) {
        if (!entry.isWithdrawn && entry.isUnreached && !isUnavailable(entry))
            result.push_back(id);
    }
    return result;
}

auto FleetView::isUnavailable(const EndpointEntry &entry) const -> bool
{
    const auto isBackedOffLong = entry.backoffUntil - clock_.now() >= shortestLoad;
    return entry.isReplaced || entry.isLeaving() || isBackedOffLong;
}

auto FleetView::isListening(const EndpointEntry &entry) -> bool
{
    return entry.row.state != catalogue::EndpointState::Gone && !entry.isReplaced
            && !entry.isWithdrawn;
}

auto FleetView::listening(const catalogue::EndpointGroup &group) const
        -> std::vector<const EndpointEntry *>
{
    auto result = std::vector<const EndpointEntry *> {};
    for (const auto &[id, entry] : entries_) {
        if (entry.row.group() == group && isListening(entry))
            result.push_back(&entry);
    }
    return result;
}

auto FleetView::groups() const -> std::set<catalogue::EndpointGroup>
{
    auto result = std::set<catalogue::EndpointGroup> {};
    for (const auto &[id, entry] : entries_) {
        if (isListening(entry))
            result.insert(entry.row.group());
    }
    return result;
}

auto FleetView::forgiveFailures(const catalogue::EndpointGroup &group) -> void
{
    for (auto &[id, entry] : entries_) {
        if (entry.row.group() != group)
            continue;
        entry.failures = 0;
        entry.isUnreached = false;
        entry.avoidUntil = Instant {};
    }
}

auto FleetView::forgetGoneIfDue() -> void
{
    const auto now = clock_.now();
    if (now < nextForget_)
        return;
    nextForget_ = now + options_.forgetWithdrawnAfter;
    forgetGone();
}

auto FleetView::forgetGone() -> void
{
    const auto limit = clock_.now() - options_.forgetGoneAfter;
    for (auto item = entries_.begin(); item != entries_.end();) {
        const auto &entry = item->second;
        const auto isOld = entry.isWithdrawn
                ? clock_.now() - entry.withdrawnAt >= options_.forgetWithdrawnAfter
                : entry.heardAt <= limit;
        if (!isOld || entry.running > 0) {
            ++item;
            continue;
        }
        byService_.remove(item->first);
        item = entries_.erase(item);
    }
}

} // namespace figrack::gateway
