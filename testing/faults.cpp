// Faults are rows of a table drawn by weight. What is random is drawn from the
// seed in one thread, so that a seed gives the same order of faults; when each
// meets which request is up to the machine, and no verdict hangs on it.

#include "testing/faults.h"

#include <csignal>

#include <fmt/format.h>

namespace figrack::testing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto stopLimit = seconds { 90 };
constexpr auto askLimit = seconds { 5 };

} // namespace

Faults::Faults(Driver &driver, std::uint64_t seed)
    : driver_(driver)
    , random_(seed)
{ }

auto Faults::rows() -> const std::vector<Row> &
{
    static const auto table = std::vector<Row> {
        { "kill_router", 3, &Faults::killRouter },
        { "pause_router", 3, &Faults::pauseRouter },
        { "stop_router", 3, &Faults::stopRouter },
        { "kill_control", 3, &Faults::killControl },
        { "pause_control", 3, &Faults::pauseControl },
        { "kill_engine", 4, &Faults::killEngine },
        { "die_in_load", 3, &Faults::dieInLoad },
        { "die_in_stream", 4, &Faults::dieInStream },
        { "die_in_service", 2, &Faults::dieInService },
        { "mute_engine", 3, &Faults::muteEngine },
        { "slow_store", 2, &Faults::slowStore },
        { "drain_engine", 3, &Faults::drainEngine },
        { "leave_engine", 2, &Faults::leaveEngine },
        { "transfer", 1, &Faults::transfer },
    };
    return table;
}

auto Faults::beginOne() -> std::string
{
    auto sum = std::uint64_t { 0 };
    for (const auto &row : rows())
        sum += row.weight;
    auto drawn = random_.below(sum);
    for (const auto &row : rows()) {
        if (drawn >= row.weight) {
            drawn -= row.weight;
            continue;
        }
        if (!(this->*row.begin)())
            return {};
        ++begun_[row.name];
        return row.name;
    }
    return {};
}

auto Faults::draw(Cluster::Nodes &nodes, std::size_t mayBeBusy) -> Node *
{
    auto busy = std::size_t { 0 };
    for (const auto &node : nodes)
        busy += busy_.count(node->name());
    auto &node = *nodes[random_.below(nodes.size())];
    const auto isFit = busy < mayBeBusy && busy_.count(node.name()) == 0 && node.isRunning();
    return isFit ? &node : nullptr;
}

auto Faults::later(Duration earliest, Duration span) -> Instant
{
    const auto extra = random_.below(static_cast<std::uint64_t>(span.count()) + 1);
    return now() + earliest + Duration { static_cast<Duration::rep>(extra) };
}

auto Faults::add(Instant at, const std::string &node, std::function<bool()> heal) -> void
{
    if (!node.empty())
        busy_.insert(node);
    healings_.push_back({ at, node, std::move(heal) });
}

auto Faults::heal() -> void
{
    auto due = std::vector<Healing> {};
    const auto time = now();
    std::erase_if(healings_, [&](Healing &healing) {
        if (healing.at > time)
            return false;
        due.push_back(std::move(healing));
        return true;
    });
    for (auto &healing : due) {
        if (healing.heal())
            busy_.erase(healing.node);
        else
            healings_.push_back({ time + milliseconds { 200 }, healing.node, healing.heal });
    }
}

auto Faults::healAll() -> void
{
    for (auto &healing : healings_)
        healing.at = {};
    const auto done = waitUntil(stopLimit, [this] {
        heal();
        return healings_.empty();
    });
    if (!done)
        badStops_.emplace_back("not all faults could be healed");
}

auto Faults::restartLater(Node &node, Duration earliest, Duration span) -> void
{
    add(later(earliest, span), node.name(), [&node] { return node.start(); });
}

auto Faults::killRouter() -> bool
{
    auto &routers = driver_.cluster().routers();
    auto *node = draw(routers, routers.size() - 1);
    if (node == nullptr)
        return false;
    node->kill();
    restartLater(*node, milliseconds { 500 }, seconds { 4 });
    return true;
}

auto Faults::pauseRouter() -> bool
{
    auto &routers = driver_.cluster().routers();
    auto *node = draw(routers, routers.size() - 1);
    if (node == nullptr)
        return false;
    node->pause();
    add(later(milliseconds { 500 }, seconds { 7 }), node->name(), [node] {
        node->resume();
        return true;
    });
    return true;
}

auto Faults::stopRouter() -> bool
{
    auto &routers = driver_.cluster().routers();
    auto *node = draw(routers, routers.size() - 1);
    // A router that was killed had been started again a moment before, on a busy machine; the
    // signal came before its first line and ended it by signal 15, with nothing in progress. The
    // promise is of a router that serves.
    if (node == nullptr || !node->hasBegun())
        return false;
    node->child().signal(SIGTERM);
    const auto limit = now() + stopLimit;
    add(now() + milliseconds { 200 }, node->name(), [this, node, limit] {
        if (node->isRunning() && now() < limit)
            return false;
        const auto status = node->child().exitStatus();
        if (status != 0) {
            badStops_.push_back(fmt::format("{} exit={}", node->name(),
                                            status ? std::to_string(*status) : "still runs"));
            node->kill();
        }
        return node->start();
    });
    return true;
}

