#include "gateway/testing/rig.h"

#include <algorithm>
#include <string>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/error.h"

namespace figrack::gateway::testing {

namespace asio = boost::asio;

namespace {

constexpr auto patience = std::chrono::seconds { 20 };

/// @return the parts of "ID,ID,...", numbers
auto readPrompt(std::string_view text) -> std::vector<PromptPart>
{
    auto parts = std::vector<PromptPart> {};
    while (!text.empty()) {
        const auto end = std::min(text.find(','), text.size());
        parts.push_back({ std::stoull(std::string { text.substr(0, end) }), 100 });
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return parts;
}

auto testDialect() -> Dialect
{
    auto dialect = Dialect {};
    dialect.readRequest = [](const http::Request &request) -> absl::StatusOr<CallerRequest> {
        auto result = CallerRequest {};
        result.id = RequestId { std::string { request.header("X-Id") } };
        if (result.id.empty())
            return makeError(ErrorKind::BadRequest, "header=X-Id");
        result.account = request.header("X-Account");
        result.key = request.header("X-Key");
        if (!result.key.empty())
            result.credentials = { { "X-Key", result.key } };
        result.host = request.header("Host");
        result.path = request.path;
        result.model = ModelId { std::string { request.header("X-Model") } };
        result.resumeAfter = request.header("X-After");
        result.resumes = request.header("X-Resumes");
        result.prompt = readPrompt(request.header("X-Prompt"));
        result.headers = { { "Host", result.host },
                           { "X-Id", result.id.value() },
                           { "X-Account", result.account },
                           { "X-Prompt", std::string { request.header("X-Prompt") } } };
        const auto deadline = std::string { request.header("X-Deadline") };
        if (!deadline.empty())
            result.deadline = std::chrono::milliseconds { std::stoi(deadline) };
        return result;
    };
    dialect.writeDispatch = [](const CallerRequest &request, const DispatchTerms &terms) {
        auto headers = request.headers;
        headers.push_back({ "X-Endpoint", terms.endpoint.value() });
        headers.push_back({ "X-Rank", std::to_string(terms.rank) });
        if (!terms.hasAccounts)
            headers.insert(headers.end(), request.credentials.begin(), request.credentials.end());
        else if (!terms.account.empty())
            headers.push_back({ "X-Owner", terms.account.value() });
        if (!terms.resumeAfter.empty())
            headers.push_back({ "X-After", terms.resumeAfter });
        return headers;
    };
    dialect.readNotice
            = [](const EndpointId &, std::uint32_t status, const http::Headers &headers) {
                  auto notice = catalogue::EndpointNotice {};
                  notice.notRun = !http::findHeader(headers, "X-Not-Run").empty();
                  notice.isOther = !http::findHeader(headers, "X-Other").empty();
                  notice.lacksModel = status == 421 && !notice.isOther;
                  const auto rate = std::string { http::findHeader(headers, "X-Rate") };
                  if (!rate.empty())
                      notice.ratePerSecond = std::stod(rate);
                  notice.isDraining = !http::findHeader(headers, "X-Draining").empty();
                  const auto backoff = std::string { http::findHeader(headers, "X-Backoff-Ms") };
                  if (!backoff.empty())
                      notice.backoff = std::chrono::milliseconds { std::stoi(backoff) };
                  return notice;
              };
    dialect.writeRefusal = [](const Refusal &refusal) {
        auto response = http::Response {};
        const auto kind = errorKind(refusal.status);
        response.status = refusal.notRun ? 503 : 502;
        if (kind == ErrorKind::BadToken || kind == ErrorKind::OverLimit)
            response.status = kind == ErrorKind::BadToken ? 401 : 429;
        if (refusal.retryAfter) {
            response.headers.push_back(
                    { "X-Come-Back",
                      std::to_string(*refusal.retryAfter / std::chrono::milliseconds { 1 }) });
        }
        return response;
    };
    dialect.writeHealthQuestion = [](const EndpointId &meant, Duration left) {
        return http::Headers { { "X-Endpoint", meant.value() },
                               { "X-Left-Ms",
                                 std::to_string(left / std::chrono::milliseconds { 1 }) } };
    };
    dialect.isOwnAnswer = [](const EndpointId &meant, std::uint32_t, const http::Headers &headers) {
        return http::findHeader(headers, "X-Own-Id") == meant.value();
    };
    dialect.promisesNotRun = [](std::uint32_t status) { return status == 429 || status == 503; };
    dialect.answerIdHeader = "X-Id";
    return dialect;
}

auto testRoute(const std::string &name, catalogue::Repeat repeat) -> catalogue::Route
{
    auto route = catalogue::Route {};
    route.name = name;
    route.host = "t";
    route.pathPrefix = "/" + name + "/";
    route.repeat = repeat;
    route.finishLimit = std::chrono::seconds { 10 };
    route.startTarget = std::chrono::seconds { 1 };
    route.maxAttempts = 2;
    route.split = { { ServiceId { "s" }, 1 } };
    return route;
}

/// A leader that grants every retry.
auto grantingAlways(const proto::RetryGrantRequest & /*request*/, Duration /*timeout*/,
                    const RetryBudget::Granted &done) -> bool
{
    done(proto::RetryGrantReply { true, 0 });
    return true;
}

auto event(int number) -> std::string
{
    return "id: " + std::to_string(number) + "\ndata: e" + std::to_string(number) + "\n\n";
}

} // namespace

auto testCatalogue(bool engine) -> std::shared_ptr<const catalogue::Catalogue>
{
    auto catalogue = catalogue::Catalogue {};
    catalogue.version = Revision { 1 };
    catalogue.routes = { testRoute("once", catalogue::Repeat::Once),
                         testRoute("idem", catalogue::Repeat::Idempotent),
                         testRoute("stream", catalogue::Repeat::Stream),
                         testRoute("resume", catalogue::Repeat::Stream) };
    catalogue.routes.back().resumable = true;
    auto service = catalogue::Service { ServiceId { "s" }, 100, std::nullopt };
    if (engine) {
        auto spec = catalogue::EngineSpec {};
        auto model = catalogue::ModelSpec {};
        model.id = ModelId { "m0" };
        model.loadFromStore = std::chrono::seconds { 5 };
        spec.models.push_back(model);
        service.engine = spec;
    }
    service.healthTarget = "/well";
    catalogue.services.push_back(service);
    return std::make_shared<const catalogue::Catalogue>(std::move(catalogue));
}

auto orderedCatalogue(bool isEngine) -> catalogue::Catalogue
{
    auto catalogue = *testCatalogue(isEngine);
    auto engine = testCatalogue(true)->services.front();
    if (!isEngine) {
        engine.id = ServiceId { "engines" };
        catalogue.services.push_back(engine);
    }
    for (auto rank = std::uint32_t { 0 }; rank < 3; ++rank) {
        auto &route = catalogue.routes.emplace_back(catalogue.routes.front());
        route.name = "e" + std::to_string(rank);
        route.pathPrefix = "/" + route.name + "/";
        route.split = { { engine.id, 1 } };
        route.rank = rank;
    }
    for (auto &route : catalogue.routes)
        route.startTarget = std::chrono::seconds { 8 };
    return catalogue;
}

Rig::Rig(ForwarderOptions options, BalancerLink link, PickerOptions pickerOptions,
         KeyLeaseOptions keyOptions)
    : Rig(NoDocument {}, std::move(options), std::move(link), pickerOptions, keyOptions)
{
    forwarder.setCatalogue(testCatalogue(false));
}

auto Rig::withoutDocument() -> std::unique_ptr<Rig>
{
    return std::unique_ptr<Rig> { new Rig(NoDocument {}, {}, {}, {}, {}) };
}

Rig::Rig(NoDocument /*tag*/, ForwarderOptions options, BalancerLink link,
         PickerOptions pickerOptions, KeyLeaseOptions keyOptions)
    : dialect(testDialect())
    , view({}, clock)
    , demand(clock)
    , waiters(context)
    , retries({}, clock, metrics, grantingAlways)
    , client(context, {}, clock)
    , picker(pickerOptions, std::move(link), metrics, random, clock)
    , quarantine({})
    , paths(clock, {})
    , prober({}, { context, clock, view, client, paths })
    , crashDetector({}, { context, clock, view, quarantine, metrics, paths }, [] {})
    , keys(keyOptions, clock)
    , loadWatch({}, clock)
    , forwarder(std::move(options),
                { context,
                  clock,
                  dialect,
                  view,
                  retries,
                  demand,
                  waiters,
                  metrics,
                  client,
                  picker,
                  random,
                  quarantine,
                  crashDetector,
                  paths,
                  keys,
                  {},
                  &loadWatch })
    , caller(context, {}, clock)
    , server_(context, {}, [this](const http::Request &request, http::Responder &responder) {
        return forwarder.handle(request, responder);
    })
{
    paths.setOnChanged([this](const EndpointGroup &, PathState, PathState) {
        crashDetector.onPathChanged();
        waiters.wakeAll();
    });
    prober.start();
    static_cast<void>(server_.start({ "127.0.0.1", 0 }));
}

Rig::~Rig()
{
    server_.stop();
    for (auto &endpoint : endpoints_)
        endpoint->server->stop();
    context.restart();
    context.run_for(std::chrono::milliseconds { 20 });
}

auto Rig::addEndpoint(const std::string &id, const std::vector<std::string> &models)
        -> FakeEndpoint &
{
    auto endpoint = std::make_unique<FakeEndpoint>();
    endpoint->id = EndpointId { id };
    auto *raw = endpoint.get();
    endpoint->server = std::make_unique<http::Server>(
            context, http::ServerOptions {},
            [raw](const http::Request &request, http::Responder &responder) {
                raw->seen.push_back(request);
                return raw->handler(request, responder);
            });
    static_cast<void>(endpoint->server->start({ "127.0.0.1", 0 }));
    endpoint->port = endpoint->server->port();
    endpoints_.push_back(std::move(endpoint));
    tell(id, raw->port, 1, catalogue::EndpointState::Ready, models);
    return *raw;
}

auto Rig::tell(const std::string &id, std::uint16_t port, std::uint64_t sequence,
               catalogue::EndpointState state, const std::vector<std::string> &models,
               const std::string &softwareVersion) -> void
{
    auto row = catalogue::EndpointRow {};
    row.id = EndpointId { id };
    row.service = ServiceId { "s" };
    row.address = { "127.0.0.1", port };
    row.state = state;
    row.sequence = sequence;
    row.softwareVersion = softwareVersion;
    for (const auto &model : models)
        row.models.push_back({ ModelId { model }, {} });
    auto update = proto::ServingUpdate {};
    update.endpoints.push_back(row);
    if (view.apply(update))
        waiters.wakeAll();
}

auto Rig::request(const std::string &path, const std::string &id) -> http::ClientRequest
{
    auto request = http::ClientRequest {};
    request.target = path;
    request.headers = { { "Host", "t" }, { "X-Id", id } };
    return request;
}

auto Rig::begin(http::ClientRequest request) -> std::shared_ptr<std::optional<Got>>
{
    return beginAt(server_.port(), std::move(request));
}

auto Rig::beginAt(std::uint16_t port, http::ClientRequest request)
        -> std::shared_ptr<std::optional<Got>>
{
    auto got = std::make_shared<std::optional<Got>>();
    request.address = { "127.0.0.1", port };
    auto work = [](http::Client &caller, http::ClientRequest out,
                   std::shared_ptr<std::optional<Got>> result) -> asio::awaitable<void> {
        auto opened = co_await caller.open(std::move(out), patience);
        auto answer = Got {};
        if (auto *stream = std::get_if<std::unique_ptr<http::ClientStream>>(&opened)) {
            answer.status = (*stream)->status();
            answer.headers = (*stream)->headers();
            while (true) {
                auto chunk = co_await (*stream)->read(patience);
                if (!chunk.ok())
                    break;
                answer.whole = chunk->empty();
                if (answer.whole)
                    break;
                answer.body += *chunk;
            }
        }
        *result = std::move(answer);
    };
    asio::co_spawn(context, work(caller, std::move(request), got), asio::detached);
    return got;
}

auto Rig::call(http::ClientRequest request) -> Got
{
    const auto got = begin(std::move(request));
    return runUntil([&] { return got->has_value(); }) ? **got : Got {};
}

auto Rig::runUntil(const std::function<bool()> &condition) -> bool
{
    context.restart();
    const auto limit = clock.now() + patience;
    while (!condition() && clock.now() < limit)
        context.run_one_for(std::chrono::milliseconds { 20 });
    return condition();
}

auto announce(FleetView &view, const EndpointId &id) -> void
{
    auto update = proto::ServingUpdate {};
    update.endpoints.emplace_back().id = id;
    view.apply(update);
}

auto answering(std::string body) -> http::Handler
{
    return [body = std::move(body)](const http::Request &request,
                                    http::Responder &responder) -> asio::awaitable<void> {
        auto response = http::Response {};
        response.headers = { { "X-Id", std::string { request.header("X-Id") } } };
        response.body = body;
        static_cast<void>(co_await responder.send(std::move(response)));
    };
}

auto rejecting(std::uint32_t status) -> http::Handler
{
    return [status](const http::Request &request,
                    http::Responder &responder) -> asio::awaitable<void> {
        auto response = http::Response {};
        response.status = status;
        response.headers
                = { { "X-Id", std::string { request.header("X-Id") } }, { "X-Not-Run", "1" } };
        static_cast<void>(co_await responder.send(std::move(response)));
    };
}

auto streaming(int first, int last, bool whole) -> http::Handler
{
    return [first, last, whole](const http::Request &request,
                                http::Responder &responder) -> asio::awaitable<void> {
        auto headers = http::Headers { { "Content-Type", "text/event-stream" },
                                       { "X-Id", std::string { request.header("X-Id") } } };
        static_cast<void>(co_await responder.startStream(200, std::move(headers)));
        for (auto number = first; number <= last; ++number) {
            auto text = event(number);
            static_cast<void>(co_await responder.write(std::move(text)));
        }
        if (whole) {
            static_cast<void>(co_await responder.finish());
        } else {
            auto part = std::string { "id: 99\ndata: to" };
            static_cast<void>(co_await responder.write(std::move(part)));
        }
    };
}

auto breaking() -> http::Handler
{
    return [](const http::Request &request, http::Responder &responder) -> asio::awaitable<void> {
        auto headers = http::Headers { { "Content-Type", "text/plain" },
                                       { "X-Id", std::string { request.header("X-Id") } } };
        static_cast<void>(co_await responder.startStream(200, std::move(headers)));
    };
}

} // namespace figrack::gateway::testing
