// figrack-demo: the whole path on loopback, from real processes, in about a minute.
//
// Three controls and three routers over three failure domains, six fake engines
// and a plain service. Bursts to cold models through all routers, configuration
// changes with a race, a planned stop of a router in the middle of streams, a
// killed leader, calls that may run once only, and the cost of the way through a
// router. Each phase ends on an event, not after a time; the verdict comes from
// testing/verdict.h. Exit status 0 only when every promise was kept.

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <fmt/format.h>
#include <tclap/CmdLine.h>
#include <unistd.h>

#include "testing/driver.h"

using namespace figrack;
using namespace figrack::testing;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto readyLimit = seconds { 60 };
constexpr auto callsLimit = seconds { 120 };
constexpr auto stopLimit = seconds { 60 };
constexpr auto weightMb = std::uint64_t { 10000 };
constexpr auto slots = std::uint32_t { 16 };
constexpr auto coldModels = 6;
constexpr auto callsPerDomain = 4;
constexpr auto overheadRounds = 200;
constexpr auto fourKilobytes = std::uint64_t { 4096 / 9 }; ///< Tokens of nine bytes.

auto say(const std::string &line) -> void
{
    std::cout << line << std::endl;
}

class Demo
{
public:
    explicit Demo(ClusterOptions options)
        : driver_(std::move(options))
    { }

    auto run() -> int
    {
        if (!driver_.start(readyLimit))
            return fail("the cluster did not come up");
        say("event=demo_started controls=3 routers=3 engines=6 services=1");
        if (!configure() || !coldBurst("cold") || !race() || !plannedStop() || !killedLeader()
            || !onceOnly() || !overhead())
            return fail("a phase did not end");
        return report();
    }

private:
    auto fail(const std::string &why) -> int
    {
        std::cerr << "event=demo_failed reason=\"" << why << "\"\n";
        return 1;
    }

    auto makeCall(const std::string &model, std::uint64_t tokens) -> Call
    {
        auto call = Call {};
        call.id = driver_.newId("demo");
        call.model = model;
        call.tokens = tokens;
        call.prompt = "Draft an epitaph, number " + call.id;
        return call;
    }

    auto configure() -> bool
    {
        auto done = driver_.putClass("urgent", 20000, 60000, true) != 0
                && driver_.putClass("patient", 60000, 120000, false) != 0
                && driver_.putService("comptoir", false, 10000) != 0;
        for (auto i = 0; i < 2 * coldModels && done; ++i)
            done = driver_.putModel(fmt::format("model-{}", i), weightMb, slots) != 0;
        say(fmt::format("event=configured done={}", done));
        return done;
    }

    /// A burst to models that are loaded nowhere, through all routers at once.
    auto coldBurst(const std::string &phase) -> bool
    {
        const auto before = driver_.results().size();
        for (auto round = 0; round < callsPerDomain; ++round) {
            for (auto i = 0; i < coldModels; ++i) {
                for (auto domain = std::size_t { 0 }; domain < 3; ++domain) {
                    auto call = makeCall(fmt::format("model-{}", firstCold_ + i), 16);
                    call.chat = round % 2 == 1;
                    driver_.submit(std::move(call), domain);
                }
            }
        }
        firstCold_ += coldModels;
        const auto done = driver_.waitCalls(callsLimit);
        const auto results = driver_.results();
        for (auto i = before; i < results.size(); ++i) {
            if (results[i].end == CallEnd::Answered)
                coldMs_.push_back(results[i].firstMs());
        }
        say(fmt::format("event=cold_burst phase={} calls={} p50_ms={:.0f} p99_ms={:.0f}", phase,
                        results.size() - before, percentile(coldMs_, 0.5),
                        percentile(coldMs_, 0.99)));
        return done;
    }

    /// Two operators with changes against the same revision: one wins, and a resend is answered
    /// as the first time.
    auto race() -> bool
    {
        const auto revision = driver_.ask("GET", "/v1/config").number("/revision");
        const auto operation = [](int finish) {
            return fmt::format(R"("put_class":{{"id":"patient","start_ms":50000,"finish_ms":{}}})",
                               finish);
        };
        const auto change = [&](const std::string &id, int finish) {
            return boost::asio::co_spawn(driver_.context(),
                                         driver_.operatorAgent().changeOnce(
                                                 id, revision, operation(finish), seconds { 30 }),
                                         boost::asio::use_future);
        };
        auto first = change("race-a", 110000);
        auto second = change("race-b", 111000);
        const auto a = first.get();
        const auto b = second.get();
        const auto won = (a.status == 200 ? 1 : 0) + (b.status == 200 ? 1 : 0);
        const auto again = change("race-a", 110000).get();
        raceIsGood_ = won == 1 && again.status == a.status
                && again.number("/revision") == a.number("/revision");
        driver_.sawRevision("accepted", std::max(a.number("/revision"), b.number("/revision")));
        say(fmt::format("event=configuration_race statuses={},{} resend={} good={}", a.status,
                        b.status, again.status, raceIsGood_));
        return a.status != 0 && b.status != 0;
    }

