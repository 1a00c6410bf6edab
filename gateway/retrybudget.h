// The retries that this gateway may send, out of the budget of all gateways.
//
//   budget.onRequest(service);
//   auto retry = co_await budget.take(service);
//   if (!retry.isValid()) giveUp();
//   ... find an endpoint, take another retry if this one has expired meanwhile ...
//   retry.send();                        // right before the dispatch
//   retry.revoke();                      // if nothing could be sent
//
// A retry is first charged to this gateway's part of what its own requests allow
// (gateway/retrywindow.h). The other part, and the fixed number of the service, are shared by all
// gateways: the leader of the controls grants single retries of them (fleet/retryledger.h), by the
// requests that gateways report. Without a leader, only the own part can be used. A grant expires
// soon after it was asked for. Not thread-safe.

#ifndef FIGRACK_GATEWAY_RETRYBUDGET_H
#define FIGRACK_GATEWAY_RETRYBUDGET_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "core/clock.h"
#include "core/ids.h"
#include "gateway/metrics.h"
#include "gateway/retrywindow.h"
#include "proto/servingmessages.h"

namespace figrack::gateway {

struct RetryBudgetOptions
{
    RetryWindowOptions ownRequests; ///< The ratio is that of the gateway's own part.
    /// How long to wait for the leader. A grant of a new reservation takes a commit in the log.
    Duration askTimeout = std::chrono::milliseconds { 200 };
    /// The leader is not asked again for this time if it did not answer.
    Duration pauseWithoutLeader = std::chrono::milliseconds { 250 };
};

/// Permission to send one retry. Returned to the budget if it is not used.
class Retry
{
public:
    Retry() = default;
    /// @param window counts the retry already
    static auto ofOwnRequests(std::shared_ptr<RetryWindow> window, const ServiceId &service,
                              const Clock &clock) -> Retry;
    static auto granted(Instant validUntil, const Clock &clock) -> Retry;
    ~Retry();
    Retry(Retry &&other) noexcept;
    auto operator=(Retry &&other) noexcept -> Retry &;
    Retry(const Retry &) = delete;
    auto operator=(const Retry &) -> Retry & = delete;
    /// @return true if a retry may be sent now
    auto isValid() const -> bool;
    auto isGranted() const -> bool { return window_ == nullptr && validUntil_ > Instant {}; }
    /// The retry is sent now.
    auto send() -> void;
    /// Another gateway may send the retry within the returned time.
    auto passOn() -> Duration;
    /// What was sent or passed on has not reached an endpoint: the retry can be sent again.
    auto revoke() -> void;

private:
    std::shared_ptr<RetryWindow> window_; ///< Null for a grant.
    ServiceId service_;
    const Clock *clock_ = nullptr;
    Instant validUntil_ {};
    std::optional<Instant> sentAt_;
    auto release() -> void;
};

class RetryBudget
{
public:
    using Granted = std::function<void(std::optional<proto::RetryGrantReply>)>;
    /// Asks the leader for a retry. @return false if none is known; then done is not called
    using Ask = std::function<bool(const proto::RetryGrantRequest &, Duration timeout, Granted)>;
    using Done = std::function<void(Retry)>;

    /// @param ask may be empty: there are no controls
    RetryBudget(RetryBudgetOptions options, const Clock &clock, Metrics &metrics, Ask ask);
    auto onRequest(const ServiceId &service) -> void;
    /// @return the requests since the last call, to be reported to the leader
    auto takeRequests() -> std::vector<proto::ServiceRequests>;
    /// @param done called once with a retry, invalid if there is none; before this returns if the
    /// leader is not asked
    auto take(const ServiceId &service, const Done &done) -> void;
    auto take(const ServiceId &service) -> boost::asio::awaitable<Retry>;

private:
    auto onReply(const ServiceId &service, Instant askedAt,
                 const std::optional<proto::RetryGrantReply> &reply) -> Retry;
    auto mayAsk(const ServiceId &service) const -> bool;

    RetryBudgetOptions options_;
    const Clock &clock_;
    Metrics &metrics_;
    Ask ask_;
    std::shared_ptr<RetryWindow> window_; ///< Shared with retries, which may outlive the budget.
    std::map<ServiceId, Instant> askAgainAt_;
    std::map<ServiceId, std::uint64_t> unreported_; ///< Requests.
    /// Expires with this object, since a reply may arrive later.
    std::shared_ptr<const bool> alive_ = std::make_shared<const bool>(true);
};

} // namespace figrack::gateway

#endif // FIGRACK_GATEWAY_RETRYBUDGET_H
