// Command line, settings, logging and signal handling that all figrack daemons share.
//
//   auto main(int argc, char **argv) -> int
//   {
//       auto program = DaemonProgram {};
//       program.name = "figrack-router";
//       program.purpose = "Takes callers' requests.";
//       program.rules = routerRules();
//       program.run = [](const Settings &settings) { return runRouter(settings); };
//       return runDaemon(program, argumentsOf(argc, argv));
//   }
//
// Every daemon accepts --config FILE, --check-settings, --help-settings, --version
// and --help. runDaemon() reads and validates the settings and starts logging before
// it calls run(). If a setting is invalid, it prints one line on standard error and
// returns ExitCode::Usage. The rules of section [log] are added to the daemon's rules.

#ifndef FIGRACK_CMD_DAEMON_H
#define FIGRACK_CMD_DAEMON_H

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <absl/status/status.h>

#include "cmd/exitcode.h"
#include "core/settings.h"

namespace boost::asio {
class io_context;
}

namespace figrack::cmd {

/// Describes a daemon to runDaemon().
struct DaemonProgram
{
    std::string name;
    std::string purpose; ///< The description that --help prints.
    std::vector<SettingRule> rules;
    std::string nameKey; ///< Key of the setting that names the process in log lines; if empty,
                         ///< `name` does.
    /// Runs the daemon until it stops. An error is logged, and the exit code is Usage for
    /// BadSettings, Disk for DiskFull, DiskFailed and Corrupt, and Failed for any other error.
    std::function<absl::Status(const Settings &)> run;
    /// Checks what the rules cannot express, for example whether a key file can be read; may be
    /// empty. It is called before run() and by --check-settings, and must have no side effects.
    /// If it returns an error, the exit code is Usage.
    std::function<absl::Status(const Settings &)> check;
};

/// Runs a daemon as its command line demands.
/// @param program the daemon
/// @param arguments the arguments of main(), the program's name first
/// @return the exit code for main()
auto runDaemon(const DaemonProgram &program, const std::vector<std::string> &arguments) -> int;

/// Returns the rules of section [log], which runDaemon() adds to every daemon's rules.
auto logRules() -> std::vector<SettingRule>;

/// Returns a seed from the system's secure random source.
auto randomSeed() -> std::uint64_t;

/// Calls a function on the first SIGTERM or SIGINT. Later signals are logged and otherwise
/// ignored. The pending wait for signals is work that keeps the context running; the destructor
/// cancels it. Destroy the object after the stop has completed and before the context.
class StopSignals
{
public:
    /// @param onStop called at most once, on a thread of the context
    StopSignals(boost::asio::io_context &context, std::function<void()> onStop);
    ~StopSignals();
    StopSignals(const StopSignals &) = delete;
    auto operator=(const StopSignals &) -> StopSignals & = delete;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

/// Runs a context on several threads and returns when it has no work or is stopped.
/// @param threads the number of threads, at least 1; the calling thread is one of them
auto runThreads(boost::asio::io_context &context, std::size_t threads) -> void;

} // namespace figrack::cmd

#endif // FIGRACK_CMD_DAEMON_H
