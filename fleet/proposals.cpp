#include "fleet/proposals.h"

#include "core/error.h"

namespace figrack::fleet {

auto Proposals::add(LogIndex index, Term term, Instant deadline, Done done) -> void
{
    waiting_[index] = Waiting { term, deadline, std::move(done) };
}

auto Proposals::onApplied(LogIndex index, Term term) -> void
{
    if (waiting_.contains(index))
        applied_.emplace_back(index, term);
}

auto Proposals::settle(const coord::ReplicaStatus &status, Instant now) -> void
{
    auto ended = std::vector<std::pair<Done, absl::Status>> {};
    for (const auto &[index, term] : std::exchange(applied_, {})) {
        auto node = waiting_.extract(index);
        if (node.empty())
            continue;
        auto &item = node.mapped();
        auto outcome = item.term == term
                ? absl::OkStatus()
                : makeError(ErrorKind::NotLeader, "another leader's entry took the place");
        ended.emplace_back(std::move(item.done), std::move(outcome));
    }
    for (auto item = waiting_.begin(); item != waiting_.end();) {
        const auto leads = status.role == coord::Role::Leader && status.term == item->second.term;
        if (leads && now < item->second.deadline) {
            ++item;
            continue;
        }
        const auto *reason = leads ? "no majority in time" : "leadership was lost";
        ended.emplace_back(std::move(item->second.done),
                           makeError(ErrorKind::OutcomeUnknown, reason));
        item = waiting_.erase(item);
    }
    for (auto &[done, outcome] : ended)
        done(outcome);
}

} // namespace figrack::fleet
