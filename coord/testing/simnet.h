// A group of replicas in virtual time over small fakes of network and disk.
//
//   auto cluster = SimCluster { options, seed };
//   cluster.start("a"); cluster.start("b"); cluster.start("c");
//   cluster.run(std::chrono::seconds { 3 });
//   cluster.leader();
//
// Faults: loss, delay, reorder and duplicates; links cut one way or both; a
// node's clock running fast or slow; pause; crash between any two writes, with
// the batch then written kept in part; a disk lost, or put back from a copy.
//
// The cluster watches the replicas from outside and throws Violation at the
// step in which an invariant breaks.

#ifndef FIGRACK_COORD_TESTING_SIMNET_H
#define FIGRACK_COORD_TESTING_SIMNET_H

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "coord/replica.h"
#include "core/clock.h"
#include "core/random.h"

namespace figrack::coord::testing {

/// A broken invariant, found by the cluster or by a FIGRACK_CHECK.
struct Violation
{
    std::string what;
};

/// Thrown by a disk through a replica: the process ends between two writes.
struct Crashed
{ };

/// What survives on one disk. Every write is durable when it returns, unless the disk lies.
class SimDisk final : public LogStore
{
public:
    explicit SimDisk(Random &random)
        : random_(random)
    { }
    auto recover() -> absl::StatusOr<Recovered> override;
    auto saveIdentity(const Identity &identity) -> absl::Status override;
    auto saveVote(const Vote &vote) -> absl::Status override;
    auto append(const std::vector<Entry> &entries) -> absl::Status override;
    auto truncate(LogIndex from) -> absl::Status override;
    auto saveSnapshot(const Snapshot &snapshot) -> absl::Status override;
    auto readSnapshot() -> absl::StatusOr<Snapshot> override;

    /// The process crashes at one of the next writes, before or after it, or within a batch.
    auto crashWithin(std::uint64_t writes) -> void { crashIn_ = 1 + random_.below(writes); }
    auto disarm() -> void { crashIn_ = 0; }
    /// Every write from now on fails with an error.
    auto failWrites(absl::Status status) -> void { failure_ = std::move(status); }
    /// A disk that lies: writes are lost in a crash unless they were followed by this many more.
    auto setLying(std::size_t unsyncedWrites) -> void { unsynced_ = unsyncedWrites; }
    /// The process ended: what was not synced goes.
    auto powerOff() -> void;
    auto wipe() -> void;
    auto copy() const -> Recovered { return content_; }
    auto putBack(const Recovered &content) -> void { content_ = content; }
    auto content() const -> const Recovered & { return content_; }
    /// @return the term of an entry held, or of the snapshot's end; nullopt when it is not held
    auto termAt(LogIndex index) const -> std::optional<Term>;
    /// @return whether the disk has the entry, itself or within a snapshot
    auto holds(LogIndex index, Term term) const -> bool;

private:
    /// @return true when the write is to be done before the crash that then follows
    auto beforeWrite() -> bool;
    auto finishWrite(bool crash) -> absl::Status;

    Random &random_;
    Recovered content_;
    std::vector<Recovered> history_; ///< Of a lying disk: the states not yet synced over.
    std::size_t unsynced_ = 0;
    std::uint64_t crashIn_ = 0;
    absl::Status failure_;
};

/// A clock that runs at its own rate against true time.
class SkewedClock final : public Clock
{
public:
    SkewedClock(const Instant &trueNow, double rate, Duration offset)
        : trueNow_(trueNow)
        , rate_(rate)
        , offset_(offset)
    { }
    auto now() const -> Instant override;
    auto wallNow() const -> WallTime override;

private:
    const Instant &trueNow_;
    double rate_;
    Duration offset_;
};

/// The state machine of the tests: a running hash of what was applied, and the commands.
class SimState final : public StateMachine
{
public:
    auto apply(const Entry &entry) -> void override;
    auto snapshot() const -> std::string override;
    auto restore(std::string_view state, LogIndex lastIndex) -> absl::Status override;
    auto hash() const -> std::uint64_t { return hash_; }

private:
    std::uint64_t hash_ = 0;
};

struct SimOptions
{
    ReplicaOptions replica;
    double loss = 0.0;
    double duplicate = 0.0;
    Duration minDelay = std::chrono::microseconds { 200 };
    Duration maxDelay = std::chrono::milliseconds { 5 };
    double clockSkew = 0.0;  ///< Rates are drawn from 1 - skew / 2 to 1 + skew / 2.
    double lyingDisks = 0.0; ///< Chance that a write is not yet durable at a crash.
};

class SimCluster;

/// One node: its disk outlives its process.
struct SimNode final : Transport
{
    SimNode(SimCluster &owner, NodeId nodeName, Random &random);
    auto send(const NodeId &to, Message message) -> void override;

