// Endpoints that name the rate of requests that they accept from all gateways together.

#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "fleet/balancer.h"
#include "gateway/testing/rig.h"

using namespace figrack;
using namespace figrack::gateway;
using namespace figrack::gateway::testing;
using namespace std::chrono_literals;

namespace {

constexpr auto window = Duration { 4s };

/// @return the number of requests that an endpoint with a rate may get in a window
auto allowedInWindow(double perSecond) -> std::size_t
{
    constexpr auto overage = 1.5;
    constexpr auto slack = 5.0;
    const auto seconds = std::chrono::duration<double> { window }.count();
    return static_cast<std::size_t>(perSecond * seconds * overage + slack);
}

/// @param times in ascending order
/// @return the largest number of them in any window of the length
auto mostInWindow(const std::vector<Instant> &times, Duration length = window) -> std::size_t
{
    auto most = std::size_t { 0 };
    for (auto first = times.begin(); first != times.end(); ++first) {
        const auto end = std::lower_bound(first, times.end(), *first + length);
        most = std::max(most, static_cast<std::size_t>(std::distance(first, end)));
    }
    return most;
}

/// One balancer for several gateways, which call it directly.
class SharedBalancer
{
public:
    explicit SharedBalancer(const Clock &clock)
        : balancer_({}, clock, random_)
    { }

    auto linkFor(const std::string &gateway) -> BalancerLink
    {
        auto link = BalancerLink {};
        link.ask = [this, node = NodeId { gateway }](
                           const proto::PickRequest &request, Duration,
                           const BalancerLink::Done &done) -> std::optional<Address> {
            if (!isConnected)
                return std::nullopt;
            done(balancer_.pick(node, request));
            return Address { "127.0.0.1", 1 };
        };
        link.tell = [this, node = NodeId { gateway }](
                            const proto::PickRequest &request) -> std::optional<Address> {
            if (!isConnected)
                return std::nullopt;
            balancer_.pick(node, request);
            return Address { "127.0.0.1", 1 };
        };
        link.end = [this, node = NodeId { gateway }](const Address &, const proto::PickEnd &end) {
            balancer_.onEnd(node, end);
        };
        return link;
    }

