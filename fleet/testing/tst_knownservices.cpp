// Tests which services an endpoint may announce itself for.

#include <doctest/doctest.h>

#include "core/error.h"
#include "fleet/knownservices.h"

using namespace figrack;
using namespace figrack::fleet;

TEST_CASE("Only a service that a configuration has named is known, once there is one")
{
    auto reads = 0;
    auto services = KnownServices { [&](std::string_view text) {
        ++reads;
        auto catalogue = catalogue::Catalogue {};
        if (text.empty())
            return absl::StatusOr<catalogue::Catalogue> { makeError(ErrorKind::BadRequest,
                                                                    "text") };
        auto service = catalogue::Service {};
        service.id = ServiceId { std::string { text } };
        catalogue.services.push_back(service);
        return absl::StatusOr<catalogue::Catalogue> { catalogue };
    } };
    CHECK(services.knows(ServiceId { "anything" }, {}));
    const auto first = Document { Revision { 1 }, "llm" };
    CHECK(services.knows(ServiceId { "llm" }, first));
    CHECK_FALSE(services.knows(ServiceId { "shop" }, first));
    CHECK_FALSE(services.knows(ServiceId { "shop" }, first));
    CHECK(reads == 1);
    const auto second = Document { Revision { 2 }, "shop" };
    CHECK(services.knows(ServiceId { "shop" }, second));
    CHECK(services.knows(ServiceId { "llm" }, second)); // Its endpoints may still have to leave.
    CHECK(services.knows(ServiceId { "x" }, { Revision { 3 }, "" }));
}
