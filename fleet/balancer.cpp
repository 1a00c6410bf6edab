#include "fleet/balancer.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace figrack::fleet {
namespace {

constexpr auto expireEvery = std::chrono::seconds { 1 };
/// Costs that differ by less are equal: half a round trip between failure domains.
constexpr auto sameCost = 1.0;

auto millis(Duration duration) -> double
{
    return std::chrono::duration<double, std::milli> { duration }.count();
}

auto fromMillis(double value) -> Duration
{
    return std::chrono::duration_cast<Duration>(
            std::chrono::duration<double, std::milli> { value });
}

} // namespace

Balancer::Balancer(BalancerOptions options, const Clock &clock, Random &random)
    : options_(options)
    , clock_(clock)
    , random_(random)
{ }

auto Balancer::pick(const NodeId &gateway, const proto::PickRequest &request) -> proto::PickReply
{
    expire();
    const EndpointId *best = nullptr;
    auto bestCost = std::numeric_limits<double>::infinity();
    auto equals = std::uint64_t { 0 };
    for (const auto &id : request.candidates) {
        const auto cost = costAt(endpoints_[id], request);
        if (best != nullptr && std::abs(cost - bestCost) < sameCost) {
            // Each of the equals is drawn with the same chance.
            if (random_.below(++equals) == 0)
                best = &id;
        } else if (cost < bestCost) {
            best = &id;
            bestCost = cost;
            equals = 1;
        }
    }
    if (best == nullptr)
        return {};
    const auto &endpoint = endpoints_[*best];
    const auto startMs = static_cast<std::uint32_t>(startAt(endpoint, request));
    auto reply = proto::PickReply { *best, startMs, endpoint.running };
    book(gateway, request, *best);
    return reply;
}

auto Balancer::startAt(const Endpoint &endpoint, const proto::PickRequest &request) const -> double
{
    const auto wait = std::max(0.0, millis(endpoint.readUntil - clock_.now()));
    return wait + static_cast<double>(unreadTokens(endpoint, request)) / options_.tokensPerMs;
}

auto Balancer::costAt(const Endpoint &endpoint, const proto::PickRequest &request) const -> double
{
    const auto start = startAt(endpoint, request);
    const auto running = static_cast<double>(endpoint.running);
    const auto paused = std::max(0.0, start - millis(options_.bearable));
    const auto generating
            = std::min(static_cast<double>(request.outputTokens) * options_.msPerToken,
                       millis(options_.foreseen));
    return start + running * options_.msPerRunning + running * options_.pauseWeight * paused
            + generating * options_.exposureWeight * readShare(endpoint);
}

auto Balancer::unreadTokens(const Endpoint &endpoint, const proto::PickRequest &request) const
        -> std::uint64_t
{
    auto unread = request.ownTokens;
    auto isKept = true;
    for (const auto &span : request.shared) {
        // A part is of use only after all parts before it.
        isKept = isKept
                && std::any_of(endpoint.kept.begin(), endpoint.kept.end(),
                               [&](const auto &kept) { return kept.key == span.key; });
        unread += isKept ? 0 : span.tokens;
    }
    return unread;
}

auto Balancer::readShare(const Endpoint &endpoint) const -> double
{
    const auto age = millis(clock_.now() - endpoint.averagedAt);
    const auto window = millis(options_.readWindow);
    return endpoint.reading * std::exp(-age / window) / window;
}

auto Balancer::book(const NodeId &gateway, const proto::PickRequest &request, const EndpointId &id)
        -> void
{
    auto &endpoint = endpoints_[id];
    const auto now = clock_.now();
    const auto read = static_cast<double>(unreadTokens(endpoint, request)) / options_.tokensPerMs;
    endpoint.reading = readShare(endpoint) * millis(options_.readWindow) + read;
    endpoint.averagedAt = now;
    endpoint.readUntil = std::max(endpoint.readUntil, now) + fromMillis(read);
    keep(endpoint, request.shared);
    auto &booking = bookings_[{ gateway, request.ticket }];
    if (!booking.endpoint.empty())
        release(booking.endpoint);
    booking = { id, now + std::chrono::milliseconds { request.limitMs } };
    ++endpoint.running;
}

auto Balancer::keep(Endpoint &endpoint, const std::vector<proto::PromptSpan> &spans) const -> void
{
    for (const auto &span : spans) {
        const auto found = std::find_if(endpoint.kept.begin(), endpoint.kept.end(),
                                        [&](const auto &kept) { return kept.key == span.key; });
        if (found != endpoint.kept.end())
            endpoint.kept.erase(found);
        else
            endpoint.keptTokens += span.tokens;
        endpoint.kept.push_back(span);
    }
    while (endpoint.keptTokens > options_.keptTokens && !endpoint.kept.empty()) {
        endpoint.keptTokens -= endpoint.kept.front().tokens;
        endpoint.kept.pop_front();
    }
}

auto Balancer::onEnd(const NodeId &gateway, const proto::PickEnd &end) -> void
{
    const auto found = bookings_.find({ gateway, end.ticket });
    if (found == bookings_.end())
        return;
    release(found->second.endpoint);
    bookings_.erase(found);
}

auto Balancer::onGatewayLost(const NodeId &gateway) -> void
{
    auto item = bookings_.lower_bound({ gateway, 0 });
    while (item != bookings_.end() && item->first.first == gateway) {
        release(item->second.endpoint);
        item = bookings_.erase(item);
    }
}

auto Balancer::release(const EndpointId &id) -> void
{
    const auto found = endpoints_.find(id);
    if (found != endpoints_.end() && found->second.running > 0)
        --found->second.running;
}

auto Balancer::expire() -> void
{
    const auto now = clock_.now();
    if (now < nextExpiry_)
        return;
    nextExpiry_ = now + expireEvery;
    for (auto item = bookings_.begin(); item != bookings_.end();) {
        if (item->second.expiresAt > now) {
            ++item;
            continue;
        }
        release(item->second.endpoint);
        item = bookings_.erase(item);
    }
    std::erase_if(endpoints_, [&](const auto &item) {
        const auto &endpoint = item.second;
        return endpoint.running == 0 && now - endpoint.averagedAt > options_.forgetAfter;
    });
}

} // namespace figrack::fleet
