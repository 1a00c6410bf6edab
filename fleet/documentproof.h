// Answers gateways that ask which document version they must apply to be current.
//
//   proof.ask(gateway, correlation);
//   if (const auto query = proof.nextQuery()) send(*query);     // to every voter; with each tick
//   proof.onReply(reply, newest);
//   proof.settle(newest);                                       // with each tick
//
// Questions are collected, and one round of a RevisionPoll answers all of those
// that arrived before it started. So a control queries its peers equally often
// with eight gateways as with two hundred. A control that reaches no majority
// answers that it can prove nothing, and the gateway asks another one. Not
// thread-safe.

#ifndef FIGRACK_FLEET_DOCUMENTPROOF_H
#define FIGRACK_FLEET_DOCUMENTPROOF_H

#include <cstdint>
#include <optional>
#include <vector>

#include "coord/revisionpoll.h"
#include "core/clock.h"
#include "proto/channel.h"

namespace figrack::fleet {

struct DocumentProofOptions
{
    /// Time between the starts of two rounds. It is part of the age that a gateway's proof may
    /// have.
    Duration roundEvery = std::chrono::milliseconds { 400 };
    /// When a majority requires a document that is not committed yet, how long to wait for a voter
    /// that does not require it. Round trips between failure domains take a few milliseconds.
    Duration lateVoterWait = std::chrono::milliseconds { 60 };
    /// Interval at which a round without a majority queries again. After a loss of all processes
    /// the voters become reachable one after the other, and until then gateways refuse requests
    /// with keys.
    Duration retryInterval = std::chrono::milliseconds { 100 };
    /// A round that has no majority after this time proves nothing.
    Duration giveUpAfter = std::chrono::milliseconds { 500 };
};

class DocumentProof
{
public:
    DocumentProof(DocumentProofOptions options, const Clock &clock);
    /// @param correlation of the question, copied into the answer
    auto ask(proto::PeerPointer gateway, std::uint64_t correlation) -> void;
    /// @return the query to send to every voter, including this control; nullopt: none is due
    auto nextQuery() -> std::optional<coord::RevisionQuery>;
    /// @param newest version of the newest document that this control knows to be committed
    auto onReply(const coord::RevisionReply &reply, Revision newest) -> void;
    auto settle(Revision newest) -> void;

private:
    struct Question
    {
        proto::PeerPointer gateway;
        std::uint64_t correlation = 0;
    };
    auto end(Revision demanded) -> void;

    DocumentProofOptions options_;
    const Clock &clock_;
    coord::RevisionPoll poll_;
    std::vector<Question> waiting_; ///< To be answered by the next round.
    std::vector<Question> asking_;  ///< Answered by the current round; empty: there is none.
    Instant begunAt_;
    Instant queriedAt_ {};
};

} // namespace figrack::fleet

#endif // FIGRACK_FLEET_DOCUMENTPROOF_H
