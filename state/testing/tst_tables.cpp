// The tables' rules, one by one.

#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "state/testing/samples.h"

namespace figrack::state {
namespace {

using namespace testing;

TEST_CASE("a command survives its encoding and bad bytes are malformed")
{
    const auto command = Command { change("c1", 0, PutModel { model("m", 100) }) };
    const auto bytes = encodeCommand(command);
    const auto back = decodeCommand(bytes);
    REQUIRE(back.ok());
    CHECK(encodeCommand(*back) == bytes);
    CHECK(errorKind(decodeCommand(bytes.substr(0, bytes.size() - 1)).status())
          == ErrorKind::Malformed);
    CHECK(errorKind(decodeCommand(bytes + "x").status()) == ErrorKind::Malformed);
    CHECK(errorKind(decodeCommand("").status()) == ErrorKind::Malformed);
}

TEST_CASE("of two changes with equal numbers one wins and the other is shown the winner")
{
    auto world = World {};
    CHECK(world.apply(change("first", 0, PutClass { classSpec("urgent") })).status.ok());
    const auto lost = world.apply(change("second", 0, PutClass { classSpec("draft") }));
    CHECK(errorKind(lost.status) == ErrorKind::Conflict);
    CHECK(errorArgument(lost.status).find("winner=first author=ann") != std::string_view::npos);
    CHECK(world.tables.configuration().revision == Revision { 1 });
    CHECK(world.tables.configuration().classes.size() == 1);
}

TEST_CASE("a resent change gets its first answer, also after a snapshot")
{
    auto world = World {};
    world.apply(change("a", 0, PutClass { classSpec("urgent") }));
    world.apply(change("b", 1, PutClass { classSpec("draft") }));
    world.apply(change("late", 1, PutClass { classSpec("other") }));
    world.reload();
    const auto again = world.apply(change("a", 0, PutClass { classSpec("urgent") }));
    CHECK(again.status.ok());
    CHECK(again.change->revision == Revision { 1 });
    const auto lostAgain = world.apply(change("late", 2, PutClass { classSpec("other") }));
    CHECK(errorKind(lostAgain.status) == ErrorKind::Conflict);
    const auto reused = world.apply(change("a", 2, PutClass { classSpec("else") }));
    CHECK(errorKind(reused.status) == ErrorKind::KeyReused);
    CHECK(world.tables.configuration().revision == Revision { 2 });
}

TEST_CASE("results of changes are bounded and an old change still cannot win twice")
{
    auto world = World {};
    for (auto i = std::uint64_t { 0 }; i < maxChangeResults + 1; ++i)
        world.apply(change("c" + std::to_string(i), i, PutClass { classSpec("urgent", true) }));
    CHECK(world.tables.findChange(ChangeId { "c0" }) == nullptr);
    CHECK(world.tables.findChange(ChangeId { "c1" }) != nullptr);
    const auto again = world.apply(change("c0", 0, PutClass { classSpec("urgent", true) }));
    CHECK(errorKind(again.status) == ErrorKind::Conflict);
}

TEST_CASE("exactly one class is the default")
{
    auto world = World {};
    world.apply(change("a", 0, PutClass { classSpec("urgent") }));
    CHECK(world.tables.configuration().defaultClass()->id == ClassId { "urgent" });
    world.apply(change("b", 1, PutClass { classSpec("draft", true) }));
    CHECK(world.tables.configuration().defaultClass()->id == ClassId { "draft" });
    CHECK_FALSE(world.tables.configuration().classes.at(ClassId { "urgent" }).isDefault);
    CHECK(errorKind(world.apply(change("c", 2, DeleteClass { ClassId { "draft" } })).status)
          == ErrorKind::InUse);
    CHECK(errorKind(world.apply(change("d", 2, PutClass { classSpec("draft") })).status)
          == ErrorKind::InUse);
    CHECK(world.apply(change("e", 2, DeleteClass { ClassId { "urgent" } })).status.ok());
}

TEST_CASE("references between models are checked")
{
    auto world = World {};
    const auto adapter = PutModel { model("adapter", 10, "base") };
    CHECK(errorKind(world.apply(change("a", 0, adapter)).status) == ErrorKind::UnknownModel);
    world.apply(change("b", 0, PutModel { model("base", 100) }));
    CHECK(world.apply(change("c", 1, adapter)).status.ok());
    CHECK(world.tables.replicaMemoryMb(ModelId { "adapter" }) == 10);
    CHECK(errorKind(world.apply(change("d", 2, DeleteModel { ModelId { "base" } })).status)
          == ErrorKind::InUse);
    CHECK(errorKind(world.apply(change("e", 2, PutModel { model("x", 5, "adapter") })).status)
          == ErrorKind::BadRequest);
    CHECK(world.apply(change("f", 2, DeleteModel { ModelId { "adapter" } })).status.ok());
    CHECK(world.apply(change("g", 3, DeleteModel { ModelId { "base" } })).status.ok());
}

TEST_CASE("a load is refused where it cannot be and leaves the tables unchanged")
{
    auto world = World::withModels();
    const auto refusal = [&world](OrderIntent intent) {
        const auto before = world.contents();
        const auto kind = errorKind(world.apply(std::move(intent)).status);
        CHECK(world.contents() == before);
        return kind;
    };
    CHECK(refusal(load("nowhere", "m1", 1)) == ErrorKind::UnknownEndpoint);
    CHECK(refusal(load("e1", "none", 1)) == ErrorKind::UnknownModel);
    auto other = load("e1", "m1", 1);
    other.incarnation = Incarnation { 9 };
    CHECK(refusal(other) == ErrorKind::Conflict);
    other = load("e1", "m1", 1);
    other.version = "2";
    CHECK(refusal(other) == ErrorKind::Conflict);
    world.apply(DrainEndpoint { EndpointId { "e1" }, true, 0 });
    CHECK(refusal(load("e1", "m1", 1)) == ErrorKind::NoCapacity);
    world.apply(DrainEndpoint { EndpointId { "e1" }, false, 0 });
    world.apply(SuspectEndpoint { EndpointId { "e1" }, Incarnation { 1 }, true, 0 });
    CHECK(refusal(load("e1", "m1", 1)) == ErrorKind::NoCapacity);
    world.apply(SuspectEndpoint { EndpointId { "e1" }, Incarnation { 1 }, false, 0 });
    CHECK(world.apply(load("e1", "m1", 2)).status.ok());
    CHECK(refusal(load("e1", "m1", 2)) == ErrorKind::Conflict);
    CHECK(refusal(load("e1", "m2", 2)) == ErrorKind::NoCapacity);
    CHECK(refusal(load("e2", "m2", 1)) == ErrorKind::StaleFence);
    CHECK(refusal(unload("e1", "m1", 2)) == ErrorKind::Conflict);
}

TEST_CASE("memory is held from the intent to load till the outcome that frees it")
{
    auto world = World::withModels();
    const auto endpoint = EndpointId { "e1" };
    world.apply(load("e1", "m1", 1));
    const auto order = OrderId { world.index };
    CHECK(world.tables.memoryHeldMb(endpoint) == 60);
    CHECK(world.apply(OrderOutcome { order, OrderResult::Loaded, 50 }).status.ok());
    CHECK(world.replica("m1", "e1").state == ReplicaState::Ready);
    CHECK(world.apply(unload("e1", "m1", 1)).status.ok());
    CHECK(world.tables.memoryHeldMb(endpoint) == 60);
    CHECK(errorKind(world.apply(OrderOutcome { order, OrderResult::Unloaded, 60 }).status)
          == ErrorKind::Conflict);
    const auto second = world.replica("m1", "e1").order;
    CHECK(world.apply(OrderOutcome { second, OrderResult::Unloaded, 70 }).status.ok());
    CHECK(world.tables.memoryHeldMb(endpoint) == 0);
    CHECK(world.apply(load("e1", "m1", 1)).status.ok());
    CHECK(world.apply(OrderOutcome { OrderId { world.index }, OrderResult::Failed, 0 })
                  .status.ok());
    CHECK(world.tables.replicas().empty());
}

TEST_CASE("an adapter stands on a ready replica of its base and keeps it there")
{
    auto world = World::withModels();
    world.apply(change("a", 2, PutModel { model("adapter", 10, "m1") }));
    CHECK(errorKind(world.apply(load("e1", "adapter", 1)).status) == ErrorKind::Conflict);
    world.apply(load("e1", "m1", 1));
    CHECK(errorKind(world.apply(load("e1", "adapter", 1)).status) == ErrorKind::Conflict);
    world.apply(OrderOutcome { world.replica("m1", "e1").order, OrderResult::Loaded, 0 });
    CHECK(world.apply(load("e1", "adapter", 1)).status.ok());
    CHECK(world.tables.memoryHeldMb(EndpointId { "e1" }) == 70);
    CHECK(errorKind(world.apply(unload("e1", "m1", 1)).status) == ErrorKind::InUse);
    CHECK(errorKind(world.apply(change("b", 3, PutModel { model("adapter", 10, "m2") })).status)
          == ErrorKind::InUse);
    world.apply(OrderOutcome { world.replica("adapter", "e1").order, OrderResult::Refused, 0 });
    CHECK(world.apply(unload("e1", "m1", 1)).status.ok());
}

TEST_CASE("a later leader adopts a load in doubt under its own fence")
{
    auto world = World::withModels();
    world.apply(load("e1", "m1", 1));
    const auto first = OrderId { world.index };
    CHECK(world.apply(load("e2", "m1", 2)).status.ok());
    CHECK(world.replica("m1", "e1").inDoubt);
    CHECK(world.apply(load("e1", "m1", 2)).status.ok());
    CHECK_FALSE(world.replica("m1", "e1").inDoubt);
    CHECK(world.tables.memoryHeldMb(EndpointId { "e1" }) == 60);
    CHECK(errorKind(world.apply(OrderOutcome { first, OrderResult::Loaded, 0 }).status)
          == ErrorKind::Conflict);
}

TEST_CASE("an endpoint's new life drops what was loaded and keeps loads under way in doubt")
{
    auto world = World::withModels();
    world.apply(load("big", "m1", 1));
    world.apply(OrderOutcome { OrderId { world.index }, OrderResult::Loaded, 0 });
    world.apply(load("big", "m2", 1));
    auto spec = engine("big", 2, 1000);
    CHECK(world.apply(RegisterEndpoint { spec, 0 }).status.ok());
    CHECK(world.tables.replicas().size() == 1);
    CHECK(world.replica("m2", "big").inDoubt);
    spec.incarnation = Incarnation { 1 };
    CHECK(errorKind(world.apply(RegisterEndpoint { spec, 0 }).status) == ErrorKind::Conflict);
}

TEST_CASE("an announcement takes no other's address and displaces no live endpoint")
{
    auto world = World::withModels();
    auto thief = engine("thief", 1, 100);
    thief.address = engine("e1", 1, 100).address;
    CHECK(errorKind(world.apply(RegisterEndpoint { thief, 0 }).status) == ErrorKind::Conflict);
    auto moved = engine("e1", 2, 100);
    moved.address = "10.0.0.9:1";
    CHECK(errorKind(world.apply(RegisterEndpoint { moved, 0 }).status) == ErrorKind::Conflict);
    CHECK(errorKind(world.apply(ForgetEndpoint { moved.id, Incarnation { 1 } }).status)
          == ErrorKind::InUse);
    world.apply(SuspectEndpoint { moved.id, Incarnation { 1 }, true, 0 });
    CHECK(world.apply(RegisterEndpoint { moved, 0 }).status.ok());
    CHECK(world.apply(RegisterEndpoint { thief, 0 }).status.ok());
}

TEST_CASE("a claim is given once and its outcome is kept until it expires")
{
    auto world = World {};
    world.join("r1", 1);
    world.join("r2", 1);
    CHECK(world.apply(claim("k", 7, "r1", 100, 0)).status.ok());
    CHECK(errorKind(world.apply(claim("k", 7, "r2", 100, 1)).status) == ErrorKind::InProgress);
    CHECK(errorKind(world.apply(claim("k", 8, "r2", 100, 1)).status) == ErrorKind::KeyReused);
    CHECK(errorKind(world.apply(end("k", "r2", ClaimState::Done, 5)).status)
          == ErrorKind::Conflict);
    CHECK(world.apply(end("k", "r1", ClaimState::Done, 5, "plaque")).status.ok());
    CHECK(errorKind(world.apply(end("k", "r1", ClaimState::NotRun, 6)).status)
          == ErrorKind::Conflict);
    const auto stored = world.apply(claim("k", 7, "r2", 200, 9));
    CHECK(stored.claim->state == ClaimState::Done);
    CHECK(stored.claim->ended.answer == "plaque");
    world.apply(ExpireClaims { 5, 9 });
    CHECK(world.tables.claims().size() == 1);
    world.apply(ExpireClaims { 6, 9 });
    CHECK(world.tables.claims().empty());
}

TEST_CASE("a claim whose router died or whose deadline passed is unknown, never given again")
{
    auto world = World {};
    world.join("r1", 1);
    world.join("r2", 1);
    world.apply(claim("a", 1, "r1", 100, 0));
    world.apply(claim("b", 1, "r2", 100, 0));
    world.join("r1", 2);
    CHECK(world.tables.claims().at(IdempotencyKey { "a" }).state == ClaimState::Unknown);
    CHECK(errorKind(world.apply(claim("b", 1, "r1", 200, 101, 2)).status)
          == ErrorKind::OutcomeUnknown);
    CHECK(errorKind(world.apply(end("b", "r2", ClaimState::NotRun, 102)).status)
          == ErrorKind::Conflict);
    CHECK(world.apply(end("b", "r2", ClaimState::Done, 102, "van")).status.ok());
    CHECK(errorKind(world.apply(claim("c", 1, "r1", 9, 0)).status) == ErrorKind::UnknownNode);
}

TEST_CASE("a claim that was not run may be taken anew, for the same body")
{
    auto world = World {};
    world.join("r1", 1);
    world.apply(claim("k", 1, "r1", 100, 0));
    world.apply(end("k", "r1", ClaimState::NotRun, 5));
    CHECK(errorKind(world.apply(claim("k", 2, "r1", 100, 6)).status) == ErrorKind::KeyReused);
    const auto again = world.apply(claim("k", 1, "r1", 100, 6));
    CHECK(again.status.ok());
    CHECK(again.claim->state == ClaimState::Taken);
}

TEST_CASE("an answer over the bound is not stored")
{
    auto world = World {};
    world.join("r1", 1);
    world.apply(claim("k", 1, "r1", 100, 0));
    world.apply(end("k", "r1", ClaimState::Done, 5, std::string(maxStoredAnswerBytes + 1, 'x')));
    const auto &row = world.tables.claims().at(IdempotencyKey { "k" });
    CHECK_FALSE(row.answerStored);
    CHECK(row.ended.answer.empty());
}

} // namespace
} // namespace figrack::state
