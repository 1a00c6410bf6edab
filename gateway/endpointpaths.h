// Which endpoints this gateway can reach over the network.
//
//   paths.onSent(group); ...                 // what dispatches observe
//   for (const auto &group : paths.takeDue())
//       ... connect to some of its endpoints, then paths.onProbed(group, begun, results)
//   if (paths.state(group) == PathState::Lost) ...
//
// One endpoint that does not answer may be slow, stopped or dead, and says nothing about the path
// to it. A group of endpoints is suspected when none of them sends anything while dispatches are in
// progress there, or when connections fail. New connections to some of them then decide:
//
//   one of them is made           the path is open, and the endpoint in question is at fault
//   all of them fail at once      new connections are refused; kept ones are used as long as they
//                                 answer
//   all of them hang              the path is lost
//
// A path that was lost is probed until it is open again. Bytes from any endpoint of the group prove
// that kept connections work. Where the path is open, the endpoints that could not be connected to
// are remembered until a probe reaches them.
//
// State is bounded by the number of groups and of their endpoints. Not thread-safe.

#ifndef FIGRACK_GATEWAY_ENDPOINTPATHS_H
#define FIGRACK_GATEWAY_ENDPOINTPATHS_H

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

#include "catalogue/endpointgroup.h"
#include "core/clock.h"
#include "core/ids.h"

namespace figrack::gateway {

using catalogue::EndpointGroup;

/// What is known of the path to a group of endpoints.
enum class PathState : std::uint8_t {
    Open,
    Suspected, ///< Probes are on their way.
    KeptOnly,  ///< No new connection can be made, but kept ones may work.
    Lost,
};

/// @return "open", "suspected", "kept_only" or "lost"
auto pathStateName(PathState state) -> std::string_view;

/// Outcome of an attempt to connect to an endpoint.
enum class DialOutcome : std::uint8_t { Connected, Refused, TimedOut };

struct DialResult
{
    EndpointId endpoint;
    DialOutcome outcome = DialOutcome::TimedOut;
};

struct EndpointPathsOptions
{
    /// A group is suspected if none of its endpoints sends anything for this time. Streams send an
    /// event every few tens of milliseconds, and plain answers take about as long.
    Duration silenceLimit = std::chrono::milliseconds { 400 };
    /// A connection that failed is not a sign of its own if other endpoints of the group are heard
    /// within this time.
    Duration settleTime = std::chrono::milliseconds { 50 };
    /// Interval between probes of a path that is not open.
    Duration probeInterval = std::chrono::milliseconds { 500 };
    /// Minimum time after a probe that found a path open until the next one there: the only
    /// endpoint in use may be slow for long.
    Duration pauseWhenOpen = std::chrono::seconds { 1 };
    /// A path counts as open again after this number of consecutive successful probes, so that a
    /// link that loses packets does not change the state all the time.
    std::uint32_t probesToReopen = 2;
    Duration reopenInterval = std::chrono::milliseconds { 200 };
};

class EndpointPaths
{
public:
    using OnChanged = std::function<void(const EndpointGroup &, PathState before, PathState now)>;

    /// @param clock must outlive this object
    explicit EndpointPaths(const Clock &clock, EndpointPathsOptions options);
    /// Sets the listener for changes of state.
    auto setOnChanged(OnChanged listener) -> void { onChanged_ = std::move(listener); }
    /// Sets the listener that is called when nextDueAt() may have become earlier.
    auto setOnDueSooner(std::function<void()> listener) -> void
    {
        onDueSooner_ = std::move(listener);
    }

    // ---- what dispatches observe

    auto onSent(const EndpointGroup &group) -> void;
    auto onHeard(const EndpointGroup &group) -> void;
    auto onEnded(const EndpointGroup &group) -> void;
    /// @param at when the connection was begun
    auto onConnected(const EndpointGroup &group, const EndpointId &endpoint, Instant at) -> void;
    /// @param outcome Refused or TimedOut
    auto onConnectFailed(const EndpointGroup &group, const EndpointId &endpoint,
                         DialOutcome outcome) -> void;
    /// A connection broke before the end of an answer.
    auto onBroken(const EndpointGroup &group) -> void;
    /// Asks for a probe by way of other endpoints than this one, for instance to learn whether a
    /// failure is its own doing.
    auto suspect(const EndpointGroup &group, const EndpointId &endpoint) -> void;
    /// Asks for a probe unless the group has been heard within silenceLimit.
    auto suspectIfUnheard(const EndpointGroup &group) -> void;
    /// Called when this process did not run for a while. Silence until now has no meaning.
    auto onResumed() -> void;

