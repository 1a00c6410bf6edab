// A view of a small fleet, built with the same commands that a feed delivers.

#ifndef FIGRACK_ROUTER_TESTING_FLEET_H
#define FIGRACK_ROUTER_TESTING_FLEET_H

#include <string>

#include <doctest/doctest.h>

#include "core/clock.h"
#include "router/view.h"
#include "state/commands.h"

namespace figrack::router {

class Fleet
{
public:
    explicit Fleet(const Clock &clock)
        : view(NodeId { "r1" }, 64)
        , clock_(clock)
    { }

    auto apply(const state::Command &command) -> LogIndex
    {
        index_ = index_.next();
        auto batch = proto::FeedBatch {};
        batch.entries.push_back({ index_, state::encodeCommand(command) });
        batch.upTo = index_;
        REQUIRE(view.apply(batch).ok());
        return index_;
    }
    auto change(state::ConfigOperation operation) -> void
    {
        auto change = state::ConfigChange {};
        change.change = ChangeId { "c" + std::to_string(revision_) };
        change.author = "test";
        change.expected = Revision { revision_++ };
        change.operation = std::move(operation);
        apply(change);
        REQUIRE(view.revision() == Revision { revision_ });
    }
    auto addClass(const std::string &name, policy::Millis start, policy::Millis finish) -> void
    {
        auto spec = state::ClassSpec {};
        spec.id = ClassId { name };
        spec.startTarget = start;
        spec.finishTarget = finish;
        spec.isDefault = name == "draft";
        change(state::PutClass { spec });
    }
    auto addModel(const std::string &name, std::uint32_t slots = 8) -> void
    {
        auto spec = state::ModelSpec {};
        spec.id = ModelId { name };
        spec.weightMb = 100;
        spec.slots = slots;
        change(state::PutModel { spec });
    }
    auto addService(const std::string &name, bool repeatable) -> void
    {
        auto spec = state::ServiceSpec {};
        spec.id = ServiceId { name };
        spec.repeatable = repeatable;
        change(state::PutService { spec });
    }
    auto endpointSpec(const std::string &name, std::uint16_t port) const -> state::EndpointSpec
    {
        auto spec = state::EndpointSpec {};
        spec.id = EndpointId { name };
        spec.incarnation = Incarnation { 1 };
        spec.address = "127.0.0.1:" + std::to_string(port);
        spec.domain = DomainId { "d1" };
        spec.memoryMb = 1000;
        return spec;
    }
    auto addEngine(const std::string &name, std::uint16_t port) -> void
    {
        apply(state::RegisterEndpoint { endpointSpec(name, port), wall() });
    }
    auto addServiceEndpoint(const std::string &name, std::uint16_t port, const std::string &service)
            -> void
    {
        auto spec = endpointSpec(name, port);
        spec.kind = state::EndpointKind::Service;
        spec.service = ServiceId { service };
        apply(state::RegisterEndpoint { spec, wall() });
    }
    auto startLoad(const std::string &model, const std::string &engine, policy::Millis takes)
            -> OrderId
    {
        auto order = state::OrderIntent {};
        order.endpoint = EndpointId { engine };
        order.incarnation = Incarnation { 1 };
        order.model = ModelId { model };
        order.version = "1";
        order.fence = Fence { 1 };
        order.at = wall();
        order.readyAt = wall() + takes;
        return OrderId { apply(order).value() };
    }
    auto endLoad(OrderId order) -> void
    {
        apply(state::OrderOutcome { order, state::OrderResult::Loaded, wall() });
    }
    auto load(const std::string &model, const std::string &engine) -> void
    {
        endLoad(startLoad(model, engine, 0));
    }
    auto drainEndpoint(const std::string &engine) -> void
    {
        apply(state::DrainEndpoint { EndpointId { engine }, true, wall() });
    }
    auto addRouter(const std::string &name, const std::string &domain, const std::string &address)
            -> void
    {
        auto row = state::RegisterRouter {};
        row.node = NodeId { name };
        row.incarnation = Incarnation { 1 };
        row.domain = DomainId { domain };
        row.callerAddress = address;
        apply(row);
    }
    auto drainRouter(const std::string &name) -> void
    {
        apply(state::DrainRouter { NodeId { name }, Incarnation { 1 }, true, wall() });
    }

    View view;

private:
    auto wall() const -> state::Millis { return clock_.wallNow().time_since_epoch().count(); }

    const Clock &clock_;
    LogIndex index_;
    std::uint64_t revision_ = 0;
};

} // namespace figrack::router

#endif // FIGRACK_ROUTER_TESTING_FLEET_H
