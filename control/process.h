// The control process: a Control with its sockets, its data folder and its timers.
//
//   auto process = Process { context, options, clock };
//   if (auto status = process.start(); !status.ok()) ...
//   process.stop([&context] { context.stop(); });      // on SIGTERM
//
// The control runs on one strand of the context, everything else on its worker
// threads. A watch on a strand of its own aborts the order connections when the
// lease has ended, also while the control's strand waits for the disk.

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
    /// @param context,clock outlive the process object
    Process(boost::asio::io_context &context, ProcessOptions options, const Clock &clock);
    ~Process();

    /// @return BadSettings, Corrupt, DiskFailed or DiskFull
    auto start() -> absl::Status;
    /// Hands leadership over, then closes everything.
    /// @param done called once all is closed, on a worker
    auto stop(std::function<void()> done) -> void;

    /// @return why the process ended by itself; OK when it was told to
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
