#include "gateway/testing/fleetworld.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

#include "core/hash.h"
#include "core/log.h"
#include "proto/codec.h"

namespace figrack::gateway::testing {

using fleet::testing::LinkedPeer;

namespace {

constexpr auto domainCount = std::size_t { 3 };
constexpr auto announceEvery = std::chrono::seconds { 3 };
const auto service = ServiceId { "engines" };

auto domainOf(std::size_t number) -> DomainId
{
    return DomainId { "d" + std::to_string(number % domainCount) };
}

auto modelNamed(std::size_t number) -> ModelId
{
    return ModelId { "model-" + std::to_string(number) };
}

auto addressOf(std::size_t control) -> Address
{
    return { "10.0.0." + std::to_string(control + 1), 1 };
}

} // namespace

struct FleetWorld::Control
{
    explicit Control(std::size_t number, const Clock &clock)
        : registry(options(number), clock)
        , contact({ .self = options(number).self, .currentWithin = std::chrono::hours { 24 } },
                  clock)
        , announcements(registry, fleet::KnownServices { readNothing }, contact, clock, metrics)
    {
        contact.observe(memberStatus(number));
    }
    /// There is no replica here: all controls count as in touch with their group.
    static auto memberStatus(std::size_t number) -> coord::ReplicaStatus
    {
        auto self = coord::Member {};
        self.node = options(number).self;
        self.incarnation = Incarnation { 1 };
        auto status = coord::ReplicaStatus {};
        status.role = coord::Role::Follower;
        status.leader = NodeId { "leader" };
        status.incarnation = self.incarnation;
        status.membership.members = { self };
        return status;
    }
    static auto readNothing(std::string_view /*text*/) -> absl::StatusOr<catalogue::Catalogue>
    {
        return catalogue::Catalogue {};
    }
    static auto options(std::size_t number) -> fleet::RegistryOptions
    {
        auto result = fleet::RegistryOptions {};
        result.self = NodeId { "c" + std::to_string(number) };
        result.table.silentAfter = announceEvery * 3 + std::chrono::seconds { 1 };
        result.settleAfterStart = Duration {};
        return result;
    }
    fleet::Registry registry;
    fleet::Metrics metrics;
    fleet::GroupContact contact;
    fleet::Announcements announcements;
    Traffic sent;
    bool isDown = false;
    bool isCutOff = false;
    std::map<std::size_t, proto::PeerPointer> links; ///< To the other controls, by number.
};

struct FleetWorld::Gateway
{
    Gateway(std::size_t number, const Clock &clock)
        : watch({}, mixHash(number, 1), domainOf(number), clock)
        , view({}, clock)
    { }
    EndpointWatch watch;
    FleetView view;
    Traffic received;
    std::vector<proto::PeerPointer> peers; ///< Of the controls, by number.
    std::uint64_t life = 0;
    NodeId watchesAt; ///< As announced to the controls.
};

FleetWorld::FleetWorld(std::size_t gateways, std::size_t endpoints)
{
    // A line for each row of each control would take most of the time.
    static const auto logging = startLogging({ LogLevel::Error, {}, 0, {} });
    static_cast<void>(logging);
    for (std::size_t i = 0; i < controlCount; ++i)
        controls_.push_back(std::make_unique<Control>(i, clock_));
    connectControls();
    for (std::size_t i = 0; i < endpoints; ++i)
        addEndpoint(i % controlCount);
    for (std::size_t i = 0; i < gateways; ++i) {
        gateways_.push_back(std::make_unique<Gateway>(i, clock_));
        connect(i);
    }
}

FleetWorld::~FleetWorld() = default;

auto FleetWorld::addEndpoint(std::size_t control) -> std::size_t
{
    const auto endpoint = endpoints_.size();
    endpoints_.push_back(makeRow(endpoint));
    announcesTo_.push_back(control);
    gone_.push_back(false);
    return endpoint;
}

auto FleetWorld::makeRow(std::size_t endpoint) -> catalogue::EndpointRow
{
    auto row = catalogue::EndpointRow {};
    row.id = endpointId(endpoint);
    row.service = service;
    row.address = { "10.1.0.1", static_cast<std::uint16_t>(endpoint % 60000 + 1) };
    row.domain = domainOf(endpoint / controlCount);
    row.sequence = 1;
    // Every model is held somewhere, and half of the places hold a tenth of the models.
    row.models = { { modelNamed(endpoint % modelCount), {} },
                   { modelNamed(random_.below(modelCount / 10)), {} } };
    row.onDisk = { modelNamed(random_.below(modelCount)) };
    return row;
}

auto FleetWorld::endpointId(std::size_t endpoint) -> EndpointId
{
    return EndpointId { "i-" + std::to_string(mixHash(endpoint, 0) % 1'000'000'007),
                        Incarnation { 1'700'000'000'000 + endpoint } };
}

auto FleetWorld::post(std::function<void()> deliver) -> void
{
    messages_.push_back(std::move(deliver));
}

auto FleetWorld::connectControls() -> void
{
    auto group = fleet::GroupView {};
    for (std::size_t i = 0; i < controlCount; ++i) {
        auto member = coord::Member {};
        member.node = NodeId { "c" + std::to_string(i) };
        member.domain = domainOf(i);
        member.address = addressOf(i).text();
        group.controls.push_back(member);
    }
    for (std::size_t from = 0; from < controlCount; ++from) {
        controls_[from]->registry.setGroup(group);
        for (std::size_t to = 0; to < controlCount; ++to) {
            if (from == to)
                continue;
            // The receiver's end of the connection, on which it acknowledges.
            auto back = std::make_shared<proto::PeerPointer>();
            auto *sender = controls_[from].get();
            auto *receiver = controls_[to].get();
            auto acknowledge = [this, sender, back](const proto::Envelope &envelope) {
                const auto ack = std::get<proto::ServingAck>(envelope.payload);
                post([sender, back, ack] {
                    if (!sender->isDown && !sender->isCutOff)
                        sender->registry.onAck(*back, ack);
                });
            };
            const auto end = std::make_shared<LinkedPeer>("c" + std::to_string(from),
                                                          std::move(acknowledge));
            auto deliver = [this, sender, receiver, end](const proto::Envelope &envelope) {
                ++sender->sent.messages;
                sender->sent.bytes += proto::encode(envelope).size();
                post([sender, receiver, end,
                      update = std::get<proto::ServingUpdate>(envelope.payload)] {
                    const auto isCut = receiver->isCutOff || sender->isCutOff;
                    if (!receiver->isDown && !sender->isDown && !isCut)
                        receiver->registry.onUpdate(end, update);
                });
            };
            auto peer = std::make_shared<LinkedPeer>("c" + std::to_string(to), std::move(deliver));
            *back = peer;
            controls_[from]->links.emplace(to, peer);
            subscribeControl(from, to);
        }
    }
}

auto FleetWorld::subscribeControl(std::size_t from, std::size_t to) -> void
{
    auto subscribe = proto::Subscribe {};
    subscribe.kind = proto::SubscriberKind::Control;
    subscribe.hasWatchers = true;
    controls_[from]->registry.onSubscribe(controls_[from]->links.at(to), subscribe);
}

auto FleetWorld::cutOff(std::size_t control) -> void
{
    controls_[control]->isCutOff = true;
    for (const auto &[other, link] : controls_[control]->links) {
        controls_[control]->registry.onClose(link);
        controls_[other]->registry.onClose(controls_[other]->links.at(control));
    }
}

auto FleetWorld::reconnect(std::size_t control) -> void
{
    controls_[control]->isCutOff = false;
    for (const auto &[other, link] : controls_[control]->links) {
        subscribeControl(control, other);
        subscribeControl(other, control);
    }
}

auto FleetWorld::knows(std::size_t control, std::size_t endpoint) const -> bool
{
    const auto *row = controls_[control]->registry.find(endpointId(endpoint));
    return row != nullptr && row->state != catalogue::EndpointState::Gone;
}

auto FleetWorld::connect(std::size_t gateway) -> void
{
    auto &node = *gateways_[gateway];
    for (std::size_t i = 0; i < controlCount; ++i) {
        auto deliver = [this, gateway, i, life = node.life](const proto::Envelope &envelope) {
            const auto bytes = proto::encode(envelope).size();
            for (auto *traffic : { &controls_[i]->sent, &gateways_[gateway]->received }) {
                ++traffic->messages;
                traffic->bytes += bytes;
            }
            post([this, gateway, i, life, envelope] {
                if (gateways_[gateway]->life == life && !controls_[i]->isDown)
                    onEnvelope(gateway, i, envelope);
            });
        };
        node.peers.push_back(
                std::make_shared<LinkedPeer>("g" + std::to_string(gateway), std::move(deliver)));
        if (!controls_[i]->isDown)
            node.watch.onOpen(addressOf(i), NodeId { "c" + std::to_string(i) });
    }
    subscribe(gateway);
}

auto FleetWorld::subscribe(std::size_t gateway) -> void
{
    auto &node = *gateways_[gateway];
    auto subscribe = proto::Subscribe {};
    subscribe.domain = domainOf(gateway);
    subscribe.ready = true;
    subscribe.wholeUpTo = node.watch.wholeUpTo();
    subscribe.watchesAt = node.watchesAt = node.watch.watchesAt();
    for (std::size_t i = 0; i < controlCount; ++i) {
        if (!controls_[i]->isDown)
            controls_[i]->registry.onSubscribe(node.peers[i], subscribe);
    }
}

auto FleetWorld::onEnvelope(std::size_t gateway, std::size_t control,
                            const proto::Envelope &envelope) -> void
{
    auto &node = *gateways_[gateway];
    if (const auto *reply = std::get_if<proto::WatchReply>(&envelope.payload)) {
        const auto isReset = node.watch.onReply(addressOf(control), *reply);
        if (node.watch.source() == addressOf(control))
            node.view.applyWatched(reply->endpoints, isReset);
        watch(gateway);
    } else if (const auto *update = std::get_if<proto::ServingUpdate>(&envelope.payload)) {
        onUpdate(gateway, control, *update);
    }
}

auto FleetWorld::onUpdate(std::size_t gateway, std::size_t control,
                          const proto::ServingUpdate &update) -> void
{
    auto &node = *gateways_[gateway];
    node.watch.onControls(update.controls);
    if (node.watch.onUpdate(addressOf(control), update)) {
        node.view.withdrawAll();
        subscribe(gateway);
    }
    const auto isSource = node.watch.source() == addressOf(control);
    if (node.watch.isWhole() || isSource)
        node.view.apply(update);
    if (!node.watch.isWhole() && isSource)
        node.view.onSourceHeard();
    watch(gateway);
    if (!update.wantsAck)
        return;
    post([this, control, peer = node.peers[control], number = update.number] {
        if (!controls_[control]->isDown)
            controls_[control]->registry.onAck(peer, { number });
    });
}

auto FleetWorld::watch(std::size_t gateway) -> void
{
    auto asks = gateways_[gateway]->watch.next();
    if (gateways_[gateway]->watchesAt != gateways_[gateway]->watch.watchesAt())
        subscribe(gateway);
    for (auto &ask : asks) {
        for (std::size_t i = 0; i < controlCount; ++i) {
            if (addressOf(i) != ask.control || controls_[i]->isDown)
                continue;
            post([this, i, peer = gateways_[gateway]->peers[i], request = ask.request] {
                if (!controls_[i]->isDown)
                    peer->send({ 1, controls_[i]->registry.onWatch(peer, request) });
            });
        }
    }
}

auto FleetWorld::announce(std::size_t endpoint, bool isLeaving,
                          const std::function<void(absl::Status)> &done) -> void
{
    auto &row = endpoints_[endpoint];
    ++row.sequence;
    auto control = announcesTo_[endpoint];
    while (controls_[control]->isDown)
        control = (control + 1) % controlCount;
    if (isLeaving) {
        row.state = catalogue::EndpointState::Draining;
        gone_[endpoint] = true;
        controls_[control]->registry.onLeaving(row, done);
    } else {
        controls_[control]->registry.onAnnouncement(row);
    }
}

auto FleetWorld::announceDue() -> void
{
    const auto inStep
            = endpoints_.size() * static_cast<std::size_t>(step.count())
            / static_cast<std::size_t>(
                      std::chrono::duration_cast<std::chrono::milliseconds>(announceEvery).count());
    for (std::size_t i = 0; i < inStep + 1; ++i) {
        const auto endpoint = nextAnnouncement_++ % endpoints_.size();
        if (!gone_[endpoint])
            announce(endpoint, false, {});
    }
}

auto FleetWorld::run(Duration duration) -> void
{
    const auto until = clock_.now() + duration;
    while (clock_.now() < until) {
        clock_.advance(step);
        announceDue();
        for (auto &deliver : std::exchange(messages_, {}))
            deliver();
        for (auto &control : controls_) {
            if (!control->isDown)
                control->registry.tick();
        }
        for (std::size_t i = 0; i < gateways_.size(); ++i) {
            for (std::size_t number = 0; number < asked_; ++number)
                gateways_[i]->watch.want(keyAsked(i, number));
            watch(i);
        }
    }
}

auto FleetWorld::keyAsked(std::size_t gateway, std::size_t number) const -> proto::WatchKey
{
    const auto draw = mixHash(mixHash(gateway, number), 3);
    // Half of the requests are for a tenth of the models.
    const auto models = draw % 2 == 0 ? modelCount / 10 : modelCount;
    return { service, modelNamed(draw / 2 % models), {} };
}

auto FleetWorld::ask(std::size_t models) -> void
{
    asked_ = models;
}

auto FleetWorld::unknownShare() -> double
{
    auto unknown = std::size_t { 0 };
    for (std::size_t i = 0; i < gateways_.size(); ++i) {
        const auto entries = gateways_[i]->view.of(service);
        for (std::size_t number = 0; number < asked_; ++number) {
            const auto key = keyAsked(i, number);
            const auto isKnown
                    = std::any_of(entries.begin(), entries.end(), [&](const auto *entry) {
                          return entry->row.find(key.model) != nullptr;
                      });
            unknown += isKnown ? 0 : 1;
        }
    }
    return static_cast<double>(unknown) / static_cast<double>(gateways_.size() * asked_);
}

auto FleetWorld::leave(std::size_t endpoint, const std::function<void(absl::Status)> &done) -> void
{
    announce(endpoint, true, done);
}

auto FleetWorld::deregister(std::size_t endpoint, std::size_t control,
                            const std::function<void(absl::Status)> &done) -> void
{
    gone_[endpoint] = true;
    controls_[control]->announcements.onDeregistration(endpointId(endpoint), done);
}

auto FleetWorld::swapModelSomewhere() -> void
{
    const auto endpoint = random_.below(endpoints_.size());
    endpoints_[endpoint].models.back().model = modelNamed(random_.below(modelCount));
    announce(endpoint, false, {});
}

auto FleetWorld::sendersTo(std::size_t endpoint) -> std::size_t
{
    return static_cast<std::size_t>(
            std::count_if(gateways_.begin(), gateways_.end(), [&](const auto &gateway) {
                return gateway->view.takesWork(endpointId(endpoint));
            }));
}

auto FleetWorld::restartGateway(std::size_t gateway) -> void
{
    auto &node = gateways_[gateway];
    for (std::size_t i = 0; i < controlCount; ++i) {
        if (!controls_[i]->isDown)
            controls_[i]->registry.onClose(node->peers[i]);
    }
    const auto life = node->life + 1;
    const auto received = node->received;
    node = std::make_unique<Gateway>(gateway, clock_);
    node->life = life;
    node->received = received;
    connect(gateway);
}

auto FleetWorld::killControl(std::size_t control) -> void
{
    controls_[control]->isDown = true;
    for (auto &gateway : gateways_)
        gateway->watch.onClosed(addressOf(control));
    for (std::size_t i = 0; i < controlCount; ++i) {
        if (const auto link = controls_[i]->links.find(control); link != controls_[i]->links.end())
            controls_[i]->registry.onClose(link->second);
    }
}

auto FleetWorld::resetTraffic() -> void
{
    for (auto &control : controls_)
        control->sent = {};
    for (auto &gateway : gateways_)
        gateway->received = {};
}

auto FleetWorld::received(std::size_t gateway) const -> Traffic
{
    return gateways_[gateway]->received;
}

auto FleetWorld::mostReceived() const -> Traffic
{
    auto most = Traffic {};
    for (const auto &gateway : gateways_) {
        most.messages = std::max(most.messages, gateway->received.messages);
        most.bytes = std::max(most.bytes, gateway->received.bytes);
    }
    return most;
}

auto FleetWorld::sentBy(std::size_t control) const -> Traffic
{
    return controls_[control]->sent;
}

auto FleetWorld::isWhole(std::size_t gateway) const -> bool
{
    return gateways_[gateway]->watch.isWhole();
}

auto FleetWorld::offeredTo(std::size_t gateway) -> std::size_t
{
    return gateways_[gateway]->view.of(service).size();
}

auto FleetWorld::knownTo(std::size_t gateway) const -> std::size_t
{
    return gateways_[gateway]->view.size();
}

} // namespace figrack::gateway::testing
