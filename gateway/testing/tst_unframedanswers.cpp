// Answers without a length or chunks, which end with their connection: in order when the endpoint
// has sent its last byte, and in order when its process is killed.

#include <doctest/doctest.h>

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "core/boottimer.h"
#include "gateway/testing/rig.h"

using namespace figrack;
using namespace figrack::gateway;
using namespace figrack::gateway::testing;

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

/// What has become of the endpoint at the moment its answer ends.
enum class After : std::uint8_t {
    Well,     ///< It answers questions.
    Full,     ///< It answers a question when the time that the question names has passed.
    Gone,     ///< Nobody listens at its address.
    Replaced, ///< Another incarnation listens at its address.
    Silent,   ///< Connections are accepted, and no question is answered.
    BackedOff ///< It had asked for no requests for a while.
};

auto headers(const std::string &id, const std::string &more) -> std::string
{
    return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\n" + more + "\r\n";
}

const auto eventStream = std::string { "Content-Type: text/event-stream\r\n" };

auto events(int first, int last) -> std::string
{
    auto text = std::string {};
    for (auto number = first; number <= last; ++number)
        text += "id: " + std::to_string(number) + "\ndata: x\n\n";
    return text;
}

/// An endpoint that answers each request with fixed bytes and then closes the connection in order.
class UnframedEndpoint : public std::enable_shared_from_this<UnframedEndpoint>
{
public:
    UnframedEndpoint(asio::io_context &context, std::string more, std::string body, After after)
        : acceptor_(context, { asio::ip::address_v4::loopback(), 0 })
        , more_(std::move(more))
        , body_(std::move(body))
        , after_(after)
    { }
    auto start() -> std::uint16_t
    {
        asio::co_spawn(acceptor_.get_executor(), accept(shared_from_this()), asio::detached);
        return acceptor_.local_endpoint().port();
    }
    auto stop() -> void
    {
        auto ignored = error_code {};
        acceptor_.close(ignored);
        for (const auto &socket : sockets_)
            socket->close(ignored);
    }

    int runs = 0;
    int questions = 0;

private:
    // NOLINTNEXTLINE(performance-unnecessary-value-param): a coroutine owns what it uses.
    static auto accept(std::shared_ptr<UnframedEndpoint> self) -> asio::awaitable<void>
    {
        while (true) {
            auto code = error_code {};
            auto socket = std::make_shared<tcp::socket>(self->acceptor_.get_executor());
            co_await self->acceptor_.async_accept(*socket,
                                                  asio::redirect_error(asio::use_awaitable, code));
            if (code)
                co_return;
            self->sockets_.push_back(socket);
            asio::co_spawn(self->acceptor_.get_executor(), serve(self, socket), asio::detached);
        }
    }

    // NOLINTNEXTLINE(performance-unnecessary-value-param): a coroutine owns what it uses.
    static auto serve(std::shared_ptr<UnframedEndpoint> self, std::shared_ptr<tcp::socket> socket)
            -> asio::awaitable<void>
    {
        auto input = std::string {};
        auto code = error_code {};
        while (input.find("\r\n\r\n") == std::string::npos && !code) {
            auto bytes = std::array<char, 4096> {};
            const auto count = co_await socket->async_read_some(
                    asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, code));
            input.append(bytes.data(), count);
        }
        if (code)
            co_return;
        const auto output = self->answer(input);
        if (self->after_ == After::Full && isQuestion(input)) {
            auto timer = BootTimer { self->acceptor_.get_executor(), timeNamedIn(input) };
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, code));
        }
        if (output.empty())
            co_return; // The connection stays open.
        co_await asio::async_write(*socket, asio::buffer(output),
                                   asio::redirect_error(asio::use_awaitable, code));
        if (self->after_ == After::Gone)
            self->acceptor_.close(code);
        socket->shutdown(tcp::socket::shutdown_send, code);
    }

    static auto isQuestion(const std::string &input) -> bool
    {
        return input.rfind("GET /well ", 0) == 0;
    }

    static auto timeNamedIn(const std::string &question) -> Duration
    {
        const auto name = std::string { "X-Left-Ms: " };
        return std::chrono::milliseconds { std::stoi(
                question.substr(question.find(name) + name.size())) };
    }

    auto answer(const std::string &input) -> std::string
    {
        if (isQuestion(input)) {
            ++questions;
            if (after_ == After::Silent)
                return {};
            const auto name = std::string { after_ == After::Replaced ? "i-9" : "i-1" };
            return headers({}, "X-Own-Id: " + name + "\r\nContent-Length: 0\r\n");
        }
        ++runs;
        const auto idName = std::string { "X-Id: " };
        const auto begin = input.find(idName) + idName.size();
        const auto id = input.substr(begin, input.find('\r', begin) - begin);
        const auto backoff
                = std::string { after_ == After::BackedOff ? "X-Backoff-Ms: 9000\r\n" : "" };
        return headers(id, more_ + backoff) + body_;
    }

    tcp::acceptor acceptor_;
    std::string more_;
    std::string body_;
    After after_;
    std::vector<std::shared_ptr<tcp::socket>> sockets_;
};

