// Process is the control process: a Control with its sockets, its data folder and its timers.
//
//   auto process = Process { context, options, clock };
//   if (auto status = process.start(); !status.ok()) ...
//   process.stop([&context] { context.stop(); });      // On SIGTERM.
//
// The control runs on one strand of the context; all other work runs on the context's worker
// threads. A timer on a separate strand aborts the order connections when the lease has ended,
// even while the control's strand is waiting for the disk.

#ifndef FIGRACK_CONTROL_PROCESS_H
#define FIGRACK_CONTROL_PROCESS_H

#include <functional>
#include <memory>

#include <absl/status/status.h>
#include <boost/asio/io_context.hpp>

#include "control/settings.h"
#include "core/clock.h"

namespace figrack::control {

class Process
{
public:
    /// @param context,clock must outlive the process object
    Process(boost::asio::io_context &context, ProcessOptions options, const Clock &clock);
    ~Process();

    /// @return BadSettings, Corrupt, DiskFailed or DiskFull
    auto start() -> absl::Status;
    /// Transfers leadership, then closes all connections and timers.
    /// @param done called on a worker thread when everything is closed
    auto stop(std::function<void()> done) -> void;

    /// @return the reason why the process ended by itself; OK if stop() ended it
    auto failure() const -> absl::Status;
    /// @return the port operators connect to
    auto operatorPort() const -> std::uint16_t;
    /// @return the port controls and routers connect to
    auto peerPort() const -> std::uint16_t;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace figrack::control

#endif // FIGRACK_CONTROL_PROCESS_H
