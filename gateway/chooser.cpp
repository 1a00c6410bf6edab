// A request is sent to the endpoint with the highest affinity unless that endpoint is clearly more
// loaded than the least loaded one: a cached prompt saves a few hundred milliseconds of one
// request, while a longer batch slows down every request in it.
//
// All gateways know the loads only with a delay. If each chose the least loaded endpoint, all of
// them would choose the same one until the next update. So each draws two endpoints at random and
// takes the less loaded one.

#include "gateway/chooser.h"

#include <algorithm>
#include <array>

#include "core/hash.h"

namespace figrack::gateway {
namespace {

/// Maximum load, in requests weighted by their prompts, by which the affine endpoint may exceed the
/// least loaded one. It corresponds to two long prompts.
constexpr auto affinitySlack = std::uint32_t { 12 };

auto isMissing(const EndpointEntry &entry, const Criteria &criteria, const std::string &adapter)
        -> bool
{
    const auto found = entry.missingUntil.find({ criteria.model, adapter });
    return found != entry.missingUntil.end() && criteria.now < found->second;
}

/// @param blockedBy set to Adapter if only the adapter is missing
auto holds(const EndpointEntry &entry, const Criteria &criteria, BlockedBy &blockedBy) -> bool
{
    if (criteria.model.empty())
        return true;
    const auto *held = entry.row.find(criteria.model);
    if (held == nullptr || isMissing(entry, criteria, {}))
        return false;
    if (criteria.adapter.empty())
        return true;
    if (held->hasAdapter(criteria.adapter) && !isMissing(entry, criteria, criteria.adapter))
        return true;
    if (!criteria.avoided.contains(entry.row.id))
        blockedBy = BlockedBy::Adapter;
    return false;
}

auto leastLoad(const std::vector<EndpointEntry *> &entries) -> std::uint32_t
{
    const auto byLoad = [](const EndpointEntry *one, const EndpointEntry *other) {
        return one->load() < other->load();
    };
    return (*std::min_element(entries.begin(), entries.end(), byLoad))->load();
}

auto lesserOfTwo(const std::vector<EndpointEntry *> &entries, Random &random) -> EndpointEntry *
{
    auto *one = entries[random.below(entries.size())];
    auto *other = entries[random.below(entries.size())];
    return other->load() < one->load() ? other : one;
}

auto affineEndpoint(const std::vector<EndpointEntry *> &entries, std::uint64_t key)
        -> EndpointEntry *
{
    return *std::max_element(entries.begin(), entries.end(),
                             [key](const EndpointEntry *one, const EndpointEntry *other) {
                                 return rendezvousWeight(key, one->row.id.value())
                                         < rendezvousWeight(key, other->row.id.value());
                             });
}

} // namespace

auto blockedByName(BlockedBy blockedBy) -> std::string_view
{
    constexpr auto names = std::array<std::string_view, 15> {
        "none", "endpoint", "model", "adapter", "places", "trial",   "limit", "counter",
        "rate", "backoff",  "home",  "memory",  "path",   "version", "origin"
    };
    return names[static_cast<std::size_t>(blockedBy) % names.size()];
}

auto ableEndpoints(const std::vector<EndpointEntry *> &candidates, const Criteria &criteria,
                   const std::function<bool(const EndpointEntry &)> &isHealthy) -> Able
{
    if (candidates.empty())
        return { {}, BlockedBy::Endpoint, {} };
    auto backoffUntil = Instant::max();
    auto blockedBy = criteria.model.empty() ? BlockedBy::Endpoint : BlockedBy::Model;
    auto healthy = std::vector<EndpointEntry *> {};
    auto doubtful = std::vector<EndpointEntry *> {};
    for (auto *entry : candidates) {
        if (!holds(*entry, criteria, blockedBy))
            continue;
        if (criteria.now < entry->backoffUntil) {
            backoffUntil = std::min(backoffUntil, entry->backoffUntil);
            continue;
        }
        if (criteria.avoided.contains(entry->row.id))
            continue;
        (isHealthy(*entry) ? healthy : doubtful).push_back(entry);
    }
    auto &able = healthy.empty() ? doubtful : healthy;
    if (!able.empty())
        blockedBy = BlockedBy::Nothing;
    else if (backoffUntil != Instant::max() && blockedBy != BlockedBy::Adapter)
        blockedBy = BlockedBy::Backoff;
    return { std::move(able), blockedBy, backoffUntil };
}

auto chooseAmong(const std::vector<EndpointEntry *> &able, const Criteria &criteria, Random &random)
        -> EndpointEntry *
{
    if (criteria.affinity == 0)
        return lesserOfTwo(able, random);
    auto *affine = affineEndpoint(able, criteria.affinity);
    const auto keepsUp = affine->load() <= leastLoad(able) + affinitySlack;
    return keepsUp ? affine : lesserOfTwo(able, random);
}

} // namespace figrack::gateway
