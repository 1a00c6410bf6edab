// Handlers of sockets and timers hold a weak pointer and post to the strand, so a handler that
// runs after the process was destroyed does nothing. If the replica stops permanently because of
// a disk failure, the process ends, so that the supervisor and the operator notice at once.

#include "control/process.h"

#include <atomic>
#include <random>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>

#include "control/httporderport.h"
#include "control/operatorapi.h"
#include "control/peertransport.h"
#include "coord/disk.h"
#include "coord/filelogstore.h"
#include "core/boottimer.h"
#include "core/log.h"
#include "core/secretfile.h"

namespace figrack::control {
namespace {

namespace asio = boost::asio;

constexpr auto leaseCheckInterval = std::chrono::milliseconds { 10 };
constexpr auto handoverTimeout = std::chrono::seconds { 5 };

auto randomSeed() -> std::uint64_t
{
    auto device = std::random_device {};
    return (std::uint64_t { device() } << 32) ^ device();
}

} // namespace

class Process::Impl : public std::enable_shared_from_this<Impl>
{
public:
    Impl(asio::io_context &context, ProcessOptions options, const Clock &clock)
        : options_(std::move(options))
        , clock_(clock)
        , context_(context)
        , strand_(asio::make_strand(context))
        , timer_(strand_)
        , leaseStrand_(asio::make_strand(context))
        , leaseTimer_(leaseStrand_)
        , random_(randomSeed())
        , store_({ .folder = options_.dataFolder }, disk_)
        , port_(context, strand_, options_.orders)
    { }

    auto start() -> absl::Status;
    auto stop(std::function<void()> done) -> void;

    std::unique_ptr<proto::PeerServer> peerServer_;
    std::unique_ptr<http::Server> httpServer_;
    absl::Status failure_; ///< May only be read after the context has stopped.

private:
    auto makeControl(proto::ChannelOptions channel) -> void;
    auto peerHandler() -> proto::PeerHandler;
    auto startServers(const proto::ChannelOptions &channel,
                      const std::shared_ptr<SecretFile> &tokens) -> absl::Status;
    auto scheduleTick() -> void;
    auto tick() -> void;
    auto scheduleLeaseCheck() -> void;
    auto checkLease() -> void;
    auto awaitHandover(Instant deadline, std::function<void()> done) -> void;
    auto closeAll() -> void;

    ProcessOptions options_;
    const Clock &clock_;
    asio::io_context &context_;
    Strand strand_;
    BootTimer timer_;
    Strand leaseStrand_;
    BootTimer leaseTimer_;
    bool leaseWasHeld_ = false; ///< At the last lease check.
    Random random_;
    coord::PosixDisk disk_;
    coord::FileLogStore store_;
    HttpOrderPort port_;
    coord::Membership membership_; ///< The membership last passed to the transport.
    std::unique_ptr<PeerTransport> transport_;
    std::unique_ptr<Control> control_;
    std::unique_ptr<OperatorApi> api_;
    std::atomic<bool> stopped_ = false;
};

auto Process::Impl::start() -> absl::Status
{
    auto keys = proto::PeerKeys::fromFile(options_.keyFile);
    if (!keys.ok())
        return keys.status();
    auto tokens = SecretFile::open(options_.tokenFile, checkToken);
    if (!tokens.ok())
        return tokens.status();
    auto channel = proto::ChannelOptions {};
    channel.self = options_.control.node.replica.self.node;
    channel.keys = *keys;
    makeControl(channel);
    if (auto status = control_->start(); !status.ok())
        return status;
    const auto incarnation = control_->node().status().incarnation;
    transport_->setPeers(options_.peers);
    if (auto status = startServers(channel, *tokens); !status.ok())
        return status;
    scheduleTick();
    scheduleLeaseCheck();
    LogEvent(LogLevel::Info, "control_started")
            .with("incarnation", incarnation)
            .with("listen", options_.listen.text())
            .with("operators", options_.operatorListen.text());
    return absl::OkStatus();
}

auto Process::Impl::makeControl(proto::ChannelOptions channel) -> void
{
    transport_ = std::make_unique<PeerTransport>(context_, std::move(channel));
    auto defer = [strand = strand_](std::function<void()> work) {
        asio::post(strand, std::move(work));
    };
    control_ = std::make_unique<Control>(options_.control, clock_, *transport_, store_, random_,
                                         port_, std::move(defer));
}

auto Process::Impl::startServers(const proto::ChannelOptions &channel,
                                 const std::shared_ptr<SecretFile> &tokens) -> absl::Status
{
    const auto budget = std::make_shared<PeerBudget>(options_.budget, clock_);
    peerServer_ = std::make_unique<proto::PeerServer>(context_, channel, peerHandler(), budget);
    if (auto status = peerServer_->start(options_.listen); !status.ok())
        return status;
    api_ = std::make_unique<OperatorApi>(*control_, strand_, options_.operatorAddresses, tokens);
    auto serverOptions = http::ServerOptions {};
    serverOptions.certificateFile = options_.certificateFile;
    serverOptions.keyFile = options_.keyPemFile;
    auto handler = [api = api_.get()](const http::Request &request, http::Responder &responder) {
        return api->handle(request, responder);
    };
    serverOptions.mayWithholdAnswers = true;
    httpServer_
            = std::make_unique<http::Server>(context_, serverOptions, std::move(handler), budget);
    return httpServer_->start(options_.operatorListen);
}

auto Process::Impl::peerHandler() -> proto::PeerHandler
{
    const auto onStrand = [weak = weak_from_this()](auto work) {
        if (auto self = weak.lock()) {
            asio::post(self->strand_, [self, work = std::move(work)]() mutable {
                if (!self->stopped_)
                    work(*self->control_);
            });
        }
    };
    auto handler = proto::PeerHandler {};
    handler.onOpen = [onStrand](const proto::PeerPointer &peer) {
        onStrand([peer](Control &control) { control.onOpen(peer); });
    };
    handler.onClose = [onStrand](const proto::PeerPointer &peer, const absl::Status &) {
        onStrand([peer](Control &control) { control.onClose(peer); });
    };
    handler.onMessage = [onStrand](const proto::PeerPointer &peer, proto::Envelope envelope) {
        onStrand([peer, envelope = std::move(envelope)](Control &control) mutable {
            control.onMessage(peer, std::move(envelope));
        });
    };
    return handler;
}

auto Process::Impl::scheduleTick() -> void
{
    timer_.expires_after(options_.control.node.replica.tick);
    timer_.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
        auto self = weak.lock();
        if (self && !error && !self->stopped_)
            self->tick();
    });
}

