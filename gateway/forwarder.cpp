// One Run a request, alive in the server's coroutine for as long as the request.
// It goes round place, dispatch, relay until one of them settles the request.
//
// A stream's head goes out with its first whole event and not before: until then
// nothing has been given to the caller, and a dispatch that breaks can still be
// followed by another where the route allows it.

#include "gateway/forwarder.h"

#include <algorithm>
#include <optional>
#include <utility>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "core/boottimer.h"
#include "core/error.h"
#include "core/hash.h"
#include "core/log.h"
#include "endpoint/ssestream.h"
#include "gateway/answers.h"
#include "gateway/chooser.h"

namespace figrack::gateway {

namespace asio = boost::asio;

namespace {

/// Dispatches of one request whose connection could not be made; each costs a round trip or the
/// connect timeout, and after so many the fault is rarely the endpoints'.
constexpr auto maxUnsent = 4;
/// What a load takes beyond its own time: demand to the leader, the order, the news of its end,
/// and the unload before it.
constexpr auto swapOverhead = std::chrono::milliseconds { 700 };
/// As above when the weights come from the store, whose loads may queue.
constexpr auto storeOverhead = std::chrono::milliseconds { 1500 };
/// An adapter takes some milliseconds and an order.
constexpr auto adapterLoad = std::chrono::milliseconds { 150 };
/// A waiting request looks again after so long, also when nobody woke it.
constexpr auto lookAgain = std::chrono::milliseconds { 250 };
/// A request that found no place asks again after so long. By reckoning, not measured: of 48 places
/// that are taken for 1.6 s each one is given up every 33 ms.
constexpr auto lookForPlace = std::chrono::milliseconds { 50 };
/// Part of a route's start target that a request waits for a place; the rest is for its prompt.
constexpr auto placeShare = 0.5;
/// How long endpoints that rejected a request are left out of its next choices; doubles.
constexpr auto firstAvoidPause = std::chrono::milliseconds { 125 };
constexpr auto longestAvoidPause = std::chrono::milliseconds { 2000 };
/// Prompt tokens that weigh like one request in progress: some 50 ms of reading.
constexpr auto tokensPerLoad = std::uint64_t { 2000 };
constexpr auto maxPromptTokens = std::uint64_t { 1'000'000 };
/// Longest wait for the rest of an answer that is thrown away, to keep its connection.
constexpr auto discardTime = std::chrono::milliseconds { 200 };

/// @return what a request counts towards its endpoint's load: a prompt that is read takes the place
/// of tokens of all streams beside it
auto loadWeight(std::uint64_t promptTokens) -> std::uint32_t
{
    return 1 + static_cast<std::uint32_t>(std::min(promptTokens, maxPromptTokens) / tokensPerLoad);
}

auto millis(Duration duration) -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

/// How one dispatch, or the wait for one, came out.
enum class Step : std::uint8_t {
    Settled, ///< The request has its end.
    NotRun,  ///< Certainly not run there.
    Broken,  ///< It may have run there.
};

} // namespace

class Forwarder::Run
{
public:
    Run(Forwarder &owner, const http::Request &request, http::Responder &responder)
        : owner_(owner)
        , parts_(owner.parts_)
        , request_(request)
        , responder_(responder)
        , arrived_(owner.parts_.clock.now())
        , deadline_(arrived_)
        , startBy_(arrived_)
        , holdTimer_(owner.parts_.context)
    { }
    ~Run() { finishWaiting(); }
    Run(const Run &) = delete;
    auto operator=(const Run &) -> Run & = delete;

    auto execute() -> asio::awaitable<void>
    {
        co_await awaitDocument();
        if (auto refusal = prepare()) {
            co_await refuse(std::move(*refusal));
        } else if (auto status = quarantineRefusal()) {
            co_await giveUp(std::move(*status));
        } else {
            responder_.onPeerGone([this] { onCallerGone(); });
            parts_.retries.onRequest(service_);
            if (!target_.model.empty())
                parts_.demand.onArrival(target_);
            co_await carry();
        }
        report();
    }

private:
    // ---- reading the request

    /// Right after the start: waits for the first document.
    auto awaitDocument() -> asio::awaitable<void>
    {
        const auto until = owner_.startedAt_ + owner_.options_.awaitDocument;
        while (!owner_.routes_ && !owner_.refusing_ && parts_.clock.now() < until)
            co_await parts_.waiters.wait(until - parts_.clock.now());
        routes_ = owner_.routes_;
    }

