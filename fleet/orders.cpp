#include "fleet/orders.h"

#include <algorithm>
#include <array>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "core/log.h"

namespace figrack::fleet {

namespace asio = boost::asio;
using catalogue::EndpointRow;

namespace {

/// A load that was announced as complete neither in its own time nor in this much more is asked
/// about: announcements of a completed order take some hundred milliseconds at most.
constexpr auto announceDelay = std::chrono::milliseconds { 600 };

auto showsEffect(const EndpointRow &row, const PlanStep &step) -> bool
{
    const auto *held = row.find(step.model);
    const auto isHeld = held != nullptr
            && (step.adapter.empty() || held->hasAdapter(step.adapter));
    return isHeld == (step.kind == StepKind::Load);
}

auto applyStep(EndpointRow &row, const PlanStep &step) -> void
{
    const auto sameModel = [&](const auto &held) { return held.model == step.model; };
    const auto held = std::find_if(row.models.begin(), row.models.end(), sameModel);
    if (step.adapter.empty()) {
        if (step.kind == StepKind::Unload)
            std::erase_if(row.models, sameModel);
        else if (held == row.models.end())
            row.models.push_back({ step.model, {} });
        return;
    }
    if (held == row.models.end())
        return;
    std::erase(held->adapters, step.adapter);
    if (step.kind == StepKind::Load)
        held->adapters.push_back(step.adapter);
}

} // namespace

auto orderReplyName(OrderReply reply) -> std::string_view
{
    constexpr auto names = std::array<std::string_view, 7> { "accepted",    "holds",
                                                             "conflict",    "stale_fence",
                                                             "invalid",     "other_endpoint",
                                                             "no_answer" };
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
        counts_.clear();
        storeLoads_.clear();
    }

    auto start(const Plan &plan, const catalogue::EngineSpec &engine) -> void
    {
        auto &job = jobs_[plan.endpoint];
        if (job.active)
            return;
        job.active = true;
        job.plan = plan;
        const auto &last = plan.steps.back();
        if (const auto *spec = engine.find(last.model))
            job.loadTime = loadTime(*spec, plan.source);
        if (plan.source == LoadSource::Store)
            storeLoads_.push_back(clock_.now());
        asio::co_spawn(context_, run(shared_from_this(), plan), asio::detached);
    }

    auto isBusy(const EndpointId &endpoint) const -> bool
    {
        const auto found = jobs_.find(endpoint);
        if (found == jobs_.end())
            return false;
        return found->second.active || clock_.now() < found->second.pausedUntil;
    }

    template<typename Visit>
    auto forEachLoad(const Visit &visit) const -> void
    {
        for (const auto &[id, job] : jobs_) {
            if (job.active)
                visit(job.plan.steps.back());
        }
    }

    auto storeLoadsAllowed(const catalogue::EngineSpec &engine) const -> std::uint32_t
    {
        const auto now = clock_.now();
        const auto windowSeconds = std::chrono::duration<double> { options_.storeWindow }.count();
        const auto limit = engine.storeLoadsPerSecond * windowSeconds;
        auto begun = std::count_if(storeLoads_.begin(), storeLoads_.end(), [&](Instant at) {
            return now - at < options_.storeWindow;
        });
        // Loads of the leader before are not known.
        if (now - leadingSince_ < options_.storeWindow)
            return 0;
        const auto running = std::count_if(jobs_.begin(), jobs_.end(), [](const auto &item) {
            return item.second.active && item.second.plan.source == LoadSource::Store;
        });
        const auto byRate = std::max(0.0, limit - static_cast<double>(begun));
        const auto byCount = std::max<std::int64_t>(0, options_.storeConcurrency - running);
        return static_cast<std::uint32_t>(std::min(byRate, static_cast<double>(byCount)));
    }

    auto onRowChanged(const EndpointId &endpoint) -> void
    {
        const auto found = jobs_.find(endpoint);
        if (found != jobs_.end() && found->second.timer != nullptr)
            found->second.timer->cancel();
    }

private:
    struct Job
    {
        bool active = false;
        Plan plan;
        Duration loadTime {};
        Instant pausedUntil {};
        asio::steady_timer *timer = nullptr; ///< Set while the job waits for a row.
    };

    static auto loadTime(const catalogue::ModelSpec &spec, LoadSource source) -> Duration
    {
        switch (source) {
        case LoadSource::Memory:
            return spec.loadFromMemory;
        case LoadSource::Disk:
            return spec.loadFromDisk;
        case LoadSource::Store:
            break;
        }
        return spec.loadFromStore;
    }

