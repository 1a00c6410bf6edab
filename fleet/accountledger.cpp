#include "fleet/accountledger.h"

#include <algorithm>

#include "core/log.h"

namespace figrack::fleet {
namespace {

constexpr auto expireEvery = std::chrono::seconds { 1 };

auto replyWith(proto::PickRefusal refusal, policy::Millis comeBack) -> proto::PickReply
{
    auto reply = proto::PickReply {};
    reply.refusal = refusal;
    reply.comeBackMs = static_cast<std::uint32_t>(std::max<policy::Millis>(comeBack, 1));
    return reply;
}

} // namespace

AccountLedger::AccountLedger(AccountLedgerOptions options, Registry &registry, const Clock &clock,
                             Incarnation incarnation)
    : options_(options)
    , registry_(registry)
    , clock_(clock)
    , incarnation_(incarnation)
    , limits_(options.limits, policy::millisOf(clock.now()))
    , heardAt_(clock.now())
{ }

auto AccountLedger::isIsolated() const -> bool
{
    return clock_.now() - heardAt_ >= options_.isolatedAfter;
}

auto AccountLedger::refuse(const NodeId &gateway, const proto::PickRequest &request)
        -> std::optional<proto::PickReply>
{
    if (!request.charge || !request.charge->limit.isSet())
        return std::nullopt;
    if (isIsolated())
        return replyWith(proto::PickRefusal::CannotCount, 1);
    expire();
    const auto &charge = *request.charge;
    const auto isQuestion = request.candidates.empty();
    const auto work = request.works.ofCaller.low;
    const auto roomIn
            = isQuestion ? limits_.roomIn(charge, work, now()) : limits_.admit(charge, work, now());
    if (roomIn) {
        LogEvent(LogLevel::Info, "account_over_limit")
                .with("account", charge.account)
                .with("gateway", gateway)
                .with("cost", charge.cost)
                .with("limit_per_s", static_cast<std::int64_t>(charge.limit.perSecond))
                .with("config", charge.version)
                .with("room_in_ms", *roomIn);
        return replyWith(proto::PickRefusal::OverLimit, *roomIn);
    }
    if (!isQuestion) {
        const auto limit = std::chrono::milliseconds { request.limitMs };
        counted_[{ gateway, request.ticket }]
                = { charge.account, charge.cost, clock_.now() + limit };
    }
    return std::nullopt;
}

auto AccountLedger::isNearLimit(const proto::PickRequest &request) const -> bool
{
    return request.charge && limits_.isNearLimit(request.charge->account);
}

auto AccountLedger::onReply(const NodeId &gateway, std::uint64_t ticket,
                            const proto::PickReply &reply) -> void
{
    if (reply.endpoint.empty() && !reply.isQueued)
        onEnd(gateway, { ticket });
}

auto AccountLedger::onEnd(const NodeId &gateway, const proto::PickEnd &end) -> void
{
    const auto found = counted_.find({ gateway, end.ticket });
    if (found == counted_.end())
        return;
    if (!end.mayHaveRun)
        limits_.giveBack(found->second.account, found->second.cost, now());
    counted_.erase(found);
}

auto AccountLedger::onGatewayLost(const NodeId &gateway) -> void
{
    const auto first = counted_.lower_bound({ gateway, 0 });
    auto end = first;
    while (end != counted_.end() && end->first.first == gateway)
        ++end;
    counted_.erase(first, end);
    limits_.onGatewayLost(registry_.gatewayCount() + 1, now());
}

auto AccountLedger::onNews(const NodeId &control, const proto::AccountNews &news) -> void
{
    limits_.onNews(control, news.life, news.rows, now());
}

auto AccountLedger::tick(bool hearsGroup) -> void
{
    const auto at = clock_.now();
    if (hearsGroup)
        heardAt_ = at;
    const auto isolated = isIsolated();
    if (std::exchange(wasIsolated_, isolated) != isolated) {
        LogEvent(LogLevel::Warning, isolated ? "accounts_not_counted" : "accounts_counted_anew")
                .with("accounts", static_cast<std::uint64_t>(limits_.size()));
        limits_.resetBuckets(now());
    }
    if (at < nextReport_)
        return;
    nextReport_ = at + options_.reportInterval;
    if (auto rows = limits_.takeNews(now()); !rows.empty())
        registry_.push(proto::SubscriberKind::Control,
                       proto::AccountNews { incarnation_, std::move(rows) });
}

/// A request whose gateway did not report its end in time may have run, so it is not refunded.
auto AccountLedger::expire() -> void
{
    const auto at = clock_.now();
    if (at < nextExpiry_)
        return;
    nextExpiry_ = at + expireEvery;
    std::erase_if(counted_, [at](const auto &item) { return item.second.expiresAt <= at; });
}

} // namespace figrack::fleet
