// Fakes for the dispatcher's interfaces: an engine that follows a script, a
// caller's connection that records what it receives, and a leader that gives
// configured answers.

#ifndef FIGRACK_ROUTER_TESTING_FAKES_H
#define FIGRACK_ROUTER_TESTING_FAKES_H

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "core/error.h"
#include "http/client.h"
#include "http/server.h"
#include "proto/messages.h"

namespace figrack::router {

namespace asio = boost::asio;

/// Runs handlers until done() returns true. When no handler is ready, calls `idle`, which advances
/// virtual time.
/// @return false if done() is still false after 20000 rounds
template<typename Done, typename Idle>
auto runUntil(asio::io_context &context, Done done, Idle idle) -> bool
{
    constexpr auto maxRounds = 20000;
    for (auto round = 0; round < maxRounds && !done(); ++round) {
        context.restart();
        if (context.poll() == 0)
            idle();
    }
    return done();
}

/// The engine's behavior towards one dispatch.
struct Script
{
    enum class Behavior : std::uint8_t { Answer, Refuse, Break };
    Behavior behavior = Behavior::Answer; ///< Refuse: no byte is sent. Break: some bytes may have
                                          ///< been sent, but no response head arrives.
    std::uint32_t status = 200;
    http::Headers headers;
    std::vector<std::string> chunks;
    bool isDelimited = true; ///< A length or chunks mark the end of the body.
    bool cut = false;        ///< The connection fails after the chunks.
    bool hang = false;       ///< After the chunks, read() blocks until the stream is aborted.
    int yields = 0;          ///< How often to yield to other handlers before each chunk.
    std::function<void()> beforeHead;     ///< Called while the head is awaited.
    std::function<void(int)> beforeChunk; ///< Called before each read with its number.
};

inline auto refuse() -> Script
{
    auto script = Script {};
    script.behavior = Script::Behavior::Refuse;
    return script;
}
inline auto breakConnection() -> Script
{
    auto script = Script {};
    script.behavior = Script::Behavior::Break;
    return script;
}
inline auto answerWith(std::uint32_t status, std::string body) -> Script
{
    auto script = Script {};
    script.status = status;
    script.headers = { { "Content-Type", "application/json" } };
    script.chunks = { std::move(body) };
    return script;
}
inline auto streamOf(std::vector<std::string> chunks) -> Script
{
    auto script = Script {};
    script.headers = { { "Content-Type", "text/event-stream" } };
    script.chunks = std::move(chunks);
    return script;
}
inline auto cutAfter(std::vector<std::string> chunks) -> Script
{
    auto script = streamOf(std::move(chunks));
    script.cut = true;
    return script;
}

/// @return the data events from "t<from>" to "t<to>", excluding the latter
inline auto tokens(int from, int to) -> std::string
{
    auto text = std::string {};
    for (auto i = from; i < to; ++i)
        text += "data: t" + std::to_string(i) + "\n\n";
    return text;
}

class FakeStream final : public http::ClientStream
{
public:
    FakeStream(Script script, std::shared_ptr<int> aborts)
        : script_(std::move(script))
        , aborts_(std::move(aborts))
    { }
    auto status() const -> std::uint32_t override { return script_.status; }
    auto headers() const -> const http::Headers & override { return script_.headers; }
    auto isReused() const -> bool override { return false; }
    auto connection() const -> http::ConnectionNumber override { return 0; }
    auto isDelimited() const -> bool override { return script_.isDelimited; }
    auto read(Duration) -> asio::awaitable<absl::StatusOr<std::string>> override
    {
        for (auto yielded = 0; yielded < script_.yields; ++yielded)
            co_await asio::post(asio::use_awaitable);
        if (script_.beforeChunk)
            script_.beforeChunk(static_cast<int>(next_));
        if (!aborted_ && next_ < script_.chunks.size())
            co_return script_.chunks[next_++];
        if (!aborted_ && script_.hang) {
            auto timer = asio::steady_timer { co_await asio::this_coro::executor };
            timer.expires_at(asio::steady_timer::time_point::max());
            timer_ = &timer;
            auto error = boost::system::error_code {};
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
            timer_ = nullptr;
        }
        if (aborted_ || script_.cut)
            co_return makeError(ErrorKind::EndpointFailed, "connection reset");
        co_return std::string {};
    }
    auto abort() -> void override
    {
        if (std::exchange(aborted_, true))
            return;
        ++*aborts_;
        if (timer_ != nullptr)
            timer_->cancel();
    }

private:
    Script script_;
    std::shared_ptr<int> aborts_;
    std::size_t next_ = 0;
    bool aborted_ = false;
    asio::steady_timer *timer_ = nullptr;
};

/// Plays all endpoints. Scripts are used in order, or selected by the request's body.
class FakeEngines
{
public:
    auto push(Script script) -> void { scripts_.push_back(std::move(script)); }
    /// Adds a script for a request with this body, regardless of the order of requests.
    auto pushFor(const std::string &body, Script script) -> void
    {
        byBody_[body].push_back(std::move(script));
    }
    auto open(http::ClientRequest request, Duration)
            -> asio::awaitable<http::ClientResult<std::unique_ptr<http::ClientStream>>>
    {
        auto script = nextScript(request.body);
        const auto mayStart = request.mayStart;
        requests.push_back(std::move(request));
        if (script.behavior == Script::Behavior::Refuse)
            co_return http::ClientError { makeError(ErrorKind::EndpointFailed, "refused"),
                                          http::Sent::Nothing };
        if (beforeMayStart)
            beforeMayStart();
        if (mayStart && !mayStart()) {
            ++heldBack;
            co_return http::ClientError { makeError(ErrorKind::Cancelled, "held back"),
                                          http::Sent::Nothing };
        }
        ++ran;
        if (script.beforeHead)
            script.beforeHead();
        if (script.behavior == Script::Behavior::Break)
            co_return http::ClientError { makeError(ErrorKind::EndpointFailed, "broken"),
                                          http::Sent::MaybeSome };
        co_return std::make_unique<FakeStream>(std::move(script), aborts);
    }

