// Tests which endpoints gateways are told of, by the keys that they watch.

#include <doctest/doctest.h>

#include <algorithm>

#include "core/random.h"
#include "fleet/testing/fakepeer.h"
#include "fleet/watchtable.h"

using namespace figrack;
using namespace figrack::fleet;
using namespace std::chrono_literals;
using catalogue::EndpointState;
using figrack::fleet::testing::FakePeer;
using proto::WatchKey;

namespace {

const auto service = ServiceId { "s" };

struct WatchRig
{
    ManualClock clock;
    EndpointTable table { {}, clock };
    EndpointIndex index;
    WatchTable watches { {}, table, index };
    FakePeer here { "g1" };
    FakePeer there { "g2" };
    std::map<EndpointId, std::uint64_t> sequences;
    /// What each gateway would know by the news that it got.
    std::map<WatchTable::Subscriber, std::set<EndpointId>> known;

    WatchRig()
    {
        table.setOnChanged([this](const catalogue::EndpointRow &row, EndpointTable::Change change) {
            index.update(row);
            apply(watches.onChanged(row.id, change));
        });
        table.setOnForgotten([this](const EndpointId &id) {
            index.remove(id);
            apply(watches.onChanged(id, EndpointTable::Change::Row));
        });
    }
    auto apply(const WatchTable::NewsOf &newsOf) -> void
    {
        for (const auto &[subscriber, news] : newsOf) {
            known[subscriber].insert(news.rows.begin(), news.rows.end());
            for (const auto &id : news.withdrawn)
                known[subscriber].erase(id);
        }
    }
    auto announce(const std::string &name, const std::vector<catalogue::HeldModel> &models,
                  const std::string &domain = "d1", EndpointState state = EndpointState::Ready,
                  const std::vector<ModelId> &copies = {}) -> EndpointId
    {
        auto row = catalogue::EndpointRow {};
        row.id = EndpointId { name };
        row.service = service;
        row.domain = DomainId { domain };
        row.models = models;
        row.onDisk = copies;
        row.state = state;
        row.sequence = ++sequences[row.id];
        table.announce(row);
        return row.id;
    }
    auto watch(const FakePeer &gateway, const WatchKey &key, const std::string &domain = "d1")
            -> std::set<EndpointId>
    {
        auto told = watches.add(&gateway, DomainId { domain }, { key });
        known[&gateway].insert(told.begin(), told.end());
        return told;
    }
};

auto modelKey(const std::string &model, const std::string &adapter = {}) -> WatchKey
{
    return { service, ModelId { model }, adapter };
}

auto holding(const std::string &model, std::vector<std::string> adapters = {})
        -> std::vector<catalogue::HeldModel>
{
    return { { ModelId { model }, std::move(adapters) } };
}

} // namespace

TEST_CASE("A gateway is told of a bounded number of endpoints, most of them in its failure domain")
{
    auto rig = WatchRig {};
    for (auto i = 0; i < 300; ++i)
        rig.announce("e" + std::to_string(i), holding("m"), "d" + std::to_string(i % 3));
    const auto told = rig.watch(rig.here, modelKey("m"));
    CHECK(told.size() == WatchOptions {}.endpointsPerKey);
    const auto near = std::count_if(told.begin(), told.end(), [&](const auto &id) {
        return rig.table.find(id)->domain == DomainId { "d1" };
    });
    CHECK(near == WatchOptions {}.nearPerKey);
    auto other = FakePeer { "g3" };
    CHECK(rig.watch(other, modelKey("m")) == told); // Gateways of one domain share the choice.
    CHECK(rig.watch(rig.here, modelKey("m")).empty());
}

TEST_CASE("An endpoint that takes or drops a model is told to those that watch the model")
{
    auto rig = WatchRig {};
    const auto one = rig.announce("e1", holding("m"));
    const auto two = rig.announce("e2", holding("n"));
    CHECK(rig.watch(rig.here, modelKey("m")) == std::set { one });
    rig.announce("e2", { { ModelId { "n" }, {} }, { ModelId { "m" }, {} } });
    CHECK(rig.known[&rig.here] == std::set { one, two });
    rig.announce("e1", holding("n"));
    CHECK(rig.known[&rig.here] == std::set { two });
    CHECK(rig.known[&rig.there].empty());
}

