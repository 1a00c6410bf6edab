#include "fleet/orders.h"

#include <algorithm>
#include <array>
#include <exception>
#include <utility>

#include <absl/cleanup/cleanup.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "core/boottimer.h"
#include "core/error.h"
#include "core/log.h"

namespace figrack::fleet {

namespace asio = boost::asio;
using catalogue::EndpointRow;

namespace {

/// If a load is not announced as complete within its expected time plus this, the endpoint is
/// asked. Announcements of a completed order take at most a few hundred milliseconds.
constexpr auto announceDelay = std::chrono::milliseconds { 600 };

/// A step is given up after this multiple of its expected time: the endpoint may no longer handle
/// orders.
constexpr auto maxStretch = 6;
/// A load that takes longer than this multiple of its time shares the store with too many others.
constexpr auto slowStretch = 1.25;
/// Concurrent loads from the store until the first load times are known.
constexpr auto firstStoreLimit = 2U;
/// An unload that takes longer waits for streams, which may take several more seconds.
constexpr auto unloadOverdue = std::chrono::seconds { 1 };
/// A plan that has exceeded its expected time may end at any moment.
constexpr auto minBusySeconds = 0.2;

using HeldModels = std::vector<catalogue::HeldModel>;

auto showsEffect(const EndpointRow &row, const PlanStep &step) -> bool
{
    const auto *held = row.find(step.model);
    const auto isHeld = held != nullptr && (step.adapter.empty() || held->hasAdapter(step.adapter));
    return isHeld == (step.kind == StepKind::Load);
}

auto applyStep(HeldModels &models, const PlanStep &step) -> void
{
    const auto sameModel = [&](const auto &held) { return held.model == step.model; };
    const auto held = std::find_if(models.begin(), models.end(), sameModel);
    if (step.adapter.empty()) {
        if (step.kind == StepKind::Unload)
            std::erase_if(models, sameModel);
        else if (held == models.end())
            models.push_back({ step.model, {} });
        return;
    }
    if (held == models.end())
        return;
    std::erase(held->adapters, step.adapter);
    if (step.kind == StepKind::Load)
        held->adapters.push_back(step.adapter);
}

/// @return true when the engine has room for all the models
auto fits(const HeldModels &models, const catalogue::EngineSpec &engine) -> bool
{
    auto weights = 0.0;
    auto adapters = std::size_t { 0 };
    for (const auto &held : models) {
        const auto *spec = engine.find(held.model);
        if (spec == nullptr)
            return false; // The configuration does not name the model, so its size is unknown.
        weights += spec->weightsMb + spec->adapterMb * static_cast<double>(held.adapters.size());
        adapters += held.adapters.size();
    }
    return weights <= engine.weightsMb && adapters <= engine.maxAdapters;
}

} // namespace

auto orderReplyName(OrderReply reply) -> std::string_view
{
    constexpr auto names = std::array<std::string_view, 7> {
        "accepted", "holds", "conflict", "stale_fence", "invalid", "other_endpoint", "no_answer"
    };
    return names[static_cast<std::size_t>(reply) % names.size()];
}

class OrderRunner::Impl : public std::enable_shared_from_this<Impl>
{
public:
    Impl(asio::io_context &context, OrderOptions options, const Clock &clock, Registry &registry,
         const OrderPort &port, Authority authority)
        : context_(context)
        , options_(std::move(options))
        , clock_(clock)
        , registry_(registry)
        , port_(port)
        , authority_(std::move(authority))
        , leadingSince_(clock.now())
    { }

    auto onLeading() -> void
    {
        leadingSince_ = clock_.now();
        heldStates_.clear();
        adapterLoads_.clear();
        storeLoads_.clear();
    }

