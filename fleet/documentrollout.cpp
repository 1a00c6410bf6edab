#include "fleet/documentrollout.h"

#include <algorithm>
#include <utility>

#include "core/log.h"

namespace figrack::fleet {
namespace {

/// Reports may arrive late, and a part may be absent from one, so the newest of each part counts.
auto merge(proto::InForce &known, const proto::InForce &reported) -> void
{
    known.document = std::max(known.document, reported.document);
    known.evacuations = std::max(known.evacuations, reported.evacuations);
}

} // namespace

DocumentRollout::DocumentRollout(const Clock &clock, Metrics &metrics)
    : clock_(clock)
    , metrics_(metrics)
{ }

auto DocumentRollout::onSubscribed(const proto::PeerPointer &peer, bool ready,
                                   const proto::InForce &inForce) -> void
{
    auto &gateway = gateways_[peer.get()];
    gateway.name = peer->peer();
    gateway.ready = ready;
    merge(gateway.inForce, inForce);
    settle();
}

auto DocumentRollout::onInForce(const proto::PeerPointer &peer, const proto::InForce &inForce)
        -> void
{
    const auto found = gateways_.find(peer.get());
    if (found == gateways_.end())
        return; // The gateway reports what it has in force when it subscribes.
    merge(found->second.inForce, inForce);
    settle();
}

auto DocumentRollout::onLost(const proto::PeerPointer &peer) -> void
{
    if (gateways_.erase(peer.get()) > 0)
        settle();
}

auto DocumentRollout::await(const proto::InForce &target, Instant deadline, Done done) -> void
{
    waiting_.push_back({ target, clock_.now(), deadline, std::move(done) });
    settle();
}

auto DocumentRollout::settle() -> void
{
    const auto now = clock_.now();
    auto ended = std::vector<std::pair<Waiting, std::vector<NodeId>>> {};
    for (auto item = waiting_.begin(); item != waiting_.end();) {
        if (now < item->deadline && hasGatewayBehind(item->target)) {
            ++item;
            continue;
        }
        auto without = gatewaysBehind(item->target);
        ended.emplace_back(std::move(*item), std::move(without));
        item = waiting_.erase(item);
    }
    for (const auto &[waiting, without] : ended)
        end(waiting, without);
}

/// Stops at the first gateway that is behind, since this is called for each report of a gateway.
auto DocumentRollout::hasGatewayBehind(const proto::InForce &target) const -> bool
{
    return std::any_of(gateways_.begin(), gateways_.end(),
                       [&](const auto &item) { return item.second.isBehind(target); });
}

auto DocumentRollout::gatewaysBehind(const proto::InForce &target) const -> std::vector<NodeId>
{
    auto result = std::vector<NodeId> {};
    for (const auto &[peer, gateway] : gateways_) {
        if (gateway.isBehind(target))
            result.push_back(gateway.name);
    }
    return result;
}

auto DocumentRollout::end(const Waiting &waiting, const std::vector<NodeId> &gatewaysBehind) const
        -> void
{
    const auto took = clock_.now() - waiting.since;
    auto line = LogEvent { gatewaysBehind.empty() ? LogLevel::Info : LogLevel::Warning,
                           "document_spread" };
    line.with("version", waiting.target.document)
            .with("evacuations", waiting.target.evacuations)
            .with("gateways", static_cast<std::uint64_t>(gateways_.size()))
            .with("lacking", static_cast<std::uint64_t>(gatewaysBehind.size()))
            .with("waited_ms", std::chrono::duration_cast<std::chrono::milliseconds>(took).count());
    if (!gatewaysBehind.empty())
        line.with("first_lacking", gatewaysBehind.front());
    metrics_.onAcknowledged(took, gatewaysBehind.size());
    waiting.done();
}

} // namespace figrack::fleet
