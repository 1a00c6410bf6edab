// Account limits across all gateways, simulated in virtual time without a network.
//
// Load: accounts of different sizes, requests that cost from 200 to 40,000 units, gateways that
// each serve a small part of an account, and one account that asks for six times its limit. Faults:
// the control that counts is lost, cut off or slow; gateways are cut off; a limit is changed. The
// tests check what callers get: the most that was admitted in any window against what the limit
// allows, and the fraction of requests below their limit that was refused because of it.

#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <numeric>
#include <optional>
#include <string>
#include <vector>

#include "core/random.h"
#include "fleet/accountledger.h"
#include "fleet/testing/fakepeer.h"
#include "gateway/localadmission.h"

using namespace figrack;
using namespace figrack::fleet;
using namespace std::chrono_literals;
using fleet::testing::LinkedPeer;

namespace {

constexpr auto window = Duration { 8s };
constexpr auto overage = 0.1;
constexpr auto slack = 72'000.0;
constexpr auto step = Duration { 5ms };
constexpr auto newsDelay = Duration { 3ms };
/// Callers retry within a third of the time that they have.
constexpr auto patience = Duration { 1600ms };
/// How long a gateway continues without a balancer; equal to the other half of the window.
constexpr auto aloneFor = Duration { 4s };

struct PlayedAccount
{
    std::string name;
    double asksPerSecond = 0; ///< Units.
    catalogue::RateLimit limit;
    Revision version { 1 };
};

struct Admitted
{
    Instant at;
    double cost = 0;
};

/// Tokens of a request: most cost a few thousand, some cost 40,000.
auto drawCost(Random &random) -> std::uint64_t
{
    constexpr auto least = 200.0;
    constexpr auto most = 40'000.0;
    constexpr auto mean = 9000.0;
    const auto drawn = -mean * std::log(1 - random.unit());
    return static_cast<std::uint64_t>(std::clamp(drawn, least, most));
}

class Play
{
public:
    Play(std::size_t gateways, std::vector<PlayedAccount> accounts, std::uint64_t seed)
        : random_(seed)
        , gateways_(gateways)
        , accounts_(std::move(accounts))
        , cut_(gateways, false)
    {
        for (std::size_t i = 0; i < controls_.size(); ++i)
            startControl(i);
        run(10s); // Before any traffic, since controls start before gateways have callers.
        begun_ = clock_.now();
    }

    auto account(const std::string &name) -> PlayedAccount &
    {
        return *std::find_if(accounts_.begin(), accounts_.end(),
                             [&](const auto &account) { return account.name == name; });
    }
    auto startControl(std::size_t index) -> void
    {
        auto &control = controls_[index];
        control.ledger.reset();
        auto options = RegistryOptions {};
        options.self = NodeId { nameOf(index) };
        control.registry = std::make_unique<Registry>(options, clock_);
        auto ledger = AccountLedgerOptions {};
        ledger.limits.slack = slack;
        control.ledger = std::make_unique<AccountLedger>(ledger, *control.registry, clock_,
                                                         Incarnation { random_.bits() });
        for (std::size_t i = 0; i < controls_.size(); ++i) {
            if (i == index)
                continue;
            subscribe(index, i); // Announced by this control; subscriptions to the others remain.
        }
    }
    auto setDown(std::size_t control, bool down) -> void { controls_[control].down = down; }
    /// Cuts a control off from the other controls; gateways still reach it.
    auto setCut(std::size_t control, bool cut) -> void { controls_[control].cut = cut; }
    /// Cuts a range of gateways off from all controls, or reconnects them.
    auto cutGateways(std::size_t from, std::size_t to, bool cut) -> void
    {
        std::fill(cut_.begin() + static_cast<std::ptrdiff_t>(from),
                  cut_.begin() + static_cast<std::ptrdiff_t>(to), cut);
        for (auto i = from; cut && i < to; ++i) {
            for (auto &control : controls_) {
                if (!control.down)
                    control.ledger->onGatewayLost(NodeId { "g" + std::to_string(i) });
            }
        }
    }

