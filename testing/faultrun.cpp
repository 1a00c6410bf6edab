// figrack-faultrun: a figrack of a user's size under load and under faults.
//
// Twenty-one runners, a plain service and seven VMs' worth of routers and
// controls, as processes. Arrivals, bursts to cold models, calls that may run
// once only with resends, callers that go away, operators that race; meanwhile
// faults by seed (testing/faults.h). At the end everything is healed and must
// serve again. The verdict is on promises (testing/verdict.h), never on speed.

#include <filesystem>
#include <iostream>
#include <thread>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <fmt/format.h>
#include <tclap/CmdLine.h>
#include <unistd.h>

#include "testing/driver.h"
#include "testing/faults.h"

using namespace figrack;
using namespace figrack::testing;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto readyLimit = seconds { 90 };
constexpr auto callsLimit = seconds { 180 };
constexpr auto maxPending = std::size_t { 600 };

struct RunOptions
{
    std::string user;
    std::string build;
    std::string folder;
    std::uint64_t seed = 1;
    std::chrono::seconds length { 40 };
    std::uint64_t models = 16;
    std::uint64_t adapters = 8;
    std::uint64_t rate = 60; ///< Calls a second.
};

auto clusterOptions(const RunOptions &run) -> ClusterOptions
{
    auto options = ClusterOptions {};
    options.folder = run.folder;
    options.binFolder = run.build;
    options.routers = 4;
    options.seed = run.seed;
    const auto isGranits = run.user == "granits";
    if (!isGranits)
        options.domains = { "bilbao", "oviedo", "pamplona" };
    options.enginePools = isGranits
            ? std::map<std::string, std::size_t> { { "redaction", 18 }, { "comptoir", 3 } }
            : std::map<std::string, std::size_t> { { "redactor", 18 }, { "muelle", 3 } };
    options.services = { isGranits ? "orders" : "dispatch" };
    options.engineArguments
            = { "--load-remote-ms",    "1200", "--load-disk-ms",  "500", "--first-token-ms", "20",
                "--token-ms",          "4",    "--report-lag-ms", "700", "--cache-lag-ms",   "500",
                "--cache-gap-percent", "5",    "--slots",         "8" };
    return options;
}

class FaultRun
{
public:
    explicit FaultRun(const RunOptions &options)
        : options_(options)
        , service_(clusterOptions(options).services.front())
        , driver_(clusterOptions(options), 4)
        , faults_(driver_, options.seed)
        , random_(options.seed + 1)
    { }

    auto run() -> int
    {
        if (!driver_.start(readyLimit) || !configure()) {
            std::cerr << "event=faultrun_failed reason=\"it did not come up\"\n";
            return 1;
        }
        driver_.cluster().endFounding();
        std::cout << "event=faultrun_started user=" << options_.user << " seed=" << options_.seed
                  << std::endl;
        auto load = std::thread { [this] { makeLoad(); } };
        auto operators = std::thread { [this] { race(); } };
        makeFaults();
        over_ = true;
        load.join();
        operators.join();
        faults_.healAll();
        const auto served = servesAgain();
        return report(served);
    }

private:
    auto modelName(std::uint64_t index) const -> std::string
    {
        return index < options_.models ? fmt::format("model-{}", index)
                                       : fmt::format("adapter-{}", index - options_.models);
    }

    auto configure() -> bool
    {
        auto done = driver_.putClass("urgent", 8000, 20000, true) != 0
                && driver_.putClass("patient", 15000, 30000, false) != 0
                && driver_.putService(service_, false, 5000) != 0;
        for (auto i = std::uint64_t { 0 }; i < options_.models && done; ++i)
            done = driver_.putModel(modelName(i), 9000 + 1500 * (i % 5), 8) != 0;
        for (auto i = std::uint64_t { 0 }; i < options_.adapters && done; ++i)
            done = driver_.putModel(modelName(options_.models + i), 500, 8,
                                    modelName(i % options_.models))
                    != 0;
        return done;
    }

