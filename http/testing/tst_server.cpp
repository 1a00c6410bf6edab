// The server over real sockets: what a well-behaved and a hostile peer gets.

#include <doctest/doctest.h>

#include <atomic>
#include <future>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "http/server.h"
#include "http/testing/httpfixture.h"

using namespace figrack;
using namespace figrack::http;
namespace asio = boost::asio;

namespace {

constexpr auto never = std::chrono::hours { 1 };

/// What the handler under test notices.
struct Notes
{
    std::promise<void> gone;
    std::promise<absl::Status> writeEnded;
    std::atomic<int> handled { 0 };
};

auto waitForGone(Responder &responder, Notes &notes) -> asio::awaitable<void>
{
    auto timer = asio::steady_timer { co_await asio::this_coro::executor, never };
    responder.onPeerGone([&] { timer.cancel(); });
    auto code = boost::system::error_code {};
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, code));
    if (responder.peerGone())
        notes.gone.set_value();
}

auto writeForever(Responder &responder, Notes &notes) -> asio::awaitable<void>
{
    auto status = co_await responder.startStream(200, {});
    while (status.ok())
        status = co_await responder.write(std::string(64U << 10, 'x'));
    notes.writeEnded.set_value(status);
}

/// Outside the coroutine: g++ 12 cannot compile the initializer list inside one.
auto eventStreamHeaders() -> Headers
{
    return { { "Content-Type", "text/event-stream" } };
}

auto streamOf(Responder &responder, bool whole) -> asio::awaitable<void>
{
    co_await responder.startStream(200, eventStreamHeaders());
    co_await responder.write("one");
    co_await responder.write("two");
    if (whole)
        co_await responder.finish();
}

auto handle(const Request &request, Responder &responder, Notes &notes) -> asio::awaitable<void>
{
    ++notes.handled;
    if (request.path == "/stream" || request.path == "/broken")
        co_return co_await streamOf(responder, request.path == "/stream");
    if (request.path == "/gone")
        co_return co_await waitForGone(responder, notes);
    if (request.path == "/forever")
        co_return co_await writeForever(responder, notes);
    if (request.path == "/silent")
        co_return;
    if (request.path == "/throw")
        throw std::runtime_error("on purpose");
    auto response = Response {};
    response.headers.push_back({ "X-Echo", std::string { request.header("X-Echo") } });
    response.body = request.method + " " + request.path + " " + request.body;
    co_await responder.send(std::move(response));
}

class Fixture
{
public:
    explicit Fixture(ServerOptions options = {})
        : server(threads.context(), std::move(options),
                 [this](const Request &request, Responder &responder) {
                     return handle(request, responder, notes);
                 })
    {
        REQUIRE(server.start({ "127.0.0.1", 0 }).ok());
    }
    auto dial() const -> RawSocket { return RawSocket { server.port() }; }
    /// @return the answer to one text on a connection of its own, read to its end
    auto ask(const std::string &text) const -> std::string
    {
        auto socket = dial();
        socket.say(text);
        return socket.hearAll();
    }

    Notes notes;
    ContextThreads threads;
    Server server;
};

auto has(const std::string &text, std::string_view part) -> bool
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("pipelined requests are answered in order, the last one closes")
{
    auto fixture = Fixture {};
    const auto heard
            = fixture.ask("GET /a HTTP/1.1\r\n\r\nPOST /b HTTP/1.1\r\nContent-Length: 2\r\n"
                          "\r\nhiGET /stream HTTP/1.1\r\n\r\n"
                          "GET /c HTTP/1.1\r\nConnection: close\r\n\r\n");
    const auto a = heard.find("GET /a ");
    const auto b = heard.find("POST /b hi");
    const auto stream = heard.find("3\r\none\r\n3\r\ntwo\r\n0\r\n\r\n");
    const auto c = heard.find("GET /c ");
    CHECK(a < b);
    CHECK(b < stream);
    CHECK(stream < c);
    CHECK(c != std::string::npos);
}

