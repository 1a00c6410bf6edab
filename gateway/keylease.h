// Decides whether this gateway may still rely on its list of API keys.
//
//   const auto number = lease.ask();                // a request is sent to a control
//   lease.onProof(number, demanded);                // its answer has arrived
//   lease.onInForce(version);                       // a document is now in force
//   if (!lease.isCurrent()) refuse();
//
// A key that an operator has revoked must no longer be accepted after revokeWithin, even by a
// gateway that cannot reach any control. So a gateway accepts keys only while it has proof that no
// newer document had been accepted when its request for the proof was sent. The answer names the
// document that a majority of the controls would demand (fleet/documentproof.h), and counts once
// that document is in force at the gateway. The age of a proof is measured from the time at which
// its request was sent, on this gateway's clock, which also runs while the VM is suspended. A
// gateway that has just started has no proof.
//
// Depends only on the clock. Not thread-safe.

#ifndef FIGRACK_GATEWAY_KEYLEASE_H
#define FIGRACK_GATEWAY_KEYLEASE_H

#include <cstdint>
#include <map>

#include "core/clock.h"
#include "core/ids.h"

namespace figrack::gateway {

struct KeyLeaseOptions
{
    /// Time after which a revoked key is no longer accepted at any gateway. If zero, no proof is
    /// needed, and the document in force decides regardless of its age.
    Duration revokeWithin {};
    /// Fraction of revokeWithin for which a proof is valid. The rest allows for clocks that run at
    /// different rates.
    double lengthPart = 0.9;
    /// Fraction of revokeWithin after which the next request for a proof is sent. A gateway that is
    /// cut off right before an answer must still serve for six tenths of revokeWithin.
    double renewPart = 0.1;
    /// Fraction of revokeWithin after which a request for a proof times out and another control is
    /// asked. It must cover the time for which a control collects requests (fleet/documentproof.h).
    double answerPart = 0.12;
};

class KeyLease
{
public:
    KeyLease(KeyLeaseOptions options, const Clock &clock);
    /// @return true while requests with keys may be served
    auto isCurrent() const -> bool;
    /// @return true if proofs are needed at all
    auto isStrict() const -> bool { return options_.revokeWithin > Duration::zero(); }
    /// @return interval between requests for a proof
    auto renewEvery() const -> Duration;
    /// @return timeout of a request for a proof
    auto answerWithin() const -> Duration;
    /// @return age of the proof for the document in force, measured from its request; without a
    /// proof, the time since this object was created
    auto age() const -> Duration;

    /// Records that a request for a proof is sent now. @return its number
    auto ask() -> std::uint64_t;
    /// Records an answer.
    /// @param question number of the request
    /// @param demanded a majority demands this document or an older one; 0 if nothing is proved
    auto onProof(std::uint64_t question, Revision demanded) -> void;
    /// @param version version of the document that is in force from now on
    auto onInForce(Revision version) -> void;

private:
    auto part(double share) const -> Duration;
    auto settle() -> void;

    KeyLeaseOptions options_;
    const Clock &clock_;
    std::uint64_t lastQuestion_ = 0;
    /// Requests without an answer, and when they were sent.
    std::map<std::uint64_t, Instant> askedAt_;
    /// Answers for documents that are not in force yet: when the request was sent, by document.
    std::map<Revision, Instant> waiting_;
    Revision inForce_;
    Instant provenAt_; ///< When the request was sent whose answer proves the document in force.
    bool hasProof_ = false;
};

} // namespace figrack::gateway

#endif // FIGRACK_GATEWAY_KEYLEASE_H
