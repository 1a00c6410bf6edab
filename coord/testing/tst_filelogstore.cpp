// FileLogStore against a plain reference: one script of operations, run with a
// crash before every call of the disk, with every call failing, with a second
// crash at every call of the recovery, and with every byte damaged.

#include "coord/filelogstore.h"

#include <algorithm>
#include <filesystem>
#include <functional>

#include <doctest/doctest.h>
#include <unistd.h>

#include "coord/testing/fakedisk.h"
#include "core/error.h"

namespace figrack::coord {
namespace {

using testing::FakeDisk;
using Survival = FakeDisk::Survival;
using Fault = FakeDisk::Fault;

constexpr auto survivals = { Survival::Nothing, Survival::Everything, Survival::Random };
const auto smallSegments = FileLogStoreOptions { "data", 300, 2 };

auto entry(std::uint64_t term, std::uint64_t index) -> Entry
{
    return { Term { term }, LogIndex { index }, EntryKind::Command,
             "entry-" + std::to_string(term) + "-" + std::to_string(index) };
}

auto entries(std::uint64_t term, std::uint64_t from, std::uint64_t to) -> std::vector<Entry>
{
    auto result = std::vector<Entry> {};
    for (auto index = from; index <= to; ++index)
        result.push_back(entry(term, index));
    return result;
}

auto snapshotAt(std::uint64_t index, std::uint64_t term) -> Snapshot
{
    const auto member = Member { NodeId { "a" }, Incarnation { 9 }, MemberKind::Voter,
                                 DomainId { "d" }, "127.0.0.1:1" };
    return { LogIndex { index }, Term { term }, Membership { { member } },
             "state-" + std::to_string(index) };
}

/// What a store must recover, as plain text so that two can be compared and printed.
auto describe(const Recovered &recovered) -> std::string
{
    auto text = std::string {};
    if (recovered.identity)
        text += recovered.identity->group + "/" + recovered.identity->node.value() + "/"
                + std::to_string(recovered.identity->incarnation.value());
    text += " vote=" + std::to_string(recovered.vote.term.value()) + ":"
            + recovered.vote.votedFor.value();
    if (recovered.snapshot)
        text += " snapshot=" + std::to_string(recovered.snapshot->lastIndex.value()) + ":"
                + std::to_string(recovered.snapshot->lastTerm.value()) + ":"
                + recovered.snapshot->state + ":"
                + std::to_string(recovered.snapshot->membership.members.size());
    for (const auto &stored : recovered.entries)
        text += " " + std::to_string(stored.index.value()) + "=" + stored.data;
    return text;
}

/// An operation, on the store and on the reference.
struct Step
{
    std::function<absl::Status(LogStore &)> run;
    std::function<void(Recovered &)> expect;
};

auto identityStep() -> Step
{
    const auto identity = Identity { "group", NodeId { "a" }, Incarnation { 77 } };
    return { [=](LogStore &store) { return store.saveIdentity(identity); },
             [=](Recovered &model) { model.identity = identity; } };
}

auto voteStep(std::uint64_t term, const std::string &node) -> Step
{
    const auto vote = Vote { Term { term }, NodeId { node } };
    return { [=](LogStore &store) { return store.saveVote(vote); },
             [=](Recovered &model) { model.vote = vote; } };
}

auto appendStep(std::uint64_t term, std::uint64_t from, std::uint64_t to) -> Step
{
    return { [=](LogStore &store) { return store.append(entries(term, from, to)); },
             [=](Recovered &model) {
                 for (const auto &added : entries(term, from, to))
                     model.entries.push_back(added);
             } };
}

auto truncateStep(std::uint64_t from) -> Step
{
    return { [=](LogStore &store) { return store.truncate(LogIndex { from }); },
             [=](Recovered &model) {
                 std::erase_if(model.entries,
                               [=](const Entry &stored) { return stored.index.value() >= from; });
             } };
}

/// @param inLog whether the log holds the snapshot's last entry: then what follows it stays
auto snapshotStep(std::uint64_t index, std::uint64_t term, bool inLog) -> Step
{
    return { [=](LogStore &store) { return store.saveSnapshot(snapshotAt(index, term)); },
             [=](Recovered &model) {
                 model.snapshot = snapshotAt(index, term);
                 std::erase_if(model.entries, [=](const Entry &stored) {
                     return !inLog || stored.index.value() <= index;
                 });
             } };
}

/// Every kind of operation, over several segments, with truncations across their borders.
auto script() -> std::vector<Step>
{
    return { identityStep(),
             voteStep(1, "a"),
             appendStep(1, 1, 1),
             appendStep(1, 2, 8),
             truncateStep(6),
             appendStep(2, 6, 7),
             voteStep(3, ""),
             appendStep(3, 8, 20),
             appendStep(3, 21, 30),
             truncateStep(12),
             truncateStep(40),
             appendStep(4, 12, 14),
             snapshotStep(9, 3, true),
             appendStep(4, 15, 30),
             voteStep(5, "b"),
             snapshotStep(25, 4, true),
             appendStep(5, 31, 40),
             snapshotStep(100, 6, false), // From a leader, past the end of the log.
             appendStep(6, 101, 103),
             snapshotStep(102, 7, false), // From a leader, over a log of another history.
             appendStep(7, 103, 110),
             snapshotStep(110, 7, true),
             truncateStep(111),
             appendStep(8, 111, 112) };
}

/// @return the reference after so many steps
auto modelAfter(const std::vector<Step> &steps, std::size_t count) -> Recovered
{
    auto model = Recovered {};
    for (auto i = std::size_t { 0 }; i < count; ++i)
        steps[i].expect(model);
    return model;
}

/// Runs steps until one fails. @return how many were acknowledged
auto runSteps(FakeDisk &disk, const std::vector<Step> &steps, std::size_t from = 0) -> std::size_t
{
    auto store = FileLogStore { smallSegments, disk };
    if (!store.recover().ok())
        return from;
    for (auto done = from; done < steps.size(); ++done) {
        if (!steps[done].run(store).ok())
            return done;
    }
    return steps.size();
}

/// @return what a new process recovers, or the error's name
auto recoverText(FakeDisk &disk) -> std::string
{
    auto store = FileLogStore { smallSegments, disk };
    const auto recovered = store.recover();
    return recovered.ok() ? describe(*recovered) : std::string { recovered.status().message() };
}

auto callsOfScript(const std::vector<Step> &steps) -> std::size_t
{
    auto disk = FakeDisk {};
    REQUIRE(runSteps(disk, steps) == steps.size());
    return disk.calls();
}

/// Acknowledged steps are all there; the one broken off is there whole or not at all.
auto fits(const std::string &found, const std::vector<Step> &steps, std::size_t done) -> bool
{
    if (found == describe(modelAfter(steps, done)))
        return true;
    return done < steps.size() && found == describe(modelAfter(steps, done + 1));
}

TEST_CASE("a store gives back what it was given")
{
    const auto steps = script();
    for (auto count = std::size_t { 0 }; count <= steps.size(); ++count) {
        auto disk = FakeDisk {};
        const auto some
                = std::vector<Step>(steps.begin(), steps.begin() + static_cast<long>(count));
        REQUIRE(runSteps(disk, some) == count);
        auto later = disk.afterProcessDeath();
        CHECK(recoverText(later) == describe(modelAfter(steps, count)));
    }
}

TEST_CASE("a crash before any call loses nothing acknowledged and invents nothing")
{
    const auto steps = script();
    const auto calls = callsOfScript(steps);
    auto random = Random { 1 };
    for (auto call = std::size_t { 1 }; call <= calls; ++call) {
        for (const auto survival : survivals) {
            auto disk = FakeDisk {};
            disk.crashAt(call);
            const auto done = runSteps(disk, steps);
            auto later = disk.afterPowerLoss(survival, random);
            const auto found = recoverText(later);
            CAPTURE(call);
            CHECK_MESSAGE(fits(found, steps, done), found);
            // The recovered store works on, from whichever of the two states it found.
            const auto next = found == describe(modelAfter(steps, done)) ? done : done + 1;
            auto restarted = later.afterProcessDeath();
            REQUIRE(runSteps(restarted, steps, next) == steps.size());
            auto last = restarted.afterPowerLoss(Survival::Nothing, random);
            CHECK(recoverText(last) == describe(modelAfter(steps, steps.size())));
        }
    }
}

TEST_CASE("a second crash at any call of the recovery changes nothing")
{
    const auto steps = script();
    const auto calls = callsOfScript(steps);
    auto random = Random { 2 };
    for (auto call = std::size_t { 1 }; call <= calls; ++call) {
        auto disk = FakeDisk {};
        disk.crashAt(call);
        const auto done = runSteps(disk, steps);
        const auto later = disk.afterPowerLoss(Survival::Random, random);
        auto whole = later.afterProcessDeath();
        const auto found = recoverText(whole);
        for (auto second = std::size_t { 1 }; second <= whole.calls(); ++second) {
            auto again = later.afterProcessDeath();
            again.crashAt(second);
            recoverText(again);
            auto last = again.afterPowerLoss(Survival::Random, random);
            CAPTURE(call);
            CAPTURE(second);
            CHECK(recoverText(last) == found);
            CHECK(fits(found, steps, done));
        }
    }
}

TEST_CASE("after a failed call every later write is refused with the same error")
{
    const auto steps = script();
    const auto calls = callsOfScript(steps);
    auto random = Random { 3 };
    for (const auto fault : { Fault::Failed, Fault::Full }) {
        for (auto call = std::size_t { 1 }; call <= calls; ++call) {
            auto disk = FakeDisk {};
            disk.failAt(call, fault);
            auto store = FileLogStore { smallSegments, disk };
            auto done = std::size_t { 0 };
            auto status = store.recover().status();
            while (status.ok())
                status = steps[done++].run(store);
            done -= done > 0 ? 1 : 0;
            const auto kind = fault == Fault::Full ? ErrorKind::DiskFull : ErrorKind::DiskFailed;
            CHECK(errorKind(status) == kind);
            const auto before = disk.calls();
            CHECK(store.saveVote({ Term { 99 }, NodeId { "x" } }) == status);
            CHECK(store.append(entries(9, 200, 201)) == status);
            CHECK(store.truncate(LogIndex { 150 }) == status);
            CHECK(store.saveSnapshot(snapshotAt(300, 9)) == status);
            CHECK(disk.calls() == before);
            auto later = disk.afterPowerLoss(Survival::Nothing, random);
            CHECK(fits(recoverText(later), steps, done));
        }
    }
}

TEST_CASE("what a recovery returned is durable, after a death or a failed sync before it")
{
    const auto steps = script();
    const auto calls = callsOfScript(steps);
    auto random = Random { 4 };
    for (const auto fault : { Fault::Failed, Fault::Crash }) {
        for (auto call = std::size_t { 1 }; call <= calls; ++call) {
            auto disk = FakeDisk {};
            disk.failAt(call, fault);
            runSteps(disk, steps);
            auto restarted = disk.afterProcessDeath();
            const auto found = recoverText(restarted);
            auto later = restarted.afterPowerLoss(Survival::Nothing, random);
            CAPTURE(call);
            CHECK(recoverText(later) == found);
        }
    }
}

/// Whether a damaged store may come up: only by cutting the last batch of the last segment.
auto mayCome(const std::string &found, const std::string &whole, const std::string &lessLastBatch)
        -> bool
{
    return found.find("corrupt") != std::string::npos || found == whole || found == lessLastBatch;
}

TEST_CASE("any damaged byte is refused, or is cut as the tail of the last batch")
{
    const auto steps = script();
    auto disk = FakeDisk {};
    REQUIRE(runSteps(disk, steps) == steps.size());
    const auto whole = describe(modelAfter(steps, steps.size()));
    const auto shorter = describe(modelAfter(steps, steps.size() - 1));
    auto cut = std::size_t { 0 };
    for (const auto &path : disk.files()) {
        auto size = std::size_t { 0 };
        disk.damage(path, [&](std::string &bytes) { size = bytes.size(); });
        for (auto offset = std::size_t { 0 }; offset < size; ++offset) {
            auto copy = disk.afterProcessDeath();
            copy.damage(path, [&](std::string &bytes) { bytes[offset] ^= 0x10; });
            const auto found = recoverText(copy);
            CAPTURE(path);
            CAPTURE(offset);
            CHECK_MESSAGE(mayCome(found, whole, shorter), found);
            CHECK(found != whole);
            cut += found == shorter ? 1 : 0;
        }
    }
    // Two entries and the frame around them, no more.
    CHECK(cut > 0);
    CHECK(cut < 140);
}

TEST_CASE("damage before the last batch of one segment is refused, never cut")
{
    const auto options = FileLogStoreOptions { "data", 1U << 20, 2 };
    auto disk = FakeDisk {};
    auto store = FileLogStore { options, disk };
    REQUIRE(store.recover().ok());
    REQUIRE(store.saveIdentity({ "group", NodeId { "a" }, Incarnation { 5 } }).ok());
    auto sizes = std::vector<std::size_t> {};
    const auto segment = std::string { "data/log-00000000000000000001" };
    for (auto index = std::uint64_t { 1 }; index <= 4; ++index) {
        disk.damage(segment, [&](std::string &bytes) { sizes.push_back(bytes.size()); });
        REQUIRE(store.append(entries(1, index, index)).ok());
    }
    for (auto offset = std::size_t { 0 }; offset < sizes.back(); ++offset) {
        auto copy = disk.afterProcessDeath();
        copy.damage(segment, [&](std::string &bytes) { bytes[offset] ^= 0x01; });
        auto damaged = FileLogStore { options, copy };
        CAPTURE(offset);
        CHECK(errorKind(damaged.recover().status()) == ErrorKind::Corrupt);
    }
}

TEST_CASE("a missing segment is refused, also when it held nothing but truncations")
{
    const auto options = FileLogStoreOptions { "data", 1, 2 }; // One batch a segment.
    auto disk = FakeDisk {};
    auto store = FileLogStore { options, disk };
    REQUIRE(store.recover().ok());
    REQUIRE(store.saveIdentity({ "group", NodeId { "a" }, Incarnation { 5 } }).ok());
    REQUIRE(store.append(entries(1, 1, 4)).ok());
    REQUIRE(store.truncate(LogIndex { 4 }).ok());
    REQUIRE(store.append(entries(2, 4, 5)).ok());
    REQUIRE(store.truncate(LogIndex { 5 }).ok());
    REQUIRE(store.truncate(LogIndex { 4 }).ok());
    for (const auto &path : disk.files()) {
        const auto isLast = path.ends_with("6");
        if (!path.starts_with("data/log-") || isLast || path.ends_with("1"))
            continue;
        auto copy = disk.afterProcessDeath();
        REQUIRE(copy.remove(path).ok());
        auto damaged = FileLogStore { options, copy };
        CAPTURE(path);
        CHECK(errorKind(damaged.recover().status()) == ErrorKind::Corrupt);
    }
}

TEST_CASE("a file that is missing, short or of another folder is refused")
{
    const auto steps = script();
    auto disk = FakeDisk {};
    REQUIRE(runSteps(disk, steps) == steps.size());
    const auto whole = describe(modelAfter(steps, steps.size()));
    const auto names = disk.files();
    const auto isSegment = [](const std::string &path) { return path.starts_with("data/log-"); };
    const auto firstSegment = *std::find_if(names.begin(), names.end(), isSegment);
    const auto lastSegment = *std::find_if(names.rbegin(), names.rend(), isSegment);
    for (const auto &path : names) {
        auto copy = disk.afterProcessDeath();
        REQUIRE(copy.remove(path).ok());
        CAPTURE(path);
        const auto found = recoverText(copy);
        // The lock tells nothing, and the first segment kept is covered by the snapshot.
        const auto mayGo = path == "data/lock" || path == firstSegment;
        // The loss of the whole last segment is the one that no other file tells of.
        if (path != lastSegment)
            CHECK_MESSAGE((found.find("corrupt") != std::string::npos || (mayGo && found == whole)),
                          found);
    }
    for (const auto *name : { "data/identity", "data/vote", "data/snapshot" }) {
        auto copy = disk.afterProcessDeath();
        copy.damage(name, [](std::string &bytes) { bytes.resize(bytes.size() - 1); });
        CHECK(recoverText(copy).find("corrupt") != std::string::npos);
    }
    auto other = FakeDisk {};
    auto store = FileLogStore { smallSegments, other };
    REQUIRE(store.recover().ok());
    REQUIRE(store.saveIdentity({ "group", NodeId { "b" }, Incarnation { 78 } }).ok());
    auto vote = std::string {};
    other.damage("data/vote", [&](std::string &bytes) { vote = bytes; });
    auto mixed = disk.afterProcessDeath();
    mixed.damage("data/vote", [&](std::string &bytes) { bytes = vote; });
    CHECK(recoverText(mixed).find("other_folder") != std::string::npos);
}

TEST_CASE("a folder has one process and one identity")
{
    auto disk = FakeDisk {};
    auto store = FileLogStore { smallSegments, disk };
    REQUIRE(store.recover().ok());
    const auto identity = Identity { "group", NodeId { "a" }, Incarnation { 5 } };
    REQUIRE(store.saveIdentity(identity).ok());
    CHECK(errorKind(store.saveIdentity(identity)) == ErrorKind::Conflict);
    CHECK(store.saveVote({ Term { 1 }, NodeId { "a" } }).ok());
    auto second = FileLogStore { smallSegments, disk };
    CHECK(errorKind(second.recover().status()) == ErrorKind::BadSettings);
}

TEST_CASE("the machine's file system keeps a store and its lock")
{
    auto pattern = (std::filesystem::temp_directory_path() / "figrack-XXXXXX").string();
    REQUIRE(::mkdtemp(pattern.data()) != nullptr);
    const auto options = FileLogStoreOptions { pattern + "/data", 300, 2 };
    const auto steps = script();
    {
        auto disk = PosixDisk {};
        auto store = FileLogStore { options, disk };
        REQUIRE(store.recover().ok());
        for (const auto &step : steps)
            REQUIRE(step.run(store).ok());
        CHECK(store.readSnapshot()->state == "state-110");
        auto otherDisk = PosixDisk {};
        auto other = FileLogStore { options, otherDisk };
        CHECK(errorKind(other.recover().status()) == ErrorKind::BadSettings);
    }
    auto disk = PosixDisk {};
    auto store = FileLogStore { options, disk };
    const auto recovered = store.recover();
    REQUIRE(recovered.ok());
    CHECK(describe(*recovered) == describe(modelAfter(steps, steps.size())));
    std::filesystem::remove_all(pattern);
}

} // namespace
} // namespace figrack::coord
