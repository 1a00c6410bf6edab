// The control's metrics, as the Prometheus text that /metrics serves.
//
// Gauges are read from the control when the page is asked for: nothing is
// counted on the way.

#ifndef FIGRACK_CONTROL_METRICS_H
#define FIGRACK_CONTROL_METRICS_H

#include <string>

#include "control/control.h"

namespace figrack::control {

/// @param control on its strand
/// @return the page, Prometheus text format 0.0.4
auto metricsText(const Control &control) -> std::string;

} // namespace figrack::control

#endif // FIGRACK_CONTROL_METRICS_H
