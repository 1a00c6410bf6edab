// The tables that every policy decision is based on.
//
// The control process fills them from the replicated state and the routers' reports, the
// router from its copy, and the benchmark from its simulated fleet; policy code does not
// distinguish these sources. No I/O, no clock: `now` is passed to each call. Times are
// milliseconds on any one monotonic scale; sizes are MiB.

#ifndef FIGRACK_POLICY_TABLES_H
#define FIGRACK_POLICY_TABLES_H

#include <cstdint>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"

namespace figrack::policy {

using Millis = std::int64_t;

/// @return a clock's reading on the scale of policy times
inline auto millisOf(Instant at) -> Millis
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(at.time_since_epoch()).count();
}

struct ClassTarget
{
    ClassId id;
    Millis start = 2000;   ///< From request to first token.
    Millis finish = 30000; ///< From request to last token.
    double share = 0.95;   ///< Share of requests that must meet both targets.
};

struct ModelInfo
{
    ModelId id;
    std::string version;
    ModelId base;               ///< Empty for a base model.
    std::uint64_t memoryMb = 0; ///< Weights and KV cache of a replica.
    std::uint32_t slots = 8;    ///< Concurrent streams at full speed.
};

enum class Tier : std::uint8_t { Remote, Disk, Memory };

struct EndpointInfo
{
    EndpointId id;
    DomainId domain;
    std::uint64_t memoryMb = 0;
    std::uint64_t heldMb = 0; ///< Memory of replicas, loads in flight and orders in doubt.
    std::uint32_t accelerators = 0;
    bool usable = true; ///< Neither draining nor suspected.
    bool draining = false;
};

enum class ReplicaPhase : std::uint8_t { Loading, Ready, Unloading, InDoubt };

struct ReplicaInfo
{
    ModelId model;
    EndpointId endpoint;
    ReplicaPhase phase = ReplicaPhase::Loading;
    Millis readyAt = 0;   ///< Predicted time while Loading.
    Millis idleSince = 0; ///< Last time a request ran on it.
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
};

/// Demand of one class for one model, over all routers.
struct DemandInfo
{
    ModelId model;
    ClassId classId;
    std::uint32_t queued = 0;
    std::uint32_t running = 0;
    Millis tightestStart = 0; ///< The earliest start deadline among those queued.
};

/// A change to make.
enum class DecisionKind : std::uint8_t { Load, Unload };
struct Decision
{
    DecisionKind kind = DecisionKind::Load;
    ModelId model;
    EndpointId endpoint;
    Tier from = Tier::Remote; ///< Where a load reads the checkpoint.
    Millis expectedReady = 0;
    std::string reason; ///< One word: "demand", "predicted", "spread", "drain", "idle", ...
};

} // namespace figrack::policy

#endif // FIGRACK_POLICY_TABLES_H
