// What a gateway knows of the endpoints, and what it has running there itself.
//
//   auto view = FleetView { clock };
//   if (view.apply(update)) wakeWaitingRequests();
//   for (auto *entry : view.of(service)) ...
//
// Updates come from several controls, late and in any order. A row replaces
// another of the same endpoint only when it is newer by sequence, then by order
// version; an endpoint that is gone stays gone. Of an endpoint that starts again
// under its name the newest incarnation is in use, and the others are gone. Not thread-safe.

#ifndef FIGRACK_GATEWAY_FLEETVIEW_H
#define FIGRACK_GATEWAY_FLEETVIEW_H

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "catalogue/endpointnotice.h"
#include "catalogue/endpointrow.h"
#include "core/clock.h"
#include "proto/servingmessages.h"

namespace figrack::gateway {

/// What an endpoint said last of the rate that it takes.
struct NamedRate
{
    std::optional<double> perSecond; ///< Over all gateways; absent: it takes any rate again.
    Instant heardAt {};
};

struct EndpointEntry
{
    catalogue::EndpointRow row;
    Instant heardAt {};              ///< When news of its latest announcement came.
    std::uint32_t running = 0;       ///< This gateway's requests there, weighed.
    std::uint32_t told = 0;          ///< Of those, as this gateway reported last.
    std::uint32_t othersRunning = 0; ///< Requests of the others, as the leader told last.
    /// @return requests in progress there, as far as known
    auto load() const -> std::uint32_t { return running + othersRunning; }
    std::uint32_t failures = 0; ///< In a row; each doubles the pause.
    Instant avoidUntil {};      ///< Not chosen before, unless nothing else is left.
    bool isUnreached = false;   ///< The latest connection could not be made, and no news since.
    /// Another endpoint has its address now. News of it clears this.
    bool isReplaced = false;
    /// What it said it does not hold, against its row, and until when that is believed.
    std::map<std::pair<ModelId, std::string>, Instant> missingUntil;
    std::optional<NamedRate> rate; ///< Absent: it never named one.
    Instant backoffUntil {};       ///< It asked this gateway for no requests before.
    /// It said in an answer that it will end. Lasts while it lives, whatever it announces: an
    /// announcement may have left before.
    bool isDraining = false;
    /// @return true when it takes no new requests any more, by its announcement or an answer
    auto leaves() const -> bool
    {
        return isDraining || row.state != catalogue::EndpointState::Ready;
    }
    /// @return true while it takes a limited rate of requests
    auto isRateLimited() const -> bool { return rate && rate->perSecond; }
};

struct FleetViewOptions
{
    /// Without an announcement for so long an endpoint is chosen last: three times the interval
    /// at which endpoints announce themselves, and some delay.
    Duration staleAfter = std::chrono::milliseconds { 4500 };
    Duration forgetGoneAfter
            = std::chrono::seconds { 60 }; ///< Late news of it may come until then.
    Duration firstPause = std::chrono::milliseconds { 300 }; ///< After a failed connection.
    Duration longestPause = std::chrono::seconds { 4 };
    Duration rejectedPause = std::chrono::milliseconds { 100 };
    /// News of what an endpoint holds takes less: an announcement or the end of an order.
    Duration missingFor = std::chrono::milliseconds { 1500 };
};

class FleetView
{
public:
    FleetView(FleetViewOptions options, const Clock &clock);
    /// @return true when a choice may come out differently now
    auto apply(const proto::ServingUpdate &update) -> bool;
    /// @return the endpoints of a service that take work; none that is draining or gone
    auto of(const ServiceId &service) -> std::vector<EndpointEntry *>;
    /// @return true when the endpoint is known and takes work
    auto takesWork(const EndpointId &id) const -> bool;
    /// @return true when a request may be sent there now: it takes work and asked for no
    /// backoff that lasts
    auto maySend(const EndpointId &id) const -> bool;
    /// @return the endpoint, or nullptr
    auto find(const EndpointId &id) -> EndpointEntry *;
    /// @return true when it neither failed nor fell silent of late
    auto isHealthy(const EndpointEntry &entry) const -> bool;
    auto onSuccess(const EndpointId &id) -> void;
    /// A connection that failed or broke: the endpoint is chosen last for a pause.
    /// @param reached whether the connection had been made
    auto onFailure(const EndpointId &id, bool reached) -> void;
    /// It did not run a request just now.
    auto onRejected(const EndpointId &id) -> void;
    /// Another endpoint answered at its address.
    auto onReplaced(const EndpointId &id) -> void;
    /// It said that it does not hold the model or adapter.
    auto onMissing(const EndpointId &id, const ModelId &model, const std::string &adapter) -> void;
    /// Takes over what an endpoint says of itself in the head of an answer. A rate that it does not
    /// name is over, unless it rejected the request, or the request had left before the rate was
    /// last named: answers overtake one another. A backoff is never shortened.
    /// @param sentAt when the request of that answer left
    auto onNotice(const EndpointId &id, const catalogue::EndpointNotice &notice, Instant sentAt)
            -> void;
    /// @return true while a backoff lasts that the endpoint asked of this gateway
    auto isBackedOff(const EndpointEntry &entry) const -> bool;
    /// @return endpoints whose backoff lasts
    auto backedOff() const -> std::size_t;
    /// @return endpoints that take a limited rate of requests
    auto rateLimited() const -> std::size_t;
    /// @return what this gateway has in progress, for its report
    auto takeLoads() -> std::vector<proto::EndpointLoad>;
    /// @return endpoints that serve this gateway nothing: they could not be reached of late, take
    /// no work, or asked for a backoff that lasts longer than the shortest load elsewhere
    auto unreachable() const -> std::vector<EndpointId>;
    auto size() const -> std::size_t { return entries_.size(); }
    /// @param id of an incarnation that is over @param before what it had last said of itself
    using OnOver = std::function<void(const EndpointId &id, catalogue::EndpointState before)>;
    /// Called when an incarnation of an endpoint is over since a newer one was heard of: what runs
    /// there has ended with it, though its connections may not show it. Must not call the view.
    auto setOnOver(OnOver listener) -> void;

private:
    auto noteRate(EndpointEntry &entry, const catalogue::EndpointNotice &notice, Instant sentAt)
            -> void;
    auto noteBackoff(EndpointEntry &entry, Duration backoff) -> void;
    auto applyRow(const catalogue::EndpointRow &row) -> bool;
    auto isOver(const EndpointId &id) const -> bool;
    auto endOthers(const EndpointId &id) -> void;
    auto hasYoungerAt(const catalogue::EndpointRow &row) const -> bool;
    auto replaceOthersAt(const catalogue::EndpointRow &row) -> void;
    auto forgetGone() -> void;

    FleetViewOptions options_;
    const Clock &clock_;
    std::map<EndpointId, EndpointEntry> entries_;
    std::map<ServiceId, std::vector<EndpointId>> byService_;
    OnOver onOver_;
    Instant nextForget_ {};
};

} // namespace figrack::gateway

#endif // FIGRACK_GATEWAY_FLEETVIEW_H
