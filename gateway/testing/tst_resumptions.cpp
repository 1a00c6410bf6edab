// Streams that callers take up again, where endpoints of several software versions serve.

#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/use_awaitable.hpp>

#include "core/boottimer.h"
#include "gateway/streamorigins.h"
#include "gateway/testing/rig.h"

using namespace figrack;
using namespace figrack::gateway;
using namespace figrack::gateway::testing;
using namespace std::chrono_literals;

namespace {

namespace asio = boost::asio;

const auto mainService = ServiceId { "s" };

/// @return a handler of an endpoint that sends two events of a stream, the next ones after the one
/// that it is asked to resume after
auto writing(std::string text) -> http::Handler
{
    return [text = std::move(text)](const http::Request &request,
                                    http::Responder &responder) -> asio::awaitable<void> {
        auto headers = http::Headers { { "Content-Type", "text/event-stream" },
                                       { "X-Id", std::string { request.header("X-Id") } } };
        static_cast<void>(co_await responder.startStream(200, std::move(headers)));
        const auto after = std::string { request.header("X-After") };
        const auto first = after.empty() ? 1 : std::stoi(after) + 1;
        for (auto number = first; number < first + 2; ++number) {
            auto event = "id: " + std::to_string(number) + "\ndata: " + text + "\n\n";
            static_cast<void>(co_await responder.write(std::move(event)));
        }
        static_cast<void>(co_await responder.finish());
    };
}

auto bodyOf(const std::string &text, int first) -> std::string
{
    auto body = std::string {};
    for (auto number = first; number < first + 2; ++number)
        body += "id: " + std::to_string(number) + "\ndata: " + text + "\n\n";
    return body;
}

/// Several gateways before the same endpoints, which tell one another of the streams that begin.
class World
{
public:
    explicit World(ForwarderOptions options = {})
        : options_(std::move(options))
    {
        for (auto i = 0; i < 3; ++i)
            addGateway("g" + std::to_string(i));
    }
    World(const World &) = delete;
    auto operator=(const World &) -> World & = delete;
    ~World()
    {
        for (auto &gateway : gateways_)
            gateway->server->stop();
    }

    auto addEndpoint(const std::string &id, const std::string &version) -> FakeEndpoint &
    {
        auto &endpoint = rig.addEndpoint(id);
        endpoint.handler = writing(version);
        announce(endpoint, version, 2);
        return endpoint;
    }
    auto announce(const FakeEndpoint &endpoint, const std::string &version, std::uint64_t sequence,
                  catalogue::EndpointState state = catalogue::EndpointState::Ready,
                  const ServiceId &service = mainService) -> void
    {
        auto row = catalogue::EndpointRow {};
        row.id = endpoint.id;
        row.service = service;
        row.address = { "127.0.0.1", endpoint.port };
        row.state = state;
        row.sequence = sequence;
        row.softwareVersion = version;
        auto update = proto::ServingUpdate {};
        update.endpoints.push_back(row);
        if (rig.view.apply(update))
            rig.waiters.wakeAll();
        versions[service].insert(version);
    }
    auto setCatalogue(const catalogue::Catalogue &catalogue) -> void
    {
        for (auto &gateway : gateways_)
            gateway->forwarder->setCatalogue(
                    std::make_shared<const catalogue::Catalogue>(catalogue));
    }
    auto call(std::size_t gateway, http::ClientRequest request) -> Got
    {
        const auto got = rig.beginAt(gateways_.at(gateway)->server->port(), std::move(request));
        return rig.runUntil([&] { return got->has_value(); }) ? **got : Got {};
    }
    /// The gateway neither answers others nor receives anything from them any more.
    auto cutOff(std::size_t gateway) -> void { gateways_.at(gateway)->isCutOff = true; }
    auto forwarder(std::size_t gateway) -> Forwarder & { return *gateways_.at(gateway)->forwarder; }
    auto hasCounted(const std::string &outcome, int count) -> bool
    {
        return rig.metrics.text({}).find("figrack_gateway_resumptions_total{outcome=\"" + outcome
                                         + "\"} " + std::to_string(count) + "\n")
                != std::string::npos;
    }
    /// Runs until the count is reached: a request is counted after its answer has been sent.
    auto countsUpTo(const std::string &outcome, int count) -> bool
    {
        return rig.runUntil([&] { return hasCounted(outcome, count); });
    }
    auto pause(Duration duration) -> void
    {
        const auto until = rig.clock.now() + duration;
        rig.runUntil([&] { return rig.clock.now() >= until; });
    }

