// Every error kind can be made, named and read back.

#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <set>
#include <string>

#include "core/error.h"

using namespace figrack;

TEST_CASE("every kind reads back with its argument")
{
    for (auto i = std::size_t { 1 }; i < errorKindCount; ++i) {
        const auto kind = static_cast<ErrorKind>(i);
        for (const auto *argument : { "", "model=plaques", "a: b; c" }) {
            const auto status = makeError(kind, argument);
            CHECK_FALSE(status.ok());
            CHECK(errorKind(status) == kind);
            CHECK(errorArgument(status) == argument);
        }
    }
}

TEST_CASE("the message names the kind, the argument and the remedy")
{
    const auto status = makeError(ErrorKind::UnknownModel, "model=plaques");
    CHECK(status.message()
          == "unknown_model: no such model: model=plaques; create the model or name an existing "
             "one");
}

TEST_CASE("names are distinct and remedies are not empty")
{
    auto names = std::set<std::string_view> {};
    for (auto i = std::size_t { 0 }; i < errorKindCount; ++i) {
        names.insert(errorName(static_cast<ErrorKind>(i)));
        CHECK_FALSE(errorRemedy(static_cast<ErrorKind>(i)).empty());
    }
    CHECK(names.size() == errorKindCount);
    CHECK(errorName(static_cast<ErrorKind>(200)) == "internal");
}

TEST_CASE("a status from elsewhere is internal")
{
    CHECK(makeError(ErrorKind::Ok, "x").ok());
    CHECK(errorKind(absl::OkStatus()) == ErrorKind::Ok);
    const auto foreign = absl::AbortedError("elsewhere");
    CHECK(errorKind(foreign) == ErrorKind::Internal);
    CHECK(errorArgument(foreign) == "elsewhere");
}
