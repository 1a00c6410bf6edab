// The example of coord/README.md, compiled and run. Keep the two the same.

#include <fstream>
#include <sstream>

#include <doctest/doctest.h>

#include "coord/replica.h"
#include "coord/testing/simnet.h"

using namespace figrack;
using namespace figrack::coord;

namespace {

auto example(Transport &transport, LogStore &store, StateMachine &machine, ManualClock &clock)
        -> bool
{
    // README: begin
    auto options = ReplicaOptions {};
    options.self.node = NodeId { "a" };
    options.founders = { options.self }; // The same list on every founder.
    auto random = Random { 1 };
    auto replica = Replica { options, clock, transport, store, machine, random };
    if (!replica.start().ok())
        return false;
    while (!replica.holdsLease()) // A real program ticks by a timer.
        clock.advance(options.tick), replica.tick();
    auto index = replica.propose("open the valve");
    replica.flush();
    return index.ok() && replica.status().appliedIndex == *index;
    // README: end
}

auto readFile(const std::string &path) -> std::string
{
    auto text = std::ostringstream {};
    text << std::ifstream { path }.rdbuf();
    return text.str();
}

} // namespace

TEST_CASE("the example of the README runs and is the one printed there")
{
    auto cluster = coord::testing::SimCluster { {}, 1 };
    auto &node = cluster.add("a", {});
    auto state = coord::testing::SimState {};
    auto clock = ManualClock {};
    CHECK(example(node, node.disk, state, clock));

    const auto folder = std::string { FIGRACK_COORD_FOLDER };
    const auto source = readFile(folder + "/testing/tst_readme.cpp");
    const auto from = source.find("README: begin\n") + 14;
    const auto body = source.substr(from, source.find("    // README: end") - from);
    REQUIRE(body.size() > 100);
    CHECK(readFile(folder + "/README.md").find(body) != std::string::npos);
}
