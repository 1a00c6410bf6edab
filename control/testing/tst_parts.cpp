// Tests of the demand, the verdicts of claims, the operators' JSON and the settings.

#include <doctest/doctest.h>

#include "control/claims.h"
#include "control/configjson.h"
#include "control/demand.h"
#include "control/settings.h"

namespace figrack::control {
namespace {

using std::chrono::seconds;

auto reportOf(const std::string &router, std::uint64_t sequence, std::uint32_t queued)
        -> proto::DemandReport
{
    auto report = proto::DemandReport {};
    report.router = NodeId { router };
    report.sequence = sequence;
    auto row = proto::DemandRow { ModelId { "m" }, ClassId { "urgent" } };
    row.queued = queued;
    row.arrived = queued;
    row.tightestSlackMs = 500;
    report.rows.push_back(row);
    return report;
}

const auto cell = DemandCell { ModelId { "m" }, ClassId { "urgent" } };

TEST_CASE("a burst at many routers is one demand, and a silent router is no longer counted")
{
    auto clock = ManualClock {};
    auto demand = Demand { {}, clock };
    demand.onReport(reportOf("r1", 1, 3));
    clock.advance(seconds { 2 });
    demand.onReport(reportOf("r2", 1, 4));
    CHECK(demand.sum(cell, 0).queued == 7);
    CHECK(demand.onReport(reportOf("r2", 1, 9)).cells.empty());
    demand.onReport(reportOf("r2", 2, 5));
    CHECK(demand.sum(cell, 0).queued == 8);
    clock.advance(seconds { 2 });
    CHECK(demand.dropStale().contains(cell));
    CHECK(demand.sum(cell, 0).queued == 5);
    auto none = reportOf("r2", 3, 0);
    none.rows.clear();
    CHECK(demand.onReport(none).cells.contains(cell));
    CHECK(demand.sum(cell, 0).queued == 0);
}

TEST_CASE("the tightest start is in the planner's time")
{
    auto clock = ManualClock {};
    auto demand = Demand { {}, clock };
    demand.onReport(reportOf("r1", 1, 1));
    clock.advance(std::chrono::milliseconds { 200 });
    CHECK(demand.sum(cell, 1000).tightestStart == 1300);
}

TEST_CASE("a claim's verdict follows from the claim in the tables")
{
    auto mine = state::TakeClaim {};
    mine.router = NodeId { "r1" };
    mine.deadline = 10;
    auto row = state::ClaimRow {};
    row.taken = mine;
    const auto ok = absl::OkStatus();
    CHECK(claimReply(ok, &row, mine).verdict == proto::ClaimVerdict::Granted);
    auto other = mine;
    other.router = NodeId { "r2" };
    CHECK(claimReply(ok, &row, other).verdict == proto::ClaimVerdict::Unknown);
    CHECK(claimReply(makeError(ErrorKind::InProgress, ""), &row, mine).verdict
          == proto::ClaimVerdict::InProgress);
    CHECK(claimReply(makeError(ErrorKind::KeyReused, ""), &row, mine).verdict
          == proto::ClaimVerdict::KeyReused);
    row.state = state::ClaimState::Done;
    row.ended.answer = "plaque";
    CHECK(claimReply(ok, &row, mine).verdict == proto::ClaimVerdict::Unknown);
    row.answerStored = true;
    CHECK(claimReply(ok, &row, mine).verdict == proto::ClaimVerdict::Stored);
    CHECK(claimReply(ok, &row, mine).answer == "plaque");
}

auto faultOf(std::string_view body) -> std::string
{
    const auto change = parseChange(body);
    CHECK(errorKind(change.status()) == ErrorKind::BadRequest);
    return std::string { errorArgument(change.status()) };
}

TEST_CASE(
        "an operator's change is parsed completely or rejected with the name of the invalid field")
{
    const auto change = parseChange(
            R"({"change":"c1","expected":4,"author":"ann",
                "put_model":{"id":"m","weight_mb":100,"slots":2}})");
    REQUIRE(change.ok());
    const auto &spec = std::get<state::PutModel>(change->operation).spec;
    CHECK(change->expected == Revision { 4 });
    CHECK(spec.weightMb == 100);
    CHECK(spec.slots == 2);
    CHECK(spec.version == "1");
    const auto head = std::string { R"({"change":"c","expected":1,"author":"a",)" };
    CHECK(faultOf("{").find("not JSON") != std::string::npos);
    CHECK(faultOf("[]").find("an object") != std::string::npos);
    CHECK(faultOf(head + R"("put_class":{"id":"u"}})").find("put_class.start_ms")
          != std::string::npos);
    CHECK(faultOf(head + R"("put_class":{"id":"u","start_ms":1.5,"finish_ms":2}})").find("start_ms")
          != std::string::npos);
    CHECK(faultOf(head + R"("put_model":{"id":"m","weight_mb":-1}})").find("weight_mb")
          != std::string::npos);
    CHECK(faultOf(head + R"("put_model":{"id":"m","weight_mb":1,"slotz":1}})").find("slotz")
          != std::string::npos);
    CHECK(faultOf(head + R"("delete_class":"a","delete_model":"b"})").find("one operation")
          != std::string::npos);
    CHECK(faultOf(R"({"change":"c","expected":-1,"author":"a","delete_class":"x"})")
                  .find("expected")
          != std::string::npos);
}

TEST_CASE("the other request bodies of operators are parsed as strictly")
{
    CHECK(*parseDraining(R"({"draining":true})"));
    CHECK_FALSE(parseDraining(R"({"draining":1})").ok());
    const auto member = parseMember(
            R"({"action":"add","node":"c4","domain":"d","address":"127.0.0.1:1","incarnation":7})");
    REQUIRE(member.ok());
    CHECK(member->member.incarnation == Incarnation { 7 });
    CHECK_FALSE(parseMember(R"({"action":"expel","node":"c4"})").ok());
    CHECK_FALSE(parseMember(R"({"action":"add","node":"c4"})").ok());
}

constexpr auto sample = std::string_view { R"(
[control]
name = c1
domain = morlaix
data = data
listen = 127.0.0.1:7100
members = c1/morlaix@127.0.0.1:7100, c2/brasparts@127.0.0.1:7101
found = true
key_file = keys
[operator]
listen = 127.0.0.1:7200
token_file = tokens
)" };

TEST_CASE("settings define a founder, and a control with found = false lists no founders")
{
    const auto settings = Settings::parse(sample, "sample", controlSchema());
    REQUIRE(settings.ok());
    const auto options = processOptions(*settings);
    REQUIRE(options.ok());
    CHECK(options->control.node.replica.founders.size() == 2);
    CHECK(options->peers.size() == 1);
    CHECK(options->peers.front().domain == DomainId { "brasparts" });
    auto text = std::string { sample };
    text.replace(text.find("found = true"), 12, "found = false");
    const auto joiner = processOptions(*Settings::parse(text, "sample", controlSchema()));
    REQUIRE(joiner.ok());
    CHECK(joiner->control.node.replica.founders.empty());
}

TEST_CASE("inconsistent settings are rejected with the name of the key")
{
    const auto fault = [](const std::string &from, const std::string &to) {
        auto text = std::string { sample };
        text.replace(text.find(from), from.size(), to);
        const auto settings = Settings::parse(text, "sample", controlSchema());
        REQUIRE(settings.ok());
        return std::string { errorArgument(processOptions(*settings).status()) };
    };
    CHECK(fault("c1/morlaix@", "c1@").find("control.members") != std::string::npos);
    CHECK(fault("name = c1", "name = c9").find("control.members") != std::string::npos);
    CHECK(fault("[operator]", "[orders]\ndoubt = 1s\n[operator]").find("orders.doubt")
          != std::string::npos);
}

} // namespace
} // namespace figrack::control
