// Chooses the replica for one dispatch.
//
//   auto chooser = ReplicaChooser { options, seed };
//   chooser.onReport(endpoint, ..., now); chooser.onDispatch(endpoint, model, now); ...
//   auto endpoint = chooser.choose(request, candidates, now);
//
// Load reports lag, so each is corrected by the dispatches made since it was taken. Two
// candidates drawn at random are compared, so that many routers with the same view do not
// herd. Prefix-cache affinity is credited with the prefill time it saves and weighed against
// the longer queue. An endpoint that is slow or fails is excluded by a circuit breaker and
// probed with single requests. Not thread-safe.

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
    Millis failuresToOpen = 3;
    Millis openTime = 2000;      ///< First time the circuit is open; doubles up to 60 s.
    Millis prefillPerBlock = 4;  ///< Prefill time that one cached prefix block saves.
    Millis costPerStream = 20;   ///< Delay of a first token per stream on the replica.
    Millis refusalBackoff = 100; ///< An endpoint that refused is skipped this long.
    double slowFactor = 4.0;     ///< Excluded when first tokens take this times the median.
    Millis slowFloor = 500;      ///< Never excluded for first tokens faster than this.
};

/// A batch of an endpoint's prefix-cache events.
struct CacheEvents
{
    EndpointId endpoint;
    std::uint64_t firstSequence = 0;  ///< Of the first event; after a gap the view is not used.
                                      ///< For a snapshot: of the next event. Each added and
                                      ///< each removed block is one event.
    bool snapshot = false;            ///< The added blocks are the whole cache.
    std::vector<std::uint64_t> added; ///< Hashes of prefix blocks.
    std::vector<std::uint64_t> removed;
};

struct ChoiceRequest
{
    ModelId model;
    std::vector<std::uint64_t> prefix; ///< Chained block hashes of the prompt, in order.
    bool repeatable = true; ///< If false, endpoints on trial are used only as a last resort.
};

enum class DispatchResult : std::uint8_t { Finished, Refused, Failed, Cancelled };

class ReplicaChooser
{
public:
    ReplicaChooser(ChoiceOptions options, std::uint64_t seed);
    ~ReplicaChooser();
    ReplicaChooser(ReplicaChooser &&) noexcept;
    auto operator=(ReplicaChooser &&) noexcept -> ReplicaChooser &;
    /// Applies a load report.
    /// @param takenAt on the router's clock: arrival time less the age of the report
    auto onReport(const EndpointId &endpoint, const ModelId &model, std::uint32_t running,
                  std::uint32_t waiting, Millis takenAt) -> void;
    auto onDispatch(const EndpointId &endpoint, const ModelId &model, Millis now) -> void;
    /// @param took from dispatch to first token, ms
    auto onFirstToken(const EndpointId &endpoint, const ModelId &model, Millis took, Millis now)
            -> void;
    /// As above for an unknown model: counted only when streams of exactly one model are in
    /// flight on the endpoint.
    auto onFirstToken(const EndpointId &endpoint, Millis took, Millis now) -> void;
    auto onEnd(const EndpointId &endpoint, const ModelId &model, DispatchResult result, Millis now)
            -> void;
    auto onCacheEvents(const CacheEvents &events, Millis now) -> void;
    /// @return true when the endpoint's cache events have a gap and a snapshot must be requested
    auto wantsCacheSnapshot(const EndpointId &endpoint) const -> bool;
    /// Drops all state of an endpoint that left or came back as another incarnation. Ends of
    /// streams that are still in flight there are ignored.
    auto forget(const EndpointId &endpoint) -> void;
    /// @param candidates replicas that are Ready on usable endpoints, sorted by endpoint id
    ///        as in the tables; in another order only cache affinity is lost
    /// @param slots streams a replica runs at once; 0 when unbounded
    /// @return index into candidates, or nullopt when all are excluded or full
    auto choose(const ChoiceRequest &request, const std::vector<ReplicaInfo> &candidates,
                std::uint32_t slots, Millis now) -> std::optional<std::size_t>;
    /// @return estimated streams on a replica: the report corrected by own dispatches
    auto estimatedLoad(const EndpointId &endpoint, const ModelId &model) const -> std::uint32_t;
    /// @return estimated streams over all replicas of a model, in constant time
    auto estimatedLoad(const ModelId &model) const -> std::uint32_t;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace figrack::policy

#endif // FIGRACK_POLICY_CHOICE_H