/// What one call to the endpoint has led to.
struct Outcome
{
    Got got;
    int runs = 0;
    int questions = 0;
};

/// @param more headers of the endpoint's answer
auto callOnce(const std::string &path, const std::string &more, const std::string &body,
              After after) -> Outcome
{
    auto options = ForwarderOptions {};
    if (after == After::Well || after == After::Full)
        options.endProofTimeout = std::chrono::seconds { 4 };
    auto rig = Rig { options };
    const auto endpoint = std::make_shared<UnframedEndpoint>(rig.context, more, body, after);
    rig.tell("i-1", endpoint->start(), 1, catalogue::EndpointState::Ready);
    auto outcome = Outcome { rig.call(Rig::request(path, "id-1")) };
    outcome.runs = endpoint->runs;
    outcome.questions = endpoint->questions;
    endpoint->stop();
    return outcome;
}

constexpr auto unproved
        = std::array { After::Gone, After::Replaced, After::Silent, After::BackedOff };

} // namespace

// Guards against breaking off the answers of an endpoint that marks their end in this way.
TEST_CASE("An answer that ends with its connection is whole where its endpoint answers afterwards")
{
    const auto plain = callOnce("/once/x", {}, "the body", After::Well);
    CHECK(plain.got.status == 200);
    CHECK(plain.got.body == "the body");
    CHECK(plain.got.whole);
    CHECK(plain.questions == 1);
    const auto stream = callOnce("/stream/x", eventStream, events(1, 5), After::Well);
    CHECK(stream.got.status == 200);
    CHECK(stream.got.body == events(1, 5));
    CHECK(stream.got.whole);
    CHECK(stream.questions == 1);
}

// Guards against asking for a proof that comes after the time in which it is waited for.
TEST_CASE("An answer that ends with its connection is whole where its endpoint has no free slot")
{
    const auto plain = callOnce("/once/x", {}, "the body", After::Full);
    CHECK(plain.got.status == 200);
    CHECK(plain.got.whole);
    CHECK(plain.questions == 1);
}

// Guards against a cut answer that is told as a whole one.
TEST_CASE("A plain answer that ends with its connection fails where its endpoint may have ended")
{
    for (const auto after : unproved) {
        CAPTURE(static_cast<int>(after));
        const auto outcome = callOnce("/once/x", {}, "the bo", after);
        CHECK(outcome.got.status == 502);
        CHECK(outcome.runs == 1);
    }
}

// Guards against a cut stream that is told as complete, and against withholding its events.
TEST_CASE("A stream that ends with its connection is broken off where its endpoint may have ended")
{
    for (const auto after : unproved) {
        CAPTURE(static_cast<int>(after));
        const auto outcome = callOnce("/stream/x", eventStream, events(1, 3), after);
        CHECK(outcome.got.status == 200);
        CHECK(outcome.got.body == events(1, 3));
        CHECK(!outcome.got.whole);
        CHECK(outcome.runs == 1);
    }
}

// Guards against a cut stream that is not resumed.
TEST_CASE("A resumable stream that ends with its connection goes on where its endpoint is gone")
{
    auto rig = Rig {};
    const auto endpoint = std::make_shared<UnframedEndpoint>(rig.context, eventStream, events(1, 3),
                                                             After::Gone);
    rig.tell("i-1", endpoint->start(), 1, catalogue::EndpointState::Ready);
    const auto got = rig.begin(Rig::request("/resume/x", "id-1"));
    REQUIRE(rig.runUntil([&] { return endpoint->runs == 1; }));
    auto &second = rig.addEndpoint("i-2");
    second.handler = streaming(4, 5, true);
    REQUIRE(rig.runUntil([&] { return got->has_value(); }));
    CHECK((*got)->whole);
    CHECK((*got)->body.find("id: 3\n") != std::string::npos);
    CHECK((*got)->body.find("id: 5\n") != std::string::npos);
    REQUIRE(second.seen.size() == 1);
    CHECK(second.seen.front().header("X-After") == "3");
    endpoint->stop();
}

// Guards against questions where the end is known.
TEST_CASE("An endpoint is asked nothing after an answer whose end is marked")
{
    const auto plain = callOnce("/once/x", "Content-Length: 8\r\n", "the body", After::Well);
    CHECK(plain.got.body == "the body");
    CHECK(plain.got.whole);
    CHECK(plain.questions == 0);
    const auto stream = callOnce("/stream/x", eventStream + "Transfer-Encoding: chunked\r\n",
                                 "5\r\n: x\n\n\r\n0\r\n\r\n", After::Well);
    CHECK(stream.got.whole);
    CHECK(stream.questions == 0);
}
