// The line of the last chunk, which comes in pieces.

#include <doctest/doctest.h>

#include <future>
#include <string>
#include <thread>
#include <variant>
#include <vector>

#include "http/client.h"
#include "http/requestparser.h"
#include "http/testing/httpfixture.h"

using namespace figrack;
using namespace figrack::http;

namespace {

const auto chunked = std::string { "Transfer-Encoding: chunked\r\n\r\n" };

/// Bodies without a byte, and one whose last chunk follows another.
auto bodies() -> std::vector<std::string>
{
    return { "0\r\n\r\n",         "00\r\n\r\n",          "0;e\r\n\r\n",
             "0\r\nX: 1\r\n\r\n", "1\r\n0\r\n0\r\n\r\n", "000\r\n\r\n" };
}

} // namespace

// Guards against a caller that ends the process by the pieces in which its request comes.
TEST_CASE("A request is parsed wherever its last chunk line is split")
{
    const auto head = "POST /x HTTP/1.1\r\n" + chunked;
    for (const auto &body : bodies()) {
        CAPTURE(body);
        const auto whole = head + body;
        for (auto first = head.size(); first < whole.size(); ++first) {
            CAPTURE(first);
            auto parser = RequestParser { {} };
            auto held = whole.substr(0, first);
            held.erase(0, parser.put(held));
            for (auto next = first; next < whole.size(); ++next) {
                CHECK(parser.state() == ParseState::NeedsMore);
                held += whole[next];
                held.erase(0, parser.put(held));
            }
            CHECK(parser.state() == ParseState::Done);
            CHECK(held.empty());
        }
    }
}

// Guards against a server that ends the client's process by the pieces in which its answer comes.
TEST_CASE("An answer is read wherever its last chunk line is split")
{
    const auto clock = SystemClock {};
    auto threads = ContextThreads {};
    auto listener = RawListener {};
    auto client = Client { threads.context(), {}, clock };
    for (const auto &body : bodies()) {
        CAPTURE(body);
        auto request = ClientRequest {};
        request.address = listener.address();
        request.freshConnection = true;
        auto done = std::async(std::launch::async, [&threads, &client, request] {
            return threads.wait(client.fetch(request, testLimit));
        });
        auto socket = listener.accept();
        socket.hearUntil("\r\n\r\n");
        socket.say("HTTP/1.1 200 OK\r\n" + chunked);
        for (const auto byte : body) {
            socket.say(std::string { byte });
            std::this_thread::sleep_for(std::chrono::milliseconds { 5 });
        }
        const auto result = done.get();
        const auto *response = std::get_if<Response>(&result);
        REQUIRE(response != nullptr);
        CHECK(response->body == (body.front() == '1' ? "0" : ""));
    }
}
