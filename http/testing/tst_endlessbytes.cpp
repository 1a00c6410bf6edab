// Peers that send bytes without end, fast or one by one, in every position of a message.

#include <doctest/doctest.h>

#include <future>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <variant>
#include <vector>

#include "core/error.h"
#include "core/random.h"
#include "core/testing/allocations.h"
#include "http/client.h"
#include "http/server.h"
#include "http/testing/httpfixture.h"

using namespace figrack;
using namespace figrack::http;

namespace {

constexpr auto bodyLimit = std::size_t { 64 } << 10;
/// Above what any head, buffer, coroutine or body within the limit takes by itself.
constexpr auto allocationLimit = std::size_t { 256 } << 10;
/// More than any bound on skipped bytes. A peer that may send this much was not bounded.
constexpr auto floodLimit = std::size_t { 256 } << 20;
constexpr auto shortTime = std::chrono::milliseconds { 300 };
constexpr auto tricklePause = std::chrono::milliseconds { 5 };

struct Endless
{
    std::string position;
    std::string begin;
    std::string unit;
};

/// Sends without end until the peer closes. @return false if it did not close
auto flood(RawSocket &socket, const Endless &bytes, bool isTrickled) -> bool
{
    if (!socket.say(bytes.begin))
        return true;
    auto block = bytes.unit;
    while (!isTrickled && block.size() < std::size_t { 8 } << 10)
        block += block;
    for (auto sent = std::size_t { 0 }; sent < floodLimit; sent += block.size()) {
        if (!socket.say(block))
            return true;
        if (isTrickled)
            std::this_thread::sleep_for(tricklePause);
    }
    return false;
}

auto answer(const std::string &id, const std::string &body) -> std::string
{
    return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nContent-Length: " + std::to_string(body.size())
            + "\r\n\r\n" + body;
}

/// A client that has kept a connection to a peer.
class ClientWorld
{
public:
    auto fetch(const std::string &id, Duration timeout) -> ClientResult<Response>
    {
        return threads_.wait(client_.fetch(requestOf(id), timeout));
    }
    /// Reads an answer by pieces. @return how it ended
    auto readStream(const std::string &id, Duration timeout) -> absl::Status
    {
        auto opened = threads_.wait(client_.open(requestOf(id), timeout));
        if (const auto *error = std::get_if<ClientError>(&opened))
            return error->status;
        auto &stream = std::get<std::unique_ptr<ClientStream>>(opened);
        for (auto bytes = std::size_t { 0 }; bytes <= bodyLimit;) {
            auto chunk = threads_.wait(stream->read(timeout));
            if (!chunk.ok() || chunk->empty())
                return chunk.status();
            bytes += chunk->size();
        }
        return makeError(ErrorKind::TooLarge, "body");
    }
    /// Answers one request on a new connection. The connection is left open.
    auto serveOne(const std::string &id) -> std::unique_ptr<RawSocket>
    {
        auto done = std::async(std::launch::async, [&] { return fetch(id, testLimit); });
        auto socket = accept();
        socket->hearUntil("\r\n\r\n");
        socket->say(answer(id, "own"));
        const auto result = done.get();
        const auto *response = std::get_if<Response>(&result);
        CHECK((response != nullptr && response->body == "own"));
        return socket;
    }
    auto accept() -> std::unique_ptr<RawSocket>
    {
        return std::unique_ptr<RawSocket> { new RawSocket(listener_.accept()) };
    }

private:
    auto requestOf(const std::string &id) -> ClientRequest
    {
        auto request = ClientRequest {};
        request.address = listener_.address();
        request.method = "GET";
        request.headers = { { "X-Id", id } };
        request.match = { "X-Id", id };
        return request;
    }

    SystemClock clock_;
    ContextThreads threads_;
    RawListener listener_;
    Client client_ { threads_.context(), optionsOf(), clock_ };

