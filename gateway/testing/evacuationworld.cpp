#include "gateway/testing/evacuationworld.h"

#include <algorithm>
#include <utility>

#include "fleet/lastknown.h"
#include "fleet/metrics.h"

namespace figrack::gateway::testing {

using fleet::testing::LinkedPeer;
using std::chrono::milliseconds;

namespace {

constexpr auto folder = "data";
constexpr auto tick = milliseconds { 10 };
constexpr auto announceEvery = milliseconds { 500 };

auto nameOf(std::size_t control) -> std::string
{
    return "c" + std::to_string(control);
}

} // namespace

struct EvacuationWorld::Control final : coord::Transport
{
    Control(EvacuationWorld &owner, std::size_t itsNumber)
        : world(owner)
        , number(itsNumber)
        , disk(owner.random_)
    {
        static_cast<void>(files.makeFolder(folder));
    }

    auto send(const NodeId &to, coord::Message message) -> void override
    {
        for (auto &other : world.controls_) {
            if (NodeId { nameOf(other->number) } != to)
                continue;
            auto *receiver = other.get();
            world.post([receiver, message = std::move(message)] {
                if (receiver->replica)
                    receiver->replica->receive(message);
            });
            return;
        }
    }

    auto start() -> void
    {
        ++life;
        store = std::make_unique<fleet::LastKnownStore>(folder, files);
        metrics = std::make_unique<fleet::Metrics>();
        decisions = std::make_unique<fleet::Decisions>(fleet::DecisionOptions {}, world.clock_,
                                                       *store, *metrics);
        decisions->recall();
        auto registryOptions = fleet::RegistryOptions {};
        registryOptions.self = NodeId { nameOf(number) };
        registry = std::make_unique<fleet::Registry>(registryOptions, world.clock_);
        auto options = coord::ReplicaOptions {};
        options.self.node = NodeId { nameOf(number) };
        auto names = std::vector<std::string> {};
        for (std::size_t i = 0; i < world.controls_.size(); ++i)
            names.push_back(nameOf(i));
        options.founders = coord::testing::foundersNamed(names);
        options.snapshotEvery = 8; // So that restarts and slow followers get snapshots.
        options.keepEntries = 4;
        replica = std::make_unique<coord::Replica>(options, world.clock_, *this, disk,
                                                   decisions->log(), world.random_);
        decisions->setReplica(replica.get());
        static_cast<void>(replica->start());
    }

    auto stop() -> void
    {
        replica.reset();
        decisions.reset();
        registry.reset();
        store.reset();
        disk.powerOff();
    }

