#include "fleet/documentrollout.h"

#include <algorithm>
#include <utility>

#include "core/log.h"

namespace figrack::fleet {

DocumentRollout::DocumentRollout(const Clock &clock, Metrics &metrics)
    : clock_(clock)
    , metrics_(metrics)
{ }

auto DocumentRollout::onSubscribed(const proto::PeerPointer &peer, bool ready, Revision version)
        -> void
{
    auto &gateway = gateways_[peer.get()];
    gateway.name = peer->peer();
    gateway.ready = ready;
    gateway.version = std::max(gateway.version, version);
    settle();
}

auto DocumentRollout::onInForce(const proto::PeerPointer &peer, Revision version) -> void
{
    const auto found = gateways_.find(peer.get());
    if (found == gateways_.end())
        return; // The gateway reports its version when it subscribes.
    found->second.version = std::max(found->second.version, version);
    settle();
}

auto DocumentRollout::onLost(const proto::PeerPointer &peer) -> void
{
    if (gateways_.erase(peer.get()) > 0)
        settle();
}

auto DocumentRollout::await(Revision version, Instant deadline, Done done) -> void
{
    waiting_.push_back({ version, clock_.now(), deadline, std::move(done) });
    settle();
}

auto DocumentRollout::settle() -> void
{
    const auto now = clock_.now();
    auto ended = std::vector<std::pair<Waiting, std::vector<NodeId>>> {};
    for (auto item = waiting_.begin(); item != waiting_.end();) {
        if (now < item->deadline && hasGatewayBehind(item->version)) {
            ++item;
            continue;
        }
        auto without = gatewaysBehind(item->version);
        ended.emplace_back(std::move(*item), std::move(without));
        item = waiting_.erase(item);
    }
    for (const auto &[waiting, without] : ended)
        end(waiting, without);
}

/// Stops at the first gateway that is behind, since this is called for each report of a gateway.
auto DocumentRollout::hasGatewayBehind(Revision version) const -> bool
{
    return std::any_of(gateways_.begin(), gateways_.end(), [version](const auto &item) {
        return item.second.ready && item.second.version < version;
    });
}

auto DocumentRollout::gatewaysBehind(Revision version) const -> std::vector<NodeId>
{
    auto result = std::vector<NodeId> {};
    for (const auto &[peer, gateway] : gateways_) {
        if (gateway.ready && gateway.version < version)
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
    line.with("version", waiting.version)
            .with("gateways", static_cast<std::uint64_t>(gateways_.size()))
            .with("lacking", static_cast<std::uint64_t>(gatewaysBehind.size()))
            .with("waited_ms", std::chrono::duration_cast<std::chrono::milliseconds>(took).count());
    if (!gatewaysBehind.empty())
        line.with("first_lacking", gatewaysBehind.front());
    metrics_.onAcknowledged(took, gatewaysBehind.size());
    waiting.done();
}

} // namespace figrack::fleet
