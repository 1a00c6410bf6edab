// Leading begins when the lease of a term is first held and ends with the term or the role.
// If the lease lapses and is renewed within a term, the orders in flight are aborted, which
// leaves them in doubt; nothing else changes.

#include "control/control.h"

#include <utility>

#include "core/log.h"

namespace figrack::control {

Control::Control(ControlOptions options, const Clock &clock, coord::Transport &transport,
                 coord::LogStore &store, Random &random, OrderPort &port, Defer defer)
    : options_(std::move(options))
    , clock_(clock)
    , port_(port)
    , node_(options_.node, clock, transport, store, random, std::move(defer))
    , feed_(options_.feed, node_)
    , routers_(options_.routers, clock, node_)
    , endpoints_(options_.endpoints, clock, node_)
    , claims_(options_.claims, clock, node_)
    , orders_(options_.orders, clock, node_, port)
    , scheduler_(options_.scheduler, clock, node_, endpoints_, orders_)
    , reports_(options_.reports, clock, node_, scheduler_)
{
    node_.setOnApplied([this](const AppliedCommand &applied) { onApplied(applied); });
    node_.setOnRestored([this] {
        routers_.onRestored();
        endpoints_.onRestored();
    });
    endpoints_.setOnReport([this](const proto::EndpointReport &report) {
        orders_.onReport(report);
        scheduler_.onReport(report);
    });
    orders_.setOnFailure([this](const LoadFailure &failure) { scheduler_.onFailure(failure); });
}

auto Control::start() -> absl::Status
{
    return node_.start();
}

auto Control::tick() -> void
{
    node_.tick();
    checkLeadership();
    routers_.tick();
    endpoints_.tick();
    if (leadingTerm_) {
        claims_.tick();
        orders_.tick();
        scheduler_.tick();
        if (reports_.isPullDue())
            reports_.pull(routerPeers());
        reports_.tick();
        pushDigest();
    }
    feed_.pump();
}

// --- leadership ---

auto Control::checkLeadership() -> void
{
    const auto status = node_.status();
    const auto leads = status.role == coord::Role::Leader;
    if (leadingTerm_ && (!leads || *leadingTerm_ != status.term))
        endLeading();
    const auto held = leads && node_.holdsLease();
    if (!leadingTerm_ && held)
        beginLeading(status.term);
    if (leadingTerm_ && leaseHeld_ && !held) {
        LogEvent(LogLevel::Warning, "lease_lapsed").with("term", status.term);
        port_.abortAll();
    }
    leaseHeld_ = leadingTerm_ && held;
}

auto Control::beginLeading(Term term) -> void
{
    LogEvent(LogLevel::Info, "leading").with("term", term);
    leadingTerm_ = term;
    orders_.onLeading(term);
    scheduler_.onLeading(term);
    reports_.onLeading();
    routers_.onLeading();
    endpoints_.onLeading();
    nextDigestAt_ = clock_.now();
    for (const auto &peer : routerPeers())
        (void)peer->send({ 0, endpoints_.fullDigest() });
}

auto Control::endLeading() -> void
{
    LogEvent(LogLevel::Info, "not_leading").with("term", *leadingTerm_);
    leadingTerm_.reset();
    orders_.onNotLeading();
    scheduler_.onNotLeading();
    reports_.onNotLeading();
    routers_.onNotLeading();
    endpoints_.onNotLeading();
}

auto Control::onApplied(const AppliedCommand &applied) -> void
{
    // The applied command may belong to a term that has already ended.
    checkLeadership();
    routers_.onApplied(applied);
    endpoints_.onApplied(applied);
    orders_.onApplied(applied);
    scheduler_.onApplied(applied);
}

// --- the internal protocol ---

auto Control::onOpen(const proto::PeerPointer &peer) -> void
{
    peers_[peer.get()] = peer;
    if (leadingTerm_ && !isControl(peer->peer()))
        (void)peer->send({ 0, endpoints_.fullDigest() });
}

auto Control::onClose(const proto::PeerPointer &peer) -> void
{
    peers_.erase(peer.get());
    feed_.onClose(peer);
}

struct Control::Dispatch
{
    Control &control;
    Caller caller;

