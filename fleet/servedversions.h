// What a control tells gateways of the software versions that have served within the resumption
// window, and whether it can vouch that none is missing.
//
//   served.recall(isFirstStart);
//   served.onRow(row);   served.onForgotten(id);          // as the registry learns of them
//   served.onHistory(control, news);   served.onHistoryLost(control);    // of the other controls
//   if (auto changes = served.tick(isInTouch)) registry.applySoftwareVersions(*changes);
//
// None is missing if the control has listened for the window, if its disk holds a history that was
// complete a short time ago, or if the fleet starts for the first time, so that none can have
// served before. Controls tell one another of their endpoints, those that are gone included, for
// longer than a short break lasts. After a longer one, in which the control was down or cut off, it
// has to take over the history of another control that is complete, or to listen for the window
// again. Not thread-safe.

#ifndef FIGRACK_FLEET_SERVEDVERSIONS_H
#define FIGRACK_FLEET_SERVEDVERSIONS_H

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "catalogue/endpointrow.h"
#include "core/clock.h"
#include "fleet/lastknown.h"
#include "policy/softwareversions.h"
#include "proto/servingmessages.h"
#include "proto/streamoriginmessages.h"

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
    /// Interval at which the history is saved though nothing has changed, so that a restart knows
    /// how long it was down. Well below harmlessBreak.
    Duration saveEvery = std::chrono::seconds { 8 };
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
    /// Handles what another control tells of software versions.
    /// @param news the services that have changed since its last message
    auto onHistory(const NodeId &control, const proto::VersionNews &news) -> void;
    /// The connection to that control has closed.
    auto onHistoryLost(const NodeId &control) -> void;
    /// Saves what has changed.
    /// @param isInTouch this control is a member of its group and receives its decisions
    /// @return the services whose versions have changed since the last call; those without versions
    /// have none any more. nullopt: nothing has changed
    auto tick(bool isInTouch) -> std::optional<proto::VersionNews>;

    /// Adds the versions of a service that have served within the window to the answer to a
    /// gateway, and whether this control can vouch at this moment that none is missing.
    /// @param isInTouch as in tick(), at this moment
    auto addTo(proto::StreamOriginReply &reply, const ServiceId &service, bool isInTouch) const
            -> void;

private:
    /// Of another control, as long as its connection is open.
    struct History
    {
        std::map<ServiceId, std::vector<std::string>> versions;
        bool isComplete = false;
    };

    auto noteTouch(bool isInTouch, Instant now) -> void;
    /// @return the time since this control was in touch and knew the saved versions; nullopt: not
    /// known
    auto ageOf(const SavedVersions &saved) const -> std::optional<Duration>;
    /// Takes over the history of a control that is complete, if this one's is not.
    auto adoptHistory(Instant now) -> void;
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
    bool isKnownFromStart_ = false;       ///< Restored, taken over, or the first start.
    std::optional<Instant> brokenSince_;  ///< Absent while in touch with the group.
    std::optional<Instant> currentSince_; ///< Absent until it is in touch for the first time.
    std::optional<Instant> lastTickAt_;
    Instant listeningSince_ {}; ///< Without a break that may hide a version.
    Instant nextExpiry_ {};
    Instant nextSave_ {};
    std::map<NodeId, History> histories_; ///< By control.
    std::optional<bool> toldComplete_;    ///< As it was told to gateways last.
    bool savedHistory_ = false;
};

} // namespace figrack::fleet

#endif // FIGRACK_FLEET_SERVEDVERSIONS_H