    bool isConnected = true;

private:
    Random random_ { 1 };
    fleet::Balancer balancer_;
};

/// @return a handler that records when it is called, answers 200 and names a rate
auto namingRate(const std::string &rate, const Clock &clock, std::vector<Instant> &arrivals)
        -> http::Handler
{
    return [&clock, &arrivals, rate](const http::Request &request,
                                     http::Responder &responder) -> boost::asio::awaitable<void> {
        arrivals.push_back(clock.now());
        auto response = http::Response {};
        response.headers
                = { { "X-Id", std::string { request.header("X-Id") } }, { "X-Rate", rate } };
        static_cast<void>(co_await responder.send(std::move(response)));
    };
}

/// Runs both gateways until the call, made through the second one, is answered.
auto callThrough(Rig &rig, Rig &other, const std::string &id) -> Got
{
    const auto got = other.begin(Rig::request("/once/x", id));
    rig.runUntil([&] {
        other.context.restart();
        other.context.poll();
        return got->has_value();
    });
    return got->value_or(Got {});
}

/// Simulation, in virtual time, of gateways that use endpoints which all name the same rate.
class Play
{
public:
    Play(std::size_t gateways, std::size_t endpoints, double perSecond)
        : perSecond_(perSecond)
    {
        startBalancers();
        for (std::size_t i = 0; i < endpoints; ++i) {
            entries_.push_back(std::make_unique<EndpointEntry>());
            entries_.back()->row.id = EndpointId { "i-" + std::to_string(i) };
        }
        arrivals_.resize(endpoints);
        for (std::size_t i = 0; i < gateways; ++i) {
            pickers_.push_back(std::make_unique<Picker>(PickerOptions {}, linkFor(i), metrics_,
                                                        random_, clock_));
            pickers_.back()->setGateways(static_cast<std::uint32_t>(gateways));
        }
    }
    /// All balancers restart without any state.
    auto startBalancers() -> void
    {
        for (auto &balancer : balancers_)
            balancer = std::make_unique<SharedBalancer>(clock_);
    }
    /// Endpoints tell every gateway their rate, or that they accept any rate.
    auto name(bool isLimited) -> void
    {
        for (auto &entry : entries_) {
            entry->rate = NamedRate { isLimited ? std::optional { perSecond_ } : std::nullopt,
                                      clock_.now() };
        }
    }
    /// Every endpoint announces that it is cold for a time, and accepts the rate until then.
    auto makeCold(Duration duration) -> void
    {
        coldPerSecond_ = perSecond_;
        for (auto &entry : entries_) {
            entry->coldSince = clock_.now();
            entry->coldUntil = clock_.now() + duration;
        }
    }
    /// Cuts every second gateway off from the balancers, or heals the cut.
    auto cutEverySecond(bool isCut) -> void { isEverySecondCut_ = isCut; }
    auto setLeader(std::size_t balancer) -> void { asked_ = balancer; }
    auto setConnected(bool connected) -> void
    {
        for (auto &balancer : balancers_)
            balancer->isConnected = connected;
    }
    /// @param perSecond rate of requests from callers, over all gateways
    auto run(Duration duration, double perSecond) -> void
    {
        constexpr auto step = Duration { 5ms };
        const auto until = clock_.now() + duration;
        const auto inStep = perSecond * std::chrono::duration<double> { step }.count();
        while (clock_.now() < until) {
            clock_.advance(step);
            if (random_.chance(inStep))
                arrive();
        }
    }
    /// @return the largest number of requests that any endpoint got in a window
    auto most(Duration length = window) const -> std::size_t
    {
        auto result = std::size_t { 0 };
        for (const auto &times : arrivals_)
            result = std::max(result, mostInWindow(times, length));
        return result;
    }
    auto served() const -> std::size_t { return served_; }
    auto refused() const -> std::size_t { return refused_; }

private:
    auto linkFor(std::size_t gateway) -> BalancerLink
    {
        const auto name = "g" + std::to_string(gateway);
        auto link = BalancerLink {};
        link.ask = [this, name, gateway](proto::PickRequest request, Duration timeout,
                                         const BalancerLink::Done &done) -> std::optional<Address> {
            if (isEverySecondCut_ && gateway % 2 == 0)
                return std::nullopt;
            return balancers_[asked_]->linkFor(name).ask(std::move(request), timeout, done);
        };
        link.tell = [this, name](proto::PickRequest request) {
            return balancers_[asked_]->linkFor(name).tell(std::move(request));
        };
        link.end = [this, name](const Address &address, const proto::PickEnd &end) {
            balancers_[asked_]->linkFor(name).end(address, end);
        };
        return link;
    }

    auto arrive() -> void
    {
        auto able = std::vector<EndpointEntry *> {};
        for (auto &entry : entries_)
            able.push_back(entry.get());
        auto picked = Picked {};
        auto work = [&](Picker &picker) -> boost::asio::awaitable<void> {
            const auto criteria = Criteria {};
            auto terms = PickTerms {};
            terms.model = 1;
            terms.places = 96;
            terms.coldPerSecond = coldPerSecond_;
            terms.left = 5s;
            picked = co_await picker.pick(able, criteria, terms);
        };
        auto &picker = *pickers_[random_.below(pickers_.size())];
        boost::asio::co_spawn(context_, work(picker), boost::asio::detached);
        context_.restart();
        context_.run();
        if (picked.retryAfter) {
            CHECK(picked.blockedBy == BlockedBy::Rate);
            CHECK(*picked.retryAfter > Duration::zero());
            ++refused_;
            return;
        }
        ++served_;
        for (std::size_t i = 0; i < entries_.size(); ++i) {
            if (entries_[i]->row.id == picked.endpoint)
                arrivals_[i].push_back(clock_.now());
        }
    }

    double perSecond_;
    double coldPerSecond_ = 0;
    bool isEverySecondCut_ = false;
    ManualClock clock_;
    Random random_ { 5 };
    Metrics metrics_;
    boost::asio::io_context context_;
    std::array<std::unique_ptr<SharedBalancer>, 2> balancers_;
    std::size_t asked_ = 0;
    std::vector<std::unique_ptr<EndpointEntry>> entries_;
    std::vector<std::unique_ptr<Picker>> pickers_;
    std::vector<std::vector<Instant>> arrivals_;
    std::size_t served_ = 0;
    std::size_t refused_ = 0;
};

} // namespace