    auto operator()(const coord::Message &message) const -> void
    {
        if (message.from == caller.peer->peer())
            control.node_.receive(message);
    }
    auto operator()(const proto::JoinRequest &request) const -> void
    {
        control.routers_.onJoin(caller, request);
    }
    auto operator()(const proto::DrainNotice &notice) const -> void
    {
        control.routers_.onDrain(caller, notice);
    }
    auto operator()(const proto::FeedRequest &request) const -> void
    {
        control.feed_.onRequest(caller.peer, caller.correlation, request);
    }
    auto operator()(const coord::RenewRequest &request) const -> void
    {
        control.routers_.onRenew(caller, request);
    }
    auto operator()(const proto::DemandReport &report) const -> void
    {
        control.routers_.onActivity(report.router, report.incarnation, report.appliedRevision);
        control.scheduler_.onDemand(report);
        control.scheduler_.tick();
    }
    auto operator()(const proto::EndpointReport &report) const -> void
    {
        control.endpoints_.onReport(report);
    }
    auto operator()(const proto::ClaimRequest &request) const -> void
    {
        control.claims_.onRequest(caller, request);
    }
    auto operator()(const proto::ReportReply &reply) const -> void
    {
        control.reports_.onReply(caller.peer->peer(), reply);
    }
    auto operator()(const proto::ClaimEnd &end) const -> void
    {
        control.claims_.onEnd(caller, end);
    }
    template<typename Other>
    auto operator()(const Other &) const -> void
    {
        caller.fail(makeError(ErrorKind::BadRequest, "not a message for a control"));
    }
};

auto Control::onMessage(const proto::PeerPointer &peer, proto::Envelope envelope) -> void
{
    std::visit(Dispatch { *this, Caller { peer, envelope.correlation } }, envelope.payload);
    checkLeadership();
    feed_.pump();
}

auto Control::isControl(const NodeId &node) const -> bool
{
    return node == node_.self() || node_.status().membership.find(node) != nullptr;
}

auto Control::routerPeers() const -> std::vector<proto::PeerPointer>
{
    const auto membership = node_.status().membership;
    auto result = std::vector<proto::PeerPointer> {};
    for (const auto &[key, peer] : peers_) {
        if (membership.find(peer->peer()) == nullptr)
            result.push_back(peer);
    }
    return result;
}

auto Control::pushDigest() -> void
{
    if (clock_.now() < nextDigestAt_)
        return;
    nextDigestAt_ = clock_.now() + options_.digestEvery;
    const auto digest = endpoints_.takeDigest();
    if (digest.rows.empty())
        return;
    for (const auto &peer : routerPeers())
        (void)peer->send({ 0, digest });
}

// --- operator calls ---

auto Control::changeConfiguration(const state::ConfigChange &change, const ChangeDone &done) -> void
{
    if (!node_.holdsLease()) {
        done(makeError(ErrorKind::NotLeader, "control=" + node_.self().value()), {});
        return;
    }
    auto command = change;
    command.at = clock_.wallNow().time_since_epoch().count();
    node_.propose(command, [this, done](const absl::StatusOr<AppliedCommand> &result) {
        if (!result.ok()) {
            done(result.status(), {});
            return;
        }
        const auto &applied = result->applied;
        const auto revision = applied.change ? applied.change->revision
                                             : node_.tables().configuration().revision;
        if (!applied.status.ok()) {
            done(applied.status, revision);
            return;
        }
        routers_.whenAccepted(
                revision, [done, revision](const absl::Status &status) { done(status, revision); });
    });
}

auto Control::proposeThen(const state::Command &command, const Done &done) -> void
{
    if (!node_.holdsLease()) {
        done(makeError(ErrorKind::NotLeader, "control=" + node_.self().value()));
        return;
    }
    node_.propose(command, [done](const absl::StatusOr<AppliedCommand> &result) {
        done(result.ok() ? result->applied.status : result.status());
    });
}

auto Control::drainEndpoint(const EndpointId &endpoint, bool draining, const Done &done) -> void
{
    const auto at = clock_.wallNow().time_since_epoch().count();
    proposeThen(state::DrainEndpoint { endpoint, draining, at }, done);
}

auto Control::drainRouter(const NodeId &router, bool draining, const Done &done) -> void
{
    const auto &rows = node_.tables().routers();
    const auto row = rows.find(router);
    if (row == rows.end()) {
        done(makeError(ErrorKind::UnknownNode, "router=" + router.value()));
        return;
    }
    const auto at = clock_.wallNow().time_since_epoch().count();
    proposeThen(state::DrainRouter { router, row->second.registered.incarnation, draining, at },
                done);
}

auto Control::makeReport(Duration window, report::ReportFormat format,
                         std::function<void(std::string)> done) -> void
{
    reports_.refresh(routerPeers(), [this, window, format, done = std::move(done)] {
        done(reports_.render(window, format));
    });
}

auto Control::addMember(const coord::Member &member, const Done &done) -> void
{
    done(node_.addLearner(member).status());
}

auto Control::promoteMember(const NodeId &node, const Done &done) -> void
{
    done(node_.promote(node).status());
}

auto Control::removeMember(const NodeId &node, const Done &done) -> void
{
    done(node_.remove(node).status());
}

} // namespace figrack::control
