#include "gateway/testing/cutworld.h"

#include <algorithm>
#include <array>

namespace figrack::gateway::testing {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/// How long callers wait, and a test for callers to be served again.
constexpr auto callerDeadline = std::chrono::seconds { 3 };

/// Answers streams with events, and anything else with a body.
auto answeringAll() -> http::Handler
{
    return [stream = streaming(1, 5, true),
            whole = answering("one")](const http::Request &request,
                                      http::Responder &responder) -> asio::awaitable<void> {
        const auto isStream
                = request.path.rfind("/stream/", 0) == 0 || request.path.rfind("/resume/", 0) == 0;
        if (isStream)
            co_await stream(request, responder);
        else
            co_await whole(request, responder);
    };
}

auto domainOf(std::size_t endpoint) -> DomainId
{
    return DomainId { endpoint % 2 == 0 ? "d1" : "d2" };
}

} // namespace

CutWorld::CutWorld(CutWorldOptions options)
    : options_(std::move(options))
    , dialect_(rig.dialect)
    , control_(rig.context, "n1", "n1")
{
    dialect_.readDocument = [this](std::string_view) {
        auto catalogue = *testCatalogue(false);
        for (auto &route : catalogue.routes) {
            route.homeRegions = options_.homes;
            route.maxAttempts = options_.maxAttempts;
        }
        return catalogue;
    };
    control_.document = Revision { 1 };
    control_.endpointsFor
            = [this](const proto::Subscribe &subscribe) { return rowsFor(subscribe.callers); };
    for (auto i = 1; i <= endpointCount; ++i) {
        auto &endpoint = rig.addEndpoint("i-" + std::to_string(i));
        endpoint.handler = answeringAll();
        endpoints_.push_back(&endpoint);
    }
    addGateway("g1", DomainId { "d1" });
    addGateway("g2", options_.otherDomain);
    REQUIRE(rig.runUntil([&] {
        return std::all_of(gateways_.begin(), gateways_.end(),
                           [](const auto &gateway) { return gateway->ready(); });
    }));
}

CutWorld::~CutWorld()
{
    // The coroutine of a request refers to its gateway, which must outlive it.
    heal();
    rig.caller.abortAll();
    rig.runUntil([&] {
        return std::all_of(gateways_.begin(), gateways_.end(), [](const auto &gateway) {
            return gateway->metricsPage().find("in_progress\"} 0") != std::string::npos;
        });
    });
    gateways_.clear();
    control_.server->stop();
}

auto CutWorld::rowsFor(const Address &callers) const -> std::vector<catalogue::EndpointRow>
{
    const auto gateway = std::find(callers_.begin(), callers_.end(), callers) - callers_.begin();
    const auto &links = links_.at(static_cast<std::size_t>(gateway));
    auto rows = std::vector<catalogue::EndpointRow> {};
    for (auto i = std::size_t { 0 }; i < endpoints_.size(); ++i) {
        auto &row = rows.emplace_back();
        row.id = endpoints_[i]->id;
        row.service = ServiceId { "s" };
        row.domain = domainOf(i);
        row.address = { "127.0.0.1", links[i]->port() };
        row.state = catalogue::EndpointState::Ready;
        row.sequence = 1;
        if (const auto &versions = options_.softwareVersions; !versions.empty())
            row.softwareVersion = versions.at(i / 2 % versions.size());
    }
    return rows;
}

auto CutWorld::freeAddress() -> Address
{
    const auto acceptor = tcp::acceptor { rig.context, { asio::ip::address_v4::loopback(), 0 } };
    return { "127.0.0.1", acceptor.local_endpoint().port() };
}

