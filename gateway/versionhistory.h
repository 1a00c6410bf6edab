// The software versions of each service that may have begun a stream which a caller still takes up,
// and the gateways that may keep the origins of streams.
//
//   auto history = VersionHistory { options, clock };
//   history.onUpdate(control, update);      // of any control
//   history.onControlClosed(control);
//   if (history.versionsOf(service).size() == 1 && history.isComplete()) ...
//
// A version counts as long as a connected control says so, and for the resumption window after a
// row named it or the control's connection closed. While no control that is connected receives the
// decisions of its group, no version ends: its endpoints may go on serving.
// Not thread-safe.

#ifndef FIGRACK_GATEWAY_VERSIONHISTORY_H
#define FIGRACK_GATEWAY_VERSIONHISTORY_H

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "catalogue/endpointrow.h"
#include "core/clock.h"
#include "core/ids.h"
#include "core/settings.h"
#include "policy/softwareversions.h"
#include "proto/servingmessages.h"

namespace figrack::gateway {

struct VersionHistoryOptions
{
    /// How long a version counts after it was last heard of. Not shorter than callers may wait
    /// before they take a stream up again.
    Duration window = std::chrono::seconds { 60 };
    /// A gateway stays an owner for this time after no connected control lists it any more. A
    /// control that has just started lists those alone that have connected again: within a few
    /// seconds, all of them.
    Duration keepOwnersFor = std::chrono::seconds { 8 };
    /// Bounds the list of owners, which controls bound to less.
    std::size_t maxOwners = 1024;
};

class VersionHistory
{
public:
    /// @param clock must outlive this object
    VersionHistory(VersionHistoryOptions options, const Clock &clock);
    /// Handles an update, its rows included.
    auto onUpdate(const Address &control, const proto::ServingUpdate &update) -> void;
    /// Handles rows that came in another way.
    auto onRows(const std::vector<catalogue::EndpointRow> &rows) -> void;
    auto onControlClosed(const Address &control) -> void;
    /// @return the versions of the service that have served within the window, as far as is known
    auto versionsOf(const ServiceId &service) const -> std::set<std::string>;
    /// @return true if no version that has served within the window can be missing: a control that
    /// is in touch with its group says so, or this gateway has been in touch for the whole window
    auto isComplete() const -> bool;
    /// @return the gateways that may keep origins of streams, in the order of their names; kept
    /// while no control is connected
    auto owners() const -> const std::vector<proto::OriginOwner> & { return owners_; }
    /// Sets the function that is called when a service has got a second version.
    auto setOnSecondVersion(std::function<void(const ServiceId &)> listener) -> void;

private:
    /// A connected control, by its updates.
    struct Control
    {
        bool isCurrent = false;
        bool isComplete = false;
        std::map<ServiceId, std::vector<std::string>> versions;
        std::vector<proto::OriginOwner> owners;
    };
    struct KnownOwner
    {
        proto::OriginOwner owner;
        std::optional<Instant> endsAt; ///< Absent while a connected control lists it.
    };

    auto applyNews(Control &control, const proto::VersionNews &news) -> void;
    auto applyOwners(Control &control, std::vector<proto::OriginOwner> owners) -> void;
    auto noteTouch() -> void;
    /// Drops the owners whose time has ended, and sets it for those that are not listed any more.
    auto refreshOwners() -> void;
    /// Makes a change, and calls the listener if it gives the service a second version.
    auto change(const ServiceId &service, const std::function<void()> &make) -> void;
    /// @return the time at which versions are looked at; it stands still while not in touch
    auto versionTime() const -> Instant;

    VersionHistoryOptions options_;
    const Clock &clock_;
    policy::SoftwareVersions told_;
    std::map<Address, Control> controls_;
    std::optional<Instant> inTouchSince_; ///< Absent while no control is connected and current.
    Instant touchEndedAt_;
    Instant nextExpiry_ {};
    std::map<NodeId, KnownOwner> knownOwners_;
    std::vector<proto::OriginOwner> owners_; ///< The known ones.
    std::function<void(const ServiceId &)> onSecondVersion_;
};

} // namespace figrack::gateway

#endif // FIGRACK_GATEWAY_VERSIONHISTORY_H