    auto makeCall() -> Call
    {
        const auto all = options_.models + options_.adapters;
        // Few are often asked for, most seldom.
        const auto index = random_.chance(0.6) ? random_.below(4) : random_.below(all);
        auto call = Call {};
        call.id = driver_.newId("run");
        call.model = modelName(index);
        call.classId = random_.chance(0.5) ? "urgent" : "patient";
        call.tokens = 4 + random_.below(random_.chance(0.1) ? 600 : 60);
        call.stream = random_.chance(0.8);
        call.chat = random_.chance(0.5);
        call.prompt = fmt::format("{} asks {}", std::string(random_.below(200), 'x'), call.id);
        if (call.stream && random_.chance(0.05))
            call.leaveAfter = milliseconds { random_.below(500) };
        return call;
    }

    /// A call that may run once only, and its resends at other routers.
    auto submitOrder(std::size_t domain) -> void
    {
        const auto key = driver_.newId("key");
        const auto sends = 1 + random_.below(3);
        for (auto i = std::size_t { 0 }; i < sends; ++i) {
            auto call = Call {};
            call.id = driver_.newId("order");
            call.service = service_;
            call.key = key;
            call.prompt = "one slab for " + key;
            call.stream = false;
            driver_.submit(std::move(call), domain + i);
        }
    }

    auto submitBurst() -> void
    {
        const auto model = modelName(random_.below(options_.models));
        for (auto i = std::size_t { 0 }; i < 24; ++i) {
            auto call = makeCall();
            call.model = model;
            driver_.submit(std::move(call), i);
        }
    }

    auto makeLoad() -> void
    {
        const auto gap = std::chrono::duration_cast<milliseconds>(seconds { 1 })
                / static_cast<int>(options_.rate);
        while (!over_) {
            std::this_thread::sleep_for(gap);
            if (driver_.pendingCalls() > maxPending)
                continue;
            const auto domain = random_.below(3);
            if (random_.chance(0.15))
                submitOrder(domain);
            else if (random_.chance(0.01))
                submitBurst();
            else
                driver_.submit(makeCall(), domain);
        }
    }

    /// Two operators against the same revision, again and again; the loser is shown the winner.
    auto race() -> void
    {
        for (auto round = 0; !over_; ++round) {
            const auto config = driver_.ask("GET", "/v1/config", {}, seconds { 5 });
            if (config.status != 200)
                continue;
            const auto revision = config.number("/revision");
            driver_.sawRevision("accepted", revision);
            auto later = std::vector<std::future<OperatorReply>> {};
            for (const auto *who : { "a", "b" }) {
                later.push_back(boost::asio::co_spawn(
                        driver_.context(),
                        driver_.operatorAgent().changeOnce(
                                fmt::format("race-{}-{}", round, who), revision,
                                fmt::format(R"("put_class":{{"id":"patient","start_ms":15000,)"
                                            R"("finish_ms":{}}})",
                                            30000 + round * 2 + (*who == 'a' ? 0 : 1)),
                                seconds { 10 }),
                        boost::asio::use_future));
            }
            auto won = 0;
            for (auto &reply : later) {
                const auto answer = reply.get();
                won += answer.status == 200 ? 1 : 0;
                if (answer.status == 200)
                    driver_.sawRevision("accepted", answer.number("/revision"));
            }
            ++races_;
            if (won > 1)
                doubleWins_ += 1;
            std::this_thread::sleep_for(milliseconds { 300 });
        }
    }

    auto makeFaults() -> void
    {
        const auto end = std::chrono::steady_clock::now() + options_.length;
        auto random = Random { options_.seed + 2 };
        while (std::chrono::steady_clock::now() < end) {
            std::this_thread::sleep_for(milliseconds { 100 + random.below(900) });
            faults_.heal();
            const auto name = faults_.beginOne();
            if (!name.empty())
                std::cout << "event=fault name=" << name << std::endl;
        }
    }

    /// Once all is healed, every model can be asked for again and answers.
    auto servesAgain() -> bool
    {
        if (!driver_.waitCalls(callsLimit) || !driver_.waitReady(readyLimit))
            return false;
        driver_.forgetAddresses();
        const auto before = driver_.results().size();
        return waitUntil(readyLimit, [this, before] {
            for (auto i = std::size_t { 0 }; i < 6; ++i) {
                auto call = makeCall();
                call.model = modelName(i);
                call.leaveAfter.reset();
                driver_.submit(std::move(call), i);
            }
            driver_.waitCalls(callsLimit);
            const auto results = driver_.results();
            for (auto i = results.size() - 6; i < results.size() && i >= before; ++i) {
                if (results[i].end != CallEnd::Answered)
                    return false;
            }
            return true;
        });
    }