auto CutWorld::addGateway(const std::string &name, const DomainId &domain) -> void
{
    auto options = GatewayOptions {};
    options.name = NodeId { name };
    options.domain = domain;
    options.forwarder.regions = options_.regions;
    options.keys = channelOf(name).keys;
    options.callers = freeAddress();
    options.seeds = { control_.address() };
    callers_.push_back(options.callers);
    auto &links = links_.emplace_back();
    for (const auto *endpoint : endpoints_)
        links.push_back(std::make_unique<EndpointLink>(rig.context, endpoint->port));
    gateways_.push_back(
            std::make_unique<Gateway>(rig.context, options, rig.clock, dialect_, 1, [] {}));
    REQUIRE(gateways_.back()->start().ok());
}

auto CutWorld::cut(Cut how, At at, const std::string &domain) -> void
{
    const auto &links = linksOf(at);
    for (auto i = std::size_t { 0 }; i < links.size(); ++i) {
        if (domain.empty() || domainOf(i) == DomainId { domain })
            links[i]->cut(how);
    }
}

auto CutWorld::heal(At at) -> void
{
    for (const auto &link : linksOf(at))
        link->heal();
}

auto CutWorld::heal() -> void
{
    heal(At::Cut);
    heal(At::Other);
}

auto CutWorld::delivered(At at) const -> std::size_t
{
    auto sum = std::size_t { 0 };
    for (const auto &link : linksOf(at))
        sum += link->delivered();
    return sum;
}

auto CutWorld::hasOnPage(At at, const std::string &text) -> bool
{
    return gateway(at).metricsPage().find(text) != std::string::npos;
}

auto CutWorld::awaitLoss(At at, int domains) -> bool
{
    auto answers = std::vector<std::shared_ptr<std::optional<Got>>> {};
    const auto limit = rig.clock.now() + patience;
    while (rig.clock.now() < limit) {
        if (hasOnPage(at, "unreached_groups\"} " + std::to_string(domains)))
            return true;
        answers.push_back(begin(at, "/idem/"));
        const auto next = rig.clock.now() + std::chrono::milliseconds { 100 };
        rig.runUntil([&] { return rig.clock.now() >= next; });
    }
    return false;
}

auto CutWorld::arrivals(const std::string &id) const -> int
{
    auto count = 0;
    for (const auto *endpoint : endpoints_) {
        count += static_cast<int>(
                std::count_if(endpoint->seen.begin(), endpoint->seen.end(),
                              [&](const auto &request) { return request.header("X-Id") == id; }));
    }
    return count;
}

auto CutWorld::begin(At at, const std::string &path) -> std::shared_ptr<std::optional<Got>>
{
    ++lastRequest_;
    const auto id = lastId();
    auto request = Rig::request(path + id, id);
    const auto deadline = std::chrono::milliseconds { callerDeadline };
    request.headers.push_back({ "X-Deadline", std::to_string(deadline.count()) });
    return rig.beginAt(callers_.at(static_cast<std::size_t>(at)).port, std::move(request));
}

auto CutWorld::countServed(At at, int requests) -> int
{
    constexpr auto kinds
            = std::array<const char *, 4> { "/once/", "/idem/", "/stream/", "/resume/" };
    auto answers = std::vector<std::shared_ptr<std::optional<Got>>> {};
    for (auto i = 0; i < requests; ++i)
        answers.push_back(begin(at, kinds.at(static_cast<std::size_t>(i) % kinds.size())));
    const auto isAnswered = [](const auto &answer) { return answer->has_value(); };
    rig.runUntil([&] { return std::all_of(answers.begin(), answers.end(), isAnswered); });
    return static_cast<int>(std::count_if(answers.begin(), answers.end(), [&](const auto &answer) {
        return isAnswered(answer) && (*answer)->status == 200 && (*answer)->whole;
    }));
}

auto CutWorld::isServedAgain() -> bool
{
    const auto limit = rig.clock.now() + patience;
    while (rig.clock.now() < limit) {
        const auto answer = begin(At::Cut, "/idem/");
        if (rig.runUntil([&] { return answer->has_value(); }) && (*answer)->status == 200)
            return true;
    }
    return false;
}

} // namespace figrack::gateway::testing
