// Exceptions at each step of a dispatch: what they leave behind, and what the caller is told.

#include <doctest/doctest.h>

#include <exception>
#include <stdexcept>
#include <string>

#include <boost/asio/co_spawn.hpp>

#include "gateway/testing/rig.h"

using namespace figrack;
using namespace figrack::gateway;
using namespace figrack::gateway::testing;

namespace {

/// The step of a dispatch at which an exception is thrown.
enum class FaultyStep : std::uint8_t {
    None,
    WriteDispatch, ///< Before the request is sent.
    ReadNotice,    ///< The head of the answer has been read.
    Send,          ///< A whole answer is sent to the caller.
    StartStream,
    Write,
    Finish,
};

auto throwAt(FaultyStep step, FaultyStep faulty) -> void
{
    if (step == faulty)
        throw std::out_of_range { "map::at" };
}

/// A caller's connection that fails once by an exception, at one step.
class ThrowingResponder final : public http::Responder
{
public:
    explicit ThrowingResponder(FaultyStep faulty)
        : faulty_(faulty)
    { }
    auto send(http::Response response) -> boost::asio::awaitable<absl::Status> override
    {
        throwAt(FaultyStep::Send, std::exchange(faulty_, FaultyStep::None));
        started_ = true;
        status = response.status;
        co_return absl::OkStatus();
    }
    auto startStream(std::uint32_t code, http::Headers /*headers*/)
            -> boost::asio::awaitable<absl::Status> override
    {
        throwAt(FaultyStep::StartStream, faulty_);
        started_ = true;
        status = code;
        co_return absl::OkStatus();
    }
    auto write(std::string /*chunk*/) -> boost::asio::awaitable<absl::Status> override
    {
        throwAt(FaultyStep::Write, faulty_);
        co_return absl::OkStatus();
    }
    auto finish() -> boost::asio::awaitable<absl::Status> override
    {
        throwAt(FaultyStep::Finish, faulty_);
        co_return absl::OkStatus();
    }
    auto peerGone() const -> bool override { return false; }
    auto onPeerGone(std::function<void()> /*callback*/) -> void override { }
    auto started() const -> bool override { return started_; }

    std::uint32_t status = 0;

private:
    FaultyStep faulty_;
    bool started_ = false;
};

auto requestFor(const std::string &path) -> http::Request
{
    auto request = http::Request {};
    request.method = "POST";
    request.target = path;
    request.path = path;
    request.headers = { { "Host", "t" }, { "X-Id", "r1" }, { "X-Model", "m0" } };
    request.body = "body";
    return request;
}

/// Serves a request while a step throws. @return the status that the caller got; 0: none
auto serveWithFault(Rig &rig, const std::string &path, FaultyStep faulty) -> std::uint32_t
{
    if (faulty == FaultyStep::WriteDispatch) {
        rig.dialect.writeDispatch
                = [](const CallerRequest &, const DispatchTerms &) -> http::Headers {
            throw std::out_of_range { "map::at" };
        };
    }
    if (faulty == FaultyStep::ReadNotice) {
        rig.dialect.readNotice = [](const EndpointId &, std::uint32_t,
                                    const http::Headers &) -> catalogue::EndpointNotice {
            throw std::out_of_range { "map::at" };
        };
    }
    const auto request = requestFor(path);
    auto responder = ThrowingResponder { faulty };
    auto hasEnded = false;
    boost::asio::co_spawn(rig.context, rig.forwarder.handle(request, responder),
                          [&](const std::exception_ptr &) { hasEnded = true; });
    REQUIRE(rig.runUntil([&] { return hasEnded; }));
    return responder.status;
}

auto checkNothingIsLeft(Rig &rig) -> void
{
    CHECK(rig.forwarder.dispatching() == 0);
    CHECK(rig.forwarder.heldBytes().sum() == 0);
    CHECK(rig.forwarder.heldBytes().at(EndpointId { "i-1" }) == 0);
    const auto *entry = rig.view.find(EndpointId { "i-1" });
    REQUIRE(entry != nullptr);
    CHECK(entry->running == 0);
    for (const auto &row : rig.demand.take().rows) {
        CHECK(row.running == 0);
        CHECK(row.waiting == 0);
    }
    CHECK(rig.paths.allSilentFor() == Duration::zero());
}

} // namespace

