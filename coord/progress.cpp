// A quorum's value is the one at place quorum-1 of the voters' values in
// falling order: that many voters have it or more.

#include "coord/progress.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace figrack::coord {

namespace {

template<typename Value>
auto quorumValue(std::vector<Value> values, std::size_t quorum) -> Value
{
    if (values.size() < quorum || quorum == 0)
        return Value {};
    std::sort(values.begin(), values.end(), std::greater<> {});
    return values[quorum - 1];
}

} // namespace

auto PeerTable::follow(const Membership &membership, const NodeId &self, LogIndex lastIndex) -> void
{
    std::erase_if(peers_, [&](const auto &item) {
        const auto *member = membership.find(item.first);
        return member == nullptr || member->incarnation != item.second.incarnation;
    });
    for (const auto &member : membership.members) {
        if (member.node == self || peers_.contains(member.node))
            continue;
        auto progress = PeerProgress {};
        progress.incarnation = member.incarnation;
        progress.next = lastIndex.next();
        peers_.emplace(member.node, std::move(progress));
    }
}

auto PeerTable::find(const NodeId &node, Incarnation incarnation) -> PeerProgress *
{
    auto found = peers_.find(node);
    if (found == peers_.end() || found->second.incarnation != incarnation)
        return nullptr;
    return &found->second;
}

auto PeerTable::find(const NodeId &node) const -> const PeerProgress *
{
    auto found = peers_.find(node);
    return found == peers_.end() ? nullptr : &found->second;
}

auto PeerTable::quorumIndex(const Membership &membership, bool selfVoter, LogIndex selfIndex) const
        -> LogIndex
{
    auto values = std::vector<LogIndex> {};
    if (selfVoter)
        values.push_back(selfIndex);
    for (const auto &[node, peer] : peers_)
        if (membership.find(node)->kind == MemberKind::Voter)
            values.push_back(peer.match);
    return quorumValue(std::move(values), membership.quorum());
}

auto PeerTable::quorumRound(const Membership &membership, bool selfVoter,
                            std::uint64_t selfRound) const -> std::uint64_t
{
    auto values = std::vector<std::uint64_t> {};
    if (selfVoter)
        values.push_back(selfRound);
    for (const auto &[node, peer] : peers_)
        if (membership.find(node)->kind == MemberKind::Voter)
            values.push_back(peer.ackRound);
    return quorumValue(std::move(values), membership.quorum());
}

auto PeerTable::mostCaughtUp(const Membership &membership, Instant heardSince) const
        -> const Member *
{
    const auto *best = static_cast<const Member *>(nullptr);
    auto bestMatch = LogIndex {};
    for (const auto &[node, peer] : peers_) {
        const auto *member = membership.find(node);
        if (member->kind != MemberKind::Voter || peer.heardAt < heardSince)
            continue;
        if (best != nullptr && peer.match <= bestMatch)
            continue;
        best = member;
        bestMatch = peer.match;
    }
    return best;
}

} // namespace figrack::coord
