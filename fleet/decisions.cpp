#include "fleet/decisions.h"

#include <algorithm>
#include <utility>

#include "core/log.h"

namespace figrack::fleet {

Decisions::Decisions(DecisionOptions options, const Clock &clock, LastKnownStore &store,
                     Metrics &metrics)
    : options_(options)
    , clock_(clock)
    , store_(store)
    , rollout_(clock, metrics)
{
    log_.setOnApplied([this](LogIndex index, Term term) {
        if (onApplied_)
            onApplied_(index, log_.document().version);
        proposals_.onApplied(index, term);
    });
    log_.setOnRestored([this](LogIndex index) {
        if (onRestored_)
            onRestored_();
        if (onApplied_)
            onApplied_(index, log_.document().version);
    });
}

auto Decisions::recall() -> void
{
    recalledDocument_ = store_.loadDocument();
    recalledEvacuations_ = store_.loadEvacuations();
    saved_ = { recalledDocument_.version, recalledEvacuations_.revision };
    LogEvent(LogLevel::Info, "recalled")
            .with("document", saved_.document)
            .with("evacuations", saved_.evacuations);
}

auto Decisions::setOnApplied(OnApplied listener) -> void
{
    onApplied_ = std::move(listener);
}

auto Decisions::setOnReserved(std::function<void(const RetryReservation &, Term)> onReserved,
                              std::function<void()> onRestored) -> void
{
    log_.setOnReserved(std::move(onReserved));
    onRestored_ = std::move(onRestored);
}

auto Decisions::setReplica(coord::Replica *replica) -> void
{
    replica_ = replica;
    if (replica != nullptr)
        return;
    proposals_.settle({}, clock_.now());
    // The next replica applies the whole log again, and evacuations depend on the order of entries.
    recalledDocument_ = newestDocument();
    recalledEvacuations_ = newestEvacuations();
    log_.reset();
}

auto Decisions::newestDocument() const -> const Document &
{
    return log_.document().version >= recalledDocument_.version ? log_.document()
                                                                : recalledDocument_;
}

auto Decisions::newestEvacuations() const -> const catalogue::Evacuations &
{
    return log_.evacuations().revision >= recalledEvacuations_.revision ? log_.evacuations()
                                                                        : recalledEvacuations_;
}

auto Decisions::propose(const Document &document, Done done) -> void
{
    const auto target = proto::InForce { document.version, {} };
    if (document.version <= log_.document().version)
        awaitRollout(target, clock_.now() + options_.proposalTimeout, std::move(done));
    else
        proposeForGateways(
                ConfigLog::encode(document), [target] { return target; }, std::move(done));
}

/// The change is proposed even where the domain is evacuated already: an opposite change may be in
/// the log that is not applied yet.
auto Decisions::changeEvacuation(const catalogue::EvacuationChange &change, Done done) -> void
{
    const auto target = [this] {
        auto inForce = proto::InForce {};
        inForce.evacuations = newestEvacuations().revision;
        return inForce;
    };
    proposeForGateways(ConfigLog::encode(change), target, std::move(done));
}

auto Decisions::reserveRetries(const RetryReservation &reservation, Done done) -> void
{
    proposeCommand(ConfigLog::encode(reservation), std::move(done));
}

auto Decisions::proposeCommand(const std::string &command, Done onCommitted) -> void
{
    const auto term = replica_->status().term;
    const auto index = replica_->propose(command);
    if (!index.ok()) {
        onCommitted(index.status());
        return;
    }
    proposals_.add(*index, term, clock_.now() + options_.proposalTimeout, std::move(onCommitted));
    replica_->flush();
}

/// @param target returns what gateways must have in force once the command is committed
auto Decisions::proposeForGateways(const std::string &command,
                                   std::function<proto::InForce()> target, Done done) -> void
{
    const auto deadline = clock_.now() + options_.proposalTimeout;
    auto onCommitted = [this, target = std::move(target), deadline,
                        done = std::move(done)](absl::Status status) {
        if (status.ok())
            awaitRollout(target(), deadline, done);
        else
            done(std::move(status));
    };
    proposeCommand(command, std::move(onCommitted));
}

/// Gives gateways time to apply the change, because an operator's next step may rely on it.
auto Decisions::awaitRollout(const proto::InForce &target, Instant deadline, Done done) -> void
{
    const auto rolloutDeadline = std::min(deadline, clock_.now() + options_.rolloutTimeout);
    rollout_.await(target, rolloutDeadline, [done = std::move(done)] { done(absl::OkStatus()); });
}

auto Decisions::settle(const coord::ReplicaStatus &status) -> void
{
    proposals_.settle(status, clock_.now());
    save();
}

auto Decisions::save() -> void
{
    if (log_.document().version > saved_.document) {
        saved_.document = log_.document().version;
        store_.save(log_.document());
    }
    if (log_.evacuations().revision > saved_.evacuations) {
        saved_.evacuations = log_.evacuations().revision;
        store_.save(log_.evacuations());
    }
}

} // namespace figrack::fleet
