// Proofs, versions and frames: what is not exactly as sent does not open.

#include <doctest/doctest.h>

#include "core/error.h"
#include "core/random.h"
#include "proto/channel.h"
#include "proto/handshake.h"

using namespace figrack;
using namespace figrack::proto;

namespace {

const auto key = std::string(32, 'k');
const auto otherKey = std::string(32, 'o');

/// A frame without its length, as a reader gets it.
auto unframed(const std::string &frame) -> std::string
{
    REQUIRE(decodeLength(frame.substr(0, frameLengthBytes)) == frame.size() - frameLengthBytes);
    return frame.substr(frameLengthBytes);
}

} // namespace

TEST_CASE("a hello comes back, and nonces are fresh")
{
    const auto hello = makeHello(3, NodeId { "r1" });
    const auto back = decodeHello(encodeHello(hello), 3);
    REQUIRE(back.ok());
    CHECK(back->name == NodeId { "r1" });
    CHECK(back->nonce == hello.nonce);
    CHECK(makeHello(3, NodeId { "r1" }).nonce != hello.nonce);
}

TEST_CASE("another version is told apart, whatever follows it")
{
    auto bytes = encodeHello(makeHello(7, NodeId { "r1" })).substr(0, 8) + "anything";
    const auto status = decodeHello(bytes, 3).status();
    CHECK(errorKind(status) == ErrorKind::VersionMismatch);
    CHECK(errorArgument(status) == "theirs=7 ours=3");
    bytes[0] = 'x';
    CHECK(errorKind(decodeHello(bytes, 3).status()) == ErrorKind::Malformed);
}

TEST_CASE("a hello without name or nonce, cut or too long is malformed")
{
    const auto good = makeHello(1, NodeId { "r1" });
    for (const auto &hello : { Hello { 1, NodeId {}, good.nonce }, Hello { 1, good.name, "short" },
                               Hello { 1, NodeId { std::string(257, 'n') }, good.nonce } })
        CHECK(errorKind(decodeHello(encodeHello(hello), 1).status()) == ErrorKind::Malformed);
    const auto bytes = encodeHello(good);
    for (auto size = std::size_t { 0 }; size < bytes.size(); ++size)
        CHECK(errorKind(decodeHello(bytes.substr(0, size), 1).status()) == ErrorKind::Malformed);
}

TEST_CASE("a proof fits one key, one role and one pair of hellos")
{
    const auto client = makeHello(1, NodeId { "c" });
    const auto server = makeHello(1, NodeId { "s" });
    const auto transcript = transcriptOf(client, server);
    const auto proof = proofOf(key, Role::Client, transcript);
    CHECK(*verifyProof({ otherKey, key }, Role::Client, transcript, proof) == key);
    CHECK_FALSE(verifyProof({ otherKey }, Role::Client, transcript, proof).ok());
    CHECK_FALSE(verifyProof({ key }, Role::Server, transcript, proof).ok());
    CHECK_FALSE(verifyProof({ key }, Role::Client, transcriptOf(server, client), proof).ok());
    CHECK_FALSE(verifyProof({ key }, Role::Client, transcript, "").ok());
    const auto again = transcriptOf(makeHello(1, NodeId { "c" }), server);
    CHECK_FALSE(verifyProof({ key }, Role::Client, again, proof).ok());
}

TEST_CASE("frames open in order and once")
{
    auto sealer = FrameSealer { key, Role::Client, "t" };
    auto opener = FrameOpener { key, Role::Client, "t" };
    const auto one = unframed(sealer.seal("one"));
    const auto two = unframed(sealer.seal(""));
    const auto three = unframed(sealer.seal("three"));
    CHECK(*opener.open(one) == "one");
    CHECK(errorArgument(opener.open(one).status()) == "frame 1 came where 2 was next");
    CHECK(errorArgument(opener.open(three).status()) == "frame 3 came where 2 was next");
    CHECK(opener.open(two)->empty());
    CHECK(*opener.open(three) == "three");
}

TEST_CASE("a frame altered in any bit, cut, reflected or of another connection does not open")
{
    const auto frame = unframed(FrameSealer { key, Role::Client, "t" }.seal("body"));
    for (auto bit = std::size_t { 0 }; bit < 8 * frame.size(); ++bit) {
        auto altered = frame;
        altered[bit / 8] = static_cast<char>(altered[bit / 8] ^ (1 << (bit % 8)));
        auto opener = FrameOpener { key, Role::Client, "t" };
        CHECK(errorKind(opener.open(altered).status()) == ErrorKind::AuthFailed);
    }
    for (auto size = std::size_t { 0 }; size < frame.size(); ++size)
        CHECK_FALSE(FrameOpener { key, Role::Client, "t" }.open(frame.substr(0, size)).ok());
    CHECK_FALSE(FrameOpener { key, Role::Server, "t" }.open(frame).ok());
    CHECK_FALSE(FrameOpener { key, Role::Client, "u" }.open(frame).ok());
    CHECK_FALSE(FrameOpener { otherKey, Role::Client, "t" }.open(frame).ok());
    CHECK(FrameOpener { key, Role::Client, "t" }.open(frame).ok());
}

TEST_CASE("key files hold hexadecimal keys of 32 bytes or more")
{
    const auto hexKey = std::string(64, 'a');
    const auto keys = PeerKeys::fromText(hexKey + "\n# old\n" + std::string(66, 'B'));
    REQUIRE(keys.ok());
    CHECK((*keys)->current() == std::vector { std::string(32, '\xaa'), std::string(33, '\xbb') });
    for (const auto &bad :
         { std::string {}, std::string(62, 'a'), std::string(65, 'a'), std::string(64, 'g') }) {
        const auto status = PeerKeys::fromText(bad).status();
        CHECK(errorKind(status) == ErrorKind::BadSettings);
    }
    CHECK_FALSE(PeerKeys::fromFile("/nonexistent/keys").ok());
}

TEST_CASE("100,000 hostile hellos and frames are refused, and none is taken for a good one")
{
    auto random = Random { 3 };
    const auto hello = encodeHello({ 1, NodeId { "r1" }, std::string(32, 'n') });
    const auto frame = unframed(FrameSealer { key, Role::Client, "t" }.seal("body"));
    for (auto i = 0; i < 100'000; ++i) {
        auto bytes = i % 2 == 0 ? hello : frame;
        const auto good = bytes;
        if (random.chance(0.3))
            bytes.resize(random.below(bytes.size() + 20));
        for (auto n = random.below(4); n > 0 && !bytes.empty(); --n)
            bytes[random.below(bytes.size())] = static_cast<char>(random.below(256));
        if (bytes == good)
            continue;
        CAPTURE(i);
        const auto decoded = decodeHello(bytes, 1);
        REQUIRE((decoded.ok() || errorKind(decoded.status()) == ErrorKind::Malformed
                 || errorKind(decoded.status()) == ErrorKind::VersionMismatch));
        REQUIRE_FALSE(FrameOpener { key, Role::Client, "t" }.open(bytes).ok());
    }
}
