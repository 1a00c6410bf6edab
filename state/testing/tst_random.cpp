// Random command streams against a plain slow reference, and equal tables at equal index.
//
// The reference keeps flat lists and works each rule out anew from the page's wording:
// it shares no code with the tables but the command types.

#include <algorithm>
#include <optional>
#include <vector>

#include <doctest/doctest.h>

#include "core/random.h"
#include "state/testing/samples.h"

namespace figrack::state {
namespace {

using namespace testing;

constexpr auto endpointCount = std::uint64_t { 4 };
constexpr auto modelCount = std::uint64_t { 5 };
constexpr auto routerCount = std::uint64_t { 3 };

auto nameOf(const char *prefix, std::uint64_t number) -> std::string
{
    return prefix + std::to_string(number);
}

/// The rules for replicas and claims, slow and plain.
class Reference
{
public:
    struct Replica
    {
        std::string model;
        std::string endpoint;
        ReplicaState state = ReplicaState::Loading;
        std::uint64_t order = 0;
        std::uint64_t fence = 0;
        bool inDoubt = false;
        std::uint64_t memory = 0;
    };
    struct Endpoint
    {
        std::string id;
        std::uint64_t incarnation = 0;
        std::uint64_t memory = 0;
        bool draining = false;
        bool suspected = false;
    };
    struct Claim
    {
        std::string key;
        std::uint64_t body = 0;
        std::string router;
        std::uint64_t incarnation = 0;
        Millis deadline = 0;
        ClaimState state = ClaimState::Taken;
    };

    auto endpoint(const std::string &id) -> Endpoint *
    {
        const auto found = std::find_if(endpoints.begin(), endpoints.end(),
                                        [&id](const auto &one) { return one.id == id; });
        return found == endpoints.end() ? nullptr : &*found;
    }

    auto replica(const std::string &model, const std::string &endpoint) -> Replica *
    {
        for (auto &one : replicas) {
            if (one.model == model && one.endpoint == endpoint)
                return &one;
        }
        return nullptr;
    }

    auto held(const std::string &endpoint) const -> std::uint64_t
    {
        auto sum = std::uint64_t { 0 };
        for (const auto &one : replicas)
            sum += one.endpoint == endpoint ? one.memory : 0;
        return sum;
    }

    auto registerEndpoint(const std::string &id, std::uint64_t incarnation, std::uint64_t memory)
            -> bool
    {
        auto *found = endpoint(id);
        if (!found) {
            endpoints.push_back({ id, incarnation, memory, false, false });
            return true;
        }
        if (incarnation < found->incarnation)
            return false;
        const auto newLife = incarnation > found->incarnation;
        auto kept = std::uint64_t { 0 };
        for (const auto &one : replicas) {
            if (one.endpoint == id && (!newLife || one.state == ReplicaState::Loading))
                kept += one.memory;
        }
        if (memory < kept)
            return false;
        if (newLife) {
            std::erase_if(replicas, [&id](const auto &one) {
                return one.endpoint == id && one.state != ReplicaState::Loading;
            });
            for (auto &one : replicas)
                one.inDoubt = one.inDoubt || one.endpoint == id;
            found->draining = found->suspected = false;
        }
        found->incarnation = incarnation;
        found->memory = memory;
        return true;
    }

    auto order(const OrderIntent &intent, std::uint64_t index, std::uint64_t need) -> bool
    {
        const auto fence = intent.fence.value();
        auto *at = endpoint(intent.endpoint.value());
        if (fence < highestFence || !at || at->incarnation != intent.incarnation.value()
            || at->suspected)
            return false;
        auto *found = replica(intent.model.value(), intent.endpoint.value());
        const auto doubted = found && (found->inDoubt || found->fence < fence);
        const auto load = intent.action == OrderAction::Load;
        if (load && at->draining)
            return false;
        if (load && found && !(found->state == ReplicaState::Loading && doubted))
            return false;
        if (load && !found && held(at->id) + need > at->memory)
            return false;
        if (!load && (!found || (found->state != ReplicaState::Ready && !doubted)))
            return false;
        if (fence > highestFence) {
            highestFence = fence;
            for (auto &one : replicas)
                one.inDoubt = one.inDoubt || one.state != ReplicaState::Ready;
        }
        if (!found) {
            replicas.push_back({ intent.model.value(), at->id });
            found = &replicas.back();
            found->memory = need;
        }
        found->state = load ? ReplicaState::Loading : ReplicaState::Unloading;
        found->order = index;
        found->fence = fence;
        found->inDoubt = false;
        return true;
    }

