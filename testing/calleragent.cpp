// What came is judged when it has ended: a reader collects bytes, tokens and
// error events, and the verdict compares them with what the request must give.

#include "testing/calleragent.h"

#include <algorithm>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include "core/error.h"
#include "endpoint/ssestream.h"
#include "testing/tokens.h"

namespace figrack::testing {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr auto addressTimeout = std::chrono::seconds { 2 };
constexpr auto readPatience = std::chrono::seconds { 60 };

auto millis(Duration span) -> double
{
    return std::chrono::duration<double, std::milli>(span).count();
}

auto parseJson(std::string_view text) -> json::value
{
    auto code = json::error_code {};
    auto value = json::parse({ text.data(), text.size() }, code);
    return code ? json::value {} : value;
}

/// @return the value at a path of keys and array positions, or nullptr
auto at(const json::value &value, std::string_view pointer) -> const json::value *
{
    auto code = json::error_code {};
    return value.find_pointer({ pointer.data(), pointer.size() }, code);
}

auto textAt(const json::value &value, std::string_view pointer) -> std::string
{
    const auto *found = at(value, pointer);
    return found != nullptr && found->is_string() ? std::string { found->get_string().c_str() }
                                                  : std::string {};
}

auto bodyOf(const Call &call) -> std::string
{
    if (!call.service.empty())
        return call.prompt;
    auto object = json::object { { "model", call.model },
                                 { "stream", call.stream },
                                 { "max_tokens", call.tokens } };
    if (call.chat)
        object["messages"]
                = json::array { json::object { { "role", "user" }, { "content", call.prompt } } };
    else
        object["prompt"] = call.prompt;
    return json::serialize(object);
}

auto targetOf(const Call &call, bool toEndpoint) -> std::string
{
    if (!call.service.empty())
        return toEndpoint ? "/" : "/v1/services/" + call.service;
    return call.chat ? "/v1/chat/completions" : "/v1/completions";
}

auto requestOf(const Call &call, const Address &address, const CallerOptions &options)
        -> http::ClientRequest
{
    auto request = http::ClientRequest {};
    request.address = address;
    request.target = targetOf(call, options.toEndpoint);
    request.body = bodyOf(call);
    request.headers.push_back({ "Content-Type", "application/json" });
    request.headers.push_back({ "X-Request-Id", call.id });
    if (!call.key.empty())
        request.headers.push_back({ "Idempotency-Key", call.key });
    if (!call.classId.empty())
        request.headers.push_back({ "X-Figrack-Class", call.classId });
    request.freshConnection = !options.keepConnections;
    return request;
}

/// What has come of an answer.
struct Collected
{
    std::string body; ///< Of an answer that is no stream.
    std::vector<std::string> tokens;
    std::string errorEvent;
    bool done = false;
};

auto takeEvents(Collected &collected, const std::vector<endpoint::SseEvent> &events) -> void
{
    for (const auto &event : events) {
        if (event.name == "error")
            collected.errorEvent = event.data;
        else if (event.isDone())
            collected.done = true;
        else if (event.hasData) {
            const auto value = parseJson(event.data);
            auto token = textAt(value, "/choices/0/text");
            if (token.empty())
                token = textAt(value, "/choices/0/delta/content");
            collected.tokens.push_back(std::move(token));
        }
    }
}

auto judgeRefusal(CallResult &result, const std::string &body) -> void
{
    const auto value = parseJson(body);
    result.code = textAt(value, "/error/code");
    result.ran = textAt(value, "/error/ran");
    const auto isTyped = !result.code.empty() && !textAt(value, "/error/remedy").empty()
            && (result.ran == "not_run" || result.ran == "unknown");
    result.end = isTyped ? CallEnd::Refused : CallEnd::Wrong;
    result.detail = isTyped ? textAt(value, "/error/message") : "untyped refusal: " + body;
}

auto judgeStream(CallResult &result, const Collected &collected) -> void
{
    const auto &call = result.call;
    result.tokensSeen = collected.tokens.size();
    for (auto i = std::size_t { 0 }; i < collected.tokens.size(); ++i) {
        if (collected.tokens[i] == tokenText(call.model, call.prompt, i))
            continue;
        result.end = CallEnd::Wrong;
        result.detail = "token " + std::to_string(i) + " is not the right one";
        for (auto j = std::size_t { 0 }; j < i; ++j)
            result.repeatedTokens = result.repeatedTokens
                    || collected.tokens[i] == tokenText(call.model, call.prompt, j);
        return;
    }
    if (!collected.errorEvent.empty() && !collected.done)
        return judgeRefusal(result, collected.errorEvent);
    const auto isWhole = collected.done && collected.tokens.size() == call.tokens;
    result.end = isWhole ? CallEnd::Answered : CallEnd::Wrong;
    if (!isWhole)
        result.detail = "stream ended after " + std::to_string(collected.tokens.size()) + " tokens";
}

auto judgeBody(CallResult &result, const Collected &collected) -> void
{
    const auto &call = result.call;
    auto isRight = false;
    if (!call.service.empty()) {
        isRight = collected.body == serviceAnswer(call.service, call.prompt);
    } else {
        const auto value = parseJson(collected.body);
        const auto *pointer = call.chat ? "/choices/0/message/content" : "/choices/0/text";
        isRight = textAt(value, pointer) == answerText(call.model, call.prompt, call.tokens);
    }
    result.end = isRight ? CallEnd::Answered : CallEnd::Wrong;
    if (!isRight)
        result.detail = "not the right answer: " + collected.body.substr(0, 200);
}

} // namespace

