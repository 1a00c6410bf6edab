// Heads that state lengths which their peers do not send.

#include <doctest/doctest.h>

#include <future>
#include <string>
#include <thread>
#include <variant>
#include <vector>

#include "core/error.h"
#include "core/random.h"
#include "core/testing/allocations.h"
#include "http/client.h"
#include "http/requestparser.h"
#include "http/testing/httpfixture.h"

using namespace figrack;
using namespace figrack::http;

namespace {

/// Above what any head, buffer or coroutine takes by itself.
constexpr auto allocationLimit = std::size_t { 256 } << 10;
constexpr auto bodyLimit = std::size_t { 64 } << 20;
constexpr auto sentBytes = std::string_view { "abc" };

/// @return header lines that state how long a body is, most of them more than any process can hold
auto randomLengthHeader(Random &random) -> std::string
{
    const auto fixed = std::vector<std::string> {
        "1048576",
        "67108864",
        "4294967296",
        "9223372036854775807",
        "9223372036854775808",
        "18446744073709551615",
        "18446744073709551616",
        "99999999999999999",
        "-1",
        "1e9",
        "0x7fffffff",
        "",
    };
    auto digits = fixed[random.below(fixed.size())];
    if (random.below(2) == 0) {
        digits.clear();
        for (auto count = 1 + random.below(24); count > 0; --count)
            digits += static_cast<char>('0' + random.below(10));
    }
    if (random.below(3) == 0)
        return "Transfer-Encoding: chunked\r\n\r\n" + digits + "\r\n";
    return "Content-Length: " + digits + "\r\n\r\n";
}

/// @return true if the head states a body of at most so many bytes
auto statesAtMost(const std::string &head, std::size_t bytes) -> bool
{
    const auto name = std::string_view { "Content-Length: " };
    const auto at = head.find(name);
    if (at == std::string::npos)
        return false;
    const auto digits = head.find_first_not_of('0', at + name.size());
    const auto end = head.find('\r', at);
    return digits >= end || (end - digits == 1 && head[digits] <= static_cast<char>('0' + bytes));
}

/// Reads an answer from a peer that closes the connection after the bytes.
/// @return true if the answer was read to its end
auto readsWhole(const std::string &bytes) -> bool
{
    const auto clock = SystemClock {};
    auto threads = ContextThreads {};
    auto listener = RawListener {};
    auto client = Client { threads.context(), {}, clock };
    const auto peer = std::async(std::launch::async, [&] {
        auto socket = listener.accept();
        socket.hearUntil("\r\n\r\n");
        socket.say(bytes);
        socket.close();
    });
    auto request = ClientRequest {};
    request.address = listener.address();
    const auto work = [](Client &from, ClientRequest out) -> boost::asio::awaitable<bool> {
        const auto opened = co_await from.open(std::move(out), testLimit);
        const auto *stream = std::get_if<std::unique_ptr<ClientStream>>(&opened);
        while (stream != nullptr) {
            const auto chunk = co_await (*stream)->read(testLimit);
            if (!chunk.ok())
                co_return false;
            if (chunk->empty())
                co_return true;
        }
        co_return false;
    };
    return threads.wait(work(client, request));
}

} // namespace

// Guards against an endpoint ending a request by std::bad_alloc.
TEST_CASE("An answer takes no memory for bytes that have not come, and is not whole without them")
{
    auto random = Random { 20261204 };
    for (auto i = 0; i < 300; ++i) {
        const auto head = "HTTP/1.1 200 OK\r\n" + randomLengthHeader(random);
        CAPTURE(head);
        resetLargestAllocation();
        const auto isWhole = readsWhole(head + std::string { sentBytes });
        CHECK((!isWhole || statesAtMost(head, sentBytes.size())));
        CHECK(largestAllocation() < allocationLimit);
    }
}

// Guards against callers taking a gateway's memory by heads alone.
TEST_CASE("A request takes no memory for bytes that have not come")
{
    auto random = Random { 20261204 };
    for (auto i = 0; i < 5000; ++i) {
        const auto head = "POST / HTTP/1.1\r\nHost: h\r\n" + randomLengthHeader(random);
        CAPTURE(head);
        resetLargestAllocation();
        auto parser = RequestParser { { 16U << 10, bodyLimit } };
        parser.put(head + std::string { sentBytes });
        CHECK(largestAllocation() < allocationLimit);
    }
}
