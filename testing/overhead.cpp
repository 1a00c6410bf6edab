// figrack-overhead: what the way through a router costs, against straight to the
// engine, in one run: at many concurrent streams, and requests a second a core.
//
// Closed loop: each of the callers sends its next request when the last has
// ended. Straight and routed phases take turns, so that what else the machine
// does falls on both. Reports figures; judges only that every answer was right.

#include <filesystem>
#include <iostream>

#include <fmt/format.h>
#include <tclap/CmdLine.h>
#include <unistd.h>

#include "testing/driver.h"

using namespace figrack;
using namespace figrack::testing;

namespace {

using std::chrono::seconds;

constexpr auto readyLimit = seconds { 60 };
constexpr auto model = "model-0";

struct LoadShape
{
    std::size_t callers = 200;
    int rounds = 5;
    std::uint64_t tokens = 50;
    bool stream = true;
};

/// What one phase measured.
struct Phase
{
    std::vector<double> firstMs;
    std::vector<double> totalMs;
    std::uint64_t wrong = 0;
    double wallSeconds = 0;
    double routerSeconds = 0;
};

class Overhead
{
public:
    explicit Overhead(const ClusterOptions &options)
        : driver_(options)
    { }

    auto run(std::size_t streams) -> int
    {
        if (!driver_.start(readyLimit) || !driver_.putClass("urgent", 20000, 300000, true)
            || !driver_.putModel(model, 1000, 4096))
            return 1;
        auto hold = Call {};
        hold.id = "hold";
        hold.model = model;
        hold.tokens = 100000;
        hold.limit = seconds { 280 };
        driver_.submit(std::move(hold), 0); // Keeps the model loaded all the while.
        auto &engine = *driver_.cluster().engines()[0];
        const auto isLoaded = waitUntil(readyLimit, [&] {
            return driver_.ask("GET", "/v1/status").text("/replicas/0/state") == "ready";
        });
        if (!isLoaded)
            return 1;
        compare("streams", { streams, 5, 50, true });
        driver_.tell(engine, "/test/pace", R"({"first_token_ms":0,"token_ms":0})");
        compare("small", { 64, 60, 1, false });
        compare("small_one_caller", { 1, 500, 1, false });
        return wrong_ == 0 ? 0 : 1;
    }

private:
    auto compare(const std::string &name, LoadShape shape) -> void
    {
        auto straight = Phase {};
        auto routed = Phase {};
        constexpr auto turns = 3;
        for (auto turn = 0; turn < turns; ++turn) {
            measure(straight, shape, driver_.cluster().engines()[0]->address(), true);
            measure(routed, shape, driver_.cluster().routers()[0]->address(), false);
        }
        wrong_ += straight.wrong + routed.wrong;
        const auto requests = static_cast<double>(routed.firstMs.size());
        std::cout << fmt::format(
                "event=overhead shape={} callers={} requests={} wrong={} "
                "first_p50_ms={:.2f}/{:.2f} "
                "first_p50_ratio={:.3f} first_p99_ms={:.2f}/{:.2f} first_p99_ratio={:.3f} "
                "total_p50_ratio={:.3f} total_p99_ratio={:.3f} routed_per_s={:.0f} "
                "straight_per_s={:.0f} router_core_seconds={:.2f} "
                "requests_per_router_core_second={:.0f}\n",
                name, shape.callers, routed.firstMs.size(), straight.wrong + routed.wrong,
                percentile(straight.firstMs, 0.5), percentile(routed.firstMs, 0.5),
                percentile(routed.firstMs, 0.5) / percentile(straight.firstMs, 0.5),
                percentile(straight.firstMs, 0.99), percentile(routed.firstMs, 0.99),
                percentile(routed.firstMs, 0.99) / percentile(straight.firstMs, 0.99),
                percentile(routed.totalMs, 0.5) / percentile(straight.totalMs, 0.5),
                percentile(routed.totalMs, 0.99) / percentile(straight.totalMs, 0.99),
                requests / routed.wallSeconds,
                static_cast<double>(straight.firstMs.size()) / straight.wallSeconds,
                routed.routerSeconds, requests / routed.routerSeconds);
        std::cout.flush();
    }

    auto measure(Phase &phase, const LoadShape &shape, const Address &to, bool toEndpoint) -> void
    {
        auto options = CallerOptions {};
        options.direct = to;
        options.toEndpoint = toEndpoint;
        options.keepConnections = true;
        auto caller = CallerAgent { driver_.context(), options, "morlaix" };
        auto &router = driver_.cluster().routers()[0]->child();
        const auto cpuBefore = router.processorSeconds();
        const auto start = std::chrono::steady_clock::now();
        auto loops = std::vector<std::future<std::vector<CallResult>>> {};
        for (auto i = std::size_t { 0 }; i < shape.callers; ++i) {
            loops.push_back(boost::asio::co_spawn(driver_.context(), loop(caller, shape),
                                                  boost::asio::use_future));
        }
        for (auto &one : loops) {
            for (const auto &result : one.get())
                take(phase, result);
        }
        phase.wallSeconds
                += std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
        phase.routerSeconds += router.processorSeconds() - cpuBefore;
    }

    static auto take(Phase &phase, const CallResult &result) -> void
    {
        phase.firstMs.push_back(result.firstMs());
        phase.totalMs.push_back(result.totalMs());
        if (result.end == CallEnd::Answered)
            return;
        if (++phase.wrong == 1)
            std::cout << "event=wrong end=" << callEndName(result.end) << " code=" << result.code
                      << " detail=\"" << result.detail << "\"\n";
    }

    auto loop(CallerAgent &caller, LoadShape shape)
            -> boost::asio::awaitable<std::vector<CallResult>>
    {
        auto results = std::vector<CallResult> {};
        for (auto round = 0; round < shape.rounds; ++round) {
            auto call = Call {};
            call.id = driver_.newId("load");
            call.model = model;
            call.prompt = "prompt " + call.id;
            call.tokens = shape.tokens;
            call.stream = shape.stream;
            results.push_back(co_await caller.call(std::move(call)));
        }
        co_return results;
    }

    Driver driver_;
    std::uint64_t wrong_ = 0;
};

} // namespace

auto main(int argc, char **argv) -> int
{
    auto line = TCLAP::CmdLine { "What the way through a router costs.", ' ', FIGRACK_VERSION };
    auto build = TCLAP::ValueArg<std::string> { "",     "build", "the build folder", false, "build",
                                                "path", line };
    auto streams
            = TCLAP::ValueArg<std::size_t> { "",      "streams", "concurrent streams", false, 200,
                                             "count", line };
    line.parse(argc, argv);
    installReaper();
    auto options = ClusterOptions {};
    options.binFolder = build.getValue();
    options.folder = (std::filesystem::temp_directory_path()
                      / fmt::format("figrack-overhead-{}", getpid()))
                             .string();
    options.routers = 1;
    options.enginePools = { { "redaction", 1 } };
    options.services.clear();
    options.engineArguments = { "--load-remote-ms", "200", "--first-token-ms", "50",
                                "--token-ms",       "10",  "--slots",          "4096" };
    auto status = 0;
    {
        auto overhead = Overhead { options };
        status = overhead.run(streams.getValue());
    }
    std::filesystem::remove_all(options.folder);
    return status;
}
