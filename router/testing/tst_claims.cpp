// Tests claims with a leader that gives configured answers, in virtual time.

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
    auto acquire(std::uint64_t hash = 5, const std::string &key = "k")
            -> std::shared_ptr<ClaimResult>
    {
        auto result = std::make_shared<ClaimResult>(ClaimRefused { absl::OkStatus(), false });
        asio::co_spawn(
                context,
                [this, result, hash, key]() -> asio::awaitable<void> {
                    *result = co_await claims->acquire(IdempotencyKey { key }, hash,
                                                       seconds { 30 });
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
                  "a granted claim permits dispatch within the window from its request")
{
    const auto asked = clock.now();
    const auto result = acquire();
    REQUIRE(calls.size() == 1);
    CHECK(calls[0].claim().router == NodeId { "r1" });
    CHECK(calls[0].claim().incarnation == Incarnation { 9 });
    CHECK(calls[0].claim().bodyHash == 5);
    clock.advance(milliseconds { 400 });
    answer(0, verdict(proto::ClaimVerdict::Granted));
    REQUIRE(std::holds_alternative<ClaimGranted>(*result));
    CHECK(std::get<ClaimGranted>(*result).dispatchBy == asked + seconds { 5 });
}

TEST_CASE_FIXTURE(ClaimsFixture, "a process paused past the window does not dispatch")
{
    const auto result = acquire();
    clock.advance(seconds { 5 }); // As by SIGSTOP between the request and the reply.
    answer(0, verdict(proto::ClaimVerdict::Granted));
    CHECK(kindOf(*result) == ErrorKind::DeadlineExceeded);
    CHECK_FALSE(std::get<ClaimRefused>(*result).mayHaveRun);
    REQUIRE(calls.size() == 2);
    CHECK(calls[1].end().state == state::ClaimState::NotRun);
}

TEST_CASE_FIXTURE(ClaimsFixture, "a claim without a verdict is not dispatched and is freed")
{
    const auto result = acquire();
    answer(0, makeError(ErrorKind::Timeout, "leader"));
    CHECK(kindOf(*result) == ErrorKind::Timeout);
    CHECK_FALSE(std::get<ClaimRefused>(*result).mayHaveRun);
    REQUIRE(calls.size() == 2);
    CHECK(calls[1].end().state == state::ClaimState::NotRun);
    CHECK(calls[1].end().key == IdempotencyKey { "k" });
}

TEST_CASE_FIXTURE(ClaimsFixture, "a key in doubt is refused at this router for a time")
{
    acquire();
    answer(0, makeError(ErrorKind::Timeout, "leader"));
    answer(1, done());
    const auto again = acquire();
    CHECK(kindOf(*again) == ErrorKind::InProgress);
    CHECK(calls.size() == 2);
    clock.advance(std::chrono::minutes { 15 });
    claims->tick();
    acquire();
    CHECK(calls.size() == 3);
}

TEST_CASE_FIXTURE(ClaimsFixture, "an end whose first attempt is in doubt puts the key in doubt")
{
    acquire();
    answer(0, verdict(proto::ClaimVerdict::Granted));
    claims->end(IdempotencyKey { "k" }, state::ClaimState::NotRun, 0, {}, {});
    answer(1, makeError(ErrorKind::EndpointFailed, "connection lost"));
    REQUIRE(calls.size() == 3);
    CHECK(claims->pendingEnds() == 1);
    answer(2, done());
    CHECK(claims->pendingEnds() == 0);
    // The first NotRun may still reach a leader and would free a new claim by this router.
    CHECK(kindOf(*acquire()) == ErrorKind::InProgress);
    CHECK(calls.size() == 3);
}

TEST_CASE_FIXTURE(ClaimsFixture, "an end refused because there is no leader leaves no doubt")
{
    acquire();
    answer(0, verdict(proto::ClaimVerdict::Granted));
    claims->end(IdempotencyKey { "k" }, state::ClaimState::NotRun, 0, {}, {});
    answer(1, makeError(ErrorKind::NotLeader, "c2"));
    answer(2, done());
    CHECK(claims->heldKeys() == 0);
    acquire();
    CHECK(calls.size() == 4);
}

TEST_CASE_FIXTURE(ClaimsFixture, "of two requests with one key at this router, one is processed")
{
    const auto first = acquire();
    const auto second = acquire();
    CHECK(calls.size() == 1);
    CHECK(kindOf(*second) == ErrorKind::InProgress);
    CHECK(std::get<ClaimRefused>(*second).mayHaveRun);
    answer(0, verdict(proto::ClaimVerdict::Granted));
    CHECK(std::holds_alternative<ClaimGranted>(*first));
    CHECK(kindOf(*acquire()) == ErrorKind::InProgress);
    claims->end(IdempotencyKey { "k" }, state::ClaimState::Done, 200, "text/plain", "ordered");
    answer(1, done());
    CHECK(calls[1].end().answer == "ordered");
    acquire();
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
        const auto result = acquire();
        answer(calls.size() - 1, verdict(row.verdict));
        CHECK(kindOf(*result) == row.kind);
        CHECK(std::get<ClaimRefused>(*result).mayHaveRun == row.mayHaveRun);
        CHECK(claims->heldKeys() == 0);
    }
}

TEST_CASE_FIXTURE(ClaimsFixture,
                  "a stored answer is returned in full, one too long to store as unknown")
{
    auto reply = proto::ClaimReply { proto::ClaimVerdict::Stored, 201, "text/plain", "ordered" };
    const auto result = acquire();
    answer(0, proto::Payload { reply });
    REQUIRE(std::holds_alternative<ClaimStored>(*result));
    CHECK(std::get<ClaimStored>(*result).status == 201);
    CHECK(std::get<ClaimStored>(*result).answer == "ordered");
    reply.contentType = notStoredType;
    reply.answer.clear();
    const auto tooLong = acquire();
    answer(1, proto::Payload { reply });
    CHECK(kindOf(*tooLong) == ErrorKind::OutcomeUnknown);
}

TEST_CASE_FIXTURE(ClaimsFixture, "the number of keys in progress is bounded")
{
    auto options = claimOptions();
    options.maxKeys = 2;
    claims = std::make_shared<Claims>(
            options, clock,
            [this](proto::Payload payload, Duration, std::function<void(Reply)> done) {
                calls.push_back({ std::move(payload), std::move(done) });
            });
    acquire(1, "a");
    acquire(1, "b");
    const auto third = acquire(1, "c");
    CHECK(kindOf(*third) == ErrorKind::Overloaded);
    CHECK_FALSE(std::get<ClaimRefused>(*third).mayHaveRun);
}

} // namespace
} // namespace figrack::router
