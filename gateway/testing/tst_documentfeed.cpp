// How a gateway fetches a new configuration document, over loopback channels.

#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "gateway/testing/feedrig.h"

using namespace figrack;
using namespace figrack::gateway;
using namespace figrack::gateway::testing;
using namespace std::chrono_literals;

TEST_CASE("A document whose transfer takes longer than the first timeout still arrives")
{
    auto rig = FeedRig { "n3" };
    for (auto &[name, control] : rig.controls) {
        control->document = Revision { 5 };
        control->documentDelay = 60ms;
    }
    auto options = ControlFeedOptions {};
    options.documents.overdueAfter = 10ms;
    rig.addFeed("g1", options);
    rig.runUntil([&] { return rig.documents == std::vector { Revision { 5 } }; });
    CHECK(rig.documents.size() == 1);
}

// Guards against gateways that still use the old document seconds after a change was accepted, so
// that a newly added route is answered with 404. This happened when the control that a gateway had
// asked hung, or its connection had gone silent, or a slow link had increased the timeout (up to
// 3.2 s): with one request at a time under one timer, a slow transfer could not be told from a dead
// control, and the other controls, which would have answered, were not asked until the timeout.
// In the test, each of the three controls in turn does not answer, with a timeout of ten minutes.
TEST_CASE("A control that does not answer does not prevent a gateway from fetching a document from "
          "others")
{
    for (const auto *silent : { "n1", "n2", "n3" }) {
        auto rig = FeedRig { "n3" };
        for (auto &[name, control] : rig.controls)
            control->document = Revision { 5 };
        rig.controls.at(silent)->holdsBackDocuments = true;
        auto options = ControlFeedOptions {};
        options.documentTimeout = 10min;
        rig.addFeed("g1", options);
        rig.runUntil([&] { return rig.documents == std::vector { Revision { 5 } }; });
    }
}
