// Channels over loopback sockets. Tests wait for events with a generous limit and
// never for a time to pass, but where a timeout itself is what is tested.

#include <doctest/doctest.h>

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "core/error.h"
#include "core/testing/allocations.h"
#include "proto/channel.h"
#include "proto/codec.h"
#include "proto/handshake.h"

using namespace figrack;
using namespace figrack::proto;
using namespace std::chrono_literals;

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr auto limit = 30s;
const auto keyA = std::string(64, 'a');
const auto keyB = std::string(64, 'b');

/// What happened, from any thread, and a way to wait for it.
class Events
{
public:
    auto add(const std::string &event) -> void
    {
        const auto lock = std::lock_guard { mutex_ };
        events_.push_back(event);
        changed_.notify_all();
    }
    auto count(std::string_view event) -> std::size_t
    {
        const auto lock = std::lock_guard { mutex_ };
        return countLocked(event);
    }
    auto waitFor(std::string_view event, std::size_t times = 1) -> bool
    {
        auto lock = std::unique_lock { mutex_ };
        return changed_.wait_for(lock, limit, [&] { return countLocked(event) >= times; });
    }

private:
    auto countLocked(std::string_view event) const -> std::size_t
    {
        return static_cast<std::size_t>(std::count(events_.begin(), events_.end(), event));
    }
    std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<std::string> events_;
};

/// An io_context with threads that end before what the handlers use.
class Threads
{
public:
    Threads()
    {
        for (auto i = 0; i < 3; ++i)
            threads_.emplace_back([this] { context.run(); });
    }
    ~Threads()
    {
        context.stop();
        for (auto &thread : threads_)
            thread.join();
    }
    Threads(const Threads &) = delete;
    auto operator=(const Threads &) -> Threads & = delete;

    asio::io_context context;

private:
    asio::executor_work_guard<asio::io_context::executor_type> work_ { context.get_executor() };
    std::vector<std::thread> threads_;
};

auto options(const std::string &name, const std::string &keys = keyA) -> ChannelOptions
{
    auto result = ChannelOptions {};
    result.self = NodeId { name };
    result.keys = *PeerKeys::fromText(keys);
    result.dial.firstPause = 5ms;
    return result;
}

/// Handlers share what they write to: one may still run when the face that it serves is destroyed.
/// Answers ReportRequest by a name, and a JoinRequest by a failure; never answers others.
auto serving(const std::shared_ptr<Events> &events) -> PeerHandler
{
    auto handler = PeerHandler {};
    handler.onOpen
            = [events](const PeerPointer &peer) { events->add("open " + peer->peer().value()); };
    handler.onMessage = [events](const PeerPointer &peer, Envelope envelope) {
        events->add("message");
        if (const auto *request = std::get_if<ReportRequest>(&envelope.payload))
            peer->send({ envelope.correlation,
                         ReportReply { peer->peer(), std::to_string(request->windowMs) } });
        if (std::holds_alternative<JoinRequest>(envelope.payload))
            peer->send({ envelope.correlation,
                         Failure { ErrorKind::NotLeader, "term=3", NodeId { "c2" } } });
    };
    handler.onClose = [events](const PeerPointer &peer, const absl::Status &status) {
        events->add("close " + peer->peer().value());
        events->add(std::string { errorName(errorKind(status)) });
    };
    return handler;
}

auto listening(std::uint16_t port) -> Address
{
    return { "127.0.0.1", port };
}

/// Makes a call and waits for its end.
auto callAndWait(PeerClient &client, Payload payload, Duration timeout = limit)
        -> absl::StatusOr<Payload>
{
    auto events = Events {};
    auto result = absl::StatusOr<Payload> {};
    client.call(std::move(payload), timeout, [&](absl::StatusOr<Payload> reply) {
        result = std::move(reply);
        events.add("done");
    });
    REQUIRE(events.waitFor("done"));
    return result;
}

