#include "catalogue/account.h"

#include <utility>

#include "catalogue/catalogue.h"
#include "core/crypto.h"

namespace figrack::catalogue {

auto digestOfKey(std::string_view key) -> KeyDigest
{
    return KeyDigest { sha256(key) };
}

auto Account::costOf(std::optional<std::uint64_t> tokens) const -> std::uint64_t
{
    if (unit == CostUnit::Requests)
        return 1;
    return tokens.value_or(plainCost);
}

AccountTable::AccountTable(std::shared_ptr<const Catalogue> catalogue)
    : catalogue_(std::move(catalogue))
{
    if (!catalogue_->accounts)
        return;
    for (const auto &account : *catalogue_->accounts) {
        for (const auto &key : account.keys)
            byKey_.emplace(key, &account);
    }
}

auto AccountTable::find(const KeyDigest &key) const -> const Account *
{
    const auto found = byKey_.find(key);
    return found == byKey_.end() ? nullptr : found->second;
}

} // namespace figrack::catalogue
