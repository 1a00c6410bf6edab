// Estimates the load of one replica from delayed reports and the router's own streams.
//
//   estimate.onReport(running + waiting, takenAt);
//   estimate.onDispatch(now); ... estimate.onEnd(now);
//   estimate.corrected();                 // the report plus own dispatches and ends since
//   estimate.expected(others, now);       // also allows for what other routers did since
//
// The router knows its own streams exactly. It knows the streams of other routers only as of
// the last report: the reported count less the own streams included in it. As those streams
// end and other routers send more, their count drifts to the mean over the model's replicas,
// at the rate at which streams end; expected() models this drift. Without it, all routers that
// hold one old report of an empty replica would send to that replica.
//
// Memory is bounded: past maxChanges the oldest changes are merged into the report.

#ifndef FIGRACK_POLICY_LOADESTIMATE_H
#define FIGRACK_POLICY_LOADESTIMATE_H

#include <cstdint>
#include <deque>

#include "policy/tables.h"

namespace figrack::policy {

/// Mean load of other routers on a model's replicas, and how fast it turns over.
struct OthersLoad
{
    double mean = 0;           ///< Streams per replica.
    double serviceTime = 1000; ///< Usual time of a stream, ms.
};

class LoadEstimate
{
public:
    /// @param count streams running and waiting, of all routers
    /// @param takenAt on the router's clock; a report older than the last one is ignored
    auto onReport(std::uint32_t count, Millis takenAt) -> void;
    auto onDispatch(Millis now) -> void;
    auto onEnd(Millis now) -> void;
    /// @return streams on the replica: the report plus own dispatches and ends since, at least
    ///         the number of own streams there
    auto corrected() const -> std::uint32_t;
    /// @return streams expected on the replica now
    auto expected(const OthersLoad &others, Millis now) const -> double;
    /// @return streams that other routers are likely to have sent since the report
    auto unseen(const OthersLoad &others, Millis now) const -> double;
    /// @return streams of other routers included in the last report
    auto othersReported() const -> std::int64_t;
    /// @return this router's own streams on the replica
    auto inFlight() const -> std::uint32_t { return inFlight_; }
    auto hasReport() const -> bool { return hasReport_; }

private:
    struct Change
    {
        Millis at = 0;
        std::int8_t by = 0;
    };

    auto add(Millis at, std::int8_t by) -> void;

    std::int64_t reported_ = 0;
    std::int64_t since_ = 0; ///< Sum of changes_.
    Millis takenAt_ = 0;
    std::uint32_t inFlight_ = 0;
    bool hasReport_ = false;
    std::deque<Change> changes_; ///< After takenAt_, ordered by time.
};

} // namespace figrack::policy

#endif // FIGRACK_POLICY_LOADESTIMATE_H
