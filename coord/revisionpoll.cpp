#include "coord/revisionpoll.h"

#include <algorithm>
#include <vector>

namespace figrack::coord {

auto RevisionPoll::begin() -> RevisionQuery
{
    sets_.clear();
    return { ++round_ };
}

auto RevisionPoll::onReply(const RevisionReply &reply) -> void
{
    if (reply.round != round_ || reply.voters == 0)
        return;
    auto &answers = sets_[reply.voterSet];
    answers.voters = reply.voters;
    answers.required[reply.voter] = reply.required;
}

auto RevisionPoll::required() const -> std::optional<Revision>
{
    auto result = std::optional<Revision> {};
    for (const auto &[fingerprint, answers] : sets_) {
        const auto others = answers.voters / 2; // Beside the last one of a majority.
        if (answers.required.size() <= others)
            continue;
        auto revisions = std::vector<Revision> {};
        for (const auto &[voter, revision] : answers.required)
            revisions.push_back(revision);
        std::sort(revisions.begin(), revisions.end());
        const auto least = revisions[others];
        result = result ? std::min(*result, least) : least;
    }
    return result;
}

auto RevisionPoll::isComplete() const -> bool
{
    return std::any_of(sets_.begin(), sets_.end(), [](const auto &item) {
        return item.second.required.size() >= item.second.voters;
    });
}

} // namespace figrack::coord
