// Processor sharing: what is left of every read shrinks at the common speed.

#include "bench/policysimstore.h"

#include <algorithm>
#include <cmath>

namespace figrack::bench {

namespace {
constexpr auto done = 1e-6;
}

auto SimStore::speed() const -> double
{
    if (left_.empty())
        return 1.0;
    const auto share = static_cast<double>(concurrency_) / static_cast<double>(left_.size());
    return std::min(1.0, share) / slowness_;
}

auto SimStore::advance(Millis now) -> void
{
    const auto work = speed() * static_cast<double>(now - at_);
    for (auto &[key, left] : left_)
        left -= work;
    at_ = now;
}

auto SimStore::start(Key key, double work, Millis now) -> void
{
    advance(now);
    left_[key] = work;
}

auto SimStore::cancel(Key key, Millis now) -> void
{
    advance(now);
    left_.erase(key);
}

auto SimStore::setSlowness(double factor, Millis now) -> void
{
    advance(now);
    slowness_ = factor;
}

auto SimStore::nextEnd() const -> std::optional<Millis>
{
    if (left_.empty())
        return std::nullopt;
    const auto least
            = std::min_element(left_.begin(), left_.end(),
                               [](const auto &a, const auto &b) { return a.second < b.second; });
    const auto wait = std::ceil(std::max(least->second, 0.0) / speed());
    return at_ + static_cast<Millis>(wait);
}

auto SimStore::takeEnded(Millis now) -> std::vector<Key>
{
    advance(now);
    auto ended = std::vector<Key> {};
    for (auto it = left_.begin(); it != left_.end();) {
        if (it->second > done) {
            ++it;
            continue;
        }
        ended.push_back(it->first);
        it = left_.erase(it);
    }
    return ended;
}

} // namespace figrack::bench
