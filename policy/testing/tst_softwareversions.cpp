// Which software versions count as having served, in virtual time.

#include <doctest/doctest.h>

#include "policy/softwareversions.h"

using namespace figrack;
using namespace figrack::policy;
using namespace std::chrono_literals;
using catalogue::EndpointState;

namespace {

using Names = std::set<std::string>;

const auto service = ServiceId { "s" };

auto rowOf(const std::string &id, const std::string &version,
           EndpointState state = EndpointState::Ready) -> catalogue::EndpointRow
{
    auto row = catalogue::EndpointRow {};
    row.id = EndpointId { id };
    row.service = service;
    row.softwareVersion = version;
    row.state = state;
    return row;
}

struct Rig
{
    Instant now = ManualClock {}.now();
    SoftwareVersions versions { {} };
    auto served() const -> Names { return versions.versionsOf(service, now); }
};

} // namespace

TEST_CASE("A version counts while one of its endpoints is known, and for the window after the last")
{
    for (const auto isForgotten : { false, true }) {
        auto rig = Rig {};
        rig.versions.onRow(rowOf("e1", "v1"), rig.now);
        rig.versions.onRow(rowOf("e2", "v1"), rig.now);
        rig.versions.onRow(rowOf("e3", "v2"), rig.now);
        const auto end = [&](const std::string &id) {
            if (isForgotten)
                rig.versions.onForgotten(EndpointId { id }, rig.now);
            else // Its writer knows no more than the endpoint's name.
                rig.versions.onRow(rowOf(id, "", EndpointState::Gone), rig.now);
        };
        end("e1");
        rig.now += 1h;
        CHECK(rig.served() == Names { "v1", "v2" });
        end("e2");
        rig.now += 60s - 1ms;
        rig.versions.expire(rig.now);
        CHECK(rig.served() == Names { "v1", "v2" });
        rig.now += 1ms;
        CHECK(rig.served() == Names { "v2" });
        rig.versions.expire(rig.now);
        CHECK(rig.served() == Names { "v2" });
    }
}

TEST_CASE("An endpoint that starts again with another version leaves the one before for the window")
{
    auto rig = Rig {};
    rig.versions.onRow(rowOf("e1", "v1"), rig.now);
    rig.versions.onRow(rowOf("e1", "v2"), rig.now);
    rig.now += 59s;
    CHECK(rig.served() == Names { "v1", "v2" });
    rig.now += 1s;
    CHECK(rig.served() == Names { "v2" });
    // The index removes what it has listed, whatever the row says by now.
    rig.versions.onRow(rowOf("e1", "v3", EndpointState::Gone), rig.now);
    CHECK(rig.served() == Names { "v2" });
    rig.now += 60s;
    CHECK(rig.served().empty());
}

TEST_CASE("An endpoint that is known only after its end counts if its version is known")
{
    auto rig = Rig {};
    rig.versions.onRow(rowOf("e1", "", EndpointState::Gone), rig.now);
    CHECK(rig.served().empty());
    rig.versions.onRow(rowOf("e1", "v1", EndpointState::Gone), rig.now);
    CHECK(rig.served() == Names { "v1" });
    rig.versions.onRow(rowOf("e2", ""), rig.now); // It names none, which is a version as well.
    CHECK(rig.served() == Names { "", "v1" });
}

TEST_CASE("A service is reported as changed when its versions change, and else never")
{
    auto rig = Rig {};
    rig.versions.onRow(rowOf("e1", "v1"), rig.now);
    CHECK(rig.versions.takeChanged() == std::set { service });
    rig.versions.onRow(rowOf("e1", "v1"), rig.now);
    rig.versions.onRow(rowOf("e2", "v1"), rig.now);
    rig.versions.onTold(service, "v1", rig.now);
    rig.versions.onForgotten(EndpointId { "e1" }, rig.now);
    rig.versions.onForgotten(EndpointId { "e2" }, rig.now);
    rig.versions.expire(rig.now + 59s);
    CHECK(rig.versions.takeChanged().empty());
    // It counts no more, and again before anyone has looked.
    rig.now += 60s;
    rig.versions.onTold(service, "v1", rig.now);
    CHECK(rig.versions.takeChanged() == std::set { service });
    rig.versions.expire(rig.now + 60s);
    CHECK(rig.versions.takeChanged() == std::set { service });
    CHECK(rig.versions.services().empty());
}

TEST_CASE("Versions without endpoints are bounded, and a dropped one is missed for its window")
{
    auto rig = Rig {};
    rig.versions = SoftwareVersions { { .maxPast = 2 } };
    rig.versions.onTold(service, "v1", rig.now);
    rig.versions.onRow(rowOf("e1", "v4"), rig.now);
    rig.now += 1s;
    rig.versions.onTold(service, "v2", rig.now);
    rig.versions.onTold(service, "v2", rig.now);
    CHECK_FALSE(rig.versions.isTruncated(rig.now));
    rig.versions.onTold(ServiceId { "other" }, "v3", rig.now);
    CHECK(rig.served() == Names { "v2", "v4" });
    CHECK(rig.versions.isTruncated(rig.now + 59s - 1ms));
    CHECK_FALSE(rig.versions.isTruncated(rig.now + 59s));
}

TEST_CASE("Renewed versions count for the window from then on, and those that had ended do not")
{
    auto rig = Rig {};
    rig.versions.onTold(service, "v1", rig.now);
    rig.now += 30s;
    rig.versions.onTold(service, "v2", rig.now);
    rig.now += 40s;
    const auto since = rig.now;
    rig.now += 1h;
    rig.versions.renew(since, rig.now);
    rig.now += 59s;
    CHECK(rig.served() == Names { "v2" });
    rig.now += 1s;
    CHECK(rig.served().empty());
}