    static auto optionsOf() -> ClientOptions
    {
        auto options = ClientOptions {};
        options.maxBodyBytes = bodyLimit;
        return options;
    }
};

const auto own = std::string { "HTTP/1.1 200 OK\r\nX-Id: r\r\n" };
const auto chunked = own + "Transfer-Encoding: chunked\r\n\r\n";
const auto foreign = std::string { "HTTP/1.1 200 OK\r\nX-Id: other\r\n" };

auto endlessAnswers() -> std::vector<Endless>
{
    return {
        { "before the head", "", "z" },
        { "empty lines", "", "\r\n" },
        { "status line", "HTTP/1.1 200 O", "K" },
        { "header name", own + "X-", "n" },
        { "header value", own + "X-Long: ", "v" },
        { "headers", own, "X-More: 1\r\n" },
        { "interim answers", "", "HTTP/1.1 103 Early Hints\r\n\r\n" },
        { "interim answers that name it", "", "HTTP/1.1 102 P\r\nX-Id: r\r\n\r\n" },
        { "interim answers without a reason", "", "HTTP/1.1 102 \r\n\r\n" },
        { "interim header", "HTTP/1.1 100 Continue\r\nX-Long: ", "v" },
        { "body to the end", own + "\r\n", "b" },
        { "body of a length", own + "Content-Length: 999999999999\r\n\r\n", "b" },
        { "chunks", chunked, "1\r\nb\r\n" },
        { "chunk size", chunked, "0" },
        { "chunk extension", chunked + "1;e=", "x" },
        { "extensions of many chunks", chunked, "1;e=xxxxxxxxxxxxxxxxxxxxx\r\nb\r\n" },
        { "trailer value", chunked + "0\r\nX-Long: ", "v" },
        { "trailers", chunked + "0\r\n", "X-More: 1\r\n" },
    };
}

auto foreignAnswers() -> std::vector<Endless>
{
    return {
        { "foreign body", foreign + "\r\n", "b" },
        { "foreign chunks", foreign + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nb\r\n" },
        { "foreign answers", "", foreign + "Content-Length: 1\r\n\r\nb" },
        { "unnamed refusals", "", "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n" },
    };
}

/// @return how the request ended
auto endOf(ClientWorld &world, bool isStream, Duration timeout) -> absl::Status
{
    if (isStream)
        return world.readStream("r", timeout);
    const auto result = world.fetch("r", timeout);
    const auto *error = std::get_if<ClientError>(&result);
    return error == nullptr ? absl::OkStatus() : error->status;
}

auto checkAnswer(const Endless &bytes, bool isForeign, bool isStream, bool isTrickled) -> void
{
    CAPTURE(bytes.position);
    CAPTURE(isStream);
    CAPTURE(isTrickled);
    resetLargestAllocation();
    auto world = ClientWorld {};
    auto kept = isForeign ? world.serveOne("first") : nullptr;
    auto end = std::async(std::launch::async, [&] {
        return endOf(world, isStream, isTrickled ? Duration { shortTime } : testLimit);
    });
    auto socket = isForeign ? std::move(kept) : world.accept();
    socket->hearUntil("\r\n\r\n");
    CHECK(flood(*socket, bytes, isTrickled));
    const auto status = end.get();
    CHECK_FALSE(status.ok());
    if (!isTrickled)
        CHECK(errorKind(status) != ErrorKind::Timeout);
    world.serveOne("next");
    CHECK(largestAllocation() <= allocationLimit);
}

} // namespace

// Guards against an answer that occupies its request or the memory for as long as bytes come.
TEST_CASE("A request ends within its bounds wherever its answer goes on without end")
{
    auto random = Random { 7 };
    for (const auto &bytes : endlessAnswers()) {
        checkAnswer(bytes, false, false, false);
        checkAnswer(bytes, false, true, false);
        if (random.below(2) == 0)
            checkAnswer(bytes, false, false, true);
    }
}

// Guards against answers to other requests that keep a request from its own.
TEST_CASE("A request ends within its bounds behind foreign answers without end")
{
    for (const auto &bytes : foreignAnswers()) {
        checkAnswer(bytes, true, false, false);
        checkAnswer(bytes, true, true, false);
        checkAnswer(bytes, true, true, true);
    }
}

namespace {

auto handler() -> Handler
{
    return [](const Request & /*request*/, Responder &responder) -> boost::asio::awaitable<void> {
        auto response = Response { 200, {}, "own" };
        static_cast<void>(co_await responder.send(std::move(response)));
    };
}

auto endlessRequests() -> std::vector<Endless>
{
    const auto head = std::string { "POST /x HTTP/1.1\r\nHost: t\r\n" };
    const auto body = head + "Transfer-Encoding: chunked\r\n\r\n";
    return {
        { "before the head", "", "z" },
        { "empty lines", "", "\r\n" },
        { "target", "GET /", "t" },
        { "header name", head + "X-", "n" },
        { "header value", head + "X-Long: ", "v" },
        { "headers", head, "X-More: 1\r\n" },
        { "body of a length", head + "Content-Length: 60000\r\n\r\n", "b" },
        { "chunks", body, "1\r\nb\r\n" },
        { "chunk size", body, "0" },
        { "chunk extension", body + "1;e=", "x" },
        { "extensions of many chunks", body, "1;e=xxxxxxxxxxxxxxxxxxxxx\r\nb\r\n" },
        { "trailer value", body + "0\r\nX-Long: ", "v" },
        { "trailers", body + "0\r\n", "X-More: 1\r\n" },
        { "requests", "", "GET /x HTTP/1.1\r\nHost: t\r\n\r\n" },
        { "bytes after a request", "GET /x HTTP/1.1\r\nHost: t\r\n\r\n", "z" },
    };
}

auto serverOptions() -> ServerOptions
{
    auto options = ServerOptions {};
    options.maxBodyBytes = bodyLimit;
    options.headerTimeout = shortTime;
    options.bodyTimeout = shortTime;
    options.idleTimeout = shortTime;
    options.writeTimeout = shortTime;
    return options;
}

/// @return true once no request is in progress
auto endsAll(const Server &server) -> bool
{
    const auto limit = BootClock::now() + testLimit;
    while (server.inProgress() > 0 && BootClock::now() < limit)
        std::this_thread::sleep_for(std::chrono::milliseconds { 5 });
    return server.inProgress() == 0;
}

} // namespace

// Guards against a caller who occupies a connection or the memory for as long as it sends.
TEST_CASE("A connection ends within its bounds wherever its request goes on without end")
{
    auto threads = ContextThreads {};
    auto server = Server { threads.context(), serverOptions(), handler() };
    REQUIRE(server.start({ "127.0.0.1", 0 }).ok());
    const auto floodOne = [&server](const Endless &bytes, bool isTrickled) {
        auto socket = RawSocket { server.port() };
        return flood(socket, bytes, isTrickled);
    };
    const auto isNextServed = [&server] {
        auto next = RawSocket { server.port() };
        next.say("GET /x HTTP/1.1\r\nHost: t\r\n\r\n");
        return next.hearUntil("own").find("200") != std::string::npos;
    };
    resetLargestAllocation();
    auto trickled = std::vector<std::pair<std::string, std::future<bool>>> {};
    for (const auto &bytes : endlessRequests()) {
        CAPTURE(bytes.position);
        CHECK(floodOne(bytes, false));
        CHECK(isNextServed());
        // Whole requests may go on for as long as their answers are taken.
        if (bytes.position != "requests") {
            trickled.emplace_back(bytes.position,
                                  std::async(std::launch::async, floodOne, bytes, true));
        }
    }
    for (auto &item : trickled) {
        CAPTURE(item.first);
        CHECK(item.second.get());
        CHECK(isNextServed());
    }
    CHECK(endsAll(server));
    CHECK(largestAllocation() <= allocationLimit);
}