    auto outcome(std::uint64_t order, OrderResult result) -> bool
    {
        const auto found = std::find_if(replicas.begin(), replicas.end(),
                                        [order](const auto &one) { return one.order == order; });
        if (found == replicas.end())
            return false;
        const auto wasReady = found->state == ReplicaState::Ready;
        if (result == OrderResult::Unloaded) {
            replicas.erase(found);
            return true;
        }
        if (wasReady)
            return result == OrderResult::Loaded;
        if (found->state == ReplicaState::Loading && result != OrderResult::Loaded) {
            replicas.erase(found);
            return true;
        }
        found->state = ReplicaState::Ready;
        found->inDoubt = false;
        return true;
    }

    auto take(const TakeClaim &claim) -> std::optional<ClaimState>
    {
        const auto &router = claim.router.value();
        const auto joined = std::any_of(routers.begin(), routers.end(), [&](const auto &one) {
            return one.first == router && one.second == claim.incarnation.value();
        });
        if (!joined)
            return std::nullopt;
        for (auto &one : claims) {
            if (one.key != claim.key.value())
                continue;
            if (one.body != claim.bodyHash)
                return std::nullopt;
            if (one.state == ClaimState::Taken && one.deadline < claim.at)
                one.state = ClaimState::Unknown;
            if (one.state != ClaimState::NotRun)
                return std::nullopt;
            one = { one.key,        one.body,         router, claim.incarnation.value(),
                    claim.deadline, ClaimState::Taken };
            return ClaimState::Taken;
        }
        claims.push_back({ claim.key.value(), claim.bodyHash, router, claim.incarnation.value(),
                           claim.deadline, ClaimState::Taken });
        return ClaimState::Taken;
    }

    auto endClaim(const EndClaim &command) -> void
    {
        for (auto &one : claims) {
            const auto holds = one.key == command.key.value()
                    && one.router == command.router.value()
                    && one.incarnation == command.incarnation.value();
            if (holds
                && (one.state == ClaimState::Taken
                    || (one.state == ClaimState::Unknown && command.state == ClaimState::Done)))
                one.state = command.state;
        }
    }

    auto join(const std::string &router, std::uint64_t incarnation) -> void
    {
        for (auto &one : routers) {
            if (one.first != router)
                continue;
            for (auto &claim : claims) {
                if (claim.router == router && claim.state == ClaimState::Taken
                    && incarnation != one.second)
                    claim.state = ClaimState::Unknown;
            }
            one.second = incarnation;
            return;
        }
        routers.emplace_back(router, incarnation);
    }

    std::vector<Replica> replicas;
    std::vector<Endpoint> endpoints;
    std::vector<Claim> claims;
    std::vector<std::pair<std::string, std::uint64_t>> routers;
    std::uint64_t highestFence = 0;
};

/// Makes a stream of commands and holds the tables against the reference after each.
class Run
{
public:
    explicit Run(std::uint64_t seed)
        : random_(seed)
    {
        for (auto i = std::uint64_t { 0 }; i < modelCount; ++i)
            apply(change(nameOf("m", i), i, PutModel { model(nameOf("m", i), 10 + 10 * i) }));
    }