    // NOLINTNEXTLINE(performance-unnecessary-value-param): a coroutine owns what it uses.
    static auto run(std::shared_ptr<Impl> self, Plan plan) -> asio::awaitable<void>
    {
        auto done = true;
        for (const auto &step : plan.steps) {
            done = co_await self->runStep(plan.endpoint, step);
            if (!done)
                break;
        }
        auto &job = self->jobs_[plan.endpoint];
        job.active = false;
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

    auto runStep(EndpointId id, PlanStep step) -> asio::awaitable<bool>
    {
        for (auto tries = 0U; tries < options_.maxTries; ++tries) {
            const auto *row = registry_.find(id);
            const auto isReady
                    = row != nullptr && row->state == catalogue::EndpointState::Ready;
            if (!isReady || !authority_.mayOrder())
                co_return false;
            if (!counts_.contains(id) && !co_await learnCount(id)) {
                co_await pause(options_.retryPause);
                continue;
            }
            const auto reply = co_await send(id, step);
            switch (reply) {
            case OrderReply::Holds:
                amend(id, step);
                co_return true;
            case OrderReply::Accepted:
                if (co_await awaitEffect(id, step))
                    co_return true;
                break;
            case OrderReply::Conflict:
            case OrderReply::NoAnswer:
                counts_.erase(id);
                co_await pause(options_.retryPause);
                break;
            case OrderReply::StaleFence:
            case OrderReply::Invalid:
            case OrderReply::OtherEndpoint:
                counts_.erase(id);
                co_return false;
            }
        }
        co_return false;
    }

    auto send(const EndpointId &id, const PlanStep &step) -> asio::awaitable<OrderReply>
    {
        auto order = ModelOrder { step, counts_[id], options_.self, authority_.fence() };
        const auto row = *registry_.find(id);
        const auto reply = co_await port_.send(row, order);
        if (reply == OrderReply::Accepted && counts_.contains(id))
            ++counts_[id];
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

    /// Reads how many orders the endpoint has accepted. @return false when it cannot take one now
    auto learnCount(const EndpointId &id) -> asio::awaitable<bool>
    {
        const auto row = *registry_.find(id);
        const auto report = co_await port_.readReport(row);
        if (!report.ok()) {
            LogEvent(LogLevel::Warning, "report_not_had").with("endpoint", id).with(report.status());
            co_return false;
        }
        registry_.amend(id, [&](EndpointRow &known) {
            known.models = report->models;
            known.inMemory = report->inMemory;
            known.onDisk = report->onDisk;
        });
        if (report->busy)
            co_return false;
        counts_[id] = report->count;
        co_return true;
    }

    /// @return true when the step is complete; false when it is not, and the count is unknown
    auto awaitEffect(const EndpointId &id, const PlanStep &step) -> asio::awaitable<bool>
    {
        if (!step.adapter.empty()) {
            if (step.kind == StepKind::Load)
                co_await pause(options_.adapterLoad);
            amend(id, step);
            co_return true;
        }
        const auto expected
                = step.kind == StepKind::Load ? jobs_[id].loadTime : options_.unloadPatience;
        const auto deadline = clock_.now() + expected + announceDelay;
        while (clock_.now() < deadline) {
            const auto *row = registry_.find(id);
            if (row == nullptr || row->state == catalogue::EndpointState::Gone)
                co_return false;
            if (showsEffect(*row, step))
                co_return true;
            co_await awaitRow(id, deadline - clock_.now());
        }
        counts_.erase(id);
        if (!co_await learnCount(id))
            co_return false;
        const auto *row = registry_.find(id);
        co_return row != nullptr && showsEffect(*row, step);
    }

    auto awaitRow(const EndpointId &id, Duration patience) -> asio::awaitable<void>
    {
        auto timer = asio::steady_timer { context_, patience };
        jobs_[id].timer = &timer;
        auto code = boost::system::error_code {};
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, code));
        jobs_[id].timer = nullptr;
    }

    auto pause(Duration duration) -> asio::awaitable<void>
    {
        auto timer = asio::steady_timer { context_, duration };
        auto code = boost::system::error_code {};
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, code));
    }

    auto amend(const EndpointId &id, const PlanStep &step) -> void
    {
        registry_.amend(id, [&](EndpointRow &row) { applyStep(row, step); });
    }

    asio::io_context &context_;
    OrderOptions options_;
    const Clock &clock_;
    Registry &registry_;
    const OrderPort &port_;
    Authority authority_;
    Instant leadingSince_;
    std::map<EndpointId, Job> jobs_;
    std::map<EndpointId, std::uint64_t> counts_; ///< Orders accepted, as far as known.
    std::deque<Instant> storeLoads_;             ///< Begun by this leader.
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

auto OrderRunner::start(const Plan &plan, const catalogue::EngineSpec &engine) -> void
{
    impl_->start(plan, engine);
}

auto OrderRunner::isBusy(const EndpointId &endpoint) const -> bool
{
    return impl_->isBusy(endpoint);
}

auto OrderRunner::loading() const -> std::set<ModelId>
{
    auto result = std::set<ModelId> {};
    impl_->forEachLoad([&](const PlanStep &step) {
        if (step.adapter.empty())
            result.insert(step.model);
    });
    return result;
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

auto OrderRunner::storeLoadsAllowed(const catalogue::EngineSpec &engine) const -> std::uint32_t
{
    return impl_->storeLoadsAllowed(engine);
}

auto OrderRunner::onRowChanged(const EndpointId &endpoint) -> void
{
    impl_->onRowChanged(endpoint);
}

} // namespace figrack::fleet
