// The hook that a lease grantor hangs on: it hears of every entry that stands in
// the log, in whatever order it is set and the log is read back.

#include <map>
#include <vector>

#include <doctest/doctest.h>

#include "coord/filelogstore.h"
#include "coord/replicalog.h"
#include "coord/testing/fakedisk.h"

namespace figrack::coord {
namespace {

using testing::FakeDisk;

auto entries(std::uint64_t term, std::uint64_t from, std::uint64_t to) -> std::vector<Entry>
{
    auto result = std::vector<Entry> {};
    for (auto index = from; index <= to; ++index)
        result.push_back({ Term { term }, LogIndex { index }, EntryKind::Command, "x" });
    return result;
}

/// What the hook has been told and not told to forget.
struct Heard
{
    std::map<LogIndex, Term> stored;
    auto hook() -> ReplicaLog::StoredHook
    {
        return [this](const Entry &entry, bool isStored) {
            if (isStored)
                stored[entry.index] = entry.term;
            else
                stored.erase(entry.index);
        };
    }
};

TEST_CASE("a restarted replica's hook hears of the entries read back, set before or after")
{
    auto disk = FakeDisk {};
    {
        auto store = FileLogStore { { .folder = "data" }, disk };
        auto log = ReplicaLog { store };
        REQUIRE(log.load(*store.recover()).ok());
        REQUIRE(store.saveIdentity({ "group", NodeId { "a" }, Incarnation { 1 } }).ok());
        REQUIRE(log.append(entries(1, 1, 6)).ok());
        REQUIRE(log.truncate(LogIndex { 5 }).ok());
    }
    for (const auto before : { true, false }) {
        auto copy = disk.afterProcessDeath();
        auto store = FileLogStore { { .folder = "data" }, copy };
        auto log = ReplicaLog { store };
        auto heard = Heard {};
        if (before)
            log.setStoredHook(heard.hook());
        REQUIRE(log.load(*store.recover()).ok());
        if (!before)
            log.setStoredHook(heard.hook());
        CHECK(heard.stored.size() == 4);
        REQUIRE(log.truncate(LogIndex { 3 }).ok());
        CHECK(heard.stored.size() == 2);
    }
}

} // namespace
} // namespace figrack::coord