    SimCluster &cluster;
    NodeId name;
    SimDisk disk;
    std::unique_ptr<SkewedClock> clock;
    std::unique_ptr<SimState> state;
    std::unique_ptr<Replica> replica; ///< Null while the process is down.
    std::vector<Member> founders;
    std::uint64_t life = 0;
    bool paused = false;
    bool mayStop = false;                    ///< A fault that must stop it was made.
    std::vector<std::function<void()>> held; ///< What came while paused.
    Incarnation incarnation;                 ///< Of the disk now in it.
    Term highestTerm;                        ///< Had by this disk.
    LogIndex checkedCommit;
};

/// The nodes, the network between them and true time.
class SimCluster
{
public:
    SimCluster(SimOptions options, std::uint64_t seed);
    ~SimCluster();
    SimCluster(const SimCluster &) = delete;
    auto operator=(const SimCluster &) -> SimCluster & = delete;

    /// Adds a node, its process down. @param founders its settings; empty for a later member
    auto add(const std::string &name, std::vector<Member> founders) -> SimNode &;
    /// Starts a node's process from its disk.
    auto start(SimNode &node) -> void;
    /// Ends a node's process at once.
    auto kill(SimNode &node) -> void;
    /// Ends it and replaces its disk by an empty one.
    auto wipe(SimNode &node) -> void;
    auto pause(SimNode &node) -> void;
    auto resume(SimNode &node) -> void;
    /// Cuts or mends one direction of a link.
    auto cut(const NodeId &from, const NodeId &to, bool isCut) -> void;
    auto isCut(const NodeId &from, const NodeId &to) const -> bool
    {
        return cuts_.contains({ from, to });
    }
    /// Cuts a node off: what it sends, what it should get, or both.
    auto isolate(const SimNode &node, bool outward, bool inward) -> void;
    /// Mends all links.
    auto mend() -> void;
    auto setLoss(double loss) -> void { options_.loss = loss; }

    auto run(Duration time) -> void;
    /// Runs something as one step of a node: crashes and invariants are looked for.
    auto step(SimNode &node, const std::function<void(Replica &)> &what) -> void;
    auto after(Duration delay, std::function<void()> what) -> void;

    auto node(const std::string &name) -> SimNode & { return *nodes_.at(NodeId { name }); }
    auto nodes() -> std::vector<SimNode *>;
    /// @return the running replica that holds the lease, or nullptr
    auto leader() -> SimNode *;
    auto now() const -> Instant { return now_; }
    auto steps() const -> std::uint64_t { return steps_; }
    auto random() -> Random & { return random_; }
    auto committed() const -> LogIndex;
    /// Voters listed anywhere whose listed disk is gone.
    auto lostVoters() const -> std::size_t;
    /// Every voter's disk must hold all that is committed.
    auto checkRepaired(const SimNode &leader) -> void;
    /// One line a node, for a run that failed.
    auto describe() const -> std::string;

private:
    friend struct SimNode;
    struct Event
    {
        Instant at;
        std::uint64_t order;
        std::function<void()> what;
        auto operator<(const Event &other) const -> bool
        {
            return std::tie(at, order) > std::tie(other.at, other.order);
        }
    };
    struct Committed
    {
        Term term;        ///< 0 when it was never seen: its leader crashed in that step.
        Term committedIn; ///< The term of the leader that committed it.
        std::string data;
    };

    auto deliver(const NodeId &from, const NodeId &to, const Message &message) -> void;
    auto tickLater(SimNode &node, std::uint64_t life) -> void;
    auto check(SimNode &node) -> void;
    auto checkTerm(SimNode &node, const ReplicaStatus &status) -> void;
    auto checkLease() -> void;
    auto checkCommitted(SimNode &node, const ReplicaStatus &status) -> void;
    auto checkState(const SimNode &node, const ReplicaStatus &status) -> void;
    auto checkLeader(const SimNode &node, const ReplicaStatus &status) -> void;
    auto checkPromotion(const SimNode &node, const ReplicaStatus &status) -> void;
    auto requireHolds(const SimNode &node, LogIndex upTo, const std::string &promise) -> void;

    SimOptions options_;
    Random random_;
    Instant now_;
    std::uint64_t steps_ = 0;
    std::uint64_t order_ = 0;
    std::priority_queue<Event> events_;
    std::map<NodeId, std::unique_ptr<SimNode>> nodes_;
    std::set<std::pair<NodeId, NodeId>> cuts_;
    std::map<Term, std::pair<NodeId, Incarnation>> leaders_;
    std::vector<Committed> committed_; ///< From index 1 on.
    std::map<LogIndex, std::uint64_t> hashes_;
    std::map<NodeId, Membership> lastMembership_; ///< Of each node when it was checked last.
};

/// Founders of these names, for ReplicaOptions.
auto foundersNamed(const std::vector<std::string> &names) -> std::vector<Member>;

} // namespace figrack::coord::testing

#endif // FIGRACK_COORD_TESTING_SIMNET_H
