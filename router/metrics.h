// The router's metrics, as the Prometheus text page.
//
// Guarantees: thread-safe; labels are bounded: error kinds, and class names up
// to maxClassLabels, the rest as "other".

#ifndef FIGRACK_ROUTER_METRICS_H
#define FIGRACK_ROUTER_METRICS_H

#include <memory>
#include <string>

#include "report/recorder.h"

namespace figrack::router {

constexpr auto maxClassLabels = std::size_t { 64 };

/// What the page shows of the present moment.
struct Gauges
{
    std::size_t waiting = 0;
    std::size_t running = 0;
    std::size_t openKeys = 0;
    std::uint64_t retries = 0; ///< Since the start; never falls.
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
    /// @return the page
    auto text(const Gauges &gauges) -> std::string;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace figrack::router

#endif // FIGRACK_ROUTER_METRICS_H
