// What the mains of figrack's daemons share.
//
//   auto main(int argc, char **argv) -> int
//   {
//       auto program = DaemonProgram { "figrack-router", "Takes callers' requests.", routerRules()
//       }; program.run = [](const Settings &settings) { return runRouter(settings); }; return
//       runDaemon(program, argumentsOf(argc, argv));
//   }
//
// Every daemon understands --config FILE, --check-settings, --help-settings,
// --version and --help. Settings are read and checked, and logging started,
// before run() is called; a bad setting ends with ExitCode::Usage and one line
// on standard error. The section [log] is added to the daemon's rules.

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

/// One daemon, as its main describes it.
struct DaemonProgram
{
    std::string name;
    std::string purpose; ///< For --help.
    std::vector<SettingRule> rules;
    std::string nameKey; ///< The key whose text is put on every log line; empty: the name above.
    /// Runs the daemon to its end. An error is logged and ends with ExitCode::Failed, with Usage
    /// when it is BadSettings, or with Disk when it is DiskFull, DiskFailed or Corrupt.
    std::function<absl::Status(const Settings &)> run;
    /// Checks what the rules cannot, as whether a key file can be read; may be empty. Its errors
    /// end with ExitCode::Usage. Also run by --check-settings; it changes nothing.
    std::function<absl::Status(const Settings &)> check;
};

/// @param program the daemon
/// @param arguments of main(), the program's name first
/// @return the exit code for main()
auto runDaemon(const DaemonProgram &program, const std::vector<std::string> &arguments) -> int;

/// The rules of section [log], which runDaemon() adds to every daemon's.
auto logRules() -> std::vector<SettingRule>;

/// @return a seed from the system's random source
auto randomSeed() -> std::uint64_t;

/// Calls a function at the first SIGTERM or SIGINT; later ones are logged and change nothing.
/// It keeps the context running; destroy it, before the context, once the stop is through.
class StopSignals
{
public:
    /// @param onStop called on a thread of the context, once
    StopSignals(boost::asio::io_context &context, std::function<void()> onStop);
    ~StopSignals();
    StopSignals(const StopSignals &) = delete;
    auto operator=(const StopSignals &) -> StopSignals & = delete;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

/// Runs a context on several threads until it has no work or is stopped.
/// @param threads 1 or more; the calling thread is one of them
auto runThreads(boost::asio::io_context &context, std::size_t threads) -> void;

} // namespace figrack::cmd

#endif // FIGRACK_CMD_DAEMON_H