    /// @return the refusal of a request that cannot be carried at all
    auto prepare() -> std::optional<Refusal>
    {
        if (!routes_) {
            return Refusal { makeError(ErrorKind::NotCurrent, "gateway"), true,
                             owner_.options_.comeBackWhenNew };
        }
        if (owner_.refusing_) {
            return Refusal { makeError(ErrorKind::Draining, "gateway"), true,
                             owner_.options_.comeBack };
        }
        auto read = parts_.dialect.readRequest(request_);
        if (!read.ok())
            return Refusal { read.status(), true, std::nullopt };
        caller_ = std::move(*read);
        route_ = routes_->find(caller_.host, caller_.path);
        if (route_ == nullptr) {
            ending_ = Ending::NoRoute;
            return Refusal { makeError(ErrorKind::UnknownService,
                                       "host=" + caller_.host + " path=" + caller_.path),
                             true, std::nullopt };
        }
        service_ = catalogue::pickService(*route_, parts_.random.unit());
        const auto limit
                = std::min(caller_.deadline.value_or(route_->finishLimit), route_->finishLimit);
        deadline_ = arrived_ + limit - owner_.options_.answerMargin;
        startBy_ = deadline_;
        if (route_->leaveAfter > Duration::zero())
            startBy_
                    = std::min(startBy_, arrived_ + route_->leaveAfter - owner_.options_.startTime);
        const auto *service = routes_->catalogue().find(service_);
        engine_ = service != nullptr && service->engine ? &*service->engine : nullptr;
        lastEvent_ = caller_.resumeAfter;
        works_ = catalogue::workIdsOf({ request_.method, caller_.host, caller_.path, request_.query,
                                        caller_.account, request_.body });
        if (engine_ != nullptr && !caller_.model.empty())
            makeWish();
        return std::nullopt;
    }

    auto makeWish() -> void
    {
        target_ = DemandTarget { service_, caller_.model, caller_.adapter };
        wish_.model = caller_.model;
        wish_.adapter = caller_.adapter;
        // The last part is the request's own; the one before it is what others share most of.
        const auto parts = caller_.prompt.size();
        const auto shared = parts >= 2 ? caller_.prompt[parts - 2].id : 0;
        wish_.affinity = mixHash(std::hash<std::string> {}(caller_.model.value()), shared);
        if (!caller_.adapter.empty())
            wish_.affinity = std::hash<std::string> {}(caller_.model.value() + caller_.adapter);
    }

    // ---- work under which endpoints ended

    auto verdict() const -> policy::Verdict
    {
        return parts_.quarantine.verdict(works_, policy::millisOf(parts_.clock.now()));
    }

    /// @return why the request may not run, and sets when to come back; nullopt: it may
    auto quarantineRefusal() -> std::optional<absl::Status>
    {
        const auto now = verdict();
        if (now.standing != policy::Standing::Quarantined)
            return std::nullopt;
        comeBack_ = std::chrono::milliseconds { now.releaseIn };
        parts_.metrics.onQuarantined();
        return quarantinedError(now.ends);
    }

    auto quarantinedError(std::uint32_t ends) const -> absl::Status
    {
        return makeError(ErrorKind::Quarantined,
                         "work=" + works_.ofAnyone.text() + " ends=" + std::to_string(ends));
    }

    /// The dispatch broke off. What an endpoint was doing as it ended is noted: the next gateway
    /// that the request comes to knows nothing of this one's failure.
    auto noteBroken(const EndpointId &id, const absl::Status &status, bool hasBegun) -> void
    {
        if (callerGone_ || errorKind(status) == ErrorKind::Timeout)
            return;
        const auto account = std::hash<std::string> {}(caller_.account);
        parts_.endings.note(id, { works_, account, caller_.id, hasBegun });
    }

    /// After a dispatch that broke off. @return true when the work has cost endpoints enough
    auto endsTooMany() -> asio::awaitable<bool>
    {
        static_cast<void>(co_await parts_.endings.hasEnded(endpoint_));
        co_return verdict().ends >= owner_.options_.endsWithoutRepeat;
    }

    // ---- carrying it

