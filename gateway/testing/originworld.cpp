#include "gateway/testing/originworld.h"

#include <algorithm>
#include <optional>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "core/boottimer.h"

namespace figrack::gateway::testing {

namespace asio = boost::asio;

namespace {

auto pauseOf(asio::io_context &context, Duration duration) -> asio::awaitable<void>
{
    auto timer = BootTimer { context, duration };
    auto code = boost::system::error_code {};
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, code));
}

} // namespace

OriginWorld::OriginWorld(std::size_t maxEntries)
    : maxEntries_(maxEntries)
{ }

auto OriginWorld::addGateways(int count, const std::set<std::string> &versions) -> void
{
    controlVersions.insert(versions.begin(), versions.end());
    for (auto i = 0; i < count; ++i, ++added_) {
        add({ NodeId { "g" + std::to_string(added_) },
              { "10.0.0.1", static_cast<std::uint16_t>(added_ + 1) },
              DomainId { "d" + std::to_string(added_ % 3) } },
            versions);
    }
}

auto OriginWorld::add(const OriginOwner &row, const std::set<std::string> &versions) -> void
{
    auto gateway = std::make_unique<OriginGateway>();
    auto *entry = gateway.get();
    entry->row = row;
    entry->versions = versions;
    auto options = StreamOriginsOptions {};
    options.self = row.node;
    options.table.maxEntries = maxEntries_;
    // Long enough that no stall of a busy machine passes for a gateway's silence.
    options.askTimeout = std::chrono::milliseconds { 300 };
    options.askAgainAfter = std::chrono::milliseconds { 30 };
    options.teller.timeout = std::chrono::milliseconds { 30 };
    auto transport = OriginTransport { [this, node = row.node](OriginOwner to,
                                                               proto::StreamOriginMessage message,
                                                               Duration timeout) {
        return send(this, node, std::move(to), std::move(message), timeout);
    } };
    auto parts = StreamOriginsParts { context,
                                      clock,
                                      random_,
                                      entry->metrics,
                                      [entry](const ServiceId &) { return entry->versions; },
                                      [entry] { return entry->isComplete; },
                                      [this] { return rows(); },
                                      std::move(transport),
                                      controlsPart() };
    entry->origins = std::make_unique<StreamOrigins>(std::move(options), std::move(parts));
    gateways_.emplace(row.node, std::move(gateway));
}

auto OriginWorld::controlsPart() -> OriginControls
{
    return { [this](const proto::BegunStream &stream) {
                if (hasControls)
                    controls.keep(stream, proto::OriginKeeper::Others);
            },
             [this](const proto::StreamKey &key, Duration, const OriginControls::Done &done) {
                 done({ hasControls ? controls.find(key) : std::nullopt, false, controlVersions,
                        areControlsComplete });
             } };
}

auto OriginWorld::end(const NodeId &node) -> void
{
    gateways_.erase(node);
}

auto OriginWorld::nodes() const -> std::vector<NodeId>
{
    auto result = std::vector<NodeId> {};
    for (const auto &[node, gateway] : gateways_)
        result.push_back(node);
    return result;
}

auto OriginWorld::rows() const -> std::vector<OriginOwner>
{
    auto result = std::vector<OriginOwner> {};
    for (const auto &[node, gateway] : gateways_)
        result.push_back(gateway->row);
    return result;
}

auto OriginWorld::setVersions(const std::set<std::string> &versions) -> void
{
    controlVersions = versions;
    for (const auto &[node, gateway] : gateways_) {
        const auto before = std::exchange(gateway->versions, versions);
        if (before.size() < 2 && versions.size() > 1)
            gateway->origins->onSecondVersion(ServiceId { "s" });
    }
    run();
}

auto OriginWorld::keyOf(const std::string &attempt) -> proto::StreamKey
{
    return { ServiceId { "s" }, attempt };
}

auto OriginWorld::begin(const NodeId &node, const std::string &attempt, const std::string &version,
                        const std::string &account) -> void
{
    gateway(node).origins->onBegun(keyOf(attempt), { version, AccountId { account } });
    if (tellDelay == Duration::zero())
        run();
}

auto OriginWorld::find(const NodeId &node, const std::string &attempt, const std::string &account)
        -> FoundOrigin
{
    auto result = std::optional<FoundOrigin> {};
    auto work = [](OriginWorld *world, NodeId at, proto::StreamKey key, AccountId caller,
                   std::optional<FoundOrigin> *out) -> asio::awaitable<void> {
        *out = co_await world->gateway(at).origins->find(key, caller);
    };
    asio::co_spawn(context, work(this, node, keyOf(attempt), AccountId { account }, &result),
                   asio::detached);
    run();
    return result.value();
}

auto OriginWorld::run() -> void
{
    context.restart();
    context.run();
}

auto OriginWorld::ownersOf(const std::string &attempt) const -> std::vector<NodeId>
{
    auto result = std::vector<NodeId> {};
    for (const auto &owner : gateway::ownersOf(keyOf(attempt), rows()))
        result.push_back(owner.node);
    return result;
}

auto OriginWorld::strangerTo(const std::string &attempt, const NodeId &first) const -> NodeId
{
    const auto owners = ownersOf(attempt);
    const auto all = nodes();
    return *std::find_if(all.begin(), all.end(), [&](const auto &node) {
        return node != first && std::find(owners.begin(), owners.end(), node) == owners.end();
    });
}

// NOLINTNEXTLINE(performance-unnecessary-value-param): a coroutine owns what it uses.
auto OriginWorld::send(OriginWorld *world, NodeId from, OriginOwner to,
                       proto::StreamOriginMessage message, Duration timeout)
        -> asio::awaitable<OriginAnswer>
{
    const auto isTell = std::holds_alternative<proto::BegunStreams>(message);
    ++(isTell ? world->tells : world->queries);
    if (isTell && world->tellDelay > Duration::zero())
        co_await pauseOf(world->context, world->tellDelay);
    const auto target = world->gateways_.find(to.node);
    const auto sender = world->gateways_.find(from);
    const auto isSilent
            = (sender != world->gateways_.end() && sender->second->path == OriginPath::Silent)
            || (target != world->gateways_.end() && target->second->path == OriginPath::Silent);
    if (isSilent) {
        co_await pauseOf(world->context, timeout);
        co_return OriginFailure::NoAnswer;
    }
    if (target == world->gateways_.end())
        co_return OriginFailure::Refused;
    co_return target->second->origins->onMessage(message);
}

} // namespace figrack::gateway::testing
