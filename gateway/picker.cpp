#include "gateway/picker.h"

#include <algorithm>
#include <array>
#include <utility>

#include <boost/asio/async_result.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "core/hash.h"

namespace figrack::gateway {

namespace asio = boost::asio;

namespace {

auto millis(Duration duration) -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace

auto pickedByName(PickedBy by) -> std::string_view
{
    constexpr auto names = std::array<std::string_view, 3> { "nobody", "balancer", "gateway" };
    return names[static_cast<std::size_t>(by) % names.size()];
}

Booking::Booking(std::shared_ptr<const BalancerLink> link, Address balancer, std::uint64_t ticket)
    : link_(std::move(link))
    , balancer_(std::move(balancer))
    , ticket_(ticket)
{ }

Booking::~Booking()
{
    end();
}

Booking::Booking(Booking &&other) noexcept
    : link_(std::exchange(other.link_, nullptr))
    , balancer_(std::move(other.balancer_))
    , ticket_(other.ticket_)
{ }

auto Booking::operator=(Booking &&other) noexcept -> Booking &
{
    if (this == &other)
        return *this;
    end();
    link_ = std::exchange(other.link_, nullptr);
    balancer_ = std::move(other.balancer_);
    ticket_ = other.ticket_;
    return *this;
}

auto Booking::end(Duration start, proto::PickOutcome outcome) -> void
{
    const auto startMs = std::chrono::duration_cast<std::chrono::milliseconds>(start).count();
    if (const auto link = std::exchange(link_, nullptr))
        link->end(balancer_, { ticket_, startMs, outcome });
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

Picker::Picker(PickerOptions options, BalancerLink link, Metrics &metrics, Random &random)
    : options_(options)
    , link_(std::make_shared<const BalancerLink>(std::move(link)))
    , metrics_(metrics)
    , random_(random)
{ }

auto Picker::pick(const std::vector<EndpointEntry *> &able, const Wish &wish,
                  const PickTerms &terms) -> asio::awaitable<Picked>
{
    auto picked = Picked {};
    picked.endpoint = chooseAmong(able, wish, random_)->row.id;
    if (!link_->ask)
        co_return picked;
    auto request = proto::PickRequest {};
    request.ticket = ++lastTicket_;
    const auto candidates = candidatesOf(able, picked.endpoint);
    request.candidates = candidates;
    request.model = terms.model;
    request.shared = terms.shared;
    request.ownTokens = terms.ownTokens;
    request.outputTokens = terms.outputTokens;
    request.fetchTokensPerMs = static_cast<std::uint64_t>(terms.fetchTokensPerMs);
    request.limitMs = millis(terms.left);
    request.places = terms.places;
    request.rank = terms.rank;
    request.hasBegun = terms.hasBegun;
    request.startTargetMs = millis(terms.startTarget);
    request.gapTargetMs = millis(terms.gapTarget);
    request.works = terms.works;
    const auto ticket = request.ticket;
    auto balancer = std::optional<Address> {};
    // With one candidate nothing is to be chosen, but when to send a prompt there.
    if (candidates.size() == 1 && request.model == 0) {
        balancer = link_->tell(std::move(request));
    } else {
        const auto advice = co_await ask(std::move(request), balancer);
        const auto isUsable = advice.has_value()
                && std::find(candidates.begin(), candidates.end(), advice->endpoint)
                        != candidates.end();
        if (advice.has_value() && advice->endpoint.empty() && advice->comeBackMs > 0) {
            picked.endpoint = {};
            picked.by = PickedBy::Balancer;
            picked.comeBack = std::chrono::milliseconds { advice->comeBackMs };
            picked.isSuspect = advice->isSuspect;
            co_return picked;
        }
        if (isUsable)
            follow(*advice, picked);
        picked.by = isUsable ? PickedBy::Balancer : PickedBy::Gateway;
    }
    if (picked.by != PickedBy::Nobody)
        metrics_.onPick(pickedByName(picked.by));
    if (balancer)
        picked.booking = Booking { link_, *std::move(balancer), ticket };
    co_return picked;
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
