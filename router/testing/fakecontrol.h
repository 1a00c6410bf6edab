// A fake control process for tests of the router's link: a channel server on
// loopback that serves a list of commands and gives configured answers.

#ifndef FIGRACK_ROUTER_TESTING_FAKECONTROL_H
#define FIGRACK_ROUTER_TESTING_FAKECONTROL_H

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include "proto/channel.h"
#include "state/commands.h"

namespace figrack::router {

/// An io_context whose threads end before the objects that the handlers use are destroyed.
class Threads
{
public:
    Threads()
    {
        for (auto i = 0; i < 3; ++i)
            threads_.emplace_back([this] { context.run(); });
    }
    ~Threads() { stop(); }
    Threads(const Threads &) = delete;
    auto operator=(const Threads &) -> Threads & = delete;
    auto stop() -> void
    {
        context.stop();
        for (auto &thread : threads_)
            thread.join();
        threads_.clear();
    }

    boost::asio::io_context context;

private:
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_ {
        context.get_executor()
    };
    std::vector<std::thread> threads_;
};

/// Waits up to 30 s for an event. The limit is generous because no test asserts a short duration.
inline auto eventually(const std::function<bool()> &holds) -> bool
{
    constexpr auto limit = std::chrono::seconds { 30 };
    const auto end = std::chrono::steady_clock::now() + limit;
    while (std::chrono::steady_clock::now() < end) {
        if (holds())
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds { 2 });
    }
    return holds();
}

inline auto testKeys() -> std::shared_ptr<proto::PeerKeys>
{
    return *proto::PeerKeys::fromText(std::string(64, 'a'));
}

class FakeControl
{
public:
    FakeControl(boost::asio::io_context &context, std::string name)
        : name_(std::move(name))
        , server_(context, options(name_), handler())
    {
        started_ = server_.start(Address { "127.0.0.1", 0 }).ok();
    }
    ~FakeControl() { server_.stop(); }

    auto named() const -> NamedAddress
    {
        return { name_, Address { "127.0.0.1", server_.port() } };
    }
    auto stop() -> void { server_.stop(); }
    static auto options(const std::string &name) -> proto::ChannelOptions
    {
        auto out = proto::ChannelOptions {};
        out.self = NodeId { name };
        out.keys = testKeys();
        out.dial.firstPause = std::chrono::milliseconds { 5 };
        return out;
    }

    /// Commits a command and pushes it to the subscribers.
    auto commit(const state::Command &command) -> LogIndex
    {
        const auto lock = std::scoped_lock { mutex_ };
        log_.push_back(state::encodeCommand(command));
        for (auto &[peer, next] : subscribers_)
            (void)peer->send({ 0, batchFrom(next) });
        return LogIndex { log_.size() };
    }
    /// Copies another control's log without notifying the subscribers.
    auto copyLog(FakeControl &from) -> void
    {
        auto log = std::vector<std::string> {};
        {
            const auto lock = std::scoped_lock { from.mutex_ };
            log = from.log_;
        }
        const auto lock = std::scoped_lock { mutex_ };
        log_ = std::move(log);
    }
    auto push(const proto::Payload &payload) -> void
    {
        const auto lock = std::scoped_lock { mutex_ };
        for (auto &[peer, next] : subscribers_)
            (void)peer->send({ 0, payload });
    }
    auto subscribers() -> std::size_t
    {
        const auto lock = std::scoped_lock { mutex_ };
        return subscribers_.size();
    }
    auto reports() -> std::vector<proto::DemandReport>
    {
        const auto lock = std::scoped_lock { mutex_ };
        return reports_;
    }
    auto endpointReports() -> std::vector<proto::EndpointReport>
    {
        const auto lock = std::scoped_lock { mutex_ };
        return endpointReports_;
    }
    auto ends() -> std::vector<state::EndClaim>
    {
        const auto lock = std::scoped_lock { mutex_ };
        return ends_;
    }
    auto notices() -> std::vector<proto::DrainNotice>
    {
        const auto lock = std::scoped_lock { mutex_ };
        return notices_;
    }
    auto reportReplies() -> std::vector<proto::ReportReply>
    {
        const auto lock = std::scoped_lock { mutex_ };
        return reportReplies_;
    }

