#include "fleet/documentproof.h"

#include <utility>

#include "core/log.h"

namespace figrack::fleet {

DocumentProof::DocumentProof(DocumentProofOptions options, const Clock &clock)
    : options_(options)
    , clock_(clock)
    , begunAt_(clock.now() - options.roundEvery)
{ }

auto DocumentProof::ask(proto::PeerPointer gateway, std::uint64_t correlation) -> void
{
    waiting_.push_back({ std::move(gateway), correlation });
}

auto DocumentProof::nextQuery() -> std::optional<coord::RevisionQuery>
{
    const auto now = clock_.now();
    if (!asking_.empty()) {
        if (poll_.required() || now - queriedAt_ < options_.retryInterval)
            return std::nullopt;
        queriedAt_ = now;
        return poll_.query();
    }
    if (waiting_.empty() || now - begunAt_ < options_.roundEvery)
        return std::nullopt;
    begunAt_ = queriedAt_ = now;
    asking_ = std::exchange(waiting_, {});
    return poll_.begin();
}

auto DocumentProof::onReply(const coord::RevisionReply &reply, Revision newest) -> void
{
    poll_.onReply(reply);
    settle(newest);
}

auto DocumentProof::settle(Revision newest) -> void
{
    if (asking_.empty())
        return;
    const auto passed = clock_.now() - begunAt_;
    const auto required = poll_.required();
    if (required
        && (*required <= newest || poll_.isComplete() || passed >= options_.lateVoterWait)) {
        end(*required);
    } else if (passed >= options_.giveUpAfter) {
        LogEvent(LogLevel::Warning, "document_not_proved")
                .with("questions", static_cast<std::uint64_t>(asking_.size()))
                .with("newest", newest);
        end(Revision {});
    }
}

auto DocumentProof::end(Revision demanded) -> void
{
    for (const auto &question : std::exchange(asking_, {}))
        question.gateway->send({ question.correlation, proto::DocumentProofReply { demanded } });
}

} // namespace figrack::fleet