    auto start(const Plan &plan, std::shared_ptr<const catalogue::EngineSpec> engine) -> void
    {
        auto &job = jobs_[plan.endpoint];
        if (job.active)
            return;
        job.active = true;
        job.stepsDone = 0;
        job.startedAt = clock_.now();
        job.acceptedAt.reset();
        job.retryAt.reset();
        job.plan = plan;
        const auto &last = plan.steps.back();
        if (const auto *spec = engine->find(last.model))
            job.loadTime = loadTimeOf(*spec, plan.source);
        job.engine = std::move(engine);
        if (plan.source == LoadSource::Store)
            storeLoads_.push_back(clock_.now());
        asio::co_spawn(context_, run(shared_from_this(), plan), asio::detached);
    }

    auto busySeconds(const EndpointId &endpoint) const -> double
    {
        const auto found = jobs_.find(endpoint);
        if (found == jobs_.end())
            return 0;
        const auto &job = found->second;
        const auto until = job.active ? job.startedAt + job.loadTime + swapTime : job.pausedUntil;
        const auto left = std::chrono::duration<double> { until - clock_.now() }.count();
        if (!job.active)
            return std::max(left, 0.0) * (1 + job.failures);
        // A plan that has exceeded its expected time by t is expected to take t longer: its unload
        // waits for requests in progress, for an unknown time.
        return std::max({ left, -left, minBusySeconds }) * (1 + job.failures);
    }

    auto freshAdapters() const -> std::set<AdapterKey>
    {
        auto result = std::set<AdapterKey> {};
        for (const auto &[key, at] : adapterLoads_) {
            if (clock_.now() - at < options_.adapterFresh)
                result.insert(key);
        }
        return result;
    }

    auto held(const EndpointId &endpoint) const -> const HeldModels *
    {
        const auto found = heldStates_.find(endpoint);
        return found == heldStates_.end() ? nullptr : &found->second.models;
    }

    auto loads() const -> std::vector<LoadProgress>
    {
        auto result = std::vector<LoadProgress> {};
        for (const auto &[id, job] : jobs_) {
            if (!job.active)
                continue;
            const auto &last = job.plan.steps.back();
            const auto unload = job.plan.steps.size() > 1 ? Duration { swapTime } : Duration {};
            result.push_back({ last.model, last.adapter,
                               last.adapter.empty() ? job.loadTime : options_.adapterLoad,
                               job.startedAt + unload, job.acceptedAt, job.retryAt });
        }
        return result;
    }

    template<typename Visit>
    auto forEachLoad(const Visit &visit) const -> void
    {
        for (const auto &[id, job] : jobs_) {
            if (job.active)
                visit(job.plan.steps.back());
        }
    }

    auto stalledLoads() const -> std::map<ModelId, std::uint32_t>
    {
        auto result = std::map<ModelId, std::uint32_t> {};
        for (const auto &[id, job] : jobs_) {
            const auto unloads = job.active && job.stepsDone == 0
                    && job.plan.steps.front().kind == StepKind::Unload;
            if (unloads && clock_.now() - job.startedAt > unloadOverdue)
                ++result[job.plan.steps.back().model];
        }
        return result;
    }

    auto storeLoadsAllowed(const catalogue::EngineSpec &engine) const -> std::uint32_t
    {
        const auto now = clock_.now();
        const auto windowSeconds = std::chrono::duration<double> { options_.storeWindow }.count();
        // The loads that the previous leader started are not known.
        const auto isNew = now - leadingSince_ < options_.storeWindow;
        const auto limit = isNew ? options_.storeSlack : engine.storeLoadsPerSecond * windowSeconds;
        auto begun = std::count_if(storeLoads_.begin(), storeLoads_.end(),
                                   [&](Instant at) { return now - at < options_.storeWindow; });
        const auto running = std::count_if(jobs_.begin(), jobs_.end(), [](const auto &item) {
            return item.second.active && item.second.plan.source == LoadSource::Store;
        });
        const auto byRate = std::max(0.0, limit - static_cast<double>(begun));
        const auto byCount = std::max<std::int64_t>(0, storeLimit_ - running);
        return static_cast<std::uint32_t>(std::min(byRate, static_cast<double>(byCount)));
    }

    auto storeLoadsAtOnce() const -> std::uint32_t { return storeLimit_; }

