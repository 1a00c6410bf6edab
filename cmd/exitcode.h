// What figrack's programs tell a script by their exit code.

#ifndef FIGRACK_CMD_EXITCODE_H
#define FIGRACK_CMD_EXITCODE_H

namespace figrack::cmd {

enum class ExitCode : int {
    Ok = 0,
    Failed = 1,  ///< A daemon failed at run time; a change was refused or lost against another.
    Usage = 2,   ///< The command line or a setting is wrong; nothing was done.
    Unknown = 3, ///< No control answered in time; a change may or may not have happened.
    Disk = 4,    ///< The data folder is full, broken or corrupt: look before starting again.
};

} // namespace figrack::cmd

#endif // FIGRACK_CMD_EXITCODE_H
