#include "fleet/retryledger.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "core/duration.h"
#include "core/log.h"

namespace figrack::fleet {

namespace {

/// Gateways that asked a control which does not lead ask again after this time.
constexpr auto waitForLeader = std::chrono::milliseconds { 200 };
/// Time in which new requests allow another retry.
constexpr auto waitForRequests = std::chrono::milliseconds { 100 };

} // namespace

RetryLedger::RetryLedger(RetryLedgerOptions options, RetryLedgerParts parts)
    : options_(options)
    , parts_(std::move(parts))
{ }

auto RetryLedger::ask(const ServiceId &service, Reply reply) -> void
{
    checkLease();
    if (!isGranting_) {
        reply({ false, static_cast<std::uint64_t>(wholeMillis(waitForLeader)) });
        return;
    }
    auto &row = rows_[service];
    trim(row);
    if (row.open > 0) {
        grant(row, reply);
        return;
    }
    const auto mayWait = row.waiting.size() < options_.maxWaiting;
    if (!mayWait || (!row.isReserving && room(row) == 0)) {
        refuse(row, reply);
        return;
    }
    row.waiting.push_back({ parts_.clock.now(), std::move(reply) });
    reserve(service, row);
}

auto RetryLedger::onReserved(const RetryReservation &reservation, bool isOwn) -> void
{
    auto &row = rows_[reservation.service];
    // The reservation before it was used up, unless its leader has lost its lease.
    const auto before = std::exchange(row.openElsewhere, 0);
    if (before > 0)
        addGranted(row, before);
    if (!isOwn) {
        row.openElsewhere = reservation.count;
        return;
    }
    row.isReserving = false;
    row.open += reservation.count;
    LogEvent(LogLevel::Info, "retries_reserved")
            .with("service", reservation.service)
            .with("count", std::uint64_t { reservation.count })
            .with("left", std::uint64_t { room(row) });
    checkLease();
    serveWaiting(row);
}

auto RetryLedger::onNotReserved(const ServiceId &service) -> void
{
    auto &row = rows_[service];
    row.isReserving = false;
    refuseWaiting(row);
}

auto RetryLedger::onRestored() -> void
{
    unknownUntil_ = parts_.clock.now() + countedFor();
}

auto RetryLedger::tick() -> void
{
    checkLease();
    for (auto &[service, row] : rows_)
        reserve(service, row);
}

auto RetryLedger::checkLease() -> void
{
    const auto mayGrant = parts_.mayGrant();
    if (std::exchange(isGranting_, mayGrant) == mayGrant)
        return;
    for (auto &[service, row] : rows_) {
        if (const auto elsewhere = std::exchange(row.openElsewhere, 0); elsewhere > 0)
            addGranted(row, elsewhere);
        row.open = 0;
        row.isReserving = false;
        refuseWaiting(row);
    }
}

auto RetryLedger::onRequests(const ServiceId &service, std::uint64_t count) -> void
{
    auto &row = rows_[service];
    trim(row);
    const auto now = parts_.clock.now();
    if (!row.requests.empty() && now - row.requests.back().first < options_.step)
        row.requests.back().second += count;
    else
        row.requests.emplace_back(now, count);
}

auto RetryLedger::room(const Row &row) const -> std::uint32_t
{
    const auto now = parts_.clock.now();
    if (now < unknownUntil_)
        return 0;
    auto least = std::uint64_t { std::numeric_limits<std::uint32_t>::max() };
    for (auto from = now; from > now - countedFor(); from -= options_.step) {
        const auto used = sumFrom(row.granted, from) + row.open;
        const auto allowed = allowedFrom(row, from);
        least = std::min(least, allowed - std::min(used, allowed));
    }
    return static_cast<std::uint32_t>(least);
}

auto RetryLedger::allowedFrom(const Row &row, Instant from) const -> std::uint64_t
{
    auto most = std::uint64_t { 0 };
    for (const auto shift : { Duration {}, options_.window / 2, options_.window }) {
        const auto first = from - shift + options_.step + options_.reportAge;
        const auto end = from - shift + options_.window;
        most = std::max(most, sumFrom(row.requests, first) - sumFrom(row.requests, end));
    }
    return options_.slack + static_cast<std::uint64_t>(options_.ratio * static_cast<double>(most));
}

auto RetryLedger::sumFrom(const Counts &counts, Instant from) -> std::uint64_t
{
    auto sum = std::uint64_t { 0 };
    for (auto item = counts.rbegin(); item != counts.rend() && item->first >= from; ++item)
        sum += item->second;
    return sum;
}

auto RetryLedger::trim(Row &row) const -> void
{
    const auto dropBefore = [](Counts &counts, Instant limit) {
        while (!counts.empty() && counts.front().first < limit)
            counts.pop_front();
    };
    const auto oldest = parts_.clock.now() - countedFor() - options_.step;
    dropBefore(row.granted, oldest);
    dropBefore(row.requests, oldest - options_.window);
}

auto RetryLedger::waitTime(const Row &row) const -> std::uint64_t
{
    const auto now = parts_.clock.now();
    auto end = unknownUntil_;
    // Requests that are reported allow more before grants expire.
    if (row.requests.empty() && !row.granted.empty())
        end = std::max(end, row.granted.front().first + countedFor());
    return static_cast<std::uint64_t>(wholeMillis(std::max<Duration>(end - now, waitForRequests)));
}

auto RetryLedger::grant(Row &row, const Reply &reply) const -> void
{
    --row.open;
    addGranted(row, 1);
    reply({ true, 0 });
}

/// Counts what was granted within a step as granted last, so that the number of counts is bounded.
auto RetryLedger::addGranted(Row &row, std::uint64_t count) const -> void
{
    const auto now = parts_.clock.now();
    if (row.granted.empty() || now - row.lastStepAt >= options_.step) {
        row.granted.emplace_back(now, 0);
        row.lastStepAt = now;
    }
    row.granted.back().first = now;
    row.granted.back().second += count;
}

auto RetryLedger::refuse(const Row &row, const Reply &reply) const -> void
{
    reply({ false, waitTime(row) });
}

auto RetryLedger::serveWaiting(Row &row) const -> void
{
    const auto oldest = parts_.clock.now() - options_.maxWait;
    while (!row.waiting.empty() && row.open > 0 && isGranting_) {
        const auto waiting = std::move(row.waiting.front());
        row.waiting.pop_front();
        if (waiting.since < oldest)
            refuse(row, waiting.reply);
        else
            grant(row, waiting.reply);
    }
}

auto RetryLedger::refuseWaiting(Row &row) const -> void
{
    for (const auto &waiting : std::exchange(row.waiting, {}))
        refuse(row, waiting.reply);
}

auto RetryLedger::reserve(const ServiceId &service, Row &row) -> void
{
    if (row.waiting.empty() || row.isReserving || !isGranting_)
        return;
    const auto part = std::max(options_.slack / options_.reservationsPerWindow, 1U);
    const auto count = std::min(part, room(row));
    if (count == 0) {
        refuseWaiting(row);
        return;
    }
    row.isReserving = true;
    parts_.propose({ service, count });
}

} // namespace figrack::fleet
