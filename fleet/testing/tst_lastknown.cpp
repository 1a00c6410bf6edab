// Tests the state that a control keeps for a restart, with a disk that crashes before any call.

#include <doctest/doctest.h>

#include "coord/testing/fakedisk.h"
#include "fleet/lastknown.h"

using namespace figrack;
using namespace figrack::fleet;
using coord::testing::FakeDisk;

namespace {

constexpr auto folder = "data";

auto makeDisk() -> FakeDisk
{
    auto disk = FakeDisk {};
    REQUIRE(disk.makeFolder(folder).ok());
    return disk;
}

auto makeEndpoint(const std::string &id) -> catalogue::EndpointRow
{
    auto row = catalogue::EndpointRow {};
    row.id = EndpointId { id };
    row.address = { "10.0.0.1", 80 };
    row.models = { { ModelId { "m" }, { "a1" } } };
    return row;
}

auto versionsNamed(const std::string &name) -> SavedVersions
{
    return { { { { ServiceId { "s" }, { name } } }, true }, 1'000'000, 2'000 };
}

auto saveAll(coord::Disk &disk, const Document &document) -> void
{
    auto store = LastKnownStore { folder, disk };
    store.save(document);
    store.save(catalogue::Evacuations { document.version, { DomainId { "d" } } });
    store.save(std::vector { makeEndpoint("i-1"), makeEndpoint("i-2") });
    store.save(versionsNamed(document.text));
}

} // namespace

TEST_CASE("Saved state is there after a loss of power, and there is none before")
{
    auto disk = makeDisk();
    {
        auto store = LastKnownStore { folder, disk };
        CHECK(store.loadDocument().version == Revision {});
        CHECK(store.loadEndpoints().empty());
        CHECK(store.loadEvacuations().revision == Revision {});
        CHECK(store.loadVersions() == SavedVersions {});
    }
    saveAll(disk, { Revision { 7 }, "seven" });
    saveAll(disk, { Revision { 8 }, "eight" });
    auto random = Random { 1 };
    auto later = disk.afterPowerLoss(FakeDisk::Survival::Nothing, random);
    auto store = LastKnownStore { folder, later };
    CHECK(store.loadDocument().version == Revision { 8 });
    CHECK(store.loadDocument().text == "eight");
    CHECK(store.loadEvacuations().revision == Revision { 8 });
    CHECK(store.loadEvacuations().contains(DomainId { "d" }));
    const auto endpoints = store.loadEndpoints();
    REQUIRE(endpoints.size() == 2);
    CHECK(endpoints[1].sameAs(makeEndpoint("i-2")));
    CHECK(store.loadVersions() == versionsNamed("eight"));
}

TEST_CASE("A crash before any call of the disk leaves the old document or the new one, complete")
{
    auto ended = false;
    for (auto call = std::size_t { 1 }; !ended; ++call) {
        auto disk = makeDisk();
        saveAll(disk, { Revision { 7 }, "seven" });
        const auto before = disk.calls();
        disk.crashAt(before + call);
        saveAll(disk, { Revision { 8 }, "eight" });
        ended = !disk.crashed();
        for (const auto survival : { FakeDisk::Survival::Nothing, FakeDisk::Survival::Everything,
                                     FakeDisk::Survival::Random }) {
            auto random = Random { call };
            auto later = disk.afterPowerLoss(survival, random);
            auto store = LastKnownStore { folder, later };
            const auto document = store.loadDocument();
            const auto isOld = document.version == Revision { 7 } && document.text == "seven";
            const auto isNew = document.version == Revision { 8 } && document.text == "eight";
            CHECK((isOld || isNew));
            CHECK(store.loadEndpoints().size() == 2);
            const auto versions = store.loadVersions();
            CHECK((versions == versionsNamed("seven") || versions == versionsNamed("eight")));
            // A leftover temporary file does no harm.
            store.save(Document { Revision { 9 }, "nine" });
        }
    }
}

TEST_CASE("A damaged file counts as missing")
{
    auto disk = makeDisk();
    saveAll(disk, { Revision { 7 }, "seven" });
    for (const auto *name :
         { "data/known-document", "data/known-endpoints", "data/known-versions" })
        REQUIRE(disk.damage(name, [](std::string &bytes) { bytes.back() ^= 1; }));
    auto store = LastKnownStore { folder, disk };
    CHECK(store.loadDocument().version == Revision {});
    CHECK(store.loadEndpoints().empty());
    CHECK(store.loadVersions() == SavedVersions {});
}

// Guards against a failed write that is not retried. A change was applied; its write next to the
// log failed once because the disk was full or stalled; no further change came; then all processes
// restarted. The failed write had been left to the next save, which may never come for a document,
// so gateways used an older document than before until a leader had committed one.
TEST_CASE("A failed write is retried without another save")
{
    for (auto call = std::size_t { 1 };; ++call) {
        auto disk = makeDisk();
        saveAll(disk, { Revision { 7 }, "seven" });
        const auto failing = disk.calls() + call;
        disk.failAt(failing, call % 2 == 0 ? FakeDisk::Fault::Failed : FakeDisk::Fault::Full);
        saveAll(disk, { Revision { 8 }, "eight" });
        if (disk.calls() < failing) {
            CHECK(call > 10); // Both saves were made to fail at each of their calls.
            break;
        }
        auto store = LastKnownStore { folder, disk };
        CHECK(store.loadDocument().version == Revision { 8 });
        CHECK(store.loadEndpoints().size() == 2);
    }
}
