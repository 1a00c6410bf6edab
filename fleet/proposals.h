// Pending log commands and the callbacks that wait for them.
//
//   proposals.add(index, term, deadline, done);
//   proposals.onApplied(index, term);       // from the state machine
//   proposals.settle(status, now);          // after each call into the replica
//
// Guarantee: each done is called exactly once, from settle() and never from
// within the replica. It gets OK when this very command was applied, and
// OutcomeUnknown when the leadership or the time ran out first. Not thread-safe.

#ifndef FIGRACK_FLEET_PROPOSALS_H
#define FIGRACK_FLEET_PROPOSALS_H

#include <functional>
#include <map>
#include <utility>
#include <vector>

#include <absl/status/status.h>

#include "coord/replica.h"
#include "core/clock.h"
#include "core/ids.h"

namespace figrack::fleet {

class Proposals
{
public:
    using Done = std::function<void(absl::Status)>;
    auto add(LogIndex index, Term term, Instant deadline, Done done) -> void;
    auto onApplied(LogIndex index, Term term) -> void;
    auto settle(const coord::ReplicaStatus &status, Instant now) -> void;
    auto size() const -> std::size_t { return waiting_.size(); }

private:
    struct Waiting
    {
        Term term;
        Instant deadline;
        Done done;
    };
    std::map<LogIndex, Waiting> waiting_;
    std::vector<std::pair<LogIndex, Term>> applied_; ///< Applied since the last settle().
};

} // namespace figrack::fleet

#endif // FIGRACK_FLEET_PROPOSALS_H
