// Benchmarks of coordination: prints one line of key=value pairs a measurement.
//
//   coord_bench commit <data folder> [seconds]    rate and latency by voters and outstanding
//   coord_bench catchup <data folder>             1,000 changes by log and by snapshot
//   coord_bench node                              bytes and CPU of leases, heartbeats and feed
//   coord_bench inforce <data folder> [changes]   a change until every stand-in router has it
//   coord_bench failover <data folder> [rounds]   time without a leader, real processes
//
// Voters are threads (failover: processes) with files in the data folder and TCP
// on the loopback. The load average is printed with each figure, since a busy
// machine changes them.

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <csignal>
#include <fcntl.h>
#include <fmt/format.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include "bench/coordnode.h"
#include "coord/failuredetector.h"
#include "coord/viewlease.h"
#include "core/check.h"
#include "proto/codec.h"

namespace figrack::bench {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Nodes = std::vector<std::unique_ptr<CoordNode>>;

constexpr auto claimMillis = std::int64_t { 60000 };

auto loadAverage() -> double
{
    auto load = 0.0;
    ::getloadavg(&load, 1);
    return load;
}

auto cpuSeconds() -> double
{
    auto usage = rusage {};
    ::getrusage(RUSAGE_SELF, &usage);
    const auto secondsOf = [](const timeval &time) {
        return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6;
    };
    return secondsOf(usage.ru_utime) + secondsOf(usage.ru_stime);
}

auto millisOf(Duration duration) -> double
{
    return static_cast<double>(duration.count()) / 1e6;
}

auto now() -> Instant
{
    return SystemClock {}.now();
}

/// @return the value below which a share of the samples lies
auto percentile(std::vector<double> samples, double share) -> double
{
    if (samples.empty())
        return 0.0;
    const auto rank = static_cast<std::size_t>(share * static_cast<double>(samples.size() - 1));
    std::nth_element(samples.begin(), samples.begin() + static_cast<long>(rank), samples.end());
    return samples[rank];
}

auto takeClaim(std::uint64_t number) -> state::Command
{
    auto claim = state::TakeClaim {};
    claim.key = IdempotencyKey { fmt::format("order-{:020}", number) };
    claim.bodyHash = number;
    claim.router = NodeId { "router-1" };
    claim.incarnation = Incarnation { 1 };
    claim.deadline = claimMillis;
    return claim;
}

auto configChange(const state::Tables &tables, std::uint64_t number) -> state::Command
{
    auto change = state::ConfigChange {};
    change.change = ChangeId { fmt::format("change-{:08}", number) };
    change.author = "bench";
    change.expected = tables.configuration().revision;
    auto spec = state::ClassSpec {};
    spec.id = ClassId { fmt::format("class-{:03}", number % 100) };
    spec.startTarget = 1000 + static_cast<std::int64_t>(number);
    spec.isDefault = tables.configuration().classes.empty();
    const auto known = tables.configuration().classes.find(spec.id);
    if (known != tables.configuration().classes.end())
        spec.isDefault = known->second.isDefault;
    change.operation = state::PutClass { spec };
    return change;
}

/// A fresh group of voters, each on its thread, with a leader.
auto startGroup(std::size_t voters, const std::string &folder,
                const std::function<void(coord::ReplicaOptions &)> &adjust) -> Nodes
{
    std::filesystem::remove_all(folder);
    std::filesystem::create_directories(folder);
    auto nodes = Nodes {};
    for (auto &options : groupOptions(freePorts(voters), folder)) {
        adjust(options.replica);
        nodes.push_back(std::make_unique<CoordNode>(options));
    }
    for (auto &node : nodes)
        FIGRACK_CHECK(node->start().ok(), "a voter starts");
    return nodes;
}

auto leaderOf(Nodes &nodes) -> CoordNode &
{
    while (true) {
        for (auto &node : nodes) {
            if (node && node->call([](CoordNode &self) { return self.replica().holdsLease(); }))
                return *node;
        }
        std::this_thread::sleep_for(milliseconds { 5 });
    }
}

/// Keeps so many commands under way on the leader; lives on the leader's thread.
struct ClosedLoop
{
    CoordNode &leader;
    std::uint64_t next = 0;
    std::vector<double> latencies {};
    std::size_t refused = 0;
    std::atomic<bool> over = false;
    std::atomic<std::size_t> underWay = 0;

