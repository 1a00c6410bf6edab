// Child processes of the test drivers, ended by their ids, also when the driver fails.
//
//   auto child = ChildProcess::start({ "/bin/figrack-router", "--settings", file }, logFile);
//   child->signal(SIGTERM);
//   child->waitFor(std::chrono::seconds { 5 });
//
// installReaper() makes the driver kill every child of its own when it is
// itself ended by SIGINT, SIGTERM, SIGHUP or an abort. Destroying a child kills it.

#ifndef FIGRACK_TESTING_CHILDPROCESS_H
#define FIGRACK_TESTING_CHILDPROCESS_H

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

#include "core/clock.h"

namespace figrack::testing {

class ChildProcess
{
public:
    /// @param arguments the program's path first
    /// @param logFile its standard output and error are appended there
    /// @return nullptr when it cannot be started
    static auto start(const std::vector<std::string> &arguments, const std::string &logFile)
            -> std::unique_ptr<ChildProcess>;
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    auto operator=(const ChildProcess &) -> ChildProcess & = delete;

    auto pid() const -> pid_t { return pid_; }
    auto isRunning() -> bool;
    auto signal(int number) -> void;
    /// @return true once it has ended
    auto waitFor(Duration limit) -> bool;
    /// Ends it by SIGKILL and waits.
    auto kill() -> void;
    /// @return its exit status; the negative signal number when a signal ended it; nullopt: it runs
    auto exitStatus() const -> std::optional<int> { return exitStatus_; }
    /// @return processor time used so far, seconds; 0 when it has ended
    auto processorSeconds() const -> double;
    /// @return resident memory, bytes; 0 when it has ended
    auto residentBytes() const -> std::uint64_t;

private:
    explicit ChildProcess(pid_t pid);
    auto reap(int flags) -> void;

    pid_t pid_;
    std::optional<int> exitStatus_;
};

/// Kills every child when the driver is ended by a signal or an abort.
/// @param pidFile every child's id is appended to it; empty: none
auto installReaper(const std::string &pidFile = {}) -> void;

} // namespace figrack::testing

#endif // FIGRACK_TESTING_CHILDPROCESS_H