    auto run(Duration duration) -> void
    {
        const auto until = clock_.now() + duration;
        while (clock_.now() < until) {
            clock_.advance(step);
            deliver();
            for (auto &control : controls_) {
                if (!control.down)
                    control.ledger->tick(!control.cut);
            }
            if (begun_ != Instant {})
                arrive();
        }
    }

    /// @return the most that was admitted in a window, as a fraction of the most that is allowed
    auto fullestWindow(const std::string &name) -> double
    {
        const auto &limit = account(name).limit;
        const auto seconds = std::chrono::duration<double> { window }.count();
        const auto allowed = (limit.perSecond * seconds + limit.burst) * (1 + overage) + slack;
        auto sum = 0.0;
        auto most = 0.0;
        auto first = std::size_t { 0 };
        const auto &all = admitted_[name];
        for (const auto &item : all) {
            sum += item.cost;
            while (all[first].at <= item.at - window)
                sum -= all[first++].cost;
            most = std::max(most, sum);
        }
        return most / allowed;
    }
    auto admittedSince(const std::string &name, Instant since) -> double
    {
        auto sum = 0.0;
        for (const auto &item : admitted_[name])
            sum += item.at >= since ? item.cost : 0;
        return sum;
    }
    auto refused(const std::string &name) -> std::size_t { return refused_[name]; }
    auto asked(const std::string &name) -> std::size_t
    {
        return admitted_[name].size() + refused_[name];
    }
    auto now() const -> Instant { return clock_.now(); }
    auto messages() const -> std::size_t { return messages_; }
    auto requests() const -> std::size_t { return requests_; }

private:
    struct Control
    {
        std::unique_ptr<Registry> registry;
        std::unique_ptr<AccountLedger> ledger;
        bool down = false;
        bool cut = false;
    };
    /// A caller that was refused, and retries once after the time that it was given.
    struct Return
    {
        const PlayedAccount *account = nullptr;
        std::uint64_t cost = 0;
        std::uint64_t work = 0;
    };
    struct News
    {
        Instant at;
        std::size_t from = 0;
        std::size_t to = 0;
        proto::AccountNews news;
    };

    static auto nameOf(std::size_t control) -> std::string { return "c" + std::to_string(control); }

    auto subscribe(std::size_t from, std::size_t to) -> void
    {
        auto deliver = [this, from, to](const proto::Envelope &envelope) {
            if (const auto *news = std::get_if<proto::AccountNews>(&envelope.payload))
                news_.push_back({ clock_.now() + newsDelay, from, to, *news });
        };
        auto subscription = proto::Subscribe {};
        subscription.kind = proto::SubscriberKind::Control;
        peers_.push_back(std::make_shared<LinkedPeer>(nameOf(to), std::move(deliver)));
        controls_[from].registry->onSubscribe(peers_.back(), subscription);
    }

    auto deliver() -> void
    {
        while (!news_.empty() && news_.front().at <= clock_.now()) {
            const auto item = std::move(news_.front());
            news_.pop_front();
            const auto &from = controls_[item.from];
            auto &to = controls_[item.to];
            ++messages_;
            if (!from.cut && !to.cut && !from.down && !to.down)
                to.ledger->onNews(NodeId { nameOf(item.from) }, item.news);
        }
    }

    auto arrive() -> void
    {
        const auto seconds = std::chrono::duration<double> { step }.count();
        constexpr auto meanCost = 8800.0;
        for (const auto &account : accounts_) {
            auto expected = account.asksPerSecond * seconds / meanCost;
            for (; random_.chance(std::min(expected, 1.0)); expected -= 1) {
                // Not as arguments of one call, whose order of evaluation differs by platform.
                const auto work = random_.bits();
                const auto cost = drawCost(random_);
                ask(account, cost, work, false);
            }
        }
        while (!returns_.empty() && returns_.begin()->first <= clock_.now()) {
            const auto back = returns_.extract(returns_.begin()).mapped();
            ask(*back.account, back.cost, back.work, true);
        }
    }

