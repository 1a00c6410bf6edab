// Tests figrackctl against fake controls on loopback sockets.

#include <doctest/doctest.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <iostream>
#include <mutex>
#include <sstream>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <unistd.h>

#include "cmd/ctl.h"
#include "core/error.h"
#include "http/server.h"

using namespace figrack;
using namespace figrack::cmd;
using namespace std::chrono_literals;

namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr auto token = "0123456789abcdef";
const auto config = std::string {
    R"({"revision":7,"classes":[{"id":"urgent","start_ms":2000,"finish_ms":30000,"share_percent":95,)"
    R"("default":true}],"models":[],"services":[]})"
};

/// A control that answers with the result of a function and records the requests.
class FakeControl
{
public:
    using Answer = std::function<http::Response(const http::Request &)>;
    static constexpr auto noResponse
            = std::uint32_t { 0 }; ///< A status that makes the control send no response.

    explicit FakeControl(Answer answer)
        : answer_(std::move(answer))
        , server_(context_, {},
                  [this](const http::Request &request,
                         http::Responder &responder) -> asio::awaitable<void> {
                      auto response = record(request);
                      if (response.status == noResponse)
                          co_await asio::steady_timer { context_, 1h }.async_wait(
                                  asio::use_awaitable);
                      (void)co_await responder.send(std::move(response));
                  })
    {
        REQUIRE(server_.start({ "127.0.0.1", 0 }).ok());
        thread_ = std::thread { [this] { context_.run(); } };
    }
    ~FakeControl()
    {
        context_.stop();
        thread_.join();
    }
    FakeControl(const FakeControl &) = delete;
    auto operator=(const FakeControl &) -> FakeControl & = delete;

    auto address() const -> std::string { return "127.0.0.1:" + std::to_string(server_.port()); }
    /// Returns "METHOD target body" for every request.
    auto requests() -> std::vector<std::string>
    {
        const auto lock = std::lock_guard { mutex_ };
        return requests_;
    }

private:
    auto record(const http::Request &request) -> http::Response
    {
        const auto lock = std::lock_guard { mutex_ };
        const auto query = request.query.empty() ? "" : "?" + request.query;
        requests_.push_back(request.method + " " + request.path + query + " " + request.body);
        if (request.header("Authorization") != std::string { "Bearer " } + token)
            return http::errorResponse(makeError(ErrorKind::BadToken, ""), "not_run");
        return answer_(request);
    }

    asio::io_context context_;
    Answer answer_;
    std::mutex mutex_; ///< Guards requests_ and calls of answer_. No other lock is taken under it.
    std::vector<std::string> requests_;
    http::Server server_;
    std::thread thread_;
};

struct Outcome
{
    int code = 0;
    std::string out;
    std::string error;
};

/// Runs figrackctl with a token file and captures its standard output and error.
auto ctl(std::vector<std::string> arguments, const std::string &tokenText = token) -> Outcome
{
    auto path = std::string { "/tmp/tst_ctl.XXXXXX" };
    close(mkstemp(path.data()));
    std::ofstream { path } << tokenText << '\n';
    arguments.insert(arguments.begin(), { "figrackctl", "--token-file", path });
    auto out = std::ostringstream {};
    auto error = std::ostringstream {};
    auto *oldOut = std::cout.rdbuf(out.rdbuf());
    auto *oldError = std::cerr.rdbuf(error.rdbuf());
    const auto code = runCtl(arguments, SystemClock {});
    std::cout.rdbuf(oldOut);
    std::cerr.rdbuf(oldError);
    std::remove(path.c_str());
    return { code, out.str(), error.str() };
}

auto contains(const std::string &text, std::string_view part) -> bool
{
    return text.find(part) != std::string::npos;
}

/// Answers as a control that holds the configuration above and accepts every change.
auto accepting(const http::Request &request) -> http::Response
{
    if (request.method == "GET")
        return { 200, {}, config };
    return { 200, {}, R"({"revision":8})" };
}

/// Answers as a control that refuses every change because of a newer revision.
auto conflicting(const http::Request &request) -> http::Response
{
    if (request.method == "GET")
        return { 200, {}, config };
    return { 409,
             {},
             R"({"error":{"code":"conflict","message":"author=ann put_class=urgent",)"
             R"("ran":"not_run","revision":9,"remedy":"read and decide again"}})" };
}

} // namespace

TEST_CASE("an invalid command line exits with 2 and sends nothing")
{
    auto control = FakeControl { accepting };
    const auto at = control.address();
    for (const auto &arguments : std::vector<std::vector<std::string>> {
                 { "--control", at },
                 { "--control", at, "frobnicate" },
                 { "--control", at, "classes" },
                 { "--control", at, "classes", "put" },
                 { "--control", at, "status", "extra" },
                 { "--control", at, "status", "--start", "1s" },
                 { "--control", at, "classes", "put", "a", "--start", "1" },
                 { "--control", at, "classes", "put", "a", "--share", "many" },
                 { "--control", at, "classes", "put", "a", "--default", "yes" },
                 { "--control", at, "members", "add", "c4", "--domain", "d" },
                 { "--control", at, "report", "--window", "2h" },
                 { "--control", at, "--nonsense" },
                 { "--control", "localhost:1", "status" },
                 { "--control", at, "--timeout", "soon", "status" },
                 { "--control", at, "--config", "/nonexistent", "status" },
                 { "status" } }) {
        const auto outcome = ctl(arguments);
        CAPTURE(outcome.error);
        CHECK(outcome.code == 2);
        CHECK(outcome.out.empty());
    }
    CHECK(ctl({ "--control", at, "status" }, "short").code == 2);
    CHECK(control.requests().empty());
}

