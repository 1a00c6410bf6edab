// The state of all endpoints as known to this gateway, and the requests it has running there.
//
//   auto view = FleetView { options, clock };
//   if (view.apply(update)) wakeWaitingRequests();
//   for (auto *entry : view.of(service)) ...
//
// Updates arrive from several controls, with delay and in any order. A row replaces an older row of
// the same endpoint only if its sequence number, or else its order version, is higher. An endpoint
// that is gone stays gone. If an endpoint restarts under the same name, its newest incarnation is
// in use and the older ones count as gone.
//
// takesWork() is the only place that decides whether an endpoint gets anything new. It covers
// endpoints that leave, are replaced or withdrawn, or are in an evacuated failure domain; the
// chooser, the balancer's candidates, retries and fetches of cached prompts all depend on it. Not
// thread-safe.

#ifndef FIGRACK_GATEWAY_FLEETVIEW_H
#define FIGRACK_GATEWAY_FLEETVIEW_H

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "catalogue/endpointnotice.h"
#include "catalogue/endpointrow.h"
#include "core/clock.h"
#include "gateway/serviceindex.h"
#include "proto/servingmessages.h"

namespace figrack::gateway {

/// The rate that an endpoint last announced.
struct NamedRate
{
    /// From all gateways together; absent if it accepts any rate again.
    std::optional<double> perSecond;
    Instant heardAt {};
};

/// One endpoint as known to this gateway.
struct EndpointEntry
{
    catalogue::EndpointRow row;
    Instant heardAt {};                ///< When its latest announcement was received.
    std::uint32_t running = 0;         ///< This gateway's requests there, weighted.
    std::uint32_t reportedRunning = 0; ///< Value of running in the last report.
    /// Requests of other gateways, as last reported by the leader.
    std::uint32_t othersRunning = 0;
    /// @return number of requests known to be in progress there
    auto load() const -> std::uint32_t { return running + othersRunning; }
    std::uint32_t failures = 0; ///< Consecutive failures; each doubles the pause.
    Instant avoidUntil {};      ///< Not chosen before this time, unless no other endpoint is left.
    bool isUnreached = false;   ///< The latest connection attempt failed, and no announcement has
                                ///< arrived since.
    /// Another endpoint uses its address now. A new announcement of this endpoint clears the flag.
    bool isReplaced = false;
    /// Models and adapters that the endpoint said it does not hold although its row lists them, and
    /// the time until which this takes precedence over the row.
    std::map<std::pair<ModelId, std::string>, Instant> missingUntil;
    std::optional<NamedRate> rate; ///< Absent if it has never named a rate.
    Instant backoffUntil {};       ///< End of the backoff that it asked of this gateway.
    Instant coldSince {};          ///< When its latest cold time began to be known here.
    Instant coldUntil {};          ///< End of its latest cold time; zero if it has had none.
    /// The endpoint stated in an answer that it is shutting down. The flag is never cleared,
    /// because an announcement that says otherwise may have been sent earlier.
    bool isDraining = false;
    /// No control keeps the row up to date any more, so that the endpoint may have left unnoticed.
    bool isWithdrawn = false;
    Instant withdrawnAt {};
    /// @return true if the endpoint accepts no new requests any more, according to its announcement
    /// or an answer
    auto isLeaving() const -> bool
    {
        return isDraining || row.state != catalogue::EndpointState::Ready;
    }
    /// @return true while the endpoint accepts only the limited rate that it named
    auto isRateLimited() const -> bool { return rate && rate->perSecond; }
    /// @param coldPerSecond rate that a cold endpoint of its service accepts; 0: any
    /// @return the lower one of the rate that it named and that of a cold endpoint, and since when
    /// it applies; absent if there has never been either
    auto rateAt(Instant now, double coldPerSecond) const -> std::optional<NamedRate>;
};

struct FleetViewOptions
{
    /// An endpoint without an announcement for this time is chosen last. The value is three
    /// announcement intervals plus some delay.
    Duration staleAfter = std::chrono::milliseconds { 4500 };
    /// Endpoints without news for this time are removed. Delayed updates about an endpoint may
    /// arrive until then.
    Duration forgetGoneAfter = std::chrono::seconds { 60 };
    /// Withdrawn endpoints are removed after this time, when no request runs there any more.
    Duration forgetWithdrawnAfter = std::chrono::seconds { 10 };
    Duration firstPause = std::chrono::milliseconds { 300 }; ///< Pause after the first failure.
    Duration longestPause = std::chrono::seconds { 4 };
    Duration rejectedPause = std::chrono::milliseconds { 100 };
    /// How long an endpoint's statement that it lacks a model takes precedence over its row. An
    /// announcement or the end of an order updates the row within less time.
    Duration missingFor = std::chrono::milliseconds { 1500 };
};

class FleetView
{
public:
    FleetView(FleetViewOptions options, const Clock &clock);
    /// @return true if the choice of an endpoint may have changed
    auto apply(const proto::ServingUpdate &update) -> bool;
    /// Applies the rows of a control at which the gateway watches endpoints.
    /// @param isReset the gateway gets no news of other endpoints any more: they are withdrawn
    /// @return true if the choice of an endpoint may have changed
    auto applyWatched(const std::vector<catalogue::EndpointRow> &rows, bool isReset) -> bool;
    /// Withdraws all endpoints.
    auto withdrawAll() -> void;
    /// Notes that the control at which the gateway watches endpoints still follows them. It would
    /// have withdrawn those that are silent.
    auto onSourceHeard() -> void { sourceHeardAt_ = clock_.now(); }
    /// @return the endpoints of a service that accept new requests, without those that are draining
    /// or gone
    auto of(const ServiceId &service) -> std::vector<EndpointEntry *>;
    /// @return true if the endpoint is known, accepts new requests, and its failure domain is not
    /// evacuated
    auto takesWork(const EndpointId &id) const -> bool;
    /// @return true if a request may be sent there now: it accepts new requests and is not in
    /// backoff
    auto maySend(const EndpointId &id) const -> bool;
    /// @return the endpoint, or nullptr
    auto find(const EndpointId &id) -> EndpointEntry *;
    /// @return the newest evacuations that a control has announced
    auto evacuations() const -> const catalogue::Evacuations & { return evacuations_; }
    /// @return true if the endpoint has neither failed nor stopped announcing itself recently
    auto isHealthy(const EndpointEntry &entry) const -> bool;
    auto onSuccess(const EndpointId &id) -> void;
    /// Called when a connection could not be made or broke. The endpoint is chosen last for a
    /// pause.
    /// @param reached whether the connection had been made
    auto onFailure(const EndpointId &id, bool reached) -> void;
    /// Called when the endpoint rejected a request without running it.
    auto onRejected(const EndpointId &id) -> void;
    /// Called when another endpoint answered at its address.
    auto onReplaced(const EndpointId &id) -> void;
    /// Called when the endpoint said that it does not hold the model or adapter.
    auto onMissing(const EndpointId &id, const ModelId &model, const std::string &adapter) -> void;
    /// Applies what an endpoint states about itself in the head of an answer. An answer without a
    /// rate cancels the endpoint's rate, unless it rejects the request, or the request was sent
    /// before the rate was last named, since answers can arrive out of order. A backoff is never
    /// shortened.
    /// @param sentAt when the request for that answer was sent
    auto onNotice(const EndpointId &id, const catalogue::EndpointNotice &notice, Instant sentAt)
            -> void;
    /// @return true while the endpoint is in a backoff that it asked of this gateway
    auto isBackedOff(const EndpointEntry &entry) const -> bool;
    /// @return number of endpoints that are in backoff
    auto backedOff() const -> std::size_t;
    /// @return number of endpoints that accept only a limited rate of requests
    auto rateLimited() const -> std::size_t;
    /// @return the requests that this gateway has in progress, by endpoint, for its report
    auto takeLoads() -> std::vector<proto::EndpointLoad>;
    /// @return endpoints that this gateway cannot use: the latest connection attempt failed, they
    /// accept no new requests, or their backoff lasts longer than the shortest load of a model
    /// elsewhere
    auto unreachable() const -> std::vector<EndpointId>;
    /// @return those of unreachable() for which a failed connection attempt is the only reason
    auto unreached() const -> std::vector<EndpointId>;
    /// @return true if the endpoint has announced itself lately
    auto isAnnounced(const EndpointEntry &entry) const -> bool;
    /// @return the endpoints of a group that should accept connections
    auto listening(const catalogue::EndpointGroup &group) const
            -> std::vector<const EndpointEntry *>;
    /// @return the groups that have such endpoints
    auto groups() const -> std::set<catalogue::EndpointGroup>;
    /// Forgets the failures of a group's endpoints, since the path to them was the cause.
    auto forgiveFailures(const catalogue::EndpointGroup &group) -> void;
    auto size() const -> std::size_t { return entries_.size(); }
    /// @param id ID of the incarnation that was superseded
    /// @param before the last state that it announced
    using OnSuperseded = std::function<void(const EndpointId &id, catalogue::EndpointState before)>;
    /// Sets the listener that is called when an incarnation of an endpoint is superseded by a newer
    /// one. The requests running there have ended with it, even if their connections are still
    /// open. The listener must not call the view.
    auto setOnSuperseded(OnSuperseded listener) -> void;

private:
    /// @return true if the endpoint takes no requests, whichever gateway sends them
    auto isUnavailable(const EndpointEntry &entry) const -> bool;
    static auto isListening(const EndpointEntry &entry) -> bool;
    auto noteRate(EndpointEntry &entry, const catalogue::EndpointNotice &notice, Instant sentAt)
            -> void;
    auto noteBackoff(EndpointEntry &entry, Duration backoff) -> void;
    auto applyRow(const catalogue::EndpointRow &row) -> bool;
    auto noteCold(EndpointEntry &entry) const -> void;
    auto applyEvacuations(const catalogue::Evacuations &evacuations) -> bool;
    auto isSuperseded(const EndpointId &id) const -> bool;
    auto supersedeOthers(const EndpointId &id) -> void;
    auto hasYoungerAt(const catalogue::EndpointRow &row) const -> bool;
    auto replaceOthersAt(const catalogue::EndpointRow &row) -> void;
    auto forgetGone() -> void;
    auto forgetGoneIfDue() -> void;

    FleetViewOptions options_;
    const Clock &clock_;
    std::map<EndpointId, EndpointEntry> entries_;
    ServiceIndex byService_; ///< Of all entries.
    catalogue::Evacuations evacuations_;
    OnSuperseded onSuperseded_;
    Instant nextForget_ {};
    Instant sourceHeardAt_ {};
};

} // namespace figrack::gateway

#endif // FIGRACK_GATEWAY_FLEETVIEW_H
