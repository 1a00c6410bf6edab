// The weight store: reads at full speed up to a number at once, shared beyond it.
//
//   store.start(key, workMillis, now);
//   auto next = store.nextEnd();        // of the read that ends first
//   auto ended = store.takeEnded(now);

#ifndef FIGRACK_BENCH_POLICYSIMSTORE_H
#define FIGRACK_BENCH_POLICYSIMSTORE_H

#include <map>
#include <optional>
#include <vector>

#include "policy/tables.h"

namespace figrack::bench {

using policy::Millis;

class SimStore
{
public:
    using Key = std::uint64_t;
    explicit SimStore(std::uint32_t concurrency)
        : concurrency_(concurrency)
    { }
    /// @param work ms the read takes at full speed
    auto start(Key key, double work, Millis now) -> void;
    auto cancel(Key key, Millis now) -> void;
    /// @param factor 10: every read takes ten times as long
    auto setSlowness(double factor, Millis now) -> void;
    auto nextEnd() const -> std::optional<Millis>;
    auto takeEnded(Millis now) -> std::vector<Key>;

private:
    auto advance(Millis now) -> void;
    auto speed() const -> double;

    std::uint32_t concurrency_;
    double slowness_ = 1.0;
    Millis at_ = 0;
    std::map<Key, double> left_;
};

} // namespace figrack::bench

#endif // FIGRACK_BENCH_POLICYSIMSTORE_H
