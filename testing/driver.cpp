#include "testing/driver.h"

#include <algorithm>
#include <iostream>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_future.hpp>
#include <fmt/format.h>

namespace figrack::testing {

namespace asio = boost::asio;

namespace {

constexpr auto pollStep = std::chrono::milliseconds { 20 };
constexpr auto changeLimit = std::chrono::seconds { 30 };
constexpr auto tellTimeout = std::chrono::seconds { 2 };
constexpr auto ok = 200U;

auto addressesOf(Cluster::Nodes &nodes) -> std::vector<Address>
{
    auto list = std::vector<Address> {};
    for (auto &node : nodes)
        list.push_back(node->address());
    return list;
}

auto fetchStatus(http::Client &client, Address address, std::string target)
        -> asio::awaitable<std::uint32_t>
{
    auto request = http::ClientRequest {};
    request.address = std::move(address);
    request.method = "GET";
    request.target = std::move(target);
    request.freshConnection = true;
    const auto result = co_await client.fetch(std::move(request), tellTimeout);
    const auto *response = std::get_if<http::Response>(&result);
    co_return response == nullptr ? 0U : response->status;
}

auto postTo(http::Client &client, Address address, std::string target, std::string body)
        -> asio::awaitable<std::uint32_t>
{
    auto request = http::ClientRequest {};
    request.address = std::move(address);
    request.target = std::move(target);
    request.body = std::move(body);
    request.freshConnection = true;
    const auto result = co_await client.fetch(std::move(request), tellTimeout);
    const auto *response = std::get_if<http::Response>(&result);
    co_return response == nullptr ? 0U : response->status;
}

auto namesAt(const OperatorReply &reply, std::string_view list, std::string_view key,
             const std::function<bool(const boost::json::object &)> &isGood)
        -> std::vector<std::string>
{
    auto names = std::vector<std::string> {};
    auto code = boost::json::error_code {};
    const auto *rows = reply.body.find_pointer({ list.data(), list.size() }, code);
    if (rows == nullptr || !rows->is_array())
        return names;
    for (const auto &row : rows->get_array()) {
        if (row.is_object() && isGood(row.get_object()))
            names.emplace_back(row.at({ key.data(), key.size() }).get_string().c_str());
    }
    return names;
}

auto contains(const std::vector<std::string> &names, const std::string &name) -> bool
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

auto isTrue(const boost::json::object &row, std::string_view key) -> bool
{
    const auto *value = row.if_contains({ key.data(), key.size() });
    return value != nullptr && value->is_bool() && value->get_bool();
}

} // namespace

auto waitUntil(Duration limit, const std::function<bool()> &condition) -> bool
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= end)
            return false;
        std::this_thread::sleep_for(pollStep);
    }
    return true;
}

auto percentile(std::vector<double> values, double share) -> double
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    const auto index = static_cast<std::size_t>(share * static_cast<double>(values.size()));
    return values[std::min(index, values.size() - 1)];
}

Driver::Driver(ClusterOptions options, std::size_t threads)
    : work_(context_.get_executor())
    , cluster_(std::move(options))
    , operator_(std::make_unique<OperatorAgent>(context_, addressesOf(cluster_.controls()),
                                                cluster_.token()))
    , teller_(std::make_unique<http::Client>(context_, http::ClientOptions {}, systemClock()))
{
    auto callerOptions = CallerOptions {};
    callerOptions.seeds = addressesOf(cluster_.routers());
    for (const auto &domain : cluster_.domains())
        callers_.push_back(std::make_unique<CallerAgent>(context_, callerOptions, domain));
    for (auto i = std::size_t { 0 }; i < threads; ++i)
        threads_.emplace_back([this] { context_.run(); });
}

Driver::~Driver()
{
    cluster_.endAll();
    work_.reset();
    context_.stop();
    for (auto &thread : threads_)
        thread.join();
}

auto Driver::start(Duration limit) -> bool
{
    if (!cluster_.startAll()) {
        std::cerr << "event=start_failed reason=\"a program is missing: build first\"\n";
        return false;
    }
    return waitReady(limit);
}

auto Driver::waitReady(Duration limit) -> bool
{
    auto missing = std::string {};
    const auto isUp = waitUntil(limit, [&] { return isReady(missing); });
    if (!isUp)
        std::cerr << "event=not_ready missing=\"" << missing << "\"\n";
    return isUp;
}