    auto report(bool served) -> int
    {
        const auto verdict = driver_.finish();
        auto shown = 0;
        constexpr auto maxShown = 40;
        for (const auto &violation : verdict.violations) {
            if (++shown <= maxShown)
                std::cout << "event=promise_broken " << violation << '\n';
        }
        for (const auto &stop : faults_.badStops())
            std::cout << "event=promise_broken planned_stop " << stop << '\n';
        for (const auto &[name, count] : faults_.begun())
            std::cout << "event=faults name=" << name << " count=" << count << '\n';
        for (const auto &[code, count] : verdict.refusals)
            std::cout << "event=refusals code=" << code << " count=" << count << '\n';
        const auto facts = readFakeFacts(driver_.cluster());
        for (const auto &[name, count] : facts.counts)
            std::cout << "event=fakes_saw name=" << name << " count=" << count << '\n';
        const auto isGood
                = verdict.isGood() && served && doubleWins_ == 0 && faults_.badStops().empty();
        std::cout << fmt::format(
                "event=faultrun_done user={} seed={} good={} requests={} answered={} refused={} "
                "left={} lost_to_router_fault={} dropped={} duplicated={} overcommitted={} "
                "excess_replicas={} false_not_run={} late_work={} revision_falls={} "
                "failed_checks={} bad_stops={} races={} double_wins={} serves_again={}\n",
                options_.user, options_.seed, isGood, verdict.requests, verdict.answered,
                verdict.refused, verdict.left, verdict.lostToFault, verdict.dropped,
                verdict.duplicated, verdict.overcommitted, verdict.excessReplicas,
                verdict.falseNotRun, verdict.lateWork, verdict.revisionFalls, verdict.failedChecks,
                faults_.badStops().size(), races_, doubleWins_, served);
        return isGood ? 0 : 1;
    }

    RunOptions options_;
    std::string service_;
    Driver driver_;
    Faults faults_;
    Random random_; ///< Of the load alone.
    std::atomic<bool> over_ { false };
    std::uint64_t races_ = 0;
    std::uint64_t doubleWins_ = 0;
};

auto parse(int argc, char **argv) -> RunOptions
{
    auto line = TCLAP::CmdLine { "A figrack under load and faults.", ' ', FIGRACK_VERSION };
    const auto defaults = RunOptions {};
    using Text = TCLAP::ValueArg<std::string>;
    using Number = TCLAP::ValueArg<std::uint64_t>;
    auto user = Text { "", "user", "granits or socorro", false, "granits", "name", line };
    auto build = Text { "", "build", "the build folder", false, "build", "path", line };
    auto folder = Text { "", "folder", "kept when given", false, "", "path", line };
    auto seed = Number { "", "seed", "of faults and load", false, 1, "number", line };
    auto length = Number { "", "seconds", "of faults", false, 40, "seconds", line };
    auto models = Number { "", "models", "base models", false, defaults.models, "count", line };
    auto adapters = Number { "", "adapters", "adapters", false, defaults.adapters, "count", line };
    auto rate = Number { "", "rate", "calls a second", false, defaults.rate, "count", line };
    line.parse(argc, argv);
    auto options = RunOptions {};
    options.user = user.getValue();
    options.build = build.getValue();
    options.folder = folder.getValue();
    options.seed = seed.getValue();
    options.length = seconds { length.getValue() };
    options.models = models.getValue();
    options.adapters = adapters.getValue();
    options.rate = std::max<std::uint64_t>(1, rate.getValue());
    return options;
}

} // namespace

auto main(int argc, char **argv) -> int
{
    auto options = parse(argc, argv);
    installReaper();
    const auto isTemporary = options.folder.empty();
    if (isTemporary)
        options.folder = (std::filesystem::temp_directory_path()
                          / fmt::format("figrack-faultrun-{}", getpid()))
                                 .string();
    auto status = 0;
    {
        auto run = FaultRun { options };
        status = run.run();
    }
    if (isTemporary && status == 0)
        std::filesystem::remove_all(options.folder);
    else
        std::cerr << "event=faultrun_kept folder=" << options.folder << '\n';
    return status;
}
