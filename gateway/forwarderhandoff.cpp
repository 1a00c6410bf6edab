// Hands a request to another gateway, because this one has no path to the endpoints that could take
// it. The other gateway treats the request as one of its own callers: it admits, queues, books,
// charges and dispatches it. Here it counts as one dispatch, whose answer is relayed like that of
// an endpoint. A gateway that could not take it, since it is stopping or has no path either, says
// so in its answer, and the next one is tried.

#include <algorithm>
#include <array>
#include <exception>
#include <utility>

#include <absl/cleanup/cleanup.h>

#include "core/duration.h"
#include "core/log.h"
#include "gateway/answers.h"
#include "gateway/forwarderrun.h"

namespace figrack::gateway {

namespace asio = boost::asio;

namespace {

/// Maximum number of gateways that a request is offered to. Those that cannot take it say so within
/// a round trip.
constexpr auto maxOffers = std::size_t { 3 };

/// What another gateway says of a request that it did not have answered by an endpoint.
struct HandoffOutcome
{
    std::string_view outcome; ///< handoffDeclined, or see requestOutcomeName().
    std::string_view lack;    ///< See blockedByName().
};

/// @return nullopt if the answer is an endpoint's
auto readOutcome(const http::Headers &headers) -> std::optional<HandoffOutcome>
{
    const auto text = http::findHeader(headers, handoffOutcomeHeader);
    if (text.empty())
        return std::nullopt;
    const auto space = text.find(' ');
    if (space == std::string_view::npos)
        return HandoffOutcome { text, {} };
    return HandoffOutcome { text.substr(0, space), text.substr(space + 1) };
}

auto outcomeNamed(std::string_view name) -> RequestOutcome
{
    for (const auto outcome : { RequestOutcome::NoRoute, RequestOutcome::Refused,
                                RequestOutcome::Denied, RequestOutcome::OverLimit }) {
        if (requestOutcomeName(outcome) == name)
            return outcome;
    }
    return RequestOutcome::Failed;
}

} // namespace

auto Forwarder::Run::handOver() -> asio::awaitable<Step>
{
    auto tried = std::set<NodeId> {};
    while (parts_.handoffs != nullptr && handoffTerms_ == nullptr && tried.size() < maxOffers) {
        auto groups = groupsOfCandidates();
        const auto target = co_await parts_.handoffs->choose(std::move(groups), tried, homes_);
        if (callerGone_) {
            outcome_ = RequestOutcome::CallerGone;
            co_return Step::Settled;
        }
        if (!target || parts_.clock.now() >= deadline_)
            break;
        tried.insert(target->node);
        const auto step = co_await handTo(*target);
        if (step != Step::NotRun)
            co_return step;
    }
    if (callerGone_) {
        outcome_ = RequestOutcome::CallerGone;
        co_return Step::Settled;
    }
    // Where other endpoints are reached, those that nobody reaches count as gone.
    if (handoffTerms_ == nullptr && !std::exchange(isPathGivenUp_, true)
        && reachesOneOf(candidates()))
        co_return Step::NotRun;
    retryAfter_ = owner_.options_.defaultRetryAfter;
    auto error = blockedError(BlockedBy::Path);
    co_await giveUp(std::move(error));
    co_return Step::Settled;
}

auto Forwarder::Run::reachesOneOf(const std::vector<EndpointEntry *> &entries) const -> bool
{
    return std::any_of(entries.begin(), entries.end(),
                       [this](const auto *entry) { return isReached(*entry); });
}

auto Forwarder::Run::handTo(const proto::HandoffTarget &target) -> asio::awaitable<Step>
{
    auto &handoffs = *parts_.handoffs;
    if (hasArrived() && !co_await takeRetry()) {
        co_await giveUp(lastError_);
        co_return Step::Settled;
    }
    auto retry = std::move(retry_);
    auto request = handedRequest();
    if (hasArrived())
        request.terms.retryMs = static_cast<std::uint64_t>(wholeMillis(retry.passOn()));
    canceller_ = std::make_shared<http::Canceller>();
    auto out = handoffs.requestTo(target, request);
    const auto copies
            = PeerBudget::Holding { parts_.budget, request.body.size() + out.body.size() };
    out.canceller = canceller_;
    out.maxIdleAge = maxIdleAge();
    handedTo_ = target.node;
    isToGateway_ = true;
    sentAt_ = parts_.clock.now();
    handoffs.targets().onBegin(target.node);
    auto end = absl::MakeCleanup(
            [this, &handoffs, node = target.node, ownerAlive = std::weak_ptr { owner_.alive_ }] {
                isToGateway_ = false;
                if (!ownerAlive.expired())
                    handoffs.targets().onEnd(node);
            });
    const auto sentBefore = sent_;
    const auto ranBefore = ran_;
    auto step = Step::Broken;
    try {
        step = co_await exchangeWith(target, std::move(out));
    } catch (const std::exception &error) {
        noteInternalError(error);
        // The other gateway may have received the request and run it.
        sent_ = std::max(sent_, sentBefore + 1);
        ran_ = std::max(ran_, ranBefore + 1);
        endDispatch(DispatchEnd::Interrupted);
    }
    reportDispatchEnd(step);
    std::move(end).Invoke();
    if (step == Step::NotRun) {
        retry.revoke();
        retry_ = std::move(retry);
    }
    parts_.metrics.onHandedOver(step == Step::Settled          ? "settled"
                                        : step == Step::NotRun ? "declined"
                                                               : "broken");
    co_return step;
}

auto Forwarder::Run::exchangeWith(const proto::HandoffTarget &target, http::ClientRequest out)
        -> asio::awaitable<Step>
{
    auto &handoffs = *parts_.handoffs;
    const auto left = timeLeft();
    auto opened = co_await handoffs.client().open(std::move(out), left);
    if (const auto *error = std::get_if<http::ClientError>(&opened)) {
        lastError_ = error->status;
        const auto isTimeout = errorKind(error->status) == ErrorKind::Timeout;
        if (!callerGone_ && !(isTimeout && error->sent != http::Sent::Nothing))
            handoffs.targets().onFailed(target.node);
        if (error->sent == http::Sent::Nothing)
            co_return endDispatch(DispatchEnd::NotSent);
        ++sent_;
        ++ran_;
        co_return endDispatch(DispatchEnd::Unanswered);
    }
    auto stream = std::move(std::get<std::unique_ptr<http::ClientStream>>(opened));
    co_return co_await relayHandedAnswer(target, std::move(stream));
}

auto Forwarder::Run::relayHandedAnswer(const proto::HandoffTarget &target,
                                       std::unique_ptr<http::ClientStream> stream)
        -> asio::awaitable<Step>
{
    status_ = stream->status();
    isReused_ = stream->isReused();
    isDelimited_ = stream->isDelimited();
    softwareVersion_ = http::findHeader(stream->headers(), handoffVersionHeader);
    const auto outcome = readOutcome(stream->headers());
    if (outcome && outcome->outcome == handoffDeclined) {
        lastError_ = blockedError(BlockedBy::Path);
        parts_.handoffs->targets().onFailed(target.node);
        discard(std::move(stream));
        co_return endDispatch(DispatchEnd::Declined);
    }
    if (outcome && responder_.started()) {
        // The stream that the caller has begun to receive cannot go on.
        auto error = makeError(ErrorKind::EndpointFailed, "gateway=" + target.node.value());
        co_await giveUp(std::move(error));
        co_return Step::Settled;
    }
    ++sent_;
    ++ran_;
    const auto isStream = isSuccess(status_) && isEventStream(stream->headers());
    auto step = Step::Settled;
    if (isStream)
        step = co_await relayStream(*stream);
    else
        step = co_await relayWhole(*stream);
    if (step == Step::Broken)
        endDispatch(DispatchEnd::BrokenOff);
    if (step == Step::Settled && outcome && outcome_ == RequestOutcome::Answered) {
        outcome_ = outcomeNamed(outcome->outcome);
        lastError_ = makeError(ErrorKind::NoCapacity,
                               "gateway=" + target.node.value()
                                       + " lack=" + std::string { outcome->lack });
    }
    co_return step;
}

auto Forwarder::Run::handedRequest() const -> proto::HandedRequest
{
    auto result = proto::HandedRequest {};
    result.terms.from = owner_.options_.self;
    result.terms.waitedMs = static_cast<std::uint64_t>(wholeMillis(parts_.clock.now() - arrived_));
    result.terms.ran = ran_;
    result.terms.mayHaveRun = mayHaveRun_;
    result.terms.isCountedAsWork = isCountedAsWork_;
    result.terms.isCountedAsDemand = isDemand_;
    result.terms.isCharged = isCounted_;
    result.terms.hasArrived = hasArrived();
    result.terms.resumeAfter = position_.lastId();
    result.terms.isVersionBound = streamVersion_.has_value();
    result.terms.softwareVersion = streamVersion_.value_or(std::string {});
    result.terms.areEventIdsConsecutive = position_.isConsecutive();
    result.terms.service = service_;
    result.method = request_.method;
    result.target = request_.target;
    result.path = request_.path;
    result.query = request_.query;
    result.remoteIp = request_.remoteIp;
    for (const auto &header : request_.headers)
        result.headers.push_back({ header.name, header.value });
    result.body = request_.body;
    return result;
}

auto Forwarder::Run::groupsOfCandidates() const -> std::set<EndpointGroup>
{
    auto result = std::set<EndpointGroup> {};
    for (const auto *entry : candidates()) {
        if (!isReached(*entry))
            result.insert(entry->row.group());
    }
    return result;
}

auto Forwarder::Run::handoffOutcome() const -> http::Header
{
    const auto kind = errorKind(lastError_);
    const auto isUnable = blockedBy_ == BlockedBy::Path || kind == ErrorKind::Draining
            || kind == ErrorKind::NotCurrent;
    // What has arrived at an endpoint counts in the retry budget of this gateway.
    const auto isDeclined = isUnable && ran_ == handoffTerms_->ran && sent_ == 0;
    const auto outcome = isDeclined ? handoffDeclined : requestOutcomeName(outcome_);
    return { std::string { handoffOutcomeHeader },
             std::string { outcome } + " " + std::string { blockedByName(blockedBy_) } };
}

} // namespace figrack::gateway
