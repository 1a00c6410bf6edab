// Claims against a leader that answers as told, in virtual time.

#include <doctest/doctest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include "core/error.h"
#include "router/claims.h"

namespace figrack::router {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Reply = absl::StatusOr<proto::Payload>;

struct ClaimsFixture
{
    struct Call
    {
        proto::Payload payload;
        std::function<void(Reply)> done;
        auto claim() const -> const state::TakeClaim &
        {
            return std::get<proto::ClaimRequest>(payload).claim;
        }
        auto end() const -> const state::EndClaim &
        {
            return std::get<proto::ClaimEnd>(payload).end;
        }
    };

    static auto claimOptions() -> ClaimOptions
    {
        auto options = ClaimOptions {};
        options.self = NodeId { "r1" };
        options.incarnation = Incarnation { 9 };
        options.endAttempts = 3;
        return options;
    }
    auto take(std::uint64_t hash = 5, const std::string &key = "k") -> std::shared_ptr<ClaimResult>
    {
        auto result = std::make_shared<ClaimResult>(ClaimRefused { absl::OkStatus(), false });
        asio::co_spawn(
                context,
                [this, result, hash, key]() -> asio::awaitable<void> {
                    *result = co_await claims->take(IdempotencyKey { key }, hash, seconds { 30 });
                },
                asio::detached);
        poll();
        return result;
    }
    auto poll() -> void
    {
        context.restart();
        context.poll();
    }
    auto answer(std::size_t call, Reply reply) -> void
    {
        auto done = std::exchange(calls.at(call).done, {});
        REQUIRE(done);
        done(std::move(reply));
        poll();
    }
    static auto verdict(proto::ClaimVerdict verdict) -> Reply
    {
        auto reply = proto::ClaimReply {};
        reply.verdict = verdict;
        return proto::Payload { reply };
    }
    static auto done() -> Reply { return proto::Payload { proto::Done {} }; }
    static auto kindOf(const ClaimResult &result) -> ErrorKind
    {
        REQUIRE(std::holds_alternative<ClaimRefused>(result));
        return errorKind(std::get<ClaimRefused>(result).status);
    }

