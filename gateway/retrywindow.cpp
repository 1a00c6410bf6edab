// Windows are compared in steps. For each step, all retries of the earliest window that begins in
// it are compared with the requests that pay for every window that begins in it. So the bound holds
// for windows with any beginning, and for the sums of several gateways.

#include "gateway/retrywindow.h"

#include <algorithm>

namespace figrack::gateway {

RetryWindow::RetryWindow(RetryWindowOptions options, const Clock &clock)
    : options_(options)
    , clock_(clock)
{ }

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
    const auto now = clock_.now();
    for (auto from = now; from > now - countedFor(); from -= options_.step) {
        const auto retries = countFrom(counts.sent, from) + counts.taken + 1;
        const auto allowed = options_.ratio * static_cast<double>(requestsFor(counts, from));
        if (static_cast<double>(retries) > allowed)
            return false;
    }
    ++counts.taken;
    return true;
}

auto RetryWindow::giveBack(const ServiceId &service) -> void
{
    auto &taken = counts_[service].taken;
    taken -= std::min<std::size_t>(taken, 1);
}

auto RetryWindow::send(const ServiceId &service, Instant at) -> void
{
    giveBack(service);
    auto &sent = counts_[service].sent;
    sent.insert(std::upper_bound(sent.begin(), sent.end(), at), at);
}

auto RetryWindow::revoke(const ServiceId &service, Instant at) -> void
{
    auto &counts = counts_[service];
    const auto found = std::lower_bound(counts.sent.begin(), counts.sent.end(), at);
    if (found != counts.sent.end() && *found == at)
        counts.sent.erase(found);
    ++counts.taken;
}

auto RetryWindow::requestsFor(const Counts &counts, Instant from) const -> std::size_t
{
    const auto half = options_.window / 2;
    const auto first = from + options_.step - half + 2 * options_.transit;
    return countFrom(counts.requests, first) - countFrom(counts.requests, from + half);
}

auto RetryWindow::countFrom(const std::deque<Instant> &times, Instant from) -> std::size_t
{
    const auto begin = std::lower_bound(times.begin(), times.end(), from);
    return static_cast<std::size_t>(times.end() - begin);
}

auto RetryWindow::trim(Counts &counts) const -> void
{
    const auto dropBefore = [](std::deque<Instant> &times, Instant limit) {
        while (!times.empty() && times.front() < limit)
            times.pop_front();
    };
    const auto oldest = clock_.now() - countedFor() - options_.step;
    dropBefore(counts.sent, oldest);
    dropBefore(counts.requests, oldest - options_.window / 2);
}

} // namespace figrack::gateway
