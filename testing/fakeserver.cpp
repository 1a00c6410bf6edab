// Everything runs on the one thread of the context, so nothing is locked. What
// counts is recorded before it is answered: a run is on record before its first byte leaves.

#include "testing/fakeserver.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <fmt/format.h>

#include "endpoint/announcement.h"
#include "testing/tokens.h"

namespace figrack::testing {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr auto defaultTokens = std::uint64_t { 16 };
constexpr auto maxTokens = std::uint64_t { 100000 };
constexpr auto lateAfter = std::chrono::seconds { 5 };
constexpr auto announceTimeout = std::chrono::milliseconds { 500 };
constexpr auto prefillSaved = 0.8; ///< Share of the first token's time that a cached prefix saves.

auto parseObject(std::string_view text) -> json::object
{
    auto code = json::error_code {};
    auto value = json::parse({ text.data(), text.size() }, code);
    return !code && value.is_object() ? std::move(value.get_object()) : json::object {};
}

auto textOf(const json::object &object, std::string_view key) -> std::string
{
    const auto *value = object.if_contains({ key.data(), key.size() });
    return value != nullptr && value->is_string() ? std::string { value->get_string().c_str() }
                                                  : std::string {};
}

auto numberOf(const json::object &object, std::string_view key, std::uint64_t fallback)
        -> std::uint64_t
{
    const auto *value = object.if_contains({ key.data(), key.size() });
    if (value == nullptr || !value->is_number())
        return fallback;
    auto code = json::error_code {};
    const auto number = value->to_number<std::uint64_t>(code);
    return code ? fallback : number;
}

auto flagOf(const json::object &object, std::string_view key, bool fallback) -> bool
{
    const auto *value = object.if_contains({ key.data(), key.size() });
    return value != nullptr && value->is_bool() ? value->get_bool() : fallback;
}

/// The prompt of either call's body: the contents of a chat joined, in order.
auto promptOf(const json::object &body) -> std::string
{
    const auto *messages = body.if_contains("messages");
    if (messages == nullptr || !messages->is_array())
        return textOf(body, "prompt");
    auto prompt = std::string {};
    for (const auto &message : messages->get_array()) {
        if (message.is_object())
            prompt += textOf(message.get_object(), "content");
    }
    return prompt;
}

auto jsonResponse(std::uint32_t status, std::string body) -> http::Response
{
    auto response = http::Response {};
    response.status = status;
    response.headers.push_back({ "Content-Type", "application/json" });
    response.body = std::move(body);
    return response;
}

auto refusal(std::uint32_t status, const std::string &error) -> http::Response
{
    auto response = jsonResponse(status, fmt::format(R"({{"error":"{}"}})", error));
    response.headers.push_back({ "X-Figrack-Ran", "not_run" });
    return response;
}

auto streamHeaders(const std::string &id) -> http::Headers
{
    return { { "Content-Type", "text/event-stream" }, { "X-Request-Id", id } };
}

/// @return the response with the name of the request that it answers
auto namedAfter(const std::string &id, http::Response response) -> http::Response
{
    response.headers.push_back({ "X-Request-Id", id });
    return response;
}

auto hashList(const std::vector<std::uint64_t> &hashes) -> json::array
{
    auto list = json::array {};
    for (const auto hash : hashes)
        list.emplace_back(std::to_string(hash));
    return list;
}

auto dieAtOf(std::string_view name) -> DieAt
{
    if (name == "never")
        return DieAt::Never;
    if (name == "load")
        return DieAt::Load;
    if (name == "stream")
        return DieAt::Stream;
    return name == "service" ? DieAt::Service : DieAt::Now;
}

} // namespace

/// One completion under way.
struct FakeEndpoint::Call
{
    explicit Call(asio::io_context &context)
        : timer(context)
    { }
    std::string id;
    std::string model;
    std::string prompt;
    bool chat = false;
    bool stream = false;
    std::uint64_t tokens = 0;
    std::uint64_t resumeFrom = 0;
    std::uint64_t given = 0;
    std::uint64_t priority = 0;
    Millis firstTokenMs = 0;
    Millis tokenMs = 0; ///< As it was when the call began.
    asio::steady_timer timer;
    std::shared_ptr<bool> cancelled = std::make_shared<bool>(false);

    auto event(std::uint64_t index) const -> std::string
    {
        const auto text = tokenText(model, prompt, index);
        const auto last = index + 1 == tokens ? "\"stop\"" : "null";
        if (chat) {
            return fmt::format("data: {{\"id\":\"{}\",\"object\":\"chat.completion.chunk\","
                               "\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{}\"}},"
                               "\"finish_reason\":{}}}]}}\n\n",
                               id, text, last);
        }
        return fmt::format("data: {{\"id\":\"{}\",\"object\":\"text_completion\",\"choices\":"
                           "[{{\"index\":0,\"text\":\"{}\",\"finish_reason\":{}}}]}}\n\n",
                           id, text, last);
    }

