// The router's metrics, exported in the Prometheus text format.
//
// Guarantees: thread-safe. The number of label values is bounded: the error kinds,
// and at most maxClassLabels class names; further classes are counted as "other".

#ifndef FIGRACK_ROUTER_METRICS_H
#define FIGRACK_ROUTER_METRICS_H

#include <memory>
#include <string>

#include "report/recorder.h"

namespace figrack::router {

constexpr auto maxClassLabels = std::size_t { 64 };

/// Current values shown on the metrics page.
struct Gauges
{
    std::size_t waiting = 0;
    std::size_t running = 0;
    std::size_t heldKeys = 0;
    std::uint64_t retries = 0; ///< Since the process started; never decreases.
    bool current = false;
    std::uint64_t revision = 0;
    std::uint64_t appliedIndex = 0;
};

class Metrics
{
public:
    Metrics();
    ~Metrics();
    auto onRequest(const report::RequestRecord &record) -> void;
    auto onAnnouncement(bool taken) -> void;
    /// @return the metrics page
    auto text(const Gauges &gauges) -> std::string;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace figrack::router

#endif // FIGRACK_ROUTER_METRICS_H
