// What this gateway admits for accounts with a limit while nobody that counts for all
// gateways can be asked.
//
//   lone.onCounted(account, cost);                 // a balancer admitted it
//   if (const auto roomIn = lone.admit(charge)) refuse(*roomIn);
//   charge.admittedAlone = lone.takeUntold(account);   // with the next charge that is asked for
//
// The load it answers: a gateway that is cut off from all controls and that callers
// still reach, for the seconds in which its other knowledge counts; and questions
// that were not answered in time. It goes on at the rate at which it has carried
// the account of late, which over all gateways is no more than the account's limit.
// Since a request may cost more than a gateway carries of its account in seconds,
// each admits the first one of an account that was far from its limit. Of an account
// that was near it the gateways begin at different times, so that all of them together
// stay at its rate. After aloneFor without an answer nothing more is admitted.
//
// Pure but for the clock. Bounded by the accounts of the last minute: what was not asked
// for in it carries nothing worth knowing. Not thread-safe.

#ifndef FIGRACK_GATEWAY_LONEADMISSION_H
#define FIGRACK_GATEWAY_LONEADMISSION_H

#include <cstdint>
#include <map>
#include <optional>

#include "catalogue/account.h"
#include "core/clock.h"
#include "core/random.h"

namespace figrack::gateway {

struct LoneAdmissionOptions
{
    Duration aloneFor = std::chrono::seconds { 4 };
    /// Over which the rate of an account is averaged.
    Duration window = std::chrono::seconds { 8 };
    /// An account of which nothing was asked for so long is forgotten.
    Duration forgetAfter = std::chrono::seconds { 60 };
    Duration soonestReturn = std::chrono::milliseconds { 300 };
    Duration latestReturn = std::chrono::seconds { 4 };
};

class LoneAdmission
{
public:
    /// @param random outlives this
    LoneAdmission(LoneAdmissionOptions options, const Clock &clock, Random &random);
    /// Somebody that counts has answered a charge; what it admitted is the account's usual rate
    /// here, and what was admitted alone counts there now.
    /// @param cost 0: it refused @param isNearLimit the account has used most of its limit
    auto onCounted(const AccountId &account, std::uint64_t cost, bool isNearLimit) -> void;
    /// Nobody that counts could be asked.
    /// @return nullopt when the charge is admitted; else when to come back
    auto admit(const catalogue::AccountCharge &charge) -> std::optional<Duration>;
    /// Admitted here, and did not run.
    auto giveBack(const AccountId &account, std::uint64_t cost) -> void;
    /// @return units admitted here that nobody was told of yet; they count as told then
    auto takeUntold(const AccountId &account) -> std::uint64_t;
    /// The units could not be told after all.
    auto putBackUntold(const AccountId &account, std::uint64_t cost) -> void;
    /// @return accounts that are kept
    auto size() const -> std::size_t { return rows_.size(); }

private:
    struct Row
    {
        double usual = 0; ///< Units in the window, decayed to usualAt.
        Instant usualAt {};
        double level = 0; ///< May be asked for at levelAt; below zero after a large request.
        Instant levelAt {};
        std::uint64_t untold = 0;
        bool isNearLimit = false;
        bool isAlone = false; ///< Since the last answer something was asked for alone.
    };
    /// @return the account's row, decayed to now
    auto rowOf(const AccountId &account) -> Row &;
    auto forgetOld() -> void;
    auto begin(Row &row, std::uint64_t cost) -> void;

    LoneAdmissionOptions options_;
    const Clock &clock_;
    Random &random_;
    std::optional<Instant> aloneSince_; ///< The first question without an answer.
    std::map<AccountId, Row> rows_;
    Instant nextForget_ {};
};

} // namespace figrack::gateway

#endif // FIGRACK_GATEWAY_LONEADMISSION_H