    auto onRowChanged(const EndpointId &endpoint) -> void
    {
        const auto found = jobs_.find(endpoint);
        if (found != jobs_.end() && found->second.timer != nullptr)
            found->second.timer->cancel();
    }

private:
    /// What an endpoint holds after it has accepted this number of orders.
    struct HeldState
    {
        std::uint64_t count = 0;
        HeldModels models;
    };
    struct Job
    {
        bool active = false;
        std::size_t stepsDone = 0;  ///< Completed steps of the plan.
        std::uint32_t failures = 0; ///< Consecutive failed plans.
        Instant startedAt {};
        Plan plan;
        std::shared_ptr<const catalogue::EngineSpec> engine;
        Duration loadTime {};
        std::optional<Instant> acceptedAt; ///< Of the last step.
        std::optional<Instant> retryAt;    ///< When the current step is tried again.
        Instant pausedUntil {};
        BootTimer *timer = nullptr; ///< Set while the job waits for a row.
    };

    // NOLINTNEXTLINE(performance-unnecessary-value-param): a coroutine owns what it uses.
    static auto run(std::shared_ptr<Impl> self, Plan plan) -> asio::awaitable<void>
    {
        auto done = false;
        try {
            done = co_await self->runSteps(plan);
        } catch (const std::exception &error) {
            LogEvent(LogLevel::Error, "plan_failed")
                    .with("endpoint", plan.endpoint)
                    .with("reason", error.what());
            // It is not known whether the order arrived.
            self->heldStates_.erase(plan.endpoint);
        }
        auto &job = self->jobs_[plan.endpoint];
        job.active = false;
        job.failures = done ? 0 : job.failures + 1;
        if (!done)
            job.pausedUntil = self->clock_.now() + self->options_.pauseAfterFailure;
        const auto &last = plan.steps.back();
        LogEvent(LogLevel::Info, "plan_ended")
                .with("endpoint", plan.endpoint)
                .with("model", last.model)
                .with("adapter", last.adapter)
                .with("source", loadSourceName(plan.source))
                .with("done", done);
        self->authority_.onPlanEnded();
    }

    /// @return true when all steps are complete
    auto runSteps(const Plan &plan) -> asio::awaitable<bool>
    {
        for (const auto &step : plan.steps) {
            if (!co_await runStep(plan.endpoint, step))
                co_return false;
            ++jobs_[plan.endpoint].stepsDone;
        }
        co_return true;
    }

    auto runStep(EndpointId id, PlanStep step) -> asio::awaitable<bool>
    {
        for (auto tries = 0U; tries < options_.maxTries; ++tries) {
            const auto *row = registry_.find(id);
            const auto isReady = row != nullptr && row->state == catalogue::EndpointState::Ready;
            if (!isReady || !authority_.mayOrder() || isEvacuated(*row))
                co_return false;
            if (!heldStates_.contains(id) && !co_await readHeldState(id)) {
                co_await pauseBeforeRetry(id);
                continue;
            }
            if (!hasRoom(id, step))
                co_return false;
            const auto reply = co_await send(id, step);
            switch (reply) {
            case OrderReply::Holds:
                complete(id, step);
                co_return true;
            case OrderReply::Accepted:
                noteLoadAccepted(id, step);
                if (co_await awaitEffect(id, step))
                    co_return true;
                jobs_[id].acceptedAt.reset();
                break;
            case OrderReply::Conflict:
            case OrderReply::NoAnswer:
                heldStates_.erase(id);
                co_await pauseBeforeRetry(id);
                break;
            case OrderReply::StaleFence:
            case OrderReply::Invalid:
            case OrderReply::OtherEndpoint:
                heldStates_.erase(id);
                co_return false;
            }
        }
        co_return false;
    }

    auto noteLoadAccepted(const EndpointId &id, const PlanStep &step) -> void
    {
        if (step.kind != StepKind::Load)
            return;
        jobs_[id].acceptedAt = clock_.now();
        if (authority_.onLoadAccepted)
            authority_.onLoadAccepted();
    }

    auto pauseBeforeRetry(EndpointId id) -> asio::awaitable<void>
    {
        jobs_[id].retryAt = clock_.now() + options_.retryPause;
        co_await pause(options_.retryPause);
        jobs_[id].retryAt.reset();
    }

