// Peers are in one of three lists by state. The list of those alive is kept in
// the order in which they were last heard: a heartbeat moves its peer to the end
// in constant time, and poll() looks from the front at those alone that are
// silent for longer than the shortest timeout.
//
// A timeout is the mean gap and some mean deviations, as for a retransmission
// timer, times a caution that doubles with each false suspicion. The gap that
// ended a false suspicion is learned too, up to the longest timeout.
//
// A domain's loss is judged on silent peers, late or suspected, whenever that
// number changes; late ones are held back before they are reported, so those of
// a lost domain, whose last heartbeats differ by a gap or so, meet in the hold.

#include "coord/failuredetector.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

#include "core/check.h"
#include "core/error.h"

namespace figrack::coord {

namespace {

constexpr auto meanWeight = 1.0 / 8.0;
constexpr auto deviationWeight = 1.0 / 4.0;
constexpr auto maxCaution = 8.0;
constexpr auto cautionDecay = 0.995; ///< A heartbeat; half is forgotten after about 140.

auto nanosOf(Duration duration) -> double
{
    return static_cast<double>(duration.count());
}

} // namespace

auto FailureDetectorOptions::check() const -> absl::Status
{
    if (expectedGap <= Duration::zero() || minTimeout < expectedGap || maxTimeout < minTimeout)
        return makeError(ErrorKind::BadSettings,
                         "key=detector timeouts must rise: expectedGap, minTimeout, maxTimeout");
    if (!(deviations > 0.0) || hold < Duration::zero() || recoverBeats == 0)
        return makeError(ErrorKind::BadSettings, "key=detector deviations, hold or recoverBeats");
    if (!(domainShare > 0.0 && domainShare <= 1.0) || domainMinimum < 2)
        return makeError(ErrorKind::BadSettings, "key=detector domainShare or domainMinimum");
    if (ownPause <= Duration::zero() || maxPeers == 0)
        return makeError(ErrorKind::BadSettings, "key=detector ownPause or maxPeers");
    return absl::OkStatus();
}

auto peerStateName(PeerState state) -> std::string_view
{
    constexpr auto names = std::array<std::string_view, 3> { "alive", "late", "suspected" };
    return names.at(static_cast<std::size_t>(state));
}

FailureDetector::FailureDetector(FailureDetectorOptions options, const Clock &clock)
    : options_(options)
    , clock_(clock)
    , activeAt_(clock.now())
    , resumedAt_(clock.now())
{ }

auto FailureDetector::add(const PeerId &peer, Incarnation incarnation, const DomainId &domain)
        -> Peer &
{
    const auto added = alive_.insert(alive_.end(), Peer {});
    added->id = peer;
    added->incarnation = incarnation;
    added->domain = domain;
    added->heardAt = clock_.now();
    added->meanGap = nanosOf(options_.expectedGap);
    added->deviation = added->meanGap / 4.0;
    peers_[peer] = added;
    ++domains_[domain].peers;
    changedDomains_.insert(domain);
    return *added;
}

auto FailureDetector::expect(const PeerId &peer, Incarnation incarnation, const DomainId &domain)
        -> void
{
    const auto found = peers_.find(peer);
    if (found == peers_.end()) {
        if (peers_.size() < options_.maxPeers)
            add(peer, incarnation, domain);
        return;
    }
    auto &known = *found->second;
    if (known.incarnation != incarnation && known.formerIncarnation != incarnation)
        restart(known, incarnation, domain);
}

auto FailureDetector::heartbeat(const PeerId &peer, Incarnation incarnation, const DomainId &domain)
        -> Heard
{
    const auto found = peers_.find(peer);
    if (found == peers_.end()) {
        if (peers_.size() >= options_.maxPeers)
            return Heard::Refused;
        add(peer, incarnation, domain).heardOnce = true;
        return Heard::First;
    }
    auto &known = *found->second;
    if (known.incarnation == incarnation) {
        beat(known);
        return Heard::Known;
    }
    if (known.formerIncarnation == incarnation)
        return Heard::Stale;
    restart(known, incarnation, domain);
    peers_.at(peer)->heardOnce = true;
    return Heard::Restarted;
}

auto FailureDetector::restart(Peer &peer, Incarnation incarnation, const DomainId &domain) -> void
{
    const auto id = peer.id;
    const auto former = peer.incarnation;
    const auto wasSuspected = peer.state == PeerState::Suspected;
    remove(id);
    add(id, incarnation, domain).formerIncarnation = former;
    if (wasSuspected)
        pending_.emplace_back(PeerRecovered { id, incarnation });
}

auto FailureDetector::remove(const PeerId &peer) -> void
{
    const auto found = peers_.find(peer);
    if (found == peers_.end())
        return;
    auto &known = *found->second;
    setState(known, PeerState::Alive);
    const auto domain = domains_.find(known.domain);
    changedDomains_.insert(known.domain);
    --domain->second.peers;
    alive_.erase(found->second);
    peers_.erase(found);
}

auto FailureDetector::learnGap(Peer &peer, Duration gap) const -> void
{
    const auto sample = nanosOf(std::min(gap, options_.maxTimeout));
    const auto error = sample - peer.meanGap;
    peer.meanGap += meanWeight * error;
    peer.deviation += deviationWeight * (std::abs(error) - peer.deviation);
}

auto FailureDetector::timeoutOf(const Peer &peer) const -> Duration
{
    const auto nanos = (peer.meanGap + options_.deviations * peer.deviation) * peer.caution;
    const auto atLeast = std::max(nanos, nanosOf(options_.minTimeout) * peer.caution);
    const auto bounded = std::min(atLeast, nanosOf(options_.maxTimeout));
    return Duration { static_cast<Duration::rep>(bounded) };
}

auto FailureDetector::beat(Peer &peer) -> void
{
    noticePause();
    const auto now = clock_.now();
    const auto gap = now - peer.heardAt;
    const auto inRow = gap <= timeoutOf(peer);
    const auto gapIsPeers = peer.heardAt >= resumedAt_;
    if (peer.heardOnce && gapIsPeers)
        learnGap(peer, gap);
    peer.heardOnce = true;
    peer.heardAt = now;
    peer.beatsInRow = inRow ? peer.beatsInRow + 1 : 1;
    peer.caution = std::max(1.0, peer.caution * cautionDecay);
    if (peer.state == PeerState::Late)
        setState(peer, PeerState::Alive);
    if (peer.state == PeerState::Suspected && peer.beatsInRow >= options_.recoverBeats) {
        peer.caution = std::min(maxCaution, peer.caution * 2.0);
        setState(peer, PeerState::Alive);
        pending_.emplace_back(PeerRecovered { peer.id, peer.incarnation });
    }
    if (peer.state == PeerState::Alive)
        moveTo(peer, alive_);
}

auto FailureDetector::listOf(PeerState state) -> PeerList &
{
    switch (state) {
    case PeerState::Alive:
        return alive_;
    case PeerState::Late:
        return late_;
    case PeerState::Suspected:
        break;
    }
    return suspected_;
}

/// Moves a peer to the end of a list; references to it stay good.
auto FailureDetector::moveTo(const Peer &peer, PeerList &to) -> void
{
    to.splice(to.end(), listOf(peer.state), peers_.at(peer.id));
}

auto FailureDetector::setState(Peer &peer, PeerState state) -> void
{
    if (peer.state == state)
        return;
    auto &domain = domains_[peer.domain];
    if (state == PeerState::Alive)
        domain.silent.erase(peer.id);
    else
        domain.silent.insert(peer.id);
    FIGRACK_CHECK(domain.silent.size() <= domain.peers, "no more peers are silent than there are");
    changedDomains_.insert(peer.domain);
    moveTo(peer, listOf(state));
    peer.state = state;
}

auto FailureDetector::poll() -> std::vector<DetectorEvent>
{
    const auto now = clock_.now();
    noticePause();
    findLate(now);
    auto events = std::exchange(pending_, {});
    judgeDomains(now, events);
    reportHeld(now, events);
    return events;
}

/// While this process stood still it heard nobody; that tells nothing about them.
auto FailureDetector::noticePause() -> void
{
    const auto now = clock_.now();
    if (now - activeAt_ > options_.ownPause)
        resumedAt_ = now;
    activeAt_ = now;
}

auto FailureDetector::silentSince(const Peer &peer) const -> Instant
{
    return std::max(peer.heardAt, resumedAt_);
}

auto FailureDetector::findLate(Instant now) -> void
{
    auto next = alive_.begin();
    while (next != alive_.end() && now - silentSince(*next) >= options_.minTimeout) {
        auto &peer = *next++;
        if (now - silentSince(peer) < timeoutOf(peer))
            continue;
        peer.lateAt = now;
        setState(peer, PeerState::Late);
    }
}

auto FailureDetector::judgeDomains(Instant now, std::vector<DetectorEvent> &events) -> void
{
    for (const auto &id : std::exchange(changedDomains_, {})) {
        auto &domain = domains_[id];
        judgeDomain(id, domain, now, events);
        if (domain.peers == 0)
            domains_.erase(id);
    }
}

auto FailureDetector::judgeDomain(const DomainId &id, Domain &domain, Instant now,
                                  std::vector<DetectorEvent> &events) -> void
{
    const auto since = domain.suspected ? domain.since : now - options_.domainWindow;
    const auto together = static_cast<std::size_t>(
            std::count_if(domain.silent.begin(), domain.silent.end(),
                          [&](const auto &peer) { return peers_.at(peer)->lateAt >= since; }));
    const auto peers = domain.peers - (domain.silent.size() - together);
    const auto part = static_cast<double>(together);
    const auto whole = static_cast<double>(peers);
    if (!domain.suspected && together >= options_.domainMinimum
        && part >= whole * options_.domainShare) {
        domain.suspected = true;
        domain.since = since;
        events.emplace_back(DomainSuspected { id, together, peers });
    } else if (domain.suspected && (together == 0 || part < whole * options_.domainShare / 2.0)) {
        endDomainLoss(id, domain, now, events);
    }
}

auto FailureDetector::endDomainLoss(const DomainId &id, Domain &domain, Instant now,
                                    std::vector<DetectorEvent> &events) -> void
{
    domain.suspected = false;
    events.emplace_back(DomainRecovered { id });
    for (const auto &peerId : domain.silent) {
        const auto &peer = *peers_.at(peerId);
        if (peer.state == PeerState::Suspected && peer.lateAt >= domain.since)
            events.emplace_back(suspicion(peer, now));
    }
}

/// Reports late peers after the hold; of a lost domain at once, as part of it.
auto FailureDetector::reportHeld(Instant now, std::vector<DetectorEvent> &events) -> void
{
    auto next = late_.begin();
    while (next != late_.end()) {
        auto &peer = *next++;
        if (now - peer.lateAt < options_.hold && !isDomainSuspected(peer.domain))
            continue;
        setState(peer, PeerState::Suspected);
        peer.beatsInRow = 0;
        events.emplace_back(suspicion(peer, now));
    }
}

auto FailureDetector::suspicion(const Peer &peer, Instant now) const -> PeerSuspected
{
    return { peer.id, peer.incarnation, peer.domain, now - peer.heardAt,
             isDomainSuspected(peer.domain) };
}

auto FailureDetector::state(const PeerId &peer) const -> PeerState
{
    const auto found = peers_.find(peer);
    return found == peers_.end() ? PeerState::Suspected : found->second->state;
}

auto FailureDetector::isDomainSuspected(const DomainId &domain) const -> bool
{
    const auto found = domains_.find(domain);
    return found != domains_.end() && found->second.suspected;
}

auto FailureDetector::timeout(const PeerId &peer) const -> Duration
{
    const auto found = peers_.find(peer);
    return found == peers_.end() ? Duration::zero() : timeoutOf(*found->second);
}

} // namespace figrack::coord
