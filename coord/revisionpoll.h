// Finds out which revision nobody may be behind: what a majority of the voters requires.
//
//   auto poll = RevisionPoll {};
//   send(poll.begin());                       // to every voter
//   poll.onReply(reply);
//   if (auto revision = poll.required()) ...
//
// A voter answers with the highest configuration revision that it has stored,
// committed or not (ViewGrantor). If a change was committed before begin(), some
// voter of any majority that answers later has stored it (coord/viewlease.cpp has
// the argument), so a revision that a majority requires at most is no older than
// that change. Of all majorities the one that requires least counts: what a deposed
// leader has stored and nobody committed holds nobody back, while a majority goes
// without it.
//
// Unlike a ViewHolder's round this one is not for one observer: its result serves
// everybody who asked before begin(). Not thread-safe.

#ifndef FIGRACK_COORD_REVISIONPOLL_H
#define FIGRACK_COORD_REVISIONPOLL_H

#include <cstdint>
#include <map>
#include <optional>

#include "core/ids.h"

namespace figrack::coord {

struct RevisionQuery
{
    std::uint64_t round = 0;
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(round);
    }
};

struct RevisionReply
{
    NodeId voter;
    std::uint64_t round = 0;
    Revision required;
    std::uint32_t voters = 0;   ///< As this voter knows them; 0: it is no voter, or recovering.
    std::uint64_t voterSet = 0; ///< Fingerprint of them: only equal ones count together.
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(voter, round, required, voters, voterSet);
    }
};

class RevisionPoll
{
public:
    /// Starts a round; what comes for an earlier one is dropped.
    auto begin() -> RevisionQuery;
    /// @return the query of the round under way, for voters that were not reached before
    auto query() const -> RevisionQuery { return { round_ }; }
    auto onReply(const RevisionReply &reply) -> void;
    /// @return a revision that a majority requires at most; nullopt: no majority has answered
    auto required() const -> std::optional<Revision>;
    /// @return true when every voter of a set has answered
    auto isComplete() const -> bool;

private:
    struct Answers
    {
        std::uint32_t voters = 0;
        std::map<NodeId, Revision> required; ///< By voter.
    };
    std::uint64_t round_ = 0;
    std::map<std::uint64_t, Answers> sets_; ///< By fingerprint.
};

} // namespace figrack::coord

#endif // FIGRACK_COORD_REVISIONPOLL_H
