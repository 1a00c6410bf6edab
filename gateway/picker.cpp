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

/// Longer prompts are cut here for the choice of an endpoint: what they share is at their
/// beginning.
constexpr auto maxSharedSpans = std::size_t { 63 };

auto blockedByRefusal(proto::PickRefusal refusal) -> BlockedBy
{
    switch (refusal) {
    case proto::PickRefusal::Suspect:
        return BlockedBy::Trial;
    case proto::PickRefusal::OverLimit:
        return BlockedBy::Limit;
    case proto::PickRefusal::CannotCount:
        return BlockedBy::Counter;
    case proto::PickRefusal::RateUsed:
        return BlockedBy::Rate;
    default:
        return BlockedBy::Places;
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
    const auto parts = std::min(request.prompt.size(), maxSharedSpans + 1);
    for (std::size_t i = 0; i + 1 < parts; ++i) {
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
    , localRates_(clock, random)
    , localAdmission_(std::make_shared<LocalAdmission>(options.localAdmission, clock, random))
    , waits_(link_->end, clock)
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
    request.parts = terms.suspectedParts;
    request.charge = terms.charge;
    if (const auto &ordered = terms.ordered) {
        request.isOrdered = true;
        request.startWithinMs = wholeMillis(ordered->startWithin);
        request.waitedMs = wholeMillis(ordered->waited);
        request.account = ordered->account;
        request.cost = ordered->cost;
        request.accountPerSecond = ordered->accountPerSecond;
    }
    return request;
}

auto Picker::ratesOf(const std::vector<EndpointEntry *> &able,
                     const std::vector<EndpointId> &candidates, double coldPerSecond) const
        -> std::vector<proto::CandidateRate>
{
    const auto isCandidate = [&](const EndpointId &id) {
        return std::find(candidates.begin(), candidates.end(), id) != candidates.end();
    };
    auto result = std::vector<proto::CandidateRate> {};
    for (const auto *entry : able) {
        const auto rate = entry->rateAt(clock_.now(), coldPerSecond);
        if (!rate || !isCandidate(entry->row.id))
            continue;
        const auto age = wholeMillis(clock_.now() - rate->heardAt);
        result.push_back({ entry->row.id, rate->perSecond,
                           static_cast<std::uint64_t>(std::max<std::int64_t>(age, 0)) });
    }
    return result;
}

auto Picker::chooseLocally(const std::vector<EndpointEntry *> &able, const Criteria &criteria,
                           double coldPerSecond) -> LocalChoice
{
    const auto limitOf = [&](const EndpointEntry &entry) {
        const auto rate = entry.rateAt(clock_.now(), coldPerSecond);
        return rate ? rate->perSecond : std::nullopt;
    };
    auto unlimited = std::vector<EndpointEntry *> {};
    std::copy_if(able.begin(), able.end(), std::back_inserter(unlimited),
                 [&](const auto *entry) { return !limitOf(*entry); });
    const auto *entry = chooseAmong(unlimited.empty() ? able : unlimited, criteria, random_);
    return { entry->row.id, limitOf(*entry) };
}

auto Picker::applyLocalChoice(const LocalChoice &localChoice, Picked &picked) -> void
{
    picked.endpoint = localChoice.endpoint;
    if (!localChoice.ratePerSecond)
        return;
    picked.retryAfter = localRates_.take(localChoice.endpoint, *localChoice.ratePerSecond);
    if (!picked.retryAfter)
        return;
    picked.endpoint = {};
    picked.booking = {};
    picked.blockedBy = BlockedBy::Rate;
}

auto Picker::pick(const std::vector<EndpointEntry *> &able, const Criteria &criteria,
                  const PickTerms &terms) -> asio::awaitable<Picked>
{
    auto picked = Picked {};
    const auto localChoice = chooseLocally(able, criteria, terms.coldPerSecond);
    if (!link_->ask) {
        applyLocalChoice(localChoice, picked);
        co_return picked;
    }
    auto request = requestOf(terms);
    const auto candidates = candidatesOf(able, localChoice.endpoint);
    request.candidates = candidates;
    request.rates = ratesOf(able, candidates, terms.coldPerSecond);
    const auto mustBeCounted = terms.charge || localChoice.ratePerSecond;
    // With a single candidate there is no choice of endpoint. A balancer is still asked if the
    // request has a model, since it also decides when to send the prompt, and if the request is
    // ordered, since the endpoint may have no room for it yet.
    if (candidates.size() == 1 && request.model == 0 && !mustBeCounted && !request.isOrdered) {
        picked.endpoint = localChoice.endpoint;
        const auto ticket = request.ticket = ++lastTicket_;
        if (const auto balancer = link_->tell(std::move(request)))
            picked.booking = bookingAt(*balancer, ticket);
        co_return picked;
    }
    auto answer = co_await askWithRetry(std::move(request), mustBeCounted);
    const auto &advice = answer.advice;
    if (advice && advice->isQueued && answer.wait) {
        picked.by = PickedBy::Balancer;
        picked.wait = std::move(answer.wait);
        picked.wait->queue(std::chrono::milliseconds { advice->startMs });
        picked.candidates = candidates;
        picked.hasAllCandidates = candidates.size() == able.size();
        picked.queuedCharge = terms.charge;
        picked.isNearLimit = advice->isNearLimit;
        co_return picked;
    }
    if (terms.charge && !advice) {
        if (admitLocally(*terms.charge, picked))
            applyLocalChoice(localChoice, picked);
        co_return picked;
    }
    if (terms.charge)
        noteCounted(*terms.charge, *advice);
    if (advice && advice->endpoint.empty() && advice->comeBackMs > 0) {
        picked.by = PickedBy::Balancer;
        picked.retryAfter = std::chrono::milliseconds { advice->comeBackMs };
        picked.blockedBy = blockedByRefusal(advice->refusal);
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
        applyAdvice(*advice, picked);
    else
        applyLocalChoice(localChoice, picked);
    co_return picked;
}

auto Picker::settle(Picked &picked, Duration defaultRetryAfter) -> void
{
    auto wait = std::move(*picked.wait);
    picked.wait.reset();
    auto reply = wait.reply();
    // Charges count as admitted only now, since a queued request may still be refused.
    reply.isNearLimit = reply.isNearLimit || picked.isNearLimit;
    if (picked.queuedCharge)
        noteCounted(*picked.queuedCharge, reply);
    if (reply.endpoint.empty()) {
        picked.retryAfter = reply.comeBackMs > 0
                ? Duration { std::chrono::milliseconds { reply.comeBackMs } }
                : defaultRetryAfter;
        picked.blockedBy = blockedByRefusal(reply.refusal);
        return;
    }
    metrics_.onPick(pickedByName(picked.by));
    picked.booking = bookingAt(*wait.balancer(), wait.ticket());
    wait.takeOver();
    applyAdvice(reply, picked);
}

/// Asks a balancer.
/// @param mustBeCounted whether the request must be counted across all gateways; then a second
/// balancer is asked if the first does not answer
auto Picker::askWithRetry(proto::PickRequest request, bool mustBeCounted) -> asio::awaitable<Answer>
{
    const auto tries = mustBeCounted ? 2 : 1;
    auto unreported = std::uint64_t { 0 };
    if (request.charge)
        unreported = request.charge->admittedAlone
                = localAdmission_->takeUnreported(request.charge->account);
    auto answer = Answer {};
    for (auto i = 0; i < tries && !answer.advice; ++i) {
        answer.ticket = request.ticket = ++lastTicket_;
        if (request.isOrdered)
            answer.wait = waits_.begin(answer.ticket);
        answer.advice = co_await ask(request, answer);
    }
    if (answer.advice)
        localRates_.onCounted();
    if (!answer.advice && unreported > 0)
        localAdmission_->restoreUnreported(request.charge->account, unreported);
    co_return answer;
}

auto Picker::bookingAt(const Address &balancer, std::uint64_t ticket) const -> Booking
{
    return { [link = link_, balancer](const proto::PickEnd &end) { link->end(balancer, end); },
             ticket };
}

/// Admits a charge locally, because no balancer can count it.
/// @return true if the request may proceed
auto Picker::admitLocally(const catalogue::AccountCharge &charge, Picked &picked) -> bool
{
    picked.by = PickedBy::Gateway;
    metrics_.onPick(pickedByName(picked.by));
    if (const auto retryAfter = localAdmission_->admit(charge)) {
        picked.retryAfter = retryAfter;
        picked.blockedBy = BlockedBy::Counter;
        return false;
    }
    auto giveBack = [localAdmission = localAdmission_, charge](const proto::PickEnd &end) {
        if (!end.mayHaveRun)
            localAdmission->giveBack(charge.account, charge.cost);
    };
    picked.booking = Booking { std::move(giveBack), ++lastTicket_ };
    return true;
}

auto Picker::noteCounted(const catalogue::AccountCharge &charge, const proto::PickReply &advice)
        -> void
{
    const auto isOverLimit = advice.refusal == proto::PickRefusal::OverLimit;
    localAdmission_->onCounted(charge.account, advice.endpoint.empty() ? 0 : charge.cost,
                               isOverLimit || advice.isNearLimit);
}

auto Picker::roomIn(catalogue::AccountCharge charge, const catalogue::WorkIds &works)
        -> asio::awaitable<std::optional<Duration>>
{
    if (!link_->ask)
        co_return std::nullopt;
    auto request = proto::PickRequest {};
    request.charge = std::move(charge);
    request.works = works;
    const auto answer = co_await askWithRetry(std::move(request), true);
    const auto &advice = answer.advice;
    if (!advice || advice->refusal != proto::PickRefusal::OverLimit)
        co_return std::nullopt;
    co_return std::chrono::milliseconds { advice->comeBackMs };
}

auto Picker::applyAdvice(const proto::PickReply &advice, Picked &picked) const -> void
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
    // Keep the local choice, and choose uniformly among the others.
    for (std::size_t i = 1; i < options_.maxCandidates; ++i)
        std::swap(result[i], result[i + random_.below(result.size() - i)]);
    result.resize(options_.maxCandidates);
    return result;
}

auto Picker::ask(proto::PickRequest request, Answer &answer)
        -> asio::awaitable<std::optional<proto::PickReply>>
{
    using Advice = std::optional<proto::PickReply>;
    auto initiate = [this, &request, &answer](auto handler) {
        const auto executor = asio::get_associated_executor(handler);
        auto shared = std::make_shared<decltype(handler)>(std::move(handler));
        auto done = [shared, executor](Advice advice) {
            asio::post(executor, [shared, advice = std::move(advice)]() mutable {
                (*shared)(std::move(advice));
            });
        };
        answer.balancer = link_->ask(std::move(request), options_.askTimeout, done);
        if (!answer.balancer)
            done(std::nullopt);
        else if (answer.wait)
            answer.wait->setBalancer(*answer.balancer);
    };
    co_return co_await asio::async_initiate<const asio::use_awaitable_t<>, void(Advice)>(
            initiate, asio::use_awaitable);
}

} // namespace figrack::gateway
