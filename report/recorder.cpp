// A mutex protects one pyramid of count slots. Times are monotonic and relative to the
// creation of the recorder, because a jump of the wall clock would move counts between
// windows. The instance id is the wall-clock time at which the recorder was created. It lets
// a collector distinguish a restarted router from its predecessor even if the collector was
// given a wrong incarnation.

#include "report/recorder.h"

#include <mutex>

#include "report/counts.h"
#include "report/pyramid.h"
#include "report/wire.h"

namespace figrack::report {

class Recorder::Impl
{
public:
    explicit Impl(const Clock &clock)
        : clock_(clock)
        , started_(clock.now())
        , instanceId_(static_cast<std::uint64_t>(clock.wallNow().time_since_epoch().count()))
    { }

    auto record(const RequestRecord &record) -> void
    {
        const auto lock = std::lock_guard { mutex_ };
        counts_.advance(now());
        counts_.at(counts_.now())->add(record);
    }

    auto encode(Duration window) -> std::string
    {
        const auto lock = std::lock_guard { mutex_ };
        counts_.advance(now());
        const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(window).count();
        return encodeCounts(instanceId_, millis, counts_);
    }

private:
    auto now() const -> Millis
    {
        const auto since = clock_.now() - started_;
        return std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
    }

    const Clock &clock_;
    const Instant started_;
    const std::uint64_t instanceId_;
    std::mutex mutex_; ///< Leaf lock: no other lock is acquired while it is held.
    Pyramid<CountSlot> counts_;
};

Recorder::Recorder(const Clock &clock)
    : impl_(std::make_unique<Impl>(clock))
{ }

Recorder::~Recorder() = default;

auto Recorder::record(const RequestRecord &record) -> void
{
    impl_->record(record);
}

auto Recorder::encode(Duration window) const -> std::string
{
    return impl_->encode(window);
}

} // namespace figrack::report
