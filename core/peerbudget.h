// Sums what peers make a process hold, over all of its servers, and keeps the sum below a limit.
//
//   auto budget = std::make_shared<PeerBudget>(options, clock);
//   auto account = budget->open([...](EndReason reason) { ... });  // nullptr: refuse the
//   connection account->enter(PeerStage::Receiving); if (!account->resize(bytes)) ... // refuse the
//   request
//
// Addresses crowds of clients that send large bodies, heads or nothing at all and stay: each one is
// within the limits of a request, but together they take the memory or the descriptors of the
// process, and it is ended with all of its requests.
//
// Where there is no room, a connection that holds much and moves little is ended for one that needs
// it; without such a connection the newcomer is refused. Nothing is ended or refused before that.
// A request that a handler has is ended only while the peer does not take its answer. Accounts of
// few bytes may use a reserved part of the limit, so that ordinary requests are served beside large
// bodies.
//
// Memory is counted as it is allocated, whatever a peer announces. Thread-safe. The callbacks run
// without the lock, on the thread of the account that needs the room.

#ifndef FIGRACK_CORE_PEERBUDGET_H
#define FIGRACK_CORE_PEERBUDGET_H

#include <array>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"

namespace figrack {

struct PeerBudgetOptions
{
    std::uint64_t maxBytes = 1U << 30;
    std::size_t maxConnections = 4096;
    /// Part of maxBytes that only accounts of at most smallBytes may use.
    double smallPart = 0.125;
    std::uint64_t smallBytes = 128U << 10;
    /// A connection that has moved less than progressBytes in this time may be ended for another.
    Duration stallTime = std::chrono::seconds { 1 };
    std::uint64_t progressBytes = 64U << 10;
};

/// What a connection does.
enum class PeerStage : std::uint8_t {
    Idle,      ///< No byte of a request has come.
    Receiving, ///< Part of a request has come.
    Handling,  ///< A handler has the request.
    Sending,   ///< Waits until the peer takes an answer.
    Closing,   ///< Its last answer is sent.
};

constexpr auto peerStageNames
        = std::array<std::string_view, 5> { "idle", "receiving", "handling", "sending", "closing" };

/// Why a connection is ended for another one.
enum class EndReason : std::uint8_t { Memory, Connections };

constexpr auto endReasonNames = std::array<std::string_view, 2> { "memory", "connections" };

/// What the metrics report.
struct PeerBudgetGauges
{
    std::uint64_t bytes = 0;
    std::uint64_t maxBytes = 0;
    std::uint64_t connections = 0;
    std::uint64_t maxConnections = 0;
    std::array<std::uint64_t, endReasonNames.size()> ended {};   ///< Connections, by reason.
    std::array<std::uint64_t, endReasonNames.size()> refused {}; ///< By what was lacking.
};

/// @param prefix of the names
/// @return the gauges in Prometheus' text format
auto metricsText(const PeerBudgetGauges &gauges, std::string_view prefix) -> std::string;

class PeerBudget : public std::enable_shared_from_this<PeerBudget>
{
public:
    /// Memory of a connection with its buffers and coroutines, before it holds any large body.
    static constexpr auto connectionBytes = std::uint64_t { 32 } << 10;

    using OnEnd = std::function<void(EndReason)>;

    /// One connection. Gives everything back when it is destroyed.
    class Account
    {
    public:
        ~Account();
        Account(const Account &) = delete;
        auto operator=(const Account &) -> Account & = delete;

        /// An account that was asked to end and enters Handling or Closing need not end any more: a
        /// handler has got its request meanwhile, or it has released what it held.
        auto enter(PeerStage stage) -> void;
        /// @return true if the connection was asked to end and still is to
        auto isEnded() const -> bool;
        /// Notes bytes that the peer has sent or taken.
        auto moved(std::uint64_t bytes) -> void;
        /// Sets what the connection holds beside connectionBytes.
        /// @return false if there is no room for more than before; nothing has changed then
        auto resize(std::uint64_t bytes) -> bool;

    private:
        friend class PeerBudget;
        Account(std::shared_ptr<PeerBudget> budget, OnEnd onEnd);

        // All guarded by the budget's mutex.
        std::shared_ptr<PeerBudget> budget_;
        OnEnd onEnd_;
        std::list<Account *>::iterator place_;
        std::uint64_t bytes_ = 0;      ///< With connectionBytes.
        std::uint64_t movedBytes_ = 0; ///< Since movedAt_.
        Instant movedAt_;              ///< Last change of stage, or progressBytes moved since.
        PeerStage stage_ = PeerStage::Idle;
        bool hasServed_ = false; ///< A whole request has come.
        bool isEnded_ = false;   ///< Was asked to end, and still counts.
    };

    /// Bytes that are held for peers outside the accounts. They are never refused, but connections
    /// are ended for them.
    class Holding
    {
    public:
        /// @param budget nullptr: nothing is counted
        Holding(std::shared_ptr<PeerBudget> budget, std::uint64_t bytes);
        ~Holding();
        Holding(const Holding &) = delete;
        auto operator=(const Holding &) -> Holding & = delete;

    private:
        std::shared_ptr<PeerBudget> budget_;
        std::uint64_t bytes_;
    };

    /// @param clock must outlive the object
    PeerBudget(PeerBudgetOptions options, const Clock &clock);
    PeerBudget(const PeerBudget &) = delete;
    auto operator=(const PeerBudget &) -> PeerBudget & = delete;

    /// Counts a connection.
    /// @param onEnd called when the connection is to end for another one; again only after it has
    /// entered PeerStage::Closing
    /// @return nullptr if there is no room, and no connection to end for it
    auto open(OnEnd onEnd) -> std::unique_ptr<Account>;
    /// Counts bytes as a Holding does, until remove().
    auto add(std::uint64_t bytes) -> void;
    auto remove(std::uint64_t bytes) -> void;
    auto gauges() const -> PeerBudgetGauges;

private:
    using Callbacks = std::vector<std::function<void()>>;

    auto isStalled(const Account &account, Instant now) const -> bool;
    /// @return a connection that may be ended for the bytes of another; nullptr: none
    auto heaviestStalled(const Account *asking) const -> Account *;
    /// @return a connection that may be ended for the descriptor of another; nullptr: none
    auto longestWithoutRequest() const -> Account *;
    /// Ends connections until the bytes fit. @return whether they do
    auto makeRoom(std::uint64_t bytes, std::uint64_t limit, const Account *asking, Callbacks &calls)
            -> bool;
    auto end(Account &account, EndReason reason, Callbacks &calls) -> void;
    auto limitFor(std::uint64_t accountBytes) const -> std::uint64_t;
    auto noteRefused(EndReason reason) -> void;
    auto logSometimes(std::string_view event, EndReason reason, const Account *account) -> void;
    static auto run(const Callbacks &calls) -> void;

    PeerBudgetOptions options_;
    const Clock &clock_;
    mutable std::mutex mutex_; ///< Guards all below and the accounts; a leaf in the lock order.
    std::list<Account *> accounts_;
    std::uint64_t bytes_ = 0;
    std::uint64_t endingBytes_ = 0;     ///< Part of bytes_; of accounts that were asked to end.
    std::size_t endingConnections_ = 0; ///< Accounts that were asked to end.
    PeerBudgetGauges counts_;           ///< Only the counters are kept here.
    std::uint64_t unlogged_ = 0;        ///< Events since the last line of the log.
    Instant loggedAt_ = Instant::min();
};

} // namespace figrack

#endif // FIGRACK_CORE_PEERBUDGET_H