TEST_CASE("An endpoint gets no more than the rate it named, summed over the gateways")
{
    constexpr auto calls = 60;
    auto balancer = SharedBalancer { systemClock() };
    auto one = Rig { {}, balancer.linkFor("g1") };
    auto other = Rig { {}, balancer.linkFor("g2") };
    auto arrivals = std::vector<Instant> {};
    auto &endpoint = one.addEndpoint("i-1");
    endpoint.handler = namingRate("1", one.clock, arrivals);
    other.tell("i-1", endpoint.port, 1, catalogue::EndpointState::Ready);
    SUBCASE("one balancer counts for both gateways") { }
    SUBCASE("no balancer is available")
    {
        balancer.isConnected = false;
    }
    auto refused = 0;
    for (auto i = 0; i < calls; ++i) {
        const auto id = std::to_string(i);
        for (const auto &got :
             { one.call(Rig::request("/once/x", "a" + id)), callThrough(one, other, "b" + id) }) {
            if (got.status == 200)
                continue;
            ++refused;
            CHECK(got.status == 503);
            CHECK_FALSE(http::findHeader(got.headers, "X-Come-Back").empty());
        }
    }
    CHECK(mostInWindow(arrivals) <= allowedInWindow(1));
    CHECK(refused + arrivals.size() == 2 * calls);
}

TEST_CASE("A rate is used evenly, and not exceeded by any number of gateways")
{
    for (const auto gateways : { 1U, 7U, 76U, 300U }) {
        for (const auto rate : { 0.25, 1.0, 8.0 }) {
            CAPTURE(gateways);
            CAPTURE(rate);
            auto play = Play { gateways, 1, rate };
            play.name(true);
            play.run(60s, 20);
            CHECK(play.most() <= allowedInWindow(rate));
            CHECK(static_cast<double>(play.served()) >= rate * 60 * 0.9);
        }
    }
}

TEST_CASE("A rate holds while balancers are lost, restart or replace one another")
{
    for (const auto gateways : { 7U, 76U, 300U }) {
        for (const auto rate : { 1.0, 8.0 }) {
            CAPTURE(gateways);
            CAPTURE(rate);
            auto play = Play { gateways, 1, rate };
            play.name(true);
            for (auto i = 0U; i < 6; ++i) {
                play.run(5s, 40);
                play.setLeader(i % 2);
                play.run(5s, 40);
                play.startBalancers();
                play.run(5s, 40);
                play.setConnected(false);
                play.run(9s, 40);
                play.setConnected(true);
            }
            CHECK(play.most() <= allowedInWindow(rate));
        }
    }
}

TEST_CASE("Requests beyond the rate of one endpoint go to others, and return once it has no rate")
{
    auto play = Play { 7, 2, 5 };
    play.name(true);
    play.run(20s, 9);
    CHECK(play.served() > 5 * 20 * 1.5); // A single endpoint accepts 5 per second.
    CHECK(play.most() <= allowedInWindow(5));
    play.name(false);
    const auto refused = play.refused();
    play.run(20s, 40);
    CHECK(play.refused() == refused);
}

TEST_CASE("A cold endpoint gets no more than its rate in any second, and all requests once it is "
          "warm")
{
    constexpr auto coldPerSecond = 6.5;
    constexpr auto allowedInSecond = std::size_t { 14 }; // 1.5 times the rate, and 5 more.
    constexpr auto askedPerSecond = 120.0;
    for (const auto gateways : { 1U, 30U, 300U }) {
        for (const auto isCut : { false, true }) {
            CAPTURE(gateways);
            CAPTURE(isCut);
            auto play = Play { gateways, 1, coldPerSecond };
            play.makeCold(10s);
            play.run(3s, askedPerSecond);
            play.cutEverySecond(isCut);
            play.run(3s, askedPerSecond);
            play.setLeader(1);
            play.run(4s, askedPerSecond);
            play.cutEverySecond(false);
            CHECK(play.most(1s) <= allowedInSecond);
            CHECK(static_cast<double>(play.served()) >= coldPerSecond * 6 * 0.9);
            const auto refused = play.refused();
            play.run(5s, askedPerSecond);
            CHECK(play.refused() == refused);
        }
    }
}

