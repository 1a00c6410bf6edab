// Accounts: what callers with and without keys get, and what endpoints are told about the account.

#include <doctest/doctest.h>

#include "gateway/testing/rig.h"

using namespace figrack;
using namespace figrack::gateway;
using namespace figrack::gateway::testing;
using namespace std::chrono_literals;

namespace {

/// The catalogue of the rig with two accounts: "mason" with a limit and a rank, "clerk" without.
auto withAccounts(bool engine = false) -> std::shared_ptr<const catalogue::Catalogue>
{
    auto catalogue = *testCatalogue(engine);
    catalogue.version = Revision { 2 };
    catalogue.routes[1].isPublic = true; // /idem/
    auto mason = catalogue::Account {};
    mason.id = AccountId { "mason" };
    mason.keys = { catalogue::digestOfKey("k-mason") };
    mason.rank = 3;
    mason.unit = catalogue::CostUnit::Tokens;
    mason.plainCost = 200;
    mason.limit = { 1000, 1000 };
    auto clerk = catalogue::Account {};
    clerk.id = AccountId { "clerk" };
    clerk.keys = { catalogue::digestOfKey("k-clerk") };
    catalogue.accounts = { mason, clerk };
    return std::make_shared<const catalogue::Catalogue>(std::move(catalogue));
}

auto requestWith(const std::string &path, const std::string &key) -> http::ClientRequest
{
    static auto number = 0;
    auto request = Rig::request(path, "r" + std::to_string(++number));
    if (!key.empty())
        request.headers.push_back({ "X-Key", key });
    return request;
}

/// A balancer that counts, and answers as the test specifies.
struct Counting
{
    auto link() -> BalancerLink
    {
        auto link = BalancerLink {};
        link.ask = [this](proto::PickRequest request, Duration,
                          const BalancerLink::Done &done) -> std::optional<Address> {
            asked.push_back(std::move(request));
            done(advice);
            return Address { "127.0.0.1", 1 };
        };
        link.tell
                = [](const proto::PickRequest &) -> std::optional<Address> { return std::nullopt; };
        link.end = [this](const Address &, proto::PickEnd end) { ended.push_back(end); };
        return link;
    }
    std::optional<proto::PickReply> advice; ///< Empty if it does not answer in time.
    std::vector<proto::PickRequest> asked;
    std::vector<proto::PickEnd> ended;
};

auto overLimit(std::uint32_t comeBackMs) -> proto::PickReply
{
    auto reply = proto::PickReply {};
    reply.comeBackMs = comeBackMs;
    reply.refusal = proto::PickRefusal::OverLimit;
    return reply;
}

} // namespace

TEST_CASE("A caller is identified by its key alone, and the key is not forwarded")
{
    auto rig = Rig {};
    auto &endpoint = rig.addEndpoint("i-1");
    endpoint.handler = answering("one");
    rig.forwarder.setCatalogue(withAccounts());
    CHECK(rig.call(requestWith("/once/x", "k-clerk")).status == 200);
    REQUIRE(endpoint.seen.size() == 1);
    CHECK(endpoint.seen[0].header("X-Owner") == "clerk");
    CHECK(endpoint.seen[0].header("X-Key").empty());
    CHECK(endpoint.seen[0].header("X-Rank") == "0");
    CHECK(rig.call(requestWith("/once/x", "k-mason")).status == 200);
    CHECK(endpoint.seen[1].header("X-Owner") == "mason");
    CHECK(endpoint.seen[1].header("X-Rank") == "3"); // The account's rank, not the route's.
}