    std::map<ServiceId, std::set<std::string>> versions; ///< That have served within the window.
    int tells = 0;                                       ///< Streams that gateways told others of.
    int queries = 0;
    Rig rig;

private:
    struct TestGateway
    {
        OriginOwner row;
        std::unique_ptr<StreamOrigins> origins;
        std::unique_ptr<Forwarder> forwarder;
        std::unique_ptr<http::Server> server;
        bool isCutOff = false;
    };

    static auto send(World *world, const TestGateway *from, OriginOwner to,
                     proto::StreamOriginMessage message) -> asio::awaitable<OriginAnswer>
    {
        if (const auto *begun = std::get_if<proto::BegunStreams>(&message))
            world->tells += static_cast<int>(begun->streams.size());
        else
            ++world->queries;
        for (auto &gateway : world->gateways_) {
            const auto isMeant = gateway->row.node == to.node;
            if (isMeant && !gateway->isCutOff && !from->isCutOff)
                co_return OriginAnswer { gateway->origins->onMessage(message) };
        }
        co_return OriginAnswer { OriginFailure::NoAnswer };
    }

    /// Controls that keep no streams, and know which versions have served.
    auto controlsPart() -> OriginControls
    {
        return { [](const proto::BegunStream &) {},
                 [this](const proto::StreamKey &key, Duration, const OriginControls::Done &done) {
                     done({ std::nullopt, false, versions[key.service], true });
                 } };
    }

    auto addGateway(const std::string &name) -> void
    {
        auto &gateway = *gateways_.emplace_back(std::make_unique<TestGateway>());
        const auto number = static_cast<std::uint16_t>(gateways_.size());
        gateway.row = { NodeId { name },
                        { "127.0.0.1", number },
                        DomainId { "d" + std::to_string(number) } };
        auto options = StreamOriginsOptions {};
        options.self = gateway.row.node;
        options.askTimeout = 30ms;
        options.askAgainAfter = 30ms;
        auto transport = OriginTransport {
            [this, from = &gateway](OriginOwner to, proto::StreamOriginMessage message, Duration) {
                return send(this, from, std::move(to), std::move(message));
            }
        };
        auto parts = StreamOriginsParts { rig.context,
                                          rig.clock,
                                          rig.random,
                                          rig.metrics,
                                          [this](const ServiceId &id) { return versions[id]; },
                                          [] { return true; },
                                          [this] { return rows(); },
                                          std::move(transport),
                                          controlsPart() };
        gateway.origins = std::make_unique<StreamOrigins>(std::move(options), std::move(parts));
        gateway.forwarder = std::make_unique<Forwarder>(options_,
                                                        ForwarderParts { rig.context,
                                                                         rig.clock,
                                                                         rig.dialect,
                                                                         rig.view,
                                                                         rig.retries,
                                                                         rig.demand,
                                                                         rig.waiters,
                                                                         rig.metrics,
                                                                         rig.client,
                                                                         rig.picker,
                                                                         rig.random,
                                                                         rig.quarantine,
                                                                         rig.crashDetector,
                                                                         rig.paths,
                                                                         rig.keys,
                                                                         {},
                                                                         &rig.loadWatch,
                                                                         nullptr,
                                                                         gateway.origins.get() });
        gateway.forwarder->setCatalogue(testCatalogue(false));
        gateway.server = std::make_unique<http::Server>(
                rig.context, http::ServerOptions {},
                [raw = gateway.forwarder.get()](const http::Request &request,
                                                http::Responder &responder) {
                    return raw->handle(request, responder);
                });
        REQUIRE(gateway.server->start({ "127.0.0.1", 0 }).ok());
    }
    auto rows() const -> std::vector<OriginOwner>
    {
        auto result = std::vector<OriginOwner> {};
        for (const auto &gateway : gateways_)
            result.push_back(gateway->row);
        return result;
    }

