// Frames are a length and an encoded envelope. A message to a peer that is not
// connected is dropped; each tick tries to connect. What is sent while a write is
// under way goes out with the next one.

#include "bench/coordnode.h"

#include <utility>

#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>

#include "core/check.h"
#include "proto/codec.h"

namespace figrack::bench {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr auto lengthBytes = std::size_t { 4 };
constexpr auto maxQueuedBytes = std::size_t { 64 } << 20;

auto loopback(std::uint16_t port) -> tcp::endpoint
{
    return { asio::ip::address_v4::loopback(), port };
}

} // namespace

struct CoordNode::Link
{
    explicit Link(asio::io_context &context)
        : socket(context)
    { }
    tcp::socket socket;
    std::uint16_t port = 0;
    bool connecting = false;
    bool connected = false;
    bool writing = false;
    std::string queued;
    std::string underWay;
};

struct CoordNode::Session
{
    explicit Session(tcp::socket accepted)
        : socket(std::move(accepted))
    { }
    tcp::socket socket;
    std::uint32_t length = 0;
    std::string body;
};

CoordNode::CoordNode(CoordNodeOptions options)
    : options_(std::move(options))
    , random_(std::random_device {}())
    , store_({ .folder = options_.folder }, disk_)
    , acceptor_(context_)
    , timer_(context_)
{
    for (const auto &[node, port] : options_.peers) {
        links_[node] = std::make_shared<Link>(context_);
        links_[node]->port = port;
    }
}

CoordNode::~CoordNode()
{
    stop();
}

auto CoordNode::start() -> absl::Status
{
    replica_ = std::make_unique<coord::Replica>(options_.replica, clock_, *this, store_, *this,
                                                random_);
    replica_->setStoredHook([this](const coord::Entry &entry, bool stored) {
        if (onStored)
            onStored(entry, stored);
    });
    acceptor_.open(tcp::v4());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(loopback(options_.port));
    acceptor_.listen();
    if (auto status = replica_->start(); !status.ok())
        return status;
    accept();
    tick();
    thread_ = std::thread([this] { context_.run(); });
    return absl::OkStatus();
}

auto CoordNode::stop() -> void
{
    context_.stop();
    if (thread_.joinable())
        thread_.join();
}

auto CoordNode::post(std::function<void()> work) -> void
{
    asio::post(context_, std::move(work));
}

auto CoordNode::tick() -> void
{
    for (const auto &[node, link] : links_) {
        if (!link->connected)
            connect(link);
    }
    replica_->tick();
    if (onTick)
        onTick();
    timer_.expires_after(options_.replica.tick);
    timer_.async_wait([this](error_code error) {
        if (!error)
            tick();
    });
}

auto CoordNode::propose(const state::Command &command, std::function<void()> done) -> absl::Status
{
    const auto index = replica_->propose(state::encodeCommand(command));
    if (!index.ok())
        return index.status();
    waiting_[*index] = std::move(done);
    if (!std::exchange(flushPosted_, true)) {
        post([this] {
            flushPosted_ = false;
            replica_->flush();
        });
    }
    return absl::OkStatus();
}

auto CoordNode::apply(const coord::Entry &entry) -> void
{
    const auto command = state::decodeCommand(entry.data);
    FIGRACK_CHECK(command.ok(), "a committed command can be decoded");
    const auto applied = tables_.apply(*command, entry.index);
    if (onApplied)
        onApplied(*command, applied, entry.index);
    auto waiter = waiting_.extract(entry.index);
    if (!waiter.empty())
        post(std::move(waiter.mapped()));
}

auto CoordNode::snapshot() const -> std::string
{
    return tables_.snapshot(true);
}

auto CoordNode::restore(std::string_view state, LogIndex /*lastIndex*/) -> absl::Status
{
    return tables_.restore(state);
}

auto CoordNode::accept() -> void
{
    acceptor_.async_accept([this](error_code error, tcp::socket socket) {
        if (error)
            return;
        socket.set_option(tcp::no_delay(true));
        read(std::make_shared<Session>(std::move(socket)));
        accept();
    });
}

