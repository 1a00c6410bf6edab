// Admits requests of accounts with a limit while no balancer can count for all gateways.
//
//   localAdmission.onCounted(account, cost, isNearLimit);   // a balancer has answered
//   if (const auto roomIn = localAdmission.admit(charge)) refuse(*roomIn);
//   charge.admittedAlone = localAdmission.takeUnreported(account);   // with the next charge sent
//
// This covers two cases: a gateway that callers still reach is cut off from all controls, for the
// few seconds in which its other information remains valid; and single requests to a balancer that
// were not answered in time. The gateway continues at the rate at which it has recently served the
// account. Summed over all gateways, this is no more than the account's limit. Since one request
// may cost more than a gateway serves for its account in several seconds, each gateway admits the
// first request of an account that was far from its limit. For an account near its limit, the
// gateways begin at different random times, so that together they stay at its rate. After
// aloneFor without an answer from a balancer, nothing more is admitted.
//
// Depends only on the clock and on random numbers. Memory is bounded by the number of accounts used
// within the last minute; older state is no longer useful. Not thread-safe.

#ifndef FIGRACK_GATEWAY_LOCALADMISSION_H
#define FIGRACK_GATEWAY_LOCALADMISSION_H

#include <cstdint>
#include <map>
#include <optional>

#include "catalogue/account.h"
#include "core/clock.h"
#include "core/random.h"

namespace figrack::gateway {

struct LocalAdmissionOptions
{
    /// How long requests are admitted without an answer from a balancer.
    Duration aloneFor = std::chrono::seconds { 4 };
    /// Time over which the rate of an account is averaged.
    Duration window = std::chrono::seconds { 8 };
    /// An account without requests for this time is forgotten.
    Duration forgetAfter = std::chrono::seconds { 60 };
    /// Bounds of the time after which a refused caller is told to retry.
    Duration minRetryAfter = std::chrono::milliseconds { 300 };
    Duration maxRetryAfter = std::chrono::seconds { 4 };
};

class LocalAdmission
{
public:
    /// @param random outlives this
    LocalAdmission(LocalAdmissionOptions options, const Clock &clock, Random &random);
    /// Called when a balancer has answered a charge. Charges that a balancer admitted make up the
    /// account's average rate here; charges that were admitted locally are now counted by the
    /// balancer.
    /// @param cost cost of the charge; 0 if the balancer refused it
    /// @param isNearLimit whether the account has used most of its limit
    auto onCounted(const AccountId &account, std::uint64_t cost, bool isNearLimit) -> void;
    /// Decides on a charge that no balancer could count.
    /// @return nullopt if the charge is admitted; otherwise the time after which the caller should
    /// retry
    auto admit(const catalogue::AccountCharge &charge) -> std::optional<Duration>;
    /// Returns a charge that was admitted here but whose request did not run.
    auto giveBack(const AccountId &account, std::uint64_t cost) -> void;
    /// @return units admitted here that have not been reported to a balancer; marks them as
    /// reported
    auto takeUnreported(const AccountId &account) -> std::uint64_t;
    /// Marks units as unreported again, because no balancer received the report.
    auto restoreUnreported(const AccountId &account, std::uint64_t cost) -> void;
    /// @return number of accounts that are stored
    auto size() const -> std::size_t { return rows_.size(); }

private:
    struct Row
    {
        double averageUse = 0; ///< Units used in the window, decayed to averagedAt.
        Instant averagedAt {};
        /// Units available at levelAt; negative after a request has been admitted.
        double level = 0;
        Instant levelAt {};
        std::uint64_t unreported = 0;
        bool isNearLimit = false;
        /// A charge has been decided locally since the last answer of a balancer.
        bool isLocal = false;
    };
    /// @return the account's row, with its average use decayed to the current time
    auto rowOf(const AccountId &account) -> Row &;
    auto forgetOld() -> void;
    auto begin(Row &row, std::uint64_t cost) -> void;

    LocalAdmissionOptions options_;
    const Clock &clock_;
    Random &random_;
    /// Time of the first request to a balancer without an answer.
    std::optional<Instant> unansweredSince_;
    std::map<AccountId, Row> rows_;
    Instant nextForget_ {};
};

} // namespace figrack::gateway

#endif // FIGRACK_GATEWAY_LOCALADMISSION_H