TEST_CASE("A cold endpoint's lower rate applies, and ends with an announcement that it is warm")
{
    auto clock = ManualClock {};
    auto view = FleetView { {}, clock };
    auto row = catalogue::EndpointRow {};
    row.id = EndpointId { "i-1" };
    const auto announce = [&](std::uint32_t coldMs) -> EndpointEntry & {
        ++row.sequence;
        row.coldMs = coldMs;
        auto update = proto::ServingUpdate {};
        update.endpoints = { row };
        view.apply(update);
        return *view.find(row.id);
    };
    CHECK_FALSE(announce(0).rateAt(clock.now(), 5));
    announce(3000);
    clock.advance(1s);
    auto &entry = announce(2000);
    CHECK(entry.rateAt(clock.now(), 5)->perSecond == 5);
    CHECK_FALSE(entry.rateAt(clock.now(), 0)); // Its service states no rate.
    entry.rate = NamedRate { 2.0, clock.now() };
    CHECK(entry.rateAt(clock.now(), 5)->perSecond == 2);
    entry.rate.reset();
    announce(0);
    CHECK_FALSE(entry.rateAt(clock.now(), 5)->perSecond);
    announce(1000);
    clock.advance(1s);
    CHECK_FALSE(entry.rateAt(clock.now(), 5)->perSecond);
}

TEST_CASE("Without a balancer, an endpoint without a rate is preferred to one with a rate")
{
    auto rig = Rig {};
    auto arrivals = std::vector<Instant> {};
    rig.addEndpoint("i-1").handler = namingRate("1", rig.clock, arrivals);
    rig.addEndpoint("i-2").handler = answering("ok");
    for (auto i = 0; i < 40; ++i)
        CHECK(rig.call(Rig::request("/once/x", std::to_string(i))).status == 200);
    CHECK(arrivals.size() == 1);
}

TEST_CASE("A rate ends with an answer without a rate to a request that was sent after it was named")
{
    auto clock = ManualClock {};
    auto view = FleetView { {}, clock };
    const auto id = EndpointId { "i-1" };
    announce(view, id);
    auto limited = catalogue::EndpointNotice {};
    limited.ratePerSecond = 2;
    const auto sentBefore = clock.now();
    clock.advance(1s);
    view.onNotice(id, limited, sentBefore);
    REQUIRE(view.find(id)->isRateLimited());
    view.onNotice(id, {}, sentBefore);
    CHECK(view.find(id)->isRateLimited());
    auto malformed = catalogue::EndpointNotice {};
    malformed.isRateMalformed = true;
    view.onNotice(id, malformed, clock.now());
    CHECK(view.find(id)->isRateLimited());
    view.onNotice(id, {}, clock.now());
    CHECK_FALSE(view.find(id)->isRateLimited());
}

TEST_CASE("Requests beyond a rate count as demand for another replica")
{
    auto rig = Rig {};
    rig.forwarder.setCatalogue(testCatalogue(true));
    auto arrivals = std::vector<Instant> {};
    rig.addEndpoint("i-1", { "m0" }).handler = namingRate("0", rig.clock, arrivals);
    auto refused = std::uint32_t { 0 };
    for (auto i = 0; i < 10; ++i) {
        auto request = Rig::request("/once/x", std::to_string(i));
        request.headers.push_back({ "X-Model", "m0" });
        refused += rig.call(std::move(request)).status == 503 ? 1 : 0;
    }
    CHECK(refused > 0);
    const auto report = rig.demand.take();
    REQUIRE(report.rows.size() == 1);
    CHECK(report.rows.front().refused == refused);
}

TEST_CASE("A gateway's part of a rate does not grow while others that used theirs are not counted")
{
    auto clock = ManualClock {};
    auto random = Random { 1 };
    auto rates = LocalRates { clock, random };
    const auto takenIn = [&](Duration duration) {
        auto taken = 0;
        for (auto passed = Duration {}; passed < duration; passed += 10ms) {
            clock.advance(10ms);
            taken += rates.take(EndpointId { "i-1" }, 80) ? 0 : 1;
        }
        return taken;
    };
    rates.setGateways(8);
    takenIn(1s);
    CHECK(takenIn(2s) <= 11); // An eighth of half of the rate.
    rates.setGateways(2);
    CHECK(takenIn(2s) <= 11);
    clock.advance(5s);
    rates.setGateways(2);
    takenIn(1s);
    CHECK(takenIn(2s) >= 35);
}
