// Goodput beyond saturation: the admission queue against two plain queues that refuse at
// the deadline, in virtual time. One key=value line a queue, load and class.

#include <array>
#include <cstdio>

#include "policy/testing/overload.h"

namespace {

using namespace figrack::policy::testing;

constexpr auto seed = std::uint64_t { 20261 };

auto perCent(std::uint64_t part, std::uint64_t whole) -> double
{
    return whole == 0 ? 0 : 100.0 * static_cast<double>(part) / static_cast<double>(whole);
}

auto printRun(QueueKind kind, const char *name, double load, std::size_t routers) -> void
{
    auto options = OverloadOptions {};
    options.load = load;
    options.kind = kind;
    options.routers = routers;
    const auto result = runOverload(options, seed);
    std::printf("queue=%s routers=%zu load=%.1f goodput_percent_of_capacity=%.1f", name, routers,
                load, 100 * result.goodput());
    for (auto i = std::size_t { 0 }; i < workClasses.size(); ++i) {
        const auto &one = result.classes[i];
        const auto held = one.refusals == 0
                ? 0.0
                : static_cast<double>(one.heldMs) / static_cast<double>(one.refusals);
        std::printf(" %s_served_percent=%.1f %s_refusals=%llu %s_held_mean_ms=%.0f "
                    "%s_returned_served_percent=%.1f",
                    workClasses[i].name, perCent(one.served, one.offered), workClasses[i].name,
                    static_cast<unsigned long long>(one.refusals), workClasses[i].name, held,
                    workClasses[i].name, perCent(one.returnedServed, one.returned));
    }
    std::printf("\n");
}

} // namespace

auto main() -> int
{
    for (const auto load : std::array { 0.5, 1.0, 1.5, 2.0, 3.0, 4.0 }) {
        for (const auto routers : { std::size_t { 1 }, std::size_t { 4 }, std::size_t { 16 } })
            printRun(QueueKind::Admission, "admission", load, routers);
        printRun(QueueKind::Fifo, "fifo", load, 1);
        printRun(QueueKind::Deadline, "deadline", load, 1);
    }
    return 0;
}