    // ---- probes

    /// @return the groups to probe now; onProbed() or onProbeVoid() must follow for each
    auto takeDue() -> std::vector<EndpointGroup>;
    /// @return when takeDue() should be called next; nullopt: after the next observation
    auto nextDueAt() const -> std::optional<Instant>;
    /// @param begun when the first of the connections was begun
    /// @param results empty if no endpoint of the group is known
    auto onProbed(const EndpointGroup &group, Instant begun, const std::vector<DialResult> &results)
            -> void;
    /// The probe showed nothing, because this process did not run for a while.
    auto onProbeVoid(const EndpointGroup &group) -> void;
    /// Forgets the failures of all other endpoints. @param known those of the group
    auto retainFailures(const EndpointGroup &group, const std::set<EndpointId> &known) -> void;

    // ---- what is known

    auto state(const EndpointGroup &group) const -> PathState;
    auto isOpen(const EndpointGroup &group) const -> bool
    {
        return state(group) == PathState::Open;
    }
    /// @return how the latest attempt to connect to the endpoint failed; nullopt if it succeeded
    auto failureOf(const EndpointGroup &group, const EndpointId &endpoint) const
            -> std::optional<DialOutcome>;
    /// @return the groups to which no new connection can be made
    auto unreached() const -> std::vector<EndpointGroup>;
    /// @return true if a connection to an endpoint of the group was begun since then and made
    auto hasConnectedSince(const EndpointGroup &group, Instant since) const -> bool;
    /// @return for how long dispatches to the group have been in progress without a byte from any
    /// of its endpoints; zero if none is in progress
    auto silentFor(const EndpointGroup &group) const -> Duration;
    /// @return the shortest such time over all groups with dispatches in progress
    auto allSilentFor() const -> Duration;

private:
    struct Path
    {
        PathState state = PathState::Open;
        Instant since {}; ///< Start of the state.
        std::uint32_t inProgress = 0;
        /// Time of the last byte, or of the first dispatch after it; absent if none is in progress.
        std::optional<Instant> silentSince;
        Instant heardAt {};
        Instant connectedAt {}; ///< When the latest connection that was made was begun.
        /// Endpoints to which the latest attempt to connect failed.
        std::map<EndpointId, DialOutcome> failed;
        /// The first failure of a connection since a byte was received.
        std::optional<Instant> failedAt;
        bool isProbing = false;
        bool isAsked = false;        ///< A probe was asked for.
        Instant probeFrom {};        ///< Not probed before this time.
        Instant recheckAt {};        ///< When those that failed are connected to again.
        std::uint32_t successes = 0; ///< Consecutive successful probes while it was not open.
    };
    static auto isReached(PathState state) -> bool;
    auto silentFor(const Path &path) const -> Duration;
    /// @return when the path is to be probed; nullopt: there is no sign
    auto dueAt(const Path &path) const -> std::optional<Instant>;
    auto change(const EndpointGroup &group, Path &path, PathState state) -> void;
    auto noteConnected(const EndpointGroup &group, Path &path, Instant at) -> void;
    auto noteUnconnected(const EndpointGroup &group, Path &path, bool isHeard, bool hasTimedOut)
            -> void;
    auto askForProbe(const EndpointGroup &group, Path &path) -> void;
    auto wantProbe() -> void;

    const Clock &clock_;
    EndpointPathsOptions options_;
    std::map<EndpointGroup, Path> paths_;
    OnChanged onChanged_;
    std::function<void()> onDueSooner_;
};

} // namespace figrack::gateway

#endif // FIGRACK_GATEWAY_ENDPOINTPATHS_H
