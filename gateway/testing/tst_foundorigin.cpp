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

/// @return the answer of the controls that one version has served, or that they cannot tell
auto controlsSay(std::set<std::string> versions, bool isComplete) -> ControlAnswer
{
    return { std::nullopt, false, std::move(versions), isComplete };
}

auto evidenceOf(std::set<std::string> versions, bool isConfirmed) -> OriginEvidence
{
    auto evidence = OriginEvidence { std::move(versions) };
    if (isConfirmed)
        evidence.add(controlsSay({ "v1" }, true));
    return evidence;
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

TEST_CASE("One version is trusted only if the controls confirm it and no gateway knows another")
{
    const auto confirmed = evidenceOf({ "v1" }, true);
    const auto unconfirmed = evidenceOf({ "v1" }, false);
    CHECK(isOnly(confirmed, {}));
    CHECK(!isOnly(unconfirmed, {}));
    CHECK(isOnly(confirmed, { replyOf({ "v1" }, false) }));
    CHECK(!isOnly(unconfirmed, { replyOf({ "v1" }, false) }));
    CHECK(!isOnly(confirmed, { replyOf({ "v2" }, false) }));
    CHECK(isOnly(evidenceOf({}, true), { replyOf({ "v1" }, true) }));
    CHECK(!isOnly(evidenceOf({ "v1", "v2" }, true), {}));
    CHECK(!isOnly(evidenceOf({ "v2" }, true), {}));
    auto none = evidenceOf({}, false);
    none.add(controlsSay({}, true));
    CHECK(!isOnly(none, {}));
}

// Guards against a gateway that trusts what it heard before it stood still.
TEST_CASE("What gateways say of the completeness of versions is not trusted without the controls")
{
    const auto unconfirmed = evidenceOf({ "v1" }, false);
    CHECK(!isOnly(unconfirmed, { replyOf({ "v1" }, true) }));
    CHECK(!isOnly(unconfirmed, { OriginFailure::Refused }));
    auto incomplete = unconfirmed;
    incomplete.add(controlsSay({ "v1" }, false));
    CHECK(!isOnly(incomplete, { replyOf({ "v1" }, true) }));
    CHECK(!isOnly(incomplete, { OriginFailure::Refused, OriginFailure::Refused }));
}

TEST_CASE("One version is not trusted by a gateway that others do not answer")
{
    const auto confirmed = evidenceOf({ "v1" }, true);
    const auto silent = OriginAnswer { OriginFailure::NoAnswer };
    const auto refused = OriginAnswer { OriginFailure::Refused };
    CHECK(!isOnly(confirmed, { silent }));
    CHECK(!isOnly(confirmed, { silent, refused }));
    CHECK(isOnly(confirmed, { refused, refused }));
    CHECK(isOnly(confirmed, { silent, replyOf({ "v1" }, false) }));
}

TEST_CASE("A caller is asked back soon where an answer may come, else after the window")
{
    const auto several = evidenceOf({ "v1", "v2" }, true);
    CHECK(foundBy(several, { replyOf({}, false) }).retryAfter == 60s);
    CHECK(foundBy(several, { replyOf({}, false), OriginFailure::NoAnswer }).retryAfter == 1s);
    CHECK(foundBy(several, { OriginFailure::Refused }).retryAfter == 60s);
    CHECK(foundBy(evidenceOf({ "v1" }, false), {}).retryAfter == 1s);
}

TEST_CASE("A known origin goes before what histories say, and only for its account")
{
    auto evidence = evidenceOf({ "v2" }, true);
    evidence.add(proto::StreamOriginReply { proto::StreamOrigin { "v1", account }, {}, false });
    const auto found = evidence.found(account, {});
    CHECK(found.source == OriginSource::Owner);
    CHECK(found.softwareVersion == "v1");
    const auto foreign = evidence.found(AccountId { "a2" }, {});
    CHECK(foreign.source == OriginSource::Foreign);
    CHECK(!foreign.softwareVersion);
    CHECK(foreign.retryAfter > 0s);
}