    /// A router is asked to end while streams run through it.
    auto plannedStop() -> bool
    {
        const auto before = driver_.results().size();
        for (auto i = 0; i < 30; ++i)
            driver_.submit(makeCall(fmt::format("model-{}", i % coldModels), 600),
                           static_cast<std::size_t>(i));
        std::this_thread::sleep_for(milliseconds { 300 });
        auto &router = *driver_.cluster().routers()[0];
        router.child().signal(SIGTERM);
        const auto start = std::chrono::steady_clock::now();
        while (router.isRunning() && std::chrono::steady_clock::now() - start < stopLimit) {
            driver_.submit(makeCall("model-0", 8), 0);
            std::this_thread::sleep_for(milliseconds { 50 });
        }
        const auto status = router.child().exitStatus();
        const auto done = driver_.waitCalls(callsLimit);
        stopIsGood_ = status == 0;
        say(fmt::format(
                "event=planned_stop exit={} ms={} calls={}", status.value_or(-1),
                std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - start)
                        .count(),
                driver_.results().size() - before));
        driver_.cluster().endFounding();
        return done && router.start() && driver_.waitReady(readyLimit);
    }

    /// The leader is killed while cold models are asked for.
    auto killedLeader() -> bool
    {
        const auto leader = driver_.ask("GET", "/v1/status").text("/leader");
        auto *node = driver_.cluster().findNode(leader);
        if (node == nullptr)
            return false;
        node->kill();
        driver_.forgetAddresses();
        const auto done = coldBurst("leader_killed");
        const auto next = driver_.ask("GET", "/v1/status", {}, readyLimit);
        say(fmt::format("event=leader_killed was={} is={} revision={}", leader,
                        next.text("/leader"), next.number("/revision")));
        driver_.sawRevision("accepted", next.number("/revision"));
        const auto changed = driver_.putClass("patient", 45000, 100000, false) != 0;
        return done && changed && node->start() && driver_.waitReady(readyLimit);
    }

    /// Calls that may run once only, each sent three times at different routers.
    auto onceOnly() -> bool
    {
        for (auto i = 0; i < 20; ++i) {
            for (auto domain = std::size_t { 0 }; domain < 3; ++domain) {
                auto call = Call {};
                call.id = driver_.newId("order");
                call.service = "comptoir";
                call.prompt = fmt::format("order number {}", i);
                call.key = fmt::format("key-{}", i);
                driver_.submit(std::move(call), domain);
            }
        }
        return driver_.waitCalls(callsLimit);
    }

    /// Warm answers through a router against straight from the engine, in turns.
    auto overhead() -> bool
    {
        // One long stream keeps the model in use, and so loaded, for as long as the measurement.
        auto hold = makeCall("model-0", 6000);
        hold.classId = "patient";
        driver_.submit(std::move(hold), 0);
        Node *engine = nullptr;
        const auto isLoaded = waitUntil(readyLimit, [&] {
            engine = engineOf(driver_.ask("GET", "/v1/status"), "model-0");
            return engine != nullptr;
        });
        if (!isLoaded)
            return false;
        for (auto &node : driver_.cluster().engines())
            driver_.tell(*node, "/test/pace", R"({"first_token_ms":10,"token_ms":0})");
        auto options = CallerOptions {};
        options.keepConnections = true;
        options.direct = engine->address();
        options.toEndpoint = true;
        auto straight = CallerAgent { driver_.context(), options, "morlaix" };
        options.direct = driver_.cluster().routers()[1]->address();
        options.toEndpoint = false;
        auto routed = CallerAgent { driver_.context(), options, "morlaix" };
        const auto first = ratio(straight, routed, 16, true);
        const auto whole = ratio(straight, routed, fourKilobytes, false);
        overheadRatio_ = std::max(first, whole);
        say(fmt::format("event=overhead first_token_p50_ratio={:.3f} answer_4k_p50_ratio={:.3f}",
                        first, whole));
        return driver_.waitCalls(callsLimit);
    }

    auto engineOf(const OperatorReply &status, const std::string &model) -> Node *
    {
        for (auto i = 0; i < 1000; ++i) {
            const auto row = fmt::format("/replicas/{}", i);
            if (status.text(row + "/model").empty())
                return nullptr;
            if (status.text(row + "/model") == model && status.text(row + "/state") == "ready")
                return driver_.cluster().findNode(status.text(row + "/endpoint"));
        }
        return nullptr;
    }

    auto timeOne(CallerAgent &caller, std::uint64_t tokens, bool stream) -> double
    {
        auto call = makeCall("model-0", tokens);
        call.stream = stream;
        const auto result = boost::asio::co_spawn(driver_.context(), caller.call(std::move(call)),
                                                  boost::asio::use_future)
                                    .get();
        if (result.end != CallEnd::Answered)
            ++failedMeasures_;
        return result.firstMs();
    }

    auto ratio(CallerAgent &straight, CallerAgent &routed, std::uint64_t tokens, bool stream)
            -> double
    {
        auto direct = std::vector<double> {};
        auto through = std::vector<double> {};
        for (auto i = 0; i < overheadRounds; ++i) {
            direct.push_back(timeOne(straight, tokens, stream));
            through.push_back(timeOne(routed, tokens, stream));
        }
        say(fmt::format("event=measured stream={} tokens={} direct_p50_ms={:.3f} "
                        "routed_p50_ms={:.3f} direct_p99_ms={:.3f} routed_p99_ms={:.3f}",
                        stream, tokens, percentile(direct, 0.5), percentile(through, 0.5),
                        percentile(direct, 0.99), percentile(through, 0.99)));
        return percentile(through, 0.5) / percentile(direct, 0.5);
    }

    auto report() -> int
    {
        const auto verdict = driver_.finish();
        auto shown = 0;
        constexpr auto maxShown = 20;
        for (const auto &violation : verdict.violations) {
            if (++shown <= maxShown)
                say("event=promise_broken " + violation);
        }
        for (const auto &[code, count] : verdict.refusals)
            say(fmt::format("event=refusals code={} count={}", code, count));
        const auto isGood = verdict.isGood() && raceIsGood_ && stopIsGood_ && failedMeasures_ == 0;
        say(fmt::format("event=demo_checked false_not_run={} late_work={} revision_falls={} "
                        "failed_checks={} race_good={} planned_stop_exit_good={} "
                        "failed_measures={}",
                        verdict.falseNotRun, verdict.lateWork, verdict.revisionFalls,
                        verdict.failedChecks, raceIsGood_, stopIsGood_, failedMeasures_));
        say(fmt::format("event=demo_done requests={} answered={} refused={} dropped={} "
                        "duplicated={} overcommitted={} excess_replicas={} cold_p99_ms={:.0f} "
                        "overhead_p50_ratio={:.2f}",
                        verdict.requests, verdict.answered, verdict.refused, verdict.dropped,
                        verdict.duplicated, verdict.overcommitted, verdict.excessReplicas,
                        percentile(coldMs_, 0.99), overheadRatio_));
        return isGood ? 0 : 1;
    }

    Driver driver_;
    int firstCold_ = 0;
    std::vector<double> coldMs_;
    double overheadRatio_ = 0;
    std::uint64_t failedMeasures_ = 0;
    bool raceIsGood_ = false;
    bool stopIsGood_ = false;
};

