// The seal of requests that gateways hand to one another.

#include <doctest/doctest.h>

#include "core/error.h"
#include "core/random.h"
#include "proto/handoff.h"

using namespace figrack;
using namespace figrack::proto;

namespace {

auto keysOf(char letter) -> std::shared_ptr<PeerKeys>
{
    return *PeerKeys::fromText(std::string(64, letter));
}

auto sampleRequest() -> HandedRequest
{
    auto request = HandedRequest {};
    request.terms.from = NodeId { "g1" };
    request.terms.waitedMs = 17;
    request.terms.ran = 1;
    request.terms.mayHaveRun = true;
    request.terms.isCharged = true;
    request.terms.resumeAfter = "41";
    request.method = "POST";
    request.target = "/a%20b?c=d";
    request.path = "/a b";
    request.query = "c=d";
    request.remoteIp = "10.0.0.9";
    request.headers = { { "Host", "h" }, { "X-Id", "id-1" } };
    request.body = std::string(300, 'x');
    return request;
}

} // namespace

TEST_CASE("A handed request comes out as it went in, under any of the keys")
{
    const auto sealed = sealHandoff(sampleRequest(), *keysOf('a'));
    const auto rotated = PeerKeys::fromText(std::string(64, 'b') + "\n" + std::string(64, 'a'));
    const auto opened = openHandoff(sealed.bytes, sealed.seal, **rotated);
    REQUIRE(opened.ok());
    CHECK(sealHandoff(*opened, *keysOf('a')).bytes == sealed.bytes);
    CHECK(opened->terms.waitedMs == 17);
    CHECK(opened->terms.mayHaveRun);
    CHECK(opened->headers.at(1).value == "id-1");
    CHECK(opened->body.size() == 300);
}

TEST_CASE("A handed request with another key, an altered byte or a cut end is refused")
{
    const auto keys = keysOf('a');
    const auto sealed = sealHandoff(sampleRequest(), *keys);
    CHECK(errorKind(openHandoff(sealed.bytes, sealed.seal, *keysOf('b')).status())
          == ErrorKind::AuthFailed);
    CHECK(errorKind(openHandoff(sealed.bytes, "", *keys).status()) == ErrorKind::AuthFailed);
    auto random = Random { 1 };
    for (auto i = 0; i < 200; ++i) {
        auto bytes = sealed.bytes;
        bytes[random.below(bytes.size())] ^= static_cast<char>(1U << random.below(8));
        CHECK(errorKind(openHandoff(bytes, sealed.seal, *keys).status()) == ErrorKind::AuthFailed);
        bytes.resize(random.below(bytes.size()));
        CHECK(!openHandoff(bytes, sealed.seal, *keys).ok());
    }
}