auto Process::Impl::tick() -> void
{
    control_->tick();
    const auto status = control_->node().status();
    if (status.role == coord::Role::Stopped) {
        LogEvent(LogLevel::Error, "replica_stopped").with(status.failure);
        failure_ = status.failure;
        closeAll();
        context_.stop();
        return;
    }
    if (status.membership != membership_) {
        membership_ = status.membership;
        transport_->setPeers(membership_.members);
    }
    scheduleTick();
}

auto Process::Impl::scheduleLeaseCheck() -> void
{
    leaseTimer_.expires_after(leaseCheckInterval);
    leaseTimer_.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
        auto self = weak.lock();
        if (self && !error && !self->stopped_)
            self->checkLease();
    });
}

auto Process::Impl::checkLease() -> void
{
    const auto held = control_->node().lease().holdsAny(clock_.now());
    if (leaseWasHeld_ && !held)
        port_.abortAll();
    leaseWasHeld_ = held;
    scheduleLeaseCheck();
}

auto Process::Impl::stop(std::function<void()> done) -> void
{
    asio::post(strand_, [self = shared_from_this(), done = std::move(done)]() mutable {
        if (self->httpServer_)
            self->httpServer_->stopAccepting();
        (void)self->control_->transfer();
        self->awaitHandover(self->clock_.now() + handoverTimeout, std::move(done));
    });
}

auto Process::Impl::awaitHandover(Instant deadline, std::function<void()> done) -> void
{
    const auto status = control_->node().status();
    if (status.role != coord::Role::Leader || clock_.now() >= deadline) {
        closeAll();
        done();
        return;
    }
    auto timer = std::make_shared<BootTimer>(strand_, leaseCheckInterval);
    timer->async_wait([self = shared_from_this(), timer, deadline,
                       done = std::move(done)](const boost::system::error_code &) mutable {
        self->awaitHandover(deadline, std::move(done));
    });
}

auto Process::Impl::closeAll() -> void
{
    stopped_ = true;
    port_.abortAll();
    timer_.cancel();
    if (transport_)
        transport_->stop();
    if (peerServer_)
        peerServer_->stop();
    if (httpServer_)
        httpServer_->stop();
    asio::post(leaseStrand_, [self = shared_from_this()] { self->leaseTimer_.cancel(); });
    LogEvent(LogLevel::Info, "control_stopped");
}

Process::Process(asio::io_context &context, ProcessOptions options, const Clock &clock)
    : impl_(std::make_shared<Impl>(context, std::move(options), clock))
{ }

Process::~Process() = default;

auto Process::start() -> absl::Status
{
    return impl_->start();
}

auto Process::stop(std::function<void()> done) -> void
{
    impl_->stop(std::move(done));
}

auto Process::failure() const -> absl::Status
{
    return impl_->failure_;
}

auto Process::operatorPort() const -> std::uint16_t
{
    return impl_->httpServer_->port();
}

auto Process::peerPort() const -> std::uint16_t
{
    return impl_->peerServer_->port();
}

} // namespace figrack::control
