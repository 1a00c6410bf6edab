// Fetching of new documents in virtual time. There are nine controls, some of which hang, lag or
// lose their connections, a link of 10 Mbit/s that also carries callers' answers, and documents of
// 300 KB.

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "core/random.h"
#include "fleet/recentdocuments.h"
#include "gateway/documentfetch.h"

using namespace figrack;
using namespace figrack::gateway;
using namespace std::chrono_literals;

namespace {

constexpr auto bytesPerMs = 1250.0; ///< Speed of the gateway's link: 10 Mbit/s.
constexpr auto oneWay = std::chrono::microseconds { 1400 };
constexpr auto routeBytes = std::size_t { 200 };
constexpr auto textBytes = std::size_t { 300'000 };
/// A change must be in force everywhere within 2.0 s, of which the controls need a part.
constexpr auto mustBeInForceWithin = 1500ms;

/// @return a text that differs between versions only in its head and in one other place
auto makeText(Revision version) -> std::string
{
    auto random = Random { 3 };
    auto text = std::string {};
    while (text.size() < textBytes)
        text += "route " + std::to_string(random.bits()) + "\n";
    text.replace(0, 6, "v" + std::to_string(1000 + version.value()));
    const auto place = routeBytes * (1 + version.value() % 1000);
    text.replace(place, 8, "changed" + std::to_string(version.value() % 10));
    return text;
}

auto textOf(Revision version) -> const std::string &
{
    static auto texts = std::map<Revision, std::string> {};
    auto &text = texts[version];
    if (text.empty())
        text = makeText(version);
    return text;
}

class World
{
public:
    explicit World(std::size_t controls)
        : fetch_({}, 17, clock_)
    {
        for (auto i = std::size_t { 0 }; i < controls; ++i) {
            auto &control = controls_.emplace_back();
            control.address = { "10.0.0." + std::to_string(i + 1), 7380 };
            fetch_.onKnown(control.address);
        }
    }

    auto size() const -> std::size_t { return controls_.size(); }
    /// A control applies a document and announces it.
    auto publish(std::size_t index, Revision version) -> void
    {
        auto &control = controls_[index];
        control.recentDocuments.addDocument({ version, textOf(version) });
        control.version = version;
        announce(index);
    }
    auto publishAtAll(Revision version) -> void
    {
        for (auto i = std::size_t { 0 }; i < size(); ++i)
            publish(i, version);
    }
    /// The control sends nothing until the given time.
    auto freeze(std::size_t index, Instant until) -> void { controls_[index].frozenUntil = until; }
    auto isFrozen(std::size_t index) const -> bool
    {
        return clock_.now() < controls_[index].frozenUntil;
    }
    /// Messages in transit are lost; the next connection is established a few milliseconds later.
    auto reset(std::size_t index) -> void
    {
        ++controls_[index].connection;
        fetch_.onLost(controls_[index].address);
        at(clock_.now() + 20ms, [this, index] { announce(index); });
    }
    /// Callers' answers occupy the link for the given time.
    auto useLink(Duration busy) -> void
    {
        linkFreeAt_ = std::max(linkFreeAt_, clock_.now()) + busy;
    }
    auto run(Duration span) -> void
    {
        const auto end = clock_.now() + span;
        pump();
        while (true) {
            auto next = events_.empty() ? end : std::min(end, events_.begin()->first);
            if (const auto nextCheck = fetch_.nextCheckAt())
                next = std::min(next, std::max(*nextCheck, clock_.now() + 1ms));
            clock_.advanceTo(std::max(next, clock_.now()));
            if (!events_.empty() && events_.begin()->first <= clock_.now())
                events_.extract(events_.begin()).mapped()();
            else if (clock_.now() >= end)
                return;
            pump();
        }
    }
    auto inForce() const -> Revision { return inForce_; }
    auto history() const -> const std::vector<Revision> & { return history_; }
    auto bytesSent() const -> std::uint64_t { return bytesSent_; }
    auto clock() -> ManualClock & { return clock_; }

private:
    struct Control
    {
        Address address;
        fleet::RecentDocuments recentDocuments;
        Revision version;
        Instant frozenUntil {};
        int connection = 0;
    };

    auto at(Instant when, std::function<void()> event) -> void
    {
        events_.emplace(when, std::move(event));
    }

    auto announce(std::size_t index) -> void
    {
        const auto &control = controls_[index];
        at(std::max(clock_.now(), control.frozenUntil) + oneWay,
           [this, index, connection = control.connection, version = control.version] {
               if (connection == controls_[index].connection)
                   fetch_.onAnnounced(controls_[index].address, version);
           });
    }

    auto pump() -> void
    {
        while (const auto document = fetch_.take()) {
            REQUIRE(document->version > inForce_);
            REQUIRE(document->text == textOf(document->version));
            inForce_ = document->version;
            history_.push_back(inForce_);
        }
        for (const auto &ask : fetch_.next())
            std::visit([this](const auto &question) { send(question); }, ask);
    }

    template<typename Ask>
    auto send(const Ask &ask) -> void
    {
        const auto index = static_cast<std::size_t>(
                std::find_if(controls_.begin(), controls_.end(),
                             [&](const Control &control) { return control.address == ask.control; })
                - controls_.begin());
        const auto arrives = std::max(clock_.now() + oneWay, controls_[index].frozenUntil);
        const auto connection = controls_[index].connection;
        at(arrives, [this, index, connection, ask] {
            if (connection == controls_[index].connection)
                answer(index, ask);
        });
    }

    auto answer(std::size_t index, const ManifestAsk & /*ask*/) -> void
    {
        const auto reply = controls_[index].recentDocuments.manifest();
        deliver(index, reply.blocks.size() * sizeof(catalogue::BlockRef),
                [this, index, reply] { fetch_.onManifest(controls_[index].address, reply); });
    }

    auto answer(std::size_t index, const BlocksAsk &ask) -> void
    {
        const auto reply = controls_[index].recentDocuments.blocks({ ask.blocks });
        auto bytes = std::size_t { 0 };
        for (const auto &block : reply.blocks)
            bytes += block.size();
        deliver(index, bytes,
                [this, index, reply] { fetch_.onBlocks(controls_[index].address, reply); });
    }

    auto deliver(std::size_t index, std::size_t bytes, std::function<void()> event) -> void
    {
        bytesSent_ += bytes;
        useLink(std::chrono::microseconds {
                static_cast<std::int64_t>(static_cast<double>(bytes) / bytesPerMs * 1000) });
        at(linkFreeAt_ + oneWay,
           [this, index, connection = controls_[index].connection, event = std::move(event)] {
               if (connection == controls_[index].connection)
                   event();
           });
    }

    ManualClock clock_;
    DocumentFetch fetch_;
    std::vector<Control> controls_;
    std::multimap<Instant, std::function<void()>> events_;
    Instant linkFreeAt_ {};
    Revision inForce_;
    std::vector<Revision> history_;
    std::uint64_t bytesSent_ = 0;
};

constexpr auto controlCount = std::size_t { 9 };

} // namespace

TEST_CASE("A change transfers only the blocks that differ, and a first document all blocks")
{
    auto world = World { controlCount };
    world.publishAtAll(Revision { 1 });
    world.run(2s);
    REQUIRE(world.inForce() == Revision { 1 });
    CHECK(world.bytesSent() < textBytes * 11 / 10);
    const auto before = world.bytesSent();
    for (auto version = 2U; version <= 11; ++version) {
        world.publishAtAll(Revision { version });
        world.run(500ms);
        REQUIRE(world.inForce() == Revision { version });
    }
    // Ten complete documents would be 3,000 KB.
    CHECK(world.bytesSent() - before < 150'000);
}

TEST_CASE("Controls that hang delay a change only slightly, however many have hung before")
{
    for (auto frozen = std::size_t { 0 }; frozen <= 4; ++frozen) {
        auto world = World { controlCount };
        world.publishAtAll(Revision { 1 });
        world.run(2s);
        world.publishAtAll(Revision { 2 });
        for (auto i = std::size_t { 0 }; i < frozen; ++i)
            world.freeze(i, world.clock().now() + 1h);
        world.run(mustBeInForceWithin);
        CHECK(world.inForce() == Revision { 2 });
        world.publishAtAll(Revision { 3 });
        // Controls that did not answer are not asked again.
        world.run(100ms);
        CHECK(world.inForce() == Revision { 3 });
    }
}

TEST_CASE("A control that cannot be asked is asked again after a pause, not immediately")
{
    auto clock = ManualClock {};
    auto fetch = DocumentFetch { {}, 17, clock };
    const auto control = Address { "10.0.0.1", 7380 };
    fetch.onAnnounced(control, Revision { 1 });
    for (auto round = 0; round < 3; ++round) {
        REQUIRE(fetch.next().size() == 1);
        fetch.onFailed(control);
        CHECK(fetch.next().empty());
        REQUIRE(fetch.nextCheckAt().has_value());
        clock.advanceTo(*fetch.nextCheckAt());
    }
}

TEST_CASE("Changes that come faster than the link can transfer them do not prevent a gateway from "
          "updating")
{
    auto world = World { controlCount };
    world.publishAtAll(Revision { 1 });
    world.run(2s);
    for (auto version = 2U; version < 200; ++version) {
        world.publishAtAll(Revision { version });
        world.useLink(30ms);
        world.run(33ms);
    }
    CHECK(world.history().size() > 5);
    world.run(2s);
    CHECK(world.inForce() == Revision { 199 });
}

TEST_CASE("A starting gateway uses the document of a majority, not that of the first control to "
          "announce")
{
    auto world = World { controlCount };
    world.publish(3, Revision { 4 });
    world.run(30ms);
    CHECK(world.inForce() == Revision {});
    for (auto i = std::size_t { 4 }; i < controlCount; ++i)
        world.publish(i, Revision { 7 });
    world.run(2s);
    CHECK(world.history() == std::vector { Revision { 7 } });
}

TEST_CASE("A starting gateway with a single reachable control still fetches a document")
{
    auto world = World { controlCount };
    world.publish(3, Revision { 4 });
    world.run(DocumentFetchOptions {}.majorityTimeout + 500ms);
    CHECK(world.inForce() == Revision { 4 });
}

TEST_CASE("An older document is fetched if no reachable control holds the one that was started")
{
    auto world = World { controlCount };
    world.publishAtAll(Revision { 1 });
    world.run(2s);
    world.publish(0, Revision { 3 });
    // Until its manifest has arrived, but no block.
    world.run(8ms);
    world.freeze(0, world.clock().now() + 1h);
    world.reset(0);
    for (auto i = std::size_t { 1 }; i < controlCount; ++i)
        world.publish(i, Revision { 2 });
    world.run(2s);
    CHECK(world.inForce() == Revision { 2 });
}

TEST_CASE(
        "Whatever faults controls and links have, a change that a majority holds is soon in force")
{
    for (auto seed = 1U; seed <= 40; ++seed) {
        CAPTURE(seed);
        auto random = Random { seed };
        auto world = World { controlCount };
        auto version = Revision { 1 };
        world.publishAtAll(version);
        world.run(2s);
        for (auto round = 0; round < 40; ++round) {
            version = Revision { version.value() + 1 + random.below(3) };
            for (auto i = std::size_t { 0 }; i < controlCount; ++i) {
                // A minority lags; at most two hang, since up to two controls may fail.
                if (i < 5 || random.chance(0.7))
                    world.publish(i, version);
                if (i < 2 && random.chance(0.2))
                    world.freeze(i, world.clock().now() + random.below(5000) * 1ms);
                if (random.chance(0.1))
                    world.reset(i);
            }
            if (random.chance(0.3))
                world.useLink(random.below(300) * 1ms);
            world.run(random.chance(0.5) ? Duration { mustBeInForceWithin }
                                         : Duration { random.below(400) * 1ms });
        }
        world.run(mustBeInForceWithin);
        REQUIRE(world.inForce() == version);
    }
}
