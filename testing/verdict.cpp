// A load is as decided when some control logged that it sent that order and no
// other load bears its number: a control sends an order only after its intent is
// committed, and the number is the intent's place in the log.

#include "testing/verdict.h"

#include <fstream>
#include <set>

#include <fmt/format.h>

namespace figrack::testing {
namespace {

auto numberOf(const std::string &text) -> std::uint64_t
{
    return std::strtoull(text.c_str(), nullptr, 10);
}

auto takeLine(FakeFacts &facts, const std::string &endpoint, const std::string &line) -> void
{
    const auto event = lineField(line, "e");
    ++facts.counts[event];
    if (event == "run") {
        auto run
                = RunFact { endpoint, lineField(line, "key"), numberOf(lineField(line, "resume")) };
        if (!run.key.empty())
            ++facts.keyRuns[run.key];
        facts.runs[lineField(line, "id")].push_back(std::move(run));
    } else if (event == "load") {
        facts.loads.push_back({ endpoint, lineField(line, "model"),
                                numberOf(lineField(line, "order")),
                                numberOf(lineField(line, "fence")) });
    }
}

auto decidedLoads(Cluster &cluster) -> std::set<std::uint64_t>
{
    auto decided = std::set<std::uint64_t> {};
    for (auto &control : cluster.controls()) {
        auto log = std::ifstream { control->logFile() };
        for (auto line = std::string {}; std::getline(log, line);) {
            const auto event = lineField(line, "event");
            const auto isSent = event == "order_sent" && lineField(line, "action") == "load";
            // The log is bounded: of an order that was sent while it was full only its end may
            // stand there. A control settles no order but one of the replicated log.
            const auto isSettled
                    = event == "order_settled" && lineField(line, "result") == "loaded";
            if (isSent || isSettled)
                decided.insert(numberOf(lineField(line, "order")));
        }
    }
    return decided;
}

/// Adds up one run's faults.
class Judge
{
public:
    explicit Judge(Cluster &cluster)
        : cluster_(cluster)
        , facts_(readFakeFacts(cluster))
    { }

    auto takeResult(const CallResult &result) -> void
    {
        ++verdict_.requests;
        switch (result.end) {
        case CallEnd::Answered:
            ++verdict_.answered;
            break;
        case CallEnd::Refused:
            takeRefusal(result);
            break;
        case CallEnd::Left:
            ++verdict_.left;
            break;
        default:
            takeLoss(result);
        }
    }

    auto takeFacts() -> void
    {
        for (const auto &[key, runs] : facts_.keyRuns) {
            if (runs > 1)
                count(verdict_.duplicated, fmt::format("key={} runs={}", key, runs), runs - 1);
        }
        if (const auto found = facts_.counts["overcommit"]; found > 0)
            count(verdict_.overcommitted, fmt::format("overcommit events={}", found), found);
        if (const auto found = facts_.counts["late_work"]; found > 0)
            count(verdict_.lateWork, fmt::format("late work={}", found), found);
        takeLoads();
        for (const auto &line : cluster_.failedChecks())
            count(verdict_.failedChecks, line);
    }

    auto takeRevisions(const std::vector<RevisionSighting> &revisions) -> void
    {
        auto highest = std::map<std::string, std::uint64_t> {};
        for (const auto &sighting : revisions) {
            auto &before = highest[sighting.where];
            if (sighting.revision < before)
                count(verdict_.revisionFalls,
                      fmt::format("revision at={} from={} to={}", sighting.where, before,
                                  sighting.revision));
            before = std::max(before, sighting.revision);
        }
    }

    auto verdict() -> Verdict { return std::move(verdict_); }

private:
    auto takeRefusal(const CallResult &result) -> void
    {
        ++verdict_.refused;
        ++verdict_.refusals[result.code + " ran=" + result.ran];
        if (result.ran == "not_run" && facts_.runs.count(result.call.id) != 0)
            count(verdict_.falseNotRun, describe(result));
    }

    auto takeLoss(const CallResult &result) -> void
    {
        if (result.repeatedTokens)
            count(verdict_.duplicated, describe(result));
        if (isExcused(result))
            ++verdict_.lostToFault;
        else
            count(verdict_.dropped, describe(result));
    }

    /// A caller whose router is killed or stopped sees it for itself: nobody can answer for it.
    auto isExcused(const CallResult &result) -> bool
    {
        if (result.end == CallEnd::Wrong)
            return false;
        if (result.end == CallEnd::Unreachable) {
            for (auto &router : cluster_.routers()) {
                if (router->wasDisturbed(result.sentAt, result.endedAt))
                    return true;
            }
            return false;
        }
        auto *router = cluster_.findRouter(result.router);
        return router != nullptr && router->wasDisturbed(result.sentAt, result.endedAt);
    }

    auto takeLoads() -> void
    {
        const auto decided = decidedLoads(cluster_);
        auto seen = std::set<std::uint64_t> {};
        for (const auto &load : facts_.loads) {
            const auto isFirst = seen.insert(load.order).second;
            if (isFirst && decided.count(load.order) != 0)
                continue;
            count(verdict_.excessReplicas,
                  fmt::format("load order={} model={} endpoint={} why={}", load.order, load.model,
                              load.endpoint, isFirst ? "nobody decided it" : "carried out twice"));
        }
    }

    auto describe(const CallResult &result) const -> std::string
    {
        return fmt::format("request={} end={} status={} code={} ran={} router={} tokens={} "
                           "ms={:.0f} detail=\"{}\"",
                           result.call.id, callEndName(result.end), result.status, result.code,
                           result.ran, result.router.text(), result.tokensSeen, result.totalMs(),
                           result.detail);
    }

    auto count(std::uint64_t &counter, const std::string &violation, std::uint64_t by = 1) -> void
    {
        counter += by;
        verdict_.violations.push_back(violation);
    }

    Cluster &cluster_;
    FakeFacts facts_;
    Verdict verdict_;
};

} // namespace

auto lineField(const std::string &line, std::string_view key) -> std::string
{
    const auto wanted = std::string { key } + "=";
    for (auto start = line.find(wanted); start != std::string::npos;
         start = line.find(wanted, start + 1)) {
        if (start > 0 && line[start - 1] != ' ')
            continue;
        const auto value = start + wanted.size();
        return line.substr(value, line.find(' ', value) - value);
    }
    return {};
}

auto readFakeFacts(Cluster &cluster) -> FakeFacts
{
    auto facts = FakeFacts {};
    for (auto *nodes : { &cluster.engines(), &cluster.services() }) {
        for (auto &node : *nodes) {
            auto record = std::ifstream { node->folder() + "/record" };
            for (auto line = std::string {}; std::getline(record, line);)
                takeLine(facts, node->name(), line);
        }
    }
    return facts;
}

auto judge(const std::vector<CallResult> &results, const std::vector<RevisionSighting> &revisions,
           Cluster &cluster) -> Verdict
{
    auto judge = Judge { cluster };
    for (const auto &result : results)
        judge.takeResult(result);
    judge.takeFacts();
    judge.takeRevisions(revisions);
    return judge.verdict();
}

} // namespace figrack::testing
