// Tests at which control a gateway watches endpoints, in virtual time.

#include <doctest/doctest.h>

#include "gateway/endpointwatch.h"

using namespace figrack;
using namespace figrack::gateway;
using namespace std::chrono_literals;

namespace {

const auto key = proto::WatchKey { ServiceId { "s" }, ModelId { "m" }, "" };
const auto otherKey = proto::WatchKey { ServiceId { "s" }, ModelId { "n" }, "" };

auto controlAt(int number) -> Address
{
    return { "10.0.0." + std::to_string(number), 1 };
}

auto updateOf(std::uint32_t endpoints, bool isCurrent = true) -> proto::ServingUpdate
{
    auto update = proto::ServingUpdate {};
    update.endpointsKnown = endpoints;
    update.isCurrent = isCurrent;
    return update;
}

/// Controls 1 and 2 are in the gateway's failure domain, 3 is elsewhere.
struct WatchRig
{
    ManualClock clock;
    EndpointWatch watch { {}, 5, DomainId { "here" }, clock };

    WatchRig()
    {
        auto members = std::vector<coord::Member> {};
        for (auto i = 1; i <= 3; ++i) {
            auto member = coord::Member {};
            member.address = controlAt(i).text();
            member.domain = DomainId { i == 3 ? "there" : "here" };
            members.push_back(member);
            watch.onOpen(controlAt(i), NodeId { "c" + std::to_string(i) });
        }
        watch.onControls(members);
    }
    auto giveUpWholeList() -> void { REQUIRE(watch.onUpdate(controlAt(1), updateOf(10'000))); }
    /// @return the control that is asked for keys now, which must be one
    auto asked() -> WatchAsk
    {
        auto asks = watch.next();
        std::erase_if(asks, [](const auto &ask) {
            return ask.request.isReset && ask.request.added.empty();
        });
        REQUIRE(asks.size() == 1);
        return asks.front();
    }
    auto answer(const Address &control, bool isCurrent = true) -> bool
    {
        return watch.onReply(control, { isCurrent, {} });
    }
    /// Watches the key. @return the control that answered
    auto begin() -> Address
    {
        giveUpWholeList();
        CHECK_FALSE(watch.want(key));
        const auto ask = asked();
        CHECK(ask.request.isReset);
        CHECK(answer(ask.control));
        CHECK(watch.want(key));
        return ask.control;
    }
};

} // namespace

TEST_CASE("As long as there are few endpoints, nothing is watched and every endpoint is known")
{
    auto rig = WatchRig {};
    CHECK_FALSE(rig.watch.onUpdate(controlAt(1), updateOf(400)));
    CHECK(rig.watch.want(key));
    CHECK(rig.watch.next().empty());
    CHECK(rig.watch.wholeUpTo() == 400);
    rig.giveUpWholeList();
    CHECK(rig.watch.wholeUpTo() == 0);
    CHECK_FALSE(rig.watch.onUpdate(controlAt(1), updateOf(10)));
    CHECK_FALSE(rig.watch.isWhole());
}

TEST_CASE("Keys are watched at a control of the same failure domain, new ones in addition")
{
    auto rig = WatchRig {};
    const auto control = rig.begin();
    CHECK(control != controlAt(3));
    CHECK_FALSE(rig.watch.want(otherKey));
    const auto ask = rig.asked();
    CHECK(ask.control == control);
    CHECK_FALSE(ask.request.isReset);
    CHECK(ask.request.added == std::vector { otherKey });
    CHECK(rig.watch.next().empty());
    CHECK_FALSE(rig.answer(control));
    CHECK(rig.watch.want(otherKey));
}

TEST_CASE("If the control is lost, another one is asked for all keys, which stay known meanwhile")
{
    auto rig = WatchRig {};
    const auto first = rig.begin();
    rig.watch.onClosed(first);
    CHECK(rig.watch.want(key));
    const auto ask = rig.asked();
    CHECK(ask.control != first);
    CHECK(ask.request.isReset);
    CHECK(ask.request.added == std::vector { key });
    CHECK(rig.answer(ask.control));
    // The lost control comes back with an empty memory. It is not asked without need.
    rig.watch.onOpen(first, NodeId { "c" });
    CHECK(rig.watch.next().empty());
    rig.watch.onClosed(ask.control);
    CHECK(rig.asked().request.isReset);
}

TEST_CASE(
        "A control that does not answer in time is replaced, and told so once another has answered")
{
    auto rig = WatchRig {};
    const auto first = rig.begin();
    CHECK_FALSE(rig.watch.want(otherKey));
    CHECK(rig.asked().control == first);
    rig.clock.advance(EndpointWatchOptions {}.answerTimeout);
    const auto ask = rig.asked();
    CHECK(ask.control != first);
    CHECK(ask.request.isReset);
    CHECK(ask.request.added.size() == 2);
    CHECK_FALSE(rig.answer(first)); // Too late.
    CHECK_FALSE(rig.watch.source());
    CHECK(rig.answer(ask.control));
    const auto asks = rig.watch.next();
    REQUIRE(asks.size() == 1);
    CHECK(asks.front().control == first);
    CHECK(asks.front().request.isReset);
    CHECK(asks.front().request.added.empty());
}

TEST_CASE("A control that lags behind its group is used only while no other is current")
{
    auto rig = WatchRig {};
    const auto first = rig.begin();
    static_cast<void>(rig.watch.onUpdate(first, updateOf(10'000, false)));
    CHECK(rig.watch.next().empty());
    rig.clock.advance(EndpointWatchOptions {}.retryCurrentEvery);
    const auto ask = rig.asked();
    CHECK(ask.control != first);
    CHECK(rig.watch.source() == first); // Its rows stay in use until the other one answers.
    CHECK(rig.answer(ask.control));
    CHECK(rig.watch.source() == ask.control);
}

TEST_CASE("Keys that are not used any more are given up, and the number of keys is bounded")
{
    auto rig = WatchRig {};
    const auto control = rig.begin();
    CHECK_FALSE(rig.watch.want(otherKey));
    CHECK(rig.asked().control == control);
    static_cast<void>(rig.answer(control));
    rig.clock.advance(EndpointWatchOptions {}.keepKeys);
    CHECK(rig.watch.want(key));
    const auto ask = rig.asked();
    CHECK(ask.request.removed == std::vector { otherKey });
    static_cast<void>(rig.answer(control));
    for (auto i = 0; i < 2000; ++i) {
        static_cast<void>(rig.watch.want({ ServiceId { "s" }, ModelId { std::to_string(i) }, "" }));
        rig.clock.advance(1ms);
    }
    CHECK(rig.asked().request.added.size() <= EndpointWatchOptions {}.maxKeys);
}

TEST_CASE("Without any control the rows that are known stay in use")
{
    auto rig = WatchRig {};
    static_cast<void>(rig.begin());
    for (auto i = 1; i <= 3; ++i)
        rig.watch.onClosed(controlAt(i));
    CHECK(rig.watch.next().empty());
    CHECK(rig.watch.want(key));
    CHECK_FALSE(rig.watch.want(otherKey));
    rig.watch.onOpen(controlAt(3), NodeId { "c3" });
    CHECK(rig.asked().request.added.size() == 2);
}
