// Identifies work that must not run because several endpoints ended while running it.
//
//   if (quarantine.verdict(works, now).standing == Standing::Quarantined) refuse();
//   quarantine.onEnd(works, account, endpoint, now);         // the endpoint ended while running it
//   quarantine.onCompleted(works, now);                      // a run of it completed
//   quarantine.onPartEnd(part, service, endpoint, now);      // the same for a part of a prompt
//   quarantine.onPartsGoOn(parts, now);                      // an answer to these has gone on
//   for (row : quarantine.takeLocalChanges(now)) send(row);  // rows that peers do not have yet
//   quarantine.merge(row, now);                              // a row received from a peer
//
// When an endpoint ends, all work in progress there is suspected equally. Harmless work is
// seldom in progress at several endpoints as they end, and it completes in between; work that
// crashes the endpoint that runs it never completes. So work is quarantined after three ends
// without a completed run in between: it is refused for ten minutes, then admitted once more,
// and refused for twice as long after each further end. Work that has completed recently is
// not suspected: when equal requests arrive all the time, several of them may be in progress
// where endpoints end together.
//
// A part of prompts that many requests share is suspected by the same rules, with three
// differences. An endpoint ends as it begins to write an answer on a harmful part, so an answer
// that goes on clears its parts long before it is complete. Since a sound part may be in progress
// at many endpoints that end together, ends that are close together count as one. And since other
// gateways may know that the part is sound, an end counts only after the time in which they say so.
// From two such ends on, requests with the part run one at a time. It is quarantined after a third
// end that came so late that its request ran alone, or after five ends.
//
// Rows are grow-only sets and merging is a union, so tables that received the same ends, in
// any order and any number of times, agree. Pure: no I/O, no clock. The number of rows, rows
// per client account and ends per row are bounded; the row with the fewest ends is evicted,
// the oldest one of those first. Not thread-safe.

#ifndef FIGRACK_POLICY_QUARANTINE_H
#define FIGRACK_POLICY_QUARANTINE_H

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "catalogue/suspect.h"
#include "policy/tables.h"

