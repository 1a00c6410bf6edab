#include <doctest/doctest.h>

#include <set>

#include "core/error.h"
#include "core/random.h"
#include "fleet.h"
#include "router/parse.h"
#include "router/prefix.h"

namespace figrack::router {
namespace {

struct ParseFixture
{
    ParseFixture()
    {
        fleet.addClass("draft", 2000, 30000);
        fleet.addClass("urgent", 500, 5000);
        fleet.addModel("plaques");
        fleet.addService("orders", false);
        fleet.addService("stock", true);
    }
    static auto completion(std::string body) -> http::Request
    {
        auto request = http::Request {};
        request.method = "POST";
        request.path = "/v1/completions";
        request.remoteIp = "127.0.0.9";
        request.body = std::move(body);
        return request;
    }
    auto kind(const http::Request &request) const -> ErrorKind
    {
        return errorKind(parseWork(request, fleet.view).status());
    }

    ManualClock clock;
    Fleet fleet { clock };
};

TEST_CASE_FIXTURE(ParseFixture, "the class comes from the header, the field or the default")
{
    auto request = completion(R"({"model":"plaques","prompt":"x"})");
    CHECK(parseWork(request, fleet.view)->classId == ClassId { "draft" });
    CHECK(parseWork(request, fleet.view)->caller == "127.0.0.9");
    request.body = R"({"model":"plaques","class":"urgent","stream":true})";
    const auto work = parseWork(request, fleet.view);
    REQUIRE(work.ok());
    CHECK(work->classId == ClassId { "urgent" });
    CHECK(work->startTarget == 500);
    CHECK(work->stream);
    CHECK(work->repeatable);
    request.headers = { { "X-Figrack-Class", "draft" }, { "X-Figrack-Caller", "mason" } };
    CHECK(parseWork(request, fleet.view)->classId == ClassId { "draft" });
    CHECK(parseWork(request, fleet.view)->caller == "mason");
}

TEST_CASE_FIXTURE(ParseFixture, "unknown models, services and classes are typed errors")
{
    CHECK(kind(completion(R"({"model":"no"})")) == ErrorKind::UnknownModel);
    CHECK(kind(completion(R"({"model":"plaques","class":"no"})")) == ErrorKind::UnknownClass);
    auto request = completion("x");
    request.path = "/v1/services/no";
    CHECK(kind(request) == ErrorKind::UnknownService);
}

TEST_CASE_FIXTURE(ParseFixture, "bad bodies and headers are bad requests")
{
    for (const auto *body :
         { "", "{", "[]", "null", R"({"model":5})", R"({"model":""})", "{}",
           R"({"model":"plaques","stream":"yes"})", R"({"model":"plaques","class":[1]})" })
        CHECK_MESSAGE(kind(completion(body)) == ErrorKind::BadRequest, body);
    CHECK(kind(completion(std::string(100000, '['))) == ErrorKind::BadRequest);
    auto request = completion(R"({"model":"plaques"})");
    request.headers = { { "Idempotency-Key", std::string(129, 'k') } };
    CHECK(kind(request) == ErrorKind::BadRequest);
    request.headers = { { "X-Figrack-Repeatable", "maybe" } };
    CHECK(kind(request) == ErrorKind::BadRequest);
}

TEST_CASE_FIXTURE(ParseFixture, "a call that is not repeatable needs a key, and the error says so")
{
    auto request = completion("body");
    request.path = "/v1/services/orders";
    const auto without = parseWork(request, fleet.view);
    CHECK(errorKind(without.status()) == ErrorKind::BadRequest);
    CHECK(errorArgument(without.status()).find("Idempotency-Key") != std::string_view::npos);
    request.headers = { { "Idempotency-Key", "k1" } };
    const auto with = parseWork(request, fleet.view);
    REQUIRE(with.ok());
    CHECK_FALSE(with->repeatable);
    CHECK(with->enginePath == "/");
    CHECK(with->finishTarget == 10000);
    request.path = "/v1/services/stock";
    CHECK(parseWork(request, fleet.view)->repeatable);
    auto chat = completion(R"({"model":"plaques"})");
    chat.headers = { { "X-Figrack-Repeatable", "no" } };
    CHECK(kind(chat) == ErrorKind::BadRequest);
    chat.headers.push_back({ "Idempotency-Key", "k2" });
    CHECK_FALSE(parseWork(chat, fleet.view)->repeatable);
}

TEST_CASE("a valid request id is echoed, otherwise one is generated")
{
    auto request = http::Request {};
    CHECK(requestIdOf(request, "made") == RequestId { "made" });
    request.headers = { { "x-request-id", "mine" } };
    CHECK(requestIdOf(request, "made") == RequestId { "mine" });
    for (const auto &bad :
         { std::string(129, 'a'), std::string { "a b" }, std::string { "a\r\nb" } }) {
        request.headers = { { "X-Request-Id", bad } };
        CHECK(requestIdOf(request, "made") == RequestId { "made" });
    }
}

TEST_CASE_FIXTURE(ParseFixture, "equal prompts have equal prefix hashes in both kinds of call")
{
    const auto shared = std::string(200, 'p');
    const auto hashes = [this](const std::string &prompt) {
        return parseWork(completion(R"({"model":"plaques","prompt":")" + prompt + "\"}"),
                         fleet.view)
                ->prefix;
    };
    const auto one = hashes(shared + std::string(100, 'a'));
    const auto two = hashes(shared + std::string(100, 'b'));
    REQUIRE(one.size() == 4);
    CHECK(std::equal(one.begin(), one.begin() + 3, two.begin()));
    CHECK(one[3] != two[3]);
    CHECK(prefixHashes("m", shared) != prefixHashes("n", shared));
    CHECK(prefixHashes("m", std::string(63, 'x')).empty());
    CHECK(prefixHashes("m", std::string(1 << 20, 'x')).size() == maxPrefixBlocks);
    auto chat = completion(R"({"model":"plaques","messages":[{"role":"user","content":")" + shared
                           + "\"}]}");
    CHECK(parseWork(chat, fleet.view)->prefix.size() == 3);
}

TEST_CASE_FIXTURE(ParseFixture, "random bytes are either parsed or refused")
{
    auto random = Random { 11 };
    const auto seedText = std::string {
        R"({"model":"plaques","messages":[{"role":"u","content":[{"text":"x"}]}],"stream":true})"
    };
    for (auto i = 0; i < 5000; ++i) {
        auto body = seedText;
        for (auto edits = random.below(6); edits > 0; --edits)
            body[random.below(body.size())] = static_cast<char>(random.below(256));
        body.resize(random.below(body.size() + 1));
        const auto result = kind(completion(body));
        const auto expected = std::set { ErrorKind::Ok, ErrorKind::BadRequest,
                                         ErrorKind::UnknownModel, ErrorKind::UnknownClass };
        REQUIRE(expected.count(result) == 1);
    }
}

} // namespace
} // namespace figrack::router