TEST_CASE("the help lists commands and exit codes")
{
    const auto outcome = ctl({ "--help" });
    CHECK(outcome.code == 0);
    CHECK(contains(outcome.out, "members replace OLD NEW"));
    CHECK(contains(outcome.out, "3  no control could be reached"));
    CHECK(contains(ctl({ "--version" }).out, "figrackctl "));
}

TEST_CASE("lists are printed as tables, or as JSON with --json")
{
    auto control = FakeControl { accepting };
    const auto table = ctl({ "--control", control.address(), "classes", "list" });
    CHECK(table.code == 0);
    CHECK(table.out
          == "CLASS   START_MS  FINISH_MS  SHARE_%  DEFAULT\n"
             "urgent      2000      30000       95  yes\n");
    const auto text = ctl({ "--control", control.address(), "--json", "classes", "list" });
    CHECK(json::parse(text.out).as_array().size() == 1);
    const auto all = ctl({ "--control", control.address(), "config", "show", "--json" });
    CHECK(all.out == config + "\n");
}

TEST_CASE("a put changes only the given fields and expects the revision it read")
{
    auto control = FakeControl { accepting };
    const auto outcome = ctl({ "--control", control.address(), "classes", "put", "urgent",
                               "--start", "1500ms", "--author", "ann" });
    CHECK(outcome.code == 0);
    CHECK(outcome.out == "revision 8 in force\n");
    const auto requests = control.requests();
    REQUIRE(requests.size() == 2);
    const auto body = json::parse(requests[1].substr(requests[1].find('{'))).as_object();
    CHECK(body.at("expected") == 7);
    CHECK(body.at("author") == "ann");
    CHECK(body.at("put_class")
          == json::parse(R"({"id":"urgent","start_ms":1500,"finish_ms":30000,"share_percent":95,)"
                         R"("default":true})"));
    const auto change = std::string { body.at("change").as_string() };
    CHECK(contains(outcome.error, "change " + change + " sent"));
}

TEST_CASE("a conflict shows the other change and exits with 1")
{
    auto control = FakeControl { conflicting };
    const auto outcome = ctl(
            { "--control", control.address(), "classes", "delete", "urgent", "--expected", "7" });
    CHECK(outcome.code == 1);
    CHECK(contains(outcome.error, "conflict: author=ann put_class=urgent; revision in force: 9"));
}

TEST_CASE("a wrong token exits with 1")
{
    auto control = FakeControl { accepting };
    const auto outcome = ctl({ "--control", control.address(), "status" }, "fedcba9876543210");
    CHECK(outcome.code == 1);
    CHECK(outcome.error
          == "figrackctl: bad_token: the token is missing or wrong: ; send a current token\n");
    CHECK_FALSE(contains(outcome.error, "fedcba9876543210"));
}

TEST_CASE("a redirect is followed to the leader")
{
    auto leader = FakeControl { accepting };
    auto follower = FakeControl { [&](const http::Request &request) -> http::Response {
        return { 307, { { "Location", "http://" + leader.address() + request.path } }, "{}" };
    } };
    const auto outcome = ctl({ "--control", follower.address(), "models", "put", "m", "--weight-mb",
                               "100", "--change-id", "x1" });
    CHECK(outcome.code == 0);
    CHECK(leader.requests().size() == 2);
    CHECK(contains(leader.requests()[1], R"("change":"x1")"));
}

TEST_CASE("a change without a response is sent to the next control with the same id")
{
    auto unanswering = FakeControl { [](const http::Request &request) -> http::Response {
        return request.method == "GET" ? accepting(request)
                                       : http::Response { FakeControl::noResponse, {}, {} };
    } };
    auto other = FakeControl { accepting };
    const auto outcome
            = ctl({ "--control", unanswering.address(), "--control", other.address(), "--timeout",
                    "9s", "services", "put", "dispatch", "--repeatable", "false" });
    CHECK(outcome.code == 0);
    REQUIRE(unanswering.requests().size() == 2);
    REQUIRE(other.requests().size() == 1);
    CHECK(unanswering.requests()[1] == other.requests()[0]);
}

TEST_CASE("a membership change whose outcome is unknown is not sent again")
{
    auto unknown = FakeControl { [](const http::Request &) {
        return http::errorResponse(makeError(ErrorKind::OutcomeUnknown, ""), "unknown");
    } };
    auto other = FakeControl { accepting };
    const auto outcome = ctl({ "--control", unknown.address(), "--control", other.address(),
                               "members", "remove", "c1" });
    CHECK(outcome.code == 3);
    CHECK(contains(outcome.error, "outcome is unknown"));
    CHECK(unknown.requests().size() == 1);
    CHECK(other.requests().empty());
}

