// The endpoint of the affinity is left only when it has clearly more to do than
// the least loaded one: what is saved by a cached prompt is a few hundred
// milliseconds of one request, what a longer batch costs is paid by all in it.

#include "gateway/chooser.h"

#include <algorithm>
#include <array>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace figrack::gateway {
namespace {

/// Requests of this gateway by which the affine endpoint may exceed the least loaded one. Half of
/// a batch step's worth of prefill at the usual prompt size; a wider gap was not measured better.
constexpr auto affinitySlack = std::uint32_t { 2 };

auto isMissing(const EndpointEntry &entry, const Wish &wish, const std::string &adapter) -> bool
{
    const auto found = entry.missingUntil.find({ wish.model, adapter });
    return found != entry.missingUntil.end() && wish.now < found->second;
}

/// @param lack told Adapter when only that is missing
auto holds(const EndpointEntry &entry, const Wish &wish, Lack &lack) -> bool
{
    if (wish.model.empty())
        return true;
    const auto *held = entry.row.find(wish.model);
    if (held == nullptr || isMissing(entry, wish, {}))
        return false;
    if (wish.adapter.empty())
        return true;
    if (held->hasAdapter(wish.adapter) && !isMissing(entry, wish, wish.adapter))
        return true;
    if (!wish.avoided.contains(entry.row.id))
        lack = Lack::Adapter;
    return false;
}

auto leastLoaded(const std::vector<EndpointEntry *> &entries, Random &random) -> EndpointEntry *
{
    auto *best = entries.front();
    auto equals = std::uint64_t { 0 };
    for (auto *entry : entries) {
        if (entry->running < best->running) {
            best = entry;
            equals = 1;
        } else if (entry->running == best->running && random.below(++equals) == 0) {
            best = entry;
        }
    }
    return best;
}

auto affineEndpoint(const std::vector<EndpointEntry *> &entries, std::uint64_t key)
        -> EndpointEntry *
{
    return *std::max_element(entries.begin(), entries.end(),
                             [key](const EndpointEntry *one, const EndpointEntry *other) {
                                 return rendezvousWeight(key, one->row.id)
                                         < rendezvousWeight(key, other->row.id);
                             });
}

} // namespace

auto lackName(Lack lack) -> std::string_view
{
    constexpr auto names
            = std::array<std::string_view, 4> { "none", "endpoint", "model", "adapter" };
    return names[static_cast<std::size_t>(lack) % names.size()];
}

auto mixHash(std::uint64_t one, std::uint64_t other) -> std::uint64_t
{
    const auto both = std::array<std::uint64_t, 2> { one, other };
    return XXH3_64bits(both.data(), sizeof(both));
}

auto rendezvousWeight(std::uint64_t key, const EndpointId &endpoint) -> std::uint64_t
{
    return XXH3_64bits_withSeed(endpoint.value().data(), endpoint.value().size(), key);
}

auto choose(const std::vector<EndpointEntry *> &candidates, const Wish &wish,
            const std::function<bool(const EndpointEntry &)> &isHealthy, Random &random) -> Choice
{
    if (candidates.empty())
        return { nullptr, Lack::Endpoint };
    auto lack = wish.model.empty() ? Lack::Endpoint : Lack::Model;
    auto healthy = std::vector<EndpointEntry *> {};
    auto doubtful = std::vector<EndpointEntry *> {};
    for (auto *entry : candidates) {
        if (!holds(*entry, wish, lack) || wish.avoided.contains(entry->row.id))
            continue;
        (isHealthy(*entry) ? healthy : doubtful).push_back(entry);
    }
    const auto &usable = healthy.empty() ? doubtful : healthy;
    if (usable.empty())
        return { nullptr, lack };
    auto *least = leastLoaded(usable, random);
    if (wish.affinity == 0)
        return { least, Lack::Nothing };
    auto *affine = affineEndpoint(usable, wish.affinity);
    const auto keepsUp = affine->running <= least->running + affinitySlack;
    return { keepsUp ? affine : least, Lack::Nothing };
}

} // namespace figrack::gateway
