#include "gateway/controlorigins.h"

#include <algorithm>
#include <memory>
#include <set>
#include <string>
#include <utility>

#include "core/hash.h"

namespace figrack::gateway {
namespace {

constexpr auto keepers = std::size_t { 2 };
constexpr auto asked = std::size_t { 3 };
/// Controls that must say that no version is missing: one alone may have stood still.
constexpr auto confirming = std::size_t { 2 };

/// Answers of the controls that have been asked.
struct Question
{
    ControlOrigins::Done done;
    std::size_t toConfirm = confirming;
    std::size_t pending = 0;
    bool isAnyMissing = false;
    std::size_t confirmed = 0;
    std::set<std::string> versions = {};

    auto onReply(const absl::StatusOr<proto::Payload> &reply) -> void
    {
        const auto *answer = reply.ok() ? std::get_if<proto::StreamOriginReply>(&*reply) : nullptr;
        if (answer != nullptr)
            add(*answer);
        isAnyMissing = isAnyMissing || answer == nullptr;
        endOne();
    }
    auto add(const proto::StreamOriginReply &answer) -> void
    {
        if (answer.origin)
            end({ .origin = answer.origin });
        versions.insert(answer.versions.begin(), answer.versions.end());
        confirmed += answer.isComplete ? 1 : 0;
    }
    auto endOne() -> void
    {
        if (--pending != 0)
            return;
        const auto isComplete = confirmed >= toConfirm;
        end({ std::nullopt, isAnyMissing, std::move(versions), isComplete });
    }
    auto end(const ControlAnswer &answer) -> void
    {
        if (auto call = std::exchange(done, {}))
            call(answer);
    }
};

} // namespace

ControlOrigins::ControlOrigins(ControlOriginsOptions options, ControlOriginsParts parts)
    : options_(options)
    , parts_(std::move(parts))
    , timer_(parts_.context)
    , life_(std::make_shared<const char>())
{ }

auto ControlOrigins::tell(const proto::BegunStream &stream) -> void
{
    for (const auto &control : controlsOf(stream.key, keepers)) {
        if (waiting_ >= options_.maxWaiting) {
            parts_.metrics.onOriginTellsFailed(1);
            continue;
        }
        outboxes_[control].push_back(stream);
        ++waiting_;
    }
    scheduleFlush();
}

auto ControlOrigins::ask(const proto::StreamKey &key, Duration timeout, Done done) -> void
{
    const auto question = std::make_shared<Question>();
    question->done = std::move(done);
    question->pending = 1; // This function's own, so that no early answer ends the question.
    question->isAnyMissing = !parts_.areAllConnected();
    question->toConfirm = std::clamp(parts_.controls().size(), std::size_t { 1 }, confirming);
    for (const auto &control : controlsOf(key, asked)) {
        auto query = proto::StreamOriginQuery { key, parts_.random.bits() };
        const auto isSent
                = parts_.call(control, std::move(query), timeout,
                              [question](const auto &reply) { question->onReply(reply); });
        question->pending += isSent ? 1 : 0;
    }
    question->endOne();
}

auto ControlOrigins::controlsOf(const proto::StreamKey &key, std::size_t count) const
        -> std::vector<NodeId>
{
    const auto hash = rendezvousWeight(rendezvousWeight(0, key.service.value()), key.attempt);
    auto ranking = parts_.controls();
    std::sort(ranking.begin(), ranking.end(), [hash](const NodeId &one, const NodeId &other) {
        return rendezvousWeight(hash, one.value()) > rendezvousWeight(hash, other.value());
    });
    ranking.resize(std::min(ranking.size(), count));
    return ranking;
}

auto ControlOrigins::scheduleFlush() -> void
{
    if (outboxes_.empty() || std::exchange(isScheduled_, true))
        return;
    const auto spacing = parts_.gateways() * options_.batchSpacing;
    timer_.expires_after(std::max<Duration>(options_.batchEvery, spacing));
    timer_.async_wait([this, life = std::weak_ptr<const char> { life_ }](
                              const boost::system::error_code &error) {
        if (error || life.expired())
            return;
        isScheduled_ = false;
        flush();
    });
}

auto ControlOrigins::flush() -> void
{
    for (auto &[control, streams] : std::exchange(outboxes_, {})) {
        auto rest = std::vector<proto::BegunStream> {};
        if (streams.size() > proto::maxBegunStreams) {
            const auto end = streams.begin() + proto::maxBegunStreams;
            rest.assign(std::make_move_iterator(end), std::make_move_iterator(streams.end()));
            streams.erase(end, streams.end());
        }
        const auto count = streams.size();
        waiting_ -= count;
        if (parts_.push(control, proto::BegunStreams { std::move(streams) }))
            parts_.metrics.onOriginsTold(count);
        else
            parts_.metrics.onOriginTellsFailed(count);
        if (!rest.empty())
            outboxes_[control] = std::move(rest);
    }
    scheduleFlush();
}

} // namespace figrack::gateway
