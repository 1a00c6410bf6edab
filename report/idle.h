// Counts idle accelerator hours by model and by the reason why each replica was kept loaded.
//
//   meter.add(model, "predicted", 8, 500ms);    // 8 accelerators idle for half a second
//   auto rows = meter.rows(window);
//
// A replica is idle while it is loaded and serves no request. On each pass, the planner's
// process adds the idle time since the previous pass. The hours are not persisted: a new
// leader starts with an empty meter, and since() returns how long it has been counting.
//
// Not thread-safe. The number of rows is bounded, as it is for the request counts.

#ifndef FIGRACK_REPORT_IDLE_H
#define FIGRACK_REPORT_IDLE_H

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "core/clock.h"
#include "report/burn.h"
#include "report/pyramid.h"

namespace figrack::report {

class IdleMeter
{
public:
    explicit IdleMeter(const Clock &clock);
    /// @param reason why the replica is kept loaded: one word, chosen by the planner
    /// @param accelerators number of accelerators that the replica occupies
    /// @param idleTime how long the replica was idle since the previous call for it
    auto add(const ModelId &model, const std::string &reason, std::uint32_t accelerators,
             Duration idleTime) -> void;
    /// @return the idle hours within a window, by model and reason
    auto rows(Duration window) -> std::vector<IdleRow>;
    /// @return the time since this meter was created
    auto since() const -> Duration;

private:
    struct IdleSlot
    {
        std::map<std::pair<std::string, std::string>, double> hours; ///< By model and reason.
        auto merge(const IdleSlot &other) -> void;
        auto add(const std::string &model, const std::string &reason, double added) -> void;
    };

    auto advance() -> void;

    const Clock &clock_;
    const Instant started_;
    Pyramid<IdleSlot> slots_;
};

} // namespace figrack::report

#endif // FIGRACK_REPORT_IDLE_H
