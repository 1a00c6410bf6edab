// A plain model of replicated logs, observers and a lossy network, in which
// configuration leases are run at random.
//
//   auto model = ViewLeaseModel { seed };
//   for (auto i = 0; i < steps; ++i) {
//       model.step();
//       if (auto fault = model.fault(); !fault.empty()) ...
//   }
//
// The logs follow the rules of leader-based replication in single atomic acts:
// elections by majority and up-to-date log, truncation of conflicts, commit of an
// entry of the own term by a majority of the latest voter set, voter sets that
// change by one. Old leaders go on believing; voters crash, recover from a
// snapshot and their log, or are sent a snapshot. Observers pause, restart and
// live on beside their next life. Clocks run at rates up to the bound apart.

#ifndef FIGRACK_COORD_TESTING_VIEWLEASEMODEL_H
#define FIGRACK_COORD_TESTING_VIEWLEASEMODEL_H

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "coord/viewlease.h"
#include "core/random.h"

namespace figrack::coord::testing {

class ViewLeaseModel
{
public:
    explicit ViewLeaseModel(std::uint64_t seed);
    ~ViewLeaseModel();
    ViewLeaseModel(const ViewLeaseModel &) = delete;
    auto operator=(const ViewLeaseModel &) -> ViewLeaseModel & = delete;

    auto step() -> void;
    /// @return what promise is broken now; empty when none is
    auto fault() const -> std::string;

    /// How often things happened, so that a run that proves nothing is seen.
    struct Counts
    {
        std::size_t changes = 0;        ///< Committed and won.
        std::size_t acceptedByAcks = 0; ///< Accepted before the wait was over.
        std::size_t acceptedByTime = 0;
        std::size_t currentSteps = 0; ///< Observers that were current, summed over steps.
        std::size_t staleSteps = 0;   ///< Observers that lacked an accepted change.
        std::size_t voterChanges = 0;
        std::size_t truncations = 0;
        std::size_t snapshots = 0;
    };
    auto counts() const -> const Counts & { return counts_; }

private:
    enum class Kind { Noop, Change, Voters, Register, Remove };
    struct Item
    {
        Term term;
        Kind kind = Kind::Noop;
        Revision expected;
        std::set<std::string> voters;
        NodeId observer;
        Incarnation incarnation;
    };
    using Log = std::vector<Item>;
    /// What applying a log up to an index gives.
    struct Applied
    {
        Revision revision;
        std::map<NodeId, Incarnation> observers;
    };
    struct Replica;
    struct Observer;
    struct Packet
    {
        Duration due {};
        std::size_t replica = 0;  ///< Where a request goes.
        std::size_t observer = 0; ///< Where a reply goes.
        std::variant<RenewRequest, RenewReply> body;
    };

    auto pickReplica() -> Replica &;
    auto pickLeader() -> Replica &;
    auto pickObserver() -> Observer &;
    static auto stateAt(const Log &log, std::size_t count) -> Applied;
    static auto votersOf(const Log &log) -> std::set<std::string>;
    static auto membershipOf(const Log &log) -> Membership;
    static auto changedVoters(const std::set<std::string> &voters, Random &random)
            -> std::set<std::string>;

    auto act() -> void;
    auto split() -> void;
    static auto reaches(const Replica &leader, const Replica &follower) -> bool;
    auto advance() -> void;
    auto elect() -> void;
    auto propose() -> void;
    auto proposedItem(const Replica &leader) -> Item;
    auto replicate() -> void;
    auto sendSnapshot() -> void;
    auto commit() -> void;
    auto applySome() -> void;
    auto applyOne(Replica &replica) -> void;
    auto restartReplica() -> void;
    auto finishRecovery(Replica &replica) -> void;
    auto renew() -> void;
    auto deliver() -> void;
    auto catchUp() -> void;
    auto restartObserver() -> void;
    auto sendDelay() -> Duration;
    static auto store(Replica &replica, const Item &item) -> void;
    auto cut(Replica &replica, std::size_t keep) -> void;
    auto noteAcceptance() -> void;

    Random random_;
    ViewLeaseOptions options_;
    Duration now_ {};
    bool busy_ = false; ///< Much happens, so that what can succeed does.
    std::vector<std::unique_ptr<Replica>> replicas_;
    std::vector<std::unique_ptr<Observer>> observers_;
    std::vector<Packet> packets_;
    std::map<Revision, Duration> committedAt_;
    Revision accepted_;
    std::uint64_t nextIncarnation_ = 1;
    Counts counts_;
};

} // namespace figrack::coord::testing

#endif // FIGRACK_COORD_TESTING_VIEWLEASEMODEL_H
