// A request under which each endpoint ends that begins to run it.
//
// What users saw: streams of one kind were broken off one after another for 12 s, and then again;
// one endpoint after the other went away. 14 endpoints ended, each with some ten sound streams.
//
// Order of events: a caller's request makes the process of the endpoint that runs it end. All
// connections to that endpoint break. The gateway blames the endpoint, answers 502 and forgets what
// the endpoint was doing. The caller comes again about once a second, with the same path and body, at
// another gateway; an endpoint that has nothing to do with it is chosen, and ends.
//
// Cause: failures are remembered by endpoint and by gateway, and this fault travels with the work.
//
// Evidence: of each group of streams that broke within 2 ms at one endpoint exactly one had got no
// event, on the same route and model each time, 20 to 800 ms after its dispatch; connections to the
// endpoint were refused from then on.

#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <boost/asio/post.hpp>

#include "gateway/testing/rig.h"

using namespace figrack;
using namespace figrack::gateway::testing;

namespace {

constexpr auto poison = "poison";
constexpr auto endpointCount = 8;
/// Ends of endpoints under one request after which no endpoint may get it any more.
constexpr auto endsUntilRefused = 3;

/// @return a handler under which the endpoint's process ends when it begins to run the poison
auto endingUnderPoison(Rig &rig, FakeEndpoint &endpoint) -> http::Handler
{
    return [&rig, &endpoint, sound = answering("sound")](
                   const http::Request &request,
                   http::Responder &responder) -> boost::asio::awaitable<void> {
        if (request.body != poison) {
            co_await sound(request, responder);
            co_return;
        }
        boost::asio::post(rig.context, [&endpoint] { endpoint.server->stop(); });
        co_await breaking()(request, responder);
    };
}

auto addEndpoints(Rig &rig) -> std::vector<FakeEndpoint *>
{
    auto result = std::vector<FakeEndpoint *> {};
    for (auto i = 0; i < endpointCount; ++i) {
        auto &endpoint = rig.addEndpoint("i-" + std::to_string(i));
        endpoint.handler = endingUnderPoison(rig, endpoint);
        result.push_back(&endpoint);
    }
    return result;
}

auto requestWith(const std::string &path, const std::string &id, const std::string &body)
        -> http::ClientRequest
{
    auto request = Rig::request(path, id);
    request.method = "POST";
    request.body = body;
    return request;
}

/// @return endpoints that a request with the body has reached
auto reached(const std::vector<FakeEndpoint *> &endpoints, const std::string &body) -> int
{
    auto result = 0;
    for (const auto *endpoint : endpoints) {
        for (const auto &request : endpoint->seen)
            result += request.body == body ? 1 : 0;
    }
    return result;
}

} // namespace

TEST_CASE("A request under which three endpoints have ended reaches no other")
{
    auto rig = Rig {};
    const auto endpoints = addEndpoints(rig);
    auto path = std::string {};
    SUBCASE("it must not run twice")
    {
        path = "/once/x";
    }
    SUBCASE("it may be repeated: the gateway's own repeats count as well")
    {
        path = "/idem/x";
    }
    SUBCASE("a stream that may be resumed")
    {
        path = "/resume/x";
    }
    auto last = Got {};
    for (auto i = 0; i < endpointCount; ++i)
        last = rig.call(requestWith(path, "r" + std::to_string(i), poison));
    CHECK(reached(endpoints, poison) <= endsUntilRefused);
    // Refused as not run, with a time to come back.
    CHECK(last.status == 503);
    CHECK_FALSE(http::findHeader(last.headers, "X-Come-Back").empty());
    // What else comes is served as before.
    for (auto i = 0; i < endpointCount; ++i) {
        const auto id = "s" + std::to_string(i);
        CHECK(rig.call(requestWith(path, id, "sound " + id)).status == 200);
    }
}
