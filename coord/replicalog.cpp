// A deque over the store. Compaction keeps a tail behind the snapshot so that a
// follower a little behind is served entries and not the whole state.

#include "coord/replicalog.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "coord/membership.h"
#include "core/check.h"
#include "core/error.h"

namespace figrack::coord {

ReplicaLog::ReplicaLog(LogStore &store)
    : store_(store)
    , marks_ { MembershipMark {} }
{ }

auto ReplicaLog::load(const Recovered &recovered) -> absl::Status
{
    if (recovered.snapshot) {
        baseIndex_ = recovered.snapshot->lastIndex;
        baseTerm_ = recovered.snapshot->lastTerm;
        marks_ = { { baseIndex_, recovered.snapshot->membership } };
    }
    for (const auto &entry : recovered.entries) {
        if (entry.index != lastIndex().next() || entry.term < lastTerm())
            return makeError(ErrorKind::Corrupt,
                             fmt::format("log_index={} term={} reason=out_of_order",
                                         entry.index.value(), entry.term.value()));
        if (auto status = add(entry); !status.ok())
            return status;
        tell(entry, true);
    }
    return absl::OkStatus();
}

auto ReplicaLog::setStoredHook(StoredHook hook) -> void
{
    hook_ = std::move(hook);
    for (const auto &entry : entries_)
        tell(entry, true);
}

auto ReplicaLog::lastIndex() const -> LogIndex
{
    return LogIndex { baseIndex_.value() + entries_.size() };
}

auto ReplicaLog::lastTerm() const -> Term
{
    return entries_.empty() ? baseTerm_ : entries_.back().term;
}

auto ReplicaLog::termAt(LogIndex index) const -> std::optional<Term>
{
    if (index == baseIndex_)
        return baseTerm_;
    if (index < baseIndex_ || index > lastIndex())
        return std::nullopt;
    return at(index).term;
}

auto ReplicaLog::at(LogIndex index) const -> const Entry &
{
    FIGRACK_CHECK(index > baseIndex_ && index <= lastIndex(), "an entry read is in memory");
    return entries_[index.value() - baseIndex_.value() - 1];
}

auto ReplicaLog::slice(LogIndex from, LogIndex upTo, std::size_t maxEntries,
                       std::size_t maxBytes) const -> std::vector<Entry>
{
    auto result = std::vector<Entry> {};
    auto size = std::size_t { 0 };
    for (auto index = from; index <= upTo && result.size() < maxEntries; index = index.next()) {
        const auto &entry = at(index);
        size += entry.data.size();
        if (!result.empty() && size > maxBytes)
            break;
        result.push_back(entry);
    }
    return result;
}

auto ReplicaLog::append(const std::vector<Entry> &entries) -> absl::Status
{
    if (auto status = persist(entries); !status.ok())
        return status;
    return stage(entries);
}

auto ReplicaLog::stage(const std::vector<Entry> &entries) -> absl::Status
{
    for (const auto &entry : entries) {
        FIGRACK_CHECK(entry.index == lastIndex().next(), "the log has no gap");
        FIGRACK_CHECK(entry.term >= lastTerm(), "terms never fall along the log");
        if (auto status = add(entry); !status.ok())
            return status;
        tell(entry, true);
    }
    return absl::OkStatus();
}

auto ReplicaLog::persist(const std::vector<Entry> &entries) -> absl::Status
{
    return store_.append(entries);
}

auto ReplicaLog::truncate(LogIndex from) -> absl::Status
{
    if (from > lastIndex())
        return absl::OkStatus();
    if (auto status = store_.truncate(from); !status.ok())
        return status;
    while (lastIndex() >= from) {
        tell(entries_.back(), false);
        dropBack();
    }
    return absl::OkStatus();
}

auto ReplicaLog::compact(const Snapshot &snapshot, std::size_t keepEntries, std::size_t keepBytes)
        -> absl::Status
{
    if (auto status = store_.saveSnapshot(snapshot); !status.ok())
        return status;
    auto behind = [&] { return snapshot.lastIndex.value() - baseIndex_.value(); };
    while (baseIndex_ < snapshot.lastIndex && (behind() > keepEntries || bytes_ > keepBytes))
        dropFront();
    forgetMarksBefore(baseIndex_);
    return absl::OkStatus();
}

auto ReplicaLog::install(const Snapshot &snapshot) -> absl::Status
{
    const auto own = termAt(snapshot.lastIndex);
    if (own && *own != snapshot.lastTerm) {
        // What conflicts with a committed entry was never committed; it goes first, so that a
        // crash in between leaves no stale tail behind the snapshot.
        if (auto status = truncate(snapshot.lastIndex); !status.ok())
            return status;
    }
    if (auto status = store_.saveSnapshot(snapshot); !status.ok())
        return status;
    if (own && *own == snapshot.lastTerm)
        return absl::OkStatus();
    for (; !entries_.empty(); dropBack())
        tell(entries_.back(), false);
    baseIndex_ = snapshot.lastIndex;
    baseTerm_ = snapshot.lastTerm;
    marks_ = { { baseIndex_, snapshot.membership } };
    return absl::OkStatus();
}

auto ReplicaLog::membership() const -> const Membership &
{
    return marks_.back().membership;
}

auto ReplicaLog::membershipIndex() const -> LogIndex
{
    return marks_.back().index;
}

auto ReplicaLog::membershipAt(LogIndex index) const -> const Membership &
{
    auto after = std::find_if(marks_.begin() + 1, marks_.end(),
                              [&](const MembershipMark &mark) { return mark.index > index; });
    return std::prev(after)->membership;
}

auto ReplicaLog::add(const Entry &entry) -> absl::Status
{
    if (entry.kind == EntryKind::Membership) {
        auto membership = decodeMembership(entry.data);
        if (!membership.ok())
            return makeError(ErrorKind::Corrupt,
                             fmt::format("log_index={} reason=membership", entry.index.value()));
        marks_.push_back({ entry.index, *std::move(membership) });
    }
    bytes_ += entry.data.size();
    entries_.push_back(entry);
    return absl::OkStatus();
}

auto ReplicaLog::dropBack() -> void
{
    const auto &entry = entries_.back();
    bytes_ -= entry.data.size();
    if (entry.kind == EntryKind::Membership && marks_.size() > 1)
        marks_.pop_back();
    entries_.pop_back();
}

auto ReplicaLog::dropFront() -> void
{
    const auto &entry = entries_.front();
    bytes_ -= entry.data.size();
    baseIndex_ = entry.index;
    baseTerm_ = entry.term;
    entries_.pop_front();
}

auto ReplicaLog::forgetMarksBefore(LogIndex index) -> void
{
    while (marks_.size() > 1 && marks_[1].index <= index)
        marks_.erase(marks_.begin());
}

auto ReplicaLog::tell(const Entry &entry, bool stored) const -> void
{
    if (hook_)
        hook_(entry, stored);
}

} // namespace figrack::coord
