// There is one Case for each endpoint at which dispatches broke off recently. A case collects
// suspect work until the endpoint is known to have crashed. After that, further work that broke off
// at the endpoint is recorded in the quarantine table immediately.

#include "gateway/crashdetector.h"

#include <algorithm>
#include <map>
#include <optional>
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

class CrashDetector::Impl : public std::enable_shared_from_this<Impl>
{
public:
    Impl(CrashDetectorOptions options, CrashDetectorParts parts, std::function<void()> onSuspects)
        : options_(options)
        , parts_(parts)
        , onSuspects_(std::move(onSuspects))
    { }

    auto note(const EndpointId &endpoint, SuspectWork suspect) -> void
    {
        forgetOld();
        const auto *entry = parts_.view.find(endpoint);
        const auto known = cases_.find(endpoint);
        const auto wasCrashed = known != cases_.end() && known->second.crashed;
        const auto isLeaving = entry == nullptr || entry->isLeaving();
        if (isLeaving && !wasCrashed)
            return;
        auto &open = cases_.try_emplace(endpoint, Case { parts_.clock.now() }).first->second;
        if (open.suspects.size() < options_.maxSuspects)
            open.suspects.push_back(std::move(suspect));
        if (open.crashed)
            conclude(endpoint, open);
        else if (!std::exchange(open.dialling, true))
            startDialling(endpoint, *entry, open);
    }

    auto onPathChanged() -> void
    {
        for (auto &[endpoint, open] : cases_) {
            if (open.isRefused)
                judge(endpoint, open);
        }
    }

    auto hasCrashed(const EndpointId &endpoint) -> asio::awaitable<bool>
    {
        const auto found = cases_.find(endpoint);
        const auto isOpen = found != cases_.end() && !found->second.crashed
                && (found->second.dialling || found->second.isRefused);
        if (!isOpen)
            co_return found != cases_.end() && found->second.crashed;
        auto timer = std::make_shared<BootTimer>(parts_.context, options_.confirmTimeout);
        found->second.waiting.push_back(timer);
        auto code = boost::system::error_code {};
        co_await timer->async_wait(asio::redirect_error(asio::use_awaitable, code));
        const auto after = cases_.find(endpoint);
        co_return after != cases_.end() && after->second.crashed;
    }

    auto onSuperseded(const EndpointId &endpoint, catalogue::EndpointState before) -> void
    {
        forgetOld();
        if (before != catalogue::EndpointState::Ready)
            return; // The end was planned, so its work is not the cause.
        auto &open = cases_.try_emplace(endpoint, Case { parts_.clock.now() }).first->second;
        conclude(endpoint, open);
    }

    auto onCleared(const catalogue::WorkIds &works) -> void
    {
        LogEvent(LogLevel::Info, "work_acquitted").with("work", works.ofAnyone.text());
        onSuspects_();
    }

private:
    struct Case
    {
        Instant since {};
        std::vector<SuspectWork> suspects = {}; ///< Not recorded in the quarantine table yet.
        std::vector<std::shared_ptr<BootTimer>> waiting = {};
        Instant dialledAt {};
        std::optional<EndpointGroup> group; ///< Whose path tells; absent if there is no neighbor.
        bool dialling = false;
        bool isRefused = false; ///< The connection was refused, and the path is being probed.
        bool crashed = false;
    };

    auto startDialling(const EndpointId &endpoint, const EndpointEntry &entry, Case &open) -> void
    {
        open.dialledAt = parts_.clock.now();
        asio::co_spawn(parts_.context, dial(shared_from_this(), endpoint, entry.row.address),
                       asio::detached);
        // The answer of a neighbor tells a refusal of the endpoint from one of the path.
        open.group = neighborsOf(entry.row);
        if (open.group)
            parts_.paths.suspect(*open.group, endpoint);
    }

    /// @return a group in the same failure domain with another endpoint, the own group if possible
    auto neighborsOf(const catalogue::EndpointRow &row) const -> std::optional<EndpointGroup>
    {
        const auto own = row.group();
        if (parts_.view.listening(own).size() > 1)
            return own;
        for (const auto &group : parts_.view.groups()) {
            if (group.domain == own.domain && group != own)
                return group;
        }
        return std::nullopt;
    }

