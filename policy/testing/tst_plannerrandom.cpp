// Tests the planner on random tables: after every plan(), a simple model of the fleet checks each
// guarantee of planner.h by walking all rows.

#include <map>
#include <set>

#include <doctest/doctest.h>
#include <fmt/format.h>

#include "core/random.h"
#include "policy/planner.h"

using namespace figrack;
using namespace figrack::policy;

namespace {

using Place = std::pair<ModelId, EndpointId>;

/// A fleet that carries out decisions, fails and changes at random, and counts by walking all rows.
class PlainFleet
{
public:
    explicit PlainFleet(std::uint64_t seed)
        : random_(seed)
        , planner_({ .storeConcurrency = 3, .storeLoadsPerSecond = 2 })
    {
        planner_.setClass({ ClassId { "urgent" }, 2000, 30000, 0.95 });
        planner_.setClass({ ClassId { "patient" }, 60000, 600000, 0.95 });
        for (auto i = 0; i < 6; ++i)
            addEndpoint(i);
        for (auto i = 0; i < 12; ++i)
            addModel(i);
    }

    auto step() -> void
    {
        now_ += 100 + static_cast<Millis>(random_.below(2000));
        for (auto i = 0; i < 4; ++i)
            changeSomething();
        const auto decisions = planner_.plan(now_);
        check(decisions);
        for (const auto &decision : decisions)
            if (random_.chance(0.9))
                carryOut(decision);
    }

    auto loads() const -> std::uint64_t { return loads_; }
    auto unloads() const -> std::uint64_t { return unloads_; }

private:
    auto addEndpoint(int index) -> void
    {
        auto info = EndpointInfo {};
        info.id = EndpointId { fmt::format("e{}", index) };
        info.domain = DomainId { fmt::format("d{}", index % 3) };
        info.memoryMb = 100;
        info.accelerators = 1;
        endpoints_[info.id] = info;
        planner_.setEndpoint(info);
    }

    auto addModel(int index) -> void
    {
        auto info = ModelInfo {};
        info.id = ModelId { fmt::format("m{:02}", index) };
        info.memoryMb = index < 7 ? 20 + random_.below(50) : 1 + random_.below(5);
        info.slots = 4;
        if (index >= 7)
            info.base = ModelId { fmt::format("m{:02}", random_.below(7)) };
        models_[info.id] = info;
        planner_.setModel(info);
    }

    auto heldMb(const EndpointId &id) const -> std::uint64_t
    {
        auto sum = std::uint64_t { 0 };
        for (const auto &[place, replica] : replicas_)
            if (place.second == id)
                sum += models_.at(place.first).memoryMb;
        return sum;
    }

    auto tellEndpoint(const EndpointId &id) -> void
    {
        auto &info = endpoints_.at(id);
        info.heldMb = heldMb(id);
        planner_.setEndpoint(info);
    }

    auto anyModel() -> const ModelInfo &
    {
        return std::next(models_.begin(), static_cast<long>(random_.below(models_.size())))->second;
    }

    auto changeSomething() -> void
    {
        const auto &model = anyModel();
        const auto classId = ClassId { random_.chance(0.5) ? "urgent" : "patient" };
        switch (random_.below(6)) {
        case 0:
            return planner_.onArrivals(model.id, classId, 1, now_);
        case 1:
        case 2:
            queued_[model.id]
                    = static_cast<std::uint32_t>(random_.chance(0.5) ? 0 : random_.below(20));
            return planner_.setDemand({ model.id, ClassId { "urgent" }, queued_[model.id], 0,
                                        now_ + static_cast<Millis>(random_.below(5000)) });
        case 3:
            return changeEndpoint();
        case 4:
            return planner_.setCached(anyEndpoint(), model.id, static_cast<Tier>(random_.below(3)));
        default:
            return changeReplica();
        }
    }

    auto anyEndpoint() -> EndpointId
    {
        return std::next(endpoints_.begin(), static_cast<long>(random_.below(endpoints_.size())))
                ->first;
    }

    auto changeEndpoint() -> void
    {
        auto &info = endpoints_.at(anyEndpoint());
        info.usable = random_.chance(0.8);
        info.draining = !info.usable && random_.chance(0.5);
        tellEndpoint(info.id);
    }

    /// A load or unload ends, a stream starts or ends, or an order becomes doubtful or fails.
    auto changeReplica() -> void
    {
        if (replicas_.empty())
            return;
        const auto at
                = std::next(replicas_.begin(), static_cast<long>(random_.below(replicas_.size())));
        const auto place = at->first;
        auto &replica = at->second;
        if (replica.phase == ReplicaPhase::Unloading
            || (replica.phase != ReplicaPhase::Ready && random_.chance(0.2))) {
            replicas_.erase(at);
            planner_.removeReplica(place.first, place.second);
            return tellEndpoint(place.second);
        }
        if (replica.phase == ReplicaPhase::Ready)
            replica.running = static_cast<std::uint32_t>(random_.below(2));
        else
            replica.phase = random_.chance(0.8) ? ReplicaPhase::Ready : ReplicaPhase::InDoubt;
        replica.idleSince = now_;
        planner_.setReplica(replica);
    }

