// Each life of a router keeps its own copy of the router's pyramid, on the router's own
// time scale: since where a slot lies depends on that scale alone, replacing slot by slot
// is exact. The collector's own scale enters only by the time an answer was heard, which
// tells the age of a slot to within a round trip.

#include "report/collector.h"

#include <algorithm>
#include <map>

#include "core/serial.h"
#include "report/wire.h"

namespace figrack::report {
namespace {

constexpr auto savedFormat = std::uint8_t { 1 };
constexpr auto timelineParts = Millis { 24 };
/// Beyond it the finest slots may have moved on: ask for everything again.
constexpr auto longestGap = millisOf(std::chrono::minutes { 4 });

auto toMillis(Duration duration) -> Millis
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

/// One life of a router.
struct Life
{
    Incarnation incarnation;
    std::uint64_t number = 0; ///< The recorder's own.
    auto order() const -> std::pair<Incarnation, std::uint64_t> { return { incarnation, number }; }
};

struct Source
{
    Life life;
    Pyramid<CountSlot> counts;
    Millis heardAt = 0;   ///< On the collector's scale.
    bool isWhole = false; ///< Was once asked for everything.
    bool ended = false;   ///< Its counts stand in ended_.
};

struct SavedSource
{
    NodeId node;
    Incarnation incarnation;
    std::int64_t heardAgo = 0;
    std::string counts; ///< encodeCounts()
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(node, incarnation, heardAgo, counts);
    }
};

struct SavedCollector
{
    std::uint8_t format = savedFormat;
    std::int64_t savedAt = 0; ///< Wall time, ms since the epoch.
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
    auto sourceOf(const NodeId &node, const Life &life) -> absl::StatusOr<Source *>;
    auto end(Source &source) -> void;
    auto endSilent() -> void;

    const Clock &clock_;
    const CollectorOptions options_;
    const Instant started_;
    Millis offset_ = longestWindow; ///< So that the past of three days is not before 0.
    std::map<NodeId, Source> sources_;
    Pyramid<CountSlot> ended_; ///< Lives that are over, on the collector's scale.
};

/// Finds the life that an answer belongs to; a later life ends the one before.
auto Collector::Impl::sourceOf(const NodeId &node, const Life &life) -> absl::StatusOr<Source *>
{
    const auto found = sources_.find(node);
    if (found == sources_.end()) {
        if (sources_.size() >= options_.maxSources)
            return makeError(ErrorKind::Overloaded, "too many routers report");
        auto source = Source { life, Pyramid<CountSlot> { CountSlot { bounds() } } };
        return &sources_.emplace(node, std::move(source)).first->second;
    }
    auto &source = found->second;
    if (life.order() < source.life.order() || (source.ended && life.order() == source.life.order()))
        return makeError(ErrorKind::Conflict, "this life of the router has ended");
    if (life.order() == source.life.order())
        return &source;
    end(source);
    source = Source { life, Pyramid<CountSlot> { CountSlot { bounds() } } };
    return &source;
}

auto Collector::Impl::absorb(const NodeId &node, Incarnation incarnation, std::string_view bytes)
        -> absl::Status
{
    auto decoded = decodeCounts(bytes, bounds());
    if (!decoded.ok())
        return decoded.status();
    endSilent();
    const auto found = sourceOf(node, { incarnation, decoded->life });
    if (!found.ok())
        return found.status();
    auto &source = **found;
    if (source.heardAt != 0 && decoded->now < source.counts.now())
        return absl::OkStatus(); // Overtaken by a later answer, which holds all of it.
    source.counts.advance(decoded->now);
    for (auto &[id, slot] : decoded->slots)
        source.counts.replace(id, std::move(slot));
    source.heardAt = now();
    source.isWhole = source.isWhole || decoded->window >= longestWindow;
    return absl::OkStatus();
}

/// Moves a life's counts to the collector's own scale, by the middle of each slot.
auto Collector::Impl::end(Source &source) -> void
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

auto Collector::Impl::endSilent() -> void
{
    const auto present = now();
    for (auto &[node, source] : sources_) {
        if (present - source.heardAt > toMillis(options_.forgetAfter))
            end(source);
    }
    std::erase_if(sources_, [&](const auto &item) {
        return item.second.ended && present - item.second.heardAt > longestWindow;
    });
}

auto Collector::Impl::wantedWindow(const NodeId &node, Incarnation incarnation) const -> Duration
{
    const auto everything = std::chrono::milliseconds { longestWindow };
    const auto found = sources_.find(node);
    if (found == sources_.end() || found->second.life.incarnation != incarnation
        || !found->second.isWhole)
        return everything;
    const auto gap = now() - found->second.heardAt;
    if (gap > longestGap)
        return everything;
    return std::chrono::milliseconds { gap + 2 * pyramidLevels[0].slot };
}

auto Collector::Impl::merged(Millis window) -> MergedCounts
{
    endSilent();
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
    endSilent();
    ended_.advance(now());
    auto saved = SavedCollector {};
    saved.savedAt = wallMillis();
    saved.ended = encodeCounts(0, longestWindow, ended_);
    for (const auto &[node, source] : sources_) {
        if (source.ended)
            continue;
        saved.sources.push_back({ node, source.life.incarnation, now() - source.heardAt,
                                  encodeCounts(source.life.number, longestWindow, source.counts) });
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
    const auto away = std::clamp<Millis>(wallMillis() - saved.savedAt, 0, 2 * longestWindow);
    auto sources = std::map<NodeId, Source> {};
    for (const auto &one : saved.sources) {
        auto decoded = decodeCounts(one.counts, bounds());
        if (!decoded.ok())
            return decoded.status();
        auto source = Source { { one.incarnation, decoded->life },
                               Pyramid<CountSlot> { CountSlot { bounds() } } };
        source.counts.advance(decoded->now);
        for (auto &[id, slot] : decoded->slots)
            source.counts.replace(id, std::move(slot));
        source.heardAt = ended->now + away - std::clamp<Millis>(one.heardAgo, 0, longestWindow);
        sources.emplace(one.node, std::move(source));
    }
    offset_ += ended->now + away - now();
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
