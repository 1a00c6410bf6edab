// Decides whether an answer that only the end of its connection marks is whole.
//
// A process that is killed closes its connections in order, like one that has sent its last byte.
// What tells the two apart is an answer of the same process to a question that was sent after the
// end. A connection that is accepted proves nothing: a successor listens at the same address, and
// the kernel accepts for a process that is ending.

#include <algorithm>
#include <utility>

#include "gateway/forwarderrun.h"

namespace figrack::gateway {

namespace asio = boost::asio;

auto Forwarder::Run::isWhole(const http::ClientStream &stream) -> asio::awaitable<bool>
{
    if (stream.isDelimited())
        co_return true;
    // Other gateways mark the end of each answer.
    lastError_ = makeError(ErrorKind::EndpointFailed, "answer ends with its connection");
    co_return !isToGateway_ && co_await hasOutlivedEnd();
}

auto Forwarder::Run::hasOutlivedEnd() -> asio::awaitable<bool>
{
    const auto &services = routes_->catalogue().services;
    const auto service = std::find_if(services.begin(), services.end(),
                                      [this](const auto &item) { return item.id == service_; });
    const auto *entry = parts_.view.find(endpoint_);
    const auto isBackedOff = entry != nullptr && parts_.clock.now() < entry->backoffUntil;
    if (service == services.end() || service->healthTarget.empty() || isBackedOff)
        co_return false;
    const auto timeout = std::min(timeLeft(), owner_.options_.endProofTimeout);
    auto question = http::ClientRequest {};
    question.address = endpointAddress_;
    question.method = "GET";
    question.target = service->healthTarget;
    // An endpoint without a free slot rejects the question when the time that it names has passed,
    // and the rejection must still arrive in time.
    question.headers = parts_.dialect.writeHealthQuestion(endpoint_, timeout / 2);
    // Late bytes of another answer on a kept connection would count as the answer.
    question.freshConnection = true;
    question.canceller = canceller_;
    auto opened = co_await parts_.client.open(std::move(question), timeout);
    auto *answer = std::get_if<std::unique_ptr<http::ClientStream>>(&opened);
    if (answer == nullptr) {
        lastError_ = std::get<http::ClientError>(opened).status;
        co_return false;
    }
    const auto isOwn
            = parts_.dialect.isOwnAnswer(endpoint_, (*answer)->status(), (*answer)->headers());
    discard(std::move(*answer));
    co_return isOwn;
}

} // namespace figrack::gateway
