// Tests what survives when a replica is started again in the same process, after a fault of its
// disk.

#include <doctest/doctest.h>

#include "coord/testing/fakedisk.h"
#include "fleet/decisions.h"

using namespace figrack;
using namespace figrack::fleet;

namespace {

auto applyAll(ConfigLog &log) -> void
{
    auto index = std::uint64_t { 0 };
    const auto apply = [&](std::string command) {
        log.apply({ Term { 1 }, LogIndex { ++index }, coord::EntryKind::Command,
                    std::move(command) });
    };
    apply(ConfigLog::encode({ Revision { 3 }, "three" }));
    apply(ConfigLog::encode({ DomainId { "a" }, true }));
    apply(ConfigLog::encode({ DomainId { "a" }, false }));
    apply(ConfigLog::encode({ DomainId { "b" }, true }));
}

} // namespace

TEST_CASE("A replica that is started again applies the same log to the same evacuations")
{
    auto disk = coord::testing::FakeDisk {};
    REQUIRE(disk.makeFolder("data").ok());
    auto store = LastKnownStore { "data", disk };
    auto clock = ManualClock {};
    auto metrics = Metrics {};
    auto decisions = Decisions { {}, clock, store, metrics };
    applyAll(decisions.log());
    const auto before = decisions.newestEvacuations();
    CHECK(before == catalogue::Evacuations { Revision { 3 }, { DomainId { "b" } } });

    decisions.setReplica(nullptr);
    CHECK(decisions.newestEvacuations() == before); // Until the log has been applied again.
    CHECK(decisions.newestDocument().text == "three");
    applyAll(decisions.log());
    CHECK(decisions.log().evacuations() == before);
}
