// The plain tables that every decision is made from.
//
// The control process fills them from the replicated state and the routers'
// reports, the router from its copy, the benchmark from its model of a fleet;
// policy code sees no difference. No I/O, no clock: each call is given `now`.
// Times are milliseconds on any one monotonic scale; sizes are MiB.

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
    Millis start = 2000;   ///< Request to first token.
    Millis finish = 30000; ///< Request to last token.
    double share = 0.95;   ///< Of requests that must meet both.
};

struct ModelInfo
{
    ModelId id;
    std::string version;
    ModelId base;               ///< Empty for a base model.
    std::uint64_t memoryMb = 0; ///< A replica's weights and KV room.
    std::uint32_t slots = 8;    ///< Streams at once at full speed.
};

enum class Tier : std::uint8_t { Remote, Disk, Memory };

struct EndpointInfo
{
    EndpointId id;
    DomainId domain;
    std::uint64_t memoryMb = 0;
    std::uint64_t heldMb = 0; ///< Replicas, loads in flight and orders in doubt.
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
    Millis readyAt = 0;   ///< Predicted while Loading.
    Millis idleSince = 0; ///< Last time a request ran on it.
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
};

/// Requests of one class that wait for one model, over all routers.
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