    auto body() const -> std::string
    {
        const auto text = answerText(model, prompt, tokens);
        const auto choice = chat
                ? fmt::format(R"("message":{{"role":"assistant","content":"{}"}})", text)
                : fmt::format(R"("text":"{}")", text);
        return fmt::format(R"({{"id":"{}","object":"{}","choices":[{{"index":0,{},)"
                           R"("finish_reason":"stop"}}],"usage":{{"completion_tokens":{}}}}})",
                           id, chat ? "chat.completion" : "text_completion", choice, tokens);
    }
};

FakeEndpoint::FakeEndpoint(asio::io_context &context, FakeOptions options)
    : context_(context)
    , options_(std::move(options))
    , record_(options_.recordFile)
    , engine_(context, options_, record_)
    , server_(context, {},
              [this](const http::Request &request, http::Responder &responder) {
                  return handle(request, responder);
              })
    , client_(context, {}, systemClock())
    // Rises from one life to the next, and differs between them.
    , incarnation_(static_cast<std::uint64_t>(SystemClock {}.wallNow().time_since_epoch().count()))
    , routers_(options_.routers)
{ }

auto FakeEndpoint::start() -> absl::Status
{
    if (auto status = server_.start(options_.listen); !status.ok())
        return status;
    record_.write("start",
                  { { "id", options_.id },
                    { "incarnation", std::to_string(incarnation_) },
                    { "memory", std::to_string(options_.memoryMb) } });
    asio::co_spawn(context_, announceForever(), asio::detached);
    return absl::OkStatus();
}

auto FakeEndpoint::handle(const http::Request &request, http::Responder &responder) -> Task
{
    if (auto response = answerPlain(request)) {
        co_await responder.send(std::move(*response));
        co_return;
    }
    if (options_.kind == state::EndpointKind::Service)
        co_await serve(request, responder);
    else
        co_await complete(request, responder);
}

/// Answers whatever needs no waiting.
auto FakeEndpoint::answerPlain(const http::Request &request) -> std::optional<http::Response>
{
    const auto &path = request.path;
    if (path == "/figrack/orders")
        return takeOrder(request);
    if (path == "/figrack/status")
        return jsonResponse(200, endpoint::announcementJson(report(false)));
    if (path == "/figrack/cache-events") {
        const auto from = request.query.substr(std::min(request.query.size(), std::size_t { 5 }));
        const auto events = engine_.cacheEvents(std::strtoull(from.c_str(), nullptr, 10));
        return jsonResponse(
                200,
                json::serialize(json::object { { "first", events.first },
                                               { "snapshot", events.snapshot },
                                               { "added", hashList(events.added) },
                                               { "removed", hashList(events.removed) } }));
    }
    const auto body = parseObject(request.body);
    if (path == "/test/record")
        return jsonResponse(200, recordJson());
    if (path == "/test/die") {
        engine_.setDieAt(dieAtOf(textOf(body, "at")));
        return jsonResponse(200, "{}");
    }
    if (path == "/test/drain") {
        setDraining(request);
        return jsonResponse(200, "{}");
    }
    if (path == "/test/announce") {
        announces_ = flagOf(body, "on", true);
        return jsonResponse(200, "{}");
    }
    if (path == "/test/store") {
        engine_.setStoreFactor(static_cast<double>(numberOf(body, "factor", 1)));
        return jsonResponse(200, "{}");
    }
    if (path == "/test/pace") {
        options_.firstTokenMs
                = static_cast<Millis>(numberOf(body, "first_token_ms", options_.firstTokenMs));
        options_.tokenMs = static_cast<Millis>(numberOf(body, "token_ms", options_.tokenMs));
        return jsonResponse(200, "{}");
    }
    const auto isWork = request.method == "POST"
            && (path == "/" || path == "/v1/completions" || path == "/v1/chat/completions");
    return isWork ? std::nullopt : std::optional { refusal(404, "no such path") };
}

auto FakeEndpoint::setDraining(const http::Request &request) -> void
{
    const auto body = parseObject(request.body);
    const auto draining = flagOf(body, "draining", true);
    if (flagOf(body, "announce", true))
        draining_ = draining;
    leavingSince_ = std::nullopt;
    if (draining)
        leavingSince_ = std::chrono::steady_clock::now();
    record_.write(draining ? "leaving" : "staying", {});
}

