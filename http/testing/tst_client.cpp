// The client against a peer that a test plays byte by byte: above all, what it
// says about bytes that may have left.

#include <doctest/doctest.h>

#include <future>
#include <utility>

#include "core/error.h"
#include "http/client.h"
#include "http/testing/httpfixture.h"

using namespace figrack;
using namespace figrack::http;

namespace {

using FetchResult = ClientResult<Response>;

class Fixture
{
public:
    explicit Fixture(ClientOptions options = {})
        : client(threads.context(), std::move(options), clock)
    { }
    auto request(const std::string &body = "hello") const -> ClientRequest
    {
        auto made = ClientRequest {};
        made.address = listener.address();
        made.body = body;
        return made;
    }
    auto fetchLater(const ClientRequest &made, Duration timeout = testLimit)
            -> std::future<FetchResult>
    {
        return std::async(std::launch::async, [this, made, timeout] {
            return threads.wait(client.fetch(made, timeout));
        });
    }
    auto open(ClientRequest made) { return threads.wait(client.open(std::move(made), testLimit)); }

    ManualClock clock; ///< Steps as a VM's does in a suspension; timers and sockets do not notice.
    ContextThreads threads;
    RawListener listener;
    Client client;
};

struct Outcome
{
    ErrorKind kind;
    Sent sent;
    auto operator==(const Outcome &) const -> bool = default;
};

auto outcomeOf(const FetchResult &result) -> Outcome
{
    const auto *error = std::get_if<ClientError>(&result);
    REQUIRE(error != nullptr);
    return { errorKind(error->status), error->sent };
}

constexpr auto okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

} // namespace

TEST_CASE("Nothing sent: no listener, a bad address, mayStart says no, a bad header")
{
    auto fixture = Fixture {};
    auto made = fixture.request();
    made.mayStart = [] { return false; };
    CHECK(outcomeOf(fixture.fetchLater(made).get())
          == Outcome { ErrorKind::Cancelled, Sent::Nothing });
    made = fixture.request();
    made.headers.push_back({ "A", "b\r\nC: d" });
    CHECK(outcomeOf(fixture.fetchLater(made).get())
          == Outcome { ErrorKind::Malformed, Sent::Nothing });
    made = fixture.request();
    made.address.ip = "not-a-number";
    CHECK(outcomeOf(fixture.fetchLater(made).get())
          == Outcome { ErrorKind::EndpointFailed, Sent::Nothing });
    made = fixture.request();
    fixture.listener.close();
    CHECK(outcomeOf(fixture.fetchLater(made).get())
          == Outcome { ErrorKind::EndpointFailed, Sent::Nothing });
}

TEST_CASE("MaybeSome sent: closed, reset, silent, half an answer, garbage")
{
    auto fixture = Fixture {};
    const auto play
            = [&](const std::function<void(RawSocket &)> &peer, Duration timeout = testLimit) {
                  auto later = fixture.fetchLater(fixture.request(), timeout);
                  auto socket = fixture.listener.accept();
                  socket.hearUntil("hello");
                  peer(socket);
                  return outcomeOf(later.get());
              };
    const auto failed = Outcome { ErrorKind::EndpointFailed, Sent::MaybeSome };
    CHECK(play([](auto &socket) { socket.close(); }) == failed);
    CHECK(play([](auto &socket) { socket.reset(); }) == failed);
    CHECK(play([](auto &socket) {
              socket.say("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf");
              socket.close();
          })
          == failed);
    CHECK(play([](auto &socket) {
              socket.say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n");
              socket.close();
          })
          == failed);
    CHECK(play([](auto &socket) { socket.say("nonsense\r\n\r\n"); })
          == Outcome { ErrorKind::Malformed, Sent::MaybeSome });
    CHECK(play([](auto &socket) { socket.hearAll(); }, std::chrono::milliseconds { 50 })
          == Outcome { ErrorKind::Timeout, Sent::MaybeSome });
}

TEST_CASE("a kept connection that broke counts as sent; a fresh one is never kept")
{
    auto fixture = Fixture {};
    auto later = fixture.fetchLater(fixture.request());
    auto socket = fixture.listener.accept();
    socket.hearUntil("hello");
    socket.say(okAnswer);
    CHECK(std::get<Response>(later.get()).body == "ok");

    later = fixture.fetchLater(fixture.request("again"));
    CHECK(socket.hearUntil("again").ends_with("again"));
    socket.reset();
    CHECK(outcomeOf(later.get()) == Outcome { ErrorKind::EndpointFailed, Sent::MaybeSome });

    auto fresh = fixture.request();
    fresh.freshConnection = true;
    for (auto round = 0; round < 2; ++round) {
        later = fixture.fetchLater(fresh);
        auto peer = fixture.listener.accept();
        CHECK(peer.hearUntil("hello").find("Connection: close") != std::string::npos);
        peer.say(okAnswer);
        CHECK(std::get<Response>(later.get()).status == 200);
        peer.hearAll();
    }
}