TEST_CASE("garbage, oversized and half requests get an error and a close")
{
    auto options = ServerOptions {};
    options.maxHeaderBytes = 2048;
    options.maxBodyBytes = 1000;
    auto fixture = Fixture { options };
    auto heard = fixture.ask("\x16\x03\x01 not http\r\n\r\n");
    CHECK(has(heard, "HTTP/1.1 400"));
    CHECK(has(heard, "\"bad_request\""));
    CHECK(has(heard, "X-Figrack-Ran: not_run"));
    CHECK(has(fixture.ask("POST / HTTP/1.1\r\nContent-Length: 5000\r\n\r\n"), "HTTP/1.1 413"));
    CHECK(has(
            fixture.ask("POST / HTTP/1.1\r\nContent-Length: 5000\r\n\r\n" + std::string(5000, 'x')),
            "\"too_large\""));
    CHECK(has(fixture.ask("GET / HTTP/1.1\r\nA: " + std::string(4000, 'a') + "\r\n\r\n"),
              "HTTP/1.1 413"));
    CHECK(fixture.notes.handled == 0);
    CHECK(has(fixture.ask("GET /up HTTP/1.1\r\nConnection: close\r\n\r\n"), "GET /up"));
}

TEST_CASE("a slow header and a slow body end in 408")
{
    auto options = ServerOptions {};
    options.headerTimeout = std::chrono::milliseconds { 100 };
    options.bodyTimeout = std::chrono::milliseconds { 100 };
    auto fixture = Fixture { options };
    CHECK(has(fixture.ask("GET / HT"), "HTTP/1.1 408"));
    CHECK(has(fixture.ask("POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nabc"), "HTTP/1.1 408"));
    CHECK(fixture.notes.handled == 0);
}

TEST_CASE("a drip of header bytes does not move the header's deadline")
{
    auto options = ServerOptions {};
    options.headerTimeout = std::chrono::milliseconds { 200 };
    auto fixture = Fixture { options };
    auto socket = fixture.dial();
    auto heard = std::future<std::string> { std::async(std::launch::async,
                                                       [&] { return socket.hearAll(); }) };
    auto sent = 0;
    socket.say("GET / HTTP/1.1\r\nA: ");
    while (heard.wait_for(std::chrono::milliseconds { 10 }) != std::future_status::ready) {
        socket.say("a");
        REQUIRE(++sent < 3000);
    }
    CHECK(has(heard.get(), "HTTP/1.1 408"));
}

TEST_CASE("an idle connection is closed without a word")
{
    auto options = ServerOptions {};
    options.idleTimeout = std::chrono::milliseconds { 50 };
    auto fixture = Fixture { options };
    CHECK(fixture.ask("").empty());
}

TEST_CASE("connections over the bound get 503")
{
    auto options = ServerOptions {};
    options.maxConnections = 1;
    auto fixture = Fixture { options };
    auto first = fixture.dial();
    first.say("GET /a HTTP/1.1\r\n\r\n");
    CHECK(has(first.hearUntil("GET /a"), "200"));
    const auto heard = fixture.ask("GET /b HTTP/1.1\r\n\r\n");
    CHECK(has(heard, "HTTP/1.1 503"));
    CHECK(has(heard, "\"overloaded\""));
}

TEST_CASE("a peer that goes away is noticed while the handler waits, also behind pipelined bytes")
{
    for (const auto *extra : { "", "GET /next HTTP/1.1\r\n\r\n" }) {
        auto fixture = Fixture {};
        auto socket = fixture.dial();
        socket.say(std::string { "GET /gone HTTP/1.1\r\n\r\n" } + extra);
        while (fixture.notes.handled == 0)
            std::this_thread::yield();
        socket.close();
        CHECK(fixture.notes.gone.get_future().wait_for(testLimit) == std::future_status::ready);
    }
}

