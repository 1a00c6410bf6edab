#include "gateway/grantwaits.h"

#include <algorithm>
#include <array>
#include <map>
#include <utility>

#include "core/log.h"

namespace figrack::gateway {
namespace {

constexpr auto waitEndNames
        = std::array<std::string_view, 7> { "granted",  "refused", "closed", "moved",
                                            "outdated", "expired", "left" };

} // namespace

auto waitEndName(WaitEnd end) -> std::string_view
{
    return waitEndNames[static_cast<std::size_t>(end) % waitEndNames.size()];
}

struct GrantWait::Entry
{
    std::uint64_t ticket = 0;
    std::optional<Address> balancer; ///< Absent until it has been asked.
    std::optional<Instant> queuedAt;
    std::optional<Instant> endedAt;
    Duration predicted {};
    std::optional<WaitEnd> end;
    proto::PickReply reply;
    std::function<void()> onEnd;

    auto isQueued() const -> bool { return queuedAt && !end; }
};

struct GrantWait::Table
{
    Table(GrantWaits::SendEnd itsSendEnd, const Clock &itsClock)
        : sendEnd(std::move(itsSendEnd))
        , clock(itsClock)
    { }
    auto end(Entry &entry, WaitEnd how) const -> void
    {
        if (entry.end)
            return;
        entry.end = how;
        entry.endedAt = clock.now();
        if (entry.onEnd)
            entry.onEnd();
    }
    /// Ends the waits whose balancer meets the condition. @return number of queued ones among them
    auto endWhere(const std::function<bool(const Address &)> &condition, WaitEnd how) const
            -> std::uint64_t
    {
        auto count = std::uint64_t { 0 };
        for (const auto &[ticket, entry] : entries) {
            if (entry->end || !entry->balancer || !condition(*entry->balancer))
                continue;
            count += entry->isQueued() ? 1 : 0;
            end(*entry, how);
        }
        return count;
    }
    auto sendEndOf(const Address &balancer, std::uint64_t ticket) const -> void
    {
        auto end = proto::PickEnd {};
        end.ticket = ticket;
        if (sendEnd)
            sendEnd(balancer, end);
    }

    GrantWaits::SendEnd sendEnd;
    const Clock &clock;
    std::map<std::uint64_t, std::shared_ptr<Entry>> entries; ///< By ticket.
};

GrantWait::GrantWait(std::shared_ptr<Table> table, std::shared_ptr<Entry> entry)
    : table_(std::move(table))
    , entry_(std::move(entry))
{ }

GrantWait::~GrantWait()
{
    leave();
}

auto GrantWait::operator=(GrantWait &&other) noexcept -> GrantWait &
{
    if (this == &other)
        return *this;
    leave();
    table_ = std::move(other.table_);
    entry_ = std::move(other.entry_);
    isTakenOver_ = other.isTakenOver_;
    return *this;
}

auto GrantWait::leave() -> void
{
    if (!entry_)
        return;
    const auto entry = std::exchange(entry_, nullptr);
    table_->entries.erase(entry->ticket);
    const auto isKnownThere = entry->queuedAt || entry->end == WaitEnd::Granted;
    if (isKnownThere && !isTakenOver_ && entry->balancer)
        table_->sendEndOf(*entry->balancer, entry->ticket);
}

auto GrantWait::setBalancer(const Address &balancer) -> void
{
    entry_->balancer = balancer;
}

auto GrantWait::queue(Duration predicted) -> void
{
    entry_->queuedAt = table_->clock.now();
    entry_->predicted = predicted;
}

auto GrantWait::setOnEnd(std::function<void()> onEnd) -> void
{
    entry_->onEnd = std::move(onEnd);
}

auto GrantWait::check(Instant limit) -> std::optional<WaitEnd>
{
    if (!entry_->end && table_->clock.now() >= limit)
        table_->end(*entry_, WaitEnd::Expired);
    return entry_->end;
}

auto GrantWait::finish(WaitEnd end) -> WaitEnd
{
    table_->end(*entry_, end);
    return *entry_->end;
}

auto GrantWait::reply() const -> const proto::PickReply &
{
    return entry_->reply;
}

auto GrantWait::ticket() const -> std::uint64_t
{
    return entry_->ticket;
}

auto GrantWait::balancer() const -> const std::optional<Address> &
{
    return entry_->balancer;
}

auto GrantWait::waited() const -> Duration
{
    if (!entry_->queuedAt)
        return {};
    // A grant may have been handled before the reply that queued the request.
    const auto until = entry_->endedAt.value_or(table_->clock.now());
    return std::max<Duration>(until - *entry_->queuedAt, Duration::zero());
}

auto GrantWait::predicted() const -> Duration
{
    return entry_->predicted;
}

GrantWaits::GrantWaits(SendEnd sendEnd, const Clock &clock)
    : table_(std::make_shared<GrantWait::Table>(std::move(sendEnd), clock))
{ }

auto GrantWaits::begin(std::uint64_t ticket) -> GrantWait
{
    auto entry = std::make_shared<GrantWait::Entry>();
    entry->ticket = ticket;
    table_->entries[ticket] = entry;
    return { table_, std::move(entry) };
}

auto GrantWaits::onGrant(const Address &from, const proto::PickGrant &grant) -> void
{
    const auto found = table_->entries.find(grant.ticket);
    const auto isExpected = found != table_->entries.end() && !found->second->end
            && found->second->balancer.value_or(from) == from;
    if (!isExpected) {
        // The request has gone elsewhere. At most the balancer's bound of queued requests for one
        // gateway follow one another.
        LogEvent(LogLevel::Info, "place_grant_returned")
                .with("ticket", grant.ticket)
                .with("control", from.text())
                .with("endpoint", grant.reply.endpoint);
        table_->sendEndOf(from, grant.ticket);
        return;
    }
    auto &entry = *found->second;
    entry.balancer = from;
    entry.reply = grant.reply;
    table_->end(entry, grant.reply.endpoint.empty() ? WaitEnd::Refused : WaitEnd::Granted);
}

auto GrantWaits::onClosed(const Address &control) -> void
{
    const auto count = table_->endWhere(
            [&](const Address &balancer) { return balancer == control; }, WaitEnd::Closed);
    if (count > 0) {
        LogEvent(LogLevel::Warning, "place_waits_closed")
                .with("count", count)
                .with("control", control.text());
    }
}

auto GrantWaits::onBalancer(const std::optional<Address> &balancer) -> void
{
    const auto count = table_->endWhere([&](const Address &former) { return former != balancer; },
                                        WaitEnd::Moved);
    if (count > 0) {
        LogEvent(LogLevel::Warning, "place_waits_moved")
                .with("count", count)
                .with("control", balancer ? balancer->text() : std::string {});
    }
}

auto GrantWaits::queued() const -> std::size_t
{
    return static_cast<std::size_t>(
            std::count_if(table_->entries.begin(), table_->entries.end(),
                          [](const auto &item) { return item.second->isQueued(); }));
}

} // namespace figrack::gateway
