#include "fleet/readload.h"

#include <algorithm>
#include <cmath>

#include "core/duration.h"

namespace figrack::fleet {
namespace {

/// The first reports cover about this time; with less, one request would look like a high rate.
constexpr auto shortestSpan = std::chrono::milliseconds { 700 };
/// Windows without a report after which a model is forgotten.
constexpr auto windowsKept = 5;

} // namespace

ReadLoads::ReadLoads(Duration window)
    : window_(window)
{ }

auto ReadLoads::add(const Key &key, const proto::WantedRow &row, Instant now) -> void
{
    const auto [found, isNew] = entries_.try_emplace(key);
    auto &entry = found->second;
    if (isNew)
        entry.since = now;
    const auto kept = isNew ? 0 : decay(now - entry.at);
    entry.requests = entry.requests * kept + row.arrived;
    entry.tokens = entry.tokens * kept + static_cast<double>(row.readTokens);
    entry.at = now;
    const auto target = Duration { std::chrono::milliseconds { row.startTargetMs } };
    if (isNew || target <= entry.startTarget || now - entry.targetAt > window_) {
        entry.startTarget = target;
        entry.targetAt = now;
    }
}

auto ReadLoads::of(const ServiceId &service, Instant now) const -> std::map<ModelId, ReadLoad>
{
    auto result = std::map<ModelId, ReadLoad> {};
    for (auto item = entries_.lower_bound({ service, {} });
         item != entries_.end() && item->first.first == service; ++item) {
        const auto &entry = item->second;
        const auto span = now - entry.since + shortestSpan;
        const auto weight = inSeconds(window_) * (1 - decay(span));
        const auto kept = decay(now - entry.at);
        result[item->first.second] = { entry.requests * kept / weight, entry.tokens * kept / weight,
                                       entry.startTarget };
    }
    return result;
}

auto ReadLoads::forgetOld(Instant now) -> void
{
    std::erase_if(entries_,
                  [&](const auto &item) { return now - item.second.at > windowsKept * window_; });
}

auto ReadLoads::decay(Duration age) const -> double
{
    return std::exp(-inSeconds(age) / inSeconds(window_));
}

} // namespace figrack::fleet
