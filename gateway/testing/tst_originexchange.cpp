// Messages about the origins of streams over sockets.

#include <doctest/doctest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "gateway/handoffserver.h"
#include "gateway/originexchange.h"

using namespace figrack;
using namespace figrack::gateway;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

auto keysOf(char letter) -> std::shared_ptr<proto::PeerKeys>
{
    return *proto::PeerKeys::fromText(std::string(64, letter));
}

auto queryOf(const std::string &attempt) -> proto::StreamOriginMessage
{
    return proto::StreamOriginQuery { { ServiceId { "s" }, attempt }, 1 };
}

struct ExchangeRig
{
    explicit ExchangeRig(char serverKey = 'a')
        : server(context, { {}, keysOf(serverKey) }, {},
                 [this](const proto::StreamOriginMessage &message) {
                     handled.push_back(message);
                     return reply;
                 })
        , exchange({ keysOf('a') }, context, clock)
    {
        REQUIRE(server.start({ "127.0.0.1", 0 }).ok());
    }
    ~ExchangeRig()
    {
        exchange.stop();
        server.stop();
        context.restart();
        context.run_for(50ms);
    }
    ExchangeRig(const ExchangeRig &) = delete;
    auto operator=(const ExchangeRig &) -> ExchangeRig & = delete;

    auto send(std::uint16_t port, proto::StreamOriginMessage message) -> OriginAnswer
    {
        auto result = std::optional<OriginAnswer> {};
        auto work
                = [](OriginTransport transport, OriginOwner owner, proto::StreamOriginMessage sent,
                     std::optional<OriginAnswer> *out) -> asio::awaitable<void> {
            *out = co_await transport.send(std::move(owner), std::move(sent), 300ms);
        };
        auto owner = OriginOwner { NodeId { "g2" }, { "127.0.0.1", port }, DomainId { "d2" } };
        asio::co_spawn(context,
                       work(exchange.transport(), std::move(owner), std::move(message), &result),
                       asio::detached);
        context.restart();
        const auto limit = clock.now() + 10s;
        while (!result && clock.now() < limit)
            context.run_one_for(20ms);
        return result.value();
    }

    asio::io_context context { 1 };
    SystemClock clock;
    std::vector<proto::StreamOriginMessage> handled;
    proto::StreamOriginReply reply;
    HandoffServer server;
    OriginExchange exchange;
};

auto failureOf(const OriginAnswer &answer) -> std::optional<OriginFailure>
{
    const auto *failure = std::get_if<OriginFailure>(&answer);
    return failure != nullptr ? std::optional { *failure } : std::nullopt;
}

} // namespace

TEST_CASE("Messages about origins reach the other gateway, and its reply comes back")
{
    auto rig = ExchangeRig {};
    rig.reply = { proto::StreamOrigin { "v1", AccountId { "a1" } }, { "v1", "v2" }, true };
    for (auto i = 0; i < 3; ++i) {
        const auto answer = rig.send(rig.server.port(), queryOf("id-" + std::to_string(i)));
        const auto *reply = std::get_if<proto::StreamOriginReply>(&answer);
        REQUIRE(reply != nullptr);
        CHECK(reply->origin == rig.reply.origin);
        CHECK(reply->versions == rig.reply.versions);
        CHECK(reply->isComplete);
    }
    REQUIRE(rig.handled.size() == 3);
    CHECK(std::get<proto::StreamOriginQuery>(rig.handled.back()).key.attempt == "id-2");
}

TEST_CASE("A message about origins with another fleet's seal is refused, and not handled")
{
    auto rig = ExchangeRig { 'b' };
    CHECK(failureOf(rig.send(rig.server.port(), queryOf("id-1"))) == OriginFailure::NoAnswer);
    CHECK(rig.handled.empty());
}

TEST_CASE("A message about origins that exceeds a bound is refused, and not handled")
{
    auto rig = ExchangeRig {};
    auto begun = proto::BegunStreams {};
    begun.streams.resize(proto::maxBegunStreams + 1);
    CHECK(failureOf(rig.send(rig.server.port(), begun)) == OriginFailure::NoAnswer);
    CHECK(failureOf(rig.send(rig.server.port(),
                             queryOf(std::string(proto::maxOriginTextBytes + 1, 'x'))))
          == OriginFailure::NoAnswer);
    CHECK(rig.handled.empty());
    begun.streams.pop_back();
    CHECK(!failureOf(rig.send(rig.server.port(), begun)));
}

TEST_CASE("A reply about origins of another process at the address is not believed")
{
    auto rig = ExchangeRig {};
    const auto forge
            = [](const http::Request &, http::Responder &responder) -> asio::awaitable<void> {
        auto reply = proto::StreamOriginReply {};
        reply.origin = proto::StreamOrigin { "v9", AccountId { "a1" } };
        auto sealed = proto::sealStreamOriginReply(reply, "", *keysOf('b'));
        auto response = http::Response {};
        response.headers = { { "Figrack-Seal", sealed.seal } };
        response.body = sealed.bytes;
        static_cast<void>(co_await responder.send(std::move(response)));
    };
    auto forger = http::Server { rig.context, {}, forge };
    REQUIRE(forger.start({ "127.0.0.1", 0 }).ok());
    CHECK(failureOf(rig.send(forger.port(), queryOf("id-1"))) == OriginFailure::NoAnswer);
    forger.stop();
}

TEST_CASE("A gateway whose process has ended is told from one that cannot be reached")
{
    auto rig = ExchangeRig {};
    // Listens without accepting, with a full queue: further connections get no answer.
    auto silent = asio::ip::tcp::acceptor { rig.context };
    silent.open(asio::ip::tcp::v4());
    silent.bind({ asio::ip::address_v4::loopback(), 0 });
    silent.listen(8);
    const auto port = silent.local_endpoint().port();
    CHECK(failureOf(rig.send(port, queryOf("id-1"))) == OriginFailure::NoAnswer);
    silent.close();
    CHECK(failureOf(rig.send(port, queryOf("id-1"))) == OriginFailure::Refused);
    const auto used = rig.server.port();
    CHECK(!failureOf(rig.send(used, queryOf("id-1"))));
    rig.server.stop();
    CHECK(failureOf(rig.send(used, queryOf("id-1"))) == OriginFailure::Refused);
}
