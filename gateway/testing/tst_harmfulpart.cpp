// A part of prompts that ends each endpoint that begins to write an answer on it.

#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <boost/asio/post.hpp>

#include "gateway/testing/rig.h"

using namespace figrack;
using namespace figrack::gateway::testing;
using namespace std::chrono_literals;

namespace {

constexpr auto endpointCount = 16;
/// The part is refused after this number of ends at the latest.
constexpr auto endsUntilRefused = 5;
constexpr auto betweenRequests = 300ms;
constexpr auto commonPart = "1";
constexpr auto harmfulPart = "666";
constexpr auto soundPart = "2";

/// @return true if the part is in the prompt and is not its last one
auto hasPart(const http::Request &request, const std::string &part) -> bool
{
    return ("," + std::string { request.header("X-Prompt") }).find("," + part + ",")
            != std::string::npos;
}

class HarmfulPartWorld
{
public:
    HarmfulPartWorld()
    {
        for (auto i = 0; i < endpointCount; ++i) {
            auto &endpoint = rig.addEndpoint("i-" + std::to_string(i));
            endpoint.handler = [this, &endpoint, sound = answering("sound")](
                                       const http::Request &request,
                                       http::Responder &responder) -> boost::asio::awaitable<void> {
                if (!hasPart(request, harmfulPart) || isRepaired) {
                    co_await sound(request, responder);
                    co_return;
                }
                ++ends;
                boost::asio::post(rig.context, [&endpoint] { endpoint.server->stop(); });
                co_await breaking()(request, responder);
            };
        }
    }
    /// Sends a request that no other one equals. @param parts before the last one
    auto call(const std::string &parts, const std::string &path = "/once/x") -> Got
    {
        const auto id = std::to_string(++requests);
        auto request = Rig::request(path, "r" + id);
        request.method = "POST";
        request.body = "body " + id;
        request.headers.push_back({ "X-Account", "a" });
        request.headers.push_back({ "X-Prompt", parts + "," + std::to_string(1000 + requests) });
        return rig.call(std::move(request));
    }
    auto wait(Duration duration) -> void
    {
        const auto until = rig.clock.now() + duration;
        rig.runUntil([&] { return rig.clock.now() >= until; });
    }

    Rig rig;
    int requests = 0;
    int ends = 0;
    bool isRepaired = false;
};

const auto harmful = std::string { commonPart } + "," + harmfulPart;
const auto sound = std::string { commonPart } + "," + soundPart;

} // namespace

TEST_CASE("A part of prompts under which five endpoints have ended reaches no other endpoint")
{
    auto world = HarmfulPartWorld {};
    auto path = std::string {};
    SUBCASE("the requests must not run twice")
    {
        path = "/once/x";
    }
    SUBCASE("the requests may be repeated")
    {
        path = "/idem/x";
    }
    SUBCASE("streams that may be resumed")
    {
        path = "/resume/x";
    }
    auto last = Got {};
    for (auto i = 0; i < endpointCount; ++i) {
        CHECK(world.call(sound).status == 200);
        last = world.call(harmful, path);
        world.wait(betweenRequests);
    }
    CHECK(world.ends <= endsUntilRefused);
    CHECK(last.status == 503);
    CHECK_FALSE(http::findHeader(last.headers, "X-Come-Back").empty());
}

TEST_CASE("Requests that share the caller and the other parts with a harmful one are served")
{
    auto world = HarmfulPartWorld {};
    for (auto i = 0; i < endpointCount; ++i) {
        world.call(harmful);
        CHECK(world.call(sound).status == 200);
        CHECK(world.call(commonPart).status == 200);
        world.wait(betweenRequests);
    }
}
