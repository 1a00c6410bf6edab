// Streams that callers take up again, where endpoints of several software versions serve.

#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <string>

#include "gateway/testing/rig.h"

using namespace figrack;
using namespace figrack::gateway;
using namespace figrack::gateway::testing;

namespace {

/// @return a request that takes a stream up again
auto resumption(const std::string &id, const std::string &resumes, const std::string &after = "2")
        -> http::ClientRequest
{
    auto request = Rig::request("/resume/x", id);
    if (!resumes.empty())
        request.headers.push_back({ "X-Resumes", resumes });
    if (!after.empty())
        request.headers.push_back({ "X-After", after });
    return request;
}

auto hasCounted(Rig &rig, const std::string &outcome, int count) -> bool
{
    return rig.metrics.text({}).find("figrack_gateway_resumptions_total{outcome=\"" + outcome
                                     + "\"} " + std::to_string(count) + "\n")
            != std::string::npos;
}

} // namespace

TEST_CASE("A resumption counts by how it ended, and other requests do not count as resumptions")
{
    auto rig = Rig {};
    auto &endpoint = rig.addEndpoint("i-1");
    endpoint.handler = streaming(3, 5, true);
    CHECK(rig.call(resumption("r2", "r1")).whole);
    CHECK(hasCounted(rig, "went_on", 1));
    endpoint.handler = rejecting(503);
    CHECK(rig.call(resumption("r3", "r1")).status == 503);
    CHECK(hasCounted(rig, "other", 1));
    endpoint.handler = streaming(1, 5, true);
    rig.call(Rig::request("/resume/x", "r4"));
    CHECK(hasCounted(rig, "went_on", 1));
    CHECK(hasCounted(rig, "other", 1));
}