TEST_CASE("a kept connection closed meanwhile is not used")
{
    auto fixture = Fixture {};
    auto later = fixture.fetchLater(fixture.request());
    auto socket = fixture.listener.accept();
    socket.hearUntil("hello");
    socket.say(okAnswer);
    CHECK(std::holds_alternative<Response>(later.get()));
    socket.reset();
    later = fixture.fetchLater(fixture.request());
    auto second = fixture.listener.accept();
    second.hearUntil("hello");
    second.say(okAnswer);
    CHECK(std::holds_alternative<Response>(later.get()));
}

TEST_CASE("a connection that was kept over a suspension is as old as the suspension was long")
{
    // After one of 21 s the VM took connections of 20 s for fresh: their peers had closed them, and
    // what must not run twice was sent on one of them and lost.
    auto fixture = Fixture {};
    auto later = fixture.fetchLater(fixture.request());
    auto socket = fixture.listener.accept();
    socket.hearUntil("hello");
    socket.say(okAnswer);
    REQUIRE(std::holds_alternative<Response>(later.get()));
    auto made = fixture.request();
    SUBCASE("older than the client keeps any")
    {
        fixture.clock.advance(ClientOptions {}.idleTimeout + std::chrono::seconds { 1 });
    }
    SUBCASE("older than this request allows")
    {
        made.maxIdleAge = std::chrono::seconds { 2 };
        fixture.clock.advance(std::chrono::seconds { 3 });
    }
    later = fixture.fetchLater(made);
    auto second = fixture.listener.accept();
    second.hearUntil("hello");
    second.say(okAnswer);
    CHECK(std::holds_alternative<Response>(later.get()));
}

TEST_CASE("answers over the bound are refused")
{
    auto options = ClientOptions {};
    options.maxBodyBytes = 1000;
    auto fixture = Fixture { options };
    auto later = fixture.fetchLater(fixture.request());
    auto socket = fixture.listener.accept();
    socket.hearUntil("hello");
    socket.say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7d0\r\n"
               + std::string(2000, 'x'));
    CHECK(outcomeOf(later.get()) == Outcome { ErrorKind::TooLarge, Sent::MaybeSome });
    later = fixture.fetchLater(fixture.request());
    auto second = fixture.listener.accept();
    second.hearUntil("hello");
    second.say("HTTP/1.1 200 OK\r\nA: " + std::string(100000, 'x'));
    CHECK(outcomeOf(later.get()) == Outcome { ErrorKind::TooLarge, Sent::MaybeSome });
}

TEST_CASE("a stream is read as it comes, to its true end")
{
    auto fixture = Fixture {};
    auto opened = std::async(std::launch::async, [&] { return fixture.open(fixture.request()); });
    auto socket = fixture.listener.accept();
    socket.hearUntil("hello");
    socket.say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    auto result = opened.get();
    auto stream = std::move(std::get<std::unique_ptr<ClientStream>>(result));
    auto all = std::string {};
    for (const auto *part : { "3\r\none\r\n", "3\r\ntwo\r\n", "5\r\nthree\r\n" }) {
        socket.say(part);
        all += fixture.threads.wait(stream->read(testLimit)).value();
    }
    CHECK(all == "onetwothree");
    socket.say("0\r\n\r\n");
    CHECK(fixture.threads.wait(stream->read(testLimit)).value().empty());
    CHECK(fixture.threads.wait(stream->read(testLimit)).value().empty());
}

TEST_CASE("a cut stream is an error, and dropping one resets its connection")
{
    auto fixture = Fixture {};
    const auto begin = [&](RawSocket &socket, auto &opened) {
        socket.hearUntil("hello");
        socket.say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n");
        auto result = opened.get();
        auto stream = std::move(std::get<std::unique_ptr<ClientStream>>(result));
        CHECK(fixture.threads.wait(stream->read(testLimit)).value() == "one");
        return stream;
    };
    const auto openLater = [&] {
        return std::async(std::launch::async, [&] { return fixture.open(fixture.request()); });
    };
    auto opened = openLater();
    auto socket = fixture.listener.accept();
    auto stream = begin(socket, opened);
    socket.close();
    CHECK(errorKind(fixture.threads.wait(stream->read(testLimit)).status())
          == ErrorKind::EndpointFailed);

    opened = openLater();
    auto second = fixture.listener.accept();
    stream = begin(second, opened);
    stream.reset();
    second.hearAll();
    CHECK(second.lastCode == boost::asio::error::connection_reset);
}