    ForwarderOptions options_;
    std::vector<std::unique_ptr<TestGateway>> gateways_;
};

/// @return a request that takes a stream up again; an empty value names nothing
auto resumption(const std::string &id, const std::string &resumes, const std::string &after = "2",
                const std::string &path = "/resume/x") -> http::ClientRequest
{
    auto request = Rig::request(path, id);
    if (!resumes.empty())
        request.headers.push_back({ "X-Resumes", resumes });
    if (!after.empty())
        request.headers.push_back({ "X-After", after });
    return request;
}

auto withKey(http::ClientRequest request, const std::string &key) -> http::ClientRequest
{
    request.headers.push_back({ "X-Key", key });
    return request;
}

auto comeBackMs(const Got &got) -> std::string
{
    return std::string { http::findHeader(got.headers, "X-Come-Back") };
}

/// Begins streams until one has begun at the version. @return the ID of its attempt
auto beginAt(World &world, std::size_t gateway, const std::string &version) -> std::string
{
    for (auto i = 0; i < 100; ++i) {
        auto id = version + "-" + std::to_string(i);
        if (world.call(gateway, Rig::request("/resume/x", id)).body == bodyOf(version, 1))
            return id;
    }
    FAIL("no stream began at " << version);
    return {};
}

} // namespace

TEST_CASE("A resumption counts by how it ended, and other requests do not count as resumptions")
{
    auto world = World {};
    auto &endpoint = world.addEndpoint("i-1", "v1");
    REQUIRE(world.call(0, Rig::request("/resume/x", "r1")).whole);
    CHECK_FALSE(world.hasCounted("went_on", 1));
    CHECK(world.call(0, resumption("r2", "r1")).whole);
    CHECK(world.countsUpTo("went_on", 1));
    endpoint.handler = rejecting(503);
    CHECK(world.call(0, resumption("r3", "r1")).status == 503);
    CHECK(world.countsUpTo("other", 1));
}

TEST_CASE("A stream goes on at the version that began it, at any gateway")
{
    auto world = World {};
    for (auto i = 0; i < 3; ++i) {
        world.addEndpoint("old-" + std::to_string(i), "v1");
        world.addEndpoint("new-" + std::to_string(i), "v2");
    }
    for (const auto *version : { "v1", "v2" }) {
        const auto first = beginAt(world, 0, version);
        for (auto i = 0; i < 12; ++i) {
            const auto id = first + "-" + std::to_string(i);
            const auto got = world.call(static_cast<std::size_t>(i % 3), resumption(id, first));
            CHECK(got.body == bodyOf(version, 3));
        }
    }
}

TEST_CASE("A resumption of a resumption goes on after the gateway of the first attempt is lost")
{
    auto world = World {};
    for (auto i = 0; i < 3; ++i) {
        world.addEndpoint("old-" + std::to_string(i), "v1");
        world.addEndpoint("new-" + std::to_string(i), "v2");
    }
    const auto first = beginAt(world, 0, "v1");
    CHECK(world.call(1, resumption("b", first)).body == bodyOf("v1", 3));
    world.cutOff(0);
    for (auto i = 0; i < 8; ++i) {
        const auto got = world.call(2, resumption("c" + std::to_string(i), first, "4"));
        CHECK(got.body == bodyOf("v1", 5));
    }
}

// Guards against a wait until the deadline, and against a promise that would not hold.
TEST_CASE("A stream whose version is unknown is refused at once, runs nowhere, and names a time")
{
    auto world = World {};
    auto &one = world.addEndpoint("i-1", "v1");
    auto &two = world.addEndpoint("i-2", "v2");
    const auto begun = world.rig.clock.now();
    const auto got = world.call(0, resumption("r2", "r1"));
    CHECK(world.rig.clock.now() - begun < 2s);
    CHECK(got.status == 503);
    CHECK(comeBackMs(got) == "60000");
    CHECK(one.seen.size() + two.seen.size() == 0);
    CHECK(world.countsUpTo("unknown", 1));
}

TEST_CASE(
        "A caller that names no attempt goes on where one version alone may have begun its stream")
{
    auto world = World {};
    auto &endpoint = world.addEndpoint("i-1", "v1");
    CHECK(world.call(0, resumption("r2", "")).body == bodyOf("v1", 3));
    CHECK(world.call(0, resumption("r3", "never-seen")).body == bodyOf("v1", 3));
    world.versions[mainService].insert("v2");
    const auto before = endpoint.seen.size();
    const auto got = world.call(0, resumption("r4", ""));
    CHECK(got.status == 503);
    CHECK(endpoint.seen.size() == before);
}

TEST_CASE("A stream is not taken up at the version that is left when another one has begun it")
{
    auto world = World {};
    world.addEndpoint("i-1", "v1");
    world.versions[mainService] = { "v0" }; // The endpoints of v1 are not known to have served.
    const auto got = world.call(0, resumption("r2", "r1"));
    CHECK(got.status == 503);
    CHECK(comeBackMs(got) == "1000");
    CHECK(world.countsUpTo("no_endpoint", 1));
}

