// Tests the state machine that holds what operators have decided.

#include <doctest/doctest.h>

#include "core/serial.h"
#include "fleet/configlog.h"

using namespace figrack;
using namespace figrack::fleet;

namespace {

auto entryOf(std::string command) -> coord::Entry
{
    return { Term { 1 }, LogIndex { 1 }, coord::EntryKind::Command, std::move(command) };
}

auto evacuationEntry(const std::string &domain, bool begins) -> coord::Entry
{
    return entryOf(ConfigLog::encode({ DomainId { domain }, begins }));
}

} // namespace

TEST_CASE("The document's version never falls, and equal versions change nothing")
{
    auto log = ConfigLog {};
    const auto apply = [&](std::uint64_t version, const std::string &text) {
        log.apply({ Term { 1 }, LogIndex { 1 }, coord::EntryKind::Command,
                    ConfigLog::encode({ Revision { version }, text }) });
    };
    apply(3, "three");
    apply(3, "other");
    apply(2, "two");
    CHECK(log.document().text == "three");
    auto restored = ConfigLog {};
    CHECK(restored.restore(log.snapshot(), LogIndex { 1 }).ok());
    CHECK(restored.document().text == "three");
    CHECK_FALSE(restored.restore("junk", LogIndex { 2 }).ok());
    CHECK(restored.document().text == "three");
}

TEST_CASE("Evacuations apply in the order of the log, and stand in the snapshot")
{
    auto log = ConfigLog {};
    auto applied = 0;
    log.setOnApplied([&](LogIndex, Term) { ++applied; });
    log.apply(evacuationEntry("a", true));
    log.apply(evacuationEntry("b", true));
    log.apply(evacuationEntry("a", true));
    log.apply(evacuationEntry("a", false));
    CHECK(applied == 4);
    CHECK(log.evacuations() == catalogue::Evacuations { Revision { 3 }, { DomainId { "b" } } });
    auto restored = ConfigLog {};
    CHECK(restored.restore(log.snapshot(), LogIndex { 4 }).ok());
    CHECK(restored.evacuations() == log.evacuations());
}

TEST_CASE("An evacuation is no document, whatever its failure domain is called")
{
    for (const auto *domain : { "", "a", "a-long-name-of-a-failure-domain" }) {
        auto log = ConfigLog {};
        log.apply(entryOf(ConfigLog::encode({ Revision { 2 }, "two" })));
        CHECK_FALSE(ConfigLog::versionOf(evacuationEntry(domain, true)));
        log.apply(evacuationEntry(domain, true));
        CHECK(log.document().text == "two");
        CHECK(log.evacuations().contains(DomainId { domain }));
    }
}

TEST_CASE("A snapshot without evacuations, as earlier releases wrote it, can be read")
{
    auto log = ConfigLog {};
    CHECK(log.restore(serialize(Document { Revision { 4 }, "four" }), LogIndex { 9 }).ok());
    CHECK(log.document().text == "four");
    CHECK(log.evacuations().revision == Revision {});
}

TEST_CASE("A reservation of retries reaches its listener and changes no decision")
{
    auto log = ConfigLog {};
    auto reserved = std::vector<RetryReservation> {};
    log.setOnReserved([&](const RetryReservation &reservation, Term term) {
        CHECK(term == Term { 1 });
        reserved.push_back(reservation);
    });
    log.apply(evacuationEntry("a", true));
    const auto before = log.snapshot();
    log.apply(entryOf(ConfigLog::encode(RetryReservation { ServiceId { "s" }, 7 })));
    REQUIRE(reserved.size() == 1);
    CHECK(reserved[0].service == ServiceId { "s" });
    CHECK(reserved[0].count == 7);
    CHECK(log.snapshot() == before);
}