/// A peer that speaks the protocol by hand over a blocking socket.
class HandPeer
{
public:
    explicit HandPeer(std::uint16_t port)
    {
        socket_.connect({ asio::ip::make_address("127.0.0.1"), port });
    }
    auto write(const std::string &bytes) -> void
    {
        auto ignored = boost::system::error_code {};
        asio::write(socket_, asio::buffer(bytes), ignored);
    }
    auto writeFrame(const std::string &body) -> void
    {
        write(encodeLength(static_cast<std::uint32_t>(body.size())) + body);
    }
    auto readFrame() -> std::string
    {
        auto prefix = std::string(frameLengthBytes, '\0');
        asio::read(socket_, asio::buffer(prefix));
        auto body = std::string(decodeLength(prefix), '\0');
        asio::read(socket_, asio::buffer(body));
        return body;
    }
    auto shutdownSend() -> void { socket_.shutdown(tcp::socket::shutdown_send); }
    /// Waits until the other side has closed.
    auto readToEnd() -> void
    {
        auto ignored = boost::system::error_code {};
        auto rest = std::string {};
        asio::read(socket_, asio::dynamic_buffer(rest), ignored);
    }
    /// @return the sealer for the frames after a good handshake
    auto shakeHands() -> FrameSealer
    {
        const auto own = makeHello(protocolVersion, NodeId { "hand" });
        const auto key = (*PeerKeys::fromText(keyA))->current().front();
        writeFrame(encodeHello(own));
        const auto transcript = transcriptOf(own, *decodeHello(readFrame(), protocolVersion));
        writeFrame(proofOf(key, Role::Client, transcript));
        REQUIRE(verifyProof({ key }, Role::Server, transcript, readFrame()).ok());
        return { key, Role::Client, transcript };
    }

private:
    asio::io_context context_;
    tcp::socket socket_ { context_ };
};

/// A server on a free port.
struct TestServer
{
    explicit TestServer(ChannelOptions settings = options("server"))
        : server(threads.context, std::move(settings), serving(shared))
    {
        REQUIRE(server.start(listening(0)).ok());
    }
    std::shared_ptr<Events> shared = std::make_shared<Events>();
    Events &events = *shared;
    Threads threads;
    PeerServer server;
};

/// A client of a server.
struct TestClient
{
    TestClient(asio::io_context &context, std::uint16_t port,
               ChannelOptions settings = options("client"))
        : client(context, std::move(settings), listening(port), serving(shared))
    {
        client.start();
    }
    std::shared_ptr<Events> shared = std::make_shared<Events>();
    Events &events = *shared;
    PeerClient client;
};

} // namespace

TEST_CASE("calls get their own replies, from several threads")
{
    auto server = TestServer {};
    auto client = TestClient { server.threads.context, server.server.port() };
    REQUIRE(client.events.waitFor("open server"));
    REQUIRE(server.events.waitFor("open client"));
    constexpr auto callers = 4;
    constexpr auto callsEach = 500;
    auto right = std::atomic<int> { 0 };
    auto ended = Events {};
    auto threads = std::vector<std::thread> {};
    for (auto caller = 0; caller < callers; ++caller) {
        threads.emplace_back([&, caller] {
            for (auto i = 0; i < callsEach; ++i) {
                const auto window = caller * callsEach + i;
                client.client.call(ReportRequest { window }, limit,
                                   [&, window](const absl::StatusOr<Payload> &reply) {
                                       if (reply.ok()
                                           && std::get<ReportReply>(*reply).report
                                                   == std::to_string(window))
                                           ++right;
                                       ended.add("done");
                                   });
            }
        });
    }
    for (auto &thread : threads)
        thread.join();
    REQUIRE(ended.waitFor("done", callers * callsEach));
    CHECK(right == callers * callsEach);
}

TEST_CASE("a failure arrives as its error, with the leader")
{
    auto server = TestServer {};
    auto client = TestClient { server.threads.context, server.server.port() };
    REQUIRE(client.events.waitFor("open server"));
    const auto reply = callAndWait(client.client, JoinRequest {});
    CHECK(errorKind(reply.status()) == ErrorKind::NotLeader);
    CHECK(errorArgument(reply.status()) == "term=3 leader=c2");
}

TEST_CASE("pushes go both ways and large messages pass")
{
    auto received = Events {};
    auto server = TestServer {};
    auto handler = PeerHandler {};
    handler.onOpen = [&](const PeerPointer &) { received.add("open"); };
    handler.onMessage = [&](const PeerPointer &peer, const Envelope &envelope) {
        received.add(std::get<FeedBatch>(envelope.payload).snapshot.size() == 8'000'000 ? "big"
                                                                                        : "small");
        peer->send(Envelope { 0, DrainNotice {} });
    };
    auto relay = PeerServer {
        server.threads.context, options("relay"),
        PeerHandler {
                [](const PeerPointer &peer) {
                    peer->send({ 0, FeedBatch { std::string(8'000'000, 'x'), {}, {}, {}, {} } });
                },
                [&](const PeerPointer &, const Envelope &) { received.add("answer"); },
                {} }
    };
    REQUIRE(relay.start(listening(0)).ok());
    auto client = PeerClient { server.threads.context, options("client"), listening(relay.port()),
                               handler };
    client.start();
    CHECK(received.waitFor("big"));
    CHECK(received.waitFor("answer"));
    CHECK(client.push(DrainNotice {}));
    CHECK(received.waitFor("answer", 2));
    client.stop();
    relay.stop();
}