namespace figrack::policy {

struct QuarantineOptions
{
    /// Ends after which work is refused. With two, if a quarter of a service's endpoints end and
    /// then a quarter again, some harmless work that was retried after the first wave would be
    /// refused. With four, harmful work ends one more endpoint.
    std::uint32_t endsUntilQuarantine = 3;
    /// Duration of the first quarantine: about the time to release or repair a model. Doubles
    /// with each further end.
    Millis firstPeriod = 600'000;
    Millis longestPeriod = 86'400'000;
    /// Suspected work that is not in quarantine is dropped after this time without an end.
    Millis forgetSuspectAfter = 600'000;
    /// Work is not suspected for this long after a completed run. Longer than a series of ends with
    /// one common cause, such as the loss of a rack.
    Millis completionTtl = 30'000;
    /// Of a part, ends within this time count as one.
    Millis endsTogether = 200;
    /// An end counts for a part after this time: two messages between regions and a control's tick.
    Millis partEndDelay = 250;
    /// A part is not suspected for this long after an answer to it has gone on.
    Millis partGoesOnTtl = 10'000;
    /// Ends of a part from which on its requests run one at a time.
    std::uint32_t partEndsUntilSuspect = 2;
    /// Requests that were sent before the part ran one at a time have ended after this time. Until
    /// then, endpoints that end in waves end sound parts as often as harmful ones.
    Millis partRunsAloneAfter = 1000;
    /// Ends of a part, and of those that count apart, after which it is quarantined in any case.
    std::uint32_t partEndsUntilQuarantine = 5;
    std::uint32_t partEndsApart = 4;
    /// An answer that goes on is noted for a part once in this time.
    Millis partNoteInterval = 1000;
    std::size_t maxRows = 4096;
    std::size_t maxRowsPerAccount = 512;
    std::size_t maxEndsPerRow = 16;
    /// Completed runs that are kept for completionTtl; two for each request and those of parts, so
    /// this allows for more than 100 requests a second.
    std::size_t maxCompleted = 8192;
};

enum class Standing : std::uint8_t {
    Clear,
    Suspect,     ///< Runs one at a time.
    Quarantined, ///< Does not run.
};

/// @return "clear", "suspect" or "quarantined"
auto standingName(Standing standing) -> std::string_view;

struct Verdict
{
    Standing standing = Standing::Clear;
    std::uint32_t ends = 0; ///< Endpoints that ended while running it, less those cleared.
    Millis releaseIn = 0;   ///< Time until it is admitted once more; 0 unless quarantined.
};

class Quarantine
{
public:
    explicit Quarantine(QuarantineOptions options);
    /// Records that an endpoint ended while the work was in progress there.
    /// @param account hash of the work's client account
    /// @return true when this end was not known
    auto onEnd(const catalogue::WorkIds &works, std::uint64_t account, const EndpointId &endpoint,
               Millis now) -> bool;
    /// Records that a run of the work completed and its endpoint survived.
    /// @return true when this clears ends that counted until now
    auto onCompleted(const catalogue::WorkIds &works, Millis now) -> bool;
    /// Records that an endpoint ended under a request whose answer had not begun, or only just.
    /// @return true when this end was not known for the part
    auto onPartEnd(const catalogue::WorkId &part, const ServiceId &service,
                   const EndpointId &endpoint, Millis now) -> bool;
    /// Records that an answer to a request with these parts goes on.
    /// @return true when this clears ends that counted until now
    auto onPartsGoOn(const std::vector<catalogue::WorkId> &parts, Millis now) -> bool;
    /// @return ends that are not cleared, whether they count yet or not
    auto openEnds(const catalogue::WorkId &work) const -> std::uint32_t;
    auto isSuspected(const catalogue::WorkId &work) const -> bool { return openEnds(work) > 0; }
    /// Merges a row of another table. @return true when the row contained something new
    auto merge(const catalogue::SuspectRow &row, Millis now) -> bool;
    auto verdict(const catalogue::WorkId &work, Millis now) const -> Verdict;
    /// @return the worse verdict of the two identities of the work
    auto verdict(const catalogue::WorkIds &works, Millis now) const -> Verdict;
    /// @return the worst verdict of the work and the parts
    auto verdict(const catalogue::WorkIds &works, const std::vector<catalogue::WorkId> &parts,
                 Millis now) const -> Verdict;
    /// @return the current row; its lists are empty when the work is unknown
    auto row(const catalogue::WorkId &work, Millis now) const -> catalogue::SuspectRow;
    /// @return the rows with at least leastEnds ends that count
    auto rows(std::uint32_t leastEnds, Millis now) const -> std::vector<catalogue::SuspectRow>;
    /// @return the rows changed since the last call, except by merge() of a peer's row
    auto takeLocalChanges(Millis now) -> std::vector<catalogue::SuspectRow>;
    auto size() const -> std::size_t { return rows_.size(); }
    /// @return the number of rows in quarantine
    auto quarantined(Millis now) const -> std::size_t;

private:
    struct SuspectEntry
    {
        catalogue::WorkKind kind = catalogue::WorkKind::Request;
        std::uint64_t account = 0;
        std::map<EndpointId, Millis> ended; ///< When, as first heard of.
        std::set<EndpointId> acquitted;
        Millis lastEndAt = 0;
        /// @return ends that are not acquitted
        auto open() const -> std::uint32_t;
    };
    using Rows = std::map<catalogue::WorkId, SuspectEntry>;

    auto recordEnd(const catalogue::WorkId &work, catalogue::WorkKind kind, std::uint64_t account,
                   const EndpointId &endpoint, Millis now) -> bool;
    auto recordCompleted(const catalogue::WorkId &work, Millis now) -> bool;
    /// @return ends that count against the work
    auto endsOf(const SuspectEntry &known, Millis now) const -> std::uint32_t;
    auto endsOfPart(const SuspectEntry &known, Millis now) const -> std::uint32_t;
    auto suspectFrom(catalogue::WorkKind kind) const -> std::uint32_t;
    auto period(std::uint32_t ends) const -> Millis;
    auto isExpired(const SuspectEntry &known, Millis now) const -> bool;
    auto completedRecently(const catalogue::WorkId &work, catalogue::WorkKind kind,
                           Millis now) const -> bool;
    static auto acquit(SuspectEntry &known) -> bool;
    auto makeRoom(std::uint64_t account, Millis now) -> void;
    auto eraseExpired(Millis now) -> void;
    auto erase(Rows::iterator item) -> Rows::iterator;
    static auto toRow(const catalogue::WorkId &work, const SuspectEntry &known, Millis now)
            -> catalogue::SuspectRow;

    QuarantineOptions options_;
    Rows rows_;
    std::map<std::uint64_t, std::size_t> rowsOfAccount_;
    std::set<catalogue::WorkId> localChanges_; ///< For takeLocalChanges().
    std::unordered_map<catalogue::WorkId, Millis>
            completedAt_; ///< Time of the latest completed run.
    std::deque<std::pair<Millis, catalogue::WorkId>> completions_;
};

} // namespace figrack::policy

#endif // FIGRACK_POLICY_QUARANTINE_H
