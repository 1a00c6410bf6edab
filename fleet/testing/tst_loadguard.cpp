// Endpoints that end while they load one model; in virtual time.

#include <doctest/doctest.h>

#include "fleet/loadguard.h"

using namespace figrack;
using namespace figrack::fleet;
using namespace std::chrono_literals;

namespace {

struct GuardRig
{
    ManualClock clock;
    policy::Quarantine quarantine { {} };
    int told = 0;
    LoadGuard guard { {}, quarantine, clock, [this] { ++told; } };
    ModelId model { "m" };
    int ended = 0;

    auto end(Duration after) -> void
    {
        clock.advance(after);
        guard.onEnded(model, EndpointId { "i-" + std::to_string(++ended) });
    }
};

} // namespace

TEST_CASE("A model under whose loads three endpoints end one after another is loaded no more")
{
    auto rig = GuardRig {};
    rig.end(6s);
    rig.end(6s);
    CHECK_FALSE(rig.guard.isBarred(rig.model));
    rig.end(6s);
    CHECK(rig.guard.isBarred(rig.model));
    CHECK_FALSE(rig.guard.isBarred(ModelId { "other" }));
    CHECK(rig.told == 3);
    // Once more after its time, and then not for longer.
    rig.clock.advance(std::chrono::milliseconds { policy::QuarantineOptions {}.firstPeriod });
    CHECK_FALSE(rig.guard.isBarred(rig.model));
    rig.end(6s);
    CHECK(rig.guard.isBarred(rig.model));
}

TEST_CASE("Many endpoints that end together as they load a busy model bar it from nobody")
{
    auto rig = GuardRig {};
    for (auto i = 0; i < 20; ++i)
        rig.end(50ms);
    CHECK_FALSE(rig.guard.isBarred(rig.model));
}

TEST_CASE("A load that completes clears the ends before it")
{
    auto rig = GuardRig {};
    rig.end(6s);
    rig.end(6s);
    rig.guard.onLoaded(rig.model);
    rig.clock.advance(60s);
    rig.end(6s);
    CHECK_FALSE(rig.guard.isBarred(rig.model));
}
