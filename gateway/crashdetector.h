// Distinguishes the crash of an endpoint's process from a broken connection, and records the work
// that was running there.
//
//   detector.note(endpoint, suspect);                     // the dispatch of suspect broke off
//   if (co_await detector.hasCrashed(endpoint)) ...       // decided within confirmTimeout
//   detector.onSuperseded(endpoint, before);              // a newer incarnation is in use
//
// A connection also breaks when it is reset on the way, when a link fails, or when a faulty
// endpoint truncates an answer. In these cases the work sent to the endpoint is not the cause. So
// the detector connects to the endpoint's address once: a process that has ended no longer
// listens, and the connection is refused. A connection is also refused behind some partitions, so
// the endpoint counts as crashed only when another endpoint of its failure domain accepts a
// connection meanwhile (gateway/endpointpaths.h). An endpoint that cannot be reached, or that was
// replaced immediately by another process, counts as crashed if a newer incarnation is announced
// within incarnationNewsTimeout. If an endpoint had announced that it is leaving, its end is
// planned and says nothing about its work.
//
// When an endpoint has crashed, all work that broke off there is recorded in the quarantine table,
// and the listener is notified. Not thread-safe.

#ifndef FIGRACK_GATEWAY_CRASHDETECTOR_H
#define FIGRACK_GATEWAY_CRASHDETECTOR_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "catalogue/suspect.h"
#include "core/clock.h"
#include "gateway/endpointpaths.h"
#include "gateway/fleetview.h"
#include "gateway/metrics.h"
#include "policy/quarantine.h"

namespace figrack::gateway {

struct CrashDetectorOptions
{
    /// Timeout of the test connection. A refusal takes one round trip, which is a few milliseconds
    /// between regions.
    Duration dialTimeout = std::chrono::milliseconds { 300 };
    /// How long a request that may be retried waits to learn whether its endpoint has crashed. This
    /// is a fifth of the shortest pause that callers of a stream notice.
    Duration confirmTimeout = std::chrono::milliseconds { 100 };
    /// A newer incarnation that is announced later than this is not attributed to the failure that
    /// was observed. An endpoint takes a few seconds to start, and announces itself immediately.
    Duration incarnationNewsTimeout = std::chrono::seconds { 10 };
    /// Maximum number of dispatches that are kept per crash. No endpoint runs more than this at
    /// once.
    std::size_t maxSuspects = 512;
};

/// Work in progress at an endpoint.
struct SuspectWork
{
    catalogue::WorkIds works;
    std::uint64_t account = 0; ///< Hash of the caller's account.
    RequestId request;         ///< ID of this attempt, for the log.
    bool hasBegun = false;     ///< Part of its answer had been received.
    ServiceId service = {};
    /// Parts of its prompt that other requests may share. Empty if its answer went on, so that none
    /// of them is suspected.
    std::vector<catalogue::WorkId> parts = {};
};

/// Dependencies of the CrashDetector. All of them must outlive it.
struct CrashDetectorParts
{
    boost::asio::io_context &context;
    const Clock &clock;
    FleetView &view;
    policy::Quarantine &quarantine;
    Metrics &metrics;
    EndpointPaths &paths;
};

class CrashDetector
{
public:
    /// @param onSuspects called when the quarantine table has changed
    CrashDetector(CrashDetectorOptions options, CrashDetectorParts parts,
                  std::function<void()> onSuspects);
    ~CrashDetector();
    CrashDetector(const CrashDetector &) = delete;
    auto operator=(const CrashDetector &) -> CrashDetector & = delete;
    /// Records a dispatch that broke off for a reason other than its caller or a timeout.
    auto note(const EndpointId &endpoint, SuspectWork suspect) -> void;
    /// Waits until it is known whether an endpoint has crashed whose dispatch was recorded by
    /// note().
    /// @return true if it has crashed; false if it has not, or if that is not known in time
    auto hasCrashed(const EndpointId &endpoint) -> boost::asio::awaitable<bool>;
    /// Called when a newer incarnation of the endpoint is in use.
    /// @param before the last state that the old incarnation announced
    auto onSuperseded(const EndpointId &endpoint, catalogue::EndpointState before) -> void;
    /// Called when the state of the path to a group of endpoints has changed.
    auto onPathChanged() -> void;
    /// Called when a run of suspected work has completed or gone on, and the quarantine table has
    /// recorded that.
    auto onCleared(const catalogue::WorkIds &works) -> void;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace figrack::gateway

#endif // FIGRACK_GATEWAY_CRASHDETECTOR_H