TEST_CASE("Where no endpoint holds the model, a few are told instead until one does")
{
    auto rig = WatchRig {};
    for (auto i = 0; i < 40; ++i)
        rig.announce("e" + std::to_string(i), holding("n"));
    CHECK(rig.watch(rig.here, modelKey("m")).size() == WatchOptions {}.substitutes);
    const auto copy
            = rig.announce("c", holding("n"), "d1", EndpointState::Ready, { ModelId { "m" } });
    CHECK(rig.known[&rig.here] == std::set { copy });
    const auto holder = rig.announce("e7", holding("m"));
    CHECK(rig.known[&rig.here] == std::set { holder });
}

TEST_CASE("An adapter's holders are told, and without one those that could load it")
{
    auto rig = WatchRig {};
    for (auto i = 0; i < 40; ++i)
        rig.announce("e" + std::to_string(i), holding("m"));
    CHECK(rig.watch(rig.here, modelKey("m", "a1")).size() == WatchOptions {}.substitutes);
    const auto holder = rig.announce("e33", holding("m", { "a1" }));
    CHECK(rig.known[&rig.here] == std::set { holder });
}

TEST_CASE("Endpoints that leave, fall silent or are evacuated are replaced")
{
    auto rig = WatchRig {};
    for (auto i = 0; i < 40; ++i)
        rig.announce("e" + std::to_string(i), holding("m"), i < 20 ? "d1" : "d2");
    rig.watch(rig.here, modelKey("m"));
    const auto size = rig.known[&rig.here].size();
    const auto first = *rig.known[&rig.here].begin();
    rig.announce(first.value(), holding("m"), "d1", EndpointState::Draining);
    CHECK_FALSE(rig.known[&rig.here].contains(first));
    CHECK(rig.known[&rig.here].size() == size);

    rig.apply(rig.watches.setEvacuations({ Revision { 1 }, { DomainId { "d1" } } }));
    CHECK(rig.known[&rig.here].size() == size);
    for (const auto &id : rig.known[&rig.here])
        CHECK(rig.table.find(id)->domain == DomainId { "d2" });

    rig.apply(rig.watches.setEvacuations({ Revision { 2 }, {} }));
    rig.clock.advance(EndpointTableOptions {}.silentAfter);
    rig.announce("e5", holding("m"), "d1");
    rig.table.tick();
    CHECK(rig.known[&rig.here] == std::set { EndpointId { "e5" } });
}

TEST_CASE("What a gateway has been told agrees with the table, whatever changes")
{
    auto random = Random { 4 };
    auto rig = WatchRig {};
    const auto name = [&] { return "e" + std::to_string(random.below(60)); };
    const auto model = [&] { return "m" + std::to_string(random.below(5)); };
    auto watched = std::set<WatchKey> {};
    for (auto round = 0; round < 3000; ++round) {
        if (random.chance(0.05)) {
            const auto key = modelKey(model(), random.chance(0.3) ? "a" : "");
            watched.insert(key);
            rig.watch(rig.here, key);
        } else if (random.chance(0.03) && !watched.empty()) {
            const auto key = *watched.begin();
            watched.erase(watched.begin());
            rig.apply({ { &rig.here, { {}, rig.watches.remove(&rig.here, { key }) } } });
        } else if (random.chance(0.05)) {
            rig.clock.advance(1s);
            rig.table.tick();
        } else {
            auto adapters = std::vector<std::string> {};
            if (random.chance(0.3))
                adapters.emplace_back("a");
            rig.announce(name(), holding(model(), adapters), "d" + std::to_string(random.below(3)));
        }
        // Each key has as many holders told as there are, up to the bound, and none that is unfit.
        for (const auto &key : watched) {
            auto fit = std::size_t { 0 };
            auto told = std::size_t { 0 };
            for (const auto *row : rig.table.rows()) {
                const auto *held = row->find(key.model);
                const auto holds = held != nullptr
                        && (key.adapter.empty() || held->hasAdapter(key.adapter))
                        && !rig.table.isSilent(row->id);
                fit += holds ? 1 : 0;
                told += holds && rig.known[&rig.here].contains(row->id) ? 1 : 0;
            }
            REQUIRE(told >= std::min(fit, WatchOptions {}.endpointsPerKey));
        }
        for (const auto &id : rig.known[&rig.here])
            REQUIRE_FALSE(rig.table.isSilent(id));
    }
}
