// The deadline in the log is in the leader's wall time. Its only effect is that an abandoned claim
// can be read as unknown once the deadline has passed. A paused router is kept from dispatching
// late by its own clock.

#include "control/claims.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace figrack::control {
namespace {

auto millis(Duration duration) -> state::Millis
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

auto storedReply(const state::ClaimRow &row) -> proto::ClaimReply
{
    if (!row.answerStored)
        return { proto::ClaimVerdict::Unknown, 0, {}, {} };
    return { proto::ClaimVerdict::Stored, row.ended.status, row.ended.contentType,
             row.ended.answer };
}

auto isGrantTo(const state::ClaimRow &row, const state::TakeClaim &requested) -> bool
{
    return row.state == state::ClaimState::Taken && row.taken.router == requested.router
            && row.taken.incarnation == requested.incarnation
            && row.taken.deadline == requested.deadline && row.taken.at == requested.at;
}

} // namespace

auto claimReply(const absl::Status &status, const state::ClaimRow *row,
                const state::TakeClaim &requested) -> proto::ClaimReply
{
    auto reply = proto::ClaimReply {};
    if (errorKind(status) == ErrorKind::KeyReused)
        reply.verdict = proto::ClaimVerdict::KeyReused;
    else if (errorKind(status) == ErrorKind::InProgress)
        reply.verdict = proto::ClaimVerdict::InProgress;
    else if (status.ok() && row && row->state == state::ClaimState::Done)
        reply = storedReply(*row);
    else if (status.ok() && row && isGrantTo(*row, requested))
        reply.verdict = proto::ClaimVerdict::Granted;
    return reply;
}

Claims::Claims(ClaimsOptions options, const Clock &clock, Node &node)
    : options_(options)
    , clock_(clock)
    , node_(node)
{ }

auto Claims::onRequest(const Caller &caller, const proto::ClaimRequest &request) -> void
{
    if (!node_.holdsLease()) {
        caller.failNotLeader(node_);
        return;
    }
    auto claim = request.claim;
    const auto wait = std::clamp<state::Millis>(request.waitMs, 0, millis(options_.maxWait));
    claim.at = clock_.wallNow().time_since_epoch().count();
    claim.deadline = claim.at + wait;
    const auto &claims = node_.tables().claims();
    const auto found = claims.find(claim.key);
    if (found != claims.end() && found->second.state == state::ClaimState::Done) {
        const auto same = found->second.taken.bodyHash == claim.bodyHash;
        const auto status = same ? absl::OkStatus() : makeError(ErrorKind::KeyReused, "key");
        caller.reply(claimReply(status, &found->second, claim));
        return;
    }
    node_.propose(claim, [this, caller, claim](const absl::StatusOr<AppliedCommand> &result) {
        if (!result.ok()) {
            caller.fail(result.status(), node_.status().leader);
            return;
        }
        const auto &applied = result->applied;
        const auto kind = errorKind(applied.status);
        if (kind == ErrorKind::UnknownNode || kind == ErrorKind::Overloaded)
            caller.fail(applied.status);
        else
            caller.reply(
                    claimReply(applied.status, applied.claim ? &*applied.claim : nullptr, claim));
    });
}

auto Claims::onEnd(const Caller &caller, const proto::ClaimEnd &end) -> void
{
    if (!node_.holdsLease()) {
        caller.failNotLeader(node_);
        return;
    }
    auto command = end.end;
    command.at = clock_.wallNow().time_since_epoch().count();
    if (command.answer.size() > state::maxStoredAnswerBytes)
        command.answer.resize(state::maxStoredAnswerBytes + 1); // Over the limit: not stored.
    node_.propose(command, [this, caller](const absl::StatusOr<AppliedCommand> &result) {
        if (!result.ok())
            caller.fail(result.status(), node_.status().leader);
        else if (!result->applied.status.ok())
            caller.fail(result->applied.status);
        else
            caller.reply(proto::Done { result->index });
    });
}

auto Claims::tick() -> void
{
    const auto now = clock_.now();
    if (now < nextExpiry_ || node_.tables().claims().empty())
        return;
    nextExpiry_ = now + options_.expireEvery;
    const auto at = clock_.wallNow().time_since_epoch().count();
    node_.propose(state::ExpireClaims { at - millis(options_.keepFor), at },
                  [](const absl::StatusOr<AppliedCommand> &) {});
}

} // namespace figrack::control