TEST_CASE("a call that did not run is sent to the next control")
{
    auto electing = FakeControl { [](const http::Request &) {
        return http::errorResponse(makeError(ErrorKind::NoQuorum, ""), "not_run", 10);
    } };
    auto other = FakeControl { accepting };
    const auto outcome = ctl({ "--control", electing.address(), "--control", other.address(),
                               "members", "remove", "c1" });
    CHECK(outcome.code == 0);
    CHECK(other.requests().size() == 1);
}

TEST_CASE("an unreachable control exits with 3")
{
    const auto outcome = ctl({ "--control", "127.0.0.1:1", "--timeout", "500ms", "status" });
    CHECK(outcome.code == 3);
    CHECK(contains(outcome.error, "no control could be reached, nothing was done"));
}

namespace {

/// The membership of a control; each POST changes it immediately.
class FakeMembership
{
public:
    explicit FakeMembership(json::array members)
        : members_(std::move(members))
    { }

    auto handle(const http::Request &request) -> http::Response
    {
        if (request.method == "POST")
            return change(json::parse(request.body).as_object());
        return { 200,
                 {},
                 json::serialize(json::object { { "members", members_ },
                                                { "membership_changing", false },
                                                { "commit_index", 5 },
                                                { "repair_complete", true } }) };
    }
    auto posts() const -> const std::vector<std::string> & { return posts_; }

private:
    auto change(const json::object &body) -> http::Response
    {
        const auto action = std::string { body.at("action").as_string() };
        const auto &node = body.at("node").as_string();
        posts_.push_back(action + " " + std::string { node });
        const auto named = [&](const json::value &row) {
            return row.as_object().at("node").as_string() == node;
        };
        const auto found = std::find_if(members_.begin(), members_.end(), named);
        if (action == "add")
            members_.push_back({ { "node", node },
                                 { "voter", false },
                                 { "caught_up", true },
                                 { "incarnation", body.at("incarnation") } });
        if (action == "promote")
            found->as_object()["voter"] = true;
        if (action == "remove")
            members_.erase(found);
        return { 200, {}, "{}" };
    }

    json::array members_;
    std::vector<std::string> posts_;
};

auto listedVoter(const char *node, std::uint64_t incarnation) -> json::value
{
    return {
        { "node", node }, { "voter", true }, { "caught_up", true }, { "incarnation", incarnation }
    };
}

} // namespace

TEST_CASE("members replace runs step by step, and a second run skips completed steps")
{
    auto membership = FakeMembership { json::array { listedVoter("c1", 1) } };
    auto control = FakeControl { [&](const http::Request &request) {
        return membership.handle(request);
    } };
    const auto run = [&] {
        return ctl({ "--control", control.address(), "members", "replace", "c1", "c4", "--domain",
                     "quimper", "--address", "10.0.0.4:7000", "--incarnation", "9" });
    };
    const auto outcome = run();
    CHECK(outcome.code == 0);
    CHECK(membership.posts() == std::vector<std::string> { "add c4", "promote c4", "remove c1" });
    CHECK(outcome.out == "c1 is replaced by c4\n");
    CHECK(contains(outcome.error, "waiting until the loss of any one more loses nothing"));
    CHECK(run().code == 0);
    CHECK(membership.posts().size() == 3);
    const auto unknownMember
            = ctl({ "--control", control.address(), "members", "replace", "c9", "c5" });
    CHECK(unknownMember.code == 1);
    CHECK(membership.posts().size() == 3);
}

TEST_CASE("a lost disk is replaced under the same node name")
{
    auto membership = FakeMembership { json::array { listedVoter("c1", 1), listedVoter("c2", 2) } };
    auto control = FakeControl { [&](const http::Request &request) {
        return membership.handle(request);
    } };
    // The incarnation needs all 64 bits of an unsigned integer.
    const auto run = [&] {
        return ctl({ "--control", control.address(), "members", "replace", "c2", "c2", "--domain",
                     "quimper", "--address", "10.0.0.4:7000", "--incarnation",
                     "18202816085285415664" });
    };
    CHECK(run().code == 0);
    const auto steps = std::vector<std::string> { "remove c2", "add c2", "promote c2" };
    CHECK(membership.posts() == steps);
    CHECK(run().code == 0);
    CHECK(membership.posts() == steps);
}

TEST_CASE("the report is written to a file")
{
    auto control = FakeControl { [](const http::Request &request) -> http::Response {
        return { 200, {}, "<html>" + request.query };
    } };
    const auto path = std::string { "/tmp/tst_ctl_report." } + std::to_string(getpid());
    const auto outcome = ctl({ "--control", control.address(), "report", "--window", "6h",
                               "--format", "html", "--out", path });
    CHECK(outcome.code == 0);
    auto text = std::string {};
    std::getline(std::ifstream { path } >> std::ws, text);
    CHECK(text == "<html>window=6h&format=html");
    std::remove(path.c_str());
    CHECK(ctl({ "--control", control.address(), "report", "--out", "/nonexistent/x" }).code == 2);
}