TEST_CASE("A caller that names its stream without an event ID is served by its version, or refused")
{
    auto world = World {};
    world.addEndpoint("i-1", "v1");
    world.addEndpoint("i-2", "v2");
    const auto first = beginAt(world, 0, "v1");
    for (auto i = 0; i < 8; ++i) {
        const auto got = world.call(1, resumption("r" + std::to_string(i), first, ""));
        CHECK(got.body == bodyOf("v1", 1));
    }
    CHECK(world.call(1, resumption("n", "never-seen", "")).status == 503);
}

TEST_CASE("A stream of another account is refused like an unknown one")
{
    auto world = World {};
    world.addEndpoint("i-1", "v1");
    world.addEndpoint("i-2", "v2");
    auto catalogue = *testCatalogue(false);
    catalogue.accounts.emplace();
    for (const auto *name : { "clerk", "mason" }) {
        auto &account = catalogue.accounts->emplace_back();
        account.id = AccountId { name };
        account.keys = { catalogue::digestOfKey(std::string { "k-" } + name) };
    }
    world.setCatalogue(catalogue);
    const auto begun = world.call(0, withKey(Rig::request("/resume/x", "r1"), "k-clerk"));
    REQUIRE(begun.whole);
    const auto version = begun.body == bodyOf("v1", 1) ? "v1" : "v2";
    for (auto i = std::size_t { 0 }; i < 3; ++i) {
        const auto id = std::to_string(i);
        const auto foreign = world.call(i, withKey(resumption("f" + id, "r1"), "k-mason"));
        const auto unknown = world.call(i, withKey(resumption("u" + id, "never-seen"), "k-mason"));
        CHECK(foreign.status == 503);
        CHECK(foreign.body == unknown.body);
        CHECK(comeBackMs(foreign) == comeBackMs(unknown));
        const auto own = world.call(i, withKey(resumption("o" + id, "r1"), "k-clerk"));
        CHECK(own.body == bodyOf(version, 3));
    }
    CHECK(world.countsUpTo("foreign", 3));
    CHECK(world.countsUpTo("unknown", 3));
}

TEST_CASE("A stream of an endpoint without a version is joined only to others without one")
{
    auto world = World {};
    world.addEndpoint("i-1", "").handler = writing("plain");
    world.addEndpoint("i-2", "v2");
    const auto first = beginAt(world, 0, "plain");
    for (auto i = 0; i < 8; ++i)
        CHECK(world.call(1, resumption("r" + std::to_string(i), first)).body == bodyOf("plain", 3));
}

TEST_CASE("A stream ends where its endpoint has changed its version, and no other one is left")
{
    auto world = World {};
    auto &endpoint = world.addEndpoint("i-1", "v1");
    REQUIRE(world.call(0, Rig::request("/resume/x", "r1")).whole);
    endpoint.handler = writing("v2");
    world.announce(endpoint, "v2", 3);
    const auto before = endpoint.seen.size();
    for (auto i = std::size_t { 0 }; i < 3; ++i) {
        const auto begun = world.rig.clock.now();
        const auto got = world.call(i, resumption("r2-" + std::to_string(i), "r1"));
        CHECK(world.rig.clock.now() - begun < 2s);
        CHECK(got.status == 503);
        CHECK(comeBackMs(got) == "1000");
    }
    CHECK(endpoint.seen.size() == before);
    CHECK(world.countsUpTo("no_endpoint", 3));
    auto &back = world.addEndpoint("i-3", "v1");
    CHECK(world.call(1, resumption("r3", "r1")).body == bodyOf("v1", 3));
    CHECK(back.seen.size() == 1);
}

// Guards against a retry that is spent, and a dispatch that is lost, for nothing.
TEST_CASE("A stream that breaks off is not retried where only other versions are left")
{
    auto world = World {};
    world.addEndpoint("i-1", "v1").handler = streaming(1, 2, false);
    const auto got = world.call(0, Rig::request("/resume/x", "r1"));
    CHECK_FALSE(got.whole);
    auto &other = world.addEndpoint("i-2", "v2");
    CHECK(world.call(0, resumption("r2", "r1")).status == 502);
    world.pause(20ms);
    CHECK(world.rig.metrics.text({}).find("figrack_gateway_retries_total{") == std::string::npos);
    CHECK(other.seen.empty());
}

