#include "gateway/picker.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <utility>

#include <boost/asio/async_result.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "core/duration.h"
#include "core/hash.h"

namespace figrack::gateway {

namespace asio = boost::asio;

namespace {

auto lackOf(proto::PickRefusal refusal) -> Lack
{
    switch (refusal) {
    case proto::PickRefusal::Suspect:
        return Lack::Trial;
    case proto::PickRefusal::OverLimit:
        return Lack::Limit;
    case proto::PickRefusal::CannotCount:
        return Lack::Counter;
    case proto::PickRefusal::RateUsed:
        return Lack::Rate;
    default:
        return Lack::Places;
    }
}

} // namespace

auto pickedByName(PickedBy by) -> std::string_view
{
    constexpr auto names = std::array<std::string_view, 3> { "nobody", "balancer", "gateway" };
    return names[static_cast<std::size_t>(by) % names.size()];
}

Booking::Booking(OnEnd onEnd, std::uint64_t ticket)
    : onEnd_(std::move(onEnd))
    , ticket_(ticket)
{ }

Booking::~Booking()
{
    end();
}

Booking::Booking(Booking &&other) noexcept
    : onEnd_(std::exchange(other.onEnd_, nullptr))
    , ticket_(other.ticket_)
{ }

auto Booking::operator=(Booking &&other) noexcept -> Booking &
{
    if (this == &other)
        return *this;
    end();
    onEnd_ = std::exchange(other.onEnd_, nullptr);
    ticket_ = other.ticket_;
    return *this;
}

auto Booking::end(Duration start, proto::PickOutcome outcome, bool mayHaveRun) -> void
{
    if (const auto onEnd = std::exchange(onEnd_, nullptr))
        onEnd({ ticket_, wholeMillis(start), outcome, mayHaveRun });
}

auto pickTerms(const ServiceId &service, const CallerRequest &request, Duration left) -> PickTerms
{
    auto terms = PickTerms {};
    terms.left = left;
    terms.outputTokens = request.outputTokens;
    const auto hash = std::hash<std::string> {};
    if (!request.model.empty())
        terms.model = mixHash(hash(service.value()), hash(request.model.value()));
    auto key = hash(request.model.value() + "/" + request.adapter);
    auto shared = std::uint64_t { 0 };
    for (std::size_t i = 0; i + 1 < request.prompt.size(); ++i) {
        const auto &part = request.prompt[i];
        key = mixHash(key, part.id);
        terms.shared.push_back({ key, part.tokens });
        shared += part.tokens;
    }
    terms.ownTokens = request.promptTokens - std::min(request.promptTokens, shared);
    return terms;
}

Picker::Picker(PickerOptions options, BalancerLink link, Metrics &metrics, Random &random,
               const Clock &clock)
    : options_(options)
    , link_(std::make_shared<const BalancerLink>(std::move(link)))
    , metrics_(metrics)
    , random_(random)
    , clock_(clock)
    , loneRates_(clock, random)
    , lone_(std::make_shared<LoneAdmission>(options.lone, clock, random))
{ }

auto Picker::requestOf(const PickTerms &terms) -> proto::PickRequest
{
    auto request = proto::PickRequest {};
    request.model = terms.model;
    request.shared = terms.shared;
    request.ownTokens = terms.ownTokens;
    request.outputTokens = terms.outputTokens;
    request.fetchTokensPerMs = static_cast<std::uint64_t>(terms.fetchTokensPerMs);
    request.limitMs = wholeMillis(terms.left);
    request.places = terms.places;
    request.rank = terms.rank;
    request.hasBegun = terms.hasBegun;
    request.startTargetMs = wholeMillis(terms.startTarget);
    request.gapTargetMs = wholeMillis(terms.gapTarget);
    request.works = terms.works;
    request.charge = terms.charge;
    return request;
}

auto Picker::ratesOf(const std::vector<EndpointEntry *> &able,
                     const std::vector<EndpointId> &candidates) const
        -> std::vector<proto::CandidateRate>
{
    const auto isCandidate = [&](const EndpointId &id) {
        return std::find(candidates.begin(), candidates.end(), id) != candidates.end();
    };
    auto result = std::vector<proto::CandidateRate> {};
    for (const auto *entry : able) {
        if (!entry->rate || !isCandidate(entry->row.id))
            continue;
        const auto age = wholeMillis(clock_.now() - entry->rate->heardAt);
        result.push_back({ entry->row.id, entry->rate->perSecond,
                           static_cast<std::uint64_t>(std::max<std::int64_t>(age, 0)) });
    }
    return result;
}

auto Picker::chooseAlone(const std::vector<EndpointEntry *> &able, const Wish &wish) -> OwnChoice
{
    auto unlimited = std::vector<EndpointEntry *> {};
    std::copy_if(able.begin(), able.end(), std::back_inserter(unlimited),
                 [](const auto *entry) { return !entry->isRateLimited(); });
    const auto *entry = chooseAmong(unlimited.empty() ? able : unlimited, wish, random_);
    return { entry->row.id, entry->rate ? entry->rate->perSecond : std::nullopt };
}

auto Picker::followOwn(const OwnChoice &own, Picked &picked) -> void
{
    picked.endpoint = own.endpoint;
    if (!own.ratePerSecond)
        return;
    picked.comeBack = loneRates_.take(own.endpoint, *own.ratePerSecond);
    if (!picked.comeBack)
        return;
    picked.endpoint = {};
    picked.booking = {};
    picked.lack = Lack::Rate;
}

auto Picker::pick(const std::vector<EndpointEntry *> &able, const Wish &wish,
                  const PickTerms &terms) -> asio::awaitable<Picked>
{
    auto picked = Picked {};
    const auto own = chooseAlone(able, wish);
    if (!link_->ask) {
        followOwn(own, picked);
        co_return picked;
    }
    auto request = requestOf(terms);
    const auto candidates = candidatesOf(able, own.endpoint);
    request.candidates = candidates;
    request.rates = ratesOf(able, candidates);
    const auto mustBeCounted = terms.charge || own.ratePerSecond;
    // With one candidate nothing is to be chosen, but when to send a prompt there.
    if (candidates.size() == 1 && request.model == 0 && !mustBeCounted) {
        picked.endpoint = own.endpoint;
        const auto ticket = request.ticket = ++lastTicket_;
        if (const auto balancer = link_->tell(std::move(request)))
            picked.booking = bookingAt(*balancer, ticket);
        co_return picked;
    }
    const auto answer = co_await askOneOrTwo(std::move(request), mustBeCounted);
    const auto &advice = answer.advice;
    if (terms.charge && !advice) {
        if (admitAlone(*terms.charge, picked))
            followOwn(own, picked);
        co_return picked;
    }
    if (terms.charge)
        noteCounted(*terms.charge, *advice);
    if (advice && advice->endpoint.empty() && advice->comeBackMs > 0) {
        picked.by = PickedBy::Balancer;
        picked.comeBack = std::chrono::milliseconds { advice->comeBackMs };
        picked.lack = lackOf(advice->refusal);
        co_return picked;
    }
    const auto isUsable = advice.has_value()
            && std::find(candidates.begin(), candidates.end(), advice->endpoint)
                    != candidates.end();
    picked.by = isUsable ? PickedBy::Balancer : PickedBy::Gateway;
    metrics_.onPick(pickedByName(picked.by));
    if (answer.balancer)
        picked.booking = bookingAt(*answer.balancer, answer.ticket);
    if (isUsable)
        follow(*advice, picked);
    else
        followOwn(own, picked);
    co_return picked;
}

/// @param mustBeCounted over all gateways: a second balancer is asked before none is
auto Picker::askOneOrTwo(proto::PickRequest request, bool mustBeCounted) -> asio::awaitable<Answer>
{
    const auto tries = mustBeCounted ? 2 : 1;
    auto untold = std::uint64_t { 0 };
    if (request.charge)
        untold = request.charge->admittedAlone = lone_->takeUntold(request.charge->account);
    auto answer = Answer {};
    for (auto i = 0; i < tries && !answer.advice; ++i) {
        answer.ticket = request.ticket = ++lastTicket_;
        answer.advice = co_await ask(request, answer.balancer);
    }
    if (answer.advice)
        loneRates_.onCounted();
    if (!answer.advice && untold > 0)
        lone_->putBackUntold(request.charge->account, untold);
    co_return answer;
}

auto Picker::bookingAt(const Address &balancer, std::uint64_t ticket) const -> Booking
{
    return { [link = link_, balancer](const proto::PickEnd &end) { link->end(balancer, end); },
             ticket };
}

/// No balancer counts the charge. @return true when the request may go on
auto Picker::admitAlone(const catalogue::AccountCharge &charge, Picked &picked) -> bool
{
    picked.by = PickedBy::Gateway;
    metrics_.onPick(pickedByName(picked.by));
    if (const auto comeBack = lone_->admit(charge)) {
        picked.comeBack = comeBack;
        picked.lack = Lack::Counter;
        return false;
    }
    auto giveBack = [lone = lone_, charge](const proto::PickEnd &end) {
        if (!end.mayHaveRun)
            lone->giveBack(charge.account, charge.cost);
    };
    picked.booking = Booking { std::move(giveBack), ++lastTicket_ };
    return true;
}

auto Picker::noteCounted(const catalogue::AccountCharge &charge, const proto::PickReply &advice)
        -> void
{
    const auto isOver = advice.refusal == proto::PickRefusal::OverLimit;
    lone_->onCounted(charge.account, advice.endpoint.empty() ? 0 : charge.cost,
                     isOver || advice.isNearLimit);
}

auto Picker::roomIn(catalogue::AccountCharge charge, const catalogue::WorkIds &works)
        -> asio::awaitable<std::optional<Duration>>
{
    if (!link_->ask)
        co_return std::nullopt;
    auto request = proto::PickRequest {};
    request.charge = std::move(charge);
    request.works = works;
    const auto answer = co_await askOneOrTwo(std::move(request), true);
    const auto &advice = answer.advice;
    if (!advice || advice->refusal != proto::PickRefusal::OverLimit)
        co_return std::nullopt;
    co_return std::chrono::milliseconds { advice->comeBackMs };
}

auto Picker::follow(const proto::PickReply &advice, Picked &picked) const -> void
{
    picked.endpoint = advice.endpoint;
    picked.startMs = advice.startMs;
    picked.running = advice.running;
    picked.fetchFrom = advice.fetchFrom;
    picked.hold
            = std::min<Duration>(std::chrono::milliseconds { advice.holdMs }, options_.longestHold);
}

auto Picker::candidatesOf(const std::vector<EndpointEntry *> &able, const EndpointId &local)
        -> std::vector<EndpointId>
{
    auto result = std::vector<EndpointId> { local };
    for (const auto *entry : able) {
        if (entry->row.id != local)
            result.push_back(entry->row.id);
    }
    if (result.size() <= options_.maxCandidates)
        return result;
    // The local choice stays; of the others each is as likely as the next.
    for (std::size_t i = 1; i < options_.maxCandidates; ++i)
        std::swap(result[i], result[i + random_.below(result.size() - i)]);
    result.resize(options_.maxCandidates);
    return result;
}

auto Picker::ask(proto::PickRequest request, std::optional<Address> &balancer)
        -> asio::awaitable<std::optional<proto::PickReply>>
{
    using Advice = std::optional<proto::PickReply>;
    auto initiate = [this, &request, &balancer](auto handler) {
        const auto executor = asio::get_associated_executor(handler);
        auto shared = std::make_shared<decltype(handler)>(std::move(handler));
        auto done = [shared, executor](Advice advice) {
            asio::post(executor, [shared, advice = std::move(advice)]() mutable {
                (*shared)(std::move(advice));
            });
        };
        balancer = link_->ask(std::move(request), options_.askTimeout, done);
        if (!balancer)
            done(std::nullopt);
    };
    co_return co_await asio::async_initiate<const asio::use_awaitable_t<>, void(Advice)>(
            initiate, asio::use_awaitable);
}

} // namespace figrack::gateway
