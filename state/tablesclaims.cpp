// Claims: who may run a request that must not run twice, and what came of it.
//
// A claim is Taken by one life of a router until its deadline. When that life ends or
// the deadline passes without an outcome it is Unknown: the work may have run, so the
// key is not given out again before the claim expires. Its holder may still report
// Done, since that only tells callers more. NotRun gives the key back, for the same
// body. Two sets ordered by time make expiry follow what expires.

#include "state/tables.h"

#include <algorithm>

#include <fmt/format.h>

#include "core/check.h"

namespace figrack::state {
namespace {

auto withClaim(ErrorKind kind, const ClaimRow &row) -> Applied
{
    return Applied { makeError(kind, "key is claimed by router=" + row.taken.router.value()),
                     std::nullopt, row, std::nullopt };
}

auto isHolder(const ClaimRow &row, const EndClaim &command) -> bool
{
    return row.taken.router == command.router && row.taken.incarnation == command.incarnation;
}

} // namespace

auto Tables::applyCommand(const TakeClaim &command, LogIndex /*index*/) -> Applied
{
    const auto router = routers_.find(command.router);
    if (router == routers_.end() || router->second.registered.incarnation != command.incarnation) {
        return Applied { makeError(ErrorKind::UnknownNode, "router=" + command.router.value()),
                         std::nullopt, std::nullopt, std::nullopt };
    }
    const auto found = claims_.find(command.key);
    if (found == claims_.end())
        return takeAnew(command);
    auto &row = found->second;
    if (row.taken.bodyHash != command.bodyHash)
        return withClaim(ErrorKind::KeyReused, row);
    if (row.state == ClaimState::Taken && row.taken.deadline < command.at)
        endClaim(row, ClaimState::Unknown, row.taken.deadline);
    switch (row.state) {
    case ClaimState::Taken:
        return withClaim(ErrorKind::InProgress, row);
    case ClaimState::Unknown:
        return withClaim(ErrorKind::OutcomeUnknown, row);
    case ClaimState::Done:
        return Applied { absl::OkStatus(), std::nullopt, row, std::nullopt };
    case ClaimState::NotRun:
        eraseClaim(command.key);
        return takeAnew(command);
    }
    return {};
}

auto Tables::takeAnew(const TakeClaim &command) -> Applied
{
    if (claims_.size() >= maxClaims) {
        return Applied { makeError(ErrorKind::Overloaded, fmt::format("claims={}", maxClaims)),
                         std::nullopt, std::nullopt, std::nullopt };
    }
    auto row = ClaimRow {};
    row.taken = command;
    takenByDeadline_.emplace(command.deadline, command.key);
    claims_.emplace(command.key, row);
    return Applied { absl::OkStatus(), std::nullopt, std::move(row), std::nullopt };
}

auto Tables::applyCommand(const EndClaim &command, LogIndex /*index*/) -> Applied
{
    const auto found = claims_.find(command.key);
    if (found == claims_.end() || !isHolder(found->second, command)) {
        return Applied { makeError(ErrorKind::Conflict, "the claim is not this router's"),
                         std::nullopt, std::nullopt, std::nullopt };
    }
    auto &row = found->second;
    const auto before = row.state;
    if (before == command.state)
        return Applied { absl::OkStatus(), std::nullopt, row, std::nullopt };
    const auto allowed = before == ClaimState::Taken
            || (before == ClaimState::Unknown && command.state == ClaimState::Done);
    if (!allowed || command.state == ClaimState::Taken)
        return withClaim(ErrorKind::Conflict, row);
    endClaim(row, command.state, command.at);
    storeAnswer(row, command);
    FIGRACK_CHECK(before != ClaimState::Done && before != ClaimState::NotRun,
                  "a claim that has ended stays as it ended");
    return Applied { absl::OkStatus(), std::nullopt, row, std::nullopt };
}

auto Tables::storeAnswer(ClaimRow &row, const EndClaim &command) -> void
{
    const auto at = row.ended.at;
    const auto size = command.answer.size();
    row.ended = command;
    row.ended.at = at;
    row.answerStored = command.state == ClaimState::Done && size <= maxStoredAnswerBytes
            && answerBytes_ + size <= maxClaimAnswerBytes;
    if (!row.answerStored)
        row.ended.answer.clear();
    answerBytes_ += row.ended.answer.size();
}

auto Tables::endClaim(ClaimRow &row, ClaimState state, Millis at) -> void
{
    const auto &key = row.taken.key;
    takenByDeadline_.erase({ row.taken.deadline, key });
    endedByTime_.erase({ row.ended.at, key });
    row.state = state;
    row.ended.key = key;
    row.ended.state = state;
    row.ended.at = at;
    endedByTime_.emplace(at, key);
}

auto Tables::eraseClaim(const IdempotencyKey &key) -> void
{
    const auto found = claims_.find(key);
    const auto &row = found->second;
    takenByDeadline_.erase({ row.taken.deadline, key });
    endedByTime_.erase({ row.ended.at, key });
    answerBytes_ -= row.ended.answer.size();
    claims_.erase(found);
}

auto Tables::loseClaims(const NodeId &router, Millis at) -> void
{
    for (auto &[key, row] : claims_) {
        if (row.state == ClaimState::Taken && row.taken.router == router)
            endClaim(row, ClaimState::Unknown, std::max(at, row.taken.deadline));
    }
}

auto Tables::applyCommand(const ExpireClaims &command, LogIndex /*index*/) -> Applied
{
    while (!takenByDeadline_.empty() && takenByDeadline_.begin()->first < command.at) {
        auto &row = claims_.at(takenByDeadline_.begin()->second);
        endClaim(row, ClaimState::Unknown, row.taken.deadline);
    }
    while (!endedByTime_.empty() && endedByTime_.begin()->first < command.before) {
        const auto key = endedByTime_.begin()->second;
        eraseClaim(key);
    }
    return {};
}

} // namespace figrack::state
