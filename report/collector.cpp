// The collector keeps a copy of the pyramid of each router instance, in the time base of that
// router. The level and number of a slot depend only on that time base, so replacing slots
// one by one is exact. The collector's own time base is used only for the time at which a
// response arrived, which gives the age of a slot with an error of at most a round trip.

#include "report/collector.h"

#include <algorithm>
#include <map>

#include "core/serial.h"
#include "report/wire.h"

namespace figrack::report {
namespace {

constexpr auto savedFormat = std::uint8_t { 1 };
constexpr auto timelineParts = Millis { 24 };
/// After a longer gap, slots of the finest level may have been merged into the next level, so
/// the collector requests all slots again.
constexpr auto longestGap = millisOf(std::chrono::minutes { 4 });

auto toMillis(Duration duration) -> Millis
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

/// Identifies one run of a router process.
struct SourceInstance
{
    Incarnation incarnation;
    std::uint64_t instanceId = 0; ///< Of the Recorder.
    auto order() const -> std::pair<Incarnation, std::uint64_t>
    {
        return { incarnation, instanceId };
    }
};

struct Source
{
    SourceInstance instance;
    Pyramid<CountSlot> counts;
    Millis heardAt = 0;          ///< In the collector's time base.
    bool hasFullHistory = false; ///< True once a response covered longestWindow.
    bool ended = false;          ///< True if the counts have been merged into ended_.
};

struct SavedSource
{
    NodeId node;
    Incarnation incarnation;
    std::int64_t heardAgo = 0;
    std::string counts; ///< Result of encodeCounts().
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(node, incarnation, heardAgo, counts);
    }
};

struct SavedCollector
{
    std::uint8_t format = savedFormat;
    std::int64_t savedAt = 0; ///< Wall-clock time, ms since the epoch.
    std::string ended;
    std::vector<SavedSource> sources;
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(format, savedAt, ended, sources);
    }
};

} // namespace

class Collector::Impl
{
public:
    Impl(const Clock &clock, CollectorOptions options)
        : clock_(clock)
        , options_(options)
        , started_(clock.now())
        , ended_(CountSlot { bounds() })
    { }

    auto absorb(const NodeId &node, Incarnation incarnation, std::string_view bytes)
            -> absl::Status;
    auto wantedWindow(const NodeId &node, Incarnation incarnation) const -> Duration;
    auto merged(Millis window) -> MergedCounts;
    auto save() -> std::string;
    auto restore(std::string_view bytes) -> absl::Status;

private:
    auto now() const -> Millis { return toMillis(clock_.now() - started_) + offset_; }
    auto wallMillis() const -> Millis { return clock_.wallNow().time_since_epoch().count(); }
    auto bounds() const -> RowBounds
    {
        auto bounds = RowBounds {};
        bounds.maxRows = options_.maxRows;
        return bounds;
    }
    auto sourceOf(const NodeId &node, const SourceInstance &instance) -> absl::StatusOr<Source *>;
    auto retire(Source &source) -> void;
    auto retireSilent() -> void;

    const Clock &clock_;
    const CollectorOptions options_;
    const Instant started_;
    Millis offset_
            = longestWindow; ///< Keeps times up to three days in the past from being negative.
    std::map<NodeId, Source> sources_;
    Pyramid<CountSlot> ended_; ///< Counts of ended router instances, in the collector's time base.
};

/// Returns the source that a response belongs to, and creates it if necessary. A later instance
/// of a router retires the previous one.
auto Collector::Impl::sourceOf(const NodeId &node, const SourceInstance &instance)
        -> absl::StatusOr<Source *>
{
    const auto found = sources_.find(node);
    if (found == sources_.end()) {
        if (sources_.size() >= options_.maxSources)
            return makeError(ErrorKind::Overloaded, "too many routers report");
        auto source = Source { instance, Pyramid<CountSlot> { CountSlot { bounds() } } };
        return &sources_.emplace(node, std::move(source)).first->second;
    }
    auto &source = found->second;
    if (instance.order() < source.instance.order()
        || (source.ended && instance.order() == source.instance.order()))
        return makeError(ErrorKind::Conflict, "this life of the router has ended");
    if (instance.order() == source.instance.order())
        return &source;
    retire(source);
    source = Source { instance, Pyramid<CountSlot> { CountSlot { bounds() } } };
    return &source;
}