TEST_CASE("abortAll ends requests in progress, to one address or to all, from any thread")
{
    auto fixture = Fixture {};
    for (const auto all : { false, true }) {
        auto later = fixture.fetchLater(fixture.request());
        auto socket = fixture.listener.accept();
        socket.hearUntil("hello");
        fixture.client.abortAll({ "127.0.0.1", 1 });
        CHECK(later.wait_for(std::chrono::milliseconds { 20 }) == std::future_status::timeout);
        if (all)
            fixture.client.abortAll();
        else
            fixture.client.abortAll(fixture.listener.address());
        CHECK(outcomeOf(later.get()) == Outcome { ErrorKind::EndpointFailed, Sent::MaybeSome });
        socket.hearAll();
        CHECK(socket.lastCode == boost::asio::error::connection_reset);
    }
}

TEST_CASE("abortAll drops what waits in the kernel's send queue")
{
    auto fixture = Fixture {};
    const auto size = std::size_t { 64 } << 20; // More than both sockets' buffers hold.
    auto later = fixture.fetchLater(fixture.request(std::string(size, 'x')));
    auto socket = fixture.listener.accept();
    socket.hearUntil("xxxx");
    fixture.client.abortAll();
    CHECK(outcomeOf(later.get()) == Outcome { ErrorKind::EndpointFailed, Sent::MaybeSome });
    CHECK(socket.hearAll().size() < size / 2);
    CHECK(socket.lastCode == boost::asio::error::connection_reset);
}

TEST_CASE("a connect that hangs ends in time, also where a disconnect does not wake it")
{
    auto options = ClientOptions {};
    options.connectTimeout = std::chrono::milliseconds { 50 };
    options.userTimeout = 4 * testLimit;
    options.disconnect = [](int) {};
    auto fixture = Fixture { options };
    const auto full = FullListener {};
    auto made = fixture.request();
    made.address = full.address();
    auto result = fixture.fetchLater(made, 4 * testLimit);
    REQUIRE(result.wait_for(testLimit) == std::future_status::ready);
    CHECK(outcomeOf(result.get()) == Outcome { ErrorKind::Timeout, Sent::Nothing });
}

TEST_CASE("a canceller ends a connect that hangs, also where a disconnect does not wake it")
{
    auto options = ClientOptions {};
    options.connectTimeout = 2 * testLimit;
    options.userTimeout = 2 * testLimit;
    options.disconnect = [](int) {};
    auto fixture = Fixture { options };
    const auto full = FullListener {};
    for (auto i = 0; i < 20; ++i) {
        auto made = fixture.request();
        made.address = full.address();
        made.canceller = std::make_shared<Canceller>();
        auto result = fixture.fetchLater(made, 2 * testLimit);
        std::this_thread::sleep_for(std::chrono::milliseconds { i });
        made.canceller->cancel();
        REQUIRE(result.wait_for(testLimit) == std::future_status::ready);
        CHECK(std::get<ClientError>(result.get()).sent == Sent::Nothing);
    }
}

// The client looks for a cancellation before it has a connection that could be aborted.
TEST_CASE("a cancellation that comes before there is a connection aborts it once there is one")
{
    auto canceller = Canceller {};
    canceller.cancel();
    auto aborted = 0;
    canceller.setAbort([&] { ++aborted; });
    CHECK(aborted == 1);
    canceller.setAbort({});
    CHECK(aborted == 1);
}

TEST_CASE("a connection made ahead is kept and used by the next request")
{
    auto fixture = Fixture {};
    const auto address = fixture.listener.address();
    CHECK(!fixture.client.hasKept(address));
    const auto made = fixture.threads.wait(fixture.client.preconnect(address, testLimit));
    REQUIRE(made.ok());
    CHECK(fixture.client.hasKept(address));
    auto peer = fixture.listener.accept();
    auto result = fixture.fetchLater(fixture.request());
    peer.hearUntil("hello");
    peer.say(okAnswer);
    CHECK(std::get<Response>(result.get()).body == "ok");
    peer.close();
    fixture.listener.close();
    const auto failed = fixture.threads.wait(fixture.client.preconnect(address, testLimit));
    CHECK(errorKind(failed) == ErrorKind::EndpointFailed);
}
