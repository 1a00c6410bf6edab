// What a gateway knows of the endpoints, and what it has running there itself.
//
//   auto view = FleetView { clock };
//   if (view.apply(update)) wakeWaitingRequests();
//   for (auto *entry : view.of(service)) ...
//
// Updates come from several controls, late and in any order. A row replaces
// another of the same endpoint only when it is newer by sequence, then by order
// version; an endpoint that is gone stays gone. Not thread-safe.

#ifndef FIGRACK_GATEWAY_FLEETVIEW_H
#define FIGRACK_GATEWAY_FLEETVIEW_H

#include <cstdint>
#include <map>
#include <vector>

#include "catalogue/endpointrow.h"
#include "core/clock.h"
#include "proto/servingmessages.h"

namespace figrack::gateway {

struct EndpointEntry
{
    catalogue::EndpointRow row;
    Instant heardAt {};         ///< When news of its latest announcement came.
    std::uint32_t running = 0;  ///< Requests of this gateway there.
    std::uint64_t runningTokens = 0;
    std::uint32_t failures = 0; ///< In a row; each doubles the pause.
    Instant avoidUntil {};      ///< Not chosen before, unless nothing else is left.
};

struct FleetViewOptions
{
    /// Without an announcement for so long an endpoint is chosen last: three times the interval
    /// at which endpoints announce themselves, and some delay.
    Duration staleAfter = std::chrono::milliseconds { 4500 };
    Duration forgetGoneAfter = std::chrono::seconds { 60 }; ///< Late news of it may come until then.
    Duration firstPause = std::chrono::milliseconds { 300 }; ///< After a failed connection.
    Duration longestPause = std::chrono::seconds { 4 };
};

class FleetView
{
public:
    FleetView(FleetViewOptions options, const Clock &clock);
    /// @return true when a choice may come out differently now
    auto apply(const proto::ServingUpdate &update) -> bool;
    /// @return the endpoints of a service that take work; none that is draining or gone
    auto of(const ServiceId &service) -> std::vector<EndpointEntry *>;
    /// @return the endpoint, or nullptr
    auto find(const EndpointId &id) -> EndpointEntry *;
    /// @return true when it neither failed nor fell silent of late
    auto isHealthy(const EndpointEntry &entry) const -> bool;
    auto onSuccess(const EndpointId &id) -> void;
    /// A connection that failed or broke: the endpoint is chosen last for a pause.
    auto onFailure(const EndpointId &id) -> void;
    /// The endpoint says that it is another one, or that it holds not what it was asked for.
    auto onMisdirected(const EndpointId &id) -> void;
    auto size() const -> std::size_t { return entries_.size(); }

private:
    auto applyRow(const catalogue::EndpointRow &row) -> bool;
    auto forgetGone() -> void;

    FleetViewOptions options_;
    const Clock &clock_;
    std::map<EndpointId, EndpointEntry> entries_;
    std::map<ServiceId, std::vector<EndpointId>> byService_;
    Instant nextForget_ {};
};

} // namespace figrack::gateway

#endif // FIGRACK_GATEWAY_FLEETVIEW_H