    auto carry() -> asio::awaitable<void>
    {
        while (true) {
            auto *entry = co_await place();
            if (entry == nullptr)
                co_return;
            const auto step = co_await dispatch(*entry);
            if (step == Step::Settled || !co_await mayGoOn(step))
                co_return;
        }
    }

    /// Waits for an endpoint that can take the request.
    /// @return nullptr when the request has been settled instead
    auto place() -> asio::awaitable<EndpointEntry *>
    {
        while (true) {
            if (callerGone_) {
                ending_ = Ending::CallerGone;
                co_return nullptr;
            }
            // Endpoints may have ended under another try of it while this one waited.
            if (auto status = quarantineRefusal()) {
                co_await giveUp(std::move(*status));
                co_return nullptr;
            }
            const auto lack = co_await pick();
            if (lack == Lack::Nothing && callerGone_)
                continue;
            if (lack == Lack::Nothing) {
                finishWaiting();
                co_return parts_.view.find(picked_.endpoint);
            }
            lack_ = lack;
            const auto isTurnedAway = lack == Lack::Places || lack == Lack::Trial;
            const auto patience = isTurnedAway ? patienceForPlace() : patienceFor(lack);
            if (!patience) {
                // Suspected work is no reason to load its model anywhere else.
                if (!target_.model.empty() && lack != Lack::Endpoint && lack != Lack::Trial)
                    parts_.demand.onRefused(target_);
                // Named: g++ 12 destroys a conditional value within a co_await expression twice.
                auto error
                        = lack == Lack::Trial ? quarantinedError(verdict().ends) : lackError(lack);
                co_await giveUp(std::move(error));
                co_return nullptr;
            }
            if (!isTurnedAway)
                beginWaiting();
            co_await parts_.waiters.wait(*patience);
            forgiveRejections();
        }
    }

    static auto lackError(Lack lack) -> absl::Status
    {
        return makeError(ErrorKind::NoCapacity, "lack=" + std::string { lackName(lack) });
    }

    /// Looks for an endpoint; it is in picked_ then, and known. @return what lacks
    auto pick() -> asio::awaitable<Lack>
    {
        const auto isHealthy
                = [&](const EndpointEntry &entry) { return parts_.view.isHealthy(entry); };
        while (true) {
            wish_.now = parts_.clock.now();
            const auto able = ableEndpoints(parts_.view.of(service_), wish_, isHealthy);
            if (able.entries.empty())
                co_return able.lack;
            auto terms = pickTerms(service_, caller_, timeLeft());
            if (engine_ != nullptr) {
                terms.fetchTokensPerMs = engine_->fetchTokensPerMs;
                terms.places = engine_->slots;
            }
            terms.rank = route_->rank;
            terms.hasBegun = sent_ > 0;
            terms.startTarget = route_->startTarget;
            terms.gapTarget = route_->gapTarget;
            terms.works = works_;
            auto picked = co_await parts_.picker.pick(able.entries, wish_, terms);
            picked_ = std::move(picked);
            if (picked_.comeBack)
                co_return picked_.isSuspect ? Lack::Trial : Lack::Places;
            co_await hold();
            // It may have left while the balancer was asked.
            if (callerGone_ || parts_.view.takesWork(picked_.endpoint))
                co_return Lack::Nothing;
        }
    }

    /// Waits as long as the balancer asked for, less when the request has not so much time.
    auto hold() -> asio::awaitable<void>
    {
        const auto left = std::min(startBy_, owner_.placeBy_) - parts_.clock.now();
        const auto duration = std::min(picked_.hold, left);
        if (callerGone_ || duration <= Duration::zero())
            co_return;
        held_ += duration;
        holdTimer_.expires_after(duration);
        auto code = boost::system::error_code {};
        co_await holdTimer_.async_wait(asio::redirect_error(asio::use_awaitable, code));
    }

    /// @return how long to wait before asking for a place again; empty when a request that began
    /// after that would be late
    auto patienceForPlace() -> std::optional<Duration>
    {
        const auto now = parts_.clock.now();
        comeBack_ = picked_.comeBack;
        const auto spare = std::chrono::duration_cast<Duration>(route_->startTarget * placeShare);
        const auto limit = std::min({ arrived_ + spare, startBy_, owner_.placeBy_ });
        if (now >= limit)
            return std::nullopt;
        return std::min<Duration>(lookForPlace, limit - now);
    }