TEST_CASE("A stream of which only comments were sent has no version, and may begin at any")
{
    auto world = World {};
    auto &one = world.addEndpoint("i-1", "v1");
    world.versions[mainService] = { "v1", "v2" };
    one.handler = [](const http::Request &request,
                     http::Responder &responder) -> asio::awaitable<void> {
        auto headers = http::Headers { { "Content-Type", "text/event-stream" },
                                       { "X-Id", std::string { request.header("X-Id") } } };
        static_cast<void>(co_await responder.startStream(200, std::move(headers)));
        auto comment = std::string { ": wait\n\n" };
        static_cast<void>(co_await responder.write(std::move(comment)));
    };
    const auto begun = world.call(0, Rig::request("/resume/x", "r1"));
    CHECK(begun.status == 200);
    CHECK_FALSE(begun.whole);
    world.pause(20ms);
    CHECK(world.tells == 0);
    world.announce(one, "v1", 3, catalogue::EndpointState::Draining);
    world.addEndpoint("i-2", "v2");
    CHECK(world.call(1, Rig::request("/resume/x", "r2")).body == bodyOf("v2", 1));
    // Whoever names the attempt claims to hold an event of it.
    CHECK(world.call(1, resumption("r3", "r1", "")).status == 503);
}

TEST_CASE("A resumption that was handed over goes on at the version that the first gateway names")
{
    auto world = World {};
    world.addEndpoint("i-1", "v1");
    world.addEndpoint("i-2", "v2");
    for (const auto *version : { "v1", "v2" }) {
        auto terms = proto::HandoffTerms {};
        terms.resumeAfter = "2";
        terms.isVersionBound = true;
        terms.softwareVersion = version;
        terms.service = mainService;
        auto gateway
                = http::Server { world.rig.context,
                                 {},
                                 [&](const http::Request &request, http::Responder &responder) {
                                     return world.forwarder(1).handleHandedOver(request, terms,
                                                                                responder);
                                 } };
        REQUIRE(gateway.start({ "127.0.0.1", 0 }).ok());
        for (auto i = 0; i < 6; ++i) {
            const auto id = version + std::to_string(i);
            const auto got = world.rig.beginAt(gateway.port(), resumption(id, "r1"));
            REQUIRE(world.rig.runUntil([&] { return got->has_value(); }));
            CHECK((*got)->body == bodyOf(version, 3));
        }
        gateway.stop();
    }
    world.pause(20ms);
    CHECK(world.queries == 0);
    CHECK(world.tells == 0);
}

TEST_CASE("A named stream goes on at its version also on a route that may not be resumed")
{
    auto world = World {};
    world.addEndpoint("i-1", "v1");
    world.addEndpoint("i-2", "v2");
    const auto begun = world.call(0, Rig::request("/stream/x", "r1"));
    const auto version = begun.body == bodyOf("v1", 1) ? "v1" : "v2";
    REQUIRE(begun.body == bodyOf(version, 1));
    for (auto i = std::size_t { 0 }; i < 3; ++i) {
        const auto id = "r1-" + std::to_string(i);
        CHECK(world.call(i, resumption(id, "r1", "2", "/stream/x")).body == bodyOf(version, 3));
    }
    CHECK(world.call(1, resumption("r2", "never-seen", "2", "/stream/x")).status == 503);
}

TEST_CASE("Only streams can be taken up")
{
    auto world = World {};
    world.addEndpoint("i-1", "v1");
    world.addEndpoint("i-2", "v2");
    CHECK(world.call(0, resumption("r3", "r1", "2", "/once/x")).status == 200);
    world.pause(20ms);
    CHECK(world.queries == 0);
    CHECK(world.tells == 0);
}

TEST_CASE("A stream that goes on is told again within half of the window")
{
    auto options = ForwarderOptions {};
    options.resumptionWindow = 200ms;
    auto world = World { options };
    world.versions[mainService] = { "v1", "v2" };
    world.addEndpoint("i-1", "v1").handler =
            [&](const http::Request &request, http::Responder &responder) -> asio::awaitable<void> {
        auto headers = http::Headers { { "Content-Type", "text/event-stream" },
                                       { "X-Id", std::string { request.header("X-Id") } } };
        static_cast<void>(co_await responder.startStream(200, std::move(headers)));
        for (auto number = 1; number <= 8; ++number) {
            auto event = "id: " + std::to_string(number) + "\ndata: e\n\n";
            static_cast<void>(co_await responder.write(std::move(event)));
            auto timer = BootTimer { world.rig.context, 60ms };
            co_await timer.async_wait(asio::use_awaitable);
        }
        static_cast<void>(co_await responder.finish());
    };
    REQUIRE(world.call(0, Rig::request("/resume/x", "r1")).whole);
    world.pause(50ms);
    // The gateway is one of the owners at most, and tells the stream four times in 0.48 s.
    CHECK(world.tells >= 4);
    CHECK(world.tells <= 10);
}

