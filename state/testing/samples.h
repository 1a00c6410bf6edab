// Short spellings of commands, and tables with their next index, for tests.

#ifndef FIGRACK_STATE_TESTING_SAMPLES_H
#define FIGRACK_STATE_TESTING_SAMPLES_H

#include <stdexcept>
#include <string>
#include <utility>

#include "state/tables.h"

namespace figrack::state::testing {

inline auto classSpec(const std::string &id, bool isDefault = false) -> ClassSpec
{
    auto spec = ClassSpec {};
    spec.id = ClassId { id };
    spec.isDefault = isDefault;
    return spec;
}

inline auto model(const std::string &id, std::uint64_t weightMb, const std::string &base = {})
        -> ModelSpec
{
    auto spec = ModelSpec {};
    spec.id = ModelId { id };
    spec.weightMb = weightMb;
    spec.base = ModelId { base };
    return spec;
}

inline auto change(const std::string &id, std::uint64_t expected, ConfigOperation operation)
        -> ConfigChange
{
    return ConfigChange { ChangeId { id }, "ann", Revision { expected }, std::move(operation), 0 };
}

inline auto engine(const std::string &id, std::uint64_t incarnation, std::uint64_t memoryMb)
        -> EndpointSpec
{
    auto spec = EndpointSpec {};
    spec.id = EndpointId { id };
    spec.incarnation = Incarnation { incarnation };
    spec.address = "10.0.0.1:" + id;
    spec.memoryMb = memoryMb;
    return spec;
}

inline auto order(OrderAction action, const std::string &endpoint, const std::string &model,
                  std::uint64_t fence) -> OrderIntent
{
    auto intent = OrderIntent {};
    intent.action = action;
    intent.endpoint = EndpointId { endpoint };
    intent.incarnation = Incarnation { 1 };
    intent.model = ModelId { model };
    intent.version = "1";
    intent.fence = Fence { fence };
    return intent;
}

inline auto load(const std::string &endpoint, const std::string &model, std::uint64_t fence)
        -> OrderIntent
{
    return order(OrderAction::Load, endpoint, model, fence);
}

inline auto unload(const std::string &endpoint, const std::string &model, std::uint64_t fence)
        -> OrderIntent
{
    return order(OrderAction::Unload, endpoint, model, fence);
}

inline auto claim(const std::string &key, std::uint64_t bodyHash, const std::string &router,
                  Millis deadline, Millis at, std::uint64_t incarnation = 1) -> TakeClaim
{
    return TakeClaim { IdempotencyKey { key },      bodyHash, NodeId { router },
                       Incarnation { incarnation }, deadline, at };
}

inline auto end(const std::string &key, const std::string &router, ClaimState state, Millis at,
                const std::string &answer = {}) -> EndClaim
{
    return EndClaim { IdempotencyKey { key },
                      NodeId { router },
                      Incarnation { 1 },
                      state,
                      200,
                      "application/json",
                      answer,
                      at };
}

/// Tables and the index of their last command.
struct World
{
    Tables tables;
    std::uint64_t index = 0;

    /// Two models of 60 MiB, endpoints e1 and e2 of 100 MiB and big of 1000 MiB.
    static auto withModels() -> World
    {
        auto world = World {};
        world.apply(change("m1", 0, PutModel { model("m1", 60) }));
        world.apply(change("m2", 1, PutModel { model("m2", 60) }));
        world.apply(RegisterEndpoint { engine("e1", 1, 100), 0 });
        world.apply(RegisterEndpoint { engine("e2", 1, 100), 0 });
        world.apply(RegisterEndpoint { engine("big", 1, 1000), 0 });
        return world;
    }

    auto apply(const Command &command) -> Applied
    {
        return tables.apply(command, LogIndex { ++index });
    }

    auto join(const std::string &router, std::uint64_t incarnation) -> void
    {
        apply(RegisterRouter { NodeId { router }, Incarnation { incarnation }, {}, {}, 0 });
    }

    auto replica(const std::string &model, const std::string &endpoint) const -> const ReplicaRow &
    {
        return tables.replicas().at(ReplicaKey { ModelId { model }, EndpointId { endpoint } });
    }

    /// Passes through a snapshot.
    auto reload() -> void
    {
        auto restored = Tables {};
        if (!restored.restore(tables.snapshot(true)).ok())
            throw std::runtime_error("a snapshot cannot be read back");
        tables = std::move(restored);
    }

    /// @return the snapshot as if nothing had been applied since index 0
    auto contents() const -> std::string
    {
        constexpr auto headBytes = std::size_t { 1 + 8 }; // The format and the applied index.
        return tables.snapshot(true).substr(headBytes);
    }
};

} // namespace figrack::state::testing

#endif // FIGRACK_STATE_TESTING_SAMPLES_H
