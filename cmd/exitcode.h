// The exit codes of figrack's programs, for use by scripts.

#ifndef FIGRACK_CMD_EXITCODE_H
#define FIGRACK_CMD_EXITCODE_H

namespace figrack::cmd {

enum class ExitCode : int {
    Ok = 0,
    Failed
    = 1,       ///< A daemon failed at run time, or a change was refused or conflicted with another.
    Usage = 2, ///< The command line or a setting is invalid; nothing was done.
    Unknown = 3, ///< No control answered in time; a change may or may not have been made.
    Disk = 4,    ///< The data folder is full, unusable or corrupt; inspect it before a restart.
};

} // namespace figrack::cmd

#endif // FIGRACK_CMD_EXITCODE_H
