// The verdict is itself put to the test: each broken promise is made up in the
// records and must be found, and a clean run must stay clean.

#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>

#include <fmt/format.h>
#include <unistd.h>

#include "testing/tokens.h"
#include "testing/verdict.h"

using namespace figrack;
using namespace figrack::testing;

namespace {

auto at(int second) -> Instant
{
    return Instant { std::chrono::seconds { 1000 + second } };
}

/// A cluster on paper: folders and names, no process is started.
class Fixture
{
public:
    Fixture()
        : folder_((std::filesystem::temp_directory_path() / fmt::format("figrack-v-{}", getpid()))
                          .string())
        , cluster(optionsIn(folder_))
    { }
    ~Fixture() { std::filesystem::remove_all(folder_); }
    Fixture(const Fixture &) = delete;
    auto operator=(const Fixture &) -> Fixture & = delete;

    static auto optionsIn(const std::string &folder) -> ClusterOptions
    {
        auto options = ClusterOptions {};
        options.folder = folder;
        options.binFolder = "nowhere";
        return options;
    }
    auto record(std::size_t engine, const std::string &line) -> void
    {
        append(cluster.engines()[engine]->folder() + "/record", "t=1 " + line);
    }
    auto controlLog(const std::string &line) -> void
    {
        append(cluster.controls()[0]->logFile(), line);
    }
    auto result(const std::string &id, CallEnd end) -> CallResult &
    {
        auto made = CallResult {};
        made.call.id = id;
        made.end = end;
        made.router = cluster.routers()[0]->address();
        made.sentAt = at(0);
        made.endedAt = at(2);
        results.push_back(made);
        return results.back();
    }
    auto verdict() -> Verdict { return judge(results, revisions, cluster); }

private:
    static auto append(const std::string &file, const std::string &line) -> void
    {
        std::ofstream { file, std::ios::app } << line << '\n';
    }
    std::string folder_;

public:
    Cluster cluster;
    std::vector<CallResult> results;
    std::vector<RevisionSighting> revisions;
};

} // namespace

TEST_CASE_FIXTURE(Fixture, "a clean run is good")
{
    record(0, "e=load order=7 fence=1 model=m from=remote used=1");
    record(0, "e=run id=a model=m key=k1 resume=0");
    controlLog("at=now level=info event=order_sent order=7 action=load endpoint=e model=m");
    result("a", CallEnd::Answered);
    auto &refused = result("b", CallEnd::Refused);
    refused.ran = "not_run";
    result("c", CallEnd::Left);
    revisions = { { "accepted", 3 }, { "accepted", 3 }, { "accepted", 4 } };
    const auto found = verdict();
    CHECK(found.isGood());
    CHECK(found.requests == 3);
    CHECK(found.answered == 1);
    CHECK(found.refused == 1);
}

TEST_CASE_FIXTURE(Fixture, "a refusal that says not_run of what a fake has on record")
{
    record(1, "e=run id=b model=m key= resume=0");
    result("b", CallEnd::Refused).ran = "not_run";
    CHECK(verdict().falseNotRun == 1);
    results[0].ran = "unknown";
    CHECK(verdict().isGood());
}

TEST_CASE_FIXTURE(Fixture, "a key that ran twice, also at two endpoints")
{
    record(0, "e=run id=a model=s key=k resume=0");
    record(1, "e=run id=b model=s key=k resume=0");
    CHECK(verdict().duplicated == 1);
}

TEST_CASE_FIXTURE(Fixture, "loads that nobody decided or that were carried out twice")
{
    record(0, "e=load order=7 fence=1 model=m from=remote used=1");
    CHECK(verdict().excessReplicas == 1);
    controlLog("event=order_sent order=7 action=load");
    CHECK(verdict().isGood());
    record(1, "e=load order=7 fence=1 model=m from=remote used=1");
    CHECK(verdict().excessReplicas == 1);
}

TEST_CASE_FIXTURE(Fixture, "overcommitted memory, late work and failed checks")
{
    record(2, "e=overcommit order=3 model=m wanted=2 used=1");
    record(3, "e=late_work id=x");
    controlLog("event=check_failed promise=\"one leader a term\" condition=\"x\" at=y:1");
    const auto found = verdict();
    CHECK(found.overcommitted == 1);
    CHECK(found.lateWork == 1);
    CHECK(found.failedChecks == 1);
    CHECK(found.violations.size() == 3);
}

TEST_CASE_FIXTURE(Fixture, "an answer that is lost counts, unless its router was killed meanwhile")
{
    result("a", CallEnd::Broken);
    result("b", CallEnd::Late);
    result("c", CallEnd::Unreachable);
    result("d", CallEnd::Wrong).repeatedTokens = true;
    auto found = verdict();
    CHECK(found.dropped == 4);
    CHECK(found.duplicated == 1);
    // The disturbance is open-ended from the real clock's now on; calls are moved after it.
    cluster.routers()[0]->noteDeath();
    for (auto &result : results)
        result.endedAt = SystemClock {}.now() + std::chrono::hours { 1 };
    found = verdict();
    CHECK(found.lostToFault == 3);
    CHECK(found.dropped == 1); // A wrong answer is never excused.
}

TEST_CASE_FIXTURE(Fixture, "a revision that falls")
{
    revisions = { { "a", 3 }, { "b", 9 }, { "a", 2 } };
    CHECK(verdict().revisionFalls == 1);
}

TEST_CASE("tokens depend on model, prompt and index alone")
{
    CHECK(tokenText("m", "p", 3) == tokenText("m", "p", 3));
    CHECK(tokenText("m", "p", 3) != tokenText("m", "p", 4));
    CHECK(tokenText("m", "p", 3) != tokenText("n", "p", 3));
    CHECK(tokenText("m", "p", 3) != tokenText("m", "q", 3));
    CHECK(answerText("m", "p", 5).size() == 5 * tokenBytes);
    CHECK(lineField("t=1 e=run id=a key= resume=0", "key").empty());
    CHECK(lineField("order_id=4 id=5", "id") == "5");
}