    auto isEvacuated(const EndpointRow &row) const -> bool
    {
        return authority_.isEvacuated && authority_.isEvacuated(row.domain);
    }

    auto send(const EndpointId &id, const PlanStep &step) -> asio::awaitable<OrderReply>
    {
        // The endpoint may have been forgotten while the report was read.
        const auto *known = registry_.find(id);
        if (known == nullptr)
            co_return OrderReply::OtherEndpoint;
        auto order = ModelOrder { step, heldStates_[id].count, options_.self, authority_.fence() };
        const auto row = *known;
        const auto reply = co_await port_.send(row, order);
        if (reply == OrderReply::Accepted
            || (reply == OrderReply::Holds && isImmediateUnload(id, step)))
            noteAccepted(id, step);
        LogEvent(LogLevel::Info, "order")
                .with("endpoint", id)
                .with("op", stepKindName(step.kind))
                .with("model", step.model)
                .with("adapter", step.adapter)
                .with("expected", order.expectedCount)
                .with("fence", order.fence)
                .with("reply", orderReplyName(reply));
        co_return reply;
    }

    /// An endpoint unloads an adapter that no request uses before it answers, and counts the order
    /// although the answer is Holds. If the runner did not count it too, the endpoint would refuse
    /// the next order, which would be sent again after a report.
    auto isImmediateUnload(const EndpointId &id, const PlanStep &step) const -> bool
    {
        const auto found = heldStates_.find(id);
        if (step.kind != StepKind::Unload || step.adapter.empty() || found == heldStates_.end())
            return false;
        const auto &models = found->second.models;
        return std::any_of(models.begin(), models.end(), [&](const auto &held) {
            return held.model == step.model && held.hasAdapter(step.adapter);
        });
    }

    /// A load uses its memory from its acceptance on; an unload frees it when it is complete.
    auto noteAccepted(const EndpointId &id, const PlanStep &step) -> void
    {
        const auto found = heldStates_.find(id);
        if (found == heldStates_.end())
            return;
        ++found->second.count;
        if (step.kind == StepKind::Load)
            applyStep(found->second.models, step);
    }

    auto hasRoom(const EndpointId &id, const PlanStep &step) -> bool
    {
        if (step.kind == StepKind::Unload)
            return true;
        auto models = heldStates_[id].models;
        applyStep(models, step);
        if (fits(models, *jobs_[id].engine))
            return true;
        LogEvent(LogLevel::Warning, "load_has_no_room")
                .with("endpoint", id)
                .with("model", step.model)
                .with("adapter", step.adapter)
                .with("held", static_cast<std::uint64_t>(models.size()))
                .with("count", heldStates_[id].count);
        return false;
    }

    /// Reads the endpoint's order count and the models it holds.
    /// @return false when it cannot take an order now
    auto readHeldState(const EndpointId &id) -> asio::awaitable<bool>
    {
        const auto *known = registry_.find(id);
        if (known == nullptr)
            co_return false;
        const auto row = *known;
        const auto report = co_await port_.readReport(row);
        if (!report.ok()) {
            LogEvent(LogLevel::Warning, "report_not_had")
                    .with("endpoint", id)
                    .with(report.status());
            co_return false;
        }
        // The expected incarnation is superseded; its successor has not been announced here yet.
        if (report->incarnation != id.incarnation()) {
            LogEvent(LogLevel::Warning, "report_of_other_incarnation")
                    .with("endpoint", id)
                    .with("says", report->incarnation);
            co_return false;
        }
        registry_.amend(id, [&](EndpointRow &known) {
            known.models = report->models;
            known.inMemory = report->inMemory;
            known.onDisk = report->onDisk;
        });
        if (report->busy)
            co_return false;
        heldStates_[id] = HeldState { report->count, report->models };
        co_return true;
    }

