// The disk, the clock and the state machine of the simulation.

#include <algorithm>

#include "coord/testing/simnet.h"
#include "core/error.h"

namespace figrack::coord::testing {

auto SimDisk::beforeWrite() -> bool
{
    if (unsynced_ > 0) {
        history_.push_back(content_);
        if (history_.size() > unsynced_)
            history_.erase(history_.begin());
    }
    if (crashIn_ == 0 || --crashIn_ > 0)
        return false;
    if (random_.chance(0.5))
        throw Crashed {};
    return true;
}

auto SimDisk::finishWrite(bool crash) -> absl::Status
{
    if (crash)
        throw Crashed {};
    return absl::OkStatus();
}

auto SimDisk::powerOff() -> void
{
    crashIn_ = 0;
    if (!history_.empty())
        content_ = history_[random_.below(history_.size())];
    history_.clear();
}

auto SimDisk::wipe() -> void
{
    content_ = Recovered {};
    history_.clear();
}

auto SimDisk::recover() -> absl::StatusOr<Recovered>
{
    return content_;
}

auto SimDisk::saveIdentity(const Identity &identity) -> absl::Status
{
    const auto crash = beforeWrite();
    content_.identity = identity;
    return finishWrite(crash);
}

auto SimDisk::saveVote(const Vote &vote) -> absl::Status
{
    if (!failure_.ok())
        return failure_;
    const auto crash = beforeWrite();
    content_.vote = vote;
    return finishWrite(crash);
}

auto SimDisk::append(const std::vector<Entry> &entries) -> absl::Status
{
    if (!failure_.ok())
        return failure_;
    const auto crash = beforeWrite();
    const auto kept = crash ? random_.below(entries.size() + 1) : entries.size();
    content_.entries.insert(content_.entries.end(), entries.begin(),
                            entries.begin() + static_cast<std::ptrdiff_t>(kept));
    return finishWrite(crash);
}

auto SimDisk::truncate(LogIndex from) -> absl::Status
{
    if (!failure_.ok())
        return failure_;
    const auto crash = beforeWrite();
    std::erase_if(content_.entries, [&](const Entry &entry) { return entry.index >= from; });
    return finishWrite(crash);
}

auto SimDisk::saveSnapshot(const Snapshot &snapshot) -> absl::Status
{
    if (!failure_.ok())
        return failure_;
    const auto crash = beforeWrite();
    const auto follows = termAt(snapshot.lastIndex) == snapshot.lastTerm;
    std::erase_if(content_.entries, [&](const Entry &entry) {
        return !follows || entry.index <= snapshot.lastIndex;
    });
    content_.snapshot = snapshot;
    return finishWrite(crash);
}

auto SimDisk::readSnapshot() -> absl::StatusOr<Snapshot>
{
    if (!content_.snapshot)
        return makeError(ErrorKind::Corrupt, "snapshot=missing");
    return *content_.snapshot;
}

auto SimDisk::termAt(LogIndex index) const -> std::optional<Term>
{
    if (content_.snapshot && index == content_.snapshot->lastIndex)
        return content_.snapshot->lastTerm;
    if (content_.entries.empty() || index < content_.entries.front().index
        || index > content_.entries.back().index)
        return std::nullopt;
    return content_.entries[index.value() - content_.entries.front().index.value()].term;
}

auto SimDisk::holds(LogIndex index, Term term) const -> bool
{
    if (content_.snapshot && index <= content_.snapshot->lastIndex)
        return true;
    return termAt(index) == term;
}

auto SkewedClock::now() const -> Instant
{
    const auto elapsed = static_cast<double>(trueNow_.time_since_epoch().count()) * rate_;
    return Instant { Duration { static_cast<Duration::rep>(elapsed) } + offset_ };
}

auto SkewedClock::wallNow() const -> WallTime
{
    return WallTime { std::chrono::duration_cast<std::chrono::milliseconds>(
            now().time_since_epoch()) };
}

auto SimState::apply(const Entry &entry) -> void
{
    for (const auto byte : entry.data)
        hash_ = (hash_ ^ static_cast<unsigned char>(byte)) * 0x100000001b3U;
    hash_ = (hash_ ^ entry.index.value()) * 0x100000001b3U;
}

auto SimState::snapshot() const -> std::string
{
    return std::to_string(hash_) + " " + std::string(500, '.');
}

auto SimState::restore(std::string_view state, LogIndex /*lastIndex*/) -> absl::Status
{
    hash_ = std::stoull(std::string { state });
    return absl::OkStatus();
}

} // namespace figrack::coord::testing
