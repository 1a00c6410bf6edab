#include "gateway/testing/retryworld.h"

#include <algorithm>
#include <string>
#include <utility>

#include "coord/testing/fakedisk.h"
#include "coord/testing/simnet.h"
#include "fleet/decisions.h"
#include "fleet/lastknown.h"
#include "fleet/metrics.h"

namespace figrack::gateway::testing {

namespace {

const auto service = ServiceId { "s" };
constexpr auto ratio = 0.2; ///< Retries per request, over all gateways.
constexpr auto reportEvery = std::chrono::milliseconds { 500 };
constexpr auto folder = "data";

auto nameOf(std::size_t control) -> NodeId
{
    return NodeId { "c" + std::to_string(control) };
}

} // namespace

struct RetryWorld::Control final : coord::Transport
{
    Control(RetryWorld &owner, std::size_t itsNumber)
        : world(owner)
        , number(itsNumber)
        , disk(owner.random_)
    {
        static_cast<void>(files.makeFolder(folder));
    }

    auto send(const NodeId &to, coord::Message message) -> void override
    {
        for (auto &other : world.controls_) {
            auto *receiver = other.get();
            if (nameOf(receiver->number) != to)
                continue;
            world.post(step, [receiver, message = std::move(message)] {
                if (receiver->replica)
                    receiver->replica->receive(message);
            });
            return;
        }
    }

    auto start() -> void
    {
        startsAt.reset();
        store = std::make_unique<fleet::LastKnownStore>(folder, files);
        metrics = std::make_unique<fleet::Metrics>();
        decisions = std::make_unique<fleet::Decisions>(fleet::DecisionOptions {}, world.clock_,
                                                       *store, *metrics);
        auto parts = fleet::RetryLedgerParts { world.clock_, [this] { return holdsLease(); },
                                               [this](const auto &reservation) {
                                                   propose(reservation);
                                               } };
        ledger = std::make_unique<fleet::RetryLedger>(world.ledger_, std::move(parts));
        decisions->setOnReserved(
                [this](const fleet::RetryReservation &reservation, Term term) {
                    ledger->onReserved(reservation, leadsIn == term);
                },
                [this] { ledger->onRestored(); });
        auto options = coord::ReplicaOptions {};
        options.self.node = nameOf(number);
        auto names = std::vector<std::string> {};
        for (std::size_t i = 0; i < world.controls_.size(); ++i)
            names.push_back(nameOf(i).value());
        options.founders = coord::testing::foundersNamed(names);
        options.snapshotEvery = 8; // So that restarts and slow followers get snapshots.
        options.keepEntries = 4;
        replica = std::make_unique<coord::Replica>(options, world.clock_, *this, disk,
                                                   decisions->log(), world.random_);
        decisions->setReplica(replica.get());
        static_cast<void>(replica->start());
    }

    auto stop(Instant restartAt) -> void
    {
        replica.reset();
        ledger.reset();
        decisions.reset();
        store.reset();
        disk.powerOff();
        leadsIn = {};
        startsAt = restartAt;
    }

    auto tick() -> void
    {
        replica->tick();
        const auto status = replica->status();
        leadsIn = status.role == coord::Role::Leader ? status.term : Term {};
        decisions->settle(status);
        ledger->tick();
    }

    auto holdsLease() const -> bool { return replica && replica->holdsLease(); }

    auto propose(const fleet::RetryReservation &reservation) -> void
    {
        decisions->reserveRetries(reservation, [this](const absl::Status &status) {
            if (!status.ok())
                ledger->onNotReserved(service);
        });
    }

