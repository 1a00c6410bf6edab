// Metrics of a control, as a page in the Prometheus text format.
//
// Guarantee: the number of label values is bounded.

#ifndef FIGRACK_FLEET_METRICS_H
#define FIGRACK_FLEET_METRICS_H

#include <cstddef>
#include <memory>
#include <string>

#include "core/clock.h"
#include "fleet/balancer.h"
#include "fleet/placequeue.h"
#include "proto/servingmessages.h"

namespace figrack::fleet {

/// This control's part in its group.
struct GroupPart
{
    bool isInTouch = false; ///< See GroupContact.
    bool isVoter = false;
    std::size_t voters = 0; ///< Of the group, as far as this control knows.
};

class Metrics
{
public:
    Metrics();
    ~Metrics();
    /// Call when a message about an endpoint could not be used.
    auto onAnnouncementRefused() -> void;
    /// Call when an announcement was used but not acknowledged, for want of contact with the group.
    auto onAnnouncementNotAcknowledged() -> void;
    /// Call when a change was acknowledged. @param waited time since its commit
    /// @param gatewaysBehind number of gateways that had not applied it by then
    auto onAcknowledged(Duration waited, std::size_t gatewaysBehind) -> void;
    /// Sets what the page tells about the group.
    auto setGroup(const GroupPart &part) -> void;
    /// Sets what the page tells about picks.
    auto setPicks(const BalancerStatus &status) -> void;
    /// Call for each decision about requests that need a slot.
    auto onPlaceNotice(const PlaceNotice &notice) -> void;
    auto onPlacesWaiting(std::size_t waiting) -> void;
    /// Call when a model that requests waited for is held. @param error how much later than was
    /// promised to gateways; negative: earlier
    auto onLoadHeld(Duration error) -> void;
    /// Call when a load is put off because its requests can wait.
    auto onLoadPutOff() -> void;
    /// Call when a load schedule is sent.
    auto onLoadSchedule(const proto::LoadSchedule &schedule) -> void;
    /// Call when gateways have told the origins of streams. @param dropped for want of room
    auto onOriginsTold(std::size_t kept, std::size_t dropped) -> void;
    /// Call when a gateway asks for the origin of a stream.
    auto onOriginAsked(bool isKnown) -> void;
    /// @return the page
    auto text() -> std::string;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace figrack::fleet

#endif // FIGRACK_FLEET_METRICS_H
