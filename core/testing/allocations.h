// Counts the bytes that a test program asks for, so that a test can show a bound on them.

#ifndef FIGRACK_CORE_TESTING_ALLOCATIONS_H
#define FIGRACK_CORE_TESTING_ALLOCATIONS_H

#include <cstddef>

namespace figrack {

/// @return the bytes that this thread has asked for with new since it began; never falls
auto allocatedBytes() -> std::size_t;
/// @return the most bytes that any thread has asked for at once since resetLargestAllocation()
auto largestAllocation() -> std::size_t;
auto resetLargestAllocation() -> void;

} // namespace figrack

#endif // FIGRACK_CORE_TESTING_ALLOCATIONS_H
