// Endpoints that name the rate of requests that they take from all gateways together.

#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

#include "fleet/balancer.h"
#include "gateway/testing/rig.h"

using namespace figrack;
using namespace figrack::gateway;
using namespace figrack::gateway::testing;
using namespace std::chrono_literals;

namespace {

constexpr auto window = Duration { 4s };

/// @return what an endpoint that named a rate may get in a window
auto allowedInWindow(double perSecond) -> std::size_t
{
    constexpr auto overage = 1.5;
    constexpr auto slack = 5.0;
    const auto seconds = std::chrono::duration<double> { window }.count();
    return static_cast<std::size_t>(perSecond * seconds * overage + slack);
}

/// @param times ascending
/// @return the most of them in any window
auto mostInWindow(const std::vector<Instant> &times) -> std::size_t
{
    auto most = std::size_t { 0 };
    for (auto first = times.begin(); first != times.end(); ++first) {
        const auto end = std::lower_bound(first, times.end(), *first + window);
        most = std::max(most, static_cast<std::size_t>(std::distance(first, end)));
    }
    return most;
}

/// One balancer for several gateways, which it is a direct call away from.
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

/// @return a handler that notes when it is asked, answers 200 and names a rate
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
    SUBCASE("a balancer counts for both") { }
    SUBCASE("no balancer can be asked")
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