    auto step() -> void
    {
        now_ += static_cast<Millis>(random_.below(20));
        switch (random_.below(8)) {
        case 0:
            return stepRegister();
        case 1:
            return stepFlags();
        case 2:
        case 3:
            return stepOrder();
        case 4:
            return stepOutcome();
        case 5:
            return stepTake();
        case 6:
            return stepEnd();
        default:
            return stepRouter();
        }
    }

    auto compare() const -> void
    {
        REQUIRE(world_.tables.replicas().size() == reference_.replicas.size());
        for (const auto &expected : reference_.replicas) {
            const auto &row = world_.replica(expected.model, expected.endpoint);
            CHECK(row.state == expected.state);
            CHECK(row.order.value() == expected.order);
            CHECK(row.inDoubt == expected.inDoubt);
            CHECK(row.memoryMb == expected.memory);
        }
        for (const auto &endpoint : reference_.endpoints) {
            const auto held = world_.tables.memoryHeldMb(EndpointId { endpoint.id });
            CHECK(held == reference_.held(endpoint.id));
            CHECK(held <= endpoint.memory);
        }
        REQUIRE(world_.tables.claims().size() == reference_.claims.size());
        for (const auto &expected : reference_.claims)
            CHECK(world_.tables.claims().at(IdempotencyKey { expected.key }).state
                  == expected.state);
    }

    auto log() const -> const std::vector<Command> & { return log_; }
    auto tables() const -> const Tables & { return world_.tables; }

private:
    auto apply(const Command &command) -> Applied
    {
        log_.push_back(command);
        return world_.apply(command);
    }

    auto someEndpoint() -> std::string { return nameOf("e", random_.below(endpointCount)); }

    auto stepRegister() -> void
    {
        const auto id = someEndpoint();
        auto *known = reference_.endpoint(id);
        const auto incarnation = known ? known->incarnation + random_.below(3) - 1 : 1;
        const auto memory = 60 + 10 * random_.below(6);
        const auto result = apply(RegisterEndpoint { engine(id, incarnation, memory), now_ });
        CHECK(result.status.ok() == reference_.registerEndpoint(id, incarnation, memory));
    }

    auto stepFlags() -> void
    {
        const auto id = someEndpoint();
        auto *known = reference_.endpoint(id);
        const auto flag = random_.chance(0.3);
        if (random_.chance(0.5)) {
            apply(DrainEndpoint { EndpointId { id }, flag, now_ });
            if (known)
                known->draining = flag;
            return;
        }
        const auto incarnation = known ? known->incarnation : 1;
        apply(SuspectEndpoint { EndpointId { id }, Incarnation { incarnation }, flag, now_ });
        if (!known)
            return;
        known->suspected = flag;
        for (auto &one : reference_.replicas)
            one.inDoubt = one.inDoubt
                    || (flag && one.endpoint == id && one.state != ReplicaState::Ready);
    }

    auto stepOrder() -> void
    {
        const auto action = random_.chance(0.6) ? OrderAction::Load : OrderAction::Unload;
        const auto number = random_.below(modelCount);
        const auto fence = reference_.highestFence + (random_.chance(0.1) ? 1 : 0)
                - (reference_.highestFence > 0 && random_.chance(0.1) ? 1 : 0);
        auto intent = order(action, someEndpoint(), nameOf("m", number), fence);
        const auto *known = reference_.endpoint(intent.endpoint.value());
        intent.incarnation = Incarnation { known ? known->incarnation : 1 };
        const auto result = apply(intent);
        CHECK(result.status.ok() == reference_.order(intent, world_.index, 10 + 10 * number));
    }

    auto stepOutcome() -> void
    {
        auto order = random_.below(world_.index + 1);
        if (!reference_.replicas.empty() && random_.chance(0.9))
            order = reference_.replicas[random_.below(reference_.replicas.size())].order;
        const auto result = static_cast<OrderResult>(random_.below(4));
        const auto applied = apply(OrderOutcome { OrderId { order }, result, now_ });
        CHECK(applied.status.ok() == reference_.outcome(order, result));
    }