auto demoOptions(const std::string &build, const std::string &folder) -> ClusterOptions
{
    auto options = ClusterOptions {};
    options.binFolder = build;
    options.folder = folder;
    options.engineArguments
            = { "--load-remote-ms", "1500", "--first-token-ms", "30",
                "--token-ms",       "3",    "--slots",          std::to_string(slots) };
    return options;
}

} // namespace

auto main(int argc, char **argv) -> int
{
    auto line = TCLAP::CmdLine { "The whole of figrack on loopback.", ' ', FIGRACK_VERSION };
    auto build = TCLAP::ValueArg<std::string> { "",     "build", "the build folder", false, "build",
                                                "path", line };
    auto folder = TCLAP::ValueArg<std::string> {
        "", "folder", "for settings, data and logs; kept when given", false, "", "path", line
    };
    auto pids = TCLAP::ValueArg<std::string> { "",    "pids", "every child's id is appended to it",
                                               false, "",     "path",
                                               line };
    line.parse(argc, argv);
    installReaper(pids.getValue());
    const auto isTemporary = folder.getValue().empty();
    const auto place = isTemporary
            ? std::filesystem::temp_directory_path() / fmt::format("figrack-demo-{}", getpid())
            : std::filesystem::path { folder.getValue() };
    auto status = 0;
    {
        auto demo = Demo { demoOptions(build.getValue(), place.string()) };
        status = demo.run();
    }
    if (isTemporary && status == 0)
        std::filesystem::remove_all(place);
    else if (isTemporary)
        std::cerr << "event=demo_kept folder=" << place.string() << '\n';
    return status;
}
