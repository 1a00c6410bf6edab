// Which work may not run, since endpoint after endpoint ended while they ran it.
//
//   if (quarantine.verdict(works, now).standing == Standing::Quarantined) refuse();
//   quarantine.onEnd(works, account, endpoint, now);   // the endpoint ended under it
//   quarantine.onCompleted(works, now);                // a run of it has ended well
//   for (row : quarantine.takeLocalChanges(now)) tell(row);    // what others do not know yet
//   quarantine.merge(row, now);                       // what others told
//
// When an endpoint ends, all work in progress there is suspected alike. Sound
// work is seldom in progress at several endpoints as they end, and completes in
// between; work that ends what runs it never completes. So after three ends
// without a completed run in between the work is in quarantine: refused for ten
// minutes, then admitted once more, and refused for twice as long with each
// further end. Work that has completed of late is not suspected: of equal
// requests that come all the time several may be in progress where endpoints
// end together.
//
// Rows are sets that grow, and merging is a union: tables that heard of the same
// ends, in any order and any number of times, agree. Pure: no I/O, no clock.
// Bounded by rows, by rows of one client account, and by ends of a row; what
// makes room is the row with the fewest ends, of those the oldest. Not thread-safe.

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
    /// Ends after which work is refused. With two, a wave in which a quarter of a service's
    /// endpoints end twice would refuse some sound work that was sent on from the first to the
    /// second; with four, one more endpoint ends under work that is not sound.
    std::uint32_t endsUntilQuarantine = 3;
    /// First time in quarantine; as long as a release or a repair of a model takes. Doubles.
    Millis firstPeriod = 600'000;
    Millis longestPeriod = 86'400'000;
    /// Work that is suspected and not in quarantine is forgotten after so long without an end.
    Millis forgetSuspectAfter = 600'000;
    /// A run that completed says so long that the work is sound; longer than a series of ends that
    /// have one cause, such as the loss of a rack.
    Millis soundFor = 30'000;
    std::size_t maxRows = 4096;
    std::size_t maxRowsPerAccount = 512;
    std::size_t maxEndsPerRow = 16;
    /// Completed work that is remembered for soundFor: 130 requests a second.
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
    std::uint32_t ends = 0; ///< Endpoints that ended under it and count.
    Millis releaseIn = 0;   ///< Until it is admitted once more; 0 unless it is in quarantine.
};

class Quarantine
{
public:
    explicit Quarantine(QuarantineOptions options);
    /// An endpoint ended while the work was in progress there. @param account hash of its caller
    /// @return true when that was not known
    auto onEnd(const catalogue::WorkIds &works, std::uint64_t account, const EndpointId &endpoint,
               Millis now) -> bool;
    /// A run of the work has come to its end, and the endpoint lives on.
    /// @return true when that clears ends which counted
    auto onCompleted(const catalogue::WorkIds &works, Millis now) -> bool;
    /// Takes over what another table knows. @return true when it says something new
    auto merge(const catalogue::SuspectRow &row, Millis now) -> bool;
    auto verdict(const catalogue::WorkId &work, Millis now) const -> Verdict;
    /// @return the worse one of the two ways to know the work
    auto verdict(const catalogue::WorkIds &works, Millis now) const -> Verdict;
    /// @return the row as it stands now; empty lists when nothing is known of the work
    auto row(const catalogue::WorkId &work, Millis now) const -> catalogue::SuspectRow;
    /// @return the rows with so many ends that count, or more
    auto rows(std::uint32_t leastEnds, Millis now) const -> std::vector<catalogue::SuspectRow>;
    /// @return the rows that changed here since the last call, but for what merge() took over
    auto takeLocalChanges(Millis now) -> std::vector<catalogue::SuspectRow>;
    auto size() const -> std::size_t { return rows_.size(); }
    /// @return rows of work in quarantine
    auto quarantined(Millis now) const -> std::size_t;

private:
    struct Known
    {
        std::uint64_t account = 0;
        std::set<EndpointId> ended;
        std::set<EndpointId> acquitted;
        Millis lastEndAt = 0;
        auto ends() const -> std::uint32_t;
    };
    using Rows = std::map<catalogue::WorkId, Known>;

    auto noteEnd(const catalogue::WorkId &work, std::uint64_t account, const EndpointId &endpoint,
                 Millis now) -> bool;
    auto noteCompleted(const catalogue::WorkId &work, Millis now) -> bool;
    auto period(std::uint32_t ends) const -> Millis;
    auto isForgotten(const Known &known, Millis now) const -> bool;
    auto completedOfLate(const catalogue::WorkId &work, Millis now) const -> bool;
    static auto acquit(Known &known) -> bool;
    auto makeRoom(std::uint64_t account, Millis now) -> void;
    auto forget(Millis now) -> void;
    auto erase(Rows::iterator item) -> Rows::iterator;
    static auto toRow(const catalogue::WorkId &work, const Known &known, Millis now)
            -> catalogue::SuspectRow;

    QuarantineOptions options_;
    Rows rows_;
    std::map<std::uint64_t, std::size_t> rowsOfAccount_;
    std::set<catalogue::WorkId> own_;                           ///< For takeLocalChanges().
    std::unordered_map<catalogue::WorkId, Millis> completedAt_; ///< The latest run.
    std::deque<std::pair<Millis, catalogue::WorkId>> completions_;
};

} // namespace figrack::policy

#endif // FIGRACK_POLICY_QUARANTINE_H
