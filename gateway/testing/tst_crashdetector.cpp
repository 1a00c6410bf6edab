// The crash detector alone, with real sockets. This program is built with the address sanitizer,
// and coroutine frames are freed immediately, so that a handler that uses freed objects is
// detected.
//
// Guards against a use after free: when the gateway's VM had been suspended during a connection
// attempt to an endpoint, the attempt completed and its timer expired in the same event loop
// iteration. The coroutine ended first, and the timer's handler, which was already queued, closed a
// destroyed socket.

#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <thread>

#include <boost/asio/ip/tcp.hpp>

#include "gateway/crashdetector.h"

using namespace figrack;
using namespace figrack::gateway;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

struct DetectorRig
{
    explicit DetectorRig(CrashDetectorOptions options)
        : detector(options, { context, clock, view, quarantine, metrics, paths }, [] {})
    { }

    auto tell(const EndpointId &id, std::uint16_t port) -> void
    {
        auto row = catalogue::EndpointRow {};
        row.id = id;
        row.service = ServiceId { "s" };
        row.address = { "127.0.0.1", port };
        row.state = catalogue::EndpointState::Ready;
        row.sequence = 1;
        auto update = proto::ServingUpdate {};
        update.endpoints.push_back(row);
        view.apply(update);
    }

    boost::asio::io_context context { 1 };
    SystemClock clock;
    FleetView view { {}, clock };
    policy::Quarantine quarantine { {} };
    Metrics metrics;
    EndpointPaths paths { clock, {} };
    CrashDetector detector;
};

auto brokenWork() -> SuspectWork
{
    return { catalogue::workIdsOf({ "POST", "h", "/p", "", "c", "body" }), 1, RequestId { "r" },
             false };
}

} // namespace

TEST_CASE("A connection attempt that completes as its timeout expires leaves no dangling handler")
{
    auto options = CrashDetectorOptions {};
    options.dialTimeout = 1ms;
    auto rig = DetectorRig { options };
    auto listener = tcp::acceptor { rig.context, tcp::endpoint { tcp::v4(), 0 } };
    constexpr auto tries = 20;
    for (auto i = 0; i < tries; ++i) {
        const auto id = EndpointId { "i-" + std::to_string(i) };
        rig.tell(id, listener.local_endpoint().port());
        rig.detector.note(id, brokenWork());
        // The connection attempt starts; then the VM is suspended until both the connection and the
        // timer are due.
        rig.context.restart();
        rig.context.poll_one();
        std::this_thread::sleep_for(5ms);
        rig.context.restart();
        rig.context.run_for(5ms);
    }
    CHECK(rig.quarantine.size() == 0); // The endpoints are listening.
}
