// Index of which endpoints hold which prompt prefixes, built from cache events that arrive late
// and with gaps.
//
//   if (!index.apply(slot, batch)) ...      // a gap: distrusted until a snapshot arrives
//   auto match = index.deepest(prefix);
//
// An endpoint whose events have a gap is excluded from every match until a snapshot arrives,
// since a wrong match would cost a longer queue without any benefit. Block hashes are chained,
// so the deepest known block identifies the whole prefix. Bounded: blocks past the bounds are
// not stored, which only loses matches.

#ifndef FIGRACK_POLICY_PREFIXINDEX_H
#define FIGRACK_POLICY_PREFIXINDEX_H

#include <cstddef>
#include <cstdint>
#include <span>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace figrack::policy {

struct PrefixBounds
{
    std::size_t blocksPerEndpoint = 4096;
    std::size_t blocks = 262144; ///< Over all endpoints.
    std::size_t holders = 32;    ///< Endpoints stored for one block.
};

/// Events of one endpoint's cache in order.
struct PrefixBatch
{
    std::uint64_t first = 0; ///< Sequence of the first event; for a snapshot, of the next event.
    bool snapshot = false;
    std::span<const std::uint64_t> added;
    std::span<const std::uint64_t> removed;
};

class PrefixIndex
{
public:
    using Slot = std::uint32_t; ///< The caller's number for an endpoint.

    struct Match
    {
        std::size_t depth = 0; ///< Blocks of the prompt that are cached.
        std::span<const Slot> holders;
    };

    explicit PrefixIndex(PrefixBounds bounds)
        : bounds_(bounds)
    { }

    /// @return false when the endpoint is distrusted after the batch
    auto apply(Slot slot, const PrefixBatch &batch) -> bool;
    auto isDistrusted(Slot slot) const -> bool;
    /// @return the endpoints that hold the longest prefix of a prompt; valid until the next change
    auto deepest(std::span<const std::uint64_t> prefix) const -> Match;
    auto forget(Slot slot) -> void;
    /// @return blocks stored, over all endpoints
    auto size() const -> std::size_t { return total_; }

private:
    struct Cache
    {
        std::unordered_set<std::uint64_t> blocks;
        std::uint64_t next = 0; ///< Sequence of the next event.
        std::uint32_t staleBatches = 0;
        bool started = false;
        bool distrusted = false;
    };

    auto distrust(Slot slot, Cache &cache) -> bool;
    auto add(Slot slot, Cache &cache, std::uint64_t block) -> void;
    auto remove(Slot slot, Cache &cache, std::uint64_t block) -> void;
    auto clear(Slot slot, Cache &cache) -> void;
    auto dropHolder(Slot slot, std::uint64_t block) -> void;

    PrefixBounds bounds_;
    std::unordered_map<Slot, Cache> caches_;
    std::unordered_map<std::uint64_t, std::vector<Slot>> holders_;
    std::size_t total_ = 0;
};

} // namespace figrack::policy

#endif // FIGRACK_POLICY_PREFIXINDEX_H
