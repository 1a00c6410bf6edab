#include "fleet/placegrants.h"

#include "core/duration.h"
#include "core/log.h"

namespace figrack::fleet {

PlaceGrants::PlaceGrants(Balancer &balancer, Trials &trials, AccountLedger &ledger,
                         Metrics &metrics)
    : balancer_(balancer)
    , trials_(trials)
    , ledger_(ledger)
    , metrics_(metrics)
{ }

auto PlaceGrants::onQueued(const proto::PeerPointer &peer) -> void
{
    peers_[peer->peer()] = peer;
}

auto PlaceGrants::onClose(const proto::PeerPointer &peer) -> void
{
    const auto found = peers_.find(peer->peer());
    if (found != peers_.end() && found->second == peer)
        peers_.erase(found);
}

auto PlaceGrants::flush() -> void
{
    // A grant that cannot be sent frees a slot, which may be granted in turn.
    for (auto grants = balancer_.queue().takeGrants(); !grants.empty();
         grants = balancer_.queue().takeGrants()) {
        for (auto &grant : grants)
            send(std::move(grant));
    }
    for (const auto &notice : balancer_.queue().takeNotices())
        report(notice);
    metrics_.onPlacesWaiting(balancer_.queue().waiting());
}

auto PlaceGrants::send(PlaceGrant grant) -> void
{
    if (!grant.reply.endpoint.empty()) {
        // Another copy of suspected work may have begun while this one waited.
        if (auto refusal = trials_.refuse(grant.gateway, grant.request)) {
            giveBack(grant);
            grant.reply = *std::move(refusal);
        } else {
            trials_.begin(grant.gateway, grant.request);
        }
    } else {
        giveBack(grant);
    }
    grant.reply.isNearLimit = ledger_.isNearLimit(grant.request);
    const auto peer = peers_.find(grant.gateway);
    const auto isSent = peer != peers_.end()
            && peer->second->send({ 0, proto::PickGrant { grant.request.ticket, grant.reply } });
    if (isSent || grant.reply.endpoint.empty())
        return;
    LogEvent(LogLevel::Warning, "place_grant_not_sent")
            .with("gateway", grant.gateway)
            .with("ticket", grant.request.ticket);
    trials_.onEnd(grant.gateway, grant.request.ticket);
    giveBack(grant);
}

auto PlaceGrants::giveBack(const PlaceGrant &grant) -> void
{
    const auto end = proto::PickEnd { grant.request.ticket };
    balancer_.onEnd(grant.gateway, end);
    ledger_.onEnd(grant.gateway, end);
}

auto PlaceGrants::report(const PlaceNotice &notice) -> void
{
    metrics_.onPlaceNotice(notice);
    auto event = LogEvent { LogLevel::Info, placeEventName(notice.event) };
    if (!notice.gateway.empty())
        event.with("gateway", notice.gateway).with("ticket", notice.ticket);
    if (notice.cause != PlaceCause::None)
        event.with("cause", placeCauseName(notice.cause));
    switch (notice.event) {
    case PlaceEvent::Queued:
        event.with("predicted_ms", wholeMillis(notice.predicted));
        break;
    case PlaceEvent::Granted:
    case PlaceEvent::Shed:
        event.with("waited_ms", wholeMillis(notice.waited))
                .with("predicted_ms", wholeMillis(notice.predicted));
        break;
    default:
        break;
    }
    if (notice.comeBackMs > 0)
        event.with("come_back_ms", std::uint64_t { notice.comeBackMs });
    event.with("rank", std::uint64_t { notice.rank }).with("work", notice.work);
}

} // namespace figrack::fleet
