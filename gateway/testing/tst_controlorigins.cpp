// Tests which controls are told of streams and asked for them, without a network.

#include <doctest/doctest.h>

#include <deque>
#include <set>

#include "gateway/controlorigins.h"

using namespace figrack;
using namespace figrack::gateway;
using namespace std::chrono_literals;

namespace {

struct ControlsRig
{
    struct Call
    {
        NodeId control;
        ControlOriginsParts::OnReply onReply;
    };
    boost::asio::io_context context { 1 };
    Random random { 1 };
    Metrics metrics;
    std::vector<NodeId> known;
    std::set<NodeId> down;
    std::vector<std::pair<NodeId, proto::BegunStreams>> pushed;
    std::deque<Call> calls;
    ControlOrigins origins {
        { .batchEvery = 1ms, .maxWaiting = 2000 },
        { context, random, metrics, [this] { return known; }, [this] { return down.empty(); },
          [] { return std::size_t { 4 }; },
          [this](const NodeId &control, proto::Payload message) {
              pushed.emplace_back(control, std::get<proto::BegunStreams>(std::move(message)));
              return !down.contains(control);
          },
          [this](const NodeId &control, const proto::Payload &, Duration, auto onReply) {
              if (down.contains(control))
                  return false;
              calls.push_back({ control, std::move(onReply) });
              return true;
          } }
    };

    ControlsRig()
    {
        for (auto i = 0; i < 5; ++i)
            known.emplace_back("n" + std::to_string(i));
    }
    static auto streamOf(int number) -> proto::BegunStream
    {
        return { { ServiceId { "s" }, std::to_string(number) }, { "v1", AccountId {} } };
    }
    auto flush() -> void
    {
        context.restart();
        context.run_for(50ms);
    }
    auto keepersOf(int number) -> std::set<NodeId>
    {
        pushed.clear();
        origins.tell(streamOf(number));
        flush();
        auto result = std::set<NodeId> {};
        for (const auto &[control, streams] : pushed)
            result.insert(control);
        return result;
    }
    auto ask(int number) -> void
    {
        answers.clear();
        origins.ask(streamOf(number).key, 1s,
                    [this](const auto &answer) { answers.push_back(answer); });
    }
    std::vector<ControlAnswer> answers;
};

} // namespace

TEST_CASE("A stream is told to two controls, and those are asked for it")
{
    auto rig = ControlsRig {};
    const auto keepers = rig.keepersOf(7);
    REQUIRE(keepers.size() == 2);
    rig.ask(7);
    REQUIRE(rig.calls.size() == 3);
    auto asked = std::set<NodeId> {};
    for (const auto &call : rig.calls)
        asked.insert(call.control);
    for (const auto &keeper : keepers)
        CHECK(asked.contains(keeper));
}

TEST_CASE("The first origin is the answer, and none if every control answers without or not at all")
{
    auto rig = ControlsRig {};
    auto known = proto::StreamOriginReply {};
    known.origin = ControlsRig::streamOf(1).origin;
    rig.ask(1);
    SUBCASE("one knows")
    {
        rig.calls[0].onReply(proto::Payload { proto::StreamOriginReply {} });
        CHECK(rig.answers.empty());
        rig.calls[2].onReply(proto::Payload { known });
        REQUIRE(rig.answers.size() == 1);
        CHECK(rig.answers[0].origin == known.origin);
        rig.calls[1].onReply(proto::Payload { known });
        CHECK(rig.answers.size() == 1);
    }
    SUBCASE("none knows")
    {
        rig.calls[0].onReply(proto::Payload { proto::StreamOriginReply {} });
        rig.calls[1].onReply(proto::Payload { proto::StreamOriginReply {} });
        rig.calls[2].onReply(proto::Payload { proto::StreamOriginReply {} });
        REQUIRE(rig.answers.size() == 1);
        CHECK_FALSE(rig.answers[0].origin.has_value());
        CHECK_FALSE(rig.answers[0].mayBeKnown);
    }
    SUBCASE("one doesn't answer in time, and may know")
    {
        rig.calls[0].onReply(proto::Payload { proto::StreamOriginReply {} });
        rig.calls[1].onReply(absl::DeadlineExceededError("late"));
        rig.calls[2].onReply(proto::Payload { proto::StreamOriginReply {} });
        REQUIRE(rig.answers.size() == 1);
        CHECK_FALSE(rig.answers[0].origin.has_value());
        CHECK(rig.answers[0].mayBeKnown);
    }
}

// Guards against a single control that stood still and vouches for what it knew before.
TEST_CASE("Versions are complete if two of the controls vouch for it, and are those of all")
{
    auto rig = ControlsRig {};
    const auto answer = [](std::vector<std::string> versions, bool isComplete) {
        return proto::Payload { proto::StreamOriginReply { {}, std::move(versions), isComplete } };
    };
    rig.ask(1);
    SUBCASE("one vouches")
    {
        rig.calls[0].onReply(answer({ "v1" }, true));
        rig.calls[1].onReply(answer({ "v1" }, false));
        rig.calls[2].onReply(absl::DeadlineExceededError("late"));
        CHECK_FALSE(rig.answers.at(0).isComplete);
    }
    SUBCASE("two vouch, and the third one knows another version")
    {
        rig.calls[0].onReply(answer({ "v1" }, true));
        rig.calls[1].onReply(answer({ "v1" }, true));
        rig.calls[2].onReply(answer({ "v2" }, false));
        CHECK(rig.answers.at(0).isComplete);
        CHECK(rig.answers.at(0).versions == std::set<std::string> { "v1", "v2" });
    }
    SUBCASE("the only one there is vouches")
    {
        rig.calls.clear();
        rig.known = { NodeId { "n1" } };
        rig.ask(1);
        rig.calls.at(0).onReply(answer({ "v1" }, true));
        CHECK(rig.answers.at(0).isComplete);
    }
}

TEST_CASE("Without a control that is connected the question ends at once")
{
    auto rig = ControlsRig {};
    SUBCASE("none is known")
    {
        rig.known.clear();
    }
    SUBCASE("all are down")
    {
        rig.down = { rig.known.begin(), rig.known.end() };
    }
    rig.ask(1);
    REQUIRE(rig.answers.size() == 1);
    CHECK_FALSE(rig.answers[0].origin.has_value());
    CHECK(rig.answers[0].mayBeKnown == !rig.down.empty());
    rig.origins.tell(ControlsRig::streamOf(1));
    rig.flush();
}

TEST_CASE(
        "Streams are told in few messages of bounded size, and those beyond the bound are dropped")
{
    auto rig = ControlsRig {};
    rig.known = { NodeId { "n1" } };
    for (auto i = 0; i < 3000; ++i)
        rig.origins.tell(ControlsRig::streamOf(i));
    rig.flush();
    REQUIRE(rig.pushed.size() == 4);
    auto told = std::size_t { 0 };
    for (const auto &[control, begun] : rig.pushed) {
        CHECK(begun.streams.size() <= proto::maxBegunStreams);
        told += begun.streams.size();
    }
    CHECK(told == 2000);
    rig.pushed.clear();
    rig.origins.tell(ControlsRig::streamOf(3000));
    rig.flush();
    CHECK(rig.pushed.size() == 1);
}
