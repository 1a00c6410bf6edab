#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "catalogue/catalogue.h"
#include "core/error.h"

using namespace figrack;
using namespace figrack::catalogue;

namespace {

auto makeRoute(const std::string &host, const std::string &prefix) -> Route
{
    auto route = Route {};
    route.name = host + prefix;
    route.host = host;
    route.pathPrefix = prefix;
    route.finishLimit = std::chrono::seconds { 1 };
    route.split = { { ServiceId { "shop" }, 1 } };
    return route;
}

auto makeCatalogue() -> Catalogue
{
    auto catalogue = Catalogue {};
    catalogue.version = Revision { 1 };
    catalogue.services.push_back({ ServiceId { "shop" }, 10, std::nullopt });
    catalogue.services.push_back({ ServiceId { "yard" }, 10, std::nullopt });
    catalogue.routes = { makeRoute("a.example", "/"), makeRoute("a.example", "/x/"),
                         makeRoute("b.example", "/x/") };
    return catalogue;
}

} // namespace

TEST_CASE("The route with the longest prefix of the host is found")
{
    const auto table = RouteTable { std::make_shared<const Catalogue>(makeCatalogue()) };
    CHECK(table.find("a.example", "/x/7")->pathPrefix == "/x/");
    CHECK(table.find("A.example:80", "/y")->pathPrefix == "/");
    CHECK(table.find("a.example", "/x")->pathPrefix == "/");
    CHECK(table.find("b.example", "/y") == nullptr);
    CHECK(table.find("c.example", "/x/") == nullptr);
}

TEST_CASE("A catalogue that cannot be used is refused, and says why")
{
    CHECK(check(makeCatalogue()).ok());
    auto twice = makeCatalogue();
    twice.routes.push_back(makeRoute("A.example", "/x/"));
    CHECK(errorKind(check(twice)) == ErrorKind::BadRequest);
    auto unknown = makeCatalogue();
    unknown.routes[0].split[0].service = ServiceId { "none" };
    CHECK_FALSE(check(unknown).ok());
    auto weightless = makeCatalogue();
    weightless.routes[0].split[0].weight = 0;
    CHECK_FALSE(check(weightless).ok());
    auto timeless = makeCatalogue();
    timeless.routes[0].finishLimit = {};
    CHECK_FALSE(check(timeless).ok());
    auto open = makeCatalogue();
    open.routes[0].pathPrefix = "/x";
    CHECK_FALSE(check(open).ok());
}

TEST_CASE("Requests are split by weight, and none goes to a service of weight 0")
{
    auto route = makeRoute("a.example", "/");
    route.split = { { ServiceId { "shop" }, 3 },
                    { ServiceId { "none" }, 0 },
                    { ServiceId { "yard" }, 1 } };
    CHECK(pickService(route, 0.0) == ServiceId { "shop" });
    CHECK(pickService(route, 0.74) == ServiceId { "shop" });
    CHECK(pickService(route, 0.76) == ServiceId { "yard" });
    CHECK(pickService(route, 0.999999) == ServiceId { "yard" });
}
