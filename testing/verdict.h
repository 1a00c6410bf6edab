// Judges a run by the callers' and the fake endpoints' own records, and by what
// the controls say they decided; never by the routers' word.
//
//   auto verdict = judge(results, cluster);
//   for (const auto &violation : verdict.violations) ...
//
// Guarantee: no figure depends on how fast the machine is, but for `late`,
// whose limits the calls set generously.

#ifndef FIGRACK_TESTING_VERDICT_H
#define FIGRACK_TESTING_VERDICT_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "testing/calleragent.h"
#include "testing/cluster.h"

namespace figrack::testing {

/// One execution at a fake endpoint.
struct RunFact
{
    std::string endpoint;
    std::string key;
    std::uint64_t resumedFrom = 0;
};

/// One load that a fake endpoint carried out.
struct LoadFact
{
    std::string endpoint;
    std::string model;
    std::uint64_t order = 0;
    std::uint64_t fence = 0;
};

/// All the fakes' records together.
struct FakeFacts
{
    std::map<std::string, std::vector<RunFact>> runs; ///< By request id.
    std::map<std::string, std::uint64_t> keyRuns;     ///< Executions by idempotency key.
    std::vector<LoadFact> loads;
    std::map<std::string, std::uint64_t> counts; ///< Of each event.
};

/// A field of a line of key=value pairs. @return empty when it is not there
auto lineField(const std::string &line, std::string_view key) -> std::string;

auto readFakeFacts(Cluster &cluster) -> FakeFacts;

/// What was seen of the configuration's revision in one place, in order of time.
struct RevisionSighting
{
    std::string where;
    std::uint64_t revision = 0;
};

struct Verdict
{
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::map<std::string, std::uint64_t> refusals; ///< By code and whether it ran.
    std::uint64_t left = 0;                        ///< The caller went away on purpose.
    std::uint64_t lostToFault = 0; ///< Cut by the SIGKILL or SIGSTOP of the router that held it.
    std::uint64_t dropped = 0;     ///< No whole right answer and no typed refusal in time.
    std::uint64_t duplicated = 0;  ///< Runs too many of a key, and answers with a token twice.
    std::uint64_t overcommitted = 0;
    std::uint64_t excessReplicas = 0; ///< Loads that nobody decided, or carried out twice.
    std::uint64_t falseNotRun = 0;    ///< Refused as not_run, yet on a fake's record.
    std::uint64_t lateWork = 0;       ///< New at an endpoint 5 s after it began to leave.
    std::uint64_t revisionFalls = 0;
    std::uint64_t failedChecks = 0; ///< Invariants that a process of the cluster saw broken.
    std::vector<std::string> violations;
    auto isGood() const -> bool { return violations.empty(); }
};

auto judge(const std::vector<CallResult> &results, const std::vector<RevisionSighting> &revisions,
           Cluster &cluster) -> Verdict;

} // namespace figrack::testing

#endif // FIGRACK_TESTING_VERDICT_H
