// Tests the link to the controls over loopback sockets, with fake controls. The
// tests wait for events; none asserts a short duration.

#include <doctest/doctest.h>

#include <future>

#include "core/error.h"
#include "fakecontrol.h"
#include "router/controllink.h"

namespace figrack::router {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

auto putModel(const std::string &name, std::uint64_t expected) -> state::Command
{
    auto change = state::ConfigChange {};
    change.change = ChangeId { name };
    change.author = "test";
    change.expected = Revision { expected };
    auto spec = state::ModelSpec {};
    spec.id = ModelId { name };
    spec.weightMb = 1;
    change.operation = state::PutModel { spec };
    return change;
}

struct LinkFixture
{
    ~LinkFixture()
    {
        if (link)
            link->stop();
        threads.stop();
    }

    auto start(const std::vector<FakeControl *> &controls) -> void
    {
        auto options = ControlLinkOptions {};
        options.registration.node = NodeId { "r1" };
        options.registration.incarnation = Incarnation { 7 };
        options.registration.domain = DomainId { "morlaix" };
        options.registration.callerAddress = "127.0.0.1:1";
        for (const auto *control : controls)
            options.controls.push_back(control->named());
        options.channel = FakeControl::options("r1");
        options.viewLease.length = milliseconds { 400 };
        options.viewLease.renewEvery = milliseconds { 50 };
        options.demandEvery = milliseconds { 20 };
        options.demandIdleEvery = seconds { 3600 };
        options.feedTimeout = milliseconds { 300 };
        options.preferNearestEvery = milliseconds { 50 };
        auto hooks = ControlLinkHooks {};
        hooks.onViewChanged = [this] { ++viewChanges; };
        hooks.onLoad = [this](const proto::LoadDigest &) { ++digests; };
        hooks.takeDemand = [this]() -> std::vector<proto::DemandRow> {
            if (!wanted)
                return {};
            auto row = proto::DemandRow {};
            row.model = ModelId { "plaques" };
            row.queued = 1;
            return { row };
        };
        hooks.encodeReport = [](Duration window) {
            return "report of " + std::to_string(window / milliseconds { 1 });
        };
        link = std::make_unique<ControlLink>(threads.context, options, clock, view, hooks);
        link->start();
    }
    auto call(proto::Payload payload, Duration timeout = seconds { 20 })
            -> absl::StatusOr<proto::Payload>
    {
        auto promise = std::make_shared<std::promise<absl::StatusOr<proto::Payload>>>();
        auto future = promise->get_future();
        link->callLeader(std::move(payload), timeout,
                         [promise](absl::StatusOr<proto::Payload> reply) {
                             promise->set_value(std::move(reply));
                         });
        return future.get();
    }

