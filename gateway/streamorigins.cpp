#include "gateway/streamorigins.h"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "core/boottimer.h"
#include "core/log.h"

namespace figrack::gateway {

namespace asio = boost::asio;

namespace {

/// Streams whose owners are told before other work of the process goes on. Takes about 2 ms with
/// 256 gateways; a full table takes half a second.
constexpr auto toldAtOnce = std::size_t { 256 };

/// Gateways that have been asked at the same time.
struct Round
{
    Round(asio::io_context &context, Duration timeout, std::size_t asked)
        : timer(context, timeout)
        , pending(asked)
    { }
    auto onAnswer(OriginAnswer answer) -> void
    {
        --pending;
        const auto *reply = std::get_if<proto::StreamOriginReply>(&answer);
        isKnown = isKnown || (reply != nullptr && reply->origin);
        answers.push_back(std::move(answer));
        if (isDecided())
            timer.cancel();
    }
    auto isDecided() const -> bool { return pending == 0 || isKnown; }
    BootTimer timer; ///< Until the round ends without all answers.
    std::size_t pending;
    std::vector<OriginAnswer> answers;
    bool isKnown = false;
};

/// What controls have answered.
struct ControlQuestion
{
    ControlQuestion(asio::io_context &context, Duration timeout)
        : timer(context, timeout)
    { }
    BootTimer timer;
    ControlAnswer answer { .origin = std::nullopt, .mayBeKnown = true };
    bool isOver = false;
};

auto awaitTimer(BootTimer &timer) -> asio::awaitable<void>
{
    auto code = boost::system::error_code {};
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, code));
}

} // namespace

class StreamOrigins::Impl : public std::enable_shared_from_this<Impl>
{
public:
    Impl(StreamOriginsOptions options, StreamOriginsParts parts)
        : options_(std::move(options))
        , parts_(std::move(parts))
        , table_(options_.table, parts_.clock)
        , teller_(std::make_unique<OriginTeller>(
                  options_.teller,
                  OriginTellerParts { parts_.context, parts_.metrics, parts_.transport }))
    { }

    /// From here on, coroutines that are left don't use the dependencies.
    auto stop() -> void
    {
        stopped_ = true;
        teller_.reset();
    }

    auto onBegun(const proto::StreamKey &key, proto::StreamOrigin origin) -> void
    {
        auto stream = proto::BegunStream { key, std::move(origin) };
        if (!keep(stream, proto::OriginKeeper::Own))
            return;
        if (parts_.versionsOf(key.service).size() > 1)
            tellOwners(stream, parts_.gateways());
    }

    auto onSecondVersion(const ServiceId &service) -> void
    {
        auto streams = table_.ownOf(service);
        LogEvent(LogLevel::Info, "origins_told_to_owners")
                .with("service", service)
                .with("streams", static_cast<std::uint64_t>(streams.size()));
        asio::co_spawn(parts_.context, tellAll(shared_from_this(), std::move(streams), false),
                       asio::detached);
    }

    auto onLeaving() -> void
    {
        auto streams = table_.all();
        std::erase_if(streams, [this](const auto &stream) {
            return parts_.versionsOf(stream.key.service).size() <= 1;
        });
        LogEvent(LogLevel::Info, "origins_handed_on")
                .with("streams", static_cast<std::uint64_t>(streams.size()));
        asio::co_spawn(parts_.context, tellAll(shared_from_this(), std::move(streams), true),
                       asio::detached);
    }

    // NOLINTNEXTLINE(performance-unnecessary-value-param): a coroutine owns what it uses.
    static auto find(std::shared_ptr<Impl> self, proto::StreamKey key, AccountId account)
            -> asio::awaitable<FoundOrigin>
    {
        auto evidence = self->ownEvidence(key);
        if (!evidence.hasOrigin())
            co_await askOthers(self, key, evidence);
        const auto found = evidence.found(account, self->options_.waits);
        if (!self->stopped_)
            self->onFound(key, evidence, found);
        co_return found;
    }

    auto onMessage(const proto::StreamOriginMessage &message) -> proto::StreamOriginReply
    {
        return std::visit([this](const auto &alternative) { return answer(alternative); }, message);
    }