TEST_CASE("Without a key of an account, requests run only on public routes")
{
    auto rig = Rig {};
    auto &endpoint = rig.addEndpoint("i-1");
    endpoint.handler = answering("one");
    rig.forwarder.setCatalogue(withAccounts());
    CHECK(rig.call(requestWith("/once/x", "k-nobody")).status == 401);
    CHECK(rig.call(requestWith("/once/x", "")).status == 401);
    CHECK(rig.call(requestWith("/nowhere/x", "k-nobody")).status == 503); // Route is checked first.
    CHECK(endpoint.seen.empty());
    CHECK(rig.demand.take().rows.empty());
    CHECK(rig.call(requestWith("/idem/x", "")).status == 200);
    CHECK(endpoint.seen.back().header("X-Owner").empty());
    CHECK(rig.call(requestWith("/idem/x", "k-nobody")).status == 200);
    CHECK(endpoint.seen.back().header("X-Owner").empty());
    CHECK(endpoint.seen.back().header("X-Key").empty());
    CHECK(rig.call(requestWith("/idem/x", "k-clerk")).status == 200);
    CHECK(endpoint.seen.back().header("X-Owner") == "clerk");
}

TEST_CASE("Without accounts, the headers that identify callers are forwarded")
{
    auto rig = Rig {};
    auto &endpoint = rig.addEndpoint("i-1");
    endpoint.handler = answering("one");
    CHECK(rig.call(requestWith("/once/x", "k-any")).status == 200);
    CHECK(endpoint.seen[0].header("X-Key") == "k-any");
    CHECK(endpoint.seen[0].header("X-Owner").empty());
}

TEST_CASE("Removed and added keys take effect with the document")
{
    auto rig = Rig {};
    rig.addEndpoint("i-1").handler = answering("one");
    rig.forwarder.setCatalogue(withAccounts());
    CHECK(rig.call(requestWith("/once/x", "k-clerk")).status == 200);
    auto changed = *withAccounts();
    changed.version = Revision { 3 };
    changed.accounts->at(1).keys = { catalogue::digestOfKey("k-clerk-2") };
    rig.forwarder.setCatalogue(std::make_shared<const catalogue::Catalogue>(changed));
    CHECK(rig.call(requestWith("/once/x", "k-clerk")).status == 401);
    CHECK(rig.call(requestWith("/once/x", "k-clerk-2")).status == 200);
}

TEST_CASE("Without proof that keys are current, requests with keys are refused with that reason")
{
    auto options = ForwarderOptions {};
    options.awaitKeys = {};
    auto rig = Rig { options, {}, {}, { 5s } };
    auto &endpoint = rig.addEndpoint("i-1");
    endpoint.handler = answering("one");
    rig.forwarder.setCatalogue(withAccounts());
    const auto got = rig.call(requestWith("/once/x", "k-clerk"));
    CHECK(got.status == 503);
    CHECK_FALSE(http::findHeader(got.headers, "X-Come-Back").empty());
    // It cannot be decided that a key is unknown, either.
    CHECK(rig.call(requestWith("/once/x", "k-nobody")).status == 503);
    CHECK(endpoint.seen.empty());
    CHECK(rig.call(requestWith("/idem/x", "")).status == 200); // The route is public.
    rig.keys.onInForce(Revision { 2 });
    rig.keys.onProof(rig.keys.ask(), Revision { 2 });
    CHECK(rig.call(requestWith("/once/x", "k-clerk")).status == 200);
    CHECK(rig.call(requestWith("/once/x", "k-nobody")).status == 401);
}

TEST_CASE("A request that arrives right after the start waits for the proof")
{
    auto options = ForwarderOptions {};
    options.awaitKeys = 10s;
    auto rig = Rig { options, {}, {}, { 5s } };
    rig.addEndpoint("i-1").handler = answering("one");
    rig.forwarder.setCatalogue(withAccounts());
    const auto got = rig.begin(requestWith("/once/x", "k-clerk"));
    CHECK_FALSE(rig.runUntil([&] { return got->has_value() || rig.waiters.size() > 0; }) == false);
    CHECK_FALSE(got->has_value());
    rig.keys.onInForce(Revision { 2 });
    rig.keys.onProof(rig.keys.ask(), Revision { 2 });
    rig.waiters.wakeAll();
    REQUIRE(rig.runUntil([&] { return got->has_value(); }));
    CHECK((*got)->status == 200);
}