    auto someRouter() -> std::pair<std::string, std::uint64_t>
    {
        if (reference_.routers.empty())
            return { "r0", 1 };
        return reference_.routers[random_.below(reference_.routers.size())];
    }

    auto stepTake() -> void
    {
        const auto [router, incarnation] = someRouter();
        const auto key = nameOf("k", random_.below(20));
        const auto deadline = now_ + static_cast<Millis>(random_.below(200));
        const auto command
                = claim(key, random_.below(8) == 0 ? 1 : 0, router, deadline, now_, incarnation);
        const auto applied = apply(command);
        const auto granted
                = applied.status.ok() && applied.claim && applied.claim->state == ClaimState::Taken;
        CHECK(granted == reference_.take(command).has_value());
    }

    auto stepEnd() -> void
    {
        const auto [router, incarnation] = someRouter();
        auto command = end(nameOf("k", random_.below(20)), router,
                           static_cast<ClaimState>(1 + random_.below(3)), now_);
        command.incarnation = Incarnation { incarnation };
        apply(command);
        reference_.endClaim(command);
    }

    auto stepRouter() -> void
    {
        const auto router = nameOf("r", random_.below(routerCount));
        // A life's number is never one of an earlier life here.
        const auto incarnation = random_.chance(0.2) ? ++lives_ : 0;
        if (incarnation == 0)
            return;
        world_.join(router, incarnation);
        log_.push_back(
                RegisterRouter { NodeId { router }, Incarnation { incarnation }, {}, {}, 0 });
        reference_.join(router, incarnation);
    }

    Random random_;
    World world_;
    Reference reference_;
    std::vector<Command> log_;
    Millis now_ = 1000;
    std::uint64_t lives_ = 0;
};

TEST_CASE("random commands leave the tables as the plain reference says")
{
    for (auto seed = std::uint64_t { 1 }; seed <= 60; ++seed) {
        CAPTURE(seed);
        auto run = Run { seed };
        for (auto i = 0; i < 400; ++i) {
            run.step();
            run.compare();
        }
    }
}

TEST_CASE("tables are equal at equal index, by replay and by snapshot and tail")
{
    for (auto seed = std::uint64_t { 1 }; seed <= 30; ++seed) {
        CAPTURE(seed);
        auto run = Run { seed };
        for (auto i = 0; i < 300; ++i)
            run.step();
        const auto cut = Random { seed }.below(run.log().size());
        auto replayed = World {};
        auto resumed = World {};
        auto reader = Tables {};
        for (auto i = std::size_t { 0 }; i < run.log().size(); ++i) {
            const auto &command = run.log()[i];
            replayed.apply(command);
            resumed.apply(command);
            if (i == cut)
                resumed.reload();
            if (isControlOnly(command))
                reader.skipTo(LogIndex { i + 1 });
            else
                reader.apply(command, LogIndex { i + 1 });
        }
        CHECK(replayed.tables.snapshot(true) == run.tables().snapshot(true));
        CHECK(resumed.tables.snapshot(true) == run.tables().snapshot(true));
        CHECK(reader.snapshot(false) == run.tables().snapshot(false));
    }
}

TEST_CASE("a snapshot cut short or altered is refused and changes nothing")
{
    auto run = Run { 7 };
    for (auto i = 0; i < 200; ++i)
        run.step();
    const auto bytes = run.tables().snapshot(true);
    auto random = Random { 1 };
    for (auto i = 0; i < 300; ++i) {
        auto tables = Tables {};
        const auto cut = random.below(bytes.size());
        CHECK_FALSE(tables.restore(bytes.substr(0, cut)).ok());
        auto altered = bytes;
        altered[random.below(altered.size())] ^= static_cast<char>(1 + random.below(255));
        if (!tables.restore(altered).ok())
            CHECK(tables.appliedIndex() == LogIndex {});
    }
}

} // namespace
} // namespace figrack::state