TEST_CASE("a push to a peer without a handler is passed over")
{
    auto threads = Threads {};
    auto handler = PeerHandler {};
    handler.onOpen = [](const PeerPointer &peer) { peer->send({ 0, DrainNotice {} }); };
    handler.onMessage = [](const PeerPointer &peer, const Envelope &envelope) {
        peer->send({ envelope.correlation, Done {} });
    };
    auto server = PeerServer { threads.context, options("server"), handler };
    REQUIRE(server.start(listening(0)).ok());
    auto opened = Events {};
    auto silent = PeerHandler {};
    silent.onOpen = [&](const PeerPointer &) { opened.add("open"); };
    auto client
            = PeerClient { threads.context, options("client"), listening(server.port()), silent };
    client.start();
    REQUIRE(opened.waitFor("open"));
    // The push was sent before the reply, so it has been passed over when that comes.
    CHECK(callAndWait(client, ReportRequest {}).ok());
    CHECK(client.push(DrainNotice {}));
    CHECK(callAndWait(client, ReportRequest {}).ok());
}

TEST_CASE("a call that nobody answers ends with Timeout, once")
{
    auto server = TestServer {};
    auto client = TestClient { server.threads.context, server.server.port() };
    REQUIRE(client.events.waitFor("open server"));
    CHECK(errorKind(callAndWait(client.client, FeedRequest {}, 20ms).status())
          == ErrorKind::Timeout);
    CHECK(callAndWait(client.client, ReportRequest { 1 }).ok());
}

TEST_CASE("a call without a connection fails at once")
{
    auto threads = Threads {};
    const auto shared = std::make_shared<Events>();
    auto client = PeerClient { threads.context, options("client"), listening(1), serving(shared) };
    CHECK_FALSE(client.isOpen());
    CHECK_FALSE(client.push(DrainNotice {}));
    CHECK(errorKind(callAndWait(client, ReportRequest {}).status()) == ErrorKind::EndpointFailed);
}

TEST_CASE("a wrong key is refused, and any key of the file is taken")
{
    auto server = TestServer { options("server", keyA + "\n" + keyB) };
    auto good = TestClient { server.threads.context, server.server.port(), options("new", keyB) };
    CHECK(good.events.waitFor("open server"));
    CHECK(server.events.waitFor("open new"));
    // The first key of a file signs: that the second would fit does not help.
    auto bad = TestClient { server.threads.context, server.server.port(),
                            options("bad", std::string(64, 'c') + "\n" + keyA) };
    auto hand = HandPeer { server.server.port() };
    const auto own = makeHello(protocolVersion, NodeId { "hand" });
    hand.writeFrame(encodeHello(own));
    const auto transcript = transcriptOf(own, *decodeHello(hand.readFrame(), protocolVersion));
    hand.writeFrame(proofOf("wrong", Role::Client, transcript));
    CHECK(hand.readFrame().empty());
    hand.readToEnd();
    CHECK_FALSE(bad.client.isOpen());
    CHECK(server.events.count("open bad") == 0);
    CHECK(server.events.count("open hand") == 0);
}

TEST_CASE("another version is refused by both sides")
{
    auto server = TestServer {};
    auto other = options("other");
    other.version = protocolVersion + 1;
    auto client = TestClient { server.threads.context, server.server.port(), other };
    // The server's answer lets the client name both versions.
    auto hand = HandPeer { server.server.port() };
    hand.writeFrame(encodeHello(makeHello(protocolVersion + 1, NodeId { "hand" })));
    const auto status = decodeHello(hand.readFrame(), protocolVersion + 1).status();
    CHECK(errorKind(status) == ErrorKind::VersionMismatch);
    hand.readToEnd();
    CHECK(server.events.count("open other") == 0);
    CHECK_FALSE(client.client.isOpen());
}

TEST_CASE("an altered or repeated frame ends the connection")
{
    auto server = TestServer {};
    const auto push = encode({ 0, DrainNotice {} });
    for (const auto repeated : { true, false }) {
        auto hand = HandPeer { server.server.port() };
        auto sealer = hand.shakeHands();
        const auto frame = sealer.seal(push);
        hand.write(frame);
        auto second = repeated ? frame : sealer.seal(push);
        if (!repeated)
            second.back() = static_cast<char>(second.back() ^ 1);
        hand.write(second);
        hand.readToEnd();
    }
    CHECK(server.events.waitFor("auth_failed", 2));
    CHECK(server.events.count("message") == 2);
}

