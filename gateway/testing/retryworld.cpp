#include "gateway/testing/retryworld.h"

#include <algorithm>
#include <optional>
#include <string>

#include "fleet/registry.h"
#include "fleet/testing/fakepeer.h"

namespace figrack::gateway::testing {

using fleet::testing::FakePeer;

namespace {

const auto service = ServiceId { "s" };

} // namespace

struct RetryWorld::Control
{
    std::unique_ptr<fleet::Registry> registry; ///< Null while the process is down.
    std::optional<Instant> startsAt;
};

struct RetryWorld::Gateway
{
    std::unique_ptr<RetryWindow> window;          ///< Null while the process is down.
    std::vector<std::shared_ptr<FakePeer>> peers; ///< One for each control.
    std::optional<Instant> startsAt;
};

RetryWorld::RetryWorld(const RetryWorldOptions &options)
    : options_(options)
    , random_(options.seed)
    , nextKill_(clock_.now() + options.killEvery)
{
    for (std::size_t i = 0; i < options_.controls; ++i) {
        controls_.push_back(std::make_unique<Control>());
        controls_.back()->startsAt = clock_.now();
    }
    for (std::size_t i = 0; i < options_.gateways; ++i) {
        gateways_.push_back(std::make_unique<Gateway>());
        gateways_.back()->peers.resize(options_.controls);
        gateways_.back()->startsAt = clock_.now();
    }
}

RetryWorld::~RetryWorld() = default;

auto RetryWorld::run(Duration duration) -> void
{
    const auto end = clock_.now() + duration;
    while (clock_.now() < end) {
        restartDue();
        killSome();
        sendRequests();
        clock_.advance(step);
    }
}

auto RetryWorld::sendRequests() -> void
{
    dueRequests_ += options_.requestsPerSecond * std::chrono::duration<double> { step }.count();
    auto running = std::vector<Gateway *> {};
    for (const auto &gateway : gateways_) {
        if (gateway->window)
            running.push_back(gateway.get());
    }
    while (dueRequests_ >= 1 && !running.empty()) {
        dueRequests_ -= 1;
        auto &window = *running[random_.below(running.size())]->window;
        window.onRequest(service);
        requests_.push_back(clock_.now());
        for (auto attempt = 1; attempt < maxAttempts; ++attempt) {
            if (random_.unit() >= options_.rejectedShare || !window.take(service))
                break;
            repeats_.push_back(clock_.now());
        }
    }
}

auto RetryWorld::killSome() -> void
{
    if (clock_.now() < nextKill_)
        return;
    nextKill_ += options_.killEvery;
    const auto startsAt = clock_.now() + options_.downFor;
    for (std::size_t i = 0; i < gateways_.size(); ++i) {
        if (!gateways_[i]->window || random_.unit() >= options_.killedGateways)
            continue;
        gateways_[i]->window.reset();
        gateways_[i]->startsAt = startsAt;
        disconnect(i);
    }
    for (std::size_t i = 0; i < controls_.size(); ++i) {
        if (!controls_[i]->registry || random_.unit() >= options_.killedControls)
            continue;
        controls_[i]->registry.reset();
        controls_[i]->startsAt = startsAt;
    }
}

auto RetryWorld::restartDue() -> void
{
    const auto isDue = [this](auto &process) {
        if (!process.startsAt || *process.startsAt > clock_.now())
            return false;
        process.startsAt.reset();
        return true;
    };
    for (auto &control : controls_) {
        if (!isDue(*control))
            continue;
        control->registry = std::make_unique<fleet::Registry>(fleet::RegistryOptions {}, clock_);
    }
    for (std::size_t i = 0; i < gateways_.size(); ++i) {
        if (isDue(*gateways_[i]))
            gateways_[i]->window = std::make_unique<RetryWindow>(budget_, clock_);
        if (gateways_[i]->window)
            connect(i);
    }
}

/// Subscribes to the controls that run and do not know the gateway yet.
auto RetryWorld::connect(std::size_t gateway) -> void
{
    for (std::size_t i = 0; i < controls_.size(); ++i) {
        auto &peer = gateways_[gateway]->peers[i];
        auto &registry = controls_[i]->registry;
        if (!registry) {
            peer.reset();
        } else if (!peer) {
            peer = std::make_shared<FakePeer>("g" + std::to_string(gateway));
            auto subscribe = proto::Subscribe {};
            subscribe.kind = proto::SubscriberKind::Gateway;
            registry->onSubscribe(peer, subscribe);
            tell(i);
        }
    }
}

auto RetryWorld::disconnect(std::size_t gateway) -> void
{
    for (std::size_t i = 0; i < controls_.size(); ++i) {
        auto &peer = gateways_[gateway]->peers[i];
        if (peer && controls_[i]->registry) {
            controls_[i]->registry->onClose(peer);
            tell(i);
        }
        peer.reset();
    }
}

/// Each update of a control carries its number of gateways.
auto RetryWorld::tell(std::size_t control) -> void
{
    for (const auto &gateway : gateways_) {
        if (gateway->window && gateway->peers[control])
            gateway->window->setGateways(controls_[control]->registry->gatewayCount());
    }
}

auto RetryWorld::countIn(const std::vector<Instant> &instants, Instant from, Duration length)
        -> std::size_t
{
    const auto begin = std::lower_bound(instants.begin(), instants.end(), from);
    const auto end = std::lower_bound(begin, instants.end(), from + length);
    return static_cast<std::size_t>(end - begin);
}

auto RetryWorld::mostOverBudget() const -> double
{
    const auto length = budget_.window;
    auto most = -budget_.slack;
    for (const auto from : repeats_) {
        // Requests come before their repeats, so those of a window up to a whole one earlier count.
        const auto requests = std::max({ countIn(requests_, from, length),
                                         countIn(requests_, from - length / 2, length),
                                         countIn(requests_, from - length, length) });
        const auto allowed = budget_.ratio * static_cast<double>(requests) + budget_.slack;
        const auto repeats = static_cast<double>(countIn(repeats_, from, length));
        most = std::max(most, repeats - allowed);
    }
    return most;
}

} // namespace figrack::gateway::testing