TEST_CASE("a peer that does not read ends the write after writeTimeout")
{
    auto options = ServerOptions {};
    options.writeTimeout = std::chrono::milliseconds { 100 };
    auto fixture = Fixture { options };
    auto socket = fixture.dial();
    socket.say("GET /forever HTTP/1.1\r\n\r\n");
    auto ended = fixture.notes.writeEnded.get_future();
    REQUIRE(ended.wait_for(testLimit) == std::future_status::ready);
    CHECK(errorKind(ended.get()) == ErrorKind::EndpointFailed);
}

TEST_CASE("a stream that is not finished has no last chunk")
{
    auto fixture = Fixture {};
    const auto heard = fixture.ask("GET /broken HTTP/1.1\r\n\r\n");
    CHECK(has(heard, "two\r\n"));
    CHECK_FALSE(has(heard, "0\r\n\r\n"));
}

TEST_CASE("a stream that is broken off does not look whole to an HTTP/1.0 caller")
{
    auto fixture = Fixture {};
    auto whole = fixture.dial();
    whole.say("GET /stream HTTP/1.0\r\n\r\n");
    CHECK(whole.hearAll().ends_with("onetwo"));
    CHECK(whole.lastCode == asio::error::eof);
    auto broken = fixture.dial();
    broken.say("GET /broken HTTP/1.0\r\n\r\n");
    broken.hearAll();
    CHECK(broken.lastCode == asio::error::connection_reset);
    auto stopped = fixture.dial();
    stopped.say("GET /forever HTTP/1.0\r\n\r\n");
    stopped.hearUntil("xxx");
    fixture.server.stop();
    stopped.hearAll();
    CHECK(stopped.lastCode == asio::error::connection_reset);
}

TEST_CASE("a handler that answers nothing or throws gives 500")
{
    auto fixture = Fixture {};
    CHECK(has(fixture.ask("GET /silent HTTP/1.1\r\nConnection: close\r\n\r\n"), "HTTP/1.1 500"));
    CHECK(has(fixture.ask("GET /throw HTTP/1.1\r\nConnection: close\r\n\r\n"), "HTTP/1.1 500"));
}

TEST_CASE("an echoed value cannot start another header; HEAD has no body; 100-continue is honoured")
{
    auto fixture = Fixture {};
    const auto head = fixture.ask("HEAD /h HTTP/1.1\r\nX-Echo: e\r\nConnection: close\r\n\r\n");
    CHECK(has(head, "X-Echo: e\r\n"));
    CHECK(head.ends_with("\r\n\r\n"));
    auto socket = fixture.dial();
    socket.say("POST /p HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
    CHECK(has(socket.hearUntil("Continue\r\n\r\n"), "HTTP/1.1 100"));
    socket.say("ok");
    CHECK(has(socket.hearUntil("POST /p ok"), "200"));
}

TEST_CASE("stopAccepting ends idle connections and lets a request in progress end")
{
    auto fixture = Fixture {};
    auto idle = fixture.dial();
    idle.say("GET /a HTTP/1.1\r\n\r\n");
    idle.hearUntil("GET /a");
    auto busy = fixture.dial();
    busy.say("POST /b HTTP/1.1\r\nContent-Length: 2\r\n\r\nh");
    fixture.server.stopAccepting();
    CHECK(idle.hearAll().empty());
    busy.say("i");
    const auto heard = busy.hearAll();
    CHECK(has(heard, "POST /b hi"));
    CHECK(has(heard, "Connection: close"));
}

TEST_CASE("a port in use and a missing certificate are settings errors")
{
    auto fixture = Fixture {};
    auto second
            = Server { fixture.threads.context(),
                       {},
                       [](const Request &, Responder &) -> asio::awaitable<void> { co_return; } };
    CHECK(errorKind(second.start({ "127.0.0.1", fixture.server.port() }))
          == ErrorKind::BadSettings);
    auto options = ServerOptions {};
    options.certificateFile = "/nowhere.pem";
    options.keyFile = "/nowhere.key";
    auto third
            = Server { fixture.threads.context(), options,
                       [](const Request &, Responder &) -> asio::awaitable<void> { co_return; } };
    CHECK(errorKind(third.start({ "127.0.0.1", 0 })) == ErrorKind::BadSettings);
}
