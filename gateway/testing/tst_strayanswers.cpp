// Endpoints that send wrong bytes before, within or after their answers: what callers get, and how
// often a request runs.

#include <doctest/doctest.h>

#include <array>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "gateway/testing/rig.h"

using namespace figrack;
using namespace figrack::gateway;
using namespace figrack::gateway::testing;

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr auto idName = std::string_view { "X-Id: " };

auto message(const std::string &status, const std::string &headers, const std::string &body)
        -> std::string
{
    return "HTTP/1.1 " + status + "\r\n" + headers
            + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// What an endpoint sends for one request.
struct Reply
{
    std::string bytes;
    std::string late = {}; ///< Sent right before the next reply on the same connection.
    bool isOver = false;   ///< The connection ends after the bytes.
};

/// An endpoint whose answers are right or wrong by a seed. It notes each request that it runs.
class FaultyEndpoint : public std::enable_shared_from_this<FaultyEndpoint>
{
public:
    /// @param refusesFirst it refuses each request once, with a late copy, and answers nothing
    /// wrong
    FaultyEndpoint(asio::io_context &context, std::uint64_t seed, bool refusesFirst = false)
        : acceptor_(context, { asio::ip::address_v4::loopback(), 0 })
        , random_(seed)
        , refusesFirst_(refusesFirst)
    { }
    auto start() -> void
    {
        asio::co_spawn(acceptor_.get_executor(), accept(shared_from_this()), asio::detached);
    }
    auto stop() -> void
    {
        auto ignored = error_code {};
        acceptor_.close(ignored);
        for (const auto &socket : sockets_)
            socket->close(ignored);
    }
    auto port() const -> std::uint16_t { return acceptor_.local_endpoint().port(); }

    std::map<std::string, int> runs;         ///< By the request's ID.
    std::map<std::string, int> trueRefusals; ///< By the request's ID; copies are not counted.
    int wrong = 0;                           ///< Number of times that wrong bytes were sent.

private:
    // NOLINTNEXTLINE(performance-unnecessary-value-param): a coroutine owns what it uses.
    static auto accept(std::shared_ptr<FaultyEndpoint> self) -> asio::awaitable<void>
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
    static auto serve(std::shared_ptr<FaultyEndpoint> self, std::shared_ptr<tcp::socket> socket)
            -> asio::awaitable<void>
    {
        auto input = std::string {};
        auto late = std::string {};
        auto code = error_code {};
        while (!code) {
            while (input.find("\r\n\r\n") == std::string::npos && !code) {
                auto bytes = std::array<char, 4096> {};
                const auto count = co_await socket->async_read_some(
                        asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, code));
                input.append(bytes.data(), count);
            }
            if (code)
                break;
            const auto begin = input.find(idName) + idName.size();
            const auto id = input.substr(begin, input.find('\r', begin) - begin);
            input.clear(); // One request at a time, without a body.
            auto reply = self->answer(id);
            const auto output = std::exchange(late, std::move(reply.late)) + reply.bytes;
            co_await asio::async_write(*socket, asio::buffer(output),
                                       asio::redirect_error(asio::use_awaitable, code));
            if (reply.isOver)
                break;
        }
        auto ignored = error_code {};
        socket->close(ignored);
    }

    auto answer(const std::string &id) -> Reply
    {
        const auto named = "X-Id: " + id + "\r\n";
        const auto signedBy = named + "X-Signed: 1\r\n";
        const auto mustRefuse = refusesFirst_ && trueRefusals[id] == 0;
        if (mustRefuse || (!refusesFirst_ && random_.below(12) == 0)) {
            ++trueRefusals[id];
            // The request waits for the end of the backoff and is sent to the same endpoint again.
            const auto backoff = std::string { refusesFirst_ ? "X-Backoff-Ms: 20\r\n" : "" };
            const auto refusal
                    = message("503 Unavailable", named + "X-Not-Run: 1\r\n" + backoff, "");
            const auto isCopied = refusesFirst_ || random_.below(2) == 0;
            return { refusal, isCopied ? refusal : std::string {} };
        }
        ++runs[id];
        auto own = message("200 OK", signedBy, "answer to " + id);
        const auto last = std::exchange(lastId_, id);
        const auto draw = random_.below(24);
        if (refusesFirst_ || draw >= 10 || last.empty())
            return { own };
        ++wrong;
        return spoil(draw, own, id, last);
    }

    /// @param last the request before
    auto spoil(std::uint64_t how, const std::string &own, const std::string &id,
               const std::string &last) -> Reply
    {
        const auto named = "X-Id: " + id + "\r\n";
        const auto foreign = "answer to " + last;
        switch (how) {
        case 0:
            return { message("200 OK", "", foreign) + own };
        case 1:
            return { message("503 Unavailable", "X-Not-Run: 1\r\n", "") + own };
        case 2:
            return { message("200 OK", "X-Id: " + last + "\r\nX-Signed: 1\r\n", foreign) + own };
        case 3:
            return { message("421 No", "X-Not-Run: 1\r\nX-Draining: 1\r\n", "") + own };
        case 4:
            return { own + message("200 OK", "", foreign) };
        case 5: // A success that names the request, without a signature.
            return { message("200 OK", named, foreign) };
        case 6:
            return { own.substr(0, 1 + random_.below(own.size() - 1)), {}, true };
        case 7:
            return { "HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999\r\n\r\n" + foreign,
                     {},
                     true };
        case 8:
            return { foreign + "\r\n\r\n" + own, {}, true };
        default:
            return { message("500 No", "", "") + message("200 OK", "", foreign) + own };
        }
    }

    tcp::acceptor acceptor_;
    Random random_;
    bool refusesFirst_;
    std::vector<std::shared_ptr<tcp::socket>> sockets_;
    std::string lastId_;
};

} // namespace

