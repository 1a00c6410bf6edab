// One long seeded run of a group under faults, with operators at work.
//
//   auto result = runChaos(seed, {});
//   if (!result.violation.empty()) ...   // and the same seed shows it again
//
// Faults come two at once and the same twice; members are added, promoted,
// removed and replaced throughout, by operators that race; disks are lost as
// often as the group has said that it can bear it. At the end everything is
// mended and the group must come back to work.

#ifndef FIGRACK_COORD_TESTING_CHAOS_H
#define FIGRACK_COORD_TESTING_CHAOS_H

#include <cstdint>
#include <string>

#include "core/clock.h"

namespace figrack::coord::testing {

struct ChaosOptions
{
    Duration length = std::chrono::seconds { 20 };
    bool membershipChanges = true;
    double lyingDisks = 0.0;
    bool oldCopies = false; ///< Lost disks come back as old copies, against the operators' rule.
};

struct ChaosResult
{
    std::string violation; ///< Empty when every invariant held.
    std::uint64_t steps = 0;
    std::uint64_t committed = 0;
    std::uint64_t wipes = 0;
    std::uint64_t oldCopies = 0;
    std::uint64_t noticed = 0; ///< Old copies that made their replica stop.
    std::uint64_t changes = 0; ///< Membership changes begun.
};

auto runChaos(std::uint64_t seed, const ChaosOptions &options) -> ChaosResult;

} // namespace figrack::coord::testing

#endif // FIGRACK_COORD_TESTING_CHAOS_H
