// Idle accelerator hours by model and why each replica was kept.
//
//   meter.add(model, "predicted", 8, 500ms);    // 8 accelerators idle for half a second
//   auto rows = meter.rows(window);
//
// The planner's process adds what stood idle since its last pass; a replica is idle while
// it is loaded and runs nothing. Soft state: a new leader starts from nothing, and its
// report says since when it has counted (since()). Not thread-safe; bounded like the
// counts of requests.

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
    /// @param reason why it is kept: one word of the planner's
    /// @param accelerators that the replica holds
    /// @param lasted how long it was idle since the last call for it
    auto add(const ModelId &model, const std::string &reason, std::uint32_t accelerators,
             Duration lasted) -> void;
    /// @return hours within a window, by model and reason
    auto rows(Duration window) -> std::vector<IdleRow>;
    /// @return how long this meter has been counting
    auto since() const -> Duration;

private:
    struct IdleSlot
    {
        std::map<std::pair<std::string, std::string>, double> hours; ///< By model and reason.
        auto merge(const IdleSlot &other) -> void;
        auto add(const std::string &model, const std::string &reason, double more) -> void;
    };

    auto advance() -> void;

    const Clock &clock_;
    const Instant started_;
    Pyramid<IdleSlot> slots_;
};

} // namespace figrack::report

#endif // FIGRACK_REPORT_IDLE_H
