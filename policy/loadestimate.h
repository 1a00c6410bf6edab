// The load of one replica as a router can best know it.
//
//   estimate.onReport(running + waiting, takenAt);
//   estimate.onDispatch(now); ... estimate.onEnd(now);
//   estimate.value();
//
// A report lags. It holds the router's own streams as they were when it was taken, so
// the estimate adds the dispatches and subtracts the ends since then, and is never
// below the streams that the router itself has there. Memory is bounded: past
// maxChanges the oldest changes are taken as part of the report.

#ifndef FIGRACK_POLICY_LOADESTIMATE_H
#define FIGRACK_POLICY_LOADESTIMATE_H

#include <cstdint>
#include <deque>

#include "policy/tables.h"

namespace figrack::policy {

class LoadEstimate
{
public:
    /// @param count streams running and waiting, all routers' together
    /// @param takenAt on the router's own scale; a report older than the last is ignored
    auto onReport(std::uint32_t count, Millis takenAt) -> void;
    auto onDispatch(Millis now) -> void;
    auto onEnd(Millis now) -> void;
    /// @return streams estimated to be on the replica now
    auto value() const -> std::uint32_t;
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