TEST_CASE("hostile lengths and bytes end the connection before and after the handshake")
{
    auto server = TestServer {};
    for (const auto &bytes : { encodeLength(UINT32_MAX), encodeLength(1025),
                               encodeLength(16) + "GET / HTTP/1.1\r\n", encodeLength(0) }) {
        auto hand = HandPeer { server.server.port() };
        hand.write(bytes);
        hand.readToEnd();
    }
    CHECK(server.events.count("open hand") == 0);
    for (const auto length : { UINT32_MAX, static_cast<std::uint32_t>(maxFrameBytes + 25), 0U }) {
        auto hand = HandPeer { server.server.port() };
        hand.shakeHands();
        hand.write(encodeLength(length));
        hand.readToEnd();
    }
    auto hand = HandPeer { server.server.port() };
    hand.write(hand.shakeHands().seal("no envelope"));
    hand.readToEnd();
    CHECK(server.events.waitFor("malformed", 4));
    auto client = TestClient { server.threads.context, server.server.port() };
    CHECK(client.events.waitFor("open server"));
}

// Guards against a peer making a process allocate memory by a length alone.
TEST_CASE("a frame takes no memory for bytes that have not come")
{
    auto server = TestServer {};
    auto hand = HandPeer { server.server.port() };
    auto sealer = hand.shakeHands();
    hand.write(sealer.seal(encode({ 0, DrainNotice {} })));
    REQUIRE(server.events.waitFor("message"));
    resetLargestAllocation();
    hand.write(encodeLength(static_cast<std::uint32_t>(maxFrameBytes)) + "a few bytes");
    hand.shutdownSend();
    hand.readToEnd();
    REQUIRE(server.events.waitFor("close hand"));
    CHECK(largestAllocation() < (std::size_t { 1 } << 20));
}

TEST_CASE("a peer that does not finish the handshake is dropped")
{
    auto settings = options("server");
    settings.handshakeTimeout = 50ms;
    auto server = TestServer { settings };
    auto hand = HandPeer { server.server.port() };
    hand.readFrame();
    hand.write(encodeLength(100).substr(0, 2));
    hand.readToEnd();
    CHECK(server.events.count("open hand") == 0);
}

TEST_CASE("a silent peer is dropped and pings keep a quiet one")
{
    auto settings = options("server");
    settings.idleTimeout = 300ms;
    auto server = TestServer { settings };
    auto hand = HandPeer { server.server.port() };
    hand.shakeHands();
    CHECK(server.events.waitFor("close hand"));
    CHECK(server.events.waitFor("timeout"));
    auto same = options("client");
    same.idleTimeout = 300ms;
    auto client = TestClient { server.threads.context, server.server.port(), same };
    REQUIRE(client.events.waitFor("open server"));
    // Outlasts the silence of a second peer that does not ping.
    auto second = HandPeer { server.server.port() };
    second.shakeHands();
    CHECK(server.events.waitFor("close hand", 2));
}

// A frame of 300 KB takes seconds on a link of 10 Mbit/s that callers fill. The connection was
// taken for silent in the middle of it, and the next one began the frame anew.
TEST_CASE("a frame that comes slowly keeps its connection")
{
    auto settings = options("server");
    settings.idleTimeout = 1500ms;
    auto server = TestServer { settings };
    auto hand = HandPeer { server.server.port() };
    auto sealer = hand.shakeHands();
    const auto frame = sealer.seal(encode({ 0, DrainNotice {} }));
    // A piece four times in the time after which silence ends it, for more than twice that time.
    constexpr auto pieces = std::size_t { 12 };
    for (auto i = std::size_t { 0 }; i < pieces; ++i) {
        const auto begin = frame.size() * i / pieces;
        hand.write(frame.substr(begin, frame.size() * (i + 1) / pieces - begin));
        std::this_thread::sleep_for(settings.idleTimeout / 4);
    }
    CHECK(server.events.waitFor("message"));
    CHECK(server.events.count("close hand") == 0);
}

