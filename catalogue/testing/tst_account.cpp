// Accounts: who holds a key, what a request costs, and which documents are refused for them.

#include <doctest/doctest.h>

#include <absl/strings/match.h>

#include "catalogue/catalogue.h"
#include "core/error.h"

using namespace figrack;
using namespace figrack::catalogue;

namespace {

auto makeAccount(const std::string &name, const std::vector<std::string> &keys) -> Account
{
    auto account = Account {};
    account.id = AccountId { name };
    for (const auto &key : keys)
        account.keys.push_back(digestOfKey(key));
    return account;
}

auto withAccounts(std::vector<Account> accounts) -> Catalogue
{
    auto catalogue = Catalogue {};
    catalogue.version = Revision { 1 };
    catalogue.accounts = std::move(accounts);
    return catalogue;
}

auto textOf(const absl::Status &status) -> std::string
{
    return std::string { status.message() };
}

} // namespace

TEST_CASE("An account is found by any of its keys, and by no other")
{
    const auto catalogue = std::make_shared<const Catalogue>(withAccounts(
            { makeAccount("a", { "key-1", "key-2" }), makeAccount("b", { "key-3" }) }));
    const auto table = AccountTable { catalogue };
    CHECK(table.find(digestOfKey("key-2"))->id == AccountId { "a" });
    CHECK(table.find(digestOfKey("key-3"))->id == AccountId { "b" });
    CHECK(table.find(digestOfKey("key-4")) == nullptr);
    CHECK(table.find(digestOfKey("")) == nullptr);
    const auto without = AccountTable { std::make_shared<const Catalogue>() };
    CHECK(without.find(digestOfKey("key-1")) == nullptr);
}

TEST_CASE("A key that two accounts hold is refused with its place, and is not shown")
{
    CHECK(check(withAccounts({ makeAccount("a", { "k1" }), makeAccount("b", { "k2" }) })).ok());
    // Once more in the same account it says nothing new.
    CHECK(check(withAccounts({ makeAccount("a", { "k1", "k1" }) })).ok());
    const auto status = check(withAccounts(
            { makeAccount("a", { "k1" }), makeAccount("b", { "k2", "secret-1", "k1" }) }));
    CHECK(errorKind(status) == ErrorKind::BadRequest);
    CHECK(absl::StrContains(textOf(status), "account=b position=1"));
    CHECK(absl::StrContains(textOf(status), "key 2 is held by account a at position 0"));
    CHECK_FALSE(absl::StrContains(textOf(status), "k1"));
}

TEST_CASE("An account needs a name of its own that can travel in a header")
{
    CHECK_FALSE(check(withAccounts({ makeAccount("", {}) })).ok());
    CHECK_FALSE(check(withAccounts({ makeAccount("a\r\nX: 1", {}) })).ok());
    CHECK_FALSE(check(withAccounts({ makeAccount("a", {}), makeAccount("a", {}) })).ok());
    CHECK(check(withAccounts({})).ok());
}

TEST_CASE("A request costs what its account's unit counts")
{
    auto account = makeAccount("a", {});
    account.plainCost = 200;
    CHECK(account.costOf(1540) == 1);
    account.unit = CostUnit::Tokens;
    CHECK(account.costOf(1540) == 1540);
    CHECK(account.costOf(std::nullopt) == 200);
}