    ManualClock clock;
    asio::io_context context;
    std::vector<Call> calls;
    std::shared_ptr<Claims> claims = std::make_shared<Claims>(
            claimOptions(), clock,
            [this](proto::Payload payload, Duration, std::function<void(Reply)> done) {
                calls.push_back({ std::move(payload), std::move(done) });
            });
};

TEST_CASE_FIXTURE(ClaimsFixture,
                  "a granted claim may be dispatched within the window from the asking")
{
    const auto asked = clock.now();
    const auto result = take();
    REQUIRE(calls.size() == 1);
    CHECK(calls[0].claim().router == NodeId { "r1" });
    CHECK(calls[0].claim().incarnation == Incarnation { 9 });
    CHECK(calls[0].claim().bodyHash == 5);
    clock.advance(milliseconds { 400 });
    answer(0, verdict(proto::ClaimVerdict::Granted));
    REQUIRE(std::holds_alternative<ClaimGranted>(*result));
    CHECK(std::get<ClaimGranted>(*result).dispatchBy == asked + seconds { 5 });
}

TEST_CASE_FIXTURE(ClaimsFixture, "a process stopped past the window does not dispatch")
{
    const auto result = take();
    clock.advance(seconds { 5 }); // SIGSTOP between the asking and the reply.
    answer(0, verdict(proto::ClaimVerdict::Granted));
    CHECK(kindOf(*result) == ErrorKind::DeadlineExceeded);
    CHECK_FALSE(std::get<ClaimRefused>(*result).mayHaveRun);
    REQUIRE(calls.size() == 2);
    CHECK(calls[1].end().state == state::ClaimState::NotRun);
}

TEST_CASE_FIXTURE(ClaimsFixture, "a claim without a verdict is not dispatched and is freed")
{
    const auto result = take();
    answer(0, makeError(ErrorKind::Timeout, "leader"));
    CHECK(kindOf(*result) == ErrorKind::Timeout);
    CHECK_FALSE(std::get<ClaimRefused>(*result).mayHaveRun);
    REQUIRE(calls.size() == 2);
    CHECK(calls[1].end().state == state::ClaimState::NotRun);
    CHECK(calls[1].end().key == IdempotencyKey { "k" });
}

TEST_CASE_FIXTURE(ClaimsFixture, "a key in doubt stays closed at this router for a time")
{
    take();
    answer(0, makeError(ErrorKind::Timeout, "leader"));
    answer(1, done());
    const auto again = take();
    CHECK(kindOf(*again) == ErrorKind::InProgress);
    CHECK(calls.size() == 2);
    clock.advance(std::chrono::minutes { 15 });
    claims->tick();
    take();
    CHECK(calls.size() == 3);
}

TEST_CASE_FIXTURE(ClaimsFixture, "an end whose first try is in doubt closes the key too")
{
    take();
    answer(0, verdict(proto::ClaimVerdict::Granted));
    claims->end(IdempotencyKey { "k" }, state::ClaimState::NotRun, 0, {}, {});
    answer(1, makeError(ErrorKind::EndpointFailed, "connection lost"));
    REQUIRE(calls.size() == 3);
    CHECK(claims->pendingEnds() == 1);
    answer(2, done());
    CHECK(claims->pendingEnds() == 0);
    // The first NotRun may still reach a leader: a new claim by this router could be freed by it.
    CHECK(kindOf(*take()) == ErrorKind::InProgress);
    CHECK(calls.size() == 3);
}

TEST_CASE_FIXTURE(ClaimsFixture, "an end refused for want of a leader leaves no doubt")
{
    take();
    answer(0, verdict(proto::ClaimVerdict::Granted));
    claims->end(IdempotencyKey { "k" }, state::ClaimState::NotRun, 0, {}, {});
    answer(1, makeError(ErrorKind::NotLeader, "c2"));
    answer(2, done());
    CHECK(claims->openKeys() == 0);
    take();
    CHECK(calls.size() == 4);
}

TEST_CASE_FIXTURE(ClaimsFixture, "of two requests with one key at this router one is at work")
{
    const auto first = take();
    const auto second = take();
    CHECK(calls.size() == 1);
    CHECK(kindOf(*second) == ErrorKind::InProgress);
    CHECK(std::get<ClaimRefused>(*second).mayHaveRun);
    answer(0, verdict(proto::ClaimVerdict::Granted));
    CHECK(std::holds_alternative<ClaimGranted>(*first));
    CHECK(kindOf(*take()) == ErrorKind::InProgress);
    claims->end(IdempotencyKey { "k" }, state::ClaimState::Done, 200, "text/plain", "ordered");
    answer(1, done());
    CHECK(calls[1].end().answer == "ordered");
    take();
    CHECK(calls.size() == 3);
}

TEST_CASE_FIXTURE(ClaimsFixture, "verdicts that forbid the dispatch")
{
    struct Row
    {
        proto::ClaimVerdict verdict;
        ErrorKind kind;
        bool mayHaveRun;
    };
    for (const auto &row :
         { Row { proto::ClaimVerdict::InProgress, ErrorKind::InProgress, true },
           Row { proto::ClaimVerdict::Unknown, ErrorKind::OutcomeUnknown, true },
           Row { proto::ClaimVerdict::KeyReused, ErrorKind::KeyReused, false } }) {
        const auto result = take();
        answer(calls.size() - 1, verdict(row.verdict));
        CHECK(kindOf(*result) == row.kind);
        CHECK(std::get<ClaimRefused>(*result).mayHaveRun == row.mayHaveRun);
        CHECK(claims->openKeys() == 0);
    }
}

TEST_CASE_FIXTURE(ClaimsFixture,
                  "a stored answer comes back whole, one too long to keep as unknown")
{
    auto reply = proto::ClaimReply { proto::ClaimVerdict::Stored, 201, "text/plain", "ordered" };
    const auto result = take();
    answer(0, proto::Payload { reply });
    REQUIRE(std::holds_alternative<ClaimStored>(*result));
    CHECK(std::get<ClaimStored>(*result).status == 201);
    CHECK(std::get<ClaimStored>(*result).answer == "ordered");
    reply.contentType = notStoredType;
    reply.answer.clear();
    const auto tooLong = take();
    answer(1, proto::Payload { reply });
    CHECK(kindOf(*tooLong) == ErrorKind::OutcomeUnknown);
}

TEST_CASE_FIXTURE(ClaimsFixture, "keys at work are bounded")
{
    auto options = claimOptions();
    options.maxKeys = 2;
    claims = std::make_shared<Claims>(
            options, clock,
            [this](proto::Payload payload, Duration, std::function<void(Reply)> done) {
                calls.push_back({ std::move(payload), std::move(done) });
            });
    take(1, "a");
    take(1, "b");
    const auto third = take(1, "c");
    CHECK(kindOf(*third) == ErrorKind::Overloaded);
    CHECK_FALSE(std::get<ClaimRefused>(*third).mayHaveRun);
}

} // namespace
} // namespace figrack::router
