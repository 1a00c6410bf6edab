// One Case an endpoint at which dispatches broke off of late. It is open until the endpoint is
// known to have ended; then what comes for it is noted at once.

#include "gateway/endingwatch.h"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "core/boottimer.h"
#include "core/log.h"

namespace figrack::gateway {

namespace asio = boost::asio;
using asio::ip::tcp;

class EndingWatch::Impl : public std::enable_shared_from_this<Impl>
{
public:
    Impl(EndingWatchOptions options, EndingWatchParts parts, std::function<void()> onSuspects)
        : options_(options)
        , parts_(parts)
        , onSuspects_(std::move(onSuspects))
    { }

    auto note(const EndpointId &endpoint, SuspectWork suspect) -> void
    {
        forgetOld();
        const auto *entry = parts_.view.find(endpoint);
        const auto known = cases_.find(endpoint);
        const auto isOver = known != cases_.end() && known->second.ended;
        const auto leaves = entry == nullptr || entry->leaves();
        if (leaves && !isOver)
            return;
        auto &open = cases_.try_emplace(endpoint, Case { parts_.clock.now() }).first->second;
        if (open.suspects.size() < options_.maxSuspects)
            open.suspects.push_back(std::move(suspect));
        if (open.ended)
            conclude(endpoint, open);
        else if (!std::exchange(open.dialling, true))
            asio::co_spawn(parts_.context, dial(shared_from_this(), endpoint, entry->row.address),
                           asio::detached);
    }

    auto hasEnded(const EndpointId &endpoint) -> asio::awaitable<bool>
    {
        const auto found = cases_.find(endpoint);
        if (found == cases_.end() || found->second.ended || !found->second.dialling)
            co_return found != cases_.end() && found->second.ended;
        auto timer = std::make_shared<BootTimer>(parts_.context, options_.confirmPatience);
        found->second.waiting.push_back(timer);
        auto code = boost::system::error_code {};
        co_await timer->async_wait(asio::redirect_error(asio::use_awaitable, code));
        const auto after = cases_.find(endpoint);
        co_return after != cases_.end() && after->second.ended;
    }

    auto onOver(const EndpointId &endpoint, catalogue::EndpointState before) -> void
    {
        forgetOld();
        if (before != catalogue::EndpointState::Ready)
            return; // It ended as planned: its work is not to blame.
        auto &open = cases_.try_emplace(endpoint, Case { parts_.clock.now() }).first->second;
        conclude(endpoint, open);
    }

    auto onAcquitted(const catalogue::WorkIds &works) -> void
    {
        LogEvent(LogLevel::Info, "work_acquitted").with("work", works.ofAnyone.text());
        onSuspects_();
    }

private:
    struct Case
    {
        Instant since {};
        std::vector<SuspectWork> suspects = {}; ///< Not noted in the table yet.
        std::vector<std::shared_ptr<BootTimer>> waiting = {};
        bool dialling = false;
        bool ended = false;
    };

    // NOLINTNEXTLINE(performance-unnecessary-value-param): a coroutine owns what it uses.
    static auto dial(std::shared_ptr<Impl> self, EndpointId endpoint, Address address)
            -> asio::awaitable<void>
    {
        const auto weak = std::weak_ptr { self };
        auto &context = self->parts_.context;
        // Shared: when the connection is decided in the turn of the loop in which the timer has
        // expired, the timer's handler runs after this coroutine has ended.
        const auto socket = std::make_shared<tcp::socket>(context);
        auto timer = BootTimer { context, self->options_.dialTimeout };
        self.reset(); // The watch may end meanwhile.
        timer.async_wait([socket](const boost::system::error_code &error) {
            auto ignored = boost::system::error_code {};
            if (!error)
                socket->close(ignored);
        });
        auto code = boost::system::error_code {};
        const auto ip = asio::ip::make_address(address.ip, code);
        if (!code) {
            const auto peer = tcp::endpoint { ip, address.port };
            co_await socket->async_connect(peer, asio::redirect_error(asio::use_awaitable, code));
        }
        timer.cancel();
        if (const auto watch = weak.lock())
            watch->onDialled(endpoint, code);
    }

    auto onDialled(const EndpointId &endpoint, const boost::system::error_code &code) -> void
    {
        const auto found = cases_.find(endpoint);
        if (found == cases_.end())
            return;
        auto &open = found->second;
        open.dialling = false;
        LogEvent(LogLevel::Info, "endpoint_dialled")
                .with("endpoint", endpoint)
                .with("suspects", static_cast<std::uint64_t>(open.suspects.size()))
                .with("outcome", code ? code.message() : "connected");
        if (code == asio::error::connection_refused)
            conclude(endpoint, open);
        else
            wake(open);
    }

    /// The endpoint has ended: what was in progress there is suspected.
    auto conclude(const EndpointId &endpoint, Case &open) -> void
    {
        const auto now = policy::millisOf(parts_.clock.now());
        const auto isNews = !std::exchange(open.ended, true) && !open.suspects.empty();
        if (isNews) {
            parts_.metrics.onEndpointEnded();
            LogEvent(LogLevel::Warning, "endpoint_ended")
                    .with("endpoint", endpoint)
                    .with("suspects", static_cast<std::uint64_t>(open.suspects.size()));
        }
        auto changed = false;
        for (const auto &suspect : std::exchange(open.suspects, {})) {
            if (!parts_.quarantine.onEnd(suspect.works, suspect.account, endpoint, now))
                continue;
            changed = true;
            const auto verdict = parts_.quarantine.verdict(suspect.works, now);
            LogEvent(LogLevel::Warning, "work_suspected")
                    .with("work", suspect.works.ofAnyone.text())
                    .with("of_caller", suspect.works.ofCaller.text())
                    .with("request", suspect.request)
                    .with("endpoint", endpoint)
                    .with("begun", suspect.hasBegun)
                    .with("ends", std::uint64_t { verdict.ends })
                    .with("standing", policy::standingName(verdict.standing))
                    .with("release_ms", verdict.releaseIn);
        }
        wake(open);
        if (changed)
            onSuspects_();
    }

    static auto wake(Case &open) -> void
    {
        for (const auto &timer : std::exchange(open.waiting, {}))
            timer->cancel();
    }

    auto forgetOld() -> void
    {
        const auto limit = parts_.clock.now() - options_.awaitNews;
        std::erase_if(cases_, [&](const auto &item) {
            return item.second.since < limit && !item.second.dialling
                    && item.second.waiting.empty();
        });
    }

    EndingWatchOptions options_;
    EndingWatchParts parts_;
    std::function<void()> onSuspects_;
    std::map<EndpointId, Case> cases_;
};

EndingWatch::EndingWatch(EndingWatchOptions options, EndingWatchParts parts,
                         std::function<void()> onSuspects)
    : impl_(std::make_shared<Impl>(options, parts, std::move(onSuspects)))
{ }

EndingWatch::~EndingWatch() = default;

auto EndingWatch::note(const EndpointId &endpoint, SuspectWork suspect) -> void
{
    impl_->note(endpoint, std::move(suspect));
}

auto EndingWatch::hasEnded(const EndpointId &endpoint) -> asio::awaitable<bool>
{
    // Kept alive by this frame.
    const auto impl = impl_;
    co_return co_await impl->hasEnded(endpoint);
}

auto EndingWatch::onOver(const EndpointId &endpoint, catalogue::EndpointState before) -> void
{
    impl_->onOver(endpoint, before);
}

auto EndingWatch::onAcquitted(const catalogue::WorkIds &works) -> void
{
    impl_->onAcquitted(works);
}

} // namespace figrack::gateway
