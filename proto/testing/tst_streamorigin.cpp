// The seals and bounds of what gateways tell one another of streams.

#include <doctest/doctest.h>

#include "core/error.h"
#include "core/random.h"
#include "proto/handoff.h"
#include "proto/streamorigin.h"

using namespace figrack;
using namespace figrack::proto;

namespace {

auto keysOf(char letter) -> std::shared_ptr<PeerKeys>
{
    return *PeerKeys::fromText(std::string(64, letter));
}

auto begunStream(const std::string &attempt) -> BegunStream
{
    return { { ServiceId { "s" }, attempt }, { "v1", AccountId { "a1" } } };
}

auto openKind(const StreamOriginMessage &message) -> ErrorKind
{
    const auto keys = keysOf('a');
    const auto sealed = sealStreamOrigin(message, *keys);
    return errorKind(openStreamOrigin(sealed.bytes, sealed.seal, *keys).status());
}

} // namespace

TEST_CASE("Messages of stream origins come out as they went in")
{
    const auto keys = keysOf('a');
    const auto told = sealStreamOrigin(BegunStreams { { begunStream("id-1") } }, *keys);
    const auto opened = openStreamOrigin(told.bytes, told.seal, *keys);
    REQUIRE(opened.ok());
    const auto &streams = std::get<BegunStreams>(*opened).streams;
    REQUIRE(streams.size() == 1);
    CHECK(streams.front().key == begunStream("id-1").key);
    CHECK(streams.front().origin == begunStream("id-1").origin);
    const auto reply = StreamOriginReply { begunStream("id-1").origin, { "v1", "v2" }, true };
    const auto sealedReply = sealStreamOriginReply(reply, told.seal, *keys);
    const auto openedReply
            = openStreamOriginReply(sealedReply.bytes, sealedReply.seal, told.seal, *keys);
    REQUIRE(openedReply.ok());
    CHECK(openedReply->origin == reply.origin);
    CHECK(openedReply->versions == reply.versions);
    CHECK(openedReply->isComplete);
}

TEST_CASE("A message of stream origins with another key, context or an altered byte is refused")
{
    const auto keys = keysOf('a');
    const auto sealed = sealStreamOrigin(StreamOriginQuery { begunStream("id-1").key, 1 }, *keys);
    const auto kindOf = [&](std::string_view bytes, std::string_view seal, const PeerKeys &others) {
        return errorKind(openStreamOrigin(bytes, seal, others).status());
    };
    CHECK(kindOf(sealed.bytes, sealed.seal, *keysOf('b')) == ErrorKind::AuthFailed);
    CHECK(kindOf(sealed.bytes, "", *keys) == ErrorKind::AuthFailed);
    const auto handoff = sealHandoff({}, *keys);
    CHECK(kindOf(handoff.bytes, handoff.seal, *keys) == ErrorKind::AuthFailed);
    auto random = Random { 1 };
    for (auto i = 0; i < 200; ++i) {
        auto bytes = sealed.bytes;
        bytes[random.below(bytes.size())] ^= static_cast<char>(1U << random.below(8));
        CHECK(kindOf(bytes, sealed.seal, *keys) == ErrorKind::AuthFailed);
    }
}

TEST_CASE("A reply of stream origins that answers another query is refused")
{
    const auto keys = keysOf('a');
    const auto first = sealStreamOrigin(StreamOriginQuery { begunStream("id-1").key, 1 }, *keys);
    const auto second = sealStreamOrigin(StreamOriginQuery { begunStream("id-1").key, 2 }, *keys);
    const auto reply
            = sealStreamOriginReply({ begunStream("id-1").origin, {}, false }, first.seal, *keys);
    CHECK(openStreamOriginReply(reply.bytes, reply.seal, first.seal, *keys).ok());
    CHECK(errorKind(openStreamOriginReply(reply.bytes, reply.seal, second.seal, *keys).status())
          == ErrorKind::AuthFailed);
    CHECK(errorKind(
                  openStreamOriginReply(reply.bytes, reply.seal, first.seal, *keysOf('b')).status())
          == ErrorKind::AuthFailed);
}

TEST_CASE("A message of stream origins with too many streams or too long texts is refused")
{
    auto begun = BegunStreams {};
    begun.streams.resize(maxBegunStreams, begunStream("id-1"));
    CHECK(openKind(begun) == ErrorKind::Ok);
    begun.streams.push_back(begunStream("id-1"));
    CHECK(openKind(begun) == ErrorKind::TooLarge);
    const auto longest = std::string(maxOriginTextBytes, 'x');
    const auto tooLong = longest + 'x';
    CHECK(openKind(BegunStreams { { begunStream(longest) } }) == ErrorKind::Ok);
    CHECK(openKind(BegunStreams { { begunStream(tooLong) } }) == ErrorKind::TooLarge);
    CHECK(openKind(StreamOriginQuery { { ServiceId { "s" }, tooLong }, 1 }) == ErrorKind::TooLarge);
    CHECK(openKind(StreamOriginQuery { { ServiceId { tooLong }, "id-1" }, 1 })
          == ErrorKind::TooLarge);
    auto origin = begunStream("id-1");
    origin.origin.softwareVersion = tooLong;
    CHECK(openKind(BegunStreams { { origin } }) == ErrorKind::TooLarge);
    origin.origin = { "v1", AccountId { tooLong } };
    CHECK(openKind(BegunStreams { { origin } }) == ErrorKind::TooLarge);
}

TEST_CASE("A reply of stream origins with too many or too long versions is refused")
{
    const auto keys = keysOf('a');
    const auto kindOf = [&](const StreamOriginReply &reply) {
        const auto sealed = sealStreamOriginReply(reply, "seal", *keys);
        return errorKind(openStreamOriginReply(sealed.bytes, sealed.seal, "seal", *keys).status());
    };
    auto reply = StreamOriginReply {};
    reply.versions.resize(maxOriginVersions, "v1");
    CHECK(kindOf(reply) == ErrorKind::Ok);
    reply.versions.emplace_back("v1");
    CHECK(kindOf(reply) == ErrorKind::TooLarge);
    reply.versions = { std::string(maxOriginTextBytes + 1, 'x') };
    CHECK(kindOf(reply) == ErrorKind::TooLarge);
}
