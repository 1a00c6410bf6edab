#include "gateway/dispatchend.h"

#include <array>

namespace figrack::gateway {
namespace {

constexpr auto dispatchEndNames = std::array<std::string_view, 10> {
    "settled",    "not_sent", "withheld",   "rejected", "declined",
    "unanswered", "unsigned", "broken_off", "failed",   "interrupted",
};

} // namespace

auto dispatchEndName(DispatchEnd end) -> std::string_view
{
    return dispatchEndNames[static_cast<std::size_t>(end) % dispatchEndNames.size()];
}

auto provesNotRun(DispatchEnd end) -> bool
{
    return end == DispatchEnd::NotSent || end == DispatchEnd::Withheld
            || end == DispatchEnd::Rejected || end == DispatchEnd::Declined;
}

} // namespace figrack::gateway