TEST_CASE("the send queue is bounded")
{
    auto settings = options("server");
    settings.maxQueuedBytes = 1 << 20;
    auto sent = std::atomic<int> { 0 };
    auto refused = std::atomic<bool> { false };
    auto done = Events {};
    auto threads = Threads {};
    auto handler = PeerHandler {};
    handler.onOpen = [&](const PeerPointer &peer) {
        // The peer never reads: what the system buffers and the queue fill up.
        for (auto i = 0; i < 100'000 && !refused; ++i) {
            if (peer->send({ 0, FeedBatch { std::string(10'000, 'x'), {}, {}, {}, {} } }))
                ++sent;
            else
                refused = true;
        }
        done.add("full");
    };
    handler.onMessage = [](const PeerPointer &, const Envelope &) {};
    auto server = PeerServer { threads.context, settings, handler };
    REQUIRE(server.start(listening(0)).ok());
    auto hand = HandPeer { server.port() };
    hand.shakeHands();
    REQUIRE(done.waitFor("full"));
    CHECK(refused);
    CHECK(sent <= 105);
    server.stop();
}

TEST_CASE("a full queue fails a call with Overloaded and too many calls do too")
{
    auto server = TestServer {};
    auto settings = options("client");
    settings.maxQueuedBytes = 4096;
    settings.maxPendingCalls = 2;
    auto client = TestClient { server.threads.context, server.server.port(), settings };
    REQUIRE(client.events.waitFor("open server"));
    auto big = ReportReply { {}, std::string(5000, 'x') };
    CHECK(errorKind(callAndWait(client.client, big).status()) == ErrorKind::Overloaded);
    auto huge = ReportReply { {}, std::string(maxFrameBytes, 'x') };
    CHECK(errorKind(callAndWait(client.client, huge).status()) == ErrorKind::TooLarge);
    auto waiting = Events {};
    for (auto i = 0; i < 2; ++i)
        client.client.call(FeedRequest {}, limit,
                           [&](const absl::StatusOr<Payload> &) { waiting.add("ended"); });
    CHECK(errorKind(callAndWait(client.client, ReportRequest {}).status())
          == ErrorKind::Overloaded);
    client.client.stop();
    CHECK(waiting.waitFor("ended", 2));
}

TEST_CASE("calls end when the server goes, and the client comes back to a new one")
{
    auto first = std::make_unique<TestServer>();
    const auto port = first->server.port();
    auto threads = Threads {};
    auto client = TestClient { threads.context, port };
    REQUIRE(client.events.waitFor("open server"));
    auto ended = Events {};
    for (auto i = 0; i < 10; ++i)
        client.client.call(FeedRequest {}, limit, [&](const absl::StatusOr<Payload> &reply) {
            ended.add(std::string { errorName(errorKind(reply.status())) });
        });
    REQUIRE(first->events.waitFor("message", 10));
    first.reset();
    CHECK(ended.waitFor("endpoint_failed", 10));
    CHECK(client.events.waitFor("close server"));

    auto second = Threads {};
    const auto shared = std::make_shared<Events>();
    auto &events = *shared;
    auto server = PeerServer { second.context, options("second"), serving(shared) };
    REQUIRE(server.start(listening(port)).ok());
    CHECK(client.events.waitFor("open second"));
    CHECK(callAndWait(client.client, ReportRequest { 5 }).ok());
    client.client.stop();
    CHECK(events.waitFor("close client"));
    CHECK(ended.count("endpoint_failed") == 10);
}

TEST_CASE("connections past the bound are refused")
{
    auto settings = options("server");
    settings.maxConnections = 1;
    auto server = TestServer { settings };
    auto first = HandPeer { server.server.port() };
    first.shakeHands();
    auto second = HandPeer { server.server.port() };
    second.readToEnd();
    CHECK(server.events.count("open hand") == 1);
}

TEST_CASE("an address in use is refused")
{
    auto server = TestServer {};
    const auto shared = std::make_shared<Events>();
    auto second = PeerServer { server.threads.context, options("b"), serving(shared) };
    const auto status = second.start(listening(server.server.port()));
    CHECK(errorKind(status) == ErrorKind::BadSettings);
    CHECK(errorKind(second.start({ "localhost", 1 })) == ErrorKind::BadSettings);
}

TEST_CASE("a client destroyed at any moment ends its calls, each once")
{
    auto server = TestServer {};
    auto ended = Events {};
    constexpr auto rounds = 60;
    for (auto i = 0; i < rounds; ++i) {
        auto handler = PeerHandler {};
        handler.onMessage = [](const PeerPointer &, const Envelope &) {};
        auto client = PeerClient { server.threads.context, options("client"),
                                   listening(server.server.port()), handler };
        client.start();
        // Odd rounds end while dialling or shaking hands, even ones with a call under way.
        if (i % 2 == 0)
            REQUIRE(server.events.waitFor("open client", static_cast<std::size_t>(i) / 2 + 1));
        client.call(FeedRequest {}, limit,
                    [&](const absl::StatusOr<Payload> &) { ended.add("ended"); });
    }
    CHECK(ended.waitFor("ended", rounds));
    CHECK(ended.count("ended") == rounds);
}
