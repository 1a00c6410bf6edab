#include "fleet/suspectsync.h"

#include <utility>

#include "core/log.h"

namespace figrack::fleet {

SuspectSync::SuspectSync(SuspectSyncOptions options, policy::Quarantine &quarantine,
                         Registry &registry, LastKnownStore &store, const Clock &clock)
    : options_(options)
    , quarantine_(quarantine)
    , registry_(registry)
    , store_(store)
    , clock_(clock)
{ }

auto SuspectSync::recall() -> void
{
    for (const auto &row : store_.loadSuspects())
        quarantine_.merge(row, policy::millisOf(clock_.now()));
    LogEvent(LogLevel::Info, "suspects_recalled")
            .with("rows", static_cast<std::uint64_t>(quarantine_.size()));
}

auto SuspectSync::onNews(const proto::SuspectNews &news) -> void
{
    for (const auto &row : news.rows) {
        if (!quarantine_.merge(row, policy::millisOf(clock_.now())))
            continue;
        changed_.insert(row.work);
        const auto verdict = quarantine_.verdict(row.work, policy::millisOf(clock_.now()));
        LogEvent(LogLevel::Info, "suspect_told")
                .with("work", row.work.text())
                .with("ends", std::uint64_t { verdict.ends })
                .with("standing", policy::standingName(verdict.standing))
                .with("release_ms", verdict.releaseIn);
    }
}

auto SuspectSync::onSubscribed(const proto::PeerPointer &peer, proto::SubscriberKind kind) -> void
{
    const auto isGateway = kind == proto::SubscriberKind::Gateway;
    auto rows = quarantine_.rows(isGateway ? options_.minEndsForGateways : 1,
                                 policy::millisOf(clock_.now()));
    if (!rows.empty())
        peer->send({ 0, proto::SuspectNews { std::move(rows) } });
}

auto SuspectSync::publishOwn() -> void
{
    auto news = proto::SuspectNews { quarantine_.takeLocalChanges(policy::millisOf(clock_.now())) };
    if (news.rows.empty())
        return;
    unsaved_ = true;
    registry_.push(proto::SubscriberKind::Control, std::move(news));
}

auto SuspectSync::tick() -> void
{
    if (!changed_.empty())
        relayChanged();
    if (unsaved_ && clock_.now() >= nextSave_)
        save();
}

auto SuspectSync::relayChanged() -> void
{
    auto toControls = proto::SuspectNews {};
    auto toGateways = proto::SuspectNews {};
    for (const auto &work : std::exchange(changed_, {})) {
        auto row = quarantine_.row(work, policy::millisOf(clock_.now()));
        const auto hasCounted = row.ended.size() >= options_.minEndsForGateways;
        unsaved_ = unsaved_ || hasCounted;
        if (!registry_.shouldRelay(work.low))
            continue;
        if (hasCounted)
            toGateways.rows.push_back(row);
        toControls.rows.push_back(std::move(row));
    }
    if (!toControls.rows.empty())
        registry_.push(proto::SubscriberKind::Control, std::move(toControls));
    if (!toGateways.rows.empty())
        registry_.push(proto::SubscriberKind::Gateway, std::move(toGateways));
}

auto SuspectSync::save() -> void
{
    unsaved_ = false;
    nextSave_ = clock_.now() + options_.saveEvery;
    store_.save(quarantine_.rows(options_.minEndsForGateways, policy::millisOf(clock_.now())));
}

} // namespace figrack::fleet
