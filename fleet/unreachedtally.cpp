#include "fleet/unreachedtally.h"

#include <algorithm>

namespace figrack::fleet {

auto UnreachedTally::add(const proto::ModelWanted &report) -> void
{
    ++reports_;
    for (const auto &row : report.unreached) {
        auto &sum = rows_.try_emplace(row.endpoint, proto::UnreachedEndpoint { row.endpoint, 0, 0 })
                            .first->second;
        sum.failed += row.failed;
        sum.used += row.used;
    }
    for (const auto &load : report.loads) {
        const auto isListed
                = std::any_of(report.unreached.begin(), report.unreached.end(),
                              [&](const auto &row) { return row.endpoint == load.endpoint; });
        if (!isListed && load.running > 0)
            ++users_[load.endpoint];
    }
    for (const auto &group : report.unreachedGroups)
        ++groups_[group];
}

auto UnreachedTally::endpoints() const -> std::vector<proto::UnreachedEndpoint>
{
    auto result = std::vector<proto::UnreachedEndpoint> {};
    for (const auto &[id, row] : rows_) {
        const auto users = users_.find(id);
        auto sum = row;
        sum.used += users == users_.end() ? 0 : users->second;
        result.push_back(sum);
    }
    return result;
}

auto UnreachedTally::groups() const -> std::set<catalogue::EndpointGroup>
{
    auto result = std::set<catalogue::EndpointGroup> {};
    for (const auto &[group, count] : groups_) {
        if (count == reports_)
            result.insert(group);
    }
    return result;
}

} // namespace figrack::fleet