auto Faults::killControl() -> bool
{
    auto &controls = driver_.cluster().controls();
    auto *node = draw(controls, random_.chance(0.2) ? 2 : 1);
    if (node == nullptr)
        return false;
    node->kill();
    restartLater(*node, milliseconds { 500 }, seconds { 5 });
    return true;
}

auto Faults::pauseControl() -> bool
{
    auto &controls = driver_.cluster().controls();
    auto *node = draw(controls, random_.chance(0.2) ? 2 : 1);
    if (node == nullptr)
        return false;
    node->pause();
    add(later(seconds { 1 }, seconds { 6 }), node->name(), [node] {
        node->resume();
        return true;
    });
    return true;
}

auto Faults::killEngine() -> bool
{
    auto &engines = driver_.cluster().engines();
    auto *node = draw(engines, engines.size() / 3);
    if (node == nullptr)
        return false;
    node->kill();
    restartLater(*node, seconds { 1 }, seconds { 8 });
    return true;
}

auto Faults::dieAt(Cluster::Nodes &nodes, const std::string &place) -> bool
{
    auto *node = draw(nodes, std::max<std::size_t>(1, nodes.size() / 3));
    if (node == nullptr
        || !driver_.tell(*node, "/test/die", fmt::format(R"({{"at":"{}"}})", place)))
        return false;
    add(later(seconds { 3 }, seconds { 6 }), node->name(), [this, node] {
        // It may not have come to that place, and must not do so once all is healed.
        const auto isAlive
                = node->isRunning() && driver_.tell(*node, "/test/die", R"({"at":"never"})");
        return isAlive || (!node->isRunning() && node->start());
    });
    return true;
}

auto Faults::dieInLoad() -> bool
{
    return dieAt(driver_.cluster().engines(), "load");
}

auto Faults::dieInStream() -> bool
{
    return dieAt(driver_.cluster().engines(), "stream");
}

auto Faults::dieInService() -> bool
{
    return dieAt(driver_.cluster().services(), "service");
}

auto Faults::muteEngine() -> bool
{
    auto &engines = driver_.cluster().engines();
    auto *node = draw(engines, engines.size() / 3);
    if (node == nullptr || !driver_.tell(*node, "/test/announce", R"({"on":false})"))
        return false;
    add(later(seconds { 2 }, seconds { 12 }), node->name(), [this, node] {
        return !node->isRunning() ? node->start()
                                  : driver_.tell(*node, "/test/announce", R"({"on":true})");
    });
    return true;
}

auto Faults::slowStore() -> bool
{
    if (std::exchange(storeIsSlow_, true))
        return false;
    for (auto &engine : driver_.cluster().engines()) {
        if (engine->isRunning())
            driver_.tell(*engine, "/test/store", R"({"factor":10})");
    }
    add(later(seconds { 3 }, seconds { 5 }), {}, [this] {
        for (auto &engine : driver_.cluster().engines()) {
            if (engine->isRunning())
                driver_.tell(*engine, "/test/store", R"({"factor":1})");
        }
        storeIsSlow_ = false;
        return true;
    });
    return true;
}

/// An operator drains it. The fake is told only then, and counts what is new 5 s later.
auto Faults::drainEngine() -> bool
{
    auto &engines = driver_.cluster().engines();
    auto *node = draw(engines, engines.size() / 3);
    if (node == nullptr)
        return false;
    const auto path = fmt::format("/v1/endpoints/{}/drain", node->name());
    if (driver_.ask("POST", path, R"({"draining":true})", askLimit).status != 200)
        return false;
    driver_.tell(*node, "/test/drain", R"({"draining":true,"announce":false})");
    add(later(seconds { 8 }, seconds { 6 }), node->name(), [this, node, path] {
        if (!node->isRunning())
            node->start();
        // First the fake, so that it does not count what it may well get from then on.
        driver_.tell(*node, "/test/drain", R"({"draining":false,"announce":false})");
        return driver_.ask("POST", path, R"({"draining":false})", askLimit).status == 200;
    });
    return true;
}

/// It says itself that it leaves.
auto Faults::leaveEngine() -> bool
{
    auto &engines = driver_.cluster().engines();
    auto *node = draw(engines, engines.size() / 3);
    if (node == nullptr || !driver_.tell(*node, "/test/drain", R"({"draining":true})"))
        return false;
    add(later(seconds { 8 }, seconds { 6 }), node->name(), [this, node] {
        return !node->isRunning() ? node->start()
                                  : driver_.tell(*node, "/test/drain", R"({"draining":false})");
    });
    return true;
}

auto Faults::transfer() -> bool
{
    return driver_.ask("POST", "/v1/transfer", "{}", askLimit).status == 200;
}

} // namespace figrack::testing
