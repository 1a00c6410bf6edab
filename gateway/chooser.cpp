// The endpoint of the affinity is left only when it has clearly more to do than
// the least loaded one: what is saved by a cached prompt is a few hundred
// milliseconds of one request, what a longer batch costs is paid by all in it.
//
// Loads are known with a lag, by all gateways alike. Were each to take the least
// loaded endpoint, all would take the same one until the next news; so the
// lesser of two drawn at random is taken.

#include "gateway/chooser.h"

#include <algorithm>
#include <array>

#include "core/hash.h"

namespace figrack::gateway {
namespace {

/// Load, in requests weighed by their prompts, by which the affine endpoint may exceed the least
/// loaded one: two long prompts.
constexpr auto affinitySlack = std::uint32_t { 12 };

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

auto lackName(Lack lack) -> std::string_view
{
    constexpr auto names
            = std::array<std::string_view, 10> { "none",   "endpoint", "model", "adapter",
                                                 "places", "trial",    "limit", "counter",
                                                 "rate",   "backoff" };
    return names[static_cast<std::size_t>(lack) % names.size()];
}

auto ableEndpoints(const std::vector<EndpointEntry *> &candidates, const Wish &wish,
                   const std::function<bool(const EndpointEntry &)> &isHealthy) -> Able
{
    if (candidates.empty())
        return { {}, Lack::Endpoint, {} };
    auto backoffUntil = Instant::max();
    auto lack = wish.model.empty() ? Lack::Endpoint : Lack::Model;
    auto healthy = std::vector<EndpointEntry *> {};
    auto doubtful = std::vector<EndpointEntry *> {};
    for (auto *entry : candidates) {
        if (!holds(*entry, wish, lack))
            continue;
        if (wish.now < entry->backoffUntil) {
            backoffUntil = std::min(backoffUntil, entry->backoffUntil);
            continue;
        }
        if (wish.avoided.contains(entry->row.id))
            continue;
        (isHealthy(*entry) ? healthy : doubtful).push_back(entry);
    }
    auto &able = healthy.empty() ? doubtful : healthy;
    if (!able.empty())
        lack = Lack::Nothing;
    else if (backoffUntil != Instant::max() && lack != Lack::Adapter)
        lack = Lack::Backoff;
    return { std::move(able), lack, backoffUntil };
}

auto chooseAmong(const std::vector<EndpointEntry *> &able, const Wish &wish, Random &random)
        -> EndpointEntry *
{
    if (wish.affinity == 0)
        return lesserOfTwo(able, random);
    auto *affine = affineEndpoint(able, wish.affinity);
    const auto keepsUp = affine->load() <= leastLoad(able) + affinitySlack;
    return keepsUp ? affine : lesserOfTwo(able, random);
}

} // namespace figrack::gateway
