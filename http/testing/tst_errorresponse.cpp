#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include "http/server.h"

using namespace figrack;
using namespace figrack::http;

TEST_CASE("an error response carries code, ran, retry time, addresses and remedy")
{
    const auto response = errorResponse(makeError(ErrorKind::QueueFull, "class=urgent"), "not_run",
                                        1200, { "127.0.0.1:8080" });
    CHECK(response.status == 429);
    CHECK(findHeader(response.headers, "retry-after") == "2");
    CHECK(findHeader(response.headers, "X-Figrack-Ran") == "not_run");
    const auto error = boost::json::parse(response.body).at("error").as_object();
    CHECK(error.at("code") == "queue_full");
    CHECK(error.at("ran") == "not_run");
    CHECK(error.at("retry_after_ms") == 1200);
    CHECK(error.at("retry_at").at(0) == "127.0.0.1:8080");
    CHECK(error.at("remedy").as_string() == errorRemedy(ErrorKind::QueueFull).data());
}

TEST_CASE("the statuses are those of docs/API.md")
{
    CHECK(httpStatus(ErrorKind::BadRequest) == 400);
    CHECK(httpStatus(ErrorKind::KeyReused) == 400);
    CHECK(httpStatus(ErrorKind::BadToken) == 401);
    CHECK(httpStatus(ErrorKind::UnknownModel) == 404);
    CHECK(httpStatus(ErrorKind::InProgress) == 409);
    CHECK(httpStatus(ErrorKind::TooLarge) == 413);
    CHECK(httpStatus(ErrorKind::Overloaded) == 429);
    CHECK(httpStatus(ErrorKind::OutcomeUnknown) == 502);
    CHECK(httpStatus(ErrorKind::NotCurrent) == 503);
    CHECK(httpStatus(ErrorKind::DeadlineExceeded) == 504);
}
