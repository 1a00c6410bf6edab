// Tests endpoints that end while they load one model; in virtual time.

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

TEST_CASE("A model during whose loads three endpoints end one after another is no longer loaded")
{
    auto rig = GuardRig {};
    rig.end(6s);
    rig.end(6s);
    CHECK_FALSE(rig.guard.isBarred(rig.model));
    rig.end(6s);
    CHECK(rig.guard.isBarred(rig.model));
    CHECK_FALSE(rig.guard.isBarred(ModelId { "other" }));
    CHECK(rig.told == 3);
    // After the quarantine period it may be loaded once more; another end bars it again.
    rig.clock.advance(std::chrono::milliseconds { policy::QuarantineOptions {}.firstPeriod });
    CHECK_FALSE(rig.guard.isBarred(rig.model));
    rig.end(6s);
    CHECK(rig.guard.isBarred(rig.model));
}

TEST_CASE("Many endpoints that end at the same time while they load a busy model do not bar it")
{
    auto rig = GuardRig {};
    for (auto i = 0; i < 20; ++i)
        rig.end(50ms);
    CHECK_FALSE(rig.guard.isBarred(rig.model));
}

TEST_CASE("A load that completes clears the earlier ends")
{
    auto rig = GuardRig {};
    rig.end(6s);
    rig.end(6s);
    rig.guard.onLoaded(rig.model);
    rig.clock.advance(60s);
    rig.end(6s);
    CHECK_FALSE(rig.guard.isBarred(rig.model));
}