// Guards against wrong bytes of an endpoint reaching a caller or making a request run twice.
TEST_CASE("Whatever wrong bytes endpoints send, a caller gets its own answer or is told that there "
          "is none")
{
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        CAPTURE(seed);
        auto rig = Rig {};
        rig.dialect.signatureHeader = "X-Signed";
        auto endpoints = std::vector<std::shared_ptr<FaultyEndpoint>> {};
        for (auto number = std::uint64_t { 1 }; number <= 3; ++number) {
            const auto endpoint = std::make_shared<FaultyEndpoint>(rig.context, seed * 10 + number);
            endpoint->start();
            endpoints.push_back(endpoint);
            rig.tell("i-" + std::to_string(number), endpoint->port(), 1,
                     catalogue::EndpointState::Ready);
        }
        auto answered = 0;
        for (auto number = 0; number < 150; ++number) {
            const auto isOnce = number % 2 == 0;
            const auto id = (isOnce ? "once-" : "idem-") + std::to_string(number);
            const auto got = rig.call(Rig::request(isOnce ? "/once/x" : "/idem/x", id));
            CAPTURE(id);
            CAPTURE(got.status);
            auto runs = 0;
            for (const auto &endpoint : endpoints)
                runs += endpoint->runs[id];
            if (got.status == 200) {
                CHECK(got.body == "answer to " + id);
                ++answered;
            } else if (got.status == 503) {
                CHECK(runs == 0);
            } else {
                CHECK(got.status == 502);
            }
            if (isOnce)
                CHECK(runs <= 1);
        }
        auto wrong = 0;
        for (const auto &endpoint : endpoints) {
            wrong += endpoint->wrong;
            endpoint->stop();
        }
        CHECK(wrong > 10);
        CHECK(answered > 75);
    }
}

// Guards against a late copy of a refusal counting as the answer to the next dispatch of its
// request.
TEST_CASE("A request that an endpoint refused once, with a late copy of the refusal, runs once")
{
    auto rig = Rig {};
    rig.dialect.signatureHeader = "X-Signed";
    const auto endpoint = std::make_shared<FaultyEndpoint>(rig.context, 1, true);
    endpoint->start();
    rig.tell("i-1", endpoint->port(), 1, catalogue::EndpointState::Ready);
    for (auto number = 0; number < 12; ++number) {
        const auto id = "once-" + std::to_string(number);
        CAPTURE(id);
        const auto got = rig.call(Rig::request("/once/x", id));
        CHECK(got.status == 200);
        CHECK(got.body == "answer to " + id);
        CHECK(endpoint->trueRefusals[id] == 1);
        CHECK(endpoint->runs[id] == 1);
    }
    endpoint->stop();
}