auto Driver::isReady(std::string &missing) -> bool
{
    for (auto *node : cluster_.all()) {
        const auto *exited = "a process has ended: ";
        missing = exited + node->name();
        if (!node->isRunning() && !node->wasDisturbed({}, Instant::max()))
            return false;
    }
    for (auto &router : cluster_.routers()) {
        missing = router->name() + " /readyz";
        if (router->isRunning() && wait(fetchStatus(*teller_, router->address(), "/readyz")) != ok)
            return false;
    }
    missing = "/v1/status";
    const auto status = ask("GET", "/v1/status", {}, std::chrono::seconds { 5 });
    if (status.status != ok)
        return false;
    const auto endpoints = namesAt(status, "/endpoints", "id",
                                   [](const auto &row) { return !isTrue(row, "suspected"); });
    for (auto *nodes : { &cluster_.engines(), &cluster_.services() }) {
        for (auto &node : *nodes) {
            missing = "endpoint " + node->name();
            if (node->isRunning() && !contains(endpoints, node->name()))
                return false;
        }
    }
    return true;
}

auto Driver::ask(const std::string &method, const std::string &path, const std::string &body,
                 Duration limit) -> OperatorReply
{
    return wait(operator_->ask(method, path, body, limit));
}

auto Driver::change(const std::string &operation) -> std::uint64_t
{
    const auto revision = wait(operator_->change(newId("change"), operation, changeLimit));
    if (revision == 0)
        std::cerr << "event=change_failed operation='" << operation << "'\n";
    else
        sawRevision("accepted", revision);
    return revision;
}

auto Driver::putClass(const std::string &id, Millis startMs, Millis finishMs, bool isDefault)
        -> std::uint64_t
{
    return change(fmt::format(R"("put_class":{{"id":"{}","start_ms":{},"finish_ms":{},)"
                              R"("default":{}}})",
                              id, startMs, finishMs, isDefault));
}

auto Driver::putModel(const std::string &id, std::uint64_t weightMb, std::uint32_t slots,
                      const std::string &base) -> std::uint64_t
{
    return change(fmt::format(R"("put_model":{{"id":"{}","weight_mb":{},"slots":{},"base":"{}"}})",
                              id, weightMb, slots, base));
}

auto Driver::putService(const std::string &id, bool repeatable, Millis timeoutMs) -> std::uint64_t
{
    return change(fmt::format(R"("put_service":{{"id":"{}","repeatable":{},"timeout_ms":{}}})", id,
                              repeatable, timeoutMs));
}

auto Driver::sawRevision(const std::string &where, std::uint64_t revision) -> void
{
    const auto lock = std::lock_guard { mutex_ };
    revisions_.push_back({ where, revision });
}

auto Driver::tell(const Node &endpoint, const std::string &path, const std::string &body) -> bool
{
    return wait(postTo(*teller_, endpoint.address(), path, body)) == ok;
}

auto Driver::newId(const std::string &prefix) -> std::string
{
    return fmt::format("{}-{}", prefix, ++lastId_);
}

auto Driver::submit(Call call, std::size_t domain) -> void
{
    ++pending_;
    auto &caller = *callers_[domain % callers_.size()];
    asio::co_spawn(context_, caller.call(std::move(call)),
                   [this](const std::exception_ptr &error, CallResult result) {
                       if (error)
                           std::rethrow_exception(error);
                       {
                           const auto lock = std::lock_guard { mutex_ };
                           results_.push_back(std::move(result));
                       }
                       --pending_;
                   });
}

auto Driver::waitCalls(Duration limit) -> bool
{
    return waitUntil(limit, [this] { return pending_ == 0; });
}

auto Driver::results() -> std::vector<CallResult>
{
    const auto lock = std::lock_guard { mutex_ };
    return results_;
}

auto Driver::forgetAddresses() -> void
{
    for (auto &caller : callers_)
        caller->forgetAddresses();
}

auto Driver::finish() -> Verdict
{
    cluster_.endAll();
    const auto results = this->results();
    const auto lock = std::lock_guard { mutex_ };
    return judge(results, revisions_, cluster_);
}

} // namespace figrack::testing
