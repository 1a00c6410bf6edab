// All decisions are made on the strand, and the port's callbacks run there. Leadership may end
// at any time: onNotLeading() then drops all orders and state requests, and a callback that runs
// later finds no entry for its order or endpoint.

#include "control/orders.h"

#include <algorithm>
#include <utility>

#include "core/check.h"
#include "core/log.h"

namespace figrack::control {
namespace {

auto observedOf(const proto::EndpointReport &report, const ModelId &model) -> Observed
{
    for (const auto &replica : report.replicas) {
        if (replica.model != model)
            continue;
        switch (replica.state) {
        case proto::ObservedState::Loading:
            return Observed::Loading;
        case proto::ObservedState::Ready:
            return Observed::Ready;
        case proto::ObservedState::Unloading:
            return Observed::Unloading;
        }
    }
    return Observed::Absent;
}

auto actionName(state::OrderAction action) -> std::string_view
{
    return action == state::OrderAction::Load ? "load" : "unload";
}

auto resultName(state::OrderResult result) -> std::string_view
{
    switch (result) {
    case state::OrderResult::Loaded:
        return "loaded";
    case state::OrderResult::Unloaded:
        return "unloaded";
    case state::OrderResult::Refused:
        return "refused";
    case state::OrderResult::Failed:
        return "failed";
    }
    return "failed";
}

} // namespace

Orders::Orders(OrdersOptions options, const Clock &clock, Node &node, OrderPort &port)
    : options_(options)
    , clock_(clock)
    , node_(node)
    , port_(port)
{ }

Orders::~Orders() = default;

auto Orders::onLeading(Term term) -> void
{
    term_ = term;
    adoptAt_ = clock_.now() + options_.holdOff;
}

auto Orders::onNotLeading() -> void
{
    port_.abortAll();
    term_.reset();
    adoptAt_.reset();
    open_.clear();
    openByEndpoint_.clear();
    polls_.clear();
    unlistedMb_.clear();
    adopting_.clear();
    reissuing_.clear();
}

// --- orders of earlier terms ---

auto Orders::adoptEarlier() -> void
{
    adoptAt_.reset();
    const auto fence = Fence { term_->value() };
    for (const auto &[key, row] : node_.tables().replicas()) {
        if (row.state != state::ReplicaState::Ready && row.fence < fence)
            adopt(row);
    }
}

auto Orders::adopt(const state::ReplicaRow &row) -> void
{
    const auto &endpoint = node_.tables().endpoints().at(row.endpoint);
    const auto usable = !endpoint.draining && !endpoint.suspected;
    LogEvent(LogLevel::Info, "order_adopted")
            .with("order", row.order)
            .with("endpoint", row.endpoint)
            .with("model", row.model)
            .with("checks_fence", endpoint.spec.checksFence);
    if (row.state == state::ReplicaState::Loading && endpoint.spec.checksFence && usable)
        reissueLoad(row);
    else
        openInDoubt(row);
}

auto Orders::reissueLoad(const state::ReplicaRow &row) -> void
{
    auto intent = state::OrderIntent {};
    intent.action = state::OrderAction::Load;
    intent.endpoint = row.endpoint;
    intent.incarnation = node_.tables().endpoints().at(row.endpoint).spec.incarnation;
    intent.model = row.model;
    intent.version = row.version;
    intent.fence = Fence { term_->value() };
    intent.readyAt = row.readyAt;
    intent.reason = row.reason;
    intent.at = wallMillis();
    const auto key = state::ReplicaKey { row.model, row.endpoint };
    reissuing_.insert(key);
    node_.propose(intent, [this, key](const absl::StatusOr<AppliedCommand> &result) {
        reissuing_.erase(key);
        if (!result.ok() || result->applied.status.ok() || !term_)
            return;
        const auto found = node_.tables().replicas().find(key);
        if (found != node_.tables().replicas().end())
            openInDoubt(found->second);
    });
}

auto Orders::openInDoubt(const state::ReplicaRow &row) -> void
{
    const auto action = row.state == state::ReplicaState::Loading ? state::OrderAction::Load
                                                                  : state::OrderAction::Unload;
    auto machine = OrderMachine { action, options_.machine, true };
    machine.markInDoubt(clock_.now());
    openOrder(row.order,
              { state::ReplicaKey { row.model, row.endpoint }, std::move(machine), action, false });
}

// --- intents and answers ---

auto Orders::onApplied(const AppliedCommand &applied) -> void
{
    if (!term_ || !applied.applied.status.ok())
        return;
    if (const auto *intent = std::get_if<state::OrderIntent>(&applied.command))
        onIntent(*intent, OrderId { applied.index.value() });
    else if (const auto *outcome = std::get_if<state::OrderOutcome>(&applied.command))
        onOutcome(*outcome);
    else if (const auto *joined = std::get_if<state::RegisterEndpoint>(&applied.command))
        closeRemoved(joined->spec.id);
    else if (const auto *forgotten = std::get_if<state::ForgetEndpoint>(&applied.command))
        closeRemoved(forgotten->endpoint);
}

auto Orders::onIntent(const state::OrderIntent &intent, OrderId order) -> void
{
    const auto term = *term_;
    const auto key = state::ReplicaKey { intent.model, intent.endpoint };
    // The tables may already contain later commands. An order that they undid is not sent.
    if (intent.fence != Fence { term.value() } || !node_.tables().findOrder(order))
        return;
    const auto earlierInFlight = reissuing_.contains(key);
    adopting_.erase(key);
    auto &open = openOrder(order,
                           { key, OrderMachine { intent.action, options_.machine, earlierInFlight },
                             intent.action, false });
    const auto address = parseAddress(node_.tables().endpoints().at(intent.endpoint).spec.address);
    if (!address.ok() || !node_.lease().holds(term, clock_.now())) {
        open.machine.onAnswer(endpoint::OrderReply::NotSent, clock_.now());
        return;
    }
    FIGRACK_CHECK(intent.fence >= highestSent_, "no order goes out below the highest fence");
    highestSent_ = intent.fence;
    ++sent_;
    LogEvent(LogLevel::Info, "order_sent")
            .with("order", order)
            .with("action", actionName(intent.action))
            .with("endpoint", intent.endpoint)
            .with("model", intent.model)
            .with("fence", intent.fence)
            .with("reason", intent.reason);
    const auto &lease = node_.lease();
    const auto &clock = clock_;
    port_.send(
            *address, makeOrder(intent, order),
            [&lease, &clock, term] { return lease.holds(term, clock.now()); },
            [this, order,
             alive = std::weak_ptr<int> { alive_ }](const endpoint::OrderAnswer &answer) {
                if (!alive.expired())
                    onAnswer(order, answer);
            });
}

auto Orders::makeOrder(const state::OrderIntent &intent, OrderId order) const -> endpoint::Order
{
    const auto &tables = node_.tables();
    auto result = endpoint::Order {};
    result.id = order;
    result.fence = intent.fence;
    result.action = intent.action;
    result.model = intent.model;
    result.version = intent.version;
    const auto model = tables.configuration().models.find(intent.model);
    if (model != tables.configuration().models.end())
        result.base = model->second.base;
    if (intent.action == state::OrderAction::Load)
        result.memoryMb = tables.modelsOn(intent.endpoint).at(intent.model);
    return result;
}

auto Orders::onAnswer(OrderId order, const endpoint::OrderAnswer &answer) -> void
{
    const auto found = open_.find(order);
    if (found == open_.end())
        return;
    auto &open = found->second;
    LogEvent(LogLevel::Info, "order_answered")
            .with("order", order)
            .with("reply", endpoint::orderReplyName(answer.reply))
            .with("detail", answer.detail);
    open.machine.onAnswer(answer.reply, clock_.now());
    polls_[open.key.second].nextAt = clock_.now();
    settleIfDone(order, open);
}

auto Orders::onOutcome(const state::OrderOutcome &outcome) -> void
{
    const auto found = open_.find(outcome.order);
    if (found == open_.end())
        return;
    const auto key = found->second.key;
    const auto load = found->second.action == state::OrderAction::Load;
    closeOrder(outcome.order);
    const auto failed = outcome.result == state::OrderResult::Refused
            || outcome.result == state::OrderResult::Failed;
    if (load && failed && onFailure_)
        onFailure_({ key.second, key.first, outcome.result });
}

// A replica has at most one open order: a new order replaces the previous one.
auto Orders::openOrder(OrderId order, OpenOrder open) -> OpenOrder &
{
    const auto endpoint = open.key.second;
    for (const auto other : std::set<OrderId> { openByEndpoint_[endpoint] }) {
        if (open_.at(other).key == open.key)
            closeOrder(other);
    }
    openByEndpoint_[endpoint].insert(order);
    polls_.try_emplace(endpoint);
    return open_.insert_or_assign(order, std::move(open)).first->second;
}

auto Orders::closeOrder(OrderId order) -> void
{
    const auto found = open_.find(order);
    if (found == open_.end())
        return;
    auto &orders = openByEndpoint_[found->second.key.second];
    orders.erase(order);
    if (orders.empty())
        openByEndpoint_.erase(found->second.key.second);
    open_.erase(found);
}

// Closes orders whose replica was removed because its endpoint restarted or was removed.
auto Orders::closeRemoved(const EndpointId &endpoint) -> void
{
    const auto found = openByEndpoint_.find(endpoint);
    if (found == openByEndpoint_.end())
        return;
    for (const auto order : std::set<OrderId> { found->second }) {
        if (!node_.tables().findOrder(order))
            closeOrder(order);
    }
}

// --- observations ---

auto Orders::tick() -> void
{
    if (!term_ || !node_.holdsLease())
        return;
    const auto now = clock_.now();
    if (adoptAt_ && now >= *adoptAt_)
        adoptEarlier();
    for (auto &[order, open] : open_)
        settleIfDone(order, open);
    for (auto item = polls_.begin(); item != polls_.end();) {
        auto &[endpoint, poll] = *item;
        const auto wanted = poll.audit || openByEndpoint_.contains(endpoint);
        if (wanted && !poll.inFlight && now >= poll.nextAt)
            pollStatus(endpoint, poll);
        const auto idle = !wanted && !poll.inFlight && now >= poll.auditAt;
        item = idle ? polls_.erase(item) : std::next(item);
    }
}

auto Orders::pollStatus(const EndpointId &endpoint, StatusPoll &poll) -> void
{
    const auto &rows = node_.tables().endpoints();
    const auto row = rows.find(endpoint);
    poll.audit = false;
    poll.nextAt = clock_.now() + pollInterval(endpoint);
    if (row == rows.end())
        return;
    const auto address = parseAddress(row->second.spec.address);
    if (!address.ok())
        return;
    poll.inFlight = true;
    port_.fetchStatus(*address,
                      [this, endpoint, askedAt = clock_.now(), listed = listedOn(endpoint),
                       term = *term_, alive = std::weak_ptr<int> { alive_ }](
                              const absl::StatusOr<proto::EndpointReport> &report) {
                          if (!alive.expired() && term_ == term)
                              onStatus(endpoint, askedAt, listed, report);
                      });
}

auto Orders::listedOn(const EndpointId &endpoint) const -> Listed
{
    auto listed = Listed {};
    const auto &replicas = node_.tables().replicas();
    for (const auto &[model, memory] : node_.tables().modelsOn(endpoint)) {
        listed.models.insert(model);
        const auto &row = replicas.at(state::ReplicaKey { model, endpoint });
        if (row.state == state::ReplicaState::Ready)
            listed.ready.emplace(model, row.order);
    }
    return listed;
}

auto Orders::pollInterval(const EndpointId &endpoint) const -> Duration
{
    const auto found = openByEndpoint_.find(endpoint);
    const auto working = found != openByEndpoint_.end()
            && std::any_of(found->second.begin(), found->second.end(), [this](OrderId order) {
                             return open_.at(order).machine.phase() != OrderPhase::InDoubt;
                         });
    return working ? options_.pollEvery : options_.pollInDoubtEvery;
}

auto Orders::onStatus(const EndpointId &endpoint, Instant askedAt, const Listed &listed,
                      const absl::StatusOr<proto::EndpointReport> &report) -> void
{
    auto &poll = polls_[endpoint];
    poll.inFlight = false;
    if (!report.ok() || report->spec.id != endpoint || !isCurrent(*report))
        return;
    observe(*report, askedAt);
    audit(*report, listed);
}

auto Orders::isCurrent(const proto::EndpointReport &report) const -> bool
{
    const auto &rows = node_.tables().endpoints();
    const auto row = rows.find(report.spec.id);
    return row != rows.end() && row->second.spec.incarnation == report.spec.incarnation;
}

auto Orders::observe(const proto::EndpointReport &report, Instant askedAt) -> void
{
    const auto found = openByEndpoint_.find(report.spec.id);
    if (found == openByEndpoint_.end())
        return;
    for (const auto order : std::set<OrderId> { found->second }) {
        auto &open = open_.at(order);
        open.machine.onObservation(observedOf(report, open.key.first), askedAt);
        settleIfDone(order, open);
    }
}

auto Orders::settleIfDone(OrderId order, OpenOrder &open) -> void
{
    const auto result = open.machine.result();
    if (!result || open.outcomeProposed || !node_.holdsLease())
        return;
    open.outcomeProposed = true;
    proposeOutcome(order, *result);
}

auto Orders::proposeOutcome(OrderId order, state::OrderResult result) -> void
{
    LogEvent(LogLevel::Info, "order_settled")
            .with("order", order)
            .with("result", resultName(result));
    node_.propose(state::OrderOutcome { order, result, wallMillis() },
                  [this, order](const absl::StatusOr<AppliedCommand> &done) {
                      const auto found = open_.find(order);
                      if (!done.ok() && found != open_.end())
                          found->second.outcomeProposed = false;
                      else if (done.ok() && !done->applied.status.ok())
                          closeOrder(order);
                  });
}

// --- reconciling endpoints with the tables ---

auto Orders::onReport(const proto::EndpointReport &report) -> void
{
    if (!term_ || !isCurrent(report))
        return;
    const auto listed = listedOn(report.spec.id);
    auto found = std::set<ModelId> {};
    for (const auto &replica : report.replicas)
        found.insert(replica.model);
    const auto unlisted = !std::includes(listed.models.begin(), listed.models.end(), found.begin(),
                                         found.end());
    const auto missing
            = std::any_of(listed.ready.begin(), listed.ready.end(),
                          [&found](const auto &item) { return !found.contains(item.first); });
    if (!unlisted && !missing) {
        unlistedMb_.erase(report.spec.id);
        return;
    }
    auto &poll = polls_[report.spec.id];
    if (clock_.now() < poll.auditAt)
        return;
    poll.audit = true;
    poll.auditAt = clock_.now() + options_.auditEvery;
}

auto Orders::audit(const proto::EndpointReport &report, const Listed &listed) -> void
{
    const auto &endpoint = report.spec.id;
    for (const auto &[model, order] : listed.ready) {
        const auto *row = node_.tables().findOrder(order);
        const auto stillReady = row && row->state == state::ReplicaState::Ready;
        if (!stillReady || observedOf(report, model) != Observed::Absent)
            continue;
        LogEvent(LogLevel::Warning, "replica_gone").with("endpoint", endpoint).with("model", model);
        proposeOutcome(order, state::OrderResult::Unloaded);
    }
    auto unlisted = false;
    for (const auto &replica : report.replicas) {
        if (listed.models.contains(replica.model)
            || node_.tables().modelsOn(endpoint).contains(replica.model))
            continue;
        unlisted = true;
        proposeAdoption(endpoint, replica);
    }
    const auto held = node_.tables().memoryHeldMb(endpoint);
    if (unlisted && report.usedMb > held)
        unlistedMb_[endpoint] = report.usedMb - held;
    else
        unlistedMb_.erase(endpoint);
}

auto Orders::proposeAdoption(const EndpointId &endpoint, const proto::ObservedReplica &found)
        -> void
{
    const auto key = state::ReplicaKey { found.model, endpoint };
    const auto &models = node_.tables().configuration().models;
    const auto model = models.find(found.model);
    const auto known = model != models.end() && model->second.version == found.version;
    if (!known || found.state == proto::ObservedState::Unloading || adopting_.contains(key))
        return;
    auto intent = state::OrderIntent {};
    intent.action = state::OrderAction::Load;
    intent.endpoint = endpoint;
    intent.incarnation = node_.tables().endpoints().at(endpoint).spec.incarnation;
    intent.model = found.model;
    intent.version = found.version;
    intent.fence = Fence { term_->value() };
    intent.at = wallMillis();
    intent.readyAt = intent.at;
    intent.reason = "found";
    adopting_.insert(key);
    LogEvent(LogLevel::Info, "replica_found").with("endpoint", endpoint).with("model", found.model);
    node_.propose(intent,
                  [this, key](const absl::StatusOr<AppliedCommand> &) { adopting_.erase(key); });
}

auto Orders::setOnFailure(std::function<void(const LoadFailure &)> listener) -> void
{
    onFailure_ = std::move(listener);
}

auto Orders::unlistedMb(const EndpointId &endpoint) const -> std::uint64_t
{
    const auto found = unlistedMb_.find(endpoint);
    return found == unlistedMb_.end() ? 0 : found->second;
}

auto Orders::wallMillis() const -> state::Millis
{
    return clock_.wallNow().time_since_epoch().count();
}

} // namespace figrack::control