    /// @return true when the step is complete; false when it is not, and the count is unknown
    auto awaitEffect(const EndpointId &id, const PlanStep &step) -> asio::awaitable<bool>
    {
        if (!step.adapter.empty()) {
            if (step.kind == StepKind::Load)
                co_await pause(options_.adapterLoad);
            complete(id, step);
            co_return true;
        }
        const auto isLoad = step.kind == StepKind::Load;
        const auto expected = isLoad ? jobs_[id].loadTime : options_.unloadTimeout;
        const auto begun = clock_.now();
        auto timeout = expected + announceDelay;
        while (clock_.now() - begun < (expected + announceDelay) * maxStretch) {
            if (co_await seesEffect(id, step, timeout)) {
                if (isLoad) {
                    noteLoadTime(id, clock_.now() - begun);
                    authority_.onLoaded(step.model);
                }
                complete(id, step);
                co_return true;
            }
            heldStates_.erase(id);
            if (!co_await isCarryingOut(id)) {
                const auto isDone = hasEffect(id, step);
                // On another endpoint the same load would end that one, too.
                if (isLoad && !isDone && co_await hasEnded(id))
                    authority_.onEndedDuringLoad(step.model, id);
                co_return isDone;
            }
            timeout = std::max<Duration>(expected / 2, announceDelay);
        }
        co_return false;
    }

    /// Waits until an announcement shows the step's effect. @return false on a timeout
    auto seesEffect(const EndpointId &id, const PlanStep &step, Duration timeout)
            -> asio::awaitable<bool>
    {
        const auto deadline = clock_.now() + timeout;
        while (clock_.now() < deadline) {
            if (hasEffect(id, step))
                co_return true;
            const auto *row = registry_.find(id);
            if (row == nullptr || row->state == catalogue::EndpointState::Gone)
                co_return false;
            co_await awaitRow(id, deadline - clock_.now());
        }
        co_return hasEffect(id, step);
    }

    auto hasEffect(const EndpointId &id, const PlanStep &step) const -> bool
    {
        const auto *row = registry_.find(id);
        return row != nullptr && showsEffect(*row, step);
    }

    /// Reads the endpoint's report. @return true while an order is still in progress there
    auto isCarryingOut(const EndpointId &id) -> asio::awaitable<bool>
    {
        const auto *row = registry_.find(id);
        if (row == nullptr || row->state == catalogue::EndpointState::Gone)
            co_return false;
        const auto copy = *row;
        const auto report = co_await port_.readReport(copy);
        if (report.ok() && report->busy && report->incarnation == id.incarnation())
            co_return true;
        static_cast<void>(co_await readHeldState(id));
        co_return false;
    }

    /// @return true when the endpoint's process is known to have ended unexpectedly: a newer
    /// incarnation is in use, or nothing accepts connections at its address
    auto hasEnded(EndpointId id) -> asio::awaitable<bool>
    {
        const auto *row = registry_.find(id);
        const auto *inUse = registry_.inUse(id);
        if (inUse != nullptr && inUse->id.incarnation() > id.incarnation())
            co_return true;
        if (row == nullptr || row->state != catalogue::EndpointState::Ready)
            co_return false;
        const auto copy = *row;
        const auto report = co_await port_.readReport(copy);
        co_return !report.ok() && errorKind(report.status()) == ErrorKind::EndpointFailed;
    }

    /// Adapts the limit of concurrent loads. The store serves only a few loads at full speed, and
    /// their number is unknown: a load that takes its expected time raises the limit by one, a
    /// slower one lowers it.
    auto noteLoadTime(const EndpointId &id, Duration taken) -> void
    {
        const auto &job = jobs_[id];
        if (job.plan.source != LoadSource::Store || job.loadTime <= Duration::zero())
            return;
        const auto stretch = std::chrono::duration<double> { taken } / job.loadTime;
        const auto before = storeLimit_;
        if (stretch > slowStretch)
            storeLimit_ = std::max(1U, static_cast<std::uint32_t>(storeLimit_ / stretch));
        else
            storeLimit_ = std::min(storeLimit_ + 1, options_.storeConcurrency);
        LogEvent(LogLevel::Info, "store_load_time")
                .with("endpoint", id)
                .with("stretch", stretch)
                .with("limit", std::int64_t { storeLimit_ })
                .with("before", std::int64_t { before });
    }