    auto ask(const PlayedAccount &account, std::uint64_t cost, std::uint64_t work, bool isReturn)
            -> void
    {
        const auto gateway = random_.below(gateways_);
        auto request = proto::PickRequest {};
        request.ticket = ++ticket_;
        request.limitMs = 5000;
        request.candidates = { EndpointId { "i-1" } };
        request.works.ofCaller.low = work;
        request.charge = { AccountId { account.name }, cost, account.limit, account.version, 0 };
        ++requests_;
        auto roomIn = Duration {};
        if (isAdmitted(gateway, request, roomIn))
            admitted_[account.name].push_back({ clock_.now(), static_cast<double>(cost) });
        else if (isReturn || roomIn > patience)
            ++refused_[account.name];
        else
            returns_.emplace(clock_.now() + roomIn, Return { &account, cost, work });
    }

    /// @param roomIn set if it is not admitted: the time after which to retry
    auto isAdmitted(std::size_t gateway, proto::PickRequest &request, Duration &roomIn) -> bool
    {
        auto &localAdmission
                = localAdmission_
                          .try_emplace(gateway, gateway::LocalAdmissionOptions { aloneFor }, clock_,
                                       random_)
                          .first->second;
        auto &charge = *request.charge;
        charge.admittedAlone = localAdmission.takeUnreported(charge.account);
        const auto name = NodeId { "g" + std::to_string(gateway) };
        for (auto i = std::size_t { 0 }; !cut_[gateway] && i < controls_.size(); ++i) {
            if (controls_[i].down)
                continue;
            const auto refusal = controls_[i].ledger->refuse(name, request);
            if (refusal && refusal->refusal == proto::PickRefusal::CannotCount)
                continue;
            const auto isNear = refusal || controls_[i].ledger->isNearLimit(request);
            localAdmission.onCounted(charge.account, refusal ? 0 : charge.cost, isNear);
            if (refusal)
                roomIn = std::chrono::milliseconds { refusal->comeBackMs };
            return !refusal;
        }
        localAdmission.restoreUnreported(charge.account, charge.admittedAlone);
        const auto retryAfter = localAdmission.admit(charge);
        roomIn = retryAfter.value_or(Duration {});
        return !retryAfter;
    }

