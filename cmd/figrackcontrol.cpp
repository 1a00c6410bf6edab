// The main program of the control daemon. It reads the options from the settings, runs
// the process on a pool of threads and stops it on SIGTERM or SIGINT.

#include <boost/asio/io_context.hpp>

#include "cmd/commandline.h"
#include "cmd/daemon.h"
#include "control/process.h"
#include "core/secretfile.h"
#include "proto/channel.h"

namespace figrack::cmd {
namespace {

auto runControl(const Settings &settings) -> absl::Status
{
    const auto options = control::processOptions(settings);
    if (!options.ok())
        return options.status();
    const auto clock = SystemClock {};
    auto context = boost::asio::io_context { static_cast<int>(options->threads) };
    auto process = control::Process { context, *options, clock };
    if (auto status = process.start(); !status.ok())
        return status;
    const auto signals = StopSignals { context, [&] { process.stop([&] { context.stop(); }); } };
    runThreads(context, options->threads);
    return process.failure();
}

auto checkControl(const Settings &settings) -> absl::Status
{
    const auto options = control::processOptions(settings);
    if (!options.ok())
        return options.status();
    if (const auto keys = proto::PeerKeys::fromFile(options->keyFile); !keys.ok())
        return keys.status();
    return SecretFile::open(options->tokenFile, checkToken).status();
}

} // namespace
} // namespace figrack::cmd

auto main(int argc, char **argv) -> int
{
    using namespace figrack::cmd;
    const auto program = DaemonProgram {
        "figrack-control",
        "Holds figrack's replicated state and decides what is loaded where.",
        figrack::control::controlSchema(),
        "control.name",
        runControl,
        checkControl,
    };
    return runDaemon(program, argumentsOf(argc, argv));
}
