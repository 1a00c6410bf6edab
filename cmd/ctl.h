// The operator's command-line program, figrackctl, as a function that tests can call.
//
//   return runCtl(arguments, clock);
//
// Results go to standard output, either as a table or, with --json, as the JSON that
// the control process returned. Progress and errors go to standard error. The exit
// codes are those of ExitCode.

#ifndef FIGRACK_CMD_CTL_H
#define FIGRACK_CMD_CTL_H

#include <string>
#include <vector>

#include "core/clock.h"

namespace figrack::cmd {

/// Runs one figrackctl command.
/// @param arguments the arguments of main(), the program's name first
/// @param clock used for time-outs
/// @return the exit code for main()
auto runCtl(const std::vector<std::string> &arguments, const Clock &clock) -> int;

} // namespace figrack::cmd

#endif // FIGRACK_CMD_CTL_H
