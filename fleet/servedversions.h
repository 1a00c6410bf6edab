// What a control tells gateways of the software versions that have served within the resumption
// window, and whether it can vouch that none is missing.
//
//   served.recall(isFirstStart);
//   served.onRow(row);   served.onForgotten(id);          // as the registry learns of them
//   if (auto changes = served.tick(isCurrent)) registry.applySoftwareVersions(*changes);
//
// None is missing if the control has listened for the window, if it keeps a history on its disk
// that was complete, or if the fleet starts for the first time, so that none can have served
// before. Controls tell one another of their endpoints, those that are gone included, for longer
// than a short break lasts; a control that was cut off for longer has to listen for the window
// again. Not thread-safe.

#ifndef FIGRACK_FLEET_SERVEDVERSIONS_H
#define FIGRACK_FLEET_SERVEDVERSIONS_H

#include <optional>

#include "catalogue/endpointrow.h"
#include "core/clock.h"
#include "fleet/lastknown.h"
#include "policy/softwareversions.h"
#include "proto/servingmessages.h"

namespace figrack::fleet {

struct ServedVersionsOptions
{
    policy::SoftwareVersionsOptions versions;
    /// Time in which a control that is in touch again gets the rows of the others.
    Duration settleAfterBreak = std::chrono::milliseconds { 1500 };
    /// A break shorter than this hides no version: the other controls still know an endpoint that
    /// began and ended within it. At most EndpointTableOptions::forgetSilentAfter.
    Duration harmlessBreak = std::chrono::seconds { 30 };
    Duration expireEvery = std::chrono::seconds { 1 };
};

class ServedVersions
{
public:
    /// All references must outlive this object.
    ServedVersions(ServedVersionsOptions options, LastKnownStore &store, const Clock &clock);
    /// Restores what was known before a restart; those versions count as seen now.
    /// @param isFirstStart the fleet has never served before
    auto recall(bool isFirstStart) -> void;
    auto onRow(const catalogue::EndpointRow &row) -> void;
    auto onForgotten(const EndpointId &id) -> void;
    /// Saves what has changed.
    /// @param isCurrent this control is a member of its group and receives its decisions
    /// @return the services whose versions have changed since the last call; those without versions
    /// have none any more. nullopt: nothing has changed
    auto tick(bool isCurrent) -> std::optional<proto::VersionNews>;

private:
    auto noteCurrent(bool isCurrent, Instant now) -> void;
    /// @return true if no version is missing, but for what a break may hide
    auto hasHistory(Instant now) const -> bool;
    auto isComplete(Instant now) const -> bool;
    auto save(Instant now) -> void;
    auto rowOf(const ServiceId &service, Instant now) const -> proto::ServiceVersions;

    ServedVersionsOptions options_;
    LastKnownStore &store_;
    const Clock &clock_;
    policy::SoftwareVersions versions_;
    bool isFirstStart_ = false;
    bool isKnownFromStart_ = false;       ///< Restored, or the first start.
    std::optional<Instant> brokenSince_;  ///< Absent while in touch with the group.
    std::optional<Instant> currentSince_; ///< Absent until it is in touch for the first time.
    Instant listeningSince_ {};           ///< Without a break that may hide a version.
    Instant nextExpiry_ {};
    std::optional<bool> toldComplete_; ///< As it was told to gateways last.
    bool savedHistory_ = false;
};

} // namespace figrack::fleet

#endif // FIGRACK_FLEET_SERVEDVERSIONS_H
