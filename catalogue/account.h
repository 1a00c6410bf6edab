// Client accounts: who callers are, by their keys, and how much each may ask for.
//
//   const auto *account = table.find(digestOfKey(key));     // AccountTable
//   const auto cost = account->costOf(tokens);
//
// Keys themselves are not kept: an account is found by a digest of the key, so
// that nothing which is logged, shown or left in memory gives a key away.

#ifndef FIGRACK_CATALOGUE_ACCOUNT_H
#define FIGRACK_CATALOGUE_ACCOUNT_H

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/ids.h"

namespace figrack::catalogue {

struct Catalogue;

/// SHA-256 of a caller's key.
using KeyDigest = NameId<struct KeyDigestTag>;
auto digestOfKey(std::string_view key) -> KeyDigest;

/// What an account's limit counts.
enum class CostUnit : std::uint8_t {
    Requests, ///< Each request is one unit.
    Tokens,   ///< Prompt tokens and the most that may be generated.
};

/// How much may be asked for, in the units of its account.
struct RateLimit
{
    double perSecond = 0; ///< 0: no limit.
    double burst = 0;     ///< May be asked for at once after a rest.
    auto isSet() const -> bool { return perSecond > 0; }
    auto operator==(const RateLimit &) const -> bool = default;

    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(perSecond, burst);
    }
};

struct Account
{
    AccountId id;
    std::vector<KeyDigest> keys;
    std::optional<std::uint32_t> rank; ///< Goes before the route's; 0 is the most urgent.
    CostUnit unit = CostUnit::Requests;
    std::uint64_t plainCost = 1; ///< Of a request that says no number of tokens.
    RateLimit limit;
    std::vector<RegionId> homeRegions; ///< Where requests may be served; empty: anywhere.
    /// @param tokens that the request names; nullopt: it names none
    /// @return units
    auto costOf(std::optional<std::uint64_t> tokens) const -> std::uint64_t;
};

/// One request's part of its account's limit, as gateways tell it to whoever counts.
struct AccountCharge
{
    AccountId account;
    std::uint64_t cost = 0;
    RateLimit limit;
    Revision version; ///< Of the document that says so; the newest one's limit counts.
    /// Units that the gateway has admitted by itself since its last charge: nobody that counts
    /// could be asked.
    std::uint64_t admittedAlone = 0;

    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(account, cost, limit, version, admittedAlone);
    }
};

/// What one of those that count has admitted for an account.
struct AccountUse
{
    AccountId account;
    double admitted = 0;  ///< Since its start, less what was given back.
    double latest = 0;    ///< The part of it that no news has told before.
    double room = 0;      ///< Units that may be asked for at once, as the sender knows.
    bool isKnown = false; ///< The sender knows what all have admitted.
    RateLimit limit;
    Revision version;

    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(account, admitted, latest, room, isKnown, limit, version);
    }
};

/// Finds accounts by key, in a time that does not depend on their number.
class AccountTable
{
public:
    explicit AccountTable(std::shared_ptr<const Catalogue> catalogue);
    /// @return the account that holds the key, or nullptr
    auto find(const KeyDigest &key) const -> const Account *;

private:
    std::shared_ptr<const Catalogue> catalogue_;
    std::unordered_map<KeyDigest, const Account *> byKey_;
};

} // namespace figrack::catalogue

#endif // FIGRACK_CATALOGUE_ACCOUNT_H
