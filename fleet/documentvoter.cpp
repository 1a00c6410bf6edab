#include "fleet/documentvoter.h"

#include <utility>

#include "fleet/configlog.h"

namespace figrack::fleet {

DocumentVoter::DocumentVoter(NodeId self)
    : self_(std::move(self))
    , grantor_(self_)
{ }

auto DocumentVoter::onStored(const coord::Entry &entry, bool stored) -> void
{
    if (!stored) {
        grantor_.onTruncated(entry.index);
        return;
    }
    // An entry that cannot be decoded is never applied either.
    if (const auto version = ConfigLog::versionOf(entry))
        grantor_.onStored(entry.index, *version);
}

auto DocumentVoter::onApplied(LogIndex index, Revision version) -> void
{
    grantor_.onApplied(index, version);
}

auto DocumentVoter::onRecovered() -> void
{
    grantor_.onRecovered();
}

auto DocumentVoter::answer(const coord::RevisionQuery &query,
                           const coord::Membership &membership) const -> coord::RevisionReply
{
    return grantor_.answer(query, coord::voterSetOf(membership, self_));
}

} // namespace figrack::fleet
