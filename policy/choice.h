// Chooses the replica for one dispatch.
//
//   auto chooser = ReplicaChooser { options, seed };
//   chooser.onReport(endpoint, ..., now); chooser.onDispatch(endpoint, model, now); ...
//   auto endpoint = chooser.choose(request, candidates, now);
//
// Load reports lag, so each is corrected by the dispatches made since it was
// taken; two candidates drawn at random are compared, so that many routers with
// the same view do not herd; prefix-cache affinity is worth the prefill time it
// saves, weighed against the longer queue; an endpoint that is slow or fails is
// put aside and tried again with single requests. Not thread-safe.

#ifndef FIGRACK_POLICY_CHOICE_H
#define FIGRACK_POLICY_CHOICE_H

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "policy/tables.h"

namespace figrack::policy {

struct ChoiceOptions
{
    Millis breakAfterFailures = 3;
    Millis breakTime = 2000;    ///< First time aside; doubles to 60 s.
    Millis prefillPerBlock = 4; ///< Prefill time that one cached prefix block saves.
    Millis costPerStream = 20;  ///< How much one more stream on a replica delays a first token.
    Millis refusedTime = 100;   ///< An endpoint that refused gets nothing for so long.
    double slowFactor = 4.0;    ///< Aside when its first tokens take so many times the median.
    Millis slowFloor = 500;     ///< Never aside for first tokens below this.
};

/// A batch of an endpoint's prefix-cache events.
struct CacheEvents
{
    EndpointId endpoint;
    std::uint64_t firstSequence = 0;  ///< Of the first event; a gap makes the view distrusted.
                                      ///< Of a snapshot: of the next event to come. Each added
                                      ///< and each removed block is one event.
    bool snapshot = false;            ///< The added blocks are the whole cache.
    std::vector<std::uint64_t> added; ///< Hashes of prefix blocks.
    std::vector<std::uint64_t> removed;
};

struct ChoiceRequest
{
    ModelId model;
    std::vector<std::uint64_t> prefix; ///< Chained block hashes of the prompt, in order.
    bool repeatable = true; ///< False: kept from endpoints on trial while any other can take it.
};

enum class DispatchResult : std::uint8_t { Finished, Refused, Failed, Cancelled };

class ReplicaChooser
{
public:
    ReplicaChooser(ChoiceOptions options, std::uint64_t seed);
    ~ReplicaChooser();
    ReplicaChooser(ReplicaChooser &&) noexcept;
    auto operator=(ReplicaChooser &&) noexcept -> ReplicaChooser &;
    /// A load report taken at a time on the router's own scale (arrival less its age).
    auto onReport(const EndpointId &endpoint, const ModelId &model, std::uint32_t running,
                  std::uint32_t waiting, Millis takenAt) -> void;
    auto onDispatch(const EndpointId &endpoint, const ModelId &model, Millis now) -> void;
    /// @param took from dispatch to first token, ms
    auto onFirstToken(const EndpointId &endpoint, const ModelId &model, Millis took, Millis now)
            -> void;
    /// The same without the model: counted only when one model alone is in flight there.
    auto onFirstToken(const EndpointId &endpoint, Millis took, Millis now) -> void;
    auto onEnd(const EndpointId &endpoint, const ModelId &model, DispatchResult result, Millis now)
            -> void;
    auto onCacheEvents(const CacheEvents &events, Millis now) -> void;
    /// @return true when the endpoint's cache events have a gap: ask it for a snapshot
    auto wantsCacheSnapshot(const EndpointId &endpoint) const -> bool;
    /// Drops all that is known of an endpoint: it left or came back as another incarnation.
    /// Streams still in flight there may end afterwards; those ends count for nothing.
    auto forget(const EndpointId &endpoint) -> void;
    /// @param candidates replicas that are Ready on usable endpoints, in order of endpoint id
    ///        as the tables keep them; in another order only cache affinity is lost
    /// @param slots streams a replica runs at once; 0 when there is no such bound
    /// @return index into candidates, or nullopt when all are aside or full
    auto choose(const ChoiceRequest &request, const std::vector<ReplicaInfo> &candidates,
                std::uint32_t slots, Millis now) -> std::optional<std::size_t>;
    /// @return streams estimated on a replica: report corrected by own dispatches
    auto estimatedLoad(const EndpointId &endpoint, const ModelId &model) const -> std::uint32_t;
    /// @return streams estimated over all replicas of a model together, in constant time
    auto estimatedLoad(const ModelId &model) const -> std::uint32_t;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace figrack::policy

#endif // FIGRACK_POLICY_CHOICE_H
