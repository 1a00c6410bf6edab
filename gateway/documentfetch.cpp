#include "gateway/documentfetch.h"

#include <algorithm>
#include <set>
#include <utility>

#include "core/hash.h"
#include "core/log.h"

namespace figrack::gateway {

DocumentFetch::DocumentFetch(DocumentFetchOptions options, std::uint64_t key, const Clock &clock)
    : options_(options)
    , key_(key)
    , clock_(clock)
{ }

auto DocumentFetch::onKnown(const Address &control) -> void
{
    sources_.try_emplace(control);
}

auto DocumentFetch::onForgotten(const Address &control) -> void
{
    sources_.erase(control);
}

auto DocumentFetch::onAnnounced(const Address &control, Revision version) -> void
{
    auto &source = sources_[control];
    source.announced = version;
    source.hasAnnounced = true;
    if (!firstHeardAt_)
        firstHeardAt_ = clock_.now();
    startMeasuring();
}

auto DocumentFetch::onLost(const Address &control) -> void
{
    const auto found = sources_.find(control);
    if (found != sources_.end())
        found->second = Source {};
}

auto DocumentFetch::onFailed(const Address &control) -> void
{
    const auto found = sources_.find(control);
    if (found == sources_.end())
        return;
    found->second.pending.reset();
    found->second.notBefore = clock_.now() + options_.failedPause;
}

auto DocumentFetch::onManifest(const Address &control, const proto::ManifestReply &reply) -> void
{
    onAnswer(control);
    // The control may have restarted, or another one may use its address, so its earlier
    // announcement is no longer valid.
    sources_[control].announced = reply.version;
    if (reply.version <= version_ || target_)
        return;
    target_ = Target { reply.version, reply.blocks, 0 };
    auto wanted = std::set<catalogue::BlockId> {};
    for (const auto &ref : reply.blocks)
        wanted.insert(ref.id);
    std::erase_if(blocks_, [&](const auto &item) { return !wanted.contains(item.first); });
}

auto DocumentFetch::onBlocks(const Address &control, const proto::BlocksReply &reply) -> void
{
    onAnswer(control);
    if (!target_)
        return;
    auto took = false;
    for (const auto &bytes : reply.blocks) {
        const auto id = catalogue::blockIdOf(bytes);
        const auto isWanted = std::any_of(target_->blocks.begin(), target_->blocks.end(),
                                          [&](const auto &ref) { return ref.id == id; });
        if (!isWanted)
            continue;
        took = true;
        if (blocks_.try_emplace(id, bytes).second)
            target_->fetchedBytes += bytes.size();
    }
    // A control keeps the blocks of only a few documents and no longer has those of the target.
    // Blocks that were already fetched may be used for a newer document.
    if (!took && !missing().empty())
        target_.reset();
}

auto DocumentFetch::next() -> std::vector<DocumentAsk>
{
    noteOverdue();
    auto asks = std::vector<DocumentAsk> {};
    if (isWaiting() || !mayBegin())
        return asks;
    // If no reachable control holds the target any more, fetch an older document that is still
    // newer than the one in force.
    if (target_ && newestAnnounced() < target_->version && newestAnnounced() > version_)
        target_.reset();
    if (target_) {
        const auto control = bestSource(target_->version);
        auto blocks = missing();
        if (!control || blocks.empty())
            return asks;
        ask(*control);
        asks.emplace_back(BlocksAsk { *control, std::move(blocks) });
        return asks;
    }
    const auto newest = newestAnnounced();
    if (newest <= version_)
        return asks;
    if (const auto control = bestSource(newest)) {
        ask(*control);
        asks.emplace_back(ManifestAsk { *control, newest });
    }
    return asks;
}

auto DocumentFetch::nextCheckAt() const -> std::optional<Instant>
{
    auto result = std::optional<Instant> {};
    for (const auto &[control, source] : sources_) {
        if (source.pending && !source.pending->isOverdue)
            result = std::min(result.value_or(Instant::max()), source.pending->overdueAt);
    }
    if (result || newestAnnounced() <= version_)
        return result;
    if (firstHeardAt_ && !mayBegin())
        return *firstHeardAt_ + options_.majorityTimeout;
    for (const auto &[control, source] : sources_) {
        if (source.announced > version_ && source.notBefore > clock_.now())
            result = std::min(result.value_or(Instant::max()), source.notBefore);
    }
    return result;
}

auto DocumentFetch::take() -> std::optional<FetchedDocument>
{
    if (!target_ || !missing().empty())
        return std::nullopt;
    auto document = FetchedDocument {};
    document.version = target_->version;
    document.fetchedBytes = target_->fetchedBytes;
    document.asked = std::exchange(asked_, 0);
    document.overdue = std::exchange(overdue_, 0);
    if (firstLackingAt_)
        document.took = clock_.now() - *firstLackingAt_;
    auto held = std::map<catalogue::BlockId, std::string> {};
    for (const auto &ref : target_->blocks) {
        const auto &bytes = blocks_.at(ref.id);
        document.text += bytes;
        held.try_emplace(ref.id, bytes);
    }
    blocks_ = std::move(held);
    version_ = document.version;
    target_.reset();
    firstLackingAt_.reset();
    startMeasuring();
    return document;
}

auto DocumentFetch::noteOverdue() -> void
{
    const auto now = clock_.now();
    for (auto &[control, source] : sources_) {
        if (!source.pending || source.pending->isOverdue || now < source.pending->overdueAt)
            continue;
        source.pending->isOverdue = true;
        ++unanswered_;
        ++overdue_;
        LogEvent(LogLevel::Warning, "document_question_overdue")
                .with("control", control.text())
                .with("held", version_)
                .with("wanted", newestAnnounced())
                .with("unanswered", std::uint64_t { unanswered_ });
    }
}

auto DocumentFetch::mayBegin() const -> bool
{
    if (version_ != Revision {})
        return true;
    if (!firstHeardAt_)
        return false;
    const auto announced = std::count_if(sources_.begin(), sources_.end(),
                                         [](const auto &item) { return item.second.hasAnnounced; });
    const auto isMajority = 2 * static_cast<std::size_t>(announced) > sources_.size();
    return isMajority || clock_.now() >= *firstHeardAt_ + options_.majorityTimeout;
}

auto DocumentFetch::newestAnnounced() const -> Revision
{
    auto newest = Revision {};
    for (const auto &[control, source] : sources_)
        newest = std::max(newest, source.announced);
    return newest;
}

auto DocumentFetch::isWaiting() const -> bool
{
    return std::any_of(sources_.begin(), sources_.end(), [](const auto &item) {
        return item.second.pending && !item.second.pending->isOverdue;
    });
}

/// @return the first control, in this gateway's order, that holds the version and has no pending
/// request; nullopt if there is none
auto DocumentFetch::bestSource(Revision version) const -> std::optional<Address>
{
    auto best = std::optional<Address> {};
    auto bestWeight = std::uint64_t { 0 };
    for (const auto &[control, source] : sources_) {
        if (source.announced < version || source.pending || clock_.now() < source.notBefore)
            continue;
        const auto weight = rendezvousWeight(key_, control.text());
        if (best && weight <= bestWeight)
            continue;
        best = control;
        bestWeight = weight;
    }
    return best;
}

auto DocumentFetch::ask(const Address &control) -> void
{
    auto wait = options_.overdueAfter;
    for (auto i = 0U; i < unanswered_ && wait < options_.longestOverdueAfter; ++i)
        wait *= 2;
    sources_[control].pending
            = PendingRequest { clock_.now() + std::min(wait, options_.longestOverdueAfter), false };
    ++asked_;
}

/// @return the first missing blocks of the target, at most one batch
auto DocumentFetch::missing() const -> std::vector<catalogue::BlockId>
{
    auto result = std::vector<catalogue::BlockId> {};
    auto seen = std::set<catalogue::BlockId> {};
    auto bytes = std::uint64_t { 0 };
    for (const auto &ref : target_->blocks) {
        if (blocks_.contains(ref.id) || !seen.insert(ref.id).second)
            continue;
        bytes += ref.bytes;
        if (!result.empty() && bytes > options_.batchBytes)
            break;
        result.push_back(ref.id);
    }
    return result;
}

auto DocumentFetch::onAnswer(const Address &control) -> void
{
    auto &source = sources_[control];
    source.pending.reset();
    unanswered_ = 0;
}

auto DocumentFetch::startMeasuring() -> void
{
    if (!firstLackingAt_ && newestAnnounced() > version_)
        firstLackingAt_ = clock_.now();
}

} // namespace figrack::gateway