    auto proposeOne() -> void
    {
        if (over) {
            --underWay;
            return;
        }
        const auto sentAt = now();
        const auto status = leader.propose(takeClaim(next++), [this, sentAt] {
            latencies.push_back(millisOf(now() - sentAt));
            proposeOne();
        });
        if (!status.ok()) {
            ++refused;
            --underWay;
        }
    }
};

auto measureCommits(std::size_t voters, std::size_t outstanding, const std::string &folder,
                    Duration duration) -> void
{
    auto nodes = startGroup(voters, folder, [](coord::ReplicaOptions &options) {
        options.snapshotEvery = 1000000;
        options.electionTimeout = seconds { 2 }; // Elections are not what is measured here.
    });
    auto loop = ClosedLoop { leaderOf(nodes) };
    loop.underWay = outstanding;
    const auto cpu = cpuSeconds();
    const auto begin = now();
    loop.leader.post([&] {
        for (auto i = std::size_t { 0 }; i < outstanding; ++i)
            loop.proposeOne();
    });
    std::this_thread::sleep_for(duration);
    loop.over = true;
    while (loop.underWay > 0)
        std::this_thread::sleep_for(milliseconds { 1 });
    const auto took = millisOf(now() - begin) / 1e3;
    const auto cpuUsed = cpuSeconds() - cpu;
    const auto count = static_cast<double>(loop.latencies.size());
    fmt::print("measure=commit command=take_claim voters={} outstanding={} seconds={:.2f} "
               "commits={} refused={} per_second={:.0f} p50_ms={:.2f} p99_ms={:.2f} "
               "cpu_us_each={:.1f} load={:.1f}\n",
               voters, outstanding, took, loop.latencies.size(), loop.refused, count / took,
               percentile(loop.latencies, 0.5), percentile(loop.latencies, 0.99),
               cpuUsed * 1e6 / std::max(count, 1.0), loadAverage());
    std::fflush(stdout);
}

auto runCommit(const std::string &folder, Duration duration) -> void
{
    for (const auto voters : { 3, 5 }) {
        for (const auto outstanding : { 1, 4, 16, 64, 256, 1024 })
            measureCommits(static_cast<std::size_t>(voters), static_cast<std::size_t>(outstanding),
                           folder, duration);
    }
}

/// Proposes changes one after the other on the leader.
auto makeChanges(CoordNode &leader, std::uint64_t first, std::uint64_t count) -> void
{
    for (auto number = first; number < first + count; ++number) {
        auto done = std::promise<void> {};
        leader.post([&] {
            const auto status = leader.propose(configChange(leader.tables(), number),
                                               [&done] { done.set_value(); });
            FIGRACK_CHECK(status.ok(), "the leader takes a change");
        });
        done.get_future().wait();
    }
}

auto measureCatchUp(const std::string &folder, const std::string &way) -> void
{
    constexpr auto changes = std::uint64_t { 1000 };
    auto nodes = startGroup(3, folder, [&](coord::ReplicaOptions &options) {
        if (way == "snapshot") {
            options.snapshotEvery = 100;
            options.keepEntries = 10;
        }
    });
    auto &leader = leaderOf(nodes);
    makeChanges(leader, 0, 10);
    auto &behind = &leader == nodes[0].get() ? nodes[1] : nodes[0];
    const auto options = behind->options();
    behind.reset();
    const auto wrote = now();
    makeChanges(leader, 10, changes);
    const auto writeMs = millisOf(now() - wrote);
    const auto target
            = leader.call([](CoordNode &self) { return self.replica().status().appliedIndex; });
    const auto bytes
            = leader.call([](CoordNode &self) { return self.tables().snapshot(false).size(); });
    const auto begin = now();
    behind = std::make_unique<CoordNode>(options);
    FIGRACK_CHECK(behind->start().ok(), "a voter starts again");
    const auto recoveredMs = millisOf(now() - begin);
    const auto applied = [](CoordNode &self) { return self.replica().status().appliedIndex; };
    while (behind->call(applied) < target)
        std::this_thread::sleep_for(milliseconds { 1 });
    fmt::print("measure=catchup way={} changes={} write_ms={:.0f} recover_ms={:.1f} "
               "caught_up_ms={:.1f} snapshot_bytes={} load={:.1f}\n",
               way, changes, writeMs, recoveredMs, millisOf(now() - begin), bytes, loadAverage());
    std::fflush(stdout);
}

/// CPU and bytes a node, without sockets: what the inner protocol and the tables cost.
auto measureNodes(std::size_t count) -> void
{
    constexpr auto rounds = std::size_t { 20 };
    auto clock = ManualClock {};
    const auto options = coord::ViewLeaseOptions {};
    auto grantor = coord::ViewGrantor { NodeId { "n0" } };
    auto gate = coord::AcceptGate { options, clock };
    auto detector = coord::FailureDetector { coord::FailureDetectorOptions {}, clock };
    auto holders = std::vector<coord::ViewHolder> {};
    for (auto i = std::size_t { 0 }; i < count; ++i) {
        const auto node = NodeId { fmt::format("router-{:05}", i) };
        grantor.onRegistered(node, Incarnation { i + 1 });
        gate.onRegistered(node, Incarnation { i + 1 });
        holders.emplace_back(options, clock, node, Incarnation { i + 1 });
    }
    grantor.onRecovered();
    const auto voters = coord::VoterSet { 3, 1 };
    auto requestBytes = std::size_t { 0 };
    auto replyBytes = std::size_t { 0 };
    const auto cpu = cpuSeconds();
    for (auto round = std::size_t { 0 }; round < rounds; ++round) {
        clock.advance(options.renewEvery);
        for (auto &holder : holders) {
            const auto sent = proto::encode({ 1, holder.request(Revision {}) });
            const auto request = proto::decodeEnvelope(sent);
            const auto &renew = std::get<coord::RenewRequest>(request->payload);
            (void)detector.heartbeat(coord::PeerId { renew.observer.value() }, renew.incarnation,
                                     DomainId { "d" });
            gate.onAck(renew.observer, renew.incarnation, renew.applied);
            const auto answer = proto::encode({ 1, grantor.grant(renew, voters) });
            const auto reply = proto::decodeEnvelope(answer);
            holder.onReply(std::get<coord::RenewReply>(reply->payload));
            requestBytes = sent.size();
            replyBytes = answer.size();
        }
        (void)detector.poll();
    }
    const auto renewals = static_cast<double>(rounds * count);
    const auto microseconds = (cpuSeconds() - cpu) * 1e6 / renewals;
    const auto perSecond = 1e9 / static_cast<double>(options.renewEvery.count());
    fmt::print("measure=renewal nodes={} request_bytes={} reply_bytes={} cpu_us_each={:.3f} "
               "renewals_per_node_second={:.2f} bytes_per_node_second_at_one_voter={:.0f} "
               "cores_for_all_at_one_voter={:.5f} load={:.1f}\n",
               count, requestBytes, replyBytes, microseconds, perSecond,
               perSecond * static_cast<double>(requestBytes + replyBytes),
               perSecond * static_cast<double>(count) * microseconds / 1e6, loadAverage());
}

/// The feed of one change to so many readers: encoded once a reader, decoded and applied.
auto measureFeed(std::size_t readers) -> void
{
    constexpr auto changes = std::uint64_t { 20 };
    auto source = state::Tables {};
    auto tables = std::vector<state::Tables>(readers);
    auto bytes = std::size_t { 0 };
    const auto cpu = cpuSeconds();
    for (auto number = std::uint64_t { 0 }; number < changes; ++number) {
        const auto command = configChange(source, number);
        const auto index = LogIndex { number + 1 };
        source.apply(command, index);
        const auto entry = proto::FeedEntry { index, state::encodeCommand(command) };
        for (auto &table : tables) {
            const auto sent = proto::encode(
                    { 0, proto::FeedBatch { {}, { entry }, index, NodeId { "n0" }, Term { 1 } } });
            const auto batch = proto::decodeEnvelope(sent);
            const auto &fed = std::get<proto::FeedBatch>(batch->payload).entries.front();
            table.apply(*state::decodeCommand(fed.command), fed.index);
            bytes += sent.size();
        }
    }
    const auto fed = static_cast<double>(changes * readers);
    fmt::print("measure=feed readers={} bytes_each={:.0f} cpu_us_each={:.2f} load={:.1f}\n",
               readers, static_cast<double>(bytes) / fed, (cpuSeconds() - cpu) * 1e6 / fed,
               loadAverage());
}

/// Routers, as far as a change being in force concerns them, on one thread.
struct StandIns
{
    struct Router
    {
        NodeId node;
        Incarnation incarnation;
        std::unique_ptr<coord::ViewHolder> holder;
        Revision applied;
        bool silent = false;
    };
    SystemClock clock;
    coord::ViewLeaseOptions options;
    std::vector<Router> routers;
    Nodes &nodes;
    std::map<const CoordNode *, std::unique_ptr<coord::ViewGrantor>> grantors;
    coord::AcceptGate gate { options, clock }; ///< The leader's, on its thread.
    CoordNode *leader = nullptr;
    boost::asio::io_context context;

