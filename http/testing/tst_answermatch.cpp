// Which answers on a connection the client takes for the answer to its request.

#include <doctest/doctest.h>

#include <future>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "core/error.h"
#include "http/client.h"
#include "http/testing/httpfixture.h"

using namespace figrack;
using namespace figrack::http;

namespace {

auto answer(const std::string &status, const std::string &headers, const std::string &body)
        -> std::string
{
    return "HTTP/1.1 " + status + "\r\n" + headers
            + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// A client with a peer that a test plays byte by byte.
class Fixture
{
public:
    /// Begins a request that is named by its ID.
    auto begin(const std::string &id) -> void
    {
        auto request = ClientRequest {};
        request.address = listener_.address();
        request.headers = { { "X-Id", id } };
        request.body = "body of " + id;
        request.match = { "X-Id", id, mayBeUnnamed };
        request.canceller = std::make_shared<Canceller>();
        cancellers_.push_back(request.canceller);
        result_ = std::async(std::launch::async, [this, request] {
            return threads_.wait(client_.fetch(request, testLimit));
        });
    }
    /// Waits until the peer has got the request, on a new connection or on the latest one.
    auto accept() -> void { socket_.reset(new RawSocket(listener_.accept())); }
    auto await(const std::string &id) -> void { socket_->hearUntil("body of " + id); }
    auto say(const std::string &bytes) -> void { socket_->say(bytes); }
    auto closePeer() -> void { socket_->close(); }
    auto cancelFirst() -> void { cancellers_.front()->cancel(); }
    auto end() -> ClientResult<Response> { return result_.get(); }

    /// Keeps a connection after a whole answer to a first request.
    auto keepConnection() -> void
    {
        begin("first");
        accept();
        await("first");
        say(answer("200 OK", "X-Id: first\r\n", "first answer"));
        REQUIRE(bodyOf(end()) == "first answer");
    }

    static auto bodyOf(const ClientResult<Response> &result) -> std::string
    {
        const auto *response = std::get_if<Response>(&result);
        return response == nullptr ? "" : response->body;
    }

    bool mayBeUnnamed = false; ///< Of the answers.

private:
    SystemClock clock_;
    ContextThreads threads_;
    RawListener listener_;
    Client client_ { threads_.context(), {}, clock_ };
    std::unique_ptr<RawSocket> socket_;
    std::vector<std::shared_ptr<Canceller>> cancellers_;
    std::future<ClientResult<Response>> result_;
};

auto isUnknownOutcome(const ClientResult<Response> &result) -> bool
{
    const auto *error = std::get_if<ClientError>(&result);
    return error != nullptr && error->sent == Sent::MaybeSome;
}

} // namespace

// Guards against a caller getting another caller's answer.
TEST_CASE("Answers that do not name the request are dropped on a kept connection, which ends")
{
    auto stray = std::string {};
    SUBCASE("a success without a name")
    {
        stray = answer("200 OK", "", "answer to somebody else");
    }
    SUBCASE("a refusal without a name")
    {
        stray = answer("503 Unavailable", "X-Not-Run: 1\r\n", "");
    }
    SUBCASE("a success that names another request")
    {
        stray = answer("200 OK", "X-Id: first\r\n", "answer to somebody else");
    }
    SUBCASE("a success that names two requests")
    {
        stray = answer("200 OK", "X-Id: second\r\nX-Id: first\r\n", "answer to somebody else");
    }
    SUBCASE("several answers")
    {
        stray = answer("200 OK", "", "one") + answer("421 No", "", "") + answer("500 No", "", "x");
    }
    auto fixture = Fixture {};
    fixture.keepConnection();
    fixture.begin("second");
    fixture.await("second");
    fixture.say(stray + answer("200 OK", "X-Id: second\r\n", "own answer"));
    CHECK(Fixture::bodyOf(fixture.end()) == "own answer");
    // The next request comes on a connection of its own.
    fixture.begin("third");
    fixture.accept();
    fixture.await("third");
    fixture.say(answer("200 OK", "X-Id: third\r\n", "third answer"));
    CHECK(Fixture::bodyOf(fixture.end()) == "third answer");
}

TEST_CASE("A request whose own answer does not come after another one has an unknown outcome")
{
    auto stray = std::string {};
    SUBCASE("a whole answer")
    {
        stray = answer("200 OK", "", "answer to somebody else");
    }
    SUBCASE("an answer that states more bytes than follow")
    {
        stray = "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\nanswer";
    }
    SUBCASE("an answer that lasts until the connection ends")
    {
        stray = "HTTP/1.1 200 OK\r\n\r\nanswer";
    }
    SUBCASE("bytes that are no answer")
    {
        stray = "answer to somebody else";
    }
    auto fixture = Fixture {};
    fixture.keepConnection();
    fixture.begin("second");
    fixture.await("second");
    fixture.say(stray);
    fixture.closePeer();
    CHECK(isUnknownOutcome(fixture.end()));
}

TEST_CASE("The first answer on a new connection has to name the request")
{
    auto stray = std::string {};
    SUBCASE("a success")
    {
        stray = answer("200 OK", "", "answer to somebody else");
    }
    SUBCASE("a refusal")
    {
        stray = answer("503 Unavailable", "X-Not-Run: 1\r\n", "");
    }
    auto fixture = Fixture {};
    fixture.begin("first");
    fixture.accept();
    fixture.await("first");
    fixture.say(stray);
    CHECK(isUnknownOutcome(fixture.end())); // At once, with the connection still open.
}

// Guards against an interim response that is taken for the final answer.
TEST_CASE("Interim answers are passed over on any connection, whatever they name")
{
    auto interim = std::string {};
    SUBCASE("without a name")
    {
        interim = "HTTP/1.1 102 Processing\r\n\r\n";
    }
    SUBCASE("with the request's name")
    {
        interim = "HTTP/1.1 103 Early Hints\r\nX-Id: second\r\nLink: </x>\r\n\r\n";
    }
    SUBCASE("with another request's name")
    {
        interim = "HTTP/1.1 102 Processing\r\nX-Id: other\r\n\r\n";
    }
    SUBCASE("with a promise that the request has not run")
    {
        interim = "HTTP/1.1 199 Later\r\nX-Id: second\r\nX-Not-Run: 1\r\n\r\n";
    }
    SUBCASE("with headers of a final answer")
    {
        interim = "HTTP/1.1 103 Early Hints\r\nX-Id: second\r\nConnection: close\r\n"
                  "Content-Length: 1000\r\n\r\n";
    }
    SUBCASE("of HTTP/1.0")
    {
        interim = "HTTP/1.0 100 Continue\r\nX-Id: second\r\n\r\n";
    }
    SUBCASE("several")
    {
        for (auto number = 0; number < 200; ++number)
            interim += "HTTP/1.1 102 Processing\r\nX-Id: second\r\n\r\n";
    }
    for (const auto isKept : { false, true }) {
        CAPTURE(isKept);
        auto fixture = Fixture {};
        if (isKept)
            fixture.keepConnection();
        fixture.begin("second");
        if (!isKept)
            fixture.accept();
        fixture.await("second");
        fixture.say(interim);
        fixture.say(answer("200 OK", "X-Id: second\r\n", "own answer"));
        REQUIRE(Fixture::bodyOf(fixture.end()) == "own answer");
        // The connection is as good as before.
        fixture.begin("third");
        fixture.await("third");
        fixture.say(answer("200 OK", "X-Id: third\r\n", "third answer"));
        CHECK(Fixture::bodyOf(fixture.end()) == "third answer");
    }
}

// Guards against interim answers without end that stay below the limit on skipped bytes.
TEST_CASE("A request fails at the limit on the number of interim answers")
{
    auto fixture = Fixture {};
    fixture.begin("first");
    fixture.accept();
    fixture.await("first");
    auto interim = std::string {};
    for (auto number = 0; number < 1025; ++number)
        interim += "HTTP/1.1 102 P\r\nX-Id: first\r\n\r\n";
    fixture.say(interim + answer("200 OK", "X-Id: first\r\n", "own answer"));
    const auto result = fixture.end();
    REQUIRE(isUnknownOutcome(result));
    CHECK(errorKind(std::get<ClientError>(result).status) == ErrorKind::TooLarge);
}

// Guards against a request whose protocol was changed and that counts as answered or as not run.
TEST_CASE("A switch of protocols that was not asked for leaves the outcome unknown")
{
    auto headers = std::string {};
    SUBCASE("without a name") { }
    SUBCASE("with the request's name")
    {
        headers = "X-Id: first\r\n";
    }
    SUBCASE("with a promise that the request has not run")
    {
        headers = "X-Id: first\r\nX-Not-Run: 1\r\n";
    }
    auto fixture = Fixture {};
    fixture.begin("first");
    fixture.accept();
    fixture.await("first");
    fixture.say("HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n"
                + headers + "\r\n" + answer("200 OK", "X-Id: first\r\n", "other bytes"));
    const auto result = fixture.end();
    REQUIRE(isUnknownOutcome(result));
    CHECK(errorKind(std::get<ClientError>(result).status) == ErrorKind::Malformed);
}

TEST_CASE("Bytes that arrive on an idle connection end it before the next request is sent")
{
    auto fixture = Fixture {};
    fixture.begin("first");
    fixture.accept();
    fixture.await("first");
    fixture.say(answer("200 OK", "X-Id: first\r\n", "first answer") + answer("200 OK", "", "more"));
    CHECK(Fixture::bodyOf(fixture.end()) == "first answer");
    fixture.begin("second");
    fixture.accept();
    fixture.await("second");
    fixture.say(answer("200 OK", "X-Id: second\r\n", "own answer"));
    CHECK(Fixture::bodyOf(fixture.end()) == "own answer");
}

// Guards against a caller who leaves after its answer has come, and breaks off the next request.
TEST_CASE("Cancelling a request that has its answer leaves the connection to the next one")
{
    auto fixture = Fixture {};
    fixture.keepConnection();
    fixture.begin("second");
    fixture.await("second");
    fixture.cancelFirst();
    fixture.say(answer("200 OK", "X-Id: second\r\n", "second answer"));
    CHECK(Fixture::bodyOf(fixture.end()) == "second answer");
}

TEST_CASE(
        "An answer without a name is not taken on a kept connection, though peers need not name it")
{
    auto fixture = Fixture {};
    fixture.mayBeUnnamed = true;
    fixture.keepConnection();
    fixture.begin("second");
    fixture.await("second");
    fixture.say(answer("200 OK", "", "answer to somebody else")
                + answer("200 OK", "X-Id: second\r\n", "own answer"));
    CHECK(Fixture::bodyOf(fixture.end()) == "own answer");
}

TEST_CASE("A connection whose peer does not name the request is used for one request")
{
    auto fixture = Fixture {};
    fixture.mayBeUnnamed = true;
    fixture.begin("first");
    fixture.accept();
    fixture.await("first");
    fixture.say(answer("200 OK", "", "first answer"));
    CHECK(Fixture::bodyOf(fixture.end()) == "first answer");
    fixture.begin("second");
    fixture.accept();
    fixture.await("second");
    fixture.say(answer("200 OK", "", "own answer"));
    CHECK(Fixture::bodyOf(fixture.end()) == "own answer");
}

TEST_CASE("An answer that names another request fails a request whose peers need not name it")
{
    auto fixture = Fixture {};
    fixture.mayBeUnnamed = true;
    fixture.begin("first");
    fixture.accept();
    fixture.await("first");
    fixture.say(answer("200 OK", "X-Id: other\r\n", "answer to somebody else"));
    CHECK(isUnknownOutcome(fixture.end()));
}
