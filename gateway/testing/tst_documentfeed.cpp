// How a gateway comes by a new configuration document, over loopback channels.

#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "gateway/testing/feedrig.h"

using namespace figrack;
using namespace figrack::gateway;
using namespace figrack::gateway::testing;
using namespace std::chrono_literals;

TEST_CASE("A document that takes longer than the first timeout comes all the same")
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

// What users saw: some seconds after an operator had been told that a change is accepted, single
// gateways still went by the document before it; a route that had been added was answered by 404.
// Order of events: the change is committed and announced by all controls; the gateway asks one
// control for the document; that control stands still, or the connection to it has gone silent, or
// the gateway's slow link has made it wait longer and longer before; the others would answer at
// once and are not asked until the first one's time is over, which grows to 3.2 s.
// Cause: one question at a time under one timer, which cannot tell a slow transfer from a dead
// control. Evidence: each of the three controls is the silent one in turn, with a time of ten
// minutes; the gateway that has chosen it has no document although two controls hold it.
TEST_CASE("A control that does not answer keeps no gateway from a document that others hold")
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
