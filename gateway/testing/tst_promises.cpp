// Statuses that callers take for a promise that their request has not run and never will.

#include <doctest/doctest.h>

#include <string>
#include <utility>

#include "gateway/testing/rig.h"

using namespace figrack;
using namespace figrack::gateway;
using namespace figrack::gateway::testing;

namespace {

/// @return a handler that runs the request and then answers with a status, signed by the endpoint
auto failingWith(std::uint32_t status) -> http::Handler
{
    return [status](const http::Request &request,
                    http::Responder &responder) -> boost::asio::awaitable<void> {
        auto response = http::Response {};
        response.status = status;
        response.headers
                = { { "X-Id", std::string { request.header("X-Id") } }, { "X-Signed", "1" } };
        static_cast<void>(co_await responder.send(std::move(response)));
    };
}

} // namespace

// Guards against a promise that nobody has made: the caller sends the request again.
TEST_CASE("An endpoint's 503 or 429 without its word that it did not run reaches no caller whose "
          "request must not run twice")
{
    for (const auto status : { 429U, 503U }) {
        for (const auto *path : { "/once/x", "/stream/x" }) {
            CAPTURE(status);
            CAPTURE(path);
            auto rig = Rig {};
            auto &endpoint = rig.addEndpoint("i-1");
            endpoint.handler = failingWith(status);
            const auto got = rig.call(Rig::request(path, "id-1"));
            CHECK(got.status == 502);
            CHECK(http::findHeader(got.headers, "X-Signed").empty());
            CHECK(endpoint.seen.size() == 1);
        }
    }
}

// Guards against more of an answer being replaced than the promise requires.
TEST_CASE("Other failures reach the caller as the endpoint gave them")
{
    for (const auto status : { 400U, 500U, 504U }) {
        CAPTURE(status);
        auto rig = Rig {};
        rig.addEndpoint("i-1").handler = failingWith(status);
        const auto got = rig.call(Rig::request("/once/x", "id-1"));
        CHECK(got.status == status);
        CHECK(!http::findHeader(got.headers, "X-Signed").empty());
    }
    auto rig = Rig {};
    rig.addEndpoint("i-1").handler = failingWith(503);
    CHECK(rig.call(Rig::request("/idem/x", "id-1")).status == 503);
}