auto callEndName(CallEnd end) -> std::string_view
{
    constexpr std::string_view names[]
            = { "answered", "refused", "wrong", "broken", "late", "unreachable", "left" };
    return names[static_cast<std::size_t>(end)];
}

auto CallResult::firstMs() const -> double
{
    return millis(firstAt - sentAt);
}

auto CallResult::totalMs() const -> double
{
    return millis(endedAt - sentAt);
}

CallerAgent::CallerAgent(asio::io_context &context, CallerOptions options, std::string domain)
    : client_(context, {}, systemClock())
    , options_(std::move(options))
    , domain_(std::move(domain))
{ }

auto CallerAgent::forgetAddresses() -> void
{
    const auto lock = std::lock_guard { mutex_ };
    goodUntil_ = {};
}

auto CallerAgent::call(Call call) -> asio::awaitable<CallResult>
{
    auto result = CallResult {};
    result.call = std::move(call);
    result.sentAt = clock_.now();
    if (options_.direct) {
        co_await tryOne(result, *options_.direct);
    } else {
        const auto list = co_await addresses();
        for (const auto &address : list) {
            if (co_await tryOne(result, address))
                break;
        }
    }
    if (result.end == CallEnd::Unreachable)
        forgetAddresses();
    result.endedAt = clock_.now();
    if (result.firstAt < result.sentAt)
        result.firstAt = result.endedAt;
    co_return result;
}

auto CallerAgent::addresses() -> asio::awaitable<Addresses>
{
    auto ask = options_.seeds;
    {
        const auto lock = std::lock_guard { mutex_ };
        if (clock_.now() < goodUntil_)
            co_return known_;
        ask.insert(ask.begin(), known_.begin(), known_.end());
    }
    for (const auto &router : ask) {
        if (auto list = co_await askAddresses(router))
            co_return std::move(*list);
    }
    co_return Addresses {};
}

auto CallerAgent::askAddresses(Address router) -> asio::awaitable<std::optional<Addresses>>
{
    auto request = http::ClientRequest {};
    request.address = std::move(router);
    request.method = "GET";
    request.target = "/v1/addresses";
    request.headers.push_back({ "X-Figrack-Domain", domain_ });
    request.freshConnection = true;
    const auto result = co_await client_.fetch(std::move(request), addressTimeout);
    const auto *response = std::get_if<http::Response>(&result);
    if (response == nullptr || response->status != 200)
        co_return std::nullopt;
    const auto value = parseJson(response->body);
    const auto *list = at(value, "/addresses");
    const auto *lifetime = at(value, "/lifetime_ms");
    if (list == nullptr || !list->is_array() || lifetime == nullptr || !lifetime->is_int64())
        co_return std::nullopt;
    auto found = Addresses {};
    for (const auto &item : list->get_array()) {
        if (const auto address = parseAddress(textAt(item, "/address")); address.ok())
            found.push_back(*address);
    }
    if (found.empty())
        co_return std::nullopt;
    const auto lock = std::lock_guard { mutex_ };
    known_ = found;
    goodUntil_ = clock_.now() + std::chrono::milliseconds { lifetime->get_int64() };
    co_return found;
}

/// @return true when the call has ended; false when nothing of it has left
auto CallerAgent::tryOne(CallResult &result, const Address &address) -> asio::awaitable<bool>
{
    const auto limit = result.call.limit - (clock_.now() - result.sentAt);
    auto opened = co_await client_.open(requestOf(result.call, address, options_), limit);
    if (const auto *error = std::get_if<http::ClientError>(&opened)) {
        const auto message = error->status.message();
        result.detail.assign(message.data(), message.size());
        if (error->sent == http::Sent::Nothing)
            co_return false;
        result.router = address;
        result.end
                = errorKind(error->status) == ErrorKind::Timeout ? CallEnd::Late : CallEnd::Broken;
        co_return true;
    }
    result.router = address;
    const auto stream = std::move(std::get<std::unique_ptr<http::ClientStream>>(opened));
    co_await readAnswer(result, *stream);
    co_return true;
}

auto CallerAgent::readAnswer(CallResult &result, http::ClientStream &stream)
        -> asio::awaitable<void>
{
    result.status = stream.status();
    const auto type = http::findHeader(stream.headers(), "Content-Type");
    const auto isStream = type.substr(0, 17) == "text/event-stream";
    auto collected = Collected {};
    auto splitter = endpoint::SseSplitter {};
    while (true) {
        const auto left = result.call.limit - (clock_.now() - result.sentAt);
        if (left <= Duration::zero()) {
            result.end = CallEnd::Late;
            co_return;
        }
        const auto chunk = co_await stream.read(std::min<Duration>(left, readPatience));
        if (!chunk.ok()) {
            const auto message = chunk.status().message();
            result.detail.assign(message.data(), message.size());
            const auto isLate = errorKind(chunk.status()) == ErrorKind::Timeout;
            result.tokensSeen = collected.tokens.size();
            result.end = isLate ? CallEnd::Late : CallEnd::Broken;
            co_return;
        }
        if (chunk->empty())
            break;
        if (!isStream) {
            collected.body += *chunk;
            continue;
        }
        const auto events = splitter.feed(*chunk);
        if (events.ok())
            takeEvents(collected, *events);
        if (result.firstAt < result.sentAt && !collected.tokens.empty())
            result.firstAt = clock_.now();
        const auto &leave = result.call.leaveAfter;
        if (leave && clock_.now() - result.sentAt > *leave) {
            result.end = CallEnd::Left;
            co_return;
        }
    }
    constexpr auto ok = 200U;
    if (isStream)
        judgeStream(result, collected);
    else if (result.status != ok)
        judgeRefusal(result, collected.body);
    else
        judgeBody(result, collected);
}

} // namespace figrack::testing