    // NOLINTNEXTLINE(performance-unnecessary-value-param): a coroutine owns what it uses.
    static auto dial(std::shared_ptr<Impl> self, EndpointId endpoint, Address address)
            -> asio::awaitable<void>
    {
        const auto weak = std::weak_ptr { self };
        auto &context = self->parts_.context;
        // Shared: if the connection attempt completes in the same event loop iteration in which the
        // timer expires, the timer's handler runs after this coroutine has ended.
        const auto socket = std::make_shared<tcp::socket>(context);
        auto timer = BootTimer { context, self->options_.dialTimeout };
        self.reset(); // The detector may be destroyed meanwhile.
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
        if (const auto detector = weak.lock())
            detector->onDialled(endpoint, code);
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
        const auto *entry = parts_.view.find(endpoint);
        if (!code && entry != nullptr)
            parts_.paths.onConnected(entry->row.group(), endpoint, open.dialledAt);
        open.isRefused = code == asio::error::connection_refused;
        if (open.isRefused)
            judge(endpoint, open);
        else
            wake(open);
    }

    /// Decides whether an endpoint that refused a connection has crashed, or the path is at fault.
    auto judge(const EndpointId &endpoint, Case &open) -> void
    {
        if (!open.group || parts_.paths.hasConnectedSince(*open.group, open.dialledAt)) {
            open.isRefused = false;
            conclude(endpoint, open);
            return;
        }
        const auto state = parts_.paths.state(*open.group);
        if (state == PathState::Open || state == PathState::Suspected)
            return; // The probe has not ended yet.
        open.isRefused = false;
        LogEvent(LogLevel::Info, "endpoint_not_blamed")
                .with("endpoint", endpoint)
                .with("service", open.group->service)
                .with("domain", open.group->domain)
                .with("path", pathStateName(state))
                .with("suspects", static_cast<std::uint64_t>(open.suspects.size()));
        open.suspects.clear();
        wake(open);
    }

    /// Handles the crash of an endpoint: the work that was in progress there becomes suspected.
    auto conclude(const EndpointId &endpoint, Case &open) -> void
    {
        const auto now = policy::millisOf(parts_.clock.now());
        const auto isNews = !std::exchange(open.crashed, true) && !open.suspects.empty();
        if (isNews) {
            parts_.metrics.onEndpointEnded();
            LogEvent(LogLevel::Warning, "endpoint_ended")
                    .with("endpoint", endpoint)
                    .with("suspects", static_cast<std::uint64_t>(open.suspects.size()));
        }
        auto changed = false;
        for (const auto &suspect : std::exchange(open.suspects, {})) {
            changed = recordParts(endpoint, suspect) || changed;
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

    /// @return true if the quarantine table has changed
    auto recordParts(const EndpointId &endpoint, const SuspectWork &suspect) -> bool
    {
        const auto now = policy::millisOf(parts_.clock.now());
        auto changed = false;
        for (const auto &part : suspect.parts) {
            if (!parts_.quarantine.onPartEnd(part, suspect.service, endpoint, now))
                continue;
            changed = true;
            const auto verdict = parts_.quarantine.verdict(part, now);
            LogEvent(LogLevel::Warning, "part_suspected")
                    .with("work", part.text())
                    .with("service", suspect.service)
                    .with("request", suspect.request)
                    .with("endpoint", endpoint)
                    .with("cleared", !parts_.quarantine.isSuspected(part))
                    .with("ends", std::uint64_t { verdict.ends })
                    .with("standing", policy::standingName(verdict.standing));
        }
        return changed;
    }

    static auto wake(Case &open) -> void
    {
        for (const auto &timer : std::exchange(open.waiting, {}))
            timer->cancel();
    }

    auto forgetOld() -> void
    {
        const auto limit = parts_.clock.now() - options_.incarnationNewsTimeout;
        std::erase_if(cases_, [&](const auto &item) {
            return item.second.since < limit && !item.second.dialling
                    && item.second.waiting.empty();
        });
    }

    CrashDetectorOptions options_;
    CrashDetectorParts parts_;
    std::function<void()> onSuspects_;
    std::map<EndpointId, Case> cases_;
};

CrashDetector::CrashDetector(CrashDetectorOptions options, CrashDetectorParts parts,
                             std::function<void()> onSuspects)
    : impl_(std::make_shared<Impl>(options, parts, std::move(onSuspects)))
{ }

CrashDetector::~CrashDetector() = default;

auto CrashDetector::note(const EndpointId &endpoint, SuspectWork suspect) -> void
{
    impl_->note(endpoint, std::move(suspect));
}

auto CrashDetector::hasCrashed(const EndpointId &endpoint) -> asio::awaitable<bool>
{
    // Keep the implementation alive for the lifetime of this coroutine frame.
    const auto impl = impl_;
    co_return co_await impl->hasCrashed(endpoint);
}

auto CrashDetector::onSuperseded(const EndpointId &endpoint, catalogue::EndpointState before)
        -> void
{
    impl_->onSuperseded(endpoint, before);
}

auto CrashDetector::onPathChanged() -> void
{
    impl_->onPathChanged();
}

auto CrashDetector::onCleared(const catalogue::WorkIds &works) -> void
{
    impl_->onCleared(works);
}

} // namespace figrack::gateway