    EvacuationWorld &world;
    std::size_t number;
    coord::testing::SimDisk disk;
    coord::testing::FakeDisk files;
    std::unique_ptr<fleet::LastKnownStore> store;
    std::unique_ptr<fleet::Metrics> metrics;
    std::unique_ptr<fleet::Decisions> decisions;
    std::unique_ptr<fleet::Registry> registry;
    std::unique_ptr<coord::Replica> replica; ///< Null while the process is down.
    std::uint64_t life = 0;
};

struct EvacuationWorld::Gateway
{
    explicit Gateway(const Clock &clock)
        : view(std::make_unique<FleetView>(FleetViewOptions {}, clock))
    { }
    std::unique_ptr<FleetView> view;
    std::uint64_t life = 1;
    bool isCut = false;
    NodeId leader;
    Term term;
    /// Connections to the controls, by number, with the life of the control.
    std::map<std::size_t, std::pair<std::uint64_t, proto::PeerPointer>> peers;
};

EvacuationWorld::EvacuationWorld(std::size_t controls, std::size_t gateways)
{
    for (std::size_t i = 0; i < controls; ++i)
        controls_.push_back(std::make_unique<Control>(*this, i));
    for (std::size_t i = 0; i < gateways; ++i)
        gateways_.push_back(std::make_unique<Gateway>(clock_));
    for (auto &control : controls_)
        control->start();
}

EvacuationWorld::~EvacuationWorld() = default;

auto EvacuationWorld::endpointIn(const std::string &domain) -> EndpointId
{
    return EndpointId { "e-" + domain };
}

auto EvacuationWorld::post(std::function<void()> deliver) -> void
{
    messages_.push_back({ clock_.now() + step, std::move(deliver) });
}

auto EvacuationWorld::run(Duration duration) -> void
{
    const auto until = clock_.now() + duration;
    while (clock_.now() < until) {
        clock_.advance(step);
        const auto now = clock_.now();
        for (auto &message : std::exchange(messages_, {})) {
            if (message.at <= now)
                message.deliver();
            else
                messages_.push_back(std::move(message));
        }
        connect();
        announce();
        const auto ticks = now >= nextTick_;
        if (ticks)
            nextTick_ = now + tick;
        for (auto &control : controls_) {
            if (!control->replica)
                continue;
            if (ticks) {
                control->replica->tick();
                control->registry->tick();
                control->decisions->rollout().settle();
            }
            publish(*control);
        }
        sendRequest();
        if (onStep_)
            onStep_();
    }
}

auto EvacuationWorld::publish(Control &control) -> void
{
    const auto status = control.replica->status();
    control.decisions->settle(status);
    auto group = fleet::GroupView {};
    group.leader = status.leader;
    group.term = status.term;
    group.evacuations = control.decisions->newestEvacuations();
    control.registry->setGroup(group);
}

auto EvacuationWorld::announce() -> void
{
    if (clock_.now() < nextAnnouncement_)
        return;
    nextAnnouncement_ = clock_.now() + announceEvery;
    ++sequence_;
    for (const auto &domain : domains()) {
        auto row = catalogue::EndpointRow {};
        row.id = endpointIn(domain);
        row.service = ServiceId { "s" };
        row.address = { "10.0.0." + domain.substr(1), 80 };
        row.domain = DomainId { domain };
        row.sequence = sequence_;
        for (auto &control : controls_) {
            if (control->replica)
                control->registry->onAnnouncement(row);
        }
    }
}

auto EvacuationWorld::connect() -> void
{
    for (std::size_t i = 0; i < gateways_.size(); ++i) {
        auto &gateway = *gateways_[i];
        for (auto &control : controls_) {
            auto &[life, peer] = gateway.peers[control->number];
            if (!control->replica || gateway.isCut || life == control->life)
                continue;
            life = control->life;
            auto deliver = [this, i, number = control->number, life = life,
                            ownLife = gateway.life](const proto::Envelope &envelope) {
                const auto *update = std::get_if<proto::ServingUpdate>(&envelope.payload);
                if (update == nullptr)
                    return;
                post([this, i, number, life, ownLife, update = *update] {
                    if (gateways_[i]->life == ownLife)
                        deliverUpdate(i, number, life, update);
                });
            };
            peer = std::make_shared<LinkedPeer>("g" + std::to_string(i), std::move(deliver));
            auto subscribe = proto::Subscribe {};
            subscribe.ready = true;
            subscribe.inForce.evacuations = gateway.view->evacuations().revision;
            control->registry->onSubscribe(peer, subscribe);
            control->decisions->rollout().onSubscribed(peer, true, subscribe.inForce);
        }
    }
}

auto EvacuationWorld::deliverUpdate(std::size_t gateway, std::size_t control, std::uint64_t life,
                                    const proto::ServingUpdate &update) -> void
{
    auto &receiver = *gateways_[gateway];
    if (receiver.isCut || controls_[control]->life != life)
        return;
    const auto before = receiver.view->evacuations().revision;
    receiver.view->apply(update);
    auto hasNews = receiver.view->evacuations().revision != before;
    if (!update.leader.empty() && update.term >= receiver.term) {
        receiver.term = update.term;
        hasNews = std::exchange(receiver.leader, update.leader) != update.leader || hasNews;
    }
    if (hasNews)
        report(gateway);
}

auto EvacuationWorld::report(std::size_t gateway) -> void
{
    auto inForce = proto::InForce {};
    inForce.evacuations = gateways_[gateway]->view->evacuations().revision;
    for (auto &control : controls_) {
        const auto &[life, peer] = gateways_[gateway]->peers[control->number];
        if (NodeId { nameOf(control->number) } != gateways_[gateway]->leader || peer == nullptr)
            continue;
        post([this, gateway, leader = control.get(), life = life, peer = peer, inForce] {
            if (leader->replica && leader->life == life && !gateways_[gateway]->isCut)
                leader->decisions->rollout().onInForce(peer, inForce);
        });
    }
}

auto EvacuationWorld::request(const catalogue::EvacuationChange &change) -> void
{
    pending_ = change;
    requestedAt_ = clock_.now();
    isAsking_ = false;
    ++attempt_;
}

auto EvacuationWorld::sendRequest() -> void
{
    if (!pending_ || isAsking_)
        return;
    auto &control = *controls_[nextControl_++ % controls_.size()];
    if (!control.replica || !control.replica->holdsLease())
        return;
    isAsking_ = true;
    const auto attempt = ++attempt_;
    control.decisions->changeEvacuation(*pending_, [this, attempt](const absl::Status &status) {
        if (attempt != attempt_)
            return;
        isAsking_ = false;
        if (!status.ok())
            return;
        pending_.reset();
        acknowledgedAfter_ = clock_.now() - requestedAt_;
    });
}

auto EvacuationWorld::leader() const -> std::optional<std::size_t>
{
    for (const auto &control : controls_) {
        if (control->replica && control->replica->holdsLease())
            return control->number;
    }
    return std::nullopt;
}

auto EvacuationWorld::kill(std::size_t control) -> void
{
    auto &node = *controls_[control];
    if (!node.replica)
        return;
    // The operator's connection breaks with the process.
    ++attempt_;
    isAsking_ = false;
    node.stop();
}

auto EvacuationWorld::restart(std::size_t control) -> void
{
    if (!controls_[control]->replica)
        controls_[control]->start();
}

auto EvacuationWorld::restartGateway(std::size_t gateway) -> void
{
    auto &node = *gateways_[gateway];
    for (auto &[number, item] : node.peers) {
        auto &control = *controls_[number];
        if (item.second == nullptr || !control.replica || item.first != control.life)
            continue;
        control.registry->onClose(item.second);
        control.decisions->rollout().onLost(item.second);
    }
    const auto life = node.life + 1;
    node = Gateway { clock_ };
    node.life = life;
}

auto EvacuationWorld::cut(std::size_t gateway, bool isCut) -> void
{
    auto &node = *gateways_[gateway];
    node.isCut = isCut;
    if (isCut)
        return;
    // The connections did not survive: the gateway subscribes again.
    for (auto &[number, item] : node.peers) {
        auto &control = *controls_[number];
        if (item.second != nullptr && control.replica && item.first == control.life) {
            control.registry->onClose(item.second);
            control.decisions->rollout().onLost(item.second);
        }
        item = {};
    }
}

auto EvacuationWorld::sendersTo(const std::string &domain) -> std::vector<std::size_t>
{
    auto result = std::vector<std::size_t> {};
    for (std::size_t i = 0; i < gateways_.size(); ++i) {
        if (gateways_[i]->view->takesWork(endpointIn(domain)))
            result.push_back(i);
    }
    return result;
}

auto EvacuationWorld::decisions(std::size_t control) -> fleet::Decisions &
{
    return *controls_[control]->decisions;
}

auto EvacuationWorld::serves(std::size_t gateway) -> bool
{
    return !gateways_[gateway]->view->of(ServiceId { "s" }).empty();
}

} // namespace figrack::gateway::testing
