#include "gateway/pathprober.h"

#include <algorithm>
#include <optional>
#include <set>
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

/// One probe of a group. Ends with the first connection that is made, or the last that fails.
struct Probe
{
    Probe(EndpointGroup itsGroup, Instant itsBegin)
        : group(std::move(itsGroup))
        , begun(itsBegin)
    { }
    auto hasConnected() const -> bool
    {
        return std::any_of(results.begin(), results.end(), [](const auto &result) {
            return result.outcome == DialOutcome::Connected;
        });
    }
    EndpointGroup group;
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
        for (const auto &group : parts_.paths.takeDue())
            begin(group);
        schedule();
    }

    struct Target
    {
        EndpointId endpoint;
        Address address;
        Duration delay {};    ///< Until it is connected to.
        bool isSpare = false; ///< Not connected to if another one has been by then.
    };

    auto begin(const EndpointGroup &group) -> void
    {
        const auto probe = std::make_shared<Probe>(group, parts_.clock.now());
        const auto targets = chooseTargets(group);
        probe->dialling = targets.size();
        for (const auto &target : targets)
            asio::co_spawn(parts_.context, dial(shared_from_this(), probe, target), asio::detached);
        if (targets.empty())
            end(*probe);
    }

    /// @return two endpoints that have not failed, one after the other, and one that has, each in
    /// turn; if all have failed, two of them
    auto chooseTargets(const EndpointGroup &group) -> std::vector<Target>
    {
        auto sound = std::vector<Target> {};
        auto failed = std::vector<Target> {};
        auto known = std::set<EndpointId> {};
        for (const auto *entry : parts_.view.listening(group)) {
            const auto &row = entry->row;
            known.insert(row.id);
            auto &kind = parts_.paths.failureOf(group, row.id) ? failed : sound;
            kind.push_back({ row.id, row.address });
        }
        parts_.paths.retainFailures(group, known);
        ++turn_;
        for (auto *kind : { &sound, &failed }) {
            if (!kind->empty())
                std::rotate(kind->begin(),
                            kind->begin() + static_cast<std::ptrdiff_t>(turn_ % kind->size()),
                            kind->end());
        }
        auto result = sound.empty() ? failed : sound;
        result.resize(std::min(result.size(), options_.endpointsPerProbe));
        for (auto i = std::size_t { 1 }; i < result.size(); ++i) {
            result[i].delay = options_.headStart * static_cast<std::int64_t>(i);
            result[i].isSpare = true;
        }
        if (!sound.empty() && !failed.empty())
            result.push_back(failed.front());
        return result;
    }

    // NOLINTNEXTLINE(performance-unnecessary-value-param): a coroutine owns what it uses.
    static auto dial(std::shared_ptr<Impl> self, std::shared_ptr<Probe> probe, Target target)
            -> asio::awaitable<void>
    {
        if (target.delay > Duration::zero())
            co_await pauseOf(self->parts_.context, target.delay);
        if (!self->stopped_ && !(target.isSpare && probe->hasConnected())) {
            const auto begun = self->parts_.clock.now();
            const auto status = co_await self->parts_.client.preconnect(target.address,
                                                                        self->options_.dialTimeout);
            self->onDialled(*probe, target.endpoint, status, begun);
        }
        --probe->dialling;
        self->endIfDecided(*probe);
    }

    auto onDialled(Probe &probe, const EndpointId &endpoint, const absl::Status &status,
                   Instant begun) -> void
    {
        if (stopped_)
            return;
        auto result = DialResult { endpoint, DialOutcome::Connected };
        if (!status.ok()) {
            const auto isTimeout = errorKind(status) == ErrorKind::Timeout;
            result.outcome = isTimeout ? DialOutcome::TimedOut : DialOutcome::Refused;
            const auto took = parts_.clock.now() - begun;
            probe.hasLagged = probe.hasLagged
                    || (isTimeout && took > options_.dialTimeout + options_.maxLag);
        }
        probe.results.push_back(result);
        if (probe.begun || probe.hasLagged)
            return;
        // The probe has ended with another endpoint of the group.
        if (result.outcome == DialOutcome::Connected)
            parts_.paths.onConnected(probe.group, endpoint, begun);
        else
            parts_.paths.onConnectFailed(probe.group, endpoint, result.outcome);
    }

    auto endIfDecided(Probe &probe) -> void
    {
        const auto isDecided = probe.dialling == 0 || probe.hasConnected();
        if (isDecided && probe.begun && !stopped_)
            end(probe);
    }

    auto end(Probe &probe) -> void
    {
        const auto begun = *std::exchange(probe.begun, std::nullopt);
        if (probe.hasLagged && !probe.hasConnected())
            parts_.paths.onProbeVoid(probe.group);
        else
            parts_.paths.onProbed(probe.group, begun, probe.results);
        schedule();
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
