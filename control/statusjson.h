// GET /v1/status: what this control knows of the system, as JSON.

#ifndef FIGRACK_CONTROL_STATUSJSON_H
#define FIGRACK_CONTROL_STATUSJSON_H

#include <string>

#include "control/control.h"

namespace figrack::control {

/// @param control on its strand
/// @return the body
auto statusJson(const Control &control) -> std::string;

} // namespace figrack::control

#endif // FIGRACK_CONTROL_STATUSJSON_H