    /// @return how long to wait before looking again; empty when waiting is of no use
    auto patienceFor(Lack lack) -> std::optional<Duration>
    {
        const auto now = parts_.clock.now();
        const auto load = expectedLoad(lack);
        if (!load && parts_.view.of(service_).empty())
            comeBack_ = owner_.options_.comeBackWhenNew;
        if (!load)
            return std::nullopt;
        const auto since = waiting_ ? parts_.demand.lackingSince(target_) : now;
        const auto ready = std::max(since + *load, now);
        comeBack_ = std::max<Duration>(ready - now, owner_.options_.comeBack);
        const auto limit = std::min(startBy_, owner_.placeBy_);
        if (ready >= limit || now >= limit)
            return std::nullopt;
        return std::min<Duration>(lookAgain, limit - now);
    }

    /// @return how long a load of what is lacking takes; empty when no load would help
    auto expectedLoad(Lack lack) -> std::optional<Duration>
    {
        if (lack == Lack::Adapter)
            return adapterLoad;
        const auto *model = engine_ == nullptr ? nullptr : engine_->find(wish_.model);
        if (lack != Lack::Model || model == nullptr)
            return std::nullopt;
        for (const auto *entry : parts_.view.of(service_)) {
            const auto has = [&](const std::vector<ModelId> &copies) {
                return std::find(copies.begin(), copies.end(), model->id) != copies.end();
            };
            if (has(entry->row.inMemory) || has(entry->row.onDisk))
                return std::max(model->loadFromDisk, model->loadFromMemory) + swapOverhead;
        }
        return model->loadFromStore + storeOverhead;
    }

    auto avoid(const EndpointId &id) -> void
    {
        wish_.avoided.insert(id);
        avoidPause_ = std::min<Duration>(avoidPause_ * 2, longestAvoidPause);
        avoidUntil_ = parts_.clock.now() + avoidPause_;
    }

    /// What rejected the request a while ago may take it now. Each time it waits longer, so that an
    /// endpoint that rejects all gets few of its requests.
    auto forgiveRejections() -> void
    {
        if (!mayHaveRun_ && parts_.clock.now() >= avoidUntil_)
            wish_.avoided.clear();
    }

    auto beginWaiting() -> void
    {
        if (waiting_)
            return;
        waiting_ = true;
        parts_.demand.onLack(target_);
    }

    auto finishWaiting() -> void
    {
        if (std::exchange(waiting_, false))
            parts_.demand.onLackEnd(target_);
    }

    /// After a dispatch that brought no end. @return true when another may follow
    auto mayGoOn(Step step) -> asio::awaitable<bool>
    {
        if (callerGone_) {
            ending_ = Ending::CallerGone;
            co_return false;
        }
        if (step == Step::Broken)
            mayHaveRun_ = true;
        const auto mayRepeat = !mayHaveRun_ || route_->mayRepeat();
        const auto mayResume = !responder_.started() || route_->resumable;
        const auto inTime = parts_.clock.now() < deadline_;
        const auto inCount = ran_ < route_->maxAttempts && unsent_ < maxUnsent;
        auto mayTry = mayRepeat && mayResume && inTime && inCount;
        if (mayTry && step == Step::Broken)
            mayTry = !co_await endsTooMany() && !callerGone_;
        if (mayTry && (sent_ == 0 || takeRepeat()))
            co_return true;
        co_await giveUp(lastError_);
        co_return false;
    }

    auto takeRepeat() -> bool
    {
        const auto allowed = parts_.retries.take(service_);
        if (!allowed)
            budgetSpent_ = true;
        return allowed;
    }

    auto dispatch(EndpointEntry &entry) -> asio::awaitable<Step>
    {
        const auto id = entry.row.id;
        endpoint_ = id;
        auto out = makeDispatch(entry);
        const auto weight = loadWeight(caller_.promptTokens);
        entry.running += weight;
        if (!target_.model.empty())
            parts_.demand.onStart(target_);
        parts_.metrics.onDispatch(sent_ > 0);
        const auto left = std::max<Duration>(deadline_ - parts_.clock.now(),
                                             std::chrono::milliseconds { 1 });
        sentAt_ = parts_.clock.now();
        const auto dispatched = owner_.dispatches_.emplace(id, canceller_);
        const auto step = co_await exchange(std::move(out), left, id);
        owner_.dispatches_.erase(dispatched);
        if (!target_.model.empty())
            parts_.demand.onEnd(target_);
        const auto hasStarted = step == Step::Settled && firstByteAt_ && isSuccess(finalStatus_);
        const auto start = hasStarted ? *firstByteAt_ - sentAt_ : Duration::zero();
        picked_.booking.end(start, outcomeOf(hasStarted));
        if (auto *now = parts_.view.find(id)) {
            now->running -= weight;
        }
        if (step != Step::Settled)
            avoid(id);
        co_return step;
    }

