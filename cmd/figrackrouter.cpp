// The main program of the router daemon. It reads the options from the settings, runs
// the router on a pool of threads and stops it on SIGTERM or SIGINT.

#include <boost/asio/io_context.hpp>

#include "cmd/commandline.h"
#include "cmd/daemon.h"
#include "router/router.h"

namespace figrack::cmd {
namespace {

auto runRouter(const Settings &settings) -> absl::Status
{
    const auto options = router::routerOptions(settings);
    if (!options.ok())
        return options.status();
    auto keys = proto::PeerKeys::fromFile(options->keyFile);
    if (!keys.ok())
        return keys.status();
    const auto clock = SystemClock {};
    auto context = boost::asio::io_context { static_cast<int>(options->threads) };
    auto router = router::Router { context,          *options,     clock,
                                   *std::move(keys), randomSeed(), [&context] { context.stop(); } };
    if (auto status = router.start(); !status.ok())
        return status;
    const auto signals = StopSignals { context, [&router] { router.requestStop(); } };
    runThreads(context, options->threads);
    return absl::OkStatus();
}

auto checkRouter(const Settings &settings) -> absl::Status
{
    const auto options = router::routerOptions(settings);
    if (!options.ok())
        return options.status();
    return proto::PeerKeys::fromFile(options->keyFile).status();
}

} // namespace
} // namespace figrack::cmd

auto main(int argc, char **argv) -> int
{
    using namespace figrack::cmd;
    const auto program = DaemonProgram {
        "figrack-router",
        "Tells callers which address to use, takes their requests and streams the answers back.",
        figrack::router::routerSchema(),
        "router.name",
        runRouter,
        checkRouter,
    };
    return runDaemon(program, argumentsOf(argc, argv));
}