auto Collector::Impl::absorb(const NodeId &node, Incarnation incarnation, std::string_view bytes)
        -> absl::Status
{
    auto decoded = decodeCounts(bytes, bounds());
    if (!decoded.ok())
        return decoded.status();
    retireSilent();
    const auto found = sourceOf(node, { incarnation, decoded->instanceId });
    if (!found.ok())
        return found.status();
    auto &source = **found;
    if (source.heardAt != 0 && decoded->now < source.counts.now())
        return absl::OkStatus(); // A later response, which contains all these counts, arrived
                                 // first.
    source.counts.advance(decoded->now);
    for (auto &[id, slot] : decoded->slots)
        source.counts.replace(id, std::move(slot));
    source.heardAt = now();
    source.hasFullHistory = source.hasFullHistory || decoded->window >= longestWindow;
    return absl::OkStatus();
}

/// Merges the counts of a router instance into ended_. The midpoint of each slot, converted to
/// the collector's time base, decides the slot that it is merged into.
auto Collector::Impl::retire(Source &source) -> void
{
    if (source.ended)
        return;
    ended_.advance(now());
    const auto shift = source.heardAt - source.counts.now();
    source.counts.forEach(longestWindow, [&](SlotTime time, const CountSlot &slot, SlotId) {
        if (auto *to = ended_.at((time.start + time.end) / 2 + shift))
            to->merge(slot);
    });
    source.counts = Pyramid<CountSlot> { CountSlot { bounds() } };
    source.ended = true;
}

auto Collector::Impl::retireSilent() -> void
{
    const auto present = now();
    for (auto &[node, source] : sources_) {
        if (present - source.heardAt > toMillis(options_.forgetAfter))
            retire(source);
    }
    std::erase_if(sources_, [&](const auto &item) {
        return item.second.ended && present - item.second.heardAt > longestWindow;
    });
}

auto Collector::Impl::wantedWindow(const NodeId &node, Incarnation incarnation) const -> Duration
{
    const auto everything = std::chrono::milliseconds { longestWindow };
    const auto found = sources_.find(node);
    if (found == sources_.end() || found->second.instance.incarnation != incarnation
        || !found->second.hasFullHistory)
        return everything;
    const auto gap = now() - found->second.heardAt;
    if (gap > longestGap)
        return everything;
    return std::chrono::milliseconds { gap + 2 * pyramidLevels[0].slot };
}

auto Collector::Impl::merged(Millis window) -> MergedCounts
{
    retireSilent();
    const auto present = now();
    ended_.advance(present);
    auto merged = MergedCounts {};
    merged.window = window;
    auto timeline = std::map<std::pair<std::string, Millis>, WindowCounts> {};
    const auto part = std::max<Millis>(window / timelineParts, 1);
    const auto visit = [&](SlotTime time, const CountSlot &slot, Millis shift) {
        const auto age = present - (time.end + shift);
        const auto middle = std::clamp<Millis>(age + (time.end - time.start) / 2, 0, window - 1);
        for (const auto &[key, row] : slot.rows()) {
            const auto counts = WindowCounts { row[Counter::Eligible], row[Counter::MetStart],
                                               row[Counter::MetFinish] };
            const auto addTo = [&](WindowCounts &to) {
                to.eligible += counts.eligible;
                to.metStart += counts.metStart;
                to.metFinish += counts.metFinish;
            };
            for (auto level = std::size_t { 0 }; level < pyramidLevels.size(); ++level) {
                if (age < pyramidLevels[level].window)
                    addTo(merged.windows[level][key.classId]);
            }
            if (age >= window)
                continue;
            merged.rows[key].merge(row);
            addTo(timeline[{ key.classId, middle / part }]);
        }
    };
    for (const auto &[node, source] : sources_) {
        const auto shift = source.heardAt - source.counts.now();
        source.counts.forEachAfter(
                present - longestWindow - shift,
                [&](SlotTime time, const CountSlot &slot, SlotId) { visit(time, slot, shift); });
        if (!source.ended)
            merged.sources.push_back({ node, present - source.heardAt });
    }
    ended_.forEach(longestWindow,
                   [&](SlotTime time, const CountSlot &slot, SlotId) { visit(time, slot, 0); });
    for (const auto &[key, counts] : timeline) {
        merged.timeline.push_back(
                { key.first, (key.second + 1) * part, key.second * part, counts });
    }
    return merged;
}

