// Counts the bytes that a thread asks for, so that a test can show a bound on them.

#ifndef FIGRACK_PROTO_TESTING_ALLOCATIONS_H
#define FIGRACK_PROTO_TESTING_ALLOCATIONS_H

#include <cstddef>

namespace figrack {

/// @return the bytes that this thread has asked for with new since it began; never falls
auto allocatedBytes() -> std::size_t;

} // namespace figrack

#endif // FIGRACK_PROTO_TESTING_ALLOCATIONS_H