    std::atomic<bool> leads = true;
    std::atomic<bool> grants = true;
    std::atomic<bool> registersOnJoin = true;
    std::atomic<bool> answersFeed = true;
    std::atomic<std::uint64_t> required = 0; ///< The revision required for a lease renewal.
    std::atomic<std::uint32_t> voters = 1;
    std::atomic<int> joins = 0;
    std::atomic<int> claims = 0;
    std::atomic<std::uint64_t> joinIndexAhead = 0; ///< Added to the index returned for a join.
    std::string leaderHint;

private:
    auto handler() -> proto::PeerHandler
    {
        auto out = proto::PeerHandler {};
        out.onMessage = [this](const proto::PeerPointer &peer, proto::Envelope envelope) {
            std::visit([&](auto &payload) { on(peer, envelope.correlation, payload); },
                       envelope.payload);
        };
        out.onClose = [this](const proto::PeerPointer &peer, const absl::Status &) {
            const auto lock = std::scoped_lock { mutex_ };
            subscribers_.erase(peer);
        };
        return out;
    }
    auto batchFrom(std::uint64_t &next) -> proto::FeedBatch
    {
        auto batch = proto::FeedBatch {};
        for (; next <= log_.size(); ++next)
            batch.entries.push_back({ LogIndex { next }, log_[next - 1] });
        batch.upTo = LogIndex { log_.size() };
        batch.leader = leads ? NodeId { name_ } : NodeId { leaderHint };
        return batch;
    }
    auto notLeader(const proto::PeerPointer &peer, std::uint64_t correlation) -> bool
    {
        if (leads)
            return false;
        (void)peer->send({ correlation,
                           proto::Failure { ErrorKind::NotLeader, name_, NodeId { leaderHint } } });
        return true;
    }

    using Peer = proto::PeerPointer;
    auto on(const Peer &peer, std::uint64_t correlation, proto::FeedRequest &request) -> void
    {
        if (!answersFeed)
            return;
        const auto lock = std::scoped_lock { mutex_ };
        auto &next = subscribers_[peer];
        next = std::max<std::uint64_t>(request.from.value(), 1);
        (void)peer->send({ correlation, batchFrom(next) });
    }
    auto on(const Peer &peer, std::uint64_t correlation, proto::JoinRequest &request) -> void
    {
        if (notLeader(peer, correlation))
            return;
        ++joins;
        auto index = LogIndex {};
        if (registersOnJoin)
            index = commit(request.registration);
        index = LogIndex { index.value() + joinIndexAhead };
        (void)peer->send({ correlation, proto::JoinReply { index } });
    }
    auto on(const Peer &peer, std::uint64_t correlation, coord::RenewRequest &request) -> void
    {
        auto reply = coord::RenewReply {};
        reply.voter = NodeId { name_ };
        reply.incarnation = request.incarnation;
        reply.round = request.round;
        reply.required = Revision { required };
        reply.granted = grants && request.applied >= reply.required;
        reply.voters = voters;
        reply.voterSet = 1;
        (void)peer->send({ correlation, reply });
    }
    auto on(const Peer &peer, std::uint64_t correlation, proto::ClaimRequest &) -> void
    {
        if (notLeader(peer, correlation))
            return;
        ++claims;
        (void)peer->send(
                { correlation, proto::ClaimReply { proto::ClaimVerdict::Granted, 0, {}, {} } });
    }
    auto on(const Peer &peer, std::uint64_t correlation, proto::ClaimEnd &end) -> void
    {
        if (notLeader(peer, correlation))
            return;
        const auto lock = std::scoped_lock { mutex_ };
        ends_.push_back(end.end);
        (void)peer->send({ correlation, proto::Done {} });
    }
    auto on(const Peer &peer, std::uint64_t correlation, proto::DrainNotice &notice) -> void
    {
        if (notLeader(peer, correlation))
            return;
        {
            const auto lock = std::scoped_lock { mutex_ };
            notices_.push_back(notice);
        }
        commit(state::DrainRouter { notice.node, notice.incarnation, true, 0 });
        (void)peer->send({ correlation, proto::Done {} });
    }
    auto on(const Peer &, std::uint64_t, proto::DemandReport &report) -> void
    {
        const auto lock = std::scoped_lock { mutex_ };
        reports_.push_back(std::move(report));
    }
    auto on(const Peer &, std::uint64_t, proto::EndpointReport &report) -> void
    {
        const auto lock = std::scoped_lock { mutex_ };
        endpointReports_.push_back(std::move(report));
    }
    auto on(const Peer &, std::uint64_t, proto::ReportReply &reply) -> void
    {
        const auto lock = std::scoped_lock { mutex_ };
        reportReplies_.push_back(std::move(reply));
    }
    template<typename Other>
    auto on(const Peer &, std::uint64_t, Other &) -> void
    { }

    std::string name_;
    std::mutex mutex_;
    std::vector<std::string> log_;
    std::map<Peer, std::uint64_t> subscribers_;
    std::vector<proto::DemandReport> reports_;
    std::vector<proto::EndpointReport> endpointReports_;
    std::vector<state::EndClaim> ends_;
    std::vector<proto::DrainNotice> notices_;
    std::vector<proto::ReportReply> reportReplies_;
    bool started_ = false;
    proto::PeerServer server_;
};

} // namespace figrack::router

#endif // FIGRACK_ROUTER_TESTING_FAKECONTROL_H
