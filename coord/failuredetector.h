// Which of many peers (routers, endpoints) are alive, by their heartbeats.
//
//   auto detector = FailureDetector { options, clock };
//   detector.expect(peer, incarnation, domain);    // known from the tables, not yet heard
//   detector.heartbeat(peer, incarnation, domain); // for each one that arrives
//   for (const auto &event : detector.poll())      // a few times a second
//       std::visit(visitor, event);
//
// A peer is late once it is silent for longer than its own heartbeats' mean gap
// and deviation explain, within bounds. A late peer is held back for a moment
// and then reported as suspected. It is reported as recovered only after several
// heartbeats in a row, and each false suspicion makes its timeout longer for a
// while, so that a lagging peer does not flap.
//
// When most peers of one failure domain fall silent together, that is one
// DomainSuspected event. The peers' own events then say domainLoss: give them no
// new work, but do not unload, move or replace what they hold one by one.
//
// Guarantees: heartbeat() takes constant time; poll() takes time in the number of
// peers that are late or change state. After a pause of its own process (a stop
// signal, a suspended VM) nobody is late before its whole timeout has passed
// anew. Memory is bounded by options.maxPeers. Not thread-safe.

#ifndef FIGRACK_COORD_FAILUREDETECTOR_H
#define FIGRACK_COORD_FAILUREDETECTOR_H

#include <cstddef>
#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

#include <absl/status/status.h>

#include "core/clock.h"
#include "core/ids.h"

namespace figrack::coord {

using PeerId = NameId<struct PeerIdTag>; ///< A router's or an endpoint's name.

struct FailureDetectorOptions
{
    Duration expectedGap = std::chrono::milliseconds { 500 }; ///< Between heartbeats, at first.
    Duration minTimeout = std::chrono::milliseconds { 1500 }; ///< Nobody is late before it.
    Duration maxTimeout = std::chrono::seconds { 10 };        ///< Everybody is late after it.
    double deviations = 6.0; ///< Timeout: mean gap and so many mean deviations.
    /// How long a late peer is held back, so that a domain's loss is seen as one.
    Duration hold = std::chrono::milliseconds { 750 };
    std::uint32_t recoverBeats = 3; ///< Heartbeats in a row that end a suspicion.
    std::size_t domainMinimum = 3;  ///< Silent peers that make a domain's loss, at least.
    double domainShare = 0.5;       ///< Share of a domain's peers that makes its loss.
    /// Those silent for longer before the others are left out of both numbers.
    Duration domainWindow = std::chrono::seconds { 10 };
    /// Between two calls; a longer gap means that this process itself was paused.
    Duration ownPause = std::chrono::milliseconds { 700 };
    std::size_t maxPeers = 20000;

    /// @return BadSettings naming the option that cannot be used
    auto check() const -> absl::Status;
};

enum class PeerState : std::uint8_t {
    Alive,
    Late,      ///< Silent past its timeout, not yet reported: send it nothing new.
    Suspected, ///< Reported.
};

/// @return "alive", "late" or "suspected"
auto peerStateName(PeerState state) -> std::string_view;

enum class Heard : std::uint8_t {
    Known,
    First,     ///< Of this peer.
    Restarted, ///< Another life of the peer than before: what the old one held is gone.
    Stale,     ///< Of a former life; ignored.
    Refused,   ///< The table is full.
};

struct PeerSuspected
{
    PeerId peer;
    Incarnation incarnation;
    DomainId domain;
    Duration silentFor {};
    /// Part of a domain's loss. When the domain recovers, who is still silent is reported
    /// again without this.
    bool domainLoss = false;
};

struct PeerRecovered
{
    PeerId peer;
    Incarnation incarnation;
};

struct DomainSuspected
{
    DomainId domain;
    std::size_t silent = 0;
    std::size_t peers = 0;
};

struct DomainRecovered
{
    DomainId domain;
};

using DetectorEvent = std::variant<PeerSuspected, PeerRecovered, DomainSuspected, DomainRecovered>;

class FailureDetector
{
public:
    FailureDetector(FailureDetectorOptions options, const Clock &clock);

    /// Adds a peer as if it had just been heard; does nothing when this life is known.
    auto expect(const PeerId &peer, Incarnation incarnation, const DomainId &domain) -> void;
    auto heartbeat(const PeerId &peer, Incarnation incarnation, const DomainId &domain) -> Heard;
    /// Forgets a peer that said goodbye or was removed.
    auto remove(const PeerId &peer) -> void;
    /// @return what changed since the last poll, domains before their peers
    auto poll() -> std::vector<DetectorEvent>;

    /// @return Suspected for a peer that is not known
    auto state(const PeerId &peer) const -> PeerState;
    auto isDomainSuspected(const DomainId &domain) const -> bool;
    /// @return how long the peer may now be silent; zero when it is not known
    auto timeout(const PeerId &peer) const -> Duration;
    auto size() const -> std::size_t { return peers_.size(); }

private:
    struct Peer
    {
        PeerId id;
        Incarnation incarnation;
        Incarnation formerIncarnation;
        DomainId domain;
        PeerState state = PeerState::Alive;
        Instant heardAt;
        Instant lateAt; ///< When it was found late.
        bool heardOnce = false;
        double meanGap = 0.0;   ///< ns
        double deviation = 0.0; ///< ns
        double caution = 1.0;   ///< Raised by false suspicions, falls with heartbeats.
        std::uint32_t beatsInRow = 0;
    };
    using PeerList = std::list<Peer>;
    struct Domain
    {
        std::size_t peers = 0;
        std::unordered_set<PeerId> silent; ///< Late or suspected.
        bool suspected = false;
        Instant since; ///< Of a suspected domain: peers late from here on are part of its loss.
    };

    auto add(const PeerId &peer, Incarnation incarnation, const DomainId &domain) -> Peer &;
    auto restart(Peer &peer, Incarnation incarnation, const DomainId &domain) -> void;
    auto learnGap(Peer &peer, Duration gap) const -> void;
    auto timeoutOf(const Peer &peer) const -> Duration;
    auto beat(Peer &peer) -> void;
    auto setState(Peer &peer, PeerState state) -> void;
    auto moveTo(const Peer &peer, PeerList &to) -> void;
    auto listOf(PeerState state) -> PeerList &;
    auto noticePause() -> void;
    auto silentSince(const Peer &peer) const -> Instant;
    auto findLate(Instant now) -> void;
    auto judgeDomains(Instant now, std::vector<DetectorEvent> &events) -> void;
    auto judgeDomain(const DomainId &id, Domain &domain, Instant now,
                     std::vector<DetectorEvent> &events) -> void;
    auto endDomainLoss(const DomainId &id, Domain &domain, Instant now,
                       std::vector<DetectorEvent> &events) -> void;
    auto reportHeld(Instant now, std::vector<DetectorEvent> &events) -> void;
    auto suspicion(const Peer &peer, Instant now) const -> PeerSuspected;

    FailureDetectorOptions options_;
    const Clock &clock_;
    /// By state. Alive ones are in the order in which they were last heard.
    PeerList alive_;
    PeerList late_;
    PeerList suspected_;
    std::unordered_map<PeerId, PeerList::iterator> peers_;
    std::unordered_map<DomainId, Domain> domains_;
    std::unordered_set<DomainId> changedDomains_; ///< To be judged by the next poll.
    std::vector<DetectorEvent> pending_;          ///< Recoveries since the last poll.
    Instant activeAt_;                            ///< The last call.
    Instant resumedAt_;                           ///< End of this process's last pause.
};

} // namespace figrack::coord

#endif // FIGRACK_COORD_FAILUREDETECTOR_H
