// One voter of a replicated log on a thread of its own: real files, real TCP on
// the loopback, the state tables as its state machine. For benchmarks.
//
//   auto node = CoordNode { options };
//   node.start();
//   node.call([](CoordNode &self) { return self.replica().status(); });
//   node.stop();

#ifndef FIGRACK_BENCH_COORDNODE_H
#define FIGRACK_BENCH_COORDNODE_H

#include <cstdint>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "coord/filelogstore.h"
#include "coord/replica.h"
#include "state/tables.h"

namespace figrack::bench {

struct CoordNodeOptions
{
    coord::ReplicaOptions replica;
    std::string folder;
    std::uint16_t port = 0;
    std::map<NodeId, std::uint16_t> peers;
};

class CoordNode final
    : public coord::StateMachine
    , public coord::Transport
{
public:
    explicit CoordNode(CoordNodeOptions options);
    ~CoordNode() override;
    CoordNode(const CoordNode &) = delete;
    auto operator=(const CoordNode &) -> CoordNode & = delete;

    auto start() -> absl::Status;
    auto stop() -> void;
    /// Runs work on the node's thread and waits for its result.
    template<typename Work>
    auto call(Work work) -> decltype(work(std::declval<CoordNode &>()))
    {
        using Result = decltype(work(*this));
        auto task = std::packaged_task<Result()> { [this, &work] { return work(*this); } };
        auto result = task.get_future();
        post([&task] { task(); });
        return result.get();
    }
    auto post(std::function<void()> work) -> void;

    auto options() const -> const CoordNodeOptions & { return options_; }

    // On the node's thread:
    auto replica() -> coord::Replica & { return *replica_; }
    auto tables() const -> const state::Tables & { return tables_; }
    /// Proposes and flushes with whatever else is proposed in the same turn.
    /// @param done called when the command is applied here
    auto propose(const state::Command &command, std::function<void()> done) -> absl::Status;
    /// Called after each applied command.
    std::function<void(const state::Command &, const state::Applied &, LogIndex)> onApplied;
    std::function<void(const coord::Entry &, bool)> onStored;
    std::function<void()> onTick;

    auto apply(const coord::Entry &entry) -> void override;
    auto snapshot() const -> std::string override;
    auto restore(std::string_view state, LogIndex lastIndex) -> absl::Status override;
    auto send(const NodeId &to, coord::Message message) -> void override;

private:
    struct Link;
    struct Session;
    auto tick() -> void;
    auto accept() -> void;
    auto read(const std::shared_ptr<Session> &session) -> void;
    auto receive(std::string_view frame) -> void;
    auto connect(const std::shared_ptr<Link> &link) -> void;
    static auto watch(const std::shared_ptr<Link> &link) -> void;
    auto write(const std::shared_ptr<Link> &link) -> void;

    CoordNodeOptions options_;
    SystemClock clock_;
    Random random_;
    coord::PosixDisk disk_;
    coord::FileLogStore store_;
    state::Tables tables_;
    std::unique_ptr<coord::Replica> replica_;
    boost::asio::io_context context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer timer_;
    std::map<NodeId, std::shared_ptr<Link>> links_;
    std::map<LogIndex, std::function<void()>> waiting_;
    bool flushPosted_ = false;
    std::thread thread_;
};

/// @return so many ports that were free a moment ago
auto freePorts(std::size_t count) -> std::vector<std::uint16_t>;

/// Options for the voters "n0", "n1", ... that found a group.
/// @param folder in which each gets a folder of its own
auto groupOptions(const std::vector<std::uint16_t> &ports, const std::string &folder)
        -> std::vector<CoordNodeOptions>;

} // namespace figrack::bench

#endif // FIGRACK_BENCH_COORDNODE_H