    SystemClock clock;
    Threads threads;
    View view { NodeId { "r1" }, 64 };
    std::atomic<int> viewChanges = 0;
    std::atomic<int> digests = 0;
    std::atomic<bool> wanted = false;
    FakeControl c1 { threads.context, "c1" };
    FakeControl c2 { threads.context, "c2" };
    std::unique_ptr<ControlLink> link;
};

TEST_CASE_FIXTURE(LinkFixture, "a router joins, catches up and is current")
{
    c1.commit(putModel("plaques", 0));
    start({ &c1 });
    CHECK(eventually([this] { return link->isCurrent(); }));
    CHECK(view.model(ModelId { "plaques" }));
    CHECK(view.isRegistered(Incarnation { 7 }));
    CHECK(c1.joins == 1);
}

TEST_CASE_FIXTURE(LinkFixture, "a router requests no lease before it has caught up with its join")
{
    c1.joinIndexAhead = 1;
    start({ &c1 });
    REQUIRE(eventually([this] { return view.isRegistered(Incarnation { 7 }); }));
    std::this_thread::sleep_for(milliseconds { 200 });
    CHECK_FALSE(link->isCurrent());
    c1.commit(putModel("plaques", 0));
    CHECK(eventually([this] { return link->isCurrent(); }));
}

TEST_CASE_FIXTURE(LinkFixture, "a router is current only while its lease is renewed")
{
    start({ &c1 });
    REQUIRE(eventually([this] { return link->isCurrent(); }));
    c1.grants = false;
    CHECK(eventually([this] { return !link->isCurrent(); }));
    c1.grants = true;
    CHECK(eventually([this] { return link->isCurrent(); }));
}

TEST_CASE_FIXTURE(LinkFixture,
                  "renewals by a minority of the controls do not make a router current")
{
    c1.voters = 3;
    start({ &c1 });
    REQUIRE(eventually([this] { return view.isRegistered(Incarnation { 7 }); }));
    std::this_thread::sleep_for(milliseconds { 200 });
    CHECK_FALSE(link->isCurrent());
}

TEST_CASE_FIXTURE(LinkFixture, "a router that was removed joins again")
{
    start({ &c1 });
    REQUIRE(eventually([this] { return view.isRegistered(Incarnation { 7 }); }));
    c1.commit(state::RemoveRouter { NodeId { "r1" }, Incarnation { 7 } });
    CHECK(eventually([this] { return c1.joins == 2; }));
    CHECK(eventually([this] { return view.isRegistered(Incarnation { 7 }); }));
}

TEST_CASE_FIXTURE(LinkFixture,
                  "calls find the leader by the name that others return, and follow it")
{
    c1.leads = false;
    c1.leaderHint = "c2";
    start({ &c1, &c2 });
    CHECK(call(proto::ClaimRequest {}).ok());
    CHECK(c2.claims == 1);
    CHECK(c1.claims == 0);
    c2.leads = false;
    c1.leads = true;
    CHECK(call(proto::ClaimRequest {}).ok());
    CHECK(c1.claims == 1);
}

TEST_CASE_FIXTURE(LinkFixture, "a call that finds no leader ends as NotLeader and is never sent")
{
    c1.leads = false;
    start({ &c1 });
    const auto reply = call(proto::ClaimRequest {}, milliseconds { 300 });
    CHECK(errorKind(reply.status()) == ErrorKind::NotLeader);
    CHECK(c1.claims == 0);
}

TEST_CASE_FIXTURE(LinkFixture, "the feed comes from the nearest control and moves if that fails")
{
    c1.commit(putModel("plaques", 0));
    c2.copyLog(c1);
    c2.leads = false;
    start({ &c1, &c2 });
    // Being current implies that the join is in c1's log and not still in transit to the leader.
    REQUIRE(eventually([this] { return link->isCurrent() && c1.subscribers() == 1; }));
    c1.stop();
    REQUIRE(eventually([this] { return c2.subscribers() == 1; }));
    c2.copyLog(c1);
    c2.leads = true;
    c2.commit(putModel("letters", 1));
    CHECK(eventually([this] { return view.model(ModelId { "letters" }).has_value(); }));
    CHECK(view.revision() == Revision { 2 });
}

TEST_CASE_FIXTURE(LinkFixture, "a feed that lags behind the renewals is replaced by another")
{
    start({ &c1, &c2 });
    REQUIRE(eventually([this] { return link->isCurrent(); }));
    // c2 has entries that c1 does not send, and the voters require them for a renewal.
    c2.copyLog(c1);
    c2.commit(putModel("plaques", 0));
    c1.required = 1;
    c2.required = 1;
    CHECK(eventually([this] { return view.revision() == Revision { 1 }; }));
    CHECK(c2.subscribers() == 1);
}

TEST_CASE_FIXTURE(LinkFixture, "batches of an older subscription are dropped until the new reply")
{
    // c1 serves the feed, stops answering and is replaced. When the link returns to c1, pushes of
    // the old subscription arrive before the reply to the new one.
    start({ &c1, &c2 });
    REQUIRE(eventually([this] { return link->isCurrent() && c1.subscribers() == 1; }));
    c1.answersFeed = false;
    c1.required = 1;
    c2.required = 1;
    c2.answersFeed = false;
    // Neither control answers now, so the link alternates between them.
    std::this_thread::sleep_for(milliseconds { 700 });
    auto gap = proto::FeedBatch {};
    gap.entries.push_back({ LogIndex { 9 }, state::encodeCommand(putModel("late", 0)) });
    gap.upTo = LogIndex { 9 };
    for (auto i = 0; i < 20; ++i) {
        c1.push(gap);
        std::this_thread::sleep_for(milliseconds { 20 });
    }
    CHECK_FALSE(view.model(ModelId { "late" }));
    CHECK(view.appliedIndex() < LogIndex { 9 });
}

TEST_CASE_FIXTURE(LinkFixture, "demand for a cold model is reported at once, then at intervals")
{
    start({ &c1 });
    REQUIRE(eventually([this] { return link->isCurrent(); }));
    REQUIRE(eventually([this] { return !c1.reports().empty(); }));
    const auto before = c1.reports().size();
    wanted = true;
    for (auto i = 0; i < 100; ++i)
        link->requestDemandReport();
    CHECK(eventually([this, before] { return c1.reports().size() >= before + 3; }));
    const auto reports = c1.reports();
    CHECK(reports.back().rows.size() == 1);
    CHECK(reports.back().router == NodeId { "r1" });
    for (auto i = std::size_t { 1 }; i < reports.size(); ++i)
        CHECK(reports[i].sequence == reports[i - 1].sequence + 1);
    CHECK(reports.size() < before + 100);
}

TEST_CASE_FIXTURE(LinkFixture, "load digests are received and reports are sent")
{
    start({ &c1 });
    REQUIRE(eventually([this] { return c1.subscribers() == 1; }));
    c1.push(proto::LoadDigest {});
    c1.push(proto::ReportRequest { 60000 });
    CHECK(eventually([this] { return digests == 1; }));
    REQUIRE(eventually([this] { return c1.reportReplies().size() == 1; }));
    CHECK(c1.reportReplies()[0].report == "report of 60000");
}

} // namespace
} // namespace figrack::router