    ManualClock clock_;
    Random random_;
    std::size_t gateways_;
    std::vector<PlayedAccount> accounts_;
    std::vector<bool> cut_;
    std::vector<Control> controls_ { 3 };
    std::vector<proto::PeerPointer> peers_;
    std::deque<News> news_;
    std::map<std::size_t, gateway::LocalAdmission> localAdmission_; ///< One for each gateway.
    std::map<std::string, std::vector<Admitted>> admitted_;
    std::map<std::string, std::size_t> refused_; ///< Requests that were finally refused.
    std::multimap<Instant, Return> returns_;
    std::uint64_t ticket_ = 0;
    std::size_t messages_ = 0;
    std::size_t requests_ = 0;
    Instant begun_ {};
};

/// Limits are 1.8 times what accounts use, but at least 18,000.
auto accountOf(const std::string &name, double asks, double times) -> PlayedAccount
{
    constexpr auto room = 1.8;
    constexpr auto least = 18'000.0;
    const auto rate = std::max(asks * room, least);
    return { name, asks * times, { rate, rate }, Revision { 1 } };
}

auto fourAccounts(double hotTimes = 6) -> std::vector<PlayedAccount>
{
    return { accountOf("large", 300'000, 1), accountOf("hot", 60'000, hotTimes),
             accountOf("middle", 30'000, 1), accountOf("small", 8000, 1) };
}

/// Fraction of requests below their limit that may be refused by chance, when several large
/// requests of a small account arrive together.
constexpr auto seldom = 0.005;
/// Seeds of each simulation whose results are summed. Refusals of a small account come in groups,
/// so that the fraction of a few hundred requests says little.
constexpr auto seeds = std::uint64_t { 120 };

/// Results of the accounts that stay below their limits, summed over all simulations: in a single
/// one, one refused request of a small account would already exceed the allowed fraction.
struct Others
{
    auto check(Play &play) -> void
    {
        for (const auto *name : { "large", "middle", "small" }) {
            CHECK_MESSAGE(play.fullestWindow(name) <= 1, name);
            asked[name] += play.asked(name);
            refused[name] += play.refused(name);
        }
    }
    std::map<std::string, std::size_t> asked;
    std::map<std::string, std::size_t> refused;
};

auto others = Others {};

} // namespace

TEST_CASE("An account that asks for six times its usual rate gets its limit, and others are not "
          "affected")
{
    for (const auto gateways : { std::size_t { 76 }, std::size_t { 1700 } }) {
        for (auto seed = std::uint64_t { 1 }; seed <= seeds; ++seed) {
            CAPTURE(gateways);
            CAPTURE(seed);
            auto play = Play { gateways, fourAccounts(), seed };
            const auto begun = play.now();
            play.run(40s);
            CHECK(play.fullestWindow("hot") <= 1);
            const auto full = play.account("hot").limit.perSecond * 40;
            CHECK(play.admittedSince("hot", begun) >= 0.95 * full);
            others.check(play);
        }
    }
}

TEST_CASE(
        "A request needs no additional messages, except to two other controls 17 times per second")
{
    auto play = Play { 76, fourAccounts(1), 1 };
    play.run(20s);
    CHECK(play.messages() <= 2 * 20 * 17 + 2);
    CHECK(play.requests() > 500);
}

TEST_CASE("The limit holds across all gateways when the control that counts is lost and restarts")
{
    for (auto seed = std::uint64_t { 1 }; seed <= seeds; ++seed) {
        CAPTURE(seed);
        auto play = Play { 76, fourAccounts(), seed };
        play.run(10s);
        play.setDown(0, true);
        play.run(3s);
        play.startControl(0);
        play.setDown(0, false); // Gateways use it again immediately.
        play.run(12s);
        CHECK(play.fullestWindow("hot") <= 1);
        others.check(play);
    }
}

TEST_CASE("A control that is cut off from the others counts for no gateway")
{
    for (auto seed = std::uint64_t { 1 }; seed <= seeds; ++seed) {
        CAPTURE(seed);
        auto play = Play { 76, fourAccounts(), seed };
        play.run(10s);
        play.setCut(0, true);
        play.run(6s);
        play.setCut(0, false);
        play.run(10s);
        CHECK(play.fullestWindow("hot") <= 1);
        others.check(play);
    }
}

TEST_CASE("Gateways that are cut off continue for a while, and the limit holds across all gateways")
{
    for (auto seed = std::uint64_t { 1 }; seed <= 6; ++seed) {
        for (const auto cut : { std::size_t { 15 }, std::size_t { 38 }, std::size_t { 76 } }) {
            CAPTURE(seed);
            CAPTURE(cut);
            auto play = Play { 76, fourAccounts(), seed };
            play.run(12s);
            play.cutGateways(0, cut, true);
            play.run(10s);
            play.cutGateways(0, cut, false);
            play.run(10s);
            CHECK(play.fullestWindow("hot") <= 1);
            for (const auto *name : { "large", "middle", "small" })
                CHECK(play.fullestWindow(name) <= 1);
        }
    }
}

TEST_CASE(
        "A limit that is lowered far below the demand takes effect one window later, and a raised "
        "limit immediately")
{
    auto play = Play { 76, fourAccounts(1), 3 };
    play.run(15s);
    auto &hot = play.account("hot");
    const auto before = hot.limit;
    hot.limit = { 20'000, 20'000 };
    hot.version = Revision { 2 };
    play.run(window);
    const auto lowered = play.now();
    play.run(window);
    const auto allowed = (20'000 * 8 + 20'000) * (1 + overage) + slack;
    CHECK(play.admittedSince("hot", lowered) <= allowed);
    hot.limit = before;
    hot.version = Revision { 3 };
    play.run(4s); // The bucket fills at the new rate.
    const auto raised = play.now();
    play.run(10s);
    CHECK(play.admittedSince("hot", raised) >= 0.9 * 60'000 * 10);
    others.check(play);
}

TEST_CASE("Over all these simulations, accounts below their limit are not refused because of it")
{
    for (const auto &item : others.asked) {
        const auto refused = others.refused[item.first];
        const auto part = static_cast<double>(refused) / static_cast<double>(item.second);
        CHECK_MESSAGE(part <= seldom,
                      item.first << " refused " << refused << " of " << item.second);
    }
}