    StandIns(Nodes &group, std::size_t count)
        : nodes(group)
    {
        for (auto i = std::size_t { 0 }; i < count; ++i) {
            const auto node = NodeId { fmt::format("router-{:05}", i) };
            const auto life = Incarnation { i + 1 };
            routers.push_back({ node,
                                life,
                                std::make_unique<coord::ViewHolder>(options, clock, node, life),
                                {},
                                false });
        }
    }
    /// Wires one voter: what it stores and applies, and the feed from the leader.
    auto wire(CoordNode &node) -> void
    {
        auto &grantor = grantors[&node];
        grantor = std::make_unique<coord::ViewGrantor>(NodeId { "v" });
        for (const auto &router : routers)
            grantor->onRegistered(router.node, router.incarnation);
        grantor->onRecovered();
        node.onStored = [&grantor = *grantor](const coord::Entry &entry, bool stored) {
            const auto command = state::decodeCommand(entry.data);
            const auto *change
                    = command.ok() ? std::get_if<state::ConfigChange>(&*command) : nullptr;
            if (!stored)
                grantor.onTruncated(entry.index);
            else if (change != nullptr)
                grantor.onStored(entry.index, change->expected.next());
        };
        node.onApplied = [this, &node, &grantor = *grantor](const state::Command &,
                                                            const state::Applied &applied,
                                                            LogIndex index) {
            const auto revision = node.tables().configuration().revision;
            grantor.onApplied(index, revision);
            if (&node != leader || !applied.change)
                return;
            gate.onCommitted(revision);
            push(revision);
        };
    }
    /// On the leader's thread. Each router's copy is encoded and crosses to the other thread.
    auto push(Revision revision) -> void
    {
        for (auto &router : routers) {
            if (router.silent)
                continue;
            auto sent = proto::encode(
                    { 0,
                      proto::FeedBatch { {},
                                         { { LogIndex { 1 }, std::string(180, 'x') } },
                                         LogIndex { 1 },
                                         NodeId { "n0" },
                                         Term { 1 } } });
            boost::asio::post(context, [this, &router, revision, sent = std::move(sent)] {
                FIGRACK_CHECK(proto::decodeEnvelope(sent).ok(), "a feed batch can be decoded");
                router.applied = revision;
                renew(router);
            });
        }
    }
    /// On the routers' thread: asks all voters, each on its thread.
    auto renew(Router &router) -> void
    {
        auto sent = proto::encode({ 1, router.holder->request(router.applied) });
        for (auto &node : nodes) {
            node->post([this, &router, &node = *node, sent] {
                const auto request = proto::decodeEnvelope(sent);
                const auto &renewal = std::get<coord::RenewRequest>(request->payload);
                if (&node == leader)
                    gate.onAck(renewal.observer, renewal.incarnation, renewal.applied);
                const auto reply = grantors[&node]->grant(renewal, { 3, 1 });
                boost::asio::post(context, [&router, reply] { router.holder->onReply(reply); });
            });
        }
    }
};

auto measureInForce(const std::string &folder, std::size_t count, std::uint64_t changes,
                    bool oneSilent) -> void
{
    auto nodes = startGroup(3, folder, [](coord::ReplicaOptions &options) {
        options.electionTimeout = seconds { 2 };
    });
    auto standIns = StandIns { nodes, count };
    auto &leader = leaderOf(nodes);
    for (auto &node : nodes)
        node->call([&](CoordNode &self) { standIns.wire(self); });
    leader.call([&](CoordNode &) {
        standIns.leader = &leader;
        for (const auto &router : standIns.routers)
            standIns.gate.onRegistered(router.node, router.incarnation);
    });
    auto guard = boost::asio::make_work_guard(standIns.context);
    auto thread = std::thread([&] { standIns.context.run(); });
    std::this_thread::sleep_for(standIns.options.length * 2); // The gate gets warm.
    if (oneSilent)
        leader.call([&](CoordNode &) { standIns.routers.front().silent = true; });
    auto samples = std::vector<double> {};
    for (auto number = std::uint64_t { 0 }; number < changes; ++number) {
        const auto begin = now();
        makeChanges(leader, number, 1);
        const auto accepted = [&](CoordNode &self) {
            return standIns.gate.accepted(self.tables().configuration().revision);
        };
        while (!leader.call(accepted))
            std::this_thread::sleep_for(std::chrono::microseconds { 200 });
        samples.push_back(millisOf(now() - begin));
    }
    guard.reset();
    for (auto &node : nodes)
        node->stop();
    standIns.context.stop();
    thread.join();
    fmt::print("measure=inforce routers={} silent={} changes={} p50_ms={:.2f} p99_ms={:.2f} "
               "max_ms={:.2f} load={:.1f}\n",
               count, oneSilent ? 1 : 0, changes, percentile(samples, 0.5),
               percentile(samples, 0.99), percentile(samples, 1.0), loadAverage());
    std::fflush(stdout);
}

/// A voter in a process of its own, which tells its parent by a pipe when it holds a lease.
struct VoterProcess
{
    pid_t pid = -1;
    int pipe = -1;
};

[[noreturn]] auto serve(const CoordNodeOptions &options, int pipe) -> void
{
    auto node = CoordNode { options };
    node.onTick = [&] {
        // One byte while the lease is held; a full pipe loses it, the next one tells.
        if (node.replica().holdsLease())
            (void)!::write(pipe, "L", 1);
    };
    if (!node.start().ok())
        std::_Exit(1);
    while (true)
        ::pause();
}

auto spawn(const CoordNodeOptions &options) -> VoterProcess
{
    auto ends = std::array<int, 2> {};
    FIGRACK_CHECK(::pipe2(ends.data(), O_NONBLOCK | O_CLOEXEC) == 0, "a pipe can be made");
    const auto pid = ::fork();
    if (pid == 0)
        serve(options, ends[1]);
    ::close(ends[1]);
    return { pid, ends[0] };
}

/// @return true when the process told since the last call that it holds the lease
auto toldLease(const VoterProcess &voter) -> bool
{
    auto bytes = std::array<char, 256> {};
    auto told = false;
    while (::read(voter.pipe, bytes.data(), bytes.size()) > 0)
        told = true;
    return told;
}

auto end(VoterProcess &voter, int signal) -> void
{
    ::kill(voter.pid, signal);
    ::waitpid(voter.pid, nullptr, 0);
    ::close(voter.pipe);
    voter = {};
}

auto waitForLeader(const std::vector<VoterProcess> &voters, std::size_t but) -> std::size_t
{
    while (true) {
        for (auto i = std::size_t { 0 }; i < voters.size(); ++i) {
            if (i != but && voters[i].pid > 0 && toldLease(voters[i]))
                return i;
        }
        std::this_thread::sleep_for(milliseconds { 1 });
    }
}

/// Kills or stops the leader and waits until another holds a lease.
auto measureFailover(const std::string &folder, int signal, std::size_t rounds) -> void
{
    std::filesystem::remove_all(folder);
    std::filesystem::create_directories(folder);
    const auto options = groupOptions(freePorts(3), folder);
    auto voters = std::vector<VoterProcess> {};
    for (const auto &one : options)
        voters.push_back(spawn(one));
    auto samples = std::vector<double> {};
    for (auto round = std::size_t { 0 }; round < rounds; ++round) {
        const auto leader = waitForLeader(voters, voters.size());
        std::this_thread::sleep_for(milliseconds { 300 });
        const auto begin = now();
        ::kill(voters[leader].pid, signal);
        for (const auto &voter : voters)
            (void)toldLease(voter);
        (void)waitForLeader(voters, leader);
        samples.push_back(millisOf(now() - begin));
        if (signal == SIGSTOP) {
            ::kill(voters[leader].pid, SIGCONT);
        } else {
            end(voters[leader], SIGKILL);
            voters[leader] = spawn(options[leader]);
        }
        std::this_thread::sleep_for(milliseconds { 700 });
        for (const auto &voter : voters)
            (void)toldLease(voter);
    }
    for (auto &voter : voters)
        end(voter, SIGKILL);
    fmt::print("measure=failover signal={} rounds={} election_timeout_ms={:.0f} p50_ms={:.0f} "
               "p99_ms={:.0f} max_ms={:.0f} load={:.1f}\n",
               signal == SIGSTOP ? "SIGSTOP" : "SIGKILL", rounds,
               millisOf(coord::ReplicaOptions {}.electionTimeout), percentile(samples, 0.5),
               percentile(samples, 0.99), percentile(samples, 1.0), loadAverage());
    std::fflush(stdout);
}

auto run(const std::vector<std::string> &arguments) -> int
{
    const auto mode = arguments.empty() ? std::string {} : arguments[0];
    const auto folder = arguments.size() > 1 ? arguments[1] + "/coord_bench" : std::string {};
    const auto number = arguments.size() > 2 ? std::stoul(arguments[2]) : 0;
    if (mode == "node") {
        for (const auto count : { 7, 200, 1700 })
            measureNodes(static_cast<std::size_t>(count));
        for (const auto count : { 7, 200, 1700 })
            measureFeed(static_cast<std::size_t>(count));
        return 0;
    }
    if (folder.empty()) {
        fmt::print(stderr, "usage: coord_bench commit|catchup|node|inforce|failover folder [n]\n");
        return 2;
    }
    if (mode == "commit")
        runCommit(folder, seconds { number == 0 ? 5 : number });
    if (mode == "catchup") {
        measureCatchUp(folder, "log");
        measureCatchUp(folder, "snapshot");
    }
    if (mode == "inforce") {
        for (const auto count : { 7, 50, 200 })
            measureInForce(folder, static_cast<std::size_t>(count), number == 0 ? 100 : number,
                           false);
        measureInForce(folder, 7, 5, true);
    }
    if (mode == "failover") {
        for (const auto signal : { SIGKILL, SIGSTOP })
            measureFailover(folder, signal, number == 0 ? 50 : number);
    }
    std::filesystem::remove_all(folder);
    return 0;
}

} // namespace
} // namespace figrack::bench

auto main(int argc, char **argv) -> int
{
    return figrack::bench::run({ argv + 1, argv + argc });
}