    /// @return whether the endpoint kept the route's targets, as far as this dispatch shows it
    auto outcomeOf(bool hasStarted) const -> proto::PickOutcome
    {
        if (engine_ == nullptr || status_ >= 400)
            return proto::PickOutcome::Unknown;
        const auto start = firstByteAt_.value_or(parts_.clock.now()) - sentAt_;
        const auto gapTarget = route_->gapTarget;
        const auto isLate = start > route_->startTarget
                || (gapTarget > Duration::zero() && longestGap_ > gapTarget);
        if (isLate)
            return proto::PickOutcome::Late;
        return hasStarted ? proto::PickOutcome::OnTime : proto::PickOutcome::Unknown;
    }

    auto makeDispatch(const EndpointEntry &entry) -> http::ClientRequest
    {
        auto terms = DispatchTerms {};
        terms.endpoint = entry.row.id;
        terms.left = deadline_ - parts_.clock.now();
        terms.rank = route_->rank;
        terms.resumeAfter = lastEvent_;
        if (picked_.fetchFrom != entry.row.id && parts_.view.takesWork(picked_.fetchFrom))
            terms.fetchFrom = parts_.view.find(picked_.fetchFrom)->row.address;
        canceller_ = std::make_shared<http::Canceller>();
        auto out = http::ClientRequest {};
        out.address = entry.row.address;
        out.method = request_.method;
        out.target = request_.target;
        out.headers = parts_.dialect.writeDispatch(caller_, terms);
        out.body = request_.body;
        if (!route_->mayRepeat())
            out.maxIdleAge = owner_.options_.freshEnough;
        out.match = { parts_.dialect.answerIdHeader, caller_.id.value() };
        out.canceller = canceller_;
        return out;
    }

    auto exchange(http::ClientRequest out, Duration left, const EndpointId &id)
            -> asio::awaitable<Step>
    {
        auto opened = co_await parts_.client.open(std::move(out), left);
        if (const auto *error = std::get_if<http::ClientError>(&opened)) {
            lastError_ = error->status;
            const auto reached = error->sent != http::Sent::Nothing;
            noteFailure(id, error->status, reached);
            if (!reached) {
                ++unsent_;
                co_return Step::NotRun;
            }
            ++sent_;
            ++ran_;
            noteBroken(id, error->status, false);
            co_return Step::Broken;
        }
        auto stream = std::move(std::get<std::unique_ptr<http::ClientStream>>(opened));
        ++sent_;
        status_ = stream->status();
        if (parts_.dialect.saysNotRun(status_, stream->headers())) {
            lastError_ = makeError(ErrorKind::NoCapacity,
                                   "endpoint=" + id.value() + " status=" + std::to_string(status_));
            noteRejection(id, stream->headers());
            co_await discard(*stream);
            co_return Step::NotRun;
        }
        ++ran_;
        const auto isStream = isSuccess(status_) && isEventStream(stream->headers());
        const auto step = isStream ? co_await relayStream(*stream) : co_await relayWhole(*stream);
        if (step == Step::Settled) {
            parts_.view.onSuccess(id);
            if (ending_ == Ending::Answered && status_ < 500)
                noteCompleted();
        } else if (!callerGone_ && status_ < 500) {
            noteFailure(id, lastError_, true);
            noteBroken(id, lastError_, lastEventAt_.has_value());
        }
        co_return step;
    }

    auto noteRejection(const EndpointId &id, const http::Headers &headers) -> void
    {
        if (parts_.dialect.isOfOtherEndpoint(id, status_, headers))
            parts_.view.onReplaced(id);
        else if (parts_.dialect.saysMissing(status_) && !wish_.model.empty())
            parts_.view.onMissing(id, wish_.model, wish_.adapter);
        else
            parts_.view.onRejected(id);
    }

