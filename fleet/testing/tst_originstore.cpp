// Tests what a control keeps of the origins of streams.

#include <doctest/doctest.h>

#include "fleet/originstore.h"

using namespace figrack;
using namespace figrack::fleet;
using namespace std::chrono_literals;

namespace {

struct StoreRig
{
    ManualClock clock;
    Metrics metrics;
    OriginStore store { { 3, 60s }, clock, metrics };

    static auto streamOf(std::string attempt) -> proto::BegunStream
    {
        return { { ServiceId { "s" }, std::move(attempt) }, { "v1", AccountId { "a1" } } };
    }
    auto knows(const std::string &attempt) const -> bool
    {
        return store.answer({ streamOf(attempt).key, 1 }).origin == streamOf(attempt).origin;
    }
};

} // namespace

TEST_CASE("A control answers with the origins that it was told, for the window")
{
    auto rig = StoreRig {};
    rig.store.keep({ { StoreRig::streamOf("1"), StoreRig::streamOf("2") } });
    CHECK(rig.knows("1"));
    CHECK(rig.knows("2"));
    CHECK_FALSE(rig.knows("3"));
    rig.clock.advance(61s);
    CHECK_FALSE(rig.knows("1"));
    const auto page = rig.metrics.text();
    CHECK(page.find("origins_kept_total 2") != std::string::npos);
    CHECK(page.find("origins_asked_total{known=\"true\"} 2") != std::string::npos);
}

TEST_CASE("A control doesn't vouch for versions when it is asked for an origin")
{
    auto rig = StoreRig {};
    const auto reply = rig.store.answer({ StoreRig::streamOf("1").key, 1 });
    CHECK(reply.versions.empty());
    CHECK_FALSE(reply.isComplete);
}

TEST_CASE("Origins beyond a bound are dropped and counted")
{
    auto rig = StoreRig {};
    auto tooLong = StoreRig::streamOf(std::string(proto::maxOriginTextBytes + 1, 'x'));
    rig.store.keep({ { std::move(tooLong) } });
    for (const auto *attempt : { "1", "2", "3", "4" })
        rig.store.keep({ { StoreRig::streamOf(attempt) } });
    CHECK_FALSE(rig.knows("1"));
    CHECK(rig.knows("4"));
    CHECK(rig.metrics.text().find("origins_dropped_total 2") != std::string::npos);
    auto many = proto::BegunStreams {};
    for (auto i = std::size_t { 0 }; i <= proto::maxBegunStreams; ++i)
        many.streams.push_back(StoreRig::streamOf("m"));
    rig.store.keep(many);
    CHECK(rig.metrics.text().find("origins_dropped_total 4") != std::string::npos);
}