    auto carryOut(const Decision &decision) -> void
    {
        const auto place = Place { decision.model, decision.endpoint };
        if (decision.kind == DecisionKind::Load) {
            ++loads_;
            auto &replica = replicas_[place];
            replica.model = decision.model;
            replica.endpoint = decision.endpoint;
            replica.readyAt = decision.expectedReady;
        } else {
            ++unloads_;
            replicas_.at(place).phase = ReplicaPhase::Unloading;
        }
        planner_.setReplica(replicas_.at(place));
        tellEndpoint(decision.endpoint);
    }

    auto check(const std::vector<Decision> &decisions) -> void
    {
        auto added = std::map<EndpointId, std::uint64_t> {};
        auto decided = std::set<Place> {};
        auto remote = 0U;
        for (const auto &decision : decisions) {
            REQUIRE(decided.insert({ decision.model, decision.endpoint }).second);
            if (decision.kind == DecisionKind::Load) {
                added[decision.endpoint] += models_.at(decision.model).memoryMb;
                remote += decision.from == Tier::Remote ? 1 : 0;
                checkLoad(decision);
            } else {
                checkUnload(decision, decided);
            }
        }
        for (const auto &[id, mb] : added)
            REQUIRE(heldMb(id) + mb <= endpoints_.at(id).memoryMb);
        REQUIRE(remote <= 3);
        checkCounts(decisions);
    }

    auto checkLoad(const Decision &decision) const -> void
    {
        const auto &endpoint = endpoints_.at(decision.endpoint);
        REQUIRE(endpoint.usable);
        REQUIRE(!endpoint.draining);
        REQUIRE(replicas_.count({ decision.model, decision.endpoint }) == 0);
        const auto &base = models_.at(decision.model).base;
        if (base.empty())
            return;
        const auto under = replicas_.find({ base, decision.endpoint });
        REQUIRE(under != replicas_.end());
        REQUIRE(under->second.phase == ReplicaPhase::Ready);
    }

    auto checkUnload(const Decision &decision, const std::set<Place> &decided) const -> void
    {
        const auto &replica = replicas_.at({ decision.model, decision.endpoint });
        REQUIRE(replica.phase == ReplicaPhase::Ready);
        REQUIRE(replica.running == 0);
        for (const auto &[place, other] : replicas_) {
            const auto needsThisBase = place.second == decision.endpoint
                    && models_.at(place.first).base == decision.model;
            if (needsThisBase)
                REQUIRE(decided.count(place) == 1); // Earlier in the same list.
        }
    }

    /// Checks that at most one replica per waiting request is being loaded, in all cases.
    auto checkCounts(const std::vector<Decision> &decisions) -> void
    {
        auto loads = std::map<ModelId, std::uint32_t> {};
        for (const auto &decision : decisions)
            if (decision.kind == DecisionKind::Load && decision.reason == "demand")
                ++loads[decision.model];
        for (const auto &[model, count] : loads) {
            const auto slots = models_.at(model).slots;
            REQUIRE(count <= std::max(1U, (queued_[model] + slots - 1) / slots));
        }
    }

    Random random_;
    Planner planner_;
    Millis now_ = 0;
    std::map<EndpointId, EndpointInfo> endpoints_;
    std::map<ModelId, ModelInfo> models_;
    std::map<Place, ReplicaInfo> replicas_;
    std::map<ModelId, std::uint32_t> queued_;
    std::uint64_t loads_ = 0;
    std::uint64_t unloads_ = 0;
};

} // namespace

TEST_CASE("the planner keeps its guarantees on random tables")
{
    auto loads = std::uint64_t { 0 };
    auto unloads = std::uint64_t { 0 };
    for (auto seed = std::uint64_t { 1 }; seed <= 40; ++seed) {
        CAPTURE(seed);
        auto fleet = PlainFleet { seed };
        for (auto i = 0; i < 500; ++i)
            fleet.step();
        loads += fleet.loads();
        unloads += fleet.unloads();
    }
    // The run covered both kinds of decision.
    CHECK(loads > 1000);
    CHECK(unloads > 500);
}

TEST_CASE("equal calls give equal decisions")
{
    auto first = PlainFleet { 7 };
    auto second = PlainFleet { 7 };
    for (auto i = 0; i < 300; ++i) {
        first.step();
        second.step();
        REQUIRE(first.loads() == second.loads());
        REQUIRE(first.unloads() == second.unloads());
    }
}
