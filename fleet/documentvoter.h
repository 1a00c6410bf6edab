// Answers, as a voter of the replicated log, which document version gateways must apply.
//
//   auto voter = DocumentVoter { self };
//   replica.setStoredHook([&](const auto &entry, bool stored) { voter.onStored(entry, stored); });
//   voter.onApplied(index, log.document().version);      // and after a restore
//   if (replica.start().ok()) voter.onRecovered();
//   auto reply = voter.answer(query, replica.status().membership);
//
// Create a new voter each time the replica is started. It requires what the disk
// holds, and answers only when all of that has been passed in. Not thread-safe.

#ifndef FIGRACK_FLEET_DOCUMENTVOTER_H
#define FIGRACK_FLEET_DOCUMENTVOTER_H

#include "coord/messages.h"
#include "coord/revisionpoll.h"
#include "coord/viewlease.h"

namespace figrack::fleet {

class DocumentVoter
{
public:
    explicit DocumentVoter(NodeId self);
    auto onStored(const coord::Entry &entry, bool stored) -> void;
    /// @param version version of the document after the entry was applied
    auto onApplied(LogIndex index, Revision version) -> void;
    auto onRecovered() -> void;
    /// @param membership the latest in the log, whether committed or not
    auto answer(const coord::RevisionQuery &query, const coord::Membership &membership) const
            -> coord::RevisionReply;

private:
    NodeId self_;
    coord::ViewGrantor grantor_;
};

} // namespace figrack::fleet

#endif // FIGRACK_FLEET_DOCUMENTVOTER_H