    auto noteFailure(const EndpointId &id, const absl::Status &status, bool reached) -> void
    {
        // Running out of this request's own time says little about the endpoint.
        if (callerGone_ || (reached && errorKind(status) == ErrorKind::Timeout))
            return;
        parts_.view.onFailure(id, reached);
        parts_.metrics.onEndpointFailure();
    }

    auto noteCompleted() -> void
    {
        if (parts_.quarantine.onCompleted(works_, policy::millisOf(parts_.clock.now())))
            parts_.endings.onAcquitted(works_);
    }

    /// Reads a small answer to its end, so that its connection can be kept.
    auto discard(http::ClientStream &stream) -> asio::awaitable<void>
    {
        while (true) {
            auto chunk = co_await stream.read(discardTime);
            if (!chunk.ok() || chunk->empty())
                co_return;
        }
    }

    auto relayWhole(http::ClientStream &stream) -> asio::awaitable<Step>
    {
        auto body = std::string {};
        while (true) {
            auto chunk = co_await stream.read(timeLeft());
            if (!chunk.ok()) {
                lastError_ = chunk.status();
                co_return Step::Broken;
            }
            if (chunk->empty())
                break;
            body += *chunk;
            if (body.size() > owner_.options_.maxAnswerBytes) {
                lastError_ = makeError(ErrorKind::TooLarge, "answer");
                co_return Step::Broken;
            }
        }
        // The endpoint failed and said so. Where the route allows it, another may do better.
        const auto isFault = status_ >= 500 && status_ != 504;
        auto answer = http::Response { status_, endToEnd(stream.headers()), std::move(body) };
        const auto mayTryAnother = route_->mayRepeat() && ran_ < route_->maxAttempts
                && parts_.clock.now() < deadline_;
        if (isFault && mayTryAnother && takeRepeat())
            co_return co_await repeatFault(std::move(answer));
        co_return co_await sendWhole(std::move(answer));
    }

    /// One more dispatch after an endpoint's own failure; that failure is the answer when the
    /// repeat brings none.
    auto repeatFault(http::Response failure) -> asio::awaitable<Step>
    {
        avoid(endpoint_);
        const auto lack = co_await pick();
        auto *entry = lack == Lack::Nothing ? parts_.view.find(picked_.endpoint) : nullptr;
        if (entry != nullptr && !callerGone_ && co_await dispatch(*entry) == Step::Settled)
            co_return Step::Settled;
        if (callerGone_)
            co_return Step::Broken;
        co_return co_await sendWhole(std::move(failure));
    }

    auto sendWhole(http::Response answer) -> asio::awaitable<Step>
    {
        firstByteAt_ = parts_.clock.now();
        finalStatus_ = answer.status;
        const auto sent = co_await responder_.send(std::move(answer));
        ending_ = sent.ok() ? Ending::Answered : Ending::CallerGone;
        co_return Step::Settled;
    }

    auto relayStream(http::ClientStream &stream) -> asio::awaitable<Step>
    {
        auto splitter = endpoint::SseSplitter {};
        while (true) {
            auto chunk = co_await stream.read(timeLeft());
            if (!chunk.ok()) {
                lastError_ = chunk.status();
                co_return Step::Broken;
            }
            if (chunk->empty())
                break;
            auto events = splitter.feed(*chunk);
            if (!events.ok()) {
                lastError_ = events.status();
                co_return Step::Broken;
            }
            if (auto step = co_await giveEvents(*events, stream))
                co_return *step;
        }
        if (splitter.pending() > 0) {
            lastError_ = makeError(ErrorKind::EndpointFailed, "stream ends within an event");
            co_return Step::Broken;
        }
        if (!co_await begin(stream) || !(co_await responder_.finish()).ok())
            ending_ = Ending::CallerGone;
        else
            ending_ = Ending::Answered;
        co_return Step::Settled;
    }

    /// @return a step when the request has come to its end
    auto giveEvents(const std::vector<endpoint::SseEvent> &events, http::ClientStream &stream)
            -> asio::awaitable<std::optional<Step>>
    {
        auto bytes = std::string {};
        for (const auto &event : events) {
            const auto id = eventId(event.raw);
            if (isOldEvent(id, lastEvent_))
                continue;
            if (!id.empty())
                lastEvent_ = id;
            bytes += event.raw;
        }
        if (bytes.empty())
            co_return std::nullopt;
        noteEvents();
        if (!co_await begin(stream) || !(co_await responder_.write(std::move(bytes))).ok()) {
            ending_ = Ending::CallerGone;
            co_return Step::Settled;
        }
        co_return std::nullopt;
    }

