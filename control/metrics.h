// The control's metrics in the Prometheus text format, as served by /metrics.
//
// All values are read from the control when the page is requested; no separate counters are
// kept.

#ifndef FIGRACK_CONTROL_METRICS_H
#define FIGRACK_CONTROL_METRICS_H

#include <string>

#include "control/control.h"

namespace figrack::control {

/// Call it on the control's strand.
/// @param control the control to read
/// @return the page, Prometheus text format 0.0.4
auto metricsText(const Control &control) -> std::string;

} // namespace figrack::control

#endif // FIGRACK_CONTROL_METRICS_H
