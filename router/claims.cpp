// A key in doubt stays blocked at this router for the following reason. An
// EndClaim identifies its claim by key, router and incarnation. If this router
// acquired the key again while an old EndClaim(NotRun) was still in transit, that
// message would free the new claim while its work runs. Other routers are not
// affected, because their names differ, and a restarted process is not affected,
// because its incarnation differs.

#include "router/claims.h"

#include <utility>

#include <boost/asio/associated_executor.hpp>
#include <boost/asio/async_result.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "core/error.h"
#include "core/log.h"

namespace figrack::router {
namespace {

namespace asio = boost::asio;
using Reply = absl::StatusOr<proto::Payload>;

auto refusal(ErrorKind kind, std::string_view argument, bool mayHaveRun) -> ClaimResult
{
    return ClaimRefused { makeError(kind, argument), mayHaveRun };
}

/// @return true if the message certainly had no effect and will have none
auto hadNoEffect(const absl::Status &status) -> bool
{
    switch (errorKind(status)) {
    case ErrorKind::NotLeader:
    case ErrorKind::Overloaded:
    case ErrorKind::UnknownNode:
    case ErrorKind::BadRequest:
    case ErrorKind::Conflict:
        return true;
    default:
        return false;
    }
}

} // namespace

Claims::Claims(ClaimOptions options, const Clock &clock, CallLeader callLeader)
    : options_(std::move(options))
    , clock_(clock)
    , callLeader_(std::move(callLeader))
{ }

auto Claims::reserveKey(const IdempotencyKey &key) -> absl::Status
{
    const auto lock = std::scoped_lock { mutex_ };
    if (keys_.count(key) > 0)
        return makeError(ErrorKind::InProgress, "the key is at work at this router");
    if (keys_.size() >= options_.maxKeys)
        return makeError(ErrorKind::Overloaded, "keys at work at this router");
    keys_.emplace(key, HeldKey {});
    return absl::OkStatus();
}

auto Claims::releaseKey(const IdempotencyKey &key, bool inDoubt) -> void
{
    const auto lock = std::scoped_lock { mutex_ };
    if (!inDoubt) {
        keys_.erase(key);
        return;
    }
    keys_[key] = HeldKey { true, clock_.now() + options_.inDoubtPeriod };
}

auto Claims::tick() -> void
{
    const auto lock = std::scoped_lock { mutex_ };
    const auto now = clock_.now();
    std::erase_if(keys_, [now](const auto &entry) {
        return entry.second.inDoubt && entry.second.heldUntil <= now;
    });
}

auto Claims::heldKeys() const -> std::size_t
{
    const auto lock = std::scoped_lock { mutex_ };
    return keys_.size();
}

auto Claims::acquire(IdempotencyKey key, std::uint64_t bodyHash, Duration maxRunTime)
        -> asio::awaitable<ClaimResult>
{
    if (auto status = reserveKey(key); !status.ok()) {
        const auto busy = errorKind(status) == ErrorKind::InProgress;
        co_return ClaimRefused { std::move(status), busy };
    }
    // The window starts before the claim is requested, so that any delay of the reply counts
    // against it.
    const auto asked = clock_.now();
    auto request = proto::ClaimRequest {};
    request.claim.key = key;
    request.claim.bodyHash = bodyHash;
    request.claim.router = options_.self;
    request.claim.incarnation = options_.incarnation;
    // Longer than this router's own window, after which it does not dispatch. Until this time has
    // passed, a resend is told that the claim is in progress; after it, that the outcome is
    // unknown.
    const auto wait = options_.window + maxRunTime;
    request.waitMs = std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
    auto payload = proto::Payload { std::move(request) };
    auto initiate = [this, &payload](auto handler) {
        const auto executor = asio::get_associated_executor(handler);
        auto shared = std::make_shared<decltype(handler)>(std::move(handler));
        callLeader_(std::move(payload), options_.timeout, [shared, executor](Reply reply) {
            asio::post(executor, [shared, reply = std::move(reply)]() mutable {
                (*shared)(std::move(reply));
            });
        });
    };
    const auto reply = co_await asio::async_initiate<const asio::use_awaitable_t<>, void(Reply)>(
            initiate, asio::use_awaitable);
    co_return onVerdict(key, asked, reply);
}

auto Claims::onVerdict(const IdempotencyKey &key, Instant asked, const Reply &reply) -> ClaimResult
{
    if (!reply.ok()) {
        // Nothing was dispatched, but the claim may stand. Free it, so that a resend can run.
        if (hadNoEffect(reply.status())) {
            releaseKey(key, false);
        } else {
            auto end = state::EndClaim {};
            end.key = key;
            end.state = state::ClaimState::NotRun;
            startEnd(std::move(end), true);
        }
        return ClaimRefused { reply.status(), false };
    }
    const auto *verdict = std::get_if<proto::ClaimReply>(&*reply);
    if (verdict == nullptr) {
        releaseKey(key, true);
        return refusal(ErrorKind::Internal, "unexpected reply to a claim", false);
    }
    if (verdict->verdict == proto::ClaimVerdict::Granted) {
        const auto dispatchBy = asked + options_.window;
        if (clock_.now() < dispatchBy)
            return ClaimGranted { dispatchBy };
        end(key, state::ClaimState::NotRun, 0, {}, {});
        return refusal(ErrorKind::DeadlineExceeded, "the claim's window passed", false);
    }
    releaseKey(key, false);
    switch (verdict->verdict) {
    case proto::ClaimVerdict::Stored:
        if (verdict->contentType == notStoredType)
            return refusal(ErrorKind::OutcomeUnknown, "it ran; its answer was too long to keep",
                           true);
        return ClaimStored { verdict->status, verdict->contentType, verdict->answer };
    case proto::ClaimVerdict::InProgress:
        return refusal(ErrorKind::InProgress, "key", true);
    case proto::ClaimVerdict::KeyReused:
        return refusal(ErrorKind::KeyReused, "key", false);
    case proto::ClaimVerdict::Granted:
    case proto::ClaimVerdict::Unknown:
        break;
    }
    return refusal(ErrorKind::OutcomeUnknown, "an earlier request with this key", true);
}

auto Claims::end(const IdempotencyKey &key, state::ClaimState state, std::uint32_t status,
                 std::string contentType, std::string answer) -> void
{
    auto end = state::EndClaim {};
    end.key = key;
    end.state = state;
    end.status = status;
    end.contentType = std::move(contentType);
    end.answer = std::move(answer);
    startEnd(std::move(end), false);
}

auto Claims::startEnd(state::EndClaim end, bool inDoubt) -> void
{
    ++pendingEnds_;
    sendEnd(std::move(end), 1, inDoubt);
}

auto Claims::sendEnd(state::EndClaim end, std::uint32_t attempt, bool inDoubt) -> void
{
    end.router = options_.self;
    end.incarnation = options_.incarnation;
    auto message = proto::Payload { proto::ClaimEnd { end } };
    auto onReply = [self = shared_from_this(), end = std::move(end), attempt,
                    inDoubt](const Reply &reply) {
        if (reply.ok()) {
            self->releaseKey(end.key, inDoubt);
            --self->pendingEnds_;
            return;
        }
        const auto doubt = inDoubt || !hadNoEffect(reply.status());
        // Conflict means that this router holds no claim on the key; a retry cannot succeed.
        const auto isFinal = errorKind(reply.status()) == ErrorKind::Conflict;
        if (attempt < self->options_.endAttempts && !isFinal) {
            self->sendEnd(end, attempt + 1, doubt);
            return;
        }
        // The claim remains in place. After its deadline its outcome is reported as unknown, and
        // the request is never run again.
        LogEvent(LogLevel::Warning, "claim_end_lost")
                .with("state", static_cast<int>(end.state))
                .with(reply.status());
        self->releaseKey(end.key, doubt);
        --self->pendingEnds_;
    };
    callLeader_(std::move(message), options_.timeout, std::move(onReply));
}

} // namespace figrack::router