auto CoordNode::read(const std::shared_ptr<Session> &session) -> void
{
    const auto onBody = [this, session](error_code error, std::size_t) {
        if (error)
            return;
        receive(session->body);
        read(session);
    };
    asio::async_read(session->socket, asio::buffer(&session->length, lengthBytes),
                     [session, onBody](error_code error, std::size_t) {
                         if (error || session->length > proto::maxFrameBytes)
                             return;
                         session->body.resize(session->length);
                         asio::async_read(session->socket, asio::buffer(session->body), onBody);
                     });
}

auto CoordNode::receive(std::string_view frame) -> void
{
    const auto envelope = proto::decodeEnvelope(frame);
    if (!envelope.ok())
        return;
    if (const auto *message = std::get_if<coord::Message>(&envelope->payload))
        replica_->receive(*message);
}

auto CoordNode::send(const NodeId &to, coord::Message message) -> void
{
    const auto found = links_.find(to);
    if (found == links_.end())
        return;
    const auto &link = found->second;
    if (!link->connected)
        return;
    if (link->queued.size() > maxQueuedBytes)
        return;
    const auto body = proto::encode({ 0, std::move(message) });
    const auto length = static_cast<std::uint32_t>(body.size());
    link->queued.append(reinterpret_cast<const char *>(&length), lengthBytes);
    link->queued.append(body);
    write(link);
}

auto CoordNode::connect(const std::shared_ptr<Link> &link) -> void
{
    if (std::exchange(link->connecting, true))
        return;
    link->socket = tcp::socket { context_ };
    link->queued.clear();
    link->socket.async_connect(loopback(link->port), [link](error_code error) {
        link->connecting = false;
        link->connected = !error;
        if (error)
            return;
        link->socket.set_option(tcp::no_delay(true));
        watch(link);
    });
}

/// Nothing is ever sent back: reading only tells that the peer has gone.
auto CoordNode::watch(const std::shared_ptr<Link> &link) -> void
{
    link->socket.async_wait(tcp::socket::wait_read,
                            [link](error_code) { link->connected = false; });
}

auto CoordNode::write(const std::shared_ptr<Link> &link) -> void
{
    if (link->writing || link->queued.empty())
        return;
    link->writing = true;
    link->underWay = std::exchange(link->queued, {});
    asio::async_write(link->socket, asio::buffer(link->underWay),
                      [this, link](error_code error, std::size_t) {
                          link->writing = false;
                          link->connected = link->connected && !error;
                          if (link->connected)
                              write(link);
                      });
}

auto freePorts(std::size_t count) -> std::vector<std::uint16_t>
{
    auto context = asio::io_context {};
    auto held = std::vector<tcp::acceptor> {};
    auto ports = std::vector<std::uint16_t> {};
    for (auto i = std::size_t { 0 }; i < count; ++i) {
        held.emplace_back(context, loopback(0));
        ports.push_back(held.back().local_endpoint().port());
    }
    return ports;
}

auto groupOptions(const std::vector<std::uint16_t> &ports, const std::string &folder)
        -> std::vector<CoordNodeOptions>
{
    auto members = std::vector<coord::Member> {};
    for (auto i = std::size_t { 0 }; i < ports.size(); ++i)
        members.push_back({ NodeId { fmt::format("n{}", i) },
                            {},
                            coord::MemberKind::Voter,
                            DomainId { fmt::format("d{}", i) },
                            fmt::format("127.0.0.1:{}", ports[i]) });
    auto result = std::vector<CoordNodeOptions> {};
    for (auto i = std::size_t { 0 }; i < ports.size(); ++i) {
        auto options = CoordNodeOptions {};
        options.replica.self = members[i];
        options.replica.founders = members;
        options.folder = fmt::format("{}/n{}", folder, i);
        options.port = ports[i];
        for (auto j = std::size_t { 0 }; j < ports.size(); ++j) {
            if (j != i)
                options.peers[members[j].node] = ports[j];
        }
        result.push_back(std::move(options));
    }
    return result;
}

} // namespace figrack::bench