auto Collector::Impl::save() -> std::string
{
    retireSilent();
    ended_.advance(now());
    auto saved = SavedCollector {};
    saved.savedAt = wallMillis();
    saved.ended = encodeCounts(0, longestWindow, ended_);
    for (const auto &[node, source] : sources_) {
        if (source.ended)
            continue;
        saved.sources.push_back(
                { node, source.instance.incarnation, now() - source.heardAt,
                  encodeCounts(source.instance.instanceId, longestWindow, source.counts) });
    }
    return serialize(saved);
}

auto Collector::Impl::restore(std::string_view bytes) -> absl::Status
{
    auto saved = SavedCollector {};
    if (auto status = deserialize(bytes, saved); !status.ok())
        return status;
    auto ended = decodeCounts(saved.ended, bounds());
    if (!ended.ok())
        return ended.status();
    if (saved.format != savedFormat || saved.savedAt < 0)
        return makeError(ErrorKind::Malformed, "counts of another format");
    const auto downtime = std::clamp<Millis>(wallMillis() - saved.savedAt, 0, 2 * longestWindow);
    auto sources = std::map<NodeId, Source> {};
    for (const auto &one : saved.sources) {
        auto decoded = decodeCounts(one.counts, bounds());
        if (!decoded.ok())
            return decoded.status();
        auto source = Source { { one.incarnation, decoded->instanceId },
                               Pyramid<CountSlot> { CountSlot { bounds() } } };
        source.counts.advance(decoded->now);
        for (auto &[id, slot] : decoded->slots)
            source.counts.replace(id, std::move(slot));
        source.heardAt = ended->now + downtime - std::clamp<Millis>(one.heardAgo, 0, longestWindow);
        sources.emplace(one.node, std::move(source));
    }
    offset_ += ended->now + downtime - now();
    ended_ = Pyramid<CountSlot> { CountSlot { bounds() } };
    ended_.advance(ended->now);
    for (auto &[id, slot] : ended->slots)
        ended_.replace(id, std::move(slot));
    ended_.advance(now());
    sources_ = std::move(sources);
    return absl::OkStatus();
}

auto reportFormatName(ReportFormat format) -> std::string_view
{
    constexpr auto names = std::array<std::string_view, 3> { "text", "json", "html" };
    return names[static_cast<std::size_t>(format)];
}

Collector::Collector(const Clock &clock, CollectorOptions options)
    : impl_(std::make_unique<Impl>(clock, options))
{ }

Collector::~Collector() = default;

auto Collector::absorb(const NodeId &node, Incarnation incarnation, std::string_view bytes)
        -> absl::Status
{
    return impl_->absorb(node, incarnation, bytes);
}

auto Collector::wantedWindow(const NodeId &node, Incarnation incarnation) const -> Duration
{
    return impl_->wantedWindow(node, incarnation);
}

auto Collector::merged(Duration window) -> MergedCounts
{
    return impl_->merged(toMillis(window));
}

auto Collector::render(Duration window, ReportFormat format, const BurnInput &input) -> std::string
{
    const auto report = makeBurnReport(merged(window), input);
    switch (format) {
    case ReportFormat::Text:
        return renderText(report);
    case ReportFormat::Json:
        return renderJson(report);
    case ReportFormat::Html:
        return renderHtml(report);
    }
    return {};
}

auto Collector::save() -> std::string
{
    return impl_->save();
}

auto Collector::restore(std::string_view bytes) -> absl::Status
{
    return impl_->restore(bytes);
}

} // namespace figrack::report
