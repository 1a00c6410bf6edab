#include "gateway/handoffs.h"

#include <algorithm>
#include <utility>

namespace figrack::gateway {

namespace asio = boost::asio;

namespace {

/// Time until the controls are asked again if none has answered.
constexpr auto askAgainAfter = std::chrono::milliseconds { 200 };
/// Interval at which a request that waits for the first answer looks whether to ask again.
constexpr auto recheckInterval = std::chrono::milliseconds { 50 };

} // namespace

Handoffs::Handoffs(HandoffsOptions options, HandoffsParts parts)
    : options_(std::move(options))
    , parts_(std::move(parts))
    , targets_(options_.targets, parts_.clock, parts_.random)
    , client_(parts_.context, options_.client, parts_.clock)
    , self_(std::make_shared<Handoffs *>(this))
{ }

auto Handoffs::prepare() -> void
{
    const auto now = parts_.clock.now();
    if (!parts_.askControls || !targets_.isDue() || (askedAt_ && now - *askedAt_ < askAgainAfter))
        return;
    askedAt_ = now;
    parts_.askControls([weak = std::weak_ptr { self_ }](auto targets) {
        const auto self = weak.lock();
        if (!self)
            return;
        (*self)->targets_.onTargets(std::move(targets));
        (*self)->parts_.waiters.wakeAll();
    });
}

auto Handoffs::choose(std::set<catalogue::EndpointGroup> groups, std::set<NodeId> tried,
                      catalogue::HomeRule homes)
        -> asio::awaitable<std::optional<proto::HandoffTarget>>
{
    const auto limit = parts_.clock.now() + options_.awaitTargets;
    prepare();
    while (!targets_.isUsable() && parts_.clock.now() < limit) {
        co_await parts_.waiters.wait(
                std::min<Duration>(recheckInterval, limit - parts_.clock.now()));
        prepare();
    }
    co_return targets_.choose(groups, tried, homes);
}

auto Handoffs::requestTo(const proto::HandoffTarget &target,
                         const proto::HandedRequest &request) const -> http::ClientRequest
{
    auto sealed = proto::sealHandoff(request, *options_.keys);
    auto result = http::ClientRequest {};
    result.address = target.address;
    result.target = handoffPath;
    result.headers = { { std::string { handoffSealHeader }, std::move(sealed.seal) } };
    result.body = std::move(sealed.bytes);
    return result;
}

} // namespace figrack::gateway