    auto noteEvents() -> void
    {
        const auto now = parts_.clock.now();
        if (lastEventAt_)
            longestGap_ = std::max<Duration>(longestGap_, now - *lastEventAt_);
        lastEventAt_ = now;
        noteLateness(now);
    }

    /// Tells the leader, once, of a stream that its endpoint did not serve in time.
    auto noteLateness(Instant now) -> void
    {
        const auto gapTarget = route_->gapTarget;
        const auto beganLate = !firstByteAt_ && now - sentAt_ > route_->startTarget;
        const auto pausedLong = gapTarget > Duration::zero() && longestGap_ > gapTarget;
        if (target_.model.empty() || lateTold_ || !(beganLate || pausedLong))
            return;
        lateTold_ = true;
        parts_.demand.onLate(target_);
    }

    /// Sends the head of a stream, once. @return false when the caller is gone
    auto begin(http::ClientStream &stream) -> asio::awaitable<bool>
    {
        if (responder_.started())
            co_return true;
        firstByteAt_ = parts_.clock.now();
        finalStatus_ = status_;
        auto headers = endToEnd(stream.headers());
        const auto begun = co_await responder_.startStream(status_, std::move(headers));
        co_return begun.ok();
    }

    auto timeLeft() const -> Duration
    {
        return std::max<Duration>(deadline_ - parts_.clock.now(), std::chrono::milliseconds { 1 });
    }

    // ---- ending it

    auto onCallerGone() -> void
    {
        callerGone_ = true;
        if (canceller_)
            canceller_->cancel();
        holdTimer_.cancel();
        parts_.waiters.wakeAll();
    }

    /// Nothing more is tried: says so at once, or cuts a stream that has begun.
    auto giveUp(absl::Status status) -> asio::awaitable<void>
    {
        lastError_ = status;
        if (responder_.started()) {
            ending_ = Ending::BrokenOff;
            co_return; // The server cuts a stream that was not finished.
        }
        auto refusal = Refusal {};
        refusal.status = std::move(status);
        refusal.notRun = !mayHaveRun_;
        if (refusal.notRun)
            refusal.retryAfter = comeBack_.value_or(owner_.options_.comeBack);
        co_await refuse(std::move(refusal));
    }

    auto refuse(Refusal refusal) -> asio::awaitable<void>
    {
        if (ending_ != Ending::NoRoute)
            ending_ = refusal.notRun ? Ending::Refused : Ending::Failed;
        lastError_ = refusal.status;
        firstByteAt_ = parts_.clock.now();
        auto response = parts_.dialect.writeRefusal(refusal);
        finalStatus_ = response.status;
        const auto sent = co_await responder_.send(std::move(response));
        if (!sent.ok())
            ending_ = Ending::CallerGone;
    }

    auto report() -> void
    {
        const auto now = parts_.clock.now();
        const auto firstByte = firstByteAt_ ? *firstByteAt_ - arrived_ : now - arrived_;
        parts_.metrics.onRequest(ending_, firstByte, now - arrived_);
        auto line = LogEvent { LogLevel::Info, "request" };
        line.with("id", caller_.id)
                .with("end", endingName(ending_))
                .with("status", static_cast<std::int64_t>(finalStatus_));
        if (route_ != nullptr)
            line.with("route", route_->name).with("service", service_);
        if (!target_.model.empty())
            line.with("model", target_.model).with("adapter", target_.adapter);
        line.with("endpoint", endpoint_)
                .with("sent", static_cast<std::int64_t>(sent_))
                .with("unsent", static_cast<std::int64_t>(unsent_))
                .with("first_ms", millis(firstByte))
                .with("total_ms", millis(now - arrived_))
                .with("gap_ms", millis(longestGap_))
                .with("left_ms", millis(deadline_ - now))
                .with("config", owner_.version());
        if (picked_.by != PickedBy::Nobody)
            line.with("picked", pickedByName(picked_.by));
        if (picked_.comeBack)
            line.with("come_back_ms", millis(*picked_.comeBack));
        if (picked_.by == PickedBy::Balancer) {
            line.with("expected_ms", std::int64_t { picked_.startMs })
                    .with("beside", std::int64_t { picked_.running })
                    .with("held_ms", millis(held_))
                    .with("fetched_from", picked_.fetchFrom);
        }
        if (lack_ != Lack::Nothing)
            line.with("lacked", lackName(lack_));
        if (!works_.ofAnyone.isNone())
            line.with("work", works_.ofAnyone.text());
        if (budgetSpent_)
            line.with("retries", "spent");
        if (ending_ != Ending::Answered && !lastError_.ok())
            line.with(lastError_);
    }

