// What follows from the answers of other gateways about a stream's origin.

#include <doctest/doctest.h>

#include "gateway/foundorigin.h"

using namespace figrack;
using namespace figrack::gateway;
using namespace std::chrono_literals;

namespace {

const auto account = AccountId { "a1" };

auto replyOf(std::vector<std::string> versions, bool isComplete) -> OriginAnswer
{
    return proto::StreamOriginReply { std::nullopt, std::move(versions), isComplete };
}

auto foundBy(OriginEvidence evidence, const std::vector<OriginAnswer> &answers) -> FoundOrigin
{
    for (const auto &answer : answers)
        evidence.add(answer);
    return evidence.found(account, {});
}

auto isOnly(const OriginEvidence &evidence, const std::vector<OriginAnswer> &answers) -> bool
{
    const auto found = foundBy(evidence, answers);
    CHECK((found.source == OriginSource::OnlyVersion) == found.softwareVersion.has_value());
    return found.source == OriginSource::OnlyVersion;
}

} // namespace

TEST_CASE("One version is trusted only if the history is complete and a gateway in touch agrees")
{
    const auto complete = OriginEvidence { { "v1" }, true };
    const auto incomplete = OriginEvidence { { "v1" }, false };
    CHECK(isOnly(complete, {}));
    CHECK(!isOnly(incomplete, {}));
    CHECK(isOnly(complete, { replyOf({ "v1" }, false) }));
    CHECK(isOnly(incomplete, { replyOf({ "v1" }, true) }));
    CHECK(!isOnly(incomplete, { replyOf({ "v1" }, false) }));
    CHECK(!isOnly(complete, { replyOf({ "v2" }, false) }));
    CHECK(!isOnly(OriginEvidence { {}, true }, {}));
    CHECK(isOnly(OriginEvidence { {}, false }, { replyOf({ "v1" }, true) }));
    CHECK(!isOnly(OriginEvidence { { "v1", "v2" }, true }, {}));
}

TEST_CASE("One version is not trusted by a gateway that others do not answer")
{
    const auto complete = OriginEvidence { { "v1" }, true };
    const auto silent = OriginAnswer { OriginFailure::NoAnswer };
    const auto refused = OriginAnswer { OriginFailure::Refused };
    CHECK(!isOnly(complete, { silent }));
    CHECK(!isOnly(complete, { silent, refused }));
    CHECK(isOnly(complete, { refused, refused }));
    CHECK(isOnly(complete, { silent, replyOf({ "v1" }, false) }));
}

TEST_CASE("A caller is asked back soon where an answer may come, else after the window")
{
    const auto several = OriginEvidence { { "v1", "v2" }, true };
    CHECK(foundBy(several, { replyOf({}, false) }).retryAfter == 60s);
    CHECK(foundBy(several, { replyOf({}, false), OriginFailure::NoAnswer }).retryAfter == 1s);
    CHECK(foundBy(several, { OriginFailure::Refused }).retryAfter == 60s);
    CHECK(foundBy(OriginEvidence { { "v1" }, false }, {}).retryAfter == 1s);
}

TEST_CASE("A known origin goes before what histories say, and only for its account")
{
    auto evidence = OriginEvidence { { "v2" }, true };
    evidence.add(proto::StreamOriginReply { proto::StreamOrigin { "v1", account }, {}, false });
    const auto found = evidence.found(account, {});
    CHECK(found.source == OriginSource::Owner);
    CHECK(found.softwareVersion == "v1");
    const auto foreign = evidence.found(AccountId { "a2" }, {});
    CHECK(foreign.source == OriginSource::Foreign);
    CHECK(!foreign.softwareVersion);
    CHECK(foreign.retryAfter > 0s);
}
