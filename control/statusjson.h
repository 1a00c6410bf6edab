// The body of GET /v1/status: this control's view of the system, as JSON.

#ifndef FIGRACK_CONTROL_STATUSJSON_H
#define FIGRACK_CONTROL_STATUSJSON_H

#include <string>

#include "control/control.h"

namespace figrack::control {

/// Call it on the control's strand.
/// @param control the control to read
/// @return the response body
auto statusJson(const Control &control) -> std::string;

} // namespace figrack::control

#endif // FIGRACK_CONTROL_STATUSJSON_H
