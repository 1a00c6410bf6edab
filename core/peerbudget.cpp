// The accounts are in a list. It is searched only where there is no room, and then as a whole: what
// makes a connection the one to end changes with each byte that it moves.

#include "core/peerbudget.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "core/log.h"

namespace figrack {

namespace {

/// Shortest time between two log lines, as the events come in hundreds.
constexpr auto logInterval = std::chrono::seconds { 1 };

auto indexOf(EndReason reason) -> std::size_t
{
    return static_cast<std::size_t>(reason);
}

} // namespace

auto metricsText(const PeerBudgetGauges &gauges, std::string_view prefix) -> std::string
{
    auto text = std::string {};
    const auto add = [&](std::string_view name, std::string_view type, std::uint64_t value) {
        text += fmt::format("# TYPE {0}_{1} {2}\n{0}_{1} {3}\n", prefix, name, type, value);
    };
    const auto addByReason = [&](std::string_view name, const auto &counts) {
        text += fmt::format("# TYPE {}_{} counter\n", prefix, name);
        for (auto index = std::size_t { 0 }; index < counts.size(); ++index) {
            text += fmt::format("{}_{}{{lacked=\"{}\"}} {}\n", prefix, name, endReasonNames[index],
                                counts[index]);
        }
    };
    add("peer_bytes", "gauge", gauges.bytes);
    add("peer_bytes_limit", "gauge", gauges.maxBytes);
    add("peer_connections", "gauge", gauges.connections);
    add("peer_connections_limit", "gauge", gauges.maxConnections);
    addByReason("peer_connections_ended_total", gauges.ended);
    addByReason("peer_refusals_total", gauges.refused);
    return text;
}

PeerBudget::Holding::Holding(std::shared_ptr<PeerBudget> budget, std::uint64_t bytes)
    : budget_(std::move(budget))
    , bytes_(bytes)
{
    if (budget_)
        budget_->add(bytes_);
}

PeerBudget::Holding::~Holding()
{
    if (budget_)
        budget_->remove(bytes_);
}

PeerBudget::Account::Account(std::shared_ptr<PeerBudget> budget, OnEnd onEnd)
    : budget_(std::move(budget))
    , onEnd_(std::move(onEnd))
    , bytes_(connectionBytes)
    , movedAt_(budget_->clock_.now())
{ }

PeerBudget::Account::~Account()
{
    const auto lock = std::lock_guard { budget_->mutex_ };
    budget_->bytes_ -= bytes_;
    if (isEnded_) {
        budget_->endingBytes_ -= bytes_;
        --budget_->endingConnections_;
    }
    budget_->accounts_.erase(place_);
}

auto PeerBudget::Account::enter(PeerStage stage) -> void
{
    const auto now = budget_->clock_.now();
    const auto lock = std::lock_guard { budget_->mutex_ };
    hasServed_ = hasServed_ || stage == PeerStage::Handling;
    stage_ = stage;
    movedAt_ = now;
    movedBytes_ = 0;
    const auto mayStay = stage == PeerStage::Handling || stage == PeerStage::Closing;
    if (!mayStay || !std::exchange(isEnded_, false))
        return;
    budget_->endingBytes_ -= bytes_;
    --budget_->endingConnections_;
}

auto PeerBudget::Account::isEnded() const -> bool
{
    const auto lock = std::lock_guard { budget_->mutex_ };
    return isEnded_;
}

auto PeerBudget::Account::moved(std::uint64_t bytes) -> void
{
    const auto now = budget_->clock_.now();
    const auto lock = std::lock_guard { budget_->mutex_ };
    movedBytes_ += bytes;
    if (movedBytes_ < budget_->options_.progressBytes)
        return;
    movedAt_ = now;
    movedBytes_ = 0;
}

auto PeerBudget::Account::resize(std::uint64_t bytes) -> bool
{
    const auto wanted = bytes + connectionBytes;
    auto calls = Callbacks {};
    {
        const auto lock = std::lock_guard { budget_->mutex_ };
        const auto more = wanted > bytes_ ? wanted - bytes_ : 0;
        if (more > 0
            && (isEnded_ || !budget_->makeRoom(more, budget_->limitFor(wanted), this, calls))) {
            budget_->noteRefused(EndReason::Memory);
            return false;
        }
        budget_->bytes_ += wanted - bytes_;
        if (isEnded_)
            budget_->endingBytes_ += wanted - bytes_;
        bytes_ = wanted;
    }
    run(calls);
    return true;
}

PeerBudget::PeerBudget(PeerBudgetOptions options, const Clock &clock)
    : options_(options)
    , clock_(clock)
{ }

auto PeerBudget::open(OnEnd onEnd) -> std::unique_ptr<Account>
{
    auto account = std::unique_ptr<Account> {};
    auto calls = Callbacks {};
    {
        const auto lock = std::lock_guard { mutex_ };
        if (accounts_.size() - endingConnections_ >= options_.maxConnections) {
            auto *other = longestWithoutRequest();
            if (other == nullptr) {
                noteRefused(EndReason::Connections);
                return nullptr;
            }
            end(*other, EndReason::Connections, calls);
        }
        if (!makeRoom(connectionBytes, limitFor(connectionBytes), nullptr, calls)) {
            noteRefused(EndReason::Memory);
        } else {
            account.reset(new Account { shared_from_this(), std::move(onEnd) });
            account->place_ = accounts_.insert(accounts_.end(), account.get());
            bytes_ += connectionBytes;
        }
    }
    run(calls);
    return account;
}

auto PeerBudget::add(std::uint64_t bytes) -> void
{
    auto calls = Callbacks {};
    {
        const auto lock = std::lock_guard { mutex_ };
        makeRoom(bytes, options_.maxBytes, nullptr, calls);
        bytes_ += bytes;
    }
    run(calls);
}

auto PeerBudget::remove(std::uint64_t bytes) -> void
{
    const auto lock = std::lock_guard { mutex_ };
    bytes_ -= bytes;
}

auto PeerBudget::gauges() const -> PeerBudgetGauges
{
    const auto lock = std::lock_guard { mutex_ };
    auto result = counts_;
    result.bytes = bytes_;
    result.maxBytes = options_.maxBytes;
    result.connections = accounts_.size();
    result.maxConnections = options_.maxConnections;
    return result;
}

auto PeerBudget::isStalled(const Account &account, Instant now) const -> bool
{
    return !account.isEnded_ && account.stage_ != PeerStage::Handling
            && now - account.movedAt_ >= options_.stallTime;
}

auto PeerBudget::heaviestStalled(const Account *asking) const -> Account *
{
    const auto now = clock_.now();
    auto *result = static_cast<Account *>(nullptr);
    for (auto *account : accounts_) {
        if (account != asking && isStalled(*account, now)
            && (result == nullptr || account->bytes_ > result->bytes_))
            result = account;
    }
    return result;
}

auto PeerBudget::longestWithoutRequest() const -> Account *
{
    const auto now = clock_.now();
    const auto isBefore = [](const Account &left, const Account &right) {
        // Those that have never sent a whole request go first.
        return left.hasServed_ != right.hasServed_ ? right.hasServed_
                                                   : left.movedAt_ < right.movedAt_;
    };
    auto *result = static_cast<Account *>(nullptr);
    for (auto *account : accounts_) {
        const auto isWaiting = !account->isEnded_
                && (account->stage_ == PeerStage::Idle || account->stage_ == PeerStage::Closing);
        const auto mayEnd = isWaiting
                || (account->stage_ == PeerStage::Receiving && isStalled(*account, now));
        if (mayEnd && (result == nullptr || isBefore(*account, *result)))
            result = account;
    }
    return result;
}

auto PeerBudget::makeRoom(std::uint64_t bytes, std::uint64_t limit, const Account *asking,
                          Callbacks &calls) -> bool
{
    while (bytes_ - endingBytes_ + bytes > limit) {
        auto *other = heaviestStalled(asking);
        if (other == nullptr)
            return false;
        end(*other, EndReason::Memory, calls);
    }
    return true;
}

auto PeerBudget::end(Account &account, EndReason reason, Callbacks &calls) -> void
{
    ++counts_.ended[indexOf(reason)];
    logSometimes("connection_ended_for_room", reason, &account);
    account.isEnded_ = true;
    endingBytes_ += account.bytes_;
    ++endingConnections_;
    calls.push_back([onEnd = account.onEnd_, reason] { onEnd(reason); });
}

auto PeerBudget::limitFor(std::uint64_t accountBytes) const -> std::uint64_t
{
    if (accountBytes <= options_.smallBytes)
        return options_.maxBytes;
    return static_cast<std::uint64_t>(static_cast<double>(options_.maxBytes)
                                      * (1 - options_.smallPart));
}

auto PeerBudget::noteRefused(EndReason reason) -> void
{
    ++counts_.refused[indexOf(reason)];
    logSometimes("peer_refused_for_room", reason, nullptr);
}

auto PeerBudget::logSometimes(std::string_view event, EndReason reason, const Account *account)
        -> void
{
    ++unlogged_;
    const auto now = clock_.now();
    if (loggedAt_ != Instant::min() && now - loggedAt_ < logInterval)
        return;
    loggedAt_ = now;
    auto line = LogEvent { LogLevel::Warning, event };
    line.with("lacked", endReasonNames[indexOf(reason)]);
    if (account != nullptr) {
        const auto still
                = std::chrono::duration_cast<std::chrono::milliseconds>(now - account->movedAt_);
        line.with("stage", peerStageNames[static_cast<std::size_t>(account->stage_)])
                .with("held", account->bytes_)
                .with("still_ms", std::int64_t { still.count() });
    }
    line.with("bytes", bytes_)
            .with("max_bytes", options_.maxBytes)
            .with("connections", std::uint64_t { accounts_.size() })
            .with("max_connections", std::uint64_t { options_.maxConnections })
            .with("events", std::exchange(unlogged_, 0));
}

auto PeerBudget::run(const Callbacks &calls) -> void
{
    for (const auto &call : calls)
        call();
}

} // namespace figrack
