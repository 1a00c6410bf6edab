// The load of one replica as a router can best know it.
//
//   estimate.onReport(running + waiting, takenAt);
//   estimate.onDispatch(now); ... estimate.onEnd(now);
//   estimate.corrected();                 // the report, own dispatches and ends since added
//   estimate.expected(others, now);       // also allowing for what other routers did since
//
// The router's own streams are known exactly. What the other routers have there is known
// only as of the report: the report less the own streams that were in it. As those streams
// end, and other routers send more, it drifts to the mean over the model's replicas, at the
// rate at which streams end; expected() lets it. Without that, many routers that hold one
// old report of an empty replica all send there.
//
// Memory is bounded: past maxChanges the oldest changes are taken as part of the report.

#ifndef FIGRACK_POLICY_LOADESTIMATE_H
#define FIGRACK_POLICY_LOADESTIMATE_H

#include <cstdint>
#include <deque>

#include "policy/tables.h"

namespace figrack::policy {

/// What other routers have on a model's replicas on average, and how fast that turns over.
struct OthersLoad
{
    double mean = 0;           ///< Streams a replica.
    double serviceTime = 1000; ///< Usual time of a stream, ms.
};

class LoadEstimate
{
public:
    /// @param count streams running and waiting, all routers' together
    /// @param takenAt on the router's own scale; a report older than the last is ignored
    auto onReport(std::uint32_t count, Millis takenAt) -> void;
    auto onDispatch(Millis now) -> void;
    auto onEnd(Millis now) -> void;
    /// @return streams on the replica by the report and own dispatches and ends since, never
    ///         below the own streams there
    auto corrected() const -> std::uint32_t;
    /// @return streams expected on the replica now
    auto expected(const OthersLoad &others, Millis now) const -> double;
    /// @return streams that other routers are likely to have sent since the report
    auto unseen(const OthersLoad &others, Millis now) const -> double;
    /// @return streams of other routers that the last report held
    auto othersReported() const -> std::int64_t;
    /// @return streams that this router has there
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
    std::deque<Change> changes_; ///< After takenAt_, in order of time.
};

} // namespace figrack::policy

#endif // FIGRACK_POLICY_LOADESTIMATE_H