// Guards against a gateway that crashes when a path is lost after a dispatch has failed.
TEST_CASE("An exception at any step of a dispatch leaves nothing of it behind")
{
    auto rig = Rig {};
    rig.forwarder.setCatalogue(testCatalogue(true));
    auto &endpoint = rig.addEndpoint("i-1", { "m0" });
    for (const auto faulty : { FaultyStep::WriteDispatch, FaultyStep::ReadNotice, FaultyStep::Send,
                               FaultyStep::StartStream, FaultyStep::Write, FaultyStep::Finish }) {
        CAPTURE(static_cast<int>(faulty));
        const auto isOfStream = faulty >= FaultyStep::StartStream;
        endpoint.handler = isOfStream ? streaming(1, 3, true) : answering("ok");
        const auto dialect = rig.dialect;
        serveWithFault(rig, isOfStream ? "/stream/x" : "/once/x", faulty);
        rig.dialect = dialect;
        checkNothingIsLeft(rig);
        rig.forwarder.onPathLost(rig.view.find(EndpointId { "i-1" })->row.group());
    }
}

TEST_CASE("The caller of a request that an exception ends is told whether it may have run")
{
    auto rig = Rig {};
    auto &endpoint = rig.addEndpoint("i-1");
    endpoint.handler = answering("ok");
    CHECK(serveWithFault(rig, "/once/x", FaultyStep::WriteDispatch) == 503);
    CHECK(endpoint.seen.empty());
    auto other = Rig {};
    other.addEndpoint("i-1").handler = answering("ok");
    CHECK(serveWithFault(other, "/once/x", FaultyStep::ReadNotice) == 502);
}

// Guards against a promise not to have run after an exception behind a dispatch that was sent.
TEST_CASE("The caller is promised nothing if an exception follows a dispatch that broke off")
{
    auto link = BalancerLink {};
    link.ask = [](const proto::PickRequest &, Duration, const BalancerLink::Done &) {
        return std::optional<Address> {};
    };
    link.tell = [](const proto::PickRequest &) { return std::optional<Address> { Address {} }; };
    link.end = [](const Address &, const proto::PickEnd &) {
        throw std::out_of_range { "map::at" };
    };
    auto rig = Rig { {}, std::move(link) };
    auto &endpoint = rig.addEndpoint("i-1");
    endpoint.handler = breaking();
    auto request = requestFor("/once/x");
    request.headers.pop_back(); // Without a model.
    auto responder = ThrowingResponder { FaultyStep::None };
    auto hasEnded = false;
    boost::asio::co_spawn(rig.context, rig.forwarder.handle(request, responder),
                          [&](const std::exception_ptr &) { hasEnded = true; });
    REQUIRE(rig.runUntil([&] { return hasEnded; }));
    CHECK(endpoint.seen.size() == 1);
    CHECK(responder.status == 502);
}

TEST_CASE("A request that may be repeated is sent to another endpoint after an exception")
{
    auto rig = Rig {};
    rig.addEndpoint("i-1").handler = answering("ok");
    rig.addEndpoint("i-2").handler = answering("ok");
    const auto readNotice = rig.dialect.readNotice;
    auto hasThrown = false;
    rig.dialect.readNotice
            = [&](const EndpointId &id, std::uint32_t status, const http::Headers &headers) {
                  if (!std::exchange(hasThrown, true))
                      throw std::out_of_range { "map::at" };
                  return readNotice(id, status, headers);
              };
    CHECK(rig.call(Rig::request("/idem/x", "r1")).status == 200);
}
