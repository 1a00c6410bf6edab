// The faults of a fault run: each is begun, and healed after a while.
//
//   auto faults = Faults { driver, random };
//   faults.beginOne();            // draws one and begins it
//   faults.heal(now);             // ends those whose time has come
//   faults.healAll();
//
// Drawn so that one router at least stays undisturbed; two controls at once may
// be down, since that has to be survived as well. Called from one thread.

#ifndef FIGRACK_TESTING_FAULTS_H
#define FIGRACK_TESTING_FAULTS_H

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/random.h"
#include "testing/driver.h"

namespace figrack::testing {

class Faults
{
public:
    Faults(Driver &driver, std::uint64_t seed);
    /// Draws a fault and begins it. @return its name, or empty when it did not fit
    auto beginOne() -> std::string;
    auto heal() -> void;
    /// Ends every fault and brings every process back.
    auto healAll() -> void;
    /// @return how often each was begun
    auto begun() const -> const std::map<std::string, std::uint64_t> & { return begun_; }
    /// @return planned stops that did not end with exit status 0 in time
    auto badStops() const -> const std::vector<std::string> & { return badStops_; }

private:
    struct Row
    {
        const char *name;
        std::uint64_t weight;
        bool (Faults::*begin)();
    };
    struct Healing
    {
        Instant at;
        std::string node;           ///< Busy until then; empty: concerns no single process.
        std::function<bool()> heal; ///< @return false to be asked again later
    };
    static auto rows() -> const std::vector<Row> &;

    auto killRouter() -> bool;
    auto pauseRouter() -> bool;
    auto stopRouter() -> bool;
    auto killControl() -> bool;
    auto pauseControl() -> bool;
    auto killEngine() -> bool;
    auto dieInLoad() -> bool;
    auto dieInStream() -> bool;
    auto dieInService() -> bool;
    auto muteEngine() -> bool;
    auto slowStore() -> bool;
    auto drainEngine() -> bool;
    auto leaveEngine() -> bool;
    auto transfer() -> bool;

    auto draw(Cluster::Nodes &nodes, std::size_t mayBeBusy) -> Node *;
    auto restartLater(Node &node, Duration earliest, Duration span) -> void;
    auto dieAt(Cluster::Nodes &nodes, const std::string &place) -> bool;
    auto later(Duration earliest, Duration span) -> Instant;
    auto add(Instant at, const std::string &node, std::function<bool()> heal) -> void;
    auto now() const -> Instant { return clock_.now(); }

    Driver &driver_;
    Random random_;
    SystemClock clock_;
    std::vector<Healing> healings_;
    std::set<std::string> busy_; ///< Processes under a fault.
    std::map<std::string, std::uint64_t> begun_;
    std::vector<std::string> badStops_;
    bool storeIsSlow_ = false;
};

} // namespace figrack::testing

#endif // FIGRACK_TESTING_FAULTS_H