    Forwarder &owner_;
    ForwarderParts &parts_;
    const http::Request &request_;
    http::Responder &responder_;
    const Instant arrived_;
    Instant deadline_;                                    ///< Nothing is waited for beyond it.
    Instant startBy_;                                     ///< Nor an endpoint beyond this.
    std::shared_ptr<const catalogue::RouteTable> routes_; ///< In force when the request came.
    CallerRequest caller_;
    const catalogue::Route *route_ = nullptr;
    const catalogue::EngineSpec *engine_ = nullptr; ///< Null for a plain service.
    ServiceId service_;
    DemandTarget target_; ///< Empty model: none.
    Wish wish_;
    catalogue::WorkIds works_;                   ///< None before the request was read.
    std::shared_ptr<http::Canceller> canceller_; ///< Of the dispatch under way.
    std::string lastEvent_;
    EndpointId endpoint_; ///< Of the latest dispatch.
    Picked picked_;       ///< The latest; its booking ends with the dispatch.
    BootTimer holdTimer_;
    Duration held_ {}; ///< For the sake of the streams at its endpoints.
    std::uint32_t status_ = 0;
    std::uint32_t finalStatus_ = 0;
    std::uint32_t sent_ = 0;   ///< Dispatches of which bytes left.
    std::uint32_t ran_ = 0;    ///< Those that may have run.
    std::uint32_t unsent_ = 0; ///< Those of which none left.
    Duration avoidPause_ = firstAvoidPause;
    Instant avoidUntil_ {};
    std::optional<Duration> comeBack_;
    Instant sentAt_ {}; ///< The latest dispatch.
    std::optional<Instant> firstByteAt_;
    std::optional<Instant> lastEventAt_;
    Duration longestGap_ {}; ///< Between events of a stream.
    absl::Status lastError_ = makeError(ErrorKind::NoCapacity, "endpoint");
    Lack lack_ = Lack::Nothing;
    Ending ending_ = Ending::Refused;
    bool waiting_ = false;
    bool callerGone_ = false;
    bool mayHaveRun_ = false;
    bool budgetSpent_ = false;
    bool lateTold_ = false; ///< To the leader.
};

Forwarder::Forwarder(ForwarderOptions options, ForwarderParts parts)
    : options_(options)
    , parts_(parts)
    , startedAt_(parts.clock.now())
{ }

auto Forwarder::setCatalogue(std::shared_ptr<const catalogue::Catalogue> catalogue) -> void
{
    routes_ = std::make_shared<const catalogue::RouteTable>(std::move(catalogue));
    parts_.waiters.wakeAll();
}

auto Forwarder::setPlaceBy(Instant placeBy) -> void
{
    placeBy_ = placeBy;
    parts_.waiters.wakeAll();
}

auto Forwarder::version() const -> Revision
{
    return routes_ ? routes_->catalogue().version : Revision {};
}

auto Forwarder::catalogue() const -> const catalogue::Catalogue *
{
    return routes_ ? &routes_->catalogue() : nullptr;
}

auto Forwarder::endDispatches(const EndpointId &endpoint) -> void
{
    const auto [begin, end] = dispatches_.equal_range(endpoint);
    if (begin == end)
        return;
    LogEvent(LogLevel::Warning, "dispatches_ended")
            .with("endpoint", endpoint)
            .with("count", static_cast<std::uint64_t>(std::distance(begin, end)));
    for (auto item = begin; item != end; ++item)
        item->second->cancel();
}

auto Forwarder::handle(const http::Request &request, http::Responder &responder)
        -> asio::awaitable<void>
{
    auto run = Run { *this, request, responder };
    co_await run.execute();
}

} // namespace figrack::gateway
