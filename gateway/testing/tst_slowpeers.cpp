// Tests what callers and endpoints get while the gateway's memory is limited and either of them is
// slow; over loopback sockets.

#include <algorithm>
#include <array>

#include <doctest/doctest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "core/error.h"
#include "gateway/testing/rig.h"

using namespace figrack;
using namespace figrack::gateway;
using namespace figrack::gateway::testing;
using namespace std::chrono_literals;

namespace {

using Kind = HeldBytes::Kind;
namespace asio = boost::asio;

auto limitedTo(std::uint64_t memoryLimit) -> HeldBytesOptions
{
    auto options = HeldBytesOptions {};
    options.memoryLimit = memoryLimit;
    return options;
}

auto rigOptions(const HeldBytesOptions &heldBytes) -> ForwarderOptions
{
    auto options = ForwarderOptions {};
    options.heldBytes = heldBytes;
    return options;
}

/// Waits, looking again every millisecond, until the condition holds.
auto waitUntil(asio::io_context &context, const bool &condition) -> asio::awaitable<void>
{
    auto timer = asio::steady_timer { context };
    while (!condition) {
        timer.expires_after(1ms);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

/// @return a handler that answers once the condition holds
auto answeringWhen(asio::io_context &context, const bool &condition) -> http::Handler
{
    return [&](const http::Request &request, http::Responder &responder) -> asio::awaitable<void> {
        co_await waitUntil(context, condition);
        auto response = http::Response { 200, {}, "ok" };
        response.headers = { { "X-Id", std::string { request.header("X-Id") } } };
        static_cast<void>(co_await responder.send(std::move(response)));
    };
}

constexpr auto eventBytes = std::size_t { 4000 };

/// @return a handler that streams large events, and then completes the stream or breaks it off
auto streamingLarge(int events, bool whole) -> http::Handler
{
    return [events, whole](const http::Request &request,
                           http::Responder &responder) -> asio::awaitable<void> {
        auto headers = http::Headers { { "Content-Type", "text/event-stream" },
                                       { "X-Id", std::string { request.header("X-Id") } } };
        static_cast<void>(co_await responder.startStream(200, std::move(headers)));
        for (auto number = 1; number <= events; ++number) {
            auto event = "id: " + std::to_string(number) + "\ndata: ";
            event.resize(eventBytes - 2, 'x');
            event += "\n\n";
            static_cast<void>(co_await responder.write(std::move(event)));
        }
        if (whole)
            static_cast<void>(co_await responder.finish());
    };
}

/// A caller that takes nothing of its stream until it is told to.
class StalledCaller final : public http::Responder
{
public:
    explicit StalledCaller(asio::io_context &context)
        : context_(context)
    { }
    auto send(http::Response response) -> asio::awaitable<absl::Status> override
    {
        status = response.status;
        co_await waitUntil(context_, takes);
        body = std::move(response.body);
        co_return absl::OkStatus();
    }
    auto startStream(std::uint32_t itsStatus, http::Headers /*headers*/)
            -> asio::awaitable<absl::Status> override
    {
        status = itsStatus;
        co_return absl::OkStatus();
    }
    auto write(std::string chunk) -> asio::awaitable<absl::Status> override
    {
        CHECK_FALSE(std::exchange(isWriting_, true));
        co_await waitUntil(context_, takes);
        isWriting_ = false;
        if (isCutOff)
            co_return makeError(ErrorKind::EndpointFailed, "peer gone");
        body += chunk;
        co_return absl::OkStatus();
    }
    auto finish() -> asio::awaitable<absl::Status> override
    {
        CHECK_FALSE(isWriting_);
        whole = true;
        co_return absl::OkStatus();
    }
    auto peerGone() const -> bool override { return isCutOff; }
    auto onPeerGone(std::function<void()> callback) -> void override { onGone = callback; }
    auto started() const -> bool override { return status != 0; }

    bool takes = false;    ///< Set to let it read.
    bool isCutOff = false; ///< Its write fails, as after the write timeout.
    std::uint32_t status = 0;
    std::string body;
    bool whole = false;
    bool done = false; ///< The forwarder has finished the request.
    std::function<void()> onGone;

private:
    asio::io_context &context_;
    bool isWriting_ = false;
};

/// A rig with callers that do not read.
struct StalledRig
{
    explicit StalledRig(std::uint64_t memoryLimit, int callerCount = 1)
        : rig(rigOptions(limitedTo(memoryLimit)))
        , endpoint(rig.addEndpoint("i-1"))
    {
        for (auto i = 0; i < callerCount; ++i)
            callers.push_back(std::make_unique<StalledCaller>(rig.context));
    }
    /// Begins a request of each caller. @param path that of its route
    auto begin(const std::string &path) -> void
    {
        for (auto i = std::size_t { 0 }; i < callers.size(); ++i) {
            auto work = [](Forwarder &forwarder, StalledCaller &caller, std::string itsPath,
                           std::string id) -> asio::awaitable<void> {
                auto request = http::Request {};
                request.method = "POST";
                request.target = itsPath;
                request.path = itsPath;
                request.headers = { { "Host", "t" }, { "X-Id", id } };
                co_await forwarder.handle(request, caller);
                caller.done = true;
            };
            asio::co_spawn(rig.context,
                           work(rig.forwarder, *callers[i], path, "r" + std::to_string(i)),
                           [](const std::exception_ptr &failure) { CHECK_FALSE(failure); });
        }
    }
    auto release() -> void
    {
        for (auto &caller : callers)
            caller->takes = true;
    }
    auto held() const -> const HeldBytes & { return rig.forwarder.heldBytes(); }
    /// @return true when the endpoint has no request of the gateway any more
    auto endpointIsFree() -> bool { return rig.view.find(EndpointId { "i-1" })->running == 0; }
    auto allDone() const -> bool
    {
        return std::all_of(callers.begin(), callers.end(),
                           [](const auto &caller) { return caller->done; });
    }

    Rig rig;
    FakeEndpoint &endpoint;
    std::vector<std::unique_ptr<StalledCaller>> callers;
};

} // namespace

// Guards against requests that wait for memory until their deadline, or reach an endpoint although
// the refusal says that they did not run.
TEST_CASE("A request whose body does not fit is refused at once as not run, and taken when it does")
{
    auto rig = Rig { rigOptions(limitedTo(10'000)) };
    auto &endpoint = rig.addEndpoint("i-1");
    auto mayAnswer = false;
    endpoint.handler = answeringWhen(rig.context, mayAnswer);
    const auto request = [](const std::string &id) {
        auto result = Rig::request("/once/x", id);
        result.body = std::string(3000, 'b');
        return result;
    };
    const auto first = rig.begin(request("r1"));
    REQUIRE(rig.runUntil([&] { return endpoint.seen.size() == 1; }));
    const auto refused = rig.call(request("r2"));
    CHECK(refused.status == 503);
    CHECK_FALSE(http::findHeader(refused.headers, "X-Come-Back").empty());
    CHECK(rig.metrics.text({}).find("figrack_gateway_memory_refusals_total 1")
          != std::string::npos);
    mayAnswer = true;
    REQUIRE(rig.runUntil([&] { return first->has_value(); }));
    CHECK((*first)->status == 200);
    CHECK(rig.call(request("r3")).status == 200);
    CHECK(endpoint.seen.size() == 2);
    CHECK(rig.forwarder.heldBytes().sum() == 0);
}

// Guards against a gateway that fills an endpoint's memory while others have room.
TEST_CASE("An endpoint that holds too many bytes gets no further request until one has ended")
{
    auto heldBytes = limitedTo(1'000'000);
    heldBytes.minAtEndpoint = 4'000;
    heldBytes.largeBodies = 1;
    auto rig = Rig { rigOptions(heldBytes) };
    auto mayAnswer = std::array<bool, 2> { false, false };
    auto endpoints = std::array<FakeEndpoint *, 2> {};
    for (auto i = std::size_t { 0 }; i < 2; ++i) {
        endpoints[i] = &rig.addEndpoint("i-" + std::to_string(i));
        endpoints[i]->handler = answeringWhen(rig.context, mayAnswer[i]);
    }
    auto begun = std::vector<std::shared_ptr<std::optional<Got>>> {};
    const auto begin = [&] {
        auto request = Rig::request("/once/x", "r" + std::to_string(begun.size()));
        request.body = std::string(3'000, 'b');
        begun.push_back(rig.begin(std::move(request)));
    };
    // Two bodies at each are more than 4,000 bytes.
    for (auto i = std::size_t { 1 }; i <= 4; ++i) {
        begin();
        REQUIRE(rig.runUntil(
                [&] { return endpoints[0]->seen.size() + endpoints[1]->seen.size() == i; }));
    }
    CHECK(endpoints[0]->seen.size() == 2);
    CHECK(endpoints[1]->seen.size() == 2);
    // Nothing is released, so that the next one is refused as not run.
    begin();
    REQUIRE(rig.runUntil([&] { return begun.back()->has_value(); }));
    CHECK((*begun.back())->status == 503);
    CHECK(endpoints[0]->seen.size() + endpoints[1]->seen.size() == 4);
    mayAnswer[1] = true;
    REQUIRE(rig.runUntil([&] {
        return std::count_if(begun.begin(), begun.end(),
                             [](const auto &got) { return got->has_value(); })
                == 3;
    }));
    begin();
    REQUIRE(rig.runUntil([&] { return begun.back()->has_value(); }));
    CHECK((*begun.back())->status == 200);
    CHECK(endpoints[1]->seen.size() == 3);
    mayAnswer[0] = true;
    REQUIRE(rig.runUntil([&] { return begun[0]->has_value() && begun[1]->has_value(); }));
}

// Guards against backpressure: an endpoint whose answer stays unread cuts it off, and its slot
// stays taken meanwhile.
TEST_CASE("Under load from callers that stall, endpoints' answers are read, and nothing is lost")
{
    auto stalled = StalledRig { 10'000'000, 40 };
    stalled.endpoint.handler = streamingLarge(12, true);
    stalled.begin("/stream/x");
    CHECK(stalled.rig.runUntil(
            [&] { return stalled.endpoint.seen.size() == 40 && stalled.endpointIsFree(); }));
    CHECK(stalled.held().of(Kind::Buffered) == 40 * 12 * eventBytes);
    CHECK(stalled.held().callersBufferedFor() == 40);
    stalled.release();
    CHECK(stalled.rig.runUntil([&] { return stalled.allDone(); }));
    for (const auto &caller : stalled.callers) {
        CHECK(caller->body.size() == 12 * eventBytes);
        CHECK(caller->whole);
    }
    CHECK(stalled.held().sum() == 0);
    CHECK(stalled.held().callersBufferedFor() == 0);
}

// Guards against buffers without a bound, in which slow callers fill the memory.
TEST_CASE("Beyond the bound, a stream goes at its caller's pace, and nothing is lost")
{
    // A quarter of the memory has room for 20 of 240 events.
    auto stalled = StalledRig { 4 * 20 * eventBytes, 20 };
    stalled.endpoint.handler = streamingLarge(12, true);
    stalled.begin("/stream/x");
    CHECK(stalled.rig.runUntil(
            [&] { return stalled.held().of(Kind::Buffered) > 19 * eventBytes; }));
    stalled.rig.context.run_for(50ms); // Time to read more than the bound.
    CHECK(stalled.held().of(Kind::Buffered) <= 20 * eventBytes);
    CHECK_FALSE(stalled.endpointIsFree());
    stalled.release();
    CHECK(stalled.rig.runUntil([&] { return stalled.allDone(); }));
    for (const auto &caller : stalled.callers) {
        CHECK(caller->body.size() == 12 * eventBytes);
        CHECK(caller->whole);
    }
    CHECK(stalled.held().sum() == 0);
}

TEST_CASE("A caller that stops reading altogether is cut off, which releases its bytes")
{
    auto stalled = StalledRig { 1'000'000 };
    stalled.endpoint.handler = streamingLarge(12, true);
    stalled.begin("/stream/x");
    REQUIRE(stalled.rig.runUntil([&] { return stalled.held().callersBufferedFor() == 1; }));
    stalled.callers[0]->isCutOff = true;
    stalled.release();
    CHECK(stalled.rig.runUntil([&] { return stalled.allDone(); }));
    CHECK_FALSE(stalled.callers[0]->whole);
    CHECK(stalled.held().sum() == 0);
    CHECK(stalled.endpointIsFree());
}

// Guards against a relay that goes on waiting for a caller that has gone, and keeps the endpoint
// busy.
TEST_CASE("A caller that goes away releases what waits for it, and at once the endpoint")
{
    // More events than fit into the buffer, so that the endpoint's answer is not read to its end.
    auto stalled = StalledRig { 1'000'000 };
    stalled.endpoint.handler = streamingLarge(40, true);
    stalled.begin("/stream/x");
    REQUIRE(stalled.rig.runUntil(
            [&] { return stalled.held().of(Kind::Buffered) > 60'000 - eventBytes; }));
    stalled.rig.context.run_for(50ms); // Until the relay waits for the caller.
    CHECK_FALSE(stalled.endpointIsFree());
    const auto before = stalled.held().of(Kind::Buffered);
    CHECK(before <= 65'536);
    stalled.callers[0]->isCutOff = true;
    stalled.callers[0]->onGone();
    CHECK(stalled.rig.runUntil([&] { return stalled.endpointIsFree(); }));
    // What is being written ends with the connection.
    CHECK(stalled.held().of(Kind::Buffered) <= before);
    stalled.release();
    CHECK(stalled.rig.runUntil([&] { return stalled.allDone(); }));
    CHECK(stalled.held().sum() == 0);
}

TEST_CASE("When an endpoint breaks off, its whole events still reach a stalled caller")
{
    auto stalled = StalledRig { 1'000'000 };
    stalled.endpoint.handler = streamingLarge(5, false);
    stalled.begin("/stream/x");
    REQUIRE(stalled.rig.runUntil(
            [&] { return !stalled.endpoint.seen.empty() && stalled.endpointIsFree(); }));
    CHECK(stalled.held().of(Kind::Buffered) == 5 * eventBytes);
    stalled.release();
    CHECK(stalled.rig.runUntil([&] { return stalled.allDone(); }));
    CHECK(stalled.callers[0]->body.size() == 5 * eventBytes);
    CHECK_FALSE(stalled.callers[0]->whole);
    CHECK(stalled.held().sum() == 0);
}

TEST_CASE("A stream that is resumed at another endpoint goes on in the same buffer")
{
    auto stalled = StalledRig { 1'000'000 };
    stalled.endpoint.handler = streamingLarge(5, false);
    auto &other = stalled.rig.addEndpoint("i-2");
    other.handler = streamingLarge(5, false);
    stalled.begin("/resume/x");
    REQUIRE(stalled.rig.runUntil(
            [&] { return stalled.endpoint.seen.size() + other.seen.size() == 2; }));
    stalled.release();
    CHECK(stalled.rig.runUntil([&] { return stalled.allDone(); }));
    // The second endpoint repeats events that the caller has got.
    CHECK(stalled.callers[0]->body.size() == 5 * eventBytes);
    CHECK(stalled.held().sum() == 0);
}

TEST_CASE("A whole answer is counted until its caller has taken it")
{
    auto stalled = StalledRig { 1'000'000 };
    stalled.endpoint.handler = answering(std::string(200'000, 'a'));
    stalled.begin("/once/x");
    REQUIRE(stalled.rig.runUntil([&] { return stalled.callers[0]->started(); }));
    CHECK(stalled.held().sum() == 200'000);
    stalled.release();
    CHECK(stalled.rig.runUntil([&] { return stalled.allDone(); }));
    CHECK(stalled.callers[0]->body.size() == 200'000);
    CHECK(stalled.held().sum() == 0);
}

// Guards against two writers on one connection, and against an end that overtakes the last events.
TEST_CASE("A caller that reads gets its stream whole through the buffer")
{
    auto rig = Rig { rigOptions(limitedTo(1'000'000)) };
    rig.addEndpoint("i-1").handler = streamingLarge(100, true);
    for (auto i = 0; i < 20; ++i) {
        const auto got = rig.call(Rig::request("/stream/x", "r" + std::to_string(i)));
        CHECK(got.whole);
        CHECK(got.body.size() == 100 * eventBytes);
    }
    CHECK(rig.forwarder.heldBytes().sum() == 0);
}

// Guards against requests that ask the balancer at the same time, and fill the endpoint together.
TEST_CASE("An endpoint that is filled while the balancer is asked gets no further request")
{
    auto heldBytes = limitedTo(1'000'000);
    heldBytes.minAtEndpoint = 4'000;
    heldBytes.largeBodies = 1;
    auto replies = std::vector<BalancerLink::Done> {};
    auto link = BalancerLink {};
    link.ask = [&](const proto::PickRequest &, Duration, BalancerLink::Done done) {
        replies.push_back(std::move(done));
        return std::optional { Address { "10.0.0.1", 1 } };
    };
    link.tell = [](const proto::PickRequest &) { return std::optional<Address> {}; };
    link.end = [](const Address &, const proto::PickEnd &) {};
    auto rig = Rig { rigOptions(heldBytes), link };
    auto mayAnswer = false;
    auto &chosen = rig.addEndpoint("i-1");
    auto &other = rig.addEndpoint("i-2");
    chosen.handler = answeringWhen(rig.context, mayAnswer);
    other.handler = answeringWhen(rig.context, mayAnswer);
    auto begun = std::vector<std::shared_ptr<std::optional<Got>>> {};
    for (auto i = 0; i < 3; ++i) {
        auto request = Rig::request("/once/x", "r" + std::to_string(i));
        request.body = std::string(3'000, 'b');
        begun.push_back(rig.begin(std::move(request)));
    }
    REQUIRE(rig.runUntil([&] { return replies.size() == 3; }));
    auto reply = proto::PickReply {};
    reply.endpoint = chosen.id;
    for (auto &done : std::exchange(replies, {}))
        done(reply);
    REQUIRE(rig.runUntil([&] { return chosen.seen.size() + other.seen.size() == 3; }));
    CHECK(chosen.seen.size() == 2);
    CHECK(other.seen.size() == 1);
    mayAnswer = true;
    REQUIRE(rig.runUntil([&] {
        return std::all_of(begun.begin(), begun.end(),
                           [](const auto &got) { return got->has_value(); });
    }));
}

TEST_CASE("What is held for a request is released when its endpoint breaks off")
{
    auto rig = Rig { rigOptions(limitedTo(1'000'000)) };
    rig.addEndpoint("i-1").handler = breaking();
    CHECK(rig.call(Rig::request("/once/x", "r1")).status == 502);
    CHECK(rig.forwarder.heldBytes().sum() == 0);
    CHECK(rig.forwarder.heldBytes().of(Kind::Sent) == 0);
}
