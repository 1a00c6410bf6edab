// Grants single retries out of those that all gateways share. Each control has a ledger, and the
// leader's grants.
//
//   ledger.onRequests(service, count);          // as gateways report them
//   ledger.ask(service, reply);                 // a gateway wants a retry
//   ledger.onReserved(reservation, isOwn);      // a reservation was applied, from the state
//   machine ledger.onRestored();                        // a snapshot has replaced earlier entries
//   ledger.tick();
//
// The leader reserves a few retries in the replicated log before it grants them, and reserves more
// only when these are used up. So the next leader knows all that may have been granted: the
// reservations that it has applied. It counts the last one as granted when its own lease begins,
// and each earlier one as granted when the following one was applied.
//
// Guarantee: over all controls, the retries of a service that are granted in any window are no more
// than the fixed number and a fraction of its requests: those of the window, of the one before it
// or of the one half a window before it, whichever has most. No more are sent either, since a grant
// expires after proto::retryGrantTtl. A control that does not know what was granted before, because
// it has started from a snapshot, grants nothing for a window. Not thread-safe.

#ifndef FIGRACK_FLEET_RETRYLEDGER_H
#define FIGRACK_FLEET_RETRYLEDGER_H

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <utility>

#include "core/clock.h"
#include "fleet/configlog.h"
#include "proto/servingmessages.h"

namespace figrack::fleet {

struct RetryLedgerOptions
{
    std::uint32_t slack = 50; ///< Retries of a service per window, over all gateways.
    double ratio = 0.15;      ///< Retries per reported request besides.
    Duration window = std::chrono::seconds { 10 };
    /// A reservation is the fixed number divided by this. Smaller ones cost more entries of the
    /// log, and larger ones are lost with a leader.
    std::uint32_t reservationsPerWindow = 8;
    /// A report is no older than this when it is received.
    Duration reportAge = std::chrono::seconds { 1 };
    /// Retries and requests are compared for windows that begin in steps of this.
    Duration step = std::chrono::milliseconds { 100 };
    /// A gateway that has waited for this time for a reservation has given up.
    Duration maxWait = std::chrono::milliseconds { 150 };
    std::size_t maxWaiting = 64; ///< Per service.
};

/// How the ledger reaches the control that it is part of.
struct RetryLedgerParts
{
    const Clock &clock;
    /// @return true while this control leads and holds its lease
    std::function<bool()> mayGrant;
    /// Proposes a reservation. It ends with onReserved() or onNotReserved().
    std::function<void(const RetryReservation &)> propose;
};

class RetryLedger
{
public:
    using Reply = std::function<void(const proto::RetryGrantReply &)>;
    RetryLedger(RetryLedgerOptions options, RetryLedgerParts parts);
    auto onRequests(const ServiceId &service, std::uint64_t count) -> void;
    /// @param reply called once, perhaps before this returns
    auto ask(const ServiceId &service, Reply reply) -> void;
    /// A reservation was applied. Does not call the replica.
    /// @param isOwn this control proposed it in its present term as leader
    auto onReserved(const RetryReservation &reservation, bool isOwn) -> void;
    /// An own proposal may not be committed.
    auto onNotReserved(const ServiceId &service) -> void;
    /// Entries before this were not applied here.
    auto onRestored() -> void;
    auto tick() -> void;

private:
    struct Waiting
    {
        Instant since;
        Reply reply;
    };
    using Counts = std::deque<std::pair<Instant, std::uint64_t>>;
    struct Row
    {
        /// Retries that may have been sent, and the latest time at which they were granted.
        Counts granted;
        Counts requests;        ///< As reported.
        Instant lastStepAt {};  ///< Begin of the latest step with grants.
        std::uint32_t open = 0; ///< Own reservation, not granted yet.
        /// Last reservation of another leader, whose grants may go on.
        std::uint32_t openElsewhere = 0;
        bool isReserving = false;
        std::deque<Waiting> waiting;
    };
    /// Notices the begin and the end of the lease.
    auto checkLease() -> void;
    auto room(const Row &row) const -> std::uint32_t;
    auto trim(Row &row) const -> void;
    /// @return the sum of the counts from an instant on
    static auto sumFrom(const Counts &counts, Instant from) -> std::uint64_t;
    /// @return retries allowed in any window that begins within a step from an instant on
    auto allowedFrom(const Row &row, Instant from) const -> std::uint64_t;
    auto waitTime(const Row &row) const -> std::uint64_t;
    auto grant(Row &row, const Reply &reply) const -> void;
    auto addGranted(Row &row, std::uint64_t count) const -> void;
    auto refuse(const Row &row, const Reply &reply) const -> void;
    auto serveWaiting(Row &row) const -> void;
    auto refuseWaiting(Row &row) const -> void;
    /// Reserves more retries if some are waited for.
    auto reserve(const ServiceId &service, Row &row) -> void;
    /// @return how long a grant counts
    auto countedFor() const -> Duration { return options_.window + proto::retryGrantTtl; }

    RetryLedgerOptions options_;
    RetryLedgerParts parts_;
    std::map<ServiceId, Row> rows_;
    bool isGranting_ = false;
    Instant unknownUntil_ {}; ///< What was granted before is not known until then.
};

} // namespace figrack::fleet

#endif // FIGRACK_FLEET_RETRYLEDGER_H