    auto size() const -> std::size_t { return table_.size(); }

private:
    auto answer(const proto::BegunStreams &begun) -> proto::StreamOriginReply
    {
        for (const auto &stream : begun.streams)
            keep(stream, proto::OriginKeeper::Others);
        return {};
    }

    auto answer(const proto::StreamOriginQuery &query) const -> proto::StreamOriginReply
    {
        auto reply = proto::StreamOriginReply {};
        reply.origin = table_.find(query.key);
        reply.isComplete = parts_.isComplete();
        for (const auto &version : parts_.versionsOf(query.key.service)) {
            const auto fits = version.size() <= proto::maxOriginTextBytes
                    && reply.versions.size() < proto::maxOriginVersions;
            if (fits)
                reply.versions.push_back(version);
            reply.isComplete = reply.isComplete && fits;
        }
        return reply;
    }

    /// @return false if the stream exceeds a bound
    auto keep(const proto::BegunStream &stream, proto::OriginKeeper keeper) -> bool
    {
        const auto isKept = proto::isWithinBounds(stream);
        const auto dropped = isKept ? table_.keep(stream, keeper) : 1;
        if (dropped > 0)
            parts_.metrics.onOriginsDropped(dropped);
        return isKept;
    }

    auto tellOwners(const proto::BegunStream &stream, const std::vector<OriginOwner> &gateways)
            -> void
    {
        for (const auto &owner : ownersOf(stream.key, gateways)) {
            if (owner.node != options_.self)
                teller_->tell(owner, stream);
        }
        parts_.controls.tell(stream);
    }

    // NOLINTNEXTLINE(performance-unnecessary-value-param): a coroutine owns what it uses.
    static auto tellAll(std::shared_ptr<Impl> self, std::vector<proto::BegunStream> streams,
                        bool isLeaving) -> asio::awaitable<void>
    {
        auto gateways = self->parts_.gateways();
        if (isLeaving) {
            std::erase_if(gateways,
                          [&](const auto &other) { return other.node == self->options_.self; });
        }
        for (auto i = std::size_t { 0 }; i < streams.size() && !self->stopped_; ++i) {
            self->tellOwners(streams[i], gateways);
            if (i % toldAtOnce == toldAtOnce - 1)
                co_await asio::post(self->parts_.context, asio::use_awaitable);
        }
    }

    auto ownEvidence(const proto::StreamKey &key) const -> OriginEvidence
    {
        auto evidence = OriginEvidence { parts_.versionsOf(key.service) };
        if (auto origin = table_.find(key))
            evidence.setOrigin(*std::move(origin), OriginSource::Here);
        return evidence;
    }

    auto othersToAsk(const proto::StreamKey &key) const -> std::vector<OriginOwner>
    {
        auto others = gatewaysToAsk(key, parts_.gateways());
        std::erase_if(others, [this](const auto &other) { return other.node == options_.self; });
        return others;
    }

    /// @param evidence what the others answer is added to it; must outlive the coroutine
    // NOLINTNEXTLINE(performance-unnecessary-value-param): a coroutine owns what it uses.
    static auto askOthers(std::shared_ptr<Impl> self, proto::StreamKey key,
                          OriginEvidence &evidence) -> asio::awaitable<void>
    {
        co_await askOnce(self, key, evidence);
        if (!self->stopped_ && !evidence.hasOrigin() && !evidence.isOnlyVersionSure())
            co_await askControls(self, key, evidence);
        const auto mayBeOnTheWay
                = !evidence.hasOrigin() && !evidence.isOnlyVersionSure() && evidence.replied() > 0;
        if (self->stopped_ || !mayBeOnTheWay)
            co_return;
        auto timer = BootTimer { self->parts_.context, self->options_.askAgainAfter };
        co_await awaitTimer(timer);
        if (!self->stopped_)
            co_await askOnce(self, key, evidence);
    }