    std::vector<http::ClientRequest> requests;
    int ran = 0; ///< Requests of which a byte may have been sent.
    int heldBack = 0;
    std::function<void()> beforeMayStart; ///< Called while the connection is being made.
    std::shared_ptr<int> aborts = std::make_shared<int>(0);

private:
    auto nextScript(const std::string &body) -> Script
    {
        auto &list = byBody_[body].empty() ? scripts_ : byBody_[body];
        if (list.empty())
            return refuse();
        auto script = std::move(list.front());
        list.pop_front();
        return script;
    }
    std::deque<Script> scripts_;
    std::map<std::string, std::deque<Script>> byBody_;
};

class FakeResponder final : public http::Responder
{
public:
    auto send(http::Response given) -> asio::awaitable<absl::Status> override
    {
        ++answers;
        response = std::move(given);
        co_return gone_ ? makeError(ErrorKind::EndpointFailed, "gone") : absl::OkStatus();
    }
    auto startStream(std::uint32_t status, http::Headers headers)
            -> asio::awaitable<absl::Status> override
    {
        ++answers;
        response.status = status;
        response.headers = std::move(headers);
        started_ = true;
        co_return absl::OkStatus();
    }
    auto write(std::string chunk) -> asio::awaitable<absl::Status> override
    {
        if (gone_)
            co_return makeError(ErrorKind::EndpointFailed, "gone");
        body += chunk;
        if (onWrite)
            onWrite();
        co_return absl::OkStatus();
    }
    auto finish() -> asio::awaitable<absl::Status> override
    {
        finished = true;
        co_return absl::OkStatus();
    }
    auto peerGone() const -> bool override { return gone_; }
    auto onPeerGone(std::function<void()> callback) -> void override
    {
        callback_ = std::move(callback);
    }
    auto started() const -> bool override { return started_; }
    auto disconnect() -> void
    {
        gone_ = true;
        if (callback_)
            std::exchange(callback_, {})();
    }

    http::Response response;
    std::string body; ///< The bytes written to the stream.
    bool finished = false;
    int answers = 0;
    std::function<void()> onWrite;

private:
    bool gone_ = false;
    bool started_ = false;
    std::function<void()> callback_;
};

} // namespace figrack::router

#endif // FIGRACK_ROUTER_TESTING_FAKES_H