namespace {

/// The catalogue of these tests, with a second service that takes half of the route's requests.
auto splitCatalogue() -> catalogue::Catalogue
{
    auto catalogue = *testCatalogue(false);
    catalogue.services.push_back({ ServiceId { "other" }, 100, std::nullopt });
    catalogue.routes.back().split.push_back({ ServiceId { "other" }, 1 });
    return catalogue;
}

} // namespace

TEST_CASE("A stream of a split route goes on at the service that began it")
{
    auto world = World {};
    world.addEndpoint("i-1", "v1").handler = writing("main");
    auto &other = world.addEndpoint("i-2", "v1");
    other.handler = writing("other");
    world.announce(other, "v1", 3, catalogue::EndpointState::Ready, ServiceId { "other" });
    world.setCatalogue(splitCatalogue());
    auto texts = std::set<std::string> {};
    for (auto i = 0; i < 12; ++i) {
        const auto id = "r" + std::to_string(i);
        const auto begun = world.call(0, Rig::request("/resume/x", id));
        REQUIRE(begun.whole);
        const auto text = begun.body == bodyOf("main", 1) ? "main" : "other";
        texts.insert(text);
        CHECK(world.call(0, resumption(id + "b", id)).body == bodyOf(text, 3));
        // The others have not seen the split for the whole window, and know nothing of the stream.
        const auto elsewhere = world.call(1, resumption(id + "c", id));
        const auto isJoined = elsewhere.status == 200 && elsewhere.body != bodyOf(text, 3);
        CHECK_FALSE(isJoined);
    }
    CHECK(texts.size() == 2);
}

TEST_CASE("A stream of a split route goes on at any gateway once the split has been the same")
{
    auto options = ForwarderOptions {};
    options.resumptionWindow = 50ms;
    options.configurationDelay = 50ms;
    auto world = World { options };
    world.addEndpoint("i-1", "v1").handler = writing("main");
    auto &other = world.addEndpoint("i-2", "v1");
    other.handler = writing("other");
    world.announce(other, "v1", 3, catalogue::EndpointState::Ready, ServiceId { "other" });
    auto catalogue = splitCatalogue();
    world.setCatalogue(catalogue);
    world.pause(150ms);
    for (auto i = 0; i < 12; ++i) {
        const auto id = "r" + std::to_string(i);
        const auto begun = world.call(0, Rig::request("/resume/x", id));
        REQUIRE(begun.whole);
        const auto text = begun.body == bodyOf("main", 1) ? "main" : "other";
        CHECK(world.call(1, resumption(id + "c", id)).body == bodyOf(text, 3));
    }
    // A change of the split sends streams elsewhere that were begun before it.
    catalogue.routes.back().split.front().weight = 9;
    world.setCatalogue(catalogue);
    CHECK(world.call(1, resumption("x", "never-seen")).status == 503);
}

// Guards against a stream that is joined from two services by a change of the split.
TEST_CASE("A known stream goes on at the service that began it after the split has moved away from "
          "it")
{
    auto world = World {};
    world.addEndpoint("i-1", "v1").handler = writing("main");
    auto &other = world.addEndpoint("i-2", "v1");
    other.handler = writing("other");
    world.announce(other, "v1", 3, catalogue::EndpointState::Ready, ServiceId { "other" });
    auto catalogue = splitCatalogue();
    catalogue.routes.back().split.front().weight = 0;
    world.setCatalogue(catalogue);
    REQUIRE(world.call(0, Rig::request("/resume/x", "r1")).body == bodyOf("other", 1));
    catalogue.routes.back().split.front().weight = 1;
    catalogue.routes.back().split.back().weight = 0;
    world.setCatalogue(catalogue);
    CHECK(world.call(0, Rig::request("/resume/x", "r2")).body == bodyOf("main", 1));
    CHECK(world.call(0, resumption("r3", "r1")).body == bodyOf("other", 3));
}