    RetryWorld &world;
    std::size_t number;
    coord::testing::SimDisk disk;
    coord::testing::FakeDisk files;
    std::unique_ptr<fleet::LastKnownStore> store;
    std::unique_ptr<fleet::Metrics> metrics;
    std::unique_ptr<fleet::Decisions> decisions;
    std::unique_ptr<fleet::RetryLedger> ledger;
    std::unique_ptr<coord::Replica> replica; ///< Null while the process is down.
    Term leadsIn;                            ///< 0: it does not lead.
    std::optional<Instant> startsAt;
};

struct RetryWorld::Gateway
{
    std::unique_ptr<RetryBudget> budget; ///< Null while the process is down.
    std::uint64_t life = 0;
    Instant startsAt {};
    Instant cutUntil {};
};

RetryWorld::RetryWorld(const RetryWorldOptions &options)
    : options_(options)
    , random_(options.seed)
    , nextKill_(clock_.now() + options.killEvery)
    , begunAt_(clock_.now())
{
    budget_.ownRequests.ratio = ratio * proto::ownRetryPart;
    ledger_.ratio = ratio * (1 - proto::ownRetryPart);
    for (std::size_t i = 0; i < options_.controls; ++i)
        controls_.push_back(std::make_unique<Control>(*this, i));
    for (std::size_t i = 0; i < options_.gateways; ++i)
        gateways_.push_back(std::make_unique<Gateway>());
    for (auto &control : controls_)
        control->start();
}

RetryWorld::~RetryWorld() = default;

auto RetryWorld::run(Duration duration) -> void
{
    const auto end = clock_.now() + duration;
    while (clock_.now() < end) {
        clock_.advance(step);
        deliverDue();
        restartDue();
        killSome();
        for (auto &control : controls_) {
            if (control->replica)
                control->tick();
        }
        sendRequests();
        reportRequests();
    }
}

auto RetryWorld::post(Duration delay, std::function<void()> deliver) -> void
{
    deliveries_.push_back({ clock_.now() + delay, std::move(deliver) });
}

auto RetryWorld::deliverDue() -> void
{
    for (auto &delivery : std::exchange(deliveries_, {})) {
        if (delivery.at <= clock_.now())
            delivery.deliver();
        else
            deliveries_.push_back(std::move(delivery));
    }
}

auto RetryWorld::reportRequests() -> void
{
    if (clock_.now() < nextReport_)
        return;
    nextReport_ = clock_.now() + reportEvery;
    for (const auto &gateway : gateways_) {
        if (!gateway->budget)
            continue;
        for (const auto &requests : gateway->budget->takeRequests()) {
            for (const auto &control : controls_) {
                if (control->leadsIn != Term {} && clock_.now() >= gateway->cutUntil)
                    control->ledger->onRequests(requests.service, requests.count);
            }
        }
    }
}

auto RetryWorld::isRunning(std::size_t gateway, std::uint64_t life) const -> bool
{
    return gateways_[gateway]->budget && gateways_[gateway]->life == life;
}

auto RetryWorld::sendRequests() -> void
{
    const auto isBurst = ((clock_.now() - begunAt_) / std::chrono::seconds { 5 }) % 2 == 1;
    const auto rate = options_.requestsPerSecond * (isBurst ? options_.burst : 1);
    dueRequests_ += rate * std::chrono::duration<double> { step }.count();
    auto running = std::vector<std::size_t> {};
    for (std::size_t i = 0; i < gateways_.size(); ++i) {
        if (gateways_[i]->budget)
            running.push_back(i);
    }
    while (dueRequests_ >= 1 && !running.empty()) {
        dueRequests_ -= 1;
        const auto gateway = running[random_.below(running.size())];
        gateways_[gateway]->budget->onRequest(service);
        requests_.push_back(clock_.now());
        tryAgain(gateway, gateways_[gateway]->life, 1);
    }
}

auto RetryWorld::tryAgain(std::size_t gateway, std::uint64_t life, int attempts) -> void
{
    if (attempts >= maxAttempts || !random_.chance(options_.rejectedShare))
        return;
    gateways_[gateway]->budget->take(service, [this, gateway, life, attempts](Retry retry) {
        if (!isRunning(gateway, life) || !retry.isValid())
            return;
        const auto longest = static_cast<std::uint64_t>(options_.longestWait / step) + 1;
        const auto wait = step * static_cast<int>(random_.below(longest));
        const auto held = std::make_shared<Retry>(std::move(retry));
        post(wait,
             [this, gateway, life, attempts, held] { sendRetry(gateway, life, attempts, held); });
    });
}

auto RetryWorld::sendRetry(std::size_t gateway, std::uint64_t life, int attempts,
                           const std::shared_ptr<Retry> &retry) -> void
{
    if (!isRunning(gateway, life) || !retry->isValid())
        return;
    retry->send();
    retries_.push_back(clock_.now());
    tryAgain(gateway, life, attempts + 1);
}

auto RetryWorld::askLeader(std::size_t gateway, const proto::RetryGrantRequest &request,
                           Duration timeout, const RetryBudget::Granted &done) -> bool
{
    const auto leader = std::find_if(controls_.begin(), controls_.end(), [](const auto &control) {
        return control->leadsIn != Term {};
    });
    if (leader == controls_.end() || clock_.now() < gateways_[gateway]->cutUntil)
        return false;
    const auto isAnswered = std::make_shared<bool>(false);
    const auto life = gateways_[gateway]->life;
    const auto answer = [this, gateway, life, done, isAnswered](const auto &reply) {
        if (isRunning(gateway, life) && !std::exchange(*isAnswered, true))
            done(reply);
    };
    post(step, [this, control = leader->get(), request, answer] {
        if (!control->ledger)
            return;
        control->ledger->ask(request.service, [this, answer](const auto &reply) {
            post(step, [answer, reply] { answer(std::optional { reply }); });
        });
    });
    post(timeout, [answer] { answer(std::optional<proto::RetryGrantReply> {}); });
    return true;
}

auto RetryWorld::killSome() -> void
{
    const auto now = clock_.now();
    if (now < nextKill_)
        return;
    nextKill_ += options_.killEvery;
    for (auto &gateway : gateways_) {
        if (gateway->budget && random_.chance(options_.killedGateways)) {
            gateway->budget.reset();
            gateway->startsAt = now + options_.downFor;
        }
        if (random_.chance(options_.cutGateways))
            gateway->cutUntil = now + options_.downFor;
    }
    for (auto &control : controls_) {
        if (control->replica && random_.chance(options_.killedControls))
            control->stop(now + options_.downFor);
    }
}

auto RetryWorld::restartDue() -> void
{
    for (auto &control : controls_) {
        if (control->startsAt && *control->startsAt <= clock_.now())
            control->start();
    }
    for (std::size_t i = 0; i < gateways_.size(); ++i) {
        auto &gateway = *gateways_[i];
        if (gateway.budget || gateway.startsAt > clock_.now())
            continue;
        ++gateway.life;
        gateway.budget = std::make_unique<RetryBudget>(
                budget_, clock_, metrics_,
                [this, i](const auto &request, Duration timeout, const auto &done) {
                    return askLeader(i, request, timeout, done);
                });
    }
}

auto RetryWorld::countIn(const std::vector<Instant> &instants, Instant from, Duration length)
        -> std::size_t
{
    const auto begin = std::lower_bound(instants.begin(), instants.end(), from);
    const auto end = std::lower_bound(begin, instants.end(), from + length);
    return static_cast<std::size_t>(end - begin);
}

auto RetryWorld::allowedFrom(Instant from) const -> double
{
    const auto length = budget_.ownRequests.window;
    // Requests come before their retries, so those of a window up to a whole one earlier count.
    const auto requests = std::max({ countIn(requests_, from, length),
                                     countIn(requests_, from - length / 2, length),
                                     countIn(requests_, from - length, length) });
    return (budget_.ownRequests.ratio + ledger_.ratio) * static_cast<double>(requests)
            + ledger_.slack;
}

auto RetryWorld::mostOverBudget() const -> double
{
    auto most = -static_cast<double>(ledger_.slack);
    for (const auto from : retries_) {
        const auto retries = countIn(retries_, from, budget_.ownRequests.window);
        most = std::max(most, static_cast<double>(retries) - allowedFrom(from));
    }
    return most;
}

auto RetryWorld::mostInWindow() const -> std::size_t
{
    auto most = std::size_t { 0 };
    for (const auto from : retries_)
        most = std::max(most, countIn(retries_, from, budget_.ownRequests.window));
    return most;
}

auto RetryWorld::mostUsed() const -> double
{
    auto most = 0.0;
    for (const auto from : retries_) {
        const auto retries = countIn(retries_, from, budget_.ownRequests.window);
        most = std::max(most, static_cast<double>(retries) / allowedFrom(from));
    }
    return most;
}

} // namespace figrack::gateway::testing
