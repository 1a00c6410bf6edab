// A seeded source of random numbers, passed through constructors.
//
// The same seed gives the same sequence on every machine: only the engine's
// raw output is used, since the standard's distributions differ by library.

#ifndef FIGRACK_CORE_RANDOM_H
#define FIGRACK_CORE_RANDOM_H

#include <cstdint>
#include <random>

namespace figrack {

/// Not safe for use by two threads at once.
class Random
{
public:
    explicit Random(std::uint64_t seed)
        : engine_(seed)
    { }

    /// @return a number below bound, or 0 when bound is 0
    auto below(std::uint64_t bound) -> std::uint64_t { return bound == 0 ? 0 : engine_() % bound; }
    /// @return a number in [0, 1)
    auto unit() -> double { return static_cast<double>(engine_() >> 11) * 0x1.0p-53; }
    /// @return true with the given probability
    auto chance(double probability) -> bool { return unit() < probability; }
    /// @return 64 random bits
    auto bits() -> std::uint64_t { return engine_(); }

private:
    std::mt19937_64 engine_;
};

} // namespace figrack

#endif // FIGRACK_CORE_RANDOM_H