    // NOLINTNEXTLINE(performance-unnecessary-value-param): a coroutine owns what it uses.
    static auto askControls(std::shared_ptr<Impl> self, proto::StreamKey key,
                            OriginEvidence &evidence) -> asio::awaitable<void>
    {
        constexpr auto grace = 2; // The answer ends the wait; the timer is for a lost callback.
        const auto timeout = self->options_.askTimeout;
        const auto question
                = std::make_shared<ControlQuestion>(self->parts_.context, grace * timeout);
        self->parts_.controls.ask(key, timeout, [question](const ControlAnswer &answer) {
            question->answer = answer;
            question->isOver = true;
            question->timer.cancel();
        });
        if (!question->isOver)
            co_await awaitTimer(question->timer);
        evidence.add(question->answer);
    }

    // NOLINTNEXTLINE(performance-unnecessary-value-param): a coroutine owns what it uses.
    static auto askOnce(std::shared_ptr<Impl> self, proto::StreamKey key, OriginEvidence &evidence)
            -> asio::awaitable<void>
    {
        const auto others = self->othersToAsk(key);
        const auto round = std::make_shared<Round>(self->parts_.context, self->options_.askTimeout,
                                                   others.size());
        for (const auto &other : others) {
            self->parts_.metrics.onOriginAsked();
            auto query = proto::StreamOriginQuery { key, self->parts_.random.bits() };
            asio::co_spawn(self->parts_.context, ask(self, round, other, std::move(query)),
                           asio::detached);
        }
        if (!round->isDecided())
            co_await awaitTimer(round->timer);
        for (const auto &answer : round->answers)
            evidence.add(answer);
        for (auto i = std::size_t { 0 }; i < round->pending; ++i)
            evidence.add(OriginFailure::NoAnswer);
        if (self->stopped_)
            co_return;
        // This gateway may be an owner that has been told meanwhile.
        if (auto origin = self->table_.find(key))
            evidence.setOrigin(*std::move(origin), OriginSource::Here);
    }

    // NOLINTNEXTLINE(performance-unnecessary-value-param): a coroutine owns what it uses.
    static auto ask(std::shared_ptr<Impl> self, std::shared_ptr<Round> round, OriginOwner owner,
                    proto::StreamOriginQuery query) -> asio::awaitable<void>
    {
        auto message = proto::StreamOriginMessage { std::move(query) };
        auto answer = co_await self->parts_.transport.send(std::move(owner), std::move(message),
                                                           self->options_.askTimeout);
        round->onAnswer(std::move(answer));
    }

    auto onFound(const proto::StreamKey &key, const OriginEvidence &evidence,
                 const FoundOrigin &found) const -> void
    {
        parts_.metrics.onOriginFound(originSourceName(found.source));
        LogEvent(LogLevel::Info, "stream_origin")
                .with("service", key.service)
                .with("attempt", key.attempt)
                .with("source", originSourceName(found.source))
                .with("version", found.softwareVersion.value_or(""))
                .with("replied", static_cast<std::uint64_t>(evidence.replied()))
                .with("refused", static_cast<std::uint64_t>(evidence.refused()))
                .with("silent", static_cast<std::uint64_t>(evidence.silent()));
    }

    StreamOriginsOptions options_;
    StreamOriginsParts parts_;
    proto::OriginTable table_;
    std::unique_ptr<OriginTeller> teller_;
    bool stopped_ = false;
};

StreamOrigins::StreamOrigins(StreamOriginsOptions options, StreamOriginsParts parts)
    : impl_(std::make_shared<Impl>(std::move(options), std::move(parts)))
{ }

StreamOrigins::~StreamOrigins()
{
    impl_->stop();
}

auto StreamOrigins::onBegun(const proto::StreamKey &key, proto::StreamOrigin origin) -> void
{
    impl_->onBegun(key, std::move(origin));
}

auto StreamOrigins::onSecondVersion(const ServiceId &service) -> void
{
    impl_->onSecondVersion(service);
}

auto StreamOrigins::onLeaving() -> void
{
    impl_->onLeaving();
}

auto StreamOrigins::find(const proto::StreamKey &key, const AccountId &account) const
        -> asio::awaitable<FoundOrigin>
{
    return Impl::find(impl_, key, account);
}

auto StreamOrigins::onMessage(const proto::StreamOriginMessage &message) -> proto::StreamOriginReply
{
    return impl_->onMessage(message);
}

auto StreamOrigins::size() const -> std::size_t
{
    return impl_->size();
}

} // namespace figrack::gateway
