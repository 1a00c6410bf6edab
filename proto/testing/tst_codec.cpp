// Every message comes back as it was, and no bytes at all can do harm.

#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <array>
#include <cstdlib>

#include "core/random.h"
#include "core/serial.h"
#include "core/testing/allocations.h"
#include "proto/codec.h"

using namespace figrack;
using namespace figrack::proto;

namespace {

template<std::size_t... index>
auto defaultPayloads(std::index_sequence<index...> /*unused*/) -> std::vector<Payload>
{
    return { Payload { std::in_place_index<index> }... };
}

template<std::size_t... index>
auto defaultBodies(std::index_sequence<index...> /*unused*/) -> std::vector<coord::Body>
{
    return { coord::Body { std::in_place_index<index> }... };
}

auto replica(const std::string &model) -> ObservedReplica
{
    return { ModelId { model }, "2", ObservedState::Ready, 3, 4 };
}

/// Each alternative with its defaults, and those that nest with something in them.
auto samples() -> std::vector<Payload>
{
    auto all = defaultPayloads(std::make_index_sequence<std::variant_size_v<Payload>> {});
    for (auto &body : defaultBodies(std::make_index_sequence<std::variant_size_v<coord::Body>> {}))
        all.emplace_back(coord::Message { "group", NodeId { "c1" }, Incarnation { 4 }, Term { 5 },
                                          std::move(body) });
    auto append = coord::AppendRequest {};
    append.entries = { { Term { 1 }, LogIndex { 2 }, coord::EntryKind::Command, "data" },
                       { Term { 3 }, LogIndex { 4 }, coord::EntryKind::Membership, "" } };
    all.emplace_back(coord::Message { "g", NodeId { "c" }, {}, Term { 9 }, append });
    all.emplace_back(Failure { ErrorKind::NotLeader, "a=b", NodeId { "c2" } });
    all.emplace_back(FeedBatch { "snapshot",
                                 { { LogIndex { 7 }, "command" } },
                                 LogIndex { 8 },
                                 NodeId { "c1" },
                                 Term { 2 } });
    all.emplace_back(
            DemandReport { NodeId { "r1" },
                           Incarnation { 1 },
                           2,
                           LogIndex { 3 },
                           Revision { 4 },
                           { { ModelId { "m" }, ClassId { "urgent" }, 1, 2, 3, -4, -5 } } });
    auto report = EndpointReport {};
    report.spec.cached = { { ModelId { "m" }, "1", state::CacheTier::Memory } };
    report.replicas = { replica("m"), replica("n") };
    all.emplace_back(report);
    all.emplace_back(LoadDigest { { { EndpointId { "e" }, 5, 6, { replica("m") } } } });
    all.emplace_back(PickRequest { 1,
                                   { EndpointId { "i-1" }, EndpointId { "i-2" } },
                                   2,
                                   { { 3, 800 }, { 4, 410 } },
                                   5,
                                   6,
                                   7,
                                   8 });
    return all;
}

auto isHarmless(const std::string &bytes) -> bool
{
    const auto before = allocatedBytes();
    const auto decoded = decodeEnvelope(bytes);
    const auto bounded = allocatedBytes() - before <= 32 * bytes.size() + 4096;
    const auto answered = decoded.ok() || errorKind(decoded.status()) == ErrorKind::Malformed;
    return bounded && answered;
}

auto numberFrom(const char *variable, std::uint64_t otherwise) -> std::uint64_t
{
    const auto *text = std::getenv(variable);
    return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

auto mutate(std::string bytes, Random &random) -> std::string
{
    constexpr auto hostile = std::array<std::uint64_t, 6> { UINT64_MAX, std::uint64_t { 1 } << 63,
                                                            1ULL << 40, 1ULL << 32,
                                                            1ULL << 24, 1000 };
    for (auto n = random.below(3) + 1; n > 0 && !bytes.empty(); --n) {
        const auto at = random.below(bytes.size());
        switch (random.below(5)) {
        case 0:
            bytes[at] = static_cast<char>(random.below(256));
            break;
        case 1:
            bytes.resize(at);
            break;
        case 2:
            bytes.insert(at, random.below(9), static_cast<char>(random.below(256)));
            break;
        case 3: // A length that lies.
            bytes.replace(at, 8, serialize(hostile[random.below(hostile.size())]));
            break;
        default: // A part repeated.
            bytes += bytes.substr(at, random.below(64));
        }
    }
    return bytes;
}

} // namespace

TEST_CASE("every alternative comes back as it was")
{
    const auto payloads = samples();
    CHECK(payloads.size() > std::variant_size_v<Payload> + std::variant_size_v<coord::Body>);
    for (const auto &payload : payloads) {
        const auto bytes = encode({ 42, payload });
        const auto back = decodeEnvelope(bytes);
        REQUIRE(back.ok());
        CHECK(back->correlation == 42);
        CHECK(back->payload.index() == payload.index());
        CHECK(encode(*back) == bytes);
    }
}

TEST_CASE("every shortened message is malformed")
{
    for (const auto &payload : samples()) {
        const auto bytes = encode({ 1, payload });
        for (auto size = std::size_t { 0 }; size < bytes.size(); ++size)
            REQUIRE(errorKind(decodeEnvelope(bytes.substr(0, size)).status())
                    == ErrorKind::Malformed);
    }
}

// For a longer run: FIGRACK_FUZZ_INPUTS=10000000 FIGRACK_FUZZ_SEED=2 figrack_proto_test
// -tc="*hostile inputs*"
TEST_CASE("100,000 hostile inputs give a value or Malformed, in bounded memory")
{
    const auto inputs = numberFrom("FIGRACK_FUZZ_INPUTS", 100'000);
    const auto seed = numberFrom("FIGRACK_FUZZ_SEED", 1);
    MESSAGE("seed=" << seed << " inputs=" << inputs);
    auto random = Random { seed };
    auto valid = std::vector<std::string> {};
    for (const auto &payload : samples())
        valid.push_back(encode({ random.bits(), payload }));
    for (auto i = std::uint64_t { 0 }; i < inputs; ++i) {
        auto bytes = std::string {};
        if (i % 10 == 0) {
            bytes.resize(random.below(300));
            for (auto &byte : bytes)
                byte = static_cast<char>(random.below(256));
        } else {
            bytes = mutate(valid[random.below(valid.size())], random);
        }
        CAPTURE(i);
        REQUIRE(isHarmless(bytes));
    }
}

TEST_CASE("a long vector announced over a long message is read in bounded memory")
{
    // A digest that announces as many rows as there are bytes; each row then lies too.
    auto bytes = encode({ 0, LoadDigest {} });
    bytes.resize(bytes.size() - 8);
    const auto rest = std::string(std::size_t { 1 } << 20, '\xff');
    REQUIRE(isHarmless(bytes + serialize(std::uint64_t { rest.size() }) + rest));
    REQUIRE(isHarmless(bytes + serialize(std::uint64_t { rest.size() })
                       + std::string(rest.size(), '\0')));
}

TEST_CASE("more than a frame may hold is refused")
{
    CHECK(errorKind(decodeEnvelope(std::string(maxFrameBytes + 1, '\0')).status())
          == ErrorKind::Malformed);
}
