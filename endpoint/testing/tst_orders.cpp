// Orders against an engine that the test plays byte by byte.

#include <doctest/doctest.h>

#include <future>

#include "core/error.h"
#include "endpoint/orders.h"
#include "http/testing/httpfixture.h"

using namespace figrack;
using namespace figrack::endpoint;

namespace {

class Fixture
{
public:
    explicit Fixture(OrderOptions options = patient())
        : sender(threads.context(), options)
    { }
    static auto patient() -> OrderOptions
    {
        auto options = OrderOptions {};
        options.orderTimeout = http::testLimit;
        options.statusTimeout = http::testLimit;
        return options;
    }
    auto sendLater(const std::function<bool()> &mayStart = {}) -> std::future<OrderAnswer>
    {
        auto order = Order {};
        order.id = OrderId { 12 };
        order.fence = Fence { 3 };
        order.model = ModelId { "plaques" };
        order.version = "2";
        order.memoryMb = 7;
        return std::async(std::launch::async, [this, order, mayStart] {
            return threads.wait(sender.send(listener.address(), order, mayStart));
        });
    }
    /// @return what the sender makes of one answer of the engine's
    auto replyTo(const std::string &answer) -> OrderReply
    {
        auto later = sendLater();
        auto engine = listener.accept();
        engine.hearUntil("}");
        engine.say(answer);
        engine.close();
        return later.get().reply;
    }

    http::ContextThreads threads;
    http::RawListener listener;
    OrderSender sender;
};

} // namespace

TEST_CASE("an order goes out as docs/API.md says, on a connection of its own")
{
    auto fixture = Fixture {};
    auto later = fixture.sendLater();
    auto engine = fixture.listener.accept();
    const auto heard = engine.hearUntil("}");
    CHECK(heard.starts_with("POST /figrack/orders HTTP/1.1\r\n"));
    CHECK(heard.ends_with(R"({"order":12,"fence":3,"action":"load","model":"plaques",)"
                          R"("version":"2","base":"","memory_mb":7})"));
    engine.say("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n");
    CHECK(later.get().reply == OrderReply::Taken);
    CHECK(engine.hearAll().empty());
}

TEST_CASE("each answer is read for what it is sure to mean")
{
    auto fixture = Fixture {};
    const auto empty = std::string { "\r\nContent-Length: 0\r\n\r\n" };
    CHECK(fixture.replyTo("HTTP/1.1 200 OK" + empty) == OrderReply::Already);
    CHECK(fixture.replyTo("HTTP/1.1 409 No\r\nContent-Length: 23\r\n\r\n"
                          R"({"error":"stale_fence"})")
          == OrderReply::StaleFence);
    CHECK(fixture.replyTo("HTTP/1.1 409 No" + empty) == OrderReply::Refused);
    CHECK(fixture.replyTo("HTTP/1.1 400 No" + empty) == OrderReply::Refused);
    CHECK(fixture.replyTo("HTTP/1.1 500 No" + empty) == OrderReply::Unknown);
    CHECK(fixture.replyTo("HTTP/1.1 202 Acc") == OrderReply::Unknown);
    CHECK(fixture.replyTo("") == OrderReply::Unknown);
}

// Guards against an interim response that is taken for the answer to an order.
TEST_CASE("an answer that follows interim responses is the one that counts")
{
    auto fixture = Fixture {};
    const auto interim
            = std::string { "HTTP/1.1 100 Continue\r\n\r\n" } + "HTTP/1.1 102 Processing\r\n\r\n";
    CHECK(fixture.replyTo(interim + "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
          == OrderReply::Taken);
    CHECK(fixture.replyTo("HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n")
          == OrderReply::Unknown);
}

TEST_CASE("an order that may not start, or finds nobody, is not sent")
{
    auto fixture = Fixture {};
    CHECK(fixture.sendLater([] { return false; }).get().reply == OrderReply::NotSent);
    auto engine = fixture.listener.accept();
    CHECK(engine.hearAll().empty());
    auto order = Order {};
    const auto nobody = Address { "127.0.0.1", 1 };
    CHECK(fixture.threads.wait(fixture.sender.send(nobody, order)).reply == OrderReply::NotSent);
}

TEST_CASE("abortAll ends an order whose answer has not come; it is then unknown")
{
    auto fixture = Fixture {};
    auto later = fixture.sendLater();
    auto engine = fixture.listener.accept();
    engine.hearUntil("}");
    fixture.sender.abortAll();
    CHECK(later.get().reply == OrderReply::Unknown);
    engine.hearAll();
    CHECK(engine.lastCode == boost::asio::error::connection_reset);
}

TEST_CASE("a status is read and checked")
{
    auto fixture = Fixture {};
    const auto askWith = [&](const std::string &body, const std::string &status = "200 OK") {
        auto later = std::async(std::launch::async, [&] {
            return fixture.threads.wait(fixture.sender.fetchStatus(fixture.listener.address()));
        });
        auto engine = fixture.listener.accept();
        CHECK(engine.hearUntil("\r\n\r\n").starts_with("GET /figrack/status HTTP/1.1"));
        engine.say("HTTP/1.1 " + status + "\r\nConnection: close\r\nContent-Length: "
                   + std::to_string(body.size()) + "\r\n\r\n" + body);
        return later.get();
    };
    const auto report = askWith(R"({"id":"e","incarnation":1,"sequence":9,"kind":"engine",)"
                                R"("address":"127.0.0.1:1","domain":"d"})");
    REQUIRE(report.ok());
    CHECK(report->sequence == 9);
    CHECK(errorKind(askWith("{}").status()) == ErrorKind::Malformed);
    CHECK(errorKind(askWith("", "503 No").status()) == ErrorKind::EndpointFailed);
}
