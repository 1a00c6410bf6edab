#include "gateway/originteller.h"

#include <algorithm>
#include <deque>
#include <exception>
#include <map>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "core/log.h"

namespace figrack::gateway {

namespace asio = boost::asio;

namespace {

constexpr auto attempts = 2;

} // namespace

class OriginTeller::Impl : public std::enable_shared_from_this<Impl>
{
public:
    Impl(OriginTellerOptions options, OriginTellerParts parts)
        : options_(options)
        , parts_(std::move(parts))
    { }

    auto stop() -> void { stopped_ = true; }

    auto tell(const OriginOwner &owner, proto::BegunStream stream) -> void
    {
        if (waiting_ >= options_.maxWaiting) {
            parts_.metrics.onOriginTellsFailed(1);
            return;
        }
        auto [entry, isNew] = outboxes_.try_emplace(owner.node);
        entry->second.owner = owner;
        entry->second.streams.push_back(std::move(stream));
        ++waiting_;
        if (isNew)
            asio::co_spawn(parts_.context, sendAll(shared_from_this(), owner.node), asio::detached);
    }

private:
    /// What waits for a gateway. Exists as long as a message is on its way there.
    struct Outbox
    {
        OriginOwner owner;
        std::deque<proto::BegunStream> streams;
    };

    // NOLINTNEXTLINE(performance-unnecessary-value-param): a coroutine owns what it uses.
    static auto sendAll(std::shared_ptr<Impl> self, NodeId node) -> asio::awaitable<void>
    {
        while (!self->stopped_) {
            const auto entry = self->outboxes_.find(node);
            if (entry->second.streams.empty()) {
                self->outboxes_.erase(entry);
                co_return;
            }
            const auto owner = entry->second.owner;
            const auto batch = self->takeBatch(entry->second);
            auto isTold = false;
            try {
                isTold = co_await send(self, owner, batch);
            } catch (const std::exception &error) {
                LogEvent(LogLevel::Error, "origins_exception").with("what", error.what());
            }
            if (!self->stopped_)
                self->onSent(owner, batch.streams.size(), isTold);
        }
    }

    // NOLINTNEXTLINE(performance-unnecessary-value-param): a coroutine owns what it uses.
    static auto send(std::shared_ptr<Impl> self, OriginOwner owner, proto::BegunStreams batch)
            -> asio::awaitable<bool>
    {
        for (auto i = 0; i < attempts && !self->stopped_; ++i) {
            auto message = proto::StreamOriginMessage { batch };
            const auto answer = co_await self->parts_.transport.send(owner, std::move(message),
                                                                     self->options_.timeout);
            if (std::holds_alternative<proto::StreamOriginReply>(answer))
                co_return true;
        }
        co_return false;
    }

    auto takeBatch(Outbox &outbox) -> proto::BegunStreams
    {
        auto batch = proto::BegunStreams {};
        while (!outbox.streams.empty() && batch.streams.size() < proto::maxBegunStreams) {
            batch.streams.push_back(std::move(outbox.streams.front()));
            outbox.streams.pop_front();
            --waiting_;
        }
        return batch;
    }

    auto onSent(const OriginOwner &owner, std::size_t streams, bool isTold) -> void
    {
        if (isTold) {
            parts_.metrics.onOriginsTold(streams);
            return;
        }
        parts_.metrics.onOriginTellsFailed(streams);
        LogEvent(LogLevel::Warning, "origins_not_told")
                .with("gateway", owner.node)
                .with("address", owner.address.text())
                .with("streams", static_cast<std::uint64_t>(streams));
    }

    OriginTellerOptions options_;
    OriginTellerParts parts_;
    std::map<NodeId, Outbox> outboxes_;
    std::size_t waiting_ = 0;
    bool stopped_ = false;
};

OriginTeller::OriginTeller(OriginTellerOptions options, OriginTellerParts parts)
    : impl_(std::make_shared<Impl>(options, std::move(parts)))
{ }

OriginTeller::~OriginTeller()
{
    impl_->stop();
}

auto OriginTeller::tell(const OriginOwner &owner, proto::BegunStream stream) -> void
{
    impl_->tell(owner, std::move(stream));
}

} // namespace figrack::gateway