auto FakeEndpoint::takeOrder(const http::Request &request) -> http::Response
{
    const auto body = parseObject(request.body);
    auto order = FakeOrder {};
    order.order = numberOf(body, "order", 0);
    order.fence = numberOf(body, "fence", 0);
    order.load = textOf(body, "action") == "load";
    order.model = textOf(body, "model");
    order.version = textOf(body, "version");
    order.base = textOf(body, "base");
    order.memoryMb = numberOf(body, "memory_mb", 0);
    if (order.model.empty() || (!order.load && textOf(body, "action") != "unload"))
        return refusal(400, "bad_order");
    const auto answer = engine_.order(order);
    if (!answer.error.empty())
        record_.write("order_refused",
                      { { "order", std::to_string(order.order) },
                        { "model", order.model },
                        { "error", answer.error } });
    return answer.error.empty() ? jsonResponse(answer.status, "{}")
                                : refusal(answer.status, answer.error);
}

/// Puts one execution on record, and whether it should not have come here any more.
auto FakeEndpoint::noteWork(std::string_view event, const std::string &id, const std::string &model,
                            std::string_view key, std::uint64_t resumeFrom) -> void
{
    record_.write(event,
                  { { "id", id },
                    { "model", model },
                    { "key", std::string { key } },
                    { "resume", std::to_string(resumeFrom) } });
    if (leavingSince_ && std::chrono::steady_clock::now() - *leavingSince_ > lateAfter)
        record_.write("late_work", { { "id", id } });
}

auto FakeEndpoint::wait(Call &call, Millis time) -> asio::awaitable<bool>
{
    if (time > 0 && !*call.cancelled) {
        auto code = boost::system::error_code {};
        call.timer.expires_after(std::chrono::milliseconds { time });
        co_await call.timer.async_wait(asio::redirect_error(asio::use_awaitable, code));
    }
    co_return !*call.cancelled;
}

auto FakeEndpoint::complete(const http::Request &request, http::Responder &responder) -> Task
{
    const auto body = parseObject(request.body);
    auto call = Call { context_ };
    call.id = request.header("X-Request-Id");
    call.tokenMs = options_.tokenMs;
    call.model = textOf(body, "model");
    call.prompt = promptOf(body);
    call.chat = request.path == "/v1/chat/completions";
    call.stream = flagOf(body, "stream", false);
    call.tokens = std::min(numberOf(body, "max_tokens", defaultTokens), maxTokens);
    call.resumeFrom = std::strtoull(std::string { request.header("X-Figrack-Resume-From") }.c_str(),
                                    nullptr, 10);
    call.priority = std::strtoull(std::string { request.header("X-Figrack-Priority") }.c_str(),
                                  nullptr, 10);
    if (!engine_.isReady(call.model)) {
        record_.write("refused", { { "id", call.id }, { "model", call.model } });
        co_await responder.send(namedAfter(call.id, refusal(404, "model_not_loaded")));
        co_return;
    }
    noteWork("run", call.id, call.model, request.header("Idempotency-Key"), call.resumeFrom);
    responder.onPeerGone([this, &call] {
        *call.cancelled = true;
        call.timer.cancel();
        engine_.wakeWaiters();
    });
    co_await generate(call, responder);
}

auto FakeEndpoint::generate(Call &call, http::Responder &responder) -> Task
{
    const auto hadSlot = co_await engine_.takeSlot(call.model, call.priority, call.cancelled);
    auto isWhole = false;
    if (hadSlot) {
        const auto hit = engine_.touchPrefix(promptBlocks(call.model, call.prompt));
        const auto share = 1.0 - prefillSaved * hit;
        call.firstTokenMs = static_cast<Millis>(static_cast<double>(options_.firstTokenMs) * share);
        if (call.stream)
            isWhole = co_await stream(call, responder);
        else
            isWhole = co_await whole(call, responder);
        engine_.releaseSlot(call.model);
    }
    const auto *how = isWhole ? "end" : *call.cancelled ? "cancelled" : "cut";
    record_.write(how, { { "id", call.id }, { "given", std::to_string(call.given) } });
}

auto FakeEndpoint::stream(Call &call, http::Responder &responder) -> asio::awaitable<bool>
{
    if (!co_await wait(call, call.firstTokenMs))
        co_return false;
    auto status = co_await responder.startStream(200, streamHeaders(call.id));
    for (auto i = call.resumeFrom; i < call.tokens && status.ok(); ++i) {
        if (i > call.resumeFrom && !co_await wait(call, call.tokenMs))
            co_return false;
        status = co_await responder.write(call.event(i));
        ++call.given;
        if (call.given == 3)
            engine_.reach(DieAt::Stream);
    }
    if (status.ok())
        status = co_await responder.write("data: [DONE]\n\n");
    if (status.ok())
        status = co_await responder.finish();
    co_return status.ok();
}