TEST_CASE("A request of an account with a limit is counted once, together with its pick")
{
    auto counting = Counting {};
    auto rig = Rig { {}, counting.link() };
    rig.addEndpoint("i-1").handler = answering("one");
    rig.forwarder.setCatalogue(withAccounts());
    counting.advice = proto::PickReply { EndpointId { "i-1" }, 0, 0, 0, {} };
    CHECK(rig.call(requestWith("/once/x", "k-mason")).status == 200);
    REQUIRE(counting.asked.size() == 1);
    REQUIRE(counting.asked[0].charge.has_value());
    CHECK(counting.asked[0].charge->account == AccountId { "mason" });
    CHECK(counting.asked[0].charge->cost == 200);
    CHECK(counting.asked[0].charge->version == Revision { 2 });
    REQUIRE(counting.ended.size() == 1);
    CHECK(counting.ended[0].mayHaveRun);
    // A request of an account without a limit is not counted.
    CHECK(rig.call(requestWith("/once/x", "k-clerk")).status == 200);
    for (std::size_t i = 1; i < counting.asked.size(); ++i)
        CHECK_FALSE(counting.asked[i].charge.has_value());
}

TEST_CASE("The charge of a request that did not run is returned, and counted again for the next "
          "dispatch")
{
    auto counting = Counting {};
    auto rig = Rig { {}, counting.link() };
    rig.addEndpoint("i-1").handler = rejecting(503);
    rig.addEndpoint("i-2").handler = answering("two");
    rig.forwarder.setCatalogue(withAccounts());
    counting.advice = proto::PickReply { EndpointId { "i-1" }, 0, 0, 0, {} };
    rig.call(requestWith("/once/x", "k-mason"));
    REQUIRE(counting.ended.size() >= 1);
    CHECK_FALSE(counting.ended[0].mayHaveRun);
    REQUIRE(counting.asked.size() >= 2);
    CHECK(counting.asked[1].charge.has_value());
}

TEST_CASE("A caller over its limit is immediately told when to retry, and does not count as demand")
{
    auto counting = Counting {};
    auto rig = Rig { {}, counting.link() };
    auto &endpoint = rig.addEndpoint("i-1", { "m0" });
    endpoint.handler = answering("one");
    rig.forwarder.setCatalogue(withAccounts(true));
    counting.advice = overLimit(1700);
    auto request = requestWith("/once/x", "k-mason");
    SUBCASE("an endpoint holds the model")
    {
        request.headers.push_back({ "X-Model", "m0" });
    }
    SUBCASE("no endpoint holds the model: it is not loaded for a request that may not run")
    {
        request.headers.push_back({ "X-Model", "m1" });
    }
    const auto begun = rig.clock.now();
    const auto got = rig.call(std::move(request));
    CHECK(got.status == 429);
    CHECK(http::findHeader(got.headers, "X-Come-Back") == "1700");
    CHECK(rig.clock.now() - begun < 250ms);
    CHECK(endpoint.seen.empty());
    CHECK(rig.demand.take().rows.empty());
}

TEST_CASE("Without a balancer, an account is served to a small extent, and then refused with that "
          "reason")
{
    auto counting = Counting {};
    auto rig = Rig { {}, counting.link() };
    auto &endpoint = rig.addEndpoint("i-1");
    endpoint.handler = answering("one");
    rig.forwarder.setCatalogue(withAccounts());
    CHECK(rig.call(requestWith("/once/x", "k-mason")).status == 200);
    CHECK(counting.asked.size() == 2); // A second balancer is asked.
    const auto got = rig.call(requestWith("/once/x", "k-mason"));
    CHECK(got.status == 503);
    CHECK_FALSE(http::findHeader(got.headers, "X-Come-Back").empty());
    CHECK(endpoint.seen.size() == 1);
    // Locally admitted charges are reported with the next request that a balancer answers.
    counting.advice = proto::PickReply { EndpointId { "i-1" }, 0, 0, 0, {} };
    counting.asked.clear();
    CHECK(rig.call(requestWith("/once/x", "k-mason")).status == 200);
    REQUIRE(counting.asked.size() == 1);
    CHECK(counting.asked[0].charge->admittedAlone == 200);
}
