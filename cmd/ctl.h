// The operator's program, figrackctl, as a function.
//
//   return runCtl(arguments, clock);
//
// Results go to standard output, as a table or with --json as the control's own
// JSON; progress and errors go to standard error. The exit code is ExitCode.

#ifndef FIGRACK_CMD_CTL_H
#define FIGRACK_CMD_CTL_H

#include <string>
#include <vector>

#include "core/clock.h"

namespace figrack::cmd {

/// @param arguments of main(), the program's name first
/// @return the exit code for main()
auto runCtl(const std::vector<std::string> &arguments, const Clock &clock) -> int;

} // namespace figrack::cmd

#endif // FIGRACK_CMD_CTL_H
