#include "gateway/pathprober.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "core/boottimer.h"
#include "core/error.h"

namespace figrack::gateway {

namespace asio = boost::asio;

namespace {

/// One probe of a domain. Ends with the first connection that is made, or the last that fails.
struct Probe
{
    Probe(DomainId itsDomain, Instant itsBegin)
        : domain(std::move(itsDomain))
        , begun(itsBegin)
    { }
    auto hasConnected() const -> bool
    {
        return std::any_of(results.begin(), results.end(), [](const auto &result) {
            return result.outcome == DialOutcome::Connected;
        });
    }
    DomainId domain;
    std::optional<Instant> begun; ///< Absent once it has ended.
    std::vector<DialResult> results;
    std::size_t dialling = 0;
    bool hasLagged = false;
};

auto pauseOf(asio::io_context &context, Duration duration) -> asio::awaitable<void>
{
    auto timer = BootTimer { context, duration };
    auto code = boost::system::error_code {};
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, code));
}

} // namespace

class PathProber::Impl : public std::enable_shared_from_this<Impl>
{
public:
    Impl(PathProberOptions options, PathProberParts parts)
        : options_(options)
        , parts_(parts)
        , timer_(parts.context)
    { }

    auto start() -> void
    {
        parts_.paths.setOnDueSooner([weak = weak_from_this()] {
            if (const auto self = weak.lock())
                self->schedule();
        });
    }

    auto stop() -> void
    {
        stopped_ = true;
        timer_.cancel();
    }

private:
    auto schedule() -> void
    {
        const auto next = parts_.paths.nextDueAt();
        if (!next || stopped_ || (wakeAt_ && *wakeAt_ <= *next))
            return;
        wakeAt_ = std::max(*next, parts_.clock.now());
        timer_.expires_after(*wakeAt_ - parts_.clock.now());
        timer_.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
            const auto self = weak.lock();
            if (self && !error)
                self->onTimer();
        });
    }

    auto onTimer() -> void
    {
        const auto wakeAt = std::exchange(wakeAt_, std::nullopt);
        if (stopped_ || !wakeAt)
            return;
        if (parts_.clock.now() - *wakeAt > options_.maxLag)
            parts_.paths.onResumed();
        for (const auto &domain : parts_.paths.takeDue())
            begin(domain);
        schedule();
    }

    auto begin(const DomainId &domain) -> void
    {
        const auto probe = std::make_shared<Probe>(domain, parts_.clock.now());
        auto endpoints = chooseEndpoints(domain);
        probe->dialling = endpoints.size();
        for (std::size_t i = 0; i < endpoints.size(); ++i) {
            const auto delay = options_.headStart * static_cast<std::int64_t>(i);
            asio::co_spawn(
                    parts_.context,
                    dial(shared_from_this(), probe, endpoints[i].first, endpoints[i].second, delay),
                    asio::detached);
        }
        if (endpoints.empty())
            end(*probe);
    }

    /// @return the endpoints to connect to: others than those that have failed, if there are any,
    /// in turn
    auto chooseEndpoints(const DomainId &domain) -> std::vector<std::pair<EndpointId, Address>>
    {
        auto sound = std::vector<std::pair<EndpointId, Address>> {};
        auto failed = std::vector<std::pair<EndpointId, Address>> {};
        for (const auto *entry : parts_.view.listening(domain)) {
            auto &group = parts_.paths.hasFailed(domain, entry->row.id) ? failed : sound;
            group.emplace_back(entry->row.id, entry->row.address);
        }
        ++turn_;
        const auto rotate = [this](auto &group) {
            if (!group.empty())
                std::rotate(group.begin(),
                            group.begin() + static_cast<std::ptrdiff_t>(turn_ % group.size()),
                            group.end());
        };
        rotate(sound);
        rotate(failed);
        sound.insert(sound.end(), failed.begin(), failed.end());
        sound.resize(std::min(sound.size(), options_.endpointsPerProbe));
        return sound;
    }

    // NOLINTNEXTLINE(performance-unnecessary-value-param): a coroutine owns what it uses.
    static auto dial(std::shared_ptr<Impl> self, std::shared_ptr<Probe> probe, EndpointId endpoint,
                     Address address, Duration delay) -> asio::awaitable<void>
    {
        if (delay > Duration::zero())
            co_await pauseOf(self->parts_.context, delay);
        if (!probe->hasConnected() && !self->stopped_) {
            const auto begun = self->parts_.clock.now();
            const auto status
                    = co_await self->parts_.client.preconnect(address, self->options_.dialTimeout);
            const auto took = self->parts_.clock.now() - begun;
            auto result = DialResult { endpoint, DialOutcome::Connected };
            if (!status.ok()) {
                const auto isTimeout = errorKind(status) == ErrorKind::Timeout;
                result.outcome = isTimeout ? DialOutcome::TimedOut : DialOutcome::Refused;
                if (isTimeout && took > self->options_.dialTimeout + self->options_.maxLag)
                    probe->hasLagged = true;
            }
            probe->results.push_back(result);
        }
        --probe->dialling;
        self->endIfDecided(*probe);
    }

    auto endIfDecided(Probe &probe) -> void
    {
        if (probe.dialling > 0 && !probe.hasConnected())
            return;
        if (probe.begun && !stopped_)
            end(probe);
        if (probe.dialling == 0 && probe.hasConnected() && !stopped_)
            noteFailures(probe);
    }

    auto end(Probe &probe) -> void
    {
        const auto begun = *std::exchange(probe.begun, std::nullopt);
        if (probe.hasLagged && !probe.hasConnected())
            parts_.paths.onProbeFailed(probe.domain);
        else
            parts_.paths.onProbed(probe.domain, begun, probe.results);
        schedule();
    }

    /// Where one endpoint of the domain was reached, the others that were not are at fault.
    auto noteFailures(const Probe &probe) -> void
    {
        for (const auto &result : probe.results) {
            if (result.outcome != DialOutcome::Connected)
                parts_.view.onFailure(result.endpoint, false);
        }
    }

    PathProberOptions options_;
    PathProberParts parts_;
    BootTimer timer_;
    std::optional<Instant> wakeAt_; ///< When the timer expires; absent if it does not run.
    std::uint64_t turn_ = 0;
    bool stopped_ = false;
};

PathProber::PathProber(PathProberOptions options, PathProberParts parts)
    : impl_(std::make_shared<Impl>(options, parts))
{ }

PathProber::~PathProber()
{
    impl_->stop();
}

auto PathProber::start() -> void
{
    impl_->start();
}

auto PathProber::stop() -> void
{
    impl_->stop();
}

} // namespace figrack::gateway