auto FakeEndpoint::whole(Call &call, http::Responder &responder) -> asio::awaitable<bool>
{
    const auto time = call.firstTokenMs + static_cast<Millis>(call.tokens) * call.tokenMs;
    if (!co_await wait(call, time))
        co_return false;
    call.given = call.tokens;
    const auto status
            = co_await responder.send(namedAfter(call.id, jsonResponse(200, call.body())));
    co_return status.ok();
}

auto FakeEndpoint::serve(const http::Request &request, http::Responder &responder) -> Task
{
    auto call = Call { context_ };
    call.id = request.header("X-Request-Id");
    noteWork("run", call.id, options_.service, request.header("Idempotency-Key"), 0);
    engine_.reach(DieAt::Service);
    co_await wait(call, options_.serviceMs); // A plain service ends what it has begun.
    const auto status = co_await responder.send(
            namedAfter(call.id, jsonResponse(200, serviceAnswer(options_.service, request.body))));
    record_.write(status.ok() ? "end" : "cut", { { "id", call.id }, { "given", "1" } });
}

auto FakeEndpoint::recordJson() const -> std::string
{
    auto counts = json::object {};
    for (const auto &[event, count] : record_.counts())
        counts[event] = count;
    return json::serialize(json::object { { "id", options_.id },
                                          { "incarnation", incarnation_ },
                                          { "memory_mb", options_.memoryMb },
                                          { "used_mb", engine_.usedMb() },
                                          { "max_used_mb", engine_.maxUsedMb() },
                                          { "running", engine_.running() },
                                          { "counts", std::move(counts) } });
}

auto FakeEndpoint::report(bool lagging) -> proto::EndpointReport
{
    auto report = proto::EndpointReport {};
    auto &spec = report.spec;
    spec.id = EndpointId { options_.id };
    spec.incarnation = Incarnation { incarnation_ };
    spec.kind = options_.kind;
    spec.address = Address { options_.listen.ip, server_.port() }.text();
    spec.domain = DomainId { options_.domain };
    spec.service = ServiceId { options_.service };
    if (options_.kind == state::EndpointKind::Engine) {
        spec.accelerators = options_.accelerators;
        spec.memoryMb = options_.memoryMb;
        spec.checksFence = options_.checksFence;
        spec.cached = engine_.cached();
        report.usedMb = engine_.usedMb();
        report.replicas = engine_.replicas();
    }
    report.draining = draining_;
    report.sequence = ++sequence_;
    if (!lagging || samples_.empty())
        return report;
    // What is loaded is told as it is; how busy it is, as it was.
    for (auto &replica : report.replicas) {
        for (const auto &old : samples_.front().replicas) {
            if (old.model != replica.model)
                continue;
            replica.running = old.running;
            replica.waiting = old.waiting;
        }
    }
    return report;
}

auto FakeEndpoint::sampleLoad() -> void
{
    const auto now = std::chrono::steady_clock::now();
    const auto lag = std::chrono::milliseconds { options_.reportLagMs };
    samples_.push_back({ now, engine_.replicas() });
    while (samples_.size() > 1 && now - samples_[1].at >= lag)
        samples_.pop_front();
}

auto FakeEndpoint::announceForever() -> Task
{
    while (true) {
        sampleLoad();
        for (auto tries = std::size_t { 0 }; announces_ && tries < routers_.size(); ++tries) {
            const auto router = routers_[nextRouter_++ % routers_.size()];
            if (co_await announceTo(router))
                break;
        }
        auto timer = asio::steady_timer { context_ };
        timer.expires_after(std::chrono::milliseconds { options_.announceMs });
        co_await timer.async_wait(asio::use_awaitable);
    }
}

auto FakeEndpoint::announceTo(Address router) -> asio::awaitable<bool>
{
    auto request = http::ClientRequest {};
    request.address = std::move(router);
    request.target = "/v1/announce";
    request.headers.push_back({ "Content-Type", "application/json" });
    request.body = endpoint::announcementJson(report(true));
    const auto result = co_await client_.fetch(std::move(request), announceTimeout);
    const auto *response = std::get_if<http::Response>(&result);
    if (response == nullptr || response->status != 200) {
        record_.write(
                "announce_failed",
                { { "status", response == nullptr ? "none" : std::to_string(response->status) } });
        co_return false;
    }
    learnRouters(response->body);
    co_return true;
}

auto FakeEndpoint::learnRouters(std::string_view body) -> void
{
    const auto answer = parseObject(body);
    const auto *list = answer.if_contains("routers");
    if (list == nullptr || !list->is_array())
        return;
    // Those of the command line stay: they are the way back when all that was learned is gone.
    routers_ = options_.routers;
    for (const auto &item : list->get_array()) {
        const auto address = parseAddress(item.is_string() ? item.get_string().c_str() : "");
        if (address.ok() && std::find(routers_.begin(), routers_.end(), *address) == routers_.end())
            routers_.push_back(*address);
    }
}

} // namespace figrack::testing
