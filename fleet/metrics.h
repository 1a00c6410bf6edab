// A control's metrics, as the Prometheus text page.
//
// Guarantee: labels are bounded.

#ifndef FIGRACK_FLEET_METRICS_H
#define FIGRACK_FLEET_METRICS_H

#include <cstddef>
#include <memory>
#include <string>

#include "core/clock.h"

namespace figrack::fleet {

class Metrics
{
public:
    Metrics();
    ~Metrics();
    /// What somebody said of an endpoint could not be used.
    auto onAnnouncementRefused() -> void;
    /// A change was acknowledged. @param waited since its commit @param lacking gateways that did
    /// not obey it by then
    auto onAcknowledged(Duration waited, std::size_t lacking) -> void;
    /// @return the page
    auto text() -> std::string;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace figrack::fleet

#endif // FIGRACK_FLEET_METRICS_H