    auto awaitRow(const EndpointId &id, Duration timeout) -> asio::awaitable<void>
    {
        auto timer = BootTimer { context_, timeout };
        jobs_[id].timer = &timer;
        const auto reset = absl::MakeCleanup([this, id] { jobs_[id].timer = nullptr; });
        auto code = boost::system::error_code {};
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, code));
    }

    auto pause(Duration duration) -> asio::awaitable<void>
    {
        auto timer = BootTimer { context_, duration };
        auto code = boost::system::error_code {};
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, code));
    }

    auto complete(const EndpointId &id, const PlanStep &step) -> void
    {
        if (step.kind == StepKind::Load && !step.adapter.empty())
            adapterLoads_[{ step.model, step.adapter }] = clock_.now();
        if (const auto found = heldStates_.find(id); found != heldStates_.end())
            applyStep(found->second.models, step);
        registry_.amend(id, [&](EndpointRow &row) { applyStep(row.models, step); });
    }

    asio::io_context &context_;
    OrderOptions options_;
    const Clock &clock_;
    Registry &registry_;
    const OrderPort &port_;
    Authority authority_;
    Instant leadingSince_;
    std::map<EndpointId, Job> jobs_;
    std::map<EndpointId, HeldState> heldStates_; ///< Of endpoints whose state is known.
    std::map<AdapterKey, Instant> adapterLoads_; ///< Time of each adapter's last load.
    std::deque<Instant> storeLoads_;             ///< Start times of this leader's loads.
    std::uint32_t storeLimit_ = firstStoreLimit; ///< Learned limit of concurrent loads.
};

OrderRunner::OrderRunner(asio::io_context &context, OrderOptions options, const Clock &clock,
                         Registry &registry, const OrderPort &port, Authority authority)
    : impl_(std::make_shared<Impl>(context, std::move(options), clock, registry, port,
                                   std::move(authority)))
{ }

OrderRunner::~OrderRunner() = default;

auto OrderRunner::onLeading() -> void
{
    impl_->onLeading();
}

auto OrderRunner::start(const Plan &plan, std::shared_ptr<const catalogue::EngineSpec> engine)
        -> void
{
    impl_->start(plan, std::move(engine));
}

auto OrderRunner::held(const EndpointId &endpoint) const
        -> const std::vector<catalogue::HeldModel> *
{
    return impl_->held(endpoint);
}

auto OrderRunner::busySeconds(const EndpointId &endpoint) const -> double
{
    return impl_->busySeconds(endpoint);
}

auto OrderRunner::loading() const -> std::map<ModelId, std::uint32_t>
{
    auto result = std::map<ModelId, std::uint32_t> {};
    impl_->forEachLoad([&](const PlanStep &step) {
        if (step.adapter.empty())
            ++result[step.model];
    });
    return result;
}

auto OrderRunner::loads() const -> std::vector<LoadProgress>
{
    return impl_->loads();
}

auto OrderRunner::stalledLoads() const -> std::map<ModelId, std::uint32_t>
{
    return impl_->stalledLoads();
}

auto OrderRunner::loadingAdapters() const -> std::set<AdapterKey>
{
    auto result = std::set<AdapterKey> {};
    impl_->forEachLoad([&](const PlanStep &step) {
        if (!step.adapter.empty())
            result.emplace(step.model, step.adapter);
    });
    return result;
}

auto OrderRunner::freshAdapters() const -> std::set<AdapterKey>
{
    return impl_->freshAdapters();
}

auto OrderRunner::storeLoadsAllowed(const catalogue::EngineSpec &engine) const -> std::uint32_t
{
    return impl_->storeLoadsAllowed(engine);
}

auto OrderRunner::storeLoadsAtOnce() const -> std::uint32_t
{
    return impl_->storeLoadsAtOnce();
}

auto OrderRunner::onRowChanged(const EndpointId &endpoint) -> void
{
    impl_->onRowChanged(endpoint);
}

} // namespace figrack::fleet
