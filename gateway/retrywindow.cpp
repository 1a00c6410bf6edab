#include "gateway/retrywindow.h"

#include <algorithm>

namespace figrack::gateway {

RetryWindow::RetryWindow(RetryWindowOptions options, const Clock &clock)
    : options_(options)
    , clock_(clock)
{ }

auto RetryWindow::setGateways(std::uint32_t gateways) -> void
{
    gateways_ = std::max<std::uint32_t>(gateways, 1);
}

auto RetryWindow::onRequest(const ServiceId &service) -> void
{
    auto &counts = counts_[service];
    trim(counts);
    counts.requests.push_back(clock_.now());
}

auto RetryWindow::take(const ServiceId &service) -> bool
{
    auto &counts = counts_[service];
    trim(counts);
    const auto ofRequests = options_.ratio * static_cast<double>(counts.requests.size());
    const auto ofSlack = options_.slack / gateways_;
    const auto allowed = options_.margin * (ofRequests + ofSlack);
    if (static_cast<double>(counts.repeats.size()) + 1 > allowed)
        return false;
    counts.repeats.push_back(clock_.now());
    return true;
}

auto RetryWindow::trim(Counts &counts) -> void
{
    const auto limit = clock_.now() - options_.window;
    const auto dropOld = [limit](std::deque<Instant> &times) {
        while (!times.empty() && times.front() < limit)
            times.pop_front();
    };
    dropOld(counts.requests);
    dropOld(counts.repeats);
}

} // namespace figrack::gateway
